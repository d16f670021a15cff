//! Who is there: heartbeats between nodes over datagrams, in the manner of SWIM.
//!
//! A heartbeat says whether its sender is alive, and a hash of the members that it knows. Only nodes
//! whose hashes differ tell each other more: first what changed lately, then, by digests, what else
//! differs. So a fleet in calm pays for its probes alone, however large it is.

mod policy;
mod roles;

use ecow::EcoString;
use indexmap::{IndexMap, IndexSet};
use rand::rngs::StdRng;
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{RngExt, SeedableRng};
use sassafrasproxy_wire::{MemberState, MemberUpdate};

use super::broadcast_queue::BroadcastQueue;
use super::datagram::{DatagramKind, DatagramSender, GossipUpdate, LatestRevision, PeerDatagram};
use super::probe_tracker::ProbeTracker;
use super::recent_updates::RecentUpdates;
use super::source_selector::SourceSelector;
use crate::control::MemberChange;
use crate::{CrashReport, Digests, DirectoryNode, Member, MemberTable};

pub use self::policy::GossipPolicy;

/// How many datagrams probe a member once more that missed its last probe.
const RETRY_PROBE_COPIES: usize = 2;

/// How many members of a failure domain must be suspected before others of it are probed.
const MIN_DOMAIN_SUSPECTS: usize = 2;

/// How many of these are probed at a tick.
const MAX_SUSPECT_DOMAIN_PROBES: usize = 2;

/// How many peers hear at once that a member is suspected or leaves; they pass it on.
const URGENT_FANOUT: usize = 3;

/// How many such changes go with one datagram: a failure domain's, as far as they fit.
const MAX_URGENT_UPDATES: usize = 64;

/// How many recent changes go with one datagram of an exchange.
const MAX_RECENT_UPDATES: usize = 12;

/// How far apart a node tells such changes, in microseconds, so that many share a datagram.
const URGENT_INTERVAL_US: u64 = 100_000;

/// How many peers hear at once of what cannot wait; they pass it on.
const NOTICE_FANOUT: usize = 24;

/// How many addresses that are no member's are tried at a tick.
const MAX_SEED_PROBES: usize = 8;

/// Each how many ticks a node that has just started probes any member, besides those near it.
const ANY_DOMAIN_PROBE_INTERVAL_TICKS: u64 = 3;

/// How many members share a digest.
const MEMBERS_PER_DIGEST: usize = 2;

/// The most digests in a datagram: a quarter of its room.
const MAX_DIGESTS: usize = 64;

/// What gossip asks its shell to send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutgoingDatagram {
    /// Where to.
    pub peer_address: EcoString,
    /// What.
    pub datagram: PeerDatagram,
}

/// A change of a member's state, for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberLogEvent {
    /// The member.
    pub node: EcoString,
    /// Its new state.
    pub state: MemberState,
}

/// The membership of one node.
#[derive(Debug)]
pub struct Gossip {
    policy: GossipPolicy,
    rng: StdRng,
    members: MemberTable,
    /// Peer addresses to try that are no member's.
    seeds: IndexSet<EcoString>,
    probes: ProbeTracker,
    recent_updates: RecentUpdates,
    source_selector: SourceSelector,
    started_us: u64,
    ticks: u64,
    /// Whether the last peer that was heard knew other members than this node.
    views_differ: bool,
    /// Whether a member is suspected or leaves, and peers were not told yet.
    has_urgent_changes: bool,
    /// When peers were last told so.
    last_urgent_us: u64,
    /// How far this node follows the store.
    store_revision: u64,
    is_store_unavailable: bool,
    /// Never below `store_revision`.
    latest: LatestRevision,
    log_events: Vec<MemberLogEvent>,
    crash_reports: BroadcastQueue<CrashReport>,
    stopped_rollouts: BroadcastQueue<u64>,
}

