//! The table of members, in the manner of SWIM.
//!
//! Each node probes one member a tick, asks others to probe before it suspects, and lets a
//! suspected member refute by raising its incarnation. News travel with heartbeats.
//! Source: A. Das, I. Gupta, A. Motivala, "SWIM", DSN 2002.

use ecow::EcoString;
use indexmap::IndexMap;
use rand::Rng;
use rand::seq::{IndexedRandom, SliceRandom};
use sassafrasproxy_wire::{Heartbeat, MemberState, MemberUpdate};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::hash_name;

/// One node of the system.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Its name.
    pub node: EcoString,
    /// The address that peers use.
    pub peer_address: EcoString,
    /// The address that callers use.
    pub address: EcoString,
    /// Where it is.
    pub failure_domain: EcoString,
    /// The address where it relays requests; empty where it does not.
    pub relay_address: EcoString,
    /// How much of a core it has, in thousandths; 0 where it does not say.
    pub cpu_millis: u32,
    /// Its state in this node's view.
    pub state: MemberState,
    /// Raised only by the member itself.
    pub incarnation: u64,
    /// The hash of its name, for rendezvous scores.
    pub name_hash: u64,
    /// The hash of its failure domain's name.
    pub domain_hash: u64,
    /// The hash of its state and incarnation; 0 while it is dead.
    state_hash: u64,
    /// The configuration revision that it last reported.
    pub revision: u64,
    /// The version of its holdings that it last reported.
    pub holdings_version: u64,
    /// When this node last heard from it directly; 0 if never.
    pub last_heartbeat_us: u64,
    /// When its state last changed in this node's view.
    pub state_since_us: u64,
}

impl Member {
    /// Whether it may be the home of a replica group.
    ///
    /// A suspected member may: moving homes on a suspicion would move them twice for every pause.
    pub fn may_be_home(&self) -> bool {
        matches!(self.state, MemberState::Alive | MemberState::Suspect)
    }

    /// What to tell others of it.
    pub fn to_update(&self) -> MemberUpdate {
        MemberUpdate {
            node: self.node.clone(),
            peer_address: self.peer_address.clone(),
            address: self.address.clone(),
            failure_domain: self.failure_domain.clone(),
            relay_address: self.relay_address.clone(),
            cpu_millis: self.cpu_millis,
            state: self.state,
            incarnation: self.incarnation,
        }
    }

    fn new(update: &MemberUpdate, now_us: u64) -> Self {
        Self {
            node: update.node.clone(),
            peer_address: update.peer_address.clone(),
            address: update.address.clone(),
            failure_domain: update.failure_domain.clone(),
            relay_address: update.relay_address.clone(),
            cpu_millis: update.cpu_millis,
            state: update.state,
            incarnation: update.incarnation,
            name_hash: hash_name(&update.node),
            domain_hash: hash_name(&update.failure_domain),
            state_hash: 0,
            revision: 0,
            holdings_version: 0,
            last_heartbeat_us: 0,
            state_since_us: now_us,
        }
    }
}

/// All members that this node knows, itself included.
#[derive(Debug, Clone)]
pub struct MemberTable {
    local_node: EcoString,
    /// By name; always has this node.
    members: IndexMap<EcoString, Member>,
    /// How often each member's news are still to be sent.
    pending_updates: IndexMap<EcoString, u32>,
    /// Members still to be probed in this round.
    probe_round: Vec<EcoString>,
    /// How many members there were when the round began.
    probe_round_size: usize,
    /// Where the full table's slow round of news goes on.
    sync_cursor: usize,
    members_hash: u64,
}

/// Hashes over a part of a table of members, so that two nodes find the few on which they disagree.
///
/// A part has few members for each hash, whatever the size of the table.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Digests {
    /// Which part, counted from 0.
    pub part: u32,
    /// Of how many.
    pub parts: u32,
    /// The hashes, each over the members whose names fall into it.
    pub hashes: Vec<u32>,
}

impl Digests {
    /// Which hash a member belongs to, if it is in this part.
    fn bucket_index(&self, name_hash: u64) -> Option<usize> {
        let count = self.hashes.len() as u64;
        // Both come from a peer: a part without hashes has no member.
        let place = name_hash.checked_rem(count * u64::from(self.parts))?;
        (place / count == u64::from(self.part)).then_some((place % count) as usize)
    }
}

/// A member whose state changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberChange {
    /// The member.
    pub node: EcoString,
    /// Its new state.
    pub state: MemberState,
}

impl MemberTable {
    /// A table with this node only.
    pub fn new(me: &MemberUpdate, now_us: u64) -> Self {
        let members = [(me.node.clone(), Member::new(me, now_us))].into_iter().collect();
        let mut table = Self {
            local_node: me.node.clone(),
            members,
            pending_updates: IndexMap::new(),
            probe_round: Vec::new(),
            probe_round_size: 0,
            sync_cursor: 0,
            members_hash: 0,
        };
        table.queue_update(&me.node);
        table
    }

