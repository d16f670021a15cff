//! The membership table, which follows SWIM.
//!
//! Each node probes one member per tick. If the probe fails, it asks other members to probe before
//! it suspects the member. A suspected member refutes the suspicion by raising its incarnation.
//! Updates on members are sent with heartbeats.
//!
//! Source: A. Das, I. Gupta, A. Motivala, "SWIM", DSN 2002.

use ecow::EcoString;
use indexmap::IndexMap;
use rand::Rng;
use rand::seq::{IndexedRandom, SliceRandom};
use sassafrasproxy_wire::{Heartbeat, MemberState, MemberUpdate};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::hash_name;

/// One member of the cluster.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// The name of the node.
    pub node: EcoString,
    /// The address that peers use.
    pub peer_address: EcoString,
    /// The address that callers use.
    pub address: EcoString,
    /// The failure domain that it runs in.
    pub failure_domain: EcoString,
    /// The address where it relays requests; empty if it relays none.
    pub relay_address: EcoString,
    /// The CPU capacity in thousandths of a core; 0 if it is not reported.
    pub cpu_millis: u32,
    /// The state in this node's view.
    pub state: MemberState,
    /// The incarnation number; only the member itself raises it.
    pub incarnation: u64,
    /// The hash of the node's name, for rendezvous scores.
    pub name_hash: u64,
    /// The hash of the failure domain's name.
    pub domain_hash: u64,
    /// The hash of name, state and incarnation; 0 while the member is dead.
    state_hash: u64,
    /// The configuration revision that the member last reported.
    pub revision: u64,
    /// The version of the member's holdings that this node has.
    pub holdings_version: u64,
    /// The time at which this node last received a heartbeat from it; 0 if never.
    pub last_heartbeat_us: u64,
    /// The time at which this node last recorded a new state or incarnation of the member.
    pub state_since_us: u64,
}

impl Member {
    /// Whether the member may be the home of a replica group.
    ///
    /// A suspected member may be one: if a suspicion moved homes, each short pause of a node would
    /// move them twice.
    pub fn may_be_home(&self) -> bool {
        matches!(self.state, MemberState::Alive | MemberState::Suspect)
    }

    /// Returns the update on this member to send to others.
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

/// All members known to this node, including itself.
#[derive(Debug, Clone)]
pub struct MemberTable {
    local_node: EcoString,
    /// The members by name; always contains this node.
    members: IndexMap<EcoString, Member>,
    /// The number of remaining sends of each member's update.
    pending_updates: IndexMap<EcoString, u32>,
    /// The members still to be probed in this round.
    probe_round: Vec<EcoString>,
    /// The number of members when the round began.
    probe_round_size: usize,
    /// The index of the member last sent in the round-robin through the whole table.
    sync_cursor: usize,
    /// The wrapping sum of all members' state hashes.
    members_hash: u64,
}

/// Hashes over one part of a membership table, by which two nodes find the members on which they
/// disagree.
///
/// The number of parts grows with the table, so that few members share a hash.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Digests {
    /// The index of the part, counted from 0.
    pub part: u32,
    /// The total number of parts.
    pub parts: u32,
    /// The hashes, each over the members whose name hash maps to it.
    pub hashes: Vec<u32>,
}

impl Digests {
    /// Returns the index of the hash that covers a member, if the member is in this part.
    fn bucket_index(&self, name_hash: u64) -> Option<usize> {
        let count = self.hashes.len() as u64;
        // Both values come from a peer. If one is 0, no member is in the part.
        let index = name_hash.checked_rem(count * u64::from(self.parts))?;
        (index / count == u64::from(self.part)).then_some((index % count) as usize)
    }
}

/// A member whose state changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberChange {
    /// The member.
    pub node: EcoString,
    /// The new state.
    pub state: MemberState,
}

impl MemberTable {
    /// Creates a table that contains only this node.
    pub fn new(local: &MemberUpdate, now_us: u64) -> Self {
        let members = [(local.node.clone(), Member::new(local, now_us))].into_iter().collect();
        let mut table = Self {
            local_node: local.node.clone(),
            members,
            pending_updates: IndexMap::new(),
            probe_round: Vec::new(),
            probe_round_size: 0,
            sync_cursor: 0,
            members_hash: 0,
        };
        table.queue_update(&local.node);
        table
    }