impl Gossip {
    /// A membership of this node only.
    pub fn new(
        me: &MemberUpdate,
        seeds: impl IntoIterator<Item = EcoString>,
        policy: GossipPolicy,
        seed: u64,
        now_us: u64,
    ) -> Self {
        let mut gossip = Self {
            policy,
            rng: StdRng::seed_from_u64(seed),
            members: MemberTable::new(me, now_us),
            seeds: seeds.into_iter().collect(),
            probes: ProbeTracker::default(),
            recent_updates: RecentUpdates::default(),
            source_selector: SourceSelector::default(),
            started_us: now_us,
            ticks: 0,
            views_differ: true,
            has_urgent_changes: false,
            last_urgent_us: 0,
            store_revision: 0,
            is_store_unavailable: false,
            latest: LatestRevision::default(),
            log_events: Vec::new(),
            crash_reports: BroadcastQueue::default(),
            stopped_rollouts: BroadcastQueue::default(),
        };
        gossip.seeds.swap_remove(&me.peer_address);
        gossip.record_recent_updates(now_us, true);
        gossip
    }

    /// Sets how far this node follows the store.
    pub fn set_store_revision(&mut self, store_revision: u64) {
        self.store_revision = self.store_revision.max(store_revision);
        let peer_address = self.members.local_member().peer_address.clone();
        self.update_latest(&LatestRevision { revision: self.store_revision, peer_address });
    }

    /// Sets whether the store turns this node away.
    pub fn set_store_unavailable(&mut self, is_away: bool) {
        self.is_store_unavailable = is_away;
    }

    /// Adds a peer address to try.
    pub fn add_seed(&mut self, peer_address: EcoString) {
        if self.members.local_member().peer_address != peer_address {
            self.seeds.insert(peer_address);
        }
    }

    /// The time until the next tick, in microseconds.
    pub fn tick_delay_us(&self, now_us: u64) -> u64 {
        let is_alone =
            now_us < self.started_us + self.policy.isolated_wait_us && self.node_count() == 1;
        let is_hurried = is_alone || (self.is_starting(now_us) && self.views_differ);
        if is_hurried { self.policy.startup_tick_interval_us } else { self.policy.tick_interval_us }
    }

    /// Changes whenever a member does.
    pub fn members_hash(&self) -> u64 {
        self.members.members_hash()
    }

    /// Takes the passing of a tick in, and returns what to send.
    pub fn tick(&mut self, now_us: u64) -> Vec<OutgoingDatagram> {
        self.suspect_unresponsive(now_us);
        let changes = self.members.expire(
            now_us,
            self.policy.suspicion_timeout_us,
            self.policy.dead_retention_us,
        );
        self.record_changes(now_us, changes);
        let again = self.probes.retry_missed(now_us, &self.members);
        let mut targets = IndexSet::new();
        let is_hurried = self.is_starting(now_us) && self.views_differ;
        if is_hurried {
            targets.extend(self.same_domain_peers(self.policy.startup_probes_per_tick));
        }
        self.ticks += 1;
        let is_far_due = !is_hurried
            || targets.is_empty()
            || self.ticks.is_multiple_of(ANY_DOMAIN_PROBE_INTERVAL_TICKS);
        let probes = if is_far_due { self.policy.probes_per_tick } else { 0 };
        for _ in 0..probes {
            let Some(member) = self.members.next_probe_target(&mut self.rng) else { break };
            targets.insert(member.peer_address.clone());
            self.probes.record_sent(now_us, member.node.clone());
        }
        for member in self.suspect_domain_members() {
            self.probes.record_sent(now_us, member.node);
            targets.insert(member.peer_address);
        }
        let copies = std::iter::repeat_n(again, RETRY_PROBE_COPIES).flatten();
        let mut sends: Vec<OutgoingDatagram> =
            targets.into_iter().chain(copies).map(|to| self.probe(now_us, to)).collect();
        if is_hurried {
            for send in &mut sends {
                send.datagram.digests = Some(self.digests(None));
            }
        }
        for stranger in self.unknown_seeds() {
            let mut introduction = self.probe(now_us, stranger);
            introduction.datagram.fill([GossipUpdate::full(self.members.local_member())]);
            sends.push(introduction);
        }
        sends.extend(self.send_urgent(now_us));
        sends
    }

    /// Takes a datagram in, and returns what to send.
    pub fn receive(
        &mut self,
        now_us: u64,
        peer_address: &str,
        datagram: &PeerDatagram,
    ) -> Vec<OutgoingDatagram> {
        for news in &datagram.updates {
            self.apply_update(now_us, news);
        }
        self.process_sender(now_us, datagram);
        self.crash_reports.enqueue(now_us, &datagram.crash_reports);
        self.stopped_rollouts.enqueue(now_us, &datagram.stopped_rollouts);
        let mut sends = self.send_urgent(now_us);
        sends.extend(self.reply(now_us, peer_address, datagram));
        if self.is_store_unavailable && !datagram.trial_reports.is_empty() {
            // The sender hears that this node cannot decide, and reports to another.
            let datagram = self.datagram(now_us, DatagramKind::Notice);
            sends.push(OutgoingDatagram { peer_address: peer_address.into(), datagram });
        }
        sends
    }

