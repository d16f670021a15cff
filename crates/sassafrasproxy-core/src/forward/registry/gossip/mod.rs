//! Tracks the membership of the nodes by probes and answers in datagrams, similar to SWIM.
//!
//! Each datagram shows that its sender is alive and carries a hash over the sender's members. Only
//! nodes whose hashes differ exchange more: first the recent changes, then, by digests, all other
//! differences. While nothing changes, a node's traffic thus consists of probes and answers only,
//! regardless of the size of the fleet.

mod policy;
mod roles;

use ecow::EcoString;
use indexmap::{IndexMap, IndexSet};
use rand::rngs::StdRng;
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{RngExt, SeedableRng};
use sassafrasproxy_wire::{MemberState, MemberUpdate};

use super::broadcast_queue::BroadcastQueue;
use super::datagram::{
    AnsweredRequest, DatagramKind, DatagramSender, GossipUpdate, LatestRevision, PeerDatagram,
};
use super::probe_tracker::ProbeTracker;
use super::recent_updates::RecentUpdates;
use super::source_selector::SourceSelector;
use crate::control::MemberChange;
use crate::{
    CrashReport, Digests, DirectoryNode, FleetWork, Member, MemberTable, WorkMeter,
    assumed_work_millis, ingress_nodes, mark_ingress_nodes,
};

pub use self::policy::GossipPolicy;

/// The number of datagrams that are sent to probe a member again after a missed probe.
const RETRY_PROBE_COPIES: usize = 2;

/// The minimum number of suspected members in a failure domain at which its other members get extra
/// probes.
const MIN_DOMAIN_SUSPECTS: usize = 2;

/// The maximum number of extra probes per tick to members of failure domains with at least
/// `MIN_DOMAIN_SUSPECTS` suspected members.
const MAX_SUSPECT_DOMAIN_PROBES: usize = 2;

/// The number of peers that are notified at once that a member is suspected or leaving; they pass
/// it on.
const URGENT_FANOUT: usize = 3;

/// The maximum number of urgent updates in a datagram.
///
/// High enough to report the loss of a whole failure domain, as far as the datagram's size permits.
const MAX_URGENT_UPDATES: usize = 64;

/// The maximum number of recent updates in a datagram of an exchange.
const MAX_RECENT_UPDATES: usize = 12;

/// The minimum interval between urgent notices of a node, in microseconds.
///
/// Changes within an interval share a datagram.
const URGENT_INTERVAL_US: u64 = 100_000;

/// The number of peers that are notified at once of an event that cannot wait; they pass it on.
const NOTICE_FANOUT: usize = 24;

/// The maximum number of probes per tick to seeds that are not yet a member's address.
const MAX_SEED_PROBES: usize = 8;

/// The number of ticks between probes to members of any failure domain, for a node that has just
/// started and otherwise probes its own failure domain.
const ANY_DOMAIN_PROBE_INTERVAL_TICKS: u64 = 3;

/// The number of members that share a digest.
const MEMBERS_PER_DIGEST: usize = 2;

/// The maximum number of digests in a datagram; they take up a quarter of its size.
const MAX_DIGESTS: usize = 64;

/// A datagram that the caller of `Gossip` has to send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutgoingDatagram {
    /// The peer address to send to.
    pub peer_address: EcoString,
    /// The datagram to send.
    pub datagram: PeerDatagram,
}

/// A change of a member's state, for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberLogEvent {
    /// The name of the member.
    pub node: EcoString,
    /// The member's new state.
    pub state: MemberState,
}

/// A node's view of the members, and the state of its exchanges with peers.
#[derive(Debug)]
pub struct Gossip {
    policy: GossipPolicy,
    rng: StdRng,
    members: MemberTable,
    /// The peer addresses through which members are found, except this node's own.
    seeds: IndexSet<EcoString>,
    probes: ProbeTracker,
    recent_updates: RecentUpdates,
    source_selector: SourceSelector,
    started_us: u64,
    ticks: u64,
    /// Whether the last datagram received came from a peer with a different view of the members.
    views_differ: bool,
    /// Whether a member became suspected or leaving and peers were not notified yet.
    has_urgent_changes: bool,
    /// The time at which peers were last notified of urgent changes.
    last_urgent_us: u64,
    /// The revision of the store up to which this node has synced.
    store_revision: u64,
    is_store_unavailable: bool,
    /// The latest revision that any node is known to have synced to; never below `store_revision`.
    latest: LatestRevision,
    log_events: Vec<MemberLogEvent>,
    crash_reports: BroadcastQueue<CrashReport>,
    answered_requests: BroadcastQueue<AnsweredRequest>,
    stopped_rollouts: BroadcastQueue<u64>,
    fleet_work: FleetWork,
    work_meter: WorkMeter,
}