    /// Returns this node's own entry.
    pub fn local_member(&self) -> &Member {
        &self.members[&self.local_node]
    }

    /// Returns a member by name.
    pub fn member(&self, node: &str) -> Option<&Member> {
        self.members.get(node)
    }

    /// Returns the member with a peer address, unless it is dead.
    pub fn by_peer_address(&self, peer_address: &str) -> Option<&Member> {
        self.present().find(|member| member.peer_address == peer_address)
    }

    /// Returns all members that are not dead, including this node.
    pub fn present(&self) -> impl Iterator<Item = &Member> {
        self.members.values().filter(|member| member.state != MemberState::Dead)
    }

    /// Returns all members that are not dead, excluding this node.
    pub fn peers(&self) -> impl Iterator<Item = &Member> {
        self.present().filter(|member| member.node != self.local_node)
    }

    /// Returns a hash over the members that are not dead, equal on all nodes that agree on them.
    pub fn members_hash(&self) -> u64 {
        self.members_hash
    }

    /// Returns the member with a name hash, even if it is dead.
    pub fn by_name_hash(&self, name_hash: u64) -> Option<&Member> {
        self.members.values().find(|member| member.name_hash == name_hash)
    }

    /// Returns hashes over the members of one part of the table that are not dead.
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

    /// Returns the members, including dead ones, for which a peer's digests differ from this
    /// node's.
    pub fn members_differing_from(&self, theirs: &Digests) -> Vec<&Member> {
        let ours = self.digests(theirs.part, theirs.parts, theirs.hashes.len());
        let is_differing = |member: &&Member| {
            let bucket = theirs.bucket_index(member.name_hash);
            bucket.is_some_and(|bucket| ours.hashes[bucket] != theirs.hashes[bucket])
        };
        self.members.values().filter(is_differing).collect()
    }

    /// Merges an update on one member; the greater incarnation wins, then the greater state.
    ///
    /// Returns the change if the member's state changed.
    pub fn merge(&mut self, now_us: u64, update: &MemberUpdate) -> Option<MemberChange> {
        if update.node == self.local_node {
            return self.refute(update);
        }
        let known = self.members.get(&update.node);
        let is_newer = known.is_none_or(|known| {
            (update.incarnation, update.state) > (known.incarnation, known.state)
        });
        if !is_newer || (known.is_none() && update.state == MemberState::Dead) {
            return None;
        }
        let mut member = Member::new(update, now_us);
        let old_state = known.map(|known| known.state);
        if let Some(known) = known {
            member.last_heartbeat_us = known.last_heartbeat_us;
            member.state_hash = known.state_hash;
            member.revision = known.revision;
            let is_same_incarnation = known.incarnation == update.incarnation;
            member.holdings_version = if is_same_incarnation { known.holdings_version } else { 0 };
        }
        self.members.insert(update.node.clone(), member);
        self.queue_update(&update.node);
        let change = MemberChange { node: update.node.clone(), state: update.state };
        (old_state != Some(update.state)).then_some(change)
    }

    /// Records a peer's heartbeat. Returns whether the peer's holdings are newer than those known.
    pub fn record_heartbeat(&mut self, now_us: u64, heartbeat: &Heartbeat) -> bool {
        let Some(member) = self.members.get_mut(&heartbeat.from.node) else { return false };
        member.last_heartbeat_us = now_us;
        member.revision = heartbeat.revision;
        heartbeat.holdings_version > member.holdings_version
    }

    /// Records which version of a peer's holdings this node has.
    pub fn record_holdings_version(&mut self, node: &str, version: u64) {
        if let Some(member) = self.members.get_mut(node) {
            member.holdings_version = member.holdings_version.max(version);
        }
    }

    /// Marks a member that answered neither direct nor indirect probes as suspected. A member that
    /// is leaving is marked as dead at once.
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

    /// Marks suspected members as dead after the suspicion timeout, and removes members that have
    /// been dead for the retention time. Returns the members that are now dead.
    pub fn expire(
        &mut self,
        now_us: u64,
        suspicion_timeout_us: u64,
        dead_retention_us: u64,
    ) -> Vec<MemberChange> {
        self.members.retain(|_, member| {
            member.state != MemberState::Dead || now_us < member.state_since_us + dead_retention_us
        });
        let is_expired = |member: &&Member| {
            member.state == MemberState::Suspect
                && now_us >= member.state_since_us + suspicion_timeout_us
        };
        let expired: Vec<MemberUpdate> = self
            .members
            .values()
            .filter(is_expired)
            .map(|member| MemberUpdate { state: MemberState::Dead, ..member.to_update() })
            .collect();
        expired.iter().filter_map(|update| self.merge(now_us, update)).collect()
    }