    /// The answer to a datagram if it is owed one.
    fn reply(
        &mut self,
        now_us: u64,
        peer_address: &str,
        datagram: &PeerDatagram,
    ) -> Option<OutgoingDatagram> {
        let from = &datagram.sender;
        let is_introduction = !datagram.updates.is_empty();
        self.views_differ = datagram.members_hash != self.members.members_hash();
        let is_probe = datagram.kind == DatagramKind::Probe;
        if !self.views_differ && !is_probe {
            return None;
        }
        let kind = reply_kind(datagram.kind)?;
        let mut reply = self.datagram(now_us, kind);
        if !self.views_differ {
            return Some(OutgoingDatagram { peer_address: peer_address.into(), datagram: reply });
        }
        // A node that is thought dead or suspected learns so at once, and refutes it.
        let known = self.members.member(&from.node);
        let wrong = known.filter(|known| known.state != from.state).map(GossipUpdate::state_only);
        reply.fill(wrong);
        if is_probe && is_introduction {
            reply.fill([GossipUpdate::full(self.members.local_member())]);
        }
        if datagram.digests.is_some() || kind != DatagramKind::Answer {
            let part = datagram.digests.as_ref().map(|theirs| (theirs.part, theirs.parts));
            reply.digests = Some(self.digests(part));
        }
        match &datagram.digests {
            Some(theirs) => self.fill_differing(&mut reply, theirs),
            None => reply.fill(self.recent_updates.updates_since(
                now_us,
                0,
                MAX_RECENT_UPDATES,
                &self.members,
            )),
        }
        Some(OutgoingDatagram { peer_address: peer_address.into(), datagram: reply })
    }

    /// Announces that this node is leaving, to some peers at once, which pass it on.
    pub fn leave(&mut self, now_us: u64) -> Vec<OutgoingDatagram> {
        self.members.leave(now_us);
        self.record_recent_updates(now_us, false);
        self.notify(now_us, now_us, NOTICE_FANOUT)
    }

    /// Tells some peers at once that a replica died under a request; they pass it on.
    pub fn report_crash(&mut self, now_us: u64, report: CrashReport) -> Vec<OutgoingDatagram> {
        self.crash_reports.enqueue(now_us, &[report]);
        self.notify(now_us, now_us, NOTICE_FANOUT)
    }

    /// Tells some peers at once that a roll-out was stopped; they pass it on.
    pub fn announce_rollout_stop(
        &mut self,
        now_us: u64,
        order_revision: u64,
    ) -> Vec<OutgoingDatagram> {
        self.stopped_rollouts.enqueue(now_us, &[order_revision]);
        self.notify(now_us, now_us, NOTICE_FANOUT)
    }

    /// The changes of members since the last call.
    pub fn take_log_events(&mut self) -> Vec<MemberLogEvent> {
        std::mem::take(&mut self.log_events)
    }

    /// All members that are not dead, this node included, as the directory needs them.
    pub fn directory_nodes(&self) -> Vec<DirectoryNode> {
        let node = |member: &Member| DirectoryNode {
            address: member.address.clone(),
            failure_domain: member.failure_domain.clone(),
            relay_address: member.relay_address.clone(),
            cpu_millis: member.cpu_millis,
            state: member.state,
        };
        self.members.present().map(node).collect()
    }

    /// How many nodes may be sending to upstreams.
    pub fn node_count(&self) -> usize {
        self.members.present().count()
    }

    /// Whether a peer address is that of a member that is not suspected and does not leave.
    pub fn is_alive(&self, peer_address: &str) -> bool {
        self.members
            .by_peer_address(peer_address)
            .is_some_and(|member| member.state == MemberState::Alive)
    }

    fn is_starting(&self, now_us: u64) -> bool {
        now_us < self.started_us + self.policy.startup_us && self.node_count() > 1
    }

    fn update_latest(&mut self, heard: &LatestRevision) {
        if heard.revision >= self.latest.revision {
            self.latest = heard.clone();
        }
    }