impl Gossip {
    /// Creates a view that contains this node only.
    pub fn new(
        local_member: &MemberUpdate,
        seeds: impl IntoIterator<Item = EcoString>,
        policy: GossipPolicy,
        seed: u64,
        now_us: u64,
    ) -> Self {
        let mut gossip = Self {
            policy,
            rng: StdRng::seed_from_u64(seed),
            members: MemberTable::new(local_member, now_us),
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
            answered_requests: BroadcastQueue::default(),
            stopped_rollouts: BroadcastQueue::default(),
            fleet_work: FleetWork::default(),
            work_meter: WorkMeter::default(),
        };
        gossip.seeds.swap_remove(&local_member.peer_address);
        gossip.record_recent_updates(now_us, true);
        gossip
    }

    /// Sets the revision of the store up to which this node has synced; a lower one has no effect.
    pub fn set_store_revision(&mut self, store_revision: u64) {
        self.store_revision = self.store_revision.max(store_revision);
        let peer_address = self.members.local_member().peer_address.clone();
        self.update_latest(&LatestRevision { revision: self.store_revision, peer_address });
    }

    /// Sets whether the store is unavailable to this node.
    pub fn set_store_unavailable(&mut self, is_unavailable: bool) {
        self.is_store_unavailable = is_unavailable;
    }

    /// Adds a peer address to probe until it is a member's.
    pub fn add_seed(&mut self, peer_address: EcoString) {
        if self.members.local_member().peer_address != peer_address {
            self.seeds.insert(peer_address);
        }
    }

    /// Returns the time until the next tick, in microseconds.
    pub fn tick_delay_us(&self, now_us: u64) -> u64 {
        let is_alone =
            now_us < self.started_us + self.policy.isolated_wait_us && self.node_count() == 1;
        let is_converging = is_alone || (self.is_starting(now_us) && self.views_differ);
        if is_converging {
            self.policy.startup_tick_interval_us
        } else {
            self.policy.tick_interval_us
        }
    }

    /// Returns a hash that changes whenever a member changes.
    pub fn members_hash(&self) -> u64 {
        self.members.members_hash()
    }

    /// Advances by one tick, and returns the datagrams to send.
    pub fn tick(&mut self, now_us: u64) -> Vec<OutgoingDatagram> {
        self.fleet_work.advance(now_us);
        let cpu_millis = self.members.present().map(|member| member.cpu_millis);
        self.fleet_work.limit(cpu_millis.fold(0, u32::saturating_add));
        self.suspect_unresponsive(now_us);
        let changes = self.members.expire(
            now_us,
            self.policy.suspicion_timeout_us,
            self.policy.dead_retention_us,
        );
        self.record_changes(now_us, changes);
        let retries = self.probes.retry_missed(now_us, &self.members);
        let mut targets = IndexSet::new();
        let is_converging = self.is_starting(now_us) && self.views_differ;
        if is_converging {
            targets.extend(self.same_domain_peers(self.policy.startup_probes_per_tick));
        }
        self.ticks += 1;
        let is_any_domain_due = !is_converging
            || targets.is_empty()
            || self.ticks.is_multiple_of(ANY_DOMAIN_PROBE_INTERVAL_TICKS);
        let probes = if is_any_domain_due { self.policy.probes_per_tick } else { 0 };
        for _ in 0..probes {
            let Some(member) = self.members.next_probe_target(&mut self.rng) else { break };
            targets.insert(member.peer_address.clone());
            self.probes.record_sent(now_us, member.node.clone());
        }
        for member in self.suspect_domain_members() {
            self.probes.record_sent(now_us, member.node);
            targets.insert(member.peer_address);
        }
        let retries = std::iter::repeat_n(retries, RETRY_PROBE_COPIES).flatten();
        let mut sends: Vec<OutgoingDatagram> =
            targets.into_iter().chain(retries).map(|address| self.probe(now_us, address)).collect();
        if is_converging {
            for send in &mut sends {
                send.datagram.digests = Some(self.digests(None));
            }
        }
        for seed in self.unknown_seeds() {
            let mut introduction = self.probe(now_us, seed);
            introduction.datagram.fill([GossipUpdate::full(self.members.local_member())]);
            sends.push(introduction);
        }
        sends.extend(self.send_urgent(now_us));
        sends
    }