    /// This node's own entry.
    pub fn local_member(&self) -> &Member {
        &self.members[&self.local_node]
    }

    /// One member.
    pub fn member(&self, node: &str) -> Option<&Member> {
        self.members.get(node)
    }

    /// The member that has a peer address and is not dead.
    pub fn by_peer_address(&self, peer_address: &str) -> Option<&Member> {
        self.present().find(|member| member.peer_address == peer_address)
    }

    /// All members that are not dead, this node included.
    pub fn present(&self) -> impl Iterator<Item = &Member> {
        self.members.values().filter(|member| member.state != MemberState::Dead)
    }

    /// All members that are not dead, this node excluded.
    pub fn peers(&self) -> impl Iterator<Item = &Member> {
        self.present().filter(|member| member.node != self.local_node)
    }

    /// A hash over the members that are not dead, equal in all nodes that agree.
    pub fn members_hash(&self) -> u64 {
        self.members_hash
    }

    /// The member whose name has a hash, dead ones included.
    pub fn by_name_hash(&self, name_hash: u64) -> Option<&Member> {
        self.members.values().find(|member| member.name_hash == name_hash)
    }

    /// Hashes over the members that are not dead, in one part of the table.
    pub fn digests(&self, part: u32, parts: u32, count: usize) -> Digests {
        let mut digests = Digests { part, parts, hashes: vec![0; count] };
        for member in self.members.values() {
            if let Some(bucket) = digests.bucket_index(member.name_hash) {
                let hash = &mut digests.hashes[bucket];
                *hash = hash.wrapping_add(member.state_hash as u32);
            }
        }
        digests
    }

    /// The members, dead ones included, for which a peer's digests differ from this node's.
    pub fn members_differing_from(&self, theirs: &Digests) -> Vec<&Member> {
        let ours = self.digests(theirs.part, theirs.parts, theirs.hashes.len());
        let is_differing = |member: &&Member| {
            let bucket = theirs.bucket_index(member.name_hash);
            bucket.is_some_and(|bucket| ours.hashes[bucket] != theirs.hashes[bucket])
        };
        self.members.values().filter(is_differing).collect()
    }

    /// Takes news on one member in, by incarnation and then by state.
    pub fn merge(&mut self, now_us: u64, update: &MemberUpdate) -> Option<MemberChange> {
        if update.node == self.local_node {
            return self.refute(update);
        }
        let known = self.members.get(&update.node);
        let is_news = known.is_none_or(|known| {
            (update.incarnation, update.state) > (known.incarnation, known.state)
        });
        if !is_news || (known.is_none() && update.state == MemberState::Dead) {
            return None;
        }
        let mut member = Member::new(update, now_us);
        let old_state = known.map(|known| known.state);
        if let Some(known) = known {
            member.last_heartbeat_us = known.last_heartbeat_us;
            member.state_hash = known.state_hash;
            member.revision = known.revision;
            let is_same_life = known.incarnation == update.incarnation;
            member.holdings_version = if is_same_life { known.holdings_version } else { 0 };
        }
        self.members.insert(update.node.clone(), member);
        self.queue_update(&update.node);
        let change = MemberChange { node: update.node.clone(), state: update.state };
        (old_state != Some(update.state)).then_some(change)
    }

    /// Notes that a peer's heartbeat came; returns whether its holdings are newer than known.
    pub fn record_heartbeat(&mut self, now_us: u64, heartbeat: &Heartbeat) -> bool {
        let Some(member) = self.members.get_mut(&heartbeat.from.node) else { return false };
        member.last_heartbeat_us = now_us;
        member.revision = heartbeat.revision;
        heartbeat.holdings_version > member.holdings_version
    }

    /// Notes which version of a peer's holdings this node has.
    pub fn record_holdings_version(&mut self, node: &str, version: u64) {
        if let Some(member) = self.members.get_mut(node) {
            member.holdings_version = member.holdings_version.max(version);
        }
    }

    /// Suspects a member that answered neither this node nor others; one that is leaving is gone.
    pub fn suspect(&mut self, now_us: u64, node: &str) -> Option<MemberChange> {
        let member = self.members.get(node)?;
        let state = match member.state {
            MemberState::Alive => MemberState::Suspect,
            MemberState::Leaving => MemberState::Dead,
            MemberState::Suspect | MemberState::Dead => return None,
        };
        let update = MemberUpdate { state, ..member.to_update() };
        self.merge(now_us, &update)
    }