    /// Takes in what a datagram says of its sender.
    fn process_sender(&mut self, now_us: u64, datagram: &PeerDatagram) {
        let from = &datagram.sender;
        if let Some(known) = self.members.member(&from.node) {
            let incarnation = from.incarnation;
            let update = MemberUpdate { incarnation, state: from.state, ..known.to_update() };
            self.merge(now_us, &update);
            self.source_selector.set_store_unavailable(
                now_us,
                &from.node,
                datagram.is_store_unavailable,
            );
        }
        let is_own = datagram.latest.peer_address == self.members.local_member().peer_address;
        if !is_own && datagram.latest.revision > self.latest.revision {
            self.update_latest(&datagram.latest);
        }
        self.probes.record_heard(&from.node);
    }

    fn apply_update(&mut self, now_us: u64, news: &GossipUpdate) {
        match news {
            GossipUpdate::Full(member) => self.merge(now_us, &member.to_update()),
            GossipUpdate::StateOnly { name_hash, incarnation, state } => {
                // A member that is not known yet comes whole once the digests were compared.
                let Some(known) = self.members.by_name_hash(*name_hash) else { return };
                let (incarnation, state) = (*incarnation, *state);
                let update = MemberUpdate { incarnation, state, ..known.to_update() };
                self.merge(now_us, &update);
            }
        }
    }

    fn merge(&mut self, now_us: u64, update: &MemberUpdate) {
        let is_same_place = |known: &Member| {
            let (incarnation, state) = (update.incarnation, update.state);
            MemberUpdate { incarnation, state, ..known.to_update() } == *update
        };
        let is_whole = !self.members.member(&update.node).is_some_and(is_same_place);
        let change = self.members.merge(now_us, update);
        self.log_changes(change);
        self.record_recent_updates(now_us, is_whole);
    }

    /// Some peers of this node's failure domain, by chance.
    ///
    /// A node that starts learns most of the members from these, so that few bytes cross.
    fn same_domain_peers(&mut self, count: usize) -> Vec<EcoString> {
        let domain = self.members.local_member().domain_hash;
        let near = self.members.peers().filter(|one| one.domain_hash == domain);
        let near: Vec<&EcoString> = near.map(|one| &one.peer_address).collect();
        near.sample(&mut self.rng, count).map(|address| (*address).clone()).collect()
    }

    /// Some members of a failure domain of which others are suspected, as it may be lost as a whole.
    fn suspect_domain_members(&mut self) -> Vec<MemberUpdate> {
        let mut suspects: IndexMap<u64, usize> = IndexMap::new();
        for member in self.members.peers().filter(|one| one.state == MemberState::Suspect) {
            *suspects.entry(member.domain_hash).or_default() += 1;
        }
        let is_doubted = |one: &&Member| {
            let count = suspects.get(&one.domain_hash).copied().unwrap_or(0);
            one.state == MemberState::Alive && count >= MIN_DOMAIN_SUSPECTS
        };
        let candidates: Vec<&Member> = self.members.peers().filter(is_doubted).collect();
        let chosen = candidates.sample(&mut self.rng, MAX_SUSPECT_DOMAIN_PROBES);
        chosen.map(|member| member.to_update()).collect()
    }

    /// Suspects members that did not answer some probes in a row.
    fn suspect_unresponsive(&mut self, now_us: u64) {
        let (answer_us, misses) = (self.policy.probe_timeout_us, self.policy.suspect_after_misses);
        for node in self.probes.take_unresponsive(now_us, answer_us, misses) {
            let change = self.members.suspect(now_us, &node);
            self.record_changes(now_us, change);
        }
    }

    /// Some addresses to try that are no member's, other ones each time.
    fn unknown_seeds(&mut self) -> Vec<EcoString> {
        let unknown: Vec<EcoString> = self
            .seeds
            .iter()
            .filter(|seed| self.members.by_peer_address(seed).is_none())
            .cloned()
            .collect();
        unknown.sample(&mut self.rng, MAX_SEED_PROBES).cloned().collect()
    }

    fn record_changes(&mut self, now_us: u64, changes: impl IntoIterator<Item = MemberChange>) {
        self.log_changes(changes);
        self.record_recent_updates(now_us, false);
    }