    /// Applies a datagram received from `peer_address`, and returns the datagrams to send.
    pub fn receive(
        &mut self,
        now_us: u64,
        peer_address: &str,
        datagram: &PeerDatagram,
    ) -> Vec<OutgoingDatagram> {
        for update in &datagram.updates {
            self.apply_update(now_us, update);
        }
        self.process_sender(now_us, datagram);
        self.fleet_work.record_report(now_us, datagram.work);
        self.crash_reports.enqueue(now_us, &datagram.crash_reports);
        self.answered_requests.enqueue(now_us, &datagram.answered_requests);
        self.stopped_rollouts.enqueue(now_us, &datagram.stopped_rollouts);
        let mut sends = self.send_urgent(now_us);
        sends.extend(self.reply(now_us, peer_address, datagram));
        if self.is_store_unavailable && !datagram.trial_reports.is_empty() {
            // Informs the sender that this node cannot coordinate, so that it reports to another.
            let datagram = self.datagram(now_us, DatagramKind::Notice);
            sends.push(OutgoingDatagram { peer_address: peer_address.into(), datagram });
        }
        sends
    }

    /// Returns the reply to a datagram; `None` if the exchange ends with the datagram.
    fn reply(
        &mut self,
        now_us: u64,
        peer_address: &str,
        datagram: &PeerDatagram,
    ) -> Option<OutgoingDatagram> {
        let sender = &datagram.sender;
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
        // If this node has another state of the sender, such as suspected or dead, the reply
        // carries that state, so that the sender can refute it.
        let known = self.members.member(&sender.node);
        let outdated =
            known.filter(|known| known.state != sender.state).map(GossipUpdate::state_only);
        reply.fill(outdated);
        if is_probe && is_introduction {
            reply.fill([GossipUpdate::full(self.members.local_member())]);
        }
        if datagram.digests.is_some() || kind != DatagramKind::Answer {
            let part = datagram.digests.as_ref().map(|digests| (digests.part, digests.parts));
            reply.digests = Some(self.digests(part));
        }
        match &datagram.digests {
            Some(digests) => self.fill_differing(&mut reply, digests),
            None => reply.fill(self.recent_updates.updates_since(
                now_us,
                0,
                MAX_RECENT_UPDATES,
                &self.members,
            )),
        }
        Some(OutgoingDatagram { peer_address: peer_address.into(), datagram: reply })
    }

    /// Announces to some peers at once that this node is leaving; they pass it on.
    pub fn leave(&mut self, now_us: u64) -> Vec<OutgoingDatagram> {
        self.members.leave(now_us);
        self.record_recent_updates(now_us, false);
        self.notify(now_us, now_us, NOTICE_FANOUT)
    }

    /// Reports to some peers at once that a replica crashed while it processed a request; they pass
    /// it on.
    pub fn report_crash(&mut self, now_us: u64, report: CrashReport) -> Vec<OutgoingDatagram> {
        self.crash_reports.enqueue(now_us, &[report]);
        self.notify(now_us, now_us, NOTICE_FANOUT)
    }

    /// Announces to some peers at once that a replica answered a request with crash reports; they
    /// pass it on.
    pub fn announce_answer(&mut self, now_us: u64, fingerprint: u64) -> Vec<OutgoingDatagram> {
        let answer = AnsweredRequest { fingerprint, answer_id: self.rng.random() };
        self.answered_requests.enqueue(now_us, &[answer]);
        self.notify(now_us, now_us, NOTICE_FANOUT)
    }

    /// Announces to some peers at once that a rollout was stopped; they pass it on.
    pub fn announce_rollout_stop(
        &mut self,
        now_us: u64,
        order_revision: u64,
    ) -> Vec<OutgoingDatagram> {
        self.stopped_rollouts.enqueue(now_us, &[order_revision]);
        self.notify(now_us, now_us, NOTICE_FANOUT)
    }

    /// Takes the changes of members since the last call.
    pub fn take_log_events(&mut self) -> Vec<MemberLogEvent> {
        std::mem::take(&mut self.log_events)
    }

    /// Returns all members that are not dead, including this node, for the directory, in the order
    /// of their addresses.
    pub fn directory_nodes(&self) -> Vec<DirectoryNode> {
        let node = |member: &Member| DirectoryNode {
            address: member.address.clone(),
            failure_domain: member.failure_domain.clone(),
            relay_address: member.relay_address.clone(),
            cpu_millis: member.cpu_millis,
            state: member.state,
            is_ingress: false,
        };
        let mut nodes: Vec<DirectoryNode> = self.members.present().map(node).collect();
        nodes.sort_by(|left, right| left.address.cmp(&right.address));
        let work_millis = self.fleet_work.work_millis_or(assumed_work_millis(&nodes));
        mark_ingress_nodes(&mut nodes, work_millis);
        nodes
    }