    /// Gives up on members that did not refute in time, and forgets those long dead.
    pub fn expire(&mut self, now_us: u64, suspect_us: u64, forget_us: u64) -> Vec<MemberChange> {
        self.members.retain(|_, member| {
            member.state != MemberState::Dead || now_us < member.state_since_us + forget_us
        });
        let is_expired = |member: &&Member| {
            member.state == MemberState::Suspect && now_us >= member.state_since_us + suspect_us
        };
        let expired: Vec<MemberUpdate> = self
            .members
            .values()
            .filter(is_expired)
            .map(|member| MemberUpdate { state: MemberState::Dead, ..member.to_update() })
            .collect();
        expired.iter().filter_map(|update| self.merge(now_us, update)).collect()
    }

    /// Announces that this node is leaving.
    pub fn leave(&mut self, now_us: u64) {
        let me = self.local_node.clone();
        if let Some(member) = self.members.get_mut(&me) {
            member.state = MemberState::Leaving;
            member.state_since_us = now_us;
        }
        self.queue_update(&me);
    }

    /// The next member to probe: each once a round, in a random order.
    pub fn next_probe_target(&mut self, rng: &mut impl Rng) -> Option<&Member> {
        // A round that began with few members would go on probing these alone for long.
        if self.members.len() > 2 * self.probe_round_size {
            self.probe_round.clear();
        }
        loop {
            if self.probe_round.is_empty() {
                self.probe_round_size = self.members.len();
                self.probe_round = self.peers().map(|member| member.node.clone()).collect();
                self.probe_round.shuffle(rng);
                if self.probe_round.is_empty() {
                    return None;
                }
            }
            let node = self.probe_round.pop()?;
            if self.members.get(&node).is_some_and(|one| one.state != MemberState::Dead) {
                return self.members.get(&node);
            }
        }
    }

    /// Some peers that answer, chosen at random, one node excluded.
    pub fn random_peers(
        &self,
        rng: &mut impl Rng,
        count: usize,
        excluded_node: &str,
    ) -> Vec<&Member> {
        let candidates: Vec<&Member> = self
            .peers()
            .filter(|member| member.node != excluded_node && member.state == MemberState::Alive)
            .collect();
        candidates.sample(rng, count).copied().collect()
    }

    /// The members that changed since the last call, for who spreads the news by itself.
    pub fn take_changed_nodes(&mut self) -> Vec<EcoString> {
        self.pending_updates.drain(..).map(|(node, _)| node).collect()
    }

    /// The news to send along: fresh ones first, then a slow round through the whole table.
    pub fn take_updates(&mut self, count: usize, fill: usize) -> Vec<MemberUpdate> {
        let fresh: Vec<EcoString> = self.pending_updates.keys().take(count).cloned().collect();
        let mut updates = Vec::new();
        for node in fresh {
            self.record_update_sent(&node);
            updates.extend(self.members.get(&node).map(Member::to_update));
        }
        for _ in 0..fill.min(self.members.len()) {
            self.sync_cursor = (self.sync_cursor + 1) % self.members.len();
            let Some((node, member)) = self.members.get_index(self.sync_cursor) else { continue };
            if updates.iter().all(|update| update.node != *node) {
                updates.push(member.to_update());
            }
        }
        updates
    }

    /// Counts one send of a member's news; those sent least come first the next time.
    fn record_update_sent(&mut self, node: &EcoString) {
        let Some(left) = self.pending_updates.shift_remove(node) else { return };
        if left > 1 {
            self.pending_updates.insert(node.clone(), left - 1);
        }
    }

    /// Raises this node's incarnation above wrong news on it.
    ///
    /// Guards against a node that was paused or cut off and is thought dead: it learns so from
    /// the next heartbeat, and the raised incarnation overrules the news everywhere.
    fn refute(&mut self, update: &MemberUpdate) -> Option<MemberChange> {
        let me = self.local_node.clone();
        let member = self.members.get_mut(&me)?;
        let is_wrong = (update.incarnation, update.state) > (member.incarnation, member.state);
        if !is_wrong {
            return None;
        }
        member.incarnation = update.incarnation + 1;
        self.queue_update(&me);
        None
    }

    /// Puts a member's news on the way and updates the hash.
    fn queue_update(&mut self, node: &EcoString) {
        let rounds = 3 * (self.members.len() + 1).ilog2().max(1);
        self.pending_updates.insert(node.clone(), rounds);
        let Some(member) = self.members.get_mut(node) else { return };
        let old = std::mem::replace(&mut member.state_hash, 0);
        if member.state != MemberState::Dead {
            member.state_hash = hash_member(member);
        }
        self.members_hash = self.members_hash.wrapping_sub(old).wrapping_add(member.state_hash);
    }
}

/// Hashes what nodes must agree on of one member.
fn hash_member(member: &Member) -> u64 {
    let text = ecow::eco_format!("{} {} {:?}", member.node, member.incarnation, member.state);
    xxh3_64(text.as_bytes())
}