    fn log_changes(&mut self, changes: impl IntoIterator<Item = MemberChange>) {
        for MemberChange { node, state } in changes {
            self.has_urgent_changes |= matches!(state, MemberState::Suspect | MemberState::Leaving);
            self.log_events.push(MemberLogEvent { node, state });
        }
    }

    /// Notes which members changed, for peers that differ.
    fn record_recent_updates(&mut self, now_us: u64, is_whole: bool) {
        for node in self.members.take_changed_nodes() {
            self.recent_updates.record(now_us, node, is_whole);
        }
    }

    /// Adds what a peer whose digests differ may not know, in a random order.
    fn fill_differing(&mut self, reply: &mut PeerDatagram, theirs: &Digests) {
        let mut differing = self.members.members_differing_from(theirs);
        differing.shuffle(&mut self.rng);
        reply.fill(differing.into_iter().map(|member| match member.state {
            MemberState::Dead => GossipUpdate::state_only(member),
            MemberState::Alive | MemberState::Suspect | MemberState::Leaving => {
                GossipUpdate::full(member)
            }
        }));
    }

    /// The digests of a part that a peer chose, or of one by chance.
    fn digests(&mut self, part: Option<(u32, u32)>) -> Digests {
        let all = self.node_count().div_ceil(MEMBERS_PER_DIGEST).next_power_of_two();
        let count = all.min(MAX_DIGESTS);
        let (part, parts) = part.unwrap_or_else(|| {
            let parts = (all / count) as u32;
            (self.rng.random_range(0..parts), parts)
        });
        self.members.digests(part, parts, count)
    }

    /// Tells a few peers that members are suspected or leave, if any are and nobody was told.
    ///
    /// Callers are sent to lost nodes until the directories know: probes alone would take seconds
    /// to tell a large fleet.
    fn send_urgent(&mut self, now_us: u64) -> Vec<OutgoingDatagram> {
        if !self.has_urgent_changes || now_us < self.last_urgent_us + URGENT_INTERVAL_US {
            return Vec::new();
        }
        self.has_urgent_changes = false;
        let since_us = std::mem::replace(&mut self.last_urgent_us, now_us);
        self.notify(now_us, since_us, URGENT_FANOUT)
    }

    /// Tells some peers what changed since a time.
    fn notify(&mut self, now_us: u64, since_us: u64, count: usize) -> Vec<OutgoingDatagram> {
        let peers = self.members.random_peers(&mut self.rng, count, "");
        let peers: Vec<EcoString> = peers.iter().map(|peer| peer.peer_address.clone()).collect();
        let notice = |peer_address| {
            let mut datagram = self.datagram(now_us, DatagramKind::Notice);
            datagram.fill(self.recent_updates.updates_since(
                now_us,
                since_us,
                MAX_URGENT_UPDATES,
                &self.members,
            ));
            OutgoingDatagram { peer_address, datagram }
        };
        peers.into_iter().map(notice).collect()
    }

    fn probe(&mut self, now_us: u64, peer_address: EcoString) -> OutgoingDatagram {
        OutgoingDatagram { peer_address, datagram: self.datagram(now_us, DatagramKind::Probe) }
    }

    /// A datagram with what every datagram says.
    fn datagram(&mut self, now_us: u64, kind: DatagramKind) -> PeerDatagram {
        let me = self.members.local_member();
        let from =
            DatagramSender { node: me.node.clone(), incarnation: me.incarnation, state: me.state };
        PeerDatagram {
            kind,
            sender: from,
            members_hash: self.members.members_hash(),
            latest: self.latest.clone(),
            is_store_unavailable: self.is_store_unavailable,
            crash_reports: self.crash_reports.take_batch(now_us),
            stopped_rollouts: self.stopped_rollouts.take_batch(now_us),
            trial_reports: Vec::new(),
            digests: None,
            updates: Vec::new(),
        }
    }
}

/// The next step of an exchange between nodes that differ.
fn reply_kind(heard: DatagramKind) -> Option<DatagramKind> {
    match heard {
        DatagramKind::Probe => Some(DatagramKind::Answer),
        DatagramKind::Answer => Some(DatagramKind::Compare),
        DatagramKind::Compare => Some(DatagramKind::Differences),
        DatagramKind::Differences => Some(DatagramKind::Rest),
        DatagramKind::Rest | DatagramKind::Notice => None,
    }
}