    /// Returns the work on all ingress nodes that nodes have measured or assume, in thousandths of a
    /// core; together with the members, it determines which nodes are ingress nodes.
    pub fn work_millis(&self) -> u32 {
        self.fleet_work.work_millis()
    }

    /// Records the number of sends to replicas and relayed sends of this node since its start.
    ///
    /// Callers are spread evenly over the ingress nodes, so the work of each shows that of all.
    pub fn record_sends(&mut self, now_us: u64, sends: u64) {
        if !self.work_meter.is_due(now_us) {
            return;
        }
        let nodes = self.directory_nodes();
        let ingress = ingress_nodes(&nodes);
        let local_address = &self.members.local_member().address;
        let is_ingress = ingress.iter().any(|node| node.address == *local_address);
        let measured_millis = self.work_meter.record(now_us, sends, ingress.len());
        let measured_millis = if is_ingress { measured_millis } else { 0 };
        self.fleet_work.record(now_us, measured_millis.max(assumed_work_millis(&nodes)));
    }

    /// Returns the number of nodes that may send to upstreams: the members that are not dead.
    pub fn node_count(&self) -> usize {
        self.members.present().count()
    }

    /// Whether a peer address belongs to a member that is alive: not suspected, leaving or dead.
    pub fn is_alive(&self, peer_address: &str) -> bool {
        self.members
            .by_peer_address(peer_address)
            .is_some_and(|member| member.state == MemberState::Alive)
    }

    fn is_starting(&self, now_us: u64) -> bool {
        now_us < self.started_us + self.policy.startup_us && self.node_count() > 1
    }

    fn update_latest(&mut self, latest: &LatestRevision) {
        if latest.revision >= self.latest.revision {
            self.latest = latest.clone();
        }
    }

    /// Applies the sender's state and the latest revision, and ends the sender's pending probe.
    fn process_sender(&mut self, now_us: u64, datagram: &PeerDatagram) {
        let sender = &datagram.sender;
        if let Some(known) = self.members.member(&sender.node) {
            let incarnation = sender.incarnation;
            let update = MemberUpdate { incarnation, state: sender.state, ..known.to_update() };
            self.merge(now_us, &update);
            self.source_selector.set_store_unavailable(
                now_us,
                &sender.node,
                datagram.is_store_unavailable,
            );
        }
        let is_own = datagram.latest.peer_address == self.members.local_member().peer_address;
        if !is_own && datagram.latest.revision > self.latest.revision {
            self.update_latest(&datagram.latest);
        }
        self.probes.record_received(&sender.node);
    }

    fn apply_update(&mut self, now_us: u64, update: &GossipUpdate) {
        match update {
            GossipUpdate::Full(member) => self.merge(now_us, &member.to_update()),
            GossipUpdate::StateOnly { name_hash, incarnation, state } => {
                // The full record of an unknown member follows once digests have been compared.
                let Some(known) = self.members.by_name_hash(*name_hash) else { return };
                let (incarnation, state) = (*incarnation, *state);
                let update = MemberUpdate { incarnation, state, ..known.to_update() };
                self.merge(now_us, &update);
            }
        }
    }

    fn merge(&mut self, now_us: u64, update: &MemberUpdate) {
        let is_same_record = |known: &Member| {
            let (incarnation, state) = (update.incarnation, update.state);
            MemberUpdate { incarnation, state, ..known.to_update() } == *update
        };
        let is_full = !self.members.member(&update.node).is_some_and(is_same_record);
        let change = self.members.merge(now_us, update);
        self.log_changes(change);
        self.record_recent_updates(now_us, is_full);
    }

    /// Returns random peers of this node's failure domain.
    ///
    /// A node that starts learns most of the members from these, so that little traffic crosses
    /// failure domains.
    fn same_domain_peers(&mut self, count: usize) -> Vec<EcoString> {
        let domain = self.members.local_member().domain_hash;
        let peers = self.members.peers().filter(|member| member.domain_hash == domain);
        let addresses: Vec<&EcoString> = peers.map(|member| &member.peer_address).collect();
        addresses.sample(&mut self.rng, count).map(|address| (*address).clone()).collect()
    }