    /// Marks this node as leaving and queues the update.
    pub fn leave(&mut self, now_us: u64) {
        let local_node = self.local_node.clone();
        if let Some(member) = self.members.get_mut(&local_node) {
            member.state = MemberState::Leaving;
            member.state_since_us = now_us;
        }
        self.queue_update(&local_node);
    }

    /// Returns the next member to probe: each member once per round, in random order.
    pub fn next_probe_target(&mut self, rng: &mut impl Rng) -> Option<&Member> {
        // If the table has more than doubled, a new round starts. Otherwise only the few members
        // known when the round began would be probed until it ends.
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
            if self.members.get(&node).is_some_and(|member| member.state != MemberState::Dead) {
                return self.members.get(&node);
            }
        }
    }

    /// Returns up to `count` random peers that are alive, excluding one node.
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

    /// Returns the members that changed since the last call, and clears their queued updates.
    ///
    /// Used by code that spreads updates by its own protocol.
    pub fn take_changed_nodes(&mut self) -> Vec<EcoString> {
        self.pending_updates.drain(..).map(|(node, _)| node).collect()
    }

    /// Returns the updates to send with a heartbeat: up to `queued_count` queued ones, then up to
    /// `sync_count` from a round-robin through the whole table.
    pub fn take_updates(&mut self, queued_count: usize, sync_count: usize) -> Vec<MemberUpdate> {
        let queued: Vec<EcoString> =
            self.pending_updates.keys().take(queued_count).cloned().collect();
        let mut updates = Vec::new();
        for node in queued {
            self.record_update_sent(&node);
            updates.extend(self.members.get(&node).map(Member::to_update));
        }
        for _ in 0..sync_count.min(self.members.len()) {
            self.sync_cursor = (self.sync_cursor + 1) % self.members.len();
            let Some((node, member)) = self.members.get_index(self.sync_cursor) else { continue };
            if updates.iter().all(|update| update.node != *node) {
                updates.push(member.to_update());
            }
        }
        updates
    }

    /// Counts one send of a member's update and moves it to the end of the queue, so that the
    /// updates sent least come first.
    fn record_update_sent(&mut self, node: &EcoString) {
        let Some(remaining) = self.pending_updates.shift_remove(node) else { return };
        if remaining > 1 {
            self.pending_updates.insert(node.clone(), remaining - 1);
        }
    }

    /// Raises this node's incarnation above that of a wrong update on it.
    ///
    /// A node that was paused or partitioned may be believed dead by others. It learns this from
    /// the next heartbeat, and its raised incarnation overrides the wrong state in all tables.
    fn refute(&mut self, update: &MemberUpdate) -> Option<MemberChange> {
        let local_node = self.local_node.clone();
        let member = self.members.get_mut(&local_node)?;
        let is_wrong = (update.incarnation, update.state) > (member.incarnation, member.state);
        if !is_wrong {
            return None;
        }
        member.incarnation = update.incarnation + 1;
        self.queue_update(&local_node);
        None
    }

    /// Queues a member's update for sending, and updates its hash and the table's hash.
    fn queue_update(&mut self, node: &EcoString) {
        let send_count = 3 * (self.members.len() + 1).ilog2().max(1);
        self.pending_updates.insert(node.clone(), send_count);
        let Some(member) = self.members.get_mut(node) else { return };
        let old_hash = std::mem::replace(&mut member.state_hash, 0);
        if member.state != MemberState::Dead {
            member.state_hash = hash_member(member);
        }
        self.members_hash =
            self.members_hash.wrapping_sub(old_hash).wrapping_add(member.state_hash);
    }
}

/// Hashes the fields of a member on which nodes must agree.
fn hash_member(member: &Member) -> u64 {
    let text = ecow::eco_format!("{} {} {:?}", member.node, member.incarnation, member.state);
    xxh3_64(text.as_bytes())
}