    /// Returns random members of failure domains in which other members are suspected, because the
    /// whole failure domain may be lost.
    fn suspect_domain_members(&mut self) -> Vec<MemberUpdate> {
        let mut suspects: IndexMap<u64, usize> = IndexMap::new();
        for member in self.members.peers().filter(|member| member.state == MemberState::Suspect) {
            *suspects.entry(member.domain_hash).or_default() += 1;
        }
        let is_candidate = |member: &&Member| {
            let count = suspects.get(&member.domain_hash).copied().unwrap_or(0);
            member.state == MemberState::Alive && count >= MIN_DOMAIN_SUSPECTS
        };
        let candidates: Vec<&Member> = self.members.peers().filter(is_candidate).collect();
        let chosen = candidates.sample(&mut self.rng, MAX_SUSPECT_DOMAIN_PROBES);
        chosen.map(|member| member.to_update()).collect()
    }

    /// Suspects the members that did not answer `suspect_after_misses` probes in a row.
    fn suspect_unresponsive(&mut self, now_us: u64) {
        let (timeout_us, misses) = (self.policy.probe_timeout_us, self.policy.suspect_after_misses);
        for node in self.probes.take_unresponsive(now_us, timeout_us, misses) {
            let change = self.members.suspect(now_us, &node);
            self.record_changes(now_us, change);
        }
    }

    /// Returns a random choice of the seeds that are not a member's address.
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

    /// Records which members changed, for peers whose view differs.
    fn record_recent_updates(&mut self, now_us: u64, is_full: bool) {
        for node in self.members.take_changed_nodes() {
            self.recent_updates.record(now_us, node, is_full);
        }
    }

    /// Adds the members that differ from a peer's digests, in random order.
    fn fill_differing(&mut self, reply: &mut PeerDatagram, digests: &Digests) {
        let mut differing = self.members.members_differing_from(digests);
        differing.shuffle(&mut self.rng);
        reply.fill(differing.into_iter().map(|member| match member.state {
            MemberState::Dead => GossipUpdate::state_only(member),
            MemberState::Alive | MemberState::Suspect | MemberState::Leaving => {
                GossipUpdate::full(member)
            }
        }));
    }

    /// Returns the digests of the part that a peer chose, or else of a random part.
    fn digests(&mut self, part: Option<(u32, u32)>) -> Digests {
        let all = self.node_count().div_ceil(MEMBERS_PER_DIGEST).next_power_of_two();
        let count = all.min(MAX_DIGESTS);
        let (part, parts) = part.unwrap_or_else(|| {
            let parts = (all / count) as u32;
            (self.rng.random_range(0..parts), parts)
        });
        self.members.digests(part, parts, count)
    }

    /// Notifies a few peers of members that became suspected or leaving and were not reported yet.
    ///
    /// Callers are sent to lost nodes until the directories are updated, and probes alone would
    /// take seconds to reach all nodes of a large fleet.
    fn send_urgent(&mut self, now_us: u64) -> Vec<OutgoingDatagram> {
        if !self.has_urgent_changes || now_us < self.last_urgent_us + URGENT_INTERVAL_US {
            return Vec::new();
        }
        self.has_urgent_changes = false;
        let since_us = std::mem::replace(&mut self.last_urgent_us, now_us);
        self.notify(now_us, since_us, URGENT_FANOUT)
    }

    /// Notifies `count` random peers of the changes since a time.
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

    /// Creates a datagram with the fields that every datagram carries.
    fn datagram(&mut self, now_us: u64, kind: DatagramKind) -> PeerDatagram {
        let local = self.members.local_member();
        let sender = DatagramSender {
            node: local.node.clone(),
            incarnation: local.incarnation,
            state: local.state,
        };
        PeerDatagram {
            kind,
            sender,
            members_hash: self.members.members_hash(),
            latest: self.latest.clone(),
            is_store_unavailable: self.is_store_unavailable,
            work: self.fleet_work.report(now_us),
            crash_reports: self.crash_reports.take_batch(now_us),
            answered_requests: self.answered_requests.take_batch(now_us),
            stopped_rollouts: self.stopped_rollouts.take_batch(now_us),
            trial_reports: Vec::new(),
            digests: None,
            updates: Vec::new(),
        }
    }
}

/// Returns the kind of the reply to a datagram; `None` if the datagram ends its exchange.
fn reply_kind(received: DatagramKind) -> Option<DatagramKind> {
    match received {
        DatagramKind::Probe => Some(DatagramKind::Answer),
        DatagramKind::Answer => Some(DatagramKind::Compare),
        DatagramKind::Compare => Some(DatagramKind::Differences),
        DatagramKind::Differences => Some(DatagramKind::Rest),
        DatagramKind::Rest | DatagramKind::Notice => None,
    }
}
