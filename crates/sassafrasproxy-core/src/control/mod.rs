//! The control reducer of a node: members, configuration, homes and holdings.

mod holdings;
mod members;
mod message;

use std::sync::Arc;

use ecow::EcoString;
use indexmap::{IndexMap, IndexSet};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sassafrasproxy_wire::{
    Configuration, EventKind, GroupHoldings, Heartbeat, Hlc, MemberState, MemberUpdate,
    NodeHoldings, VmEntry, VmState,
};

pub(crate) use self::members::MemberChange;
pub use self::members::{Digests, Member, MemberTable};
pub use self::message::{ControlEffect, ControlEvent, ControlPolicy};

use self::holdings::HoldingsTable;
use crate::{GroupTable, HomeTable, View};

/// How many ticks pass between two probes of seeds that are no members.
const SEED_PROBE_INTERVAL_TICKS: u64 = 4;

/// All control state of a node.
#[derive(Debug)]
pub struct ControlPlane {
    policy: ControlPolicy,
    rng: StdRng,
    members: MemberTable,
    /// Peer addresses to try besides the members', from settings and VM list.
    seeds: IndexSet<EcoString>,
    configuration: Arc<Configuration>,
    /// A newer revision that was found bad, and why.
    rejected_revision: Option<(u64, EcoString)>,
    groups: Arc<GroupTable>,
    homes: HomeTable,
    holdings: HoldingsTable,
    /// What this node's own lanes published; only groups that it is the home of.
    local_holdings: IndexMap<EcoString, GroupHoldings>,
    holdings_version: u64,
    leaving_upstreams: Arc<IndexSet<EcoString>>,
    is_watching: bool,
    /// The time of the last event.
    now_us: u64,
    /// Since when every heartbeat heard came from a node that counts other members.
    hash_mismatch_since_us: Option<u64>,
    ticks: u64,
    next_vm_list_us: u64,
    next_store_read_us: u64,
    /// Whether the view changed in more than holdings.
    needs_publish: bool,
    /// Whether every group must be ranked anew.
    needs_full_ranking: bool,
    /// Members whose rank may have changed.
    changed_members: IndexSet<EcoString>,
    effects: Vec<ControlEffect>,
}

impl ControlPlane {
    /// The control state of a node that just started.
    pub fn new(
        me: &MemberUpdate,
        seeds: impl IntoIterator<Item = EcoString>,
        policy: ControlPolicy,
        seed: u64,
        now_us: u64,
    ) -> Self {
        let mut control = Self {
            policy,
            rng: StdRng::seed_from_u64(seed),
            members: MemberTable::new(me, now_us),
            seeds: seeds.into_iter().collect(),
            configuration: Arc::default(),
            rejected_revision: None,
            groups: Arc::default(),
            homes: HomeTable::default(),
            holdings: HoldingsTable::default(),
            local_holdings: IndexMap::new(),
            holdings_version: 0,
            leaving_upstreams: Arc::default(),
            is_watching: false,
            now_us,
            hash_mismatch_since_us: None,
            ticks: 0,
            next_vm_list_us: now_us,
            next_store_read_us: now_us + policy.store_fallback_us,
            needs_publish: true,
            needs_full_ranking: true,
            changed_members: IndexSet::new(),
            effects: Vec::new(),
        };
        control.seeds.swap_remove(&me.peer_address);
        control
    }

    /// Takes one event in and returns what to do, in order.
    pub fn step(&mut self, now_us: u64, event: ControlEvent) -> Vec<ControlEffect> {
        self.now_us = now_us;
        match event {
            ControlEvent::Tick => self.tick(now_us),
            ControlEvent::HeartbeatReceived(heartbeat) => self.handle_heartbeat(now_us, &heartbeat),
            ControlEvent::ProbeFailed { peer_address, sent_us, is_indirect } => {
                self.handle_failed_probe(now_us, &peer_address, sent_us, is_indirect);
            }
            ControlEvent::PeerFailed { node } => self.probe_now(&node),
            ControlEvent::ConfigurationReceived(configuration) => {
                self.apply_configuration(configuration);
            }
            ControlEvent::ConfigurationRejected { revision, detail } => {
                self.reject_configuration(revision, detail);
            }
            ControlEvent::LocalHoldings(holdings) => self.publish_holdings(holdings),
            ControlEvent::HoldingsReceived(holdings) => self.merge_holdings(holdings),
            ControlEvent::GroupHoldingsReceived(holdings) => self.merge_group_holdings(holdings),
            ControlEvent::VmListReceived(vms) => self.apply_vm_list(&vms),
            ControlEvent::Shutdown => self.shut_down(now_us),
        }
        if std::mem::take(&mut self.needs_publish) {
            self.rank_homes();
            self.update_watch();
            self.effects.push(ControlEffect::PublishView);
        }
        std::mem::take(&mut self.effects)
    }

    /// The heartbeat to send now, as a probe or as the answer to one from `to`.
    pub fn heartbeat(&mut self, hlc: Hlc, to: Option<&Heartbeat>) -> Heartbeat {
        let fill = match to {
            Some(theirs) if self.members.member(&theirs.from.node).is_none() => {
                self.policy.updates_for_new_member
            }
            Some(theirs) if theirs.members_hash == self.members.members_hash() => 0,
            // Few after one change, many for a node that is still behind, as in a mass start.
            Some(theirs) if theirs.wants_news => self.policy.updates_for_new_member,
            Some(_) => self.policy.updates_per_heartbeat,
            None => 0,
        };
        Heartbeat {
            from: self.members.local_member().to_update(),
            revision: self.configuration.revision,
            holdings_version: self.holdings_version,
            members_hash: self.members.members_hash(),
            wants_news: self.hash_mismatch_since_us.is_some_and(|since_us| {
                self.now_us >= since_us + self.policy.hash_mismatch_timeout_us
            }),
            updates: self.members.take_updates(self.policy.updates_per_heartbeat, fill),
            hlc,
        }
    }

    /// The view for the traffic threads.
    pub fn view(&self) -> View {
        let me = self.members.local_member();
        let present = self.members.present();
        View {
            local_node: me.node.clone(),
            leaving: me.state == MemberState::Leaving,
            configuration: self.configuration.clone(),
            groups: self.groups.clone(),
            members: Arc::new(present.map(|one| (one.node.clone(), one.clone())).collect()),
            homes: self.homes.homes().clone(),
            holdings: self.holdings.effective().clone(),
            leaving_upstreams: self.leaving_upstreams.clone(),
        }
    }

    /// What this node's own lanes published.
    pub fn local_holdings(&self) -> NodeHoldings {
        NodeHoldings {
            node: self.members.local_member().node.clone(),
            version: self.holdings_version,
            is_whole: true,
            groups: self.local_holdings.values().cloned().collect(),
        }
    }

    /// The members, for the node's status.
    pub fn members(&self) -> &MemberTable {
        &self.members
    }

    /// The revision in force.
    pub fn revision(&self) -> u64 {
        self.configuration.revision
    }

    /// A newer revision that was found bad, and why.
    pub fn rejected_revision(&self) -> Option<&(u64, EcoString)> {
        self.rejected_revision.as_ref()
    }

    /// Probes one member, gives up on those that did not refute, and reads what is due.
    fn tick(&mut self, now_us: u64) {
        self.ticks += 1;
        let changes = self.members.expire(
            now_us,
            self.policy.suspicion_timeout_us,
            self.policy.dead_retention_us,
        );
        self.record_changes(changes);
        if let Some(member) = self.members.next_probe_target(&mut self.rng) {
            let peer_address = member.peer_address.clone();
            self.effects.push(ControlEffect::Probe { peer_address });
        }
        if self.ticks % SEED_PROBE_INTERVAL_TICKS == 1 {
            self.probe_seeds();
        }
        self.start_due_reads(now_us);
    }

    /// Probes addresses that no member has, so that a node cut off at its start still joins.
    fn probe_seeds(&mut self) {
        let unknown = self.seeds.iter().filter(|seed| self.members.by_peer_address(seed).is_none());
        let probes = unknown.map(|seed| ControlEffect::Probe { peer_address: seed.clone() });
        self.effects.extend(probes);
    }

    /// Reads the VM list and, without a configuration, the store.
    fn start_due_reads(&mut self, now_us: u64) {
        if now_us >= self.next_vm_list_us {
            let per_member_us = self.policy.vm_list_interval_per_member_us;
            let members = self.members.present().count() as u64;
            let base_us = self.policy.vm_list_interval_us.max(members * per_member_us);
            self.next_vm_list_us = now_us + self.jitter_us(base_us);
            self.effects.push(ControlEffect::ReadVmList);
        }
        if self.configuration.revision == 0 && now_us >= self.next_store_read_us {
            self.next_store_read_us = now_us + self.jitter_us(self.policy.store_fallback_us);
            self.effects.push(ControlEffect::ReadStore);
        }
    }

    /// A time between one and one and a half of a base, so that nodes do not act in step.
    fn jitter_us(&mut self, base_us: u64) -> u64 {
        base_us + self.rng.random_range(0..=base_us / 2)
    }

    /// Takes a peer's heartbeat in.
    fn handle_heartbeat(&mut self, now_us: u64, heartbeat: &Heartbeat) {
        let mut changes = Vec::new();
        changes.extend(self.members.merge(now_us, &heartbeat.from));
        for update in &heartbeat.updates {
            changes.extend(self.members.merge(now_us, update));
        }
        self.record_changes(changes);
        if heartbeat.members_hash == self.members.members_hash() {
            self.hash_mismatch_since_us = None;
        } else {
            self.hash_mismatch_since_us.get_or_insert(now_us);
        }
        let peer_address = heartbeat.from.peer_address.clone();
        if self.members.record_heartbeat(now_us, heartbeat) {
            self.effects.push(ControlEffect::PullHoldings { peer_address: peer_address.clone() });
        }
        let rejected = self.rejected_revision.as_ref().map_or(0, |(revision, _)| *revision);
        if heartbeat.revision > self.configuration.revision.max(rejected) {
            self.effects.push(ControlEffect::PullConfiguration { peer_address });
        }
    }

    /// Asks others to probe a member that did not answer, or suspects it if they failed too.
    fn handle_failed_probe(
        &mut self,
        now_us: u64,
        peer_address: &str,
        sent_us: u64,
        is_indirect: bool,
    ) {
        let Some(member) = self.members.by_peer_address(peer_address) else { return };
        if member.last_heartbeat_us >= sent_us {
            return;
        }
        let node = member.node.clone();
        if is_indirect {
            let changes = self.members.suspect(now_us, &node);
            return self.record_changes(changes);
        }
        let count = self.policy.indirect_probe_count;
        let helpers = self.members.random_peers(&mut self.rng, count, &node);
        let vias: Vec<EcoString> = helpers.iter().map(|one| one.peer_address.clone()).collect();
        if vias.is_empty() {
            let changes = self.members.suspect(now_us, &node);
            return self.record_changes(changes);
        }
        let peer_address = peer_address.into();
        self.effects
            .push(ControlEffect::ProbeIndirectly { via_peer_addresses: vias, peer_address });
    }

    /// Probes a member at once, because traffic to it failed.
    fn probe_now(&mut self, node: &str) {
        let Some(member) = self.members.member(node) else { return };
        if member.state != MemberState::Dead {
            let peer_address = member.peer_address.clone();
            self.effects.push(ControlEffect::Probe { peer_address });
        }
    }

    /// Takes a configuration that is newer than the one in force, and only such a one.
    fn apply_configuration(&mut self, configuration: Configuration) {
        if configuration.revision <= self.configuration.revision {
            return;
        }
        self.rejected_revision = None;
        self.groups = Arc::new(GroupTable::new(&configuration));
        let groups = self.groups.clone();
        self.local_holdings.retain(|group, _| groups.group(group).is_some());
        self.effects.push(ControlEffect::RecordEvent(EventKind::RevisionInForce {
            revision: configuration.revision,
            domains_out: configuration.domains_out.iter().cloned().collect(),
        }));
        self.configuration = Arc::new(configuration);
        self.needs_publish = true;
        self.needs_full_ranking = true;
        self.probe_random_peers();
    }

    /// Heartbeats to some peers at once, so that news need not wait for ticks.
    fn probe_random_peers(&mut self) {
        let peers = self.members.random_peers(&mut self.rng, self.policy.configuration_fan_out, "");
        let probes: Vec<ControlEffect> = peers
            .iter()
            .map(|peer| ControlEffect::Probe { peer_address: peer.peer_address.clone() })
            .collect();
        self.effects.extend(probes);
    }

    /// Keeps the configuration in force and says loudly that a newer one is bad.
    fn reject_configuration(&mut self, revision: u64, detail: EcoString) {
        let known = self.rejected_revision.as_ref().map_or(0, |(revision, _)| *revision);
        if revision <= self.configuration.revision.max(known) {
            return;
        }
        let kind = EventKind::RevisionRejected { revision, detail: detail.clone() };
        self.effects.push(ControlEffect::RecordEvent(kind));
        self.rejected_revision = Some((revision, detail));
    }

    /// Publishes what a lane of this node serves.
    fn publish_holdings(&mut self, holdings: GroupHoldings) {
        if self.homes.home(&holdings.group) != Some(&self.members.local_member().node) {
            return;
        }
        let known = self.local_holdings.get(&holdings.group);
        if known.is_some_and(|known| known.snapshots == holdings.snapshots) {
            return;
        }
        self.holdings_version += 1;
        self.local_holdings.insert(holdings.group.clone(), holdings.clone());
        let peer_addresses = self.members.peers().map(|peer| peer.peer_address.clone()).collect();
        let news = NodeHoldings {
            node: self.members.local_member().node.clone(),
            version: self.holdings_version,
            is_whole: false,
            groups: vec![holdings.clone()],
        };
        self.effects.push(ControlEffect::PushHoldings { peer_addresses, holdings: news });
        self.merge_group_holdings(holdings);
    }

    /// Takes a peer's holdings in.
    fn merge_holdings(&mut self, heard: NodeHoldings) {
        let known = self.members.member(&heard.node).map(|member| member.holdings_version);
        let is_next = known.is_some_and(|known| heard.version <= known + 1);
        let is_placed =
            heard.groups.iter().all(|holdings| self.groups.group(&holdings.group).is_some());
        // What skips a version, or names a group of a configuration that is not here yet, leaves
        // the pull of the next heartbeat to fill the gap.
        if is_placed && (is_next || heard.is_whole) {
            self.members.record_holdings_version(&heard.node, heard.version);
        }
        let homes = &self.homes;
        self.holdings.merge_node(heard, |group| homes.home(group).cloned());
        self.effects.push(ControlEffect::PublishView);
    }

    /// Takes a home's correction of one group in.
    fn merge_group_holdings(&mut self, holdings: GroupHoldings) {
        let home = self.homes.home(&holdings.group);
        self.holdings.merge_group(holdings, home);
        self.effects.push(ControlEffect::PublishView);
    }

    /// Takes the platform's VM list in: peers to try, and upstreams that are leaving.
    fn apply_vm_list(&mut self, vms: &[VmEntry]) {
        let leaving: IndexSet<EcoString> = vms
            .iter()
            .filter(|vm| vm.state == VmState::Leaving)
            .map(|vm| vm.address.clone())
            .collect();
        let upstreams: IndexSet<&EcoString> = self
            .groups
            .groups()
            .flat_map(|group| &group.replicas)
            .map(|replica| &replica.address)
            .collect();
        let me = &self.members.local_member().peer_address;
        let peers = vms.iter().filter(|vm| vm.state == VmState::Live);
        let peers = peers.map(|vm| &vm.address);
        let seeds: Vec<EcoString> =
            peers.filter(|at| !upstreams.contains(at) && *at != me).cloned().collect();
        self.seeds.extend(seeds);
        if *self.leaving_upstreams != leaving {
            self.leaving_upstreams = Arc::new(leaving);
            self.needs_publish = true;
        }
    }

    /// Announces that this node is leaving, to some peers at once.
    fn shut_down(&mut self, now_us: u64) {
        if self.members.local_member().state == MemberState::Leaving {
            return;
        }
        self.members.leave(now_us);
        self.effects.push(ControlEffect::RecordEvent(EventKind::NodeLeaving));
        let peers: Vec<EcoString> =
            self.members.peers().map(|peer| peer.peer_address.clone()).collect();
        let probes = peers.into_iter().map(|peer_address| ControlEffect::Probe { peer_address });
        self.effects.extend(probes);
        self.changed_members.insert(self.members.local_member().node.clone());
        self.needs_publish = true;
    }

    /// Puts changed members on the time line and asks for a new view.
    fn record_changes(&mut self, changes: impl IntoIterator<Item = MemberChange>) {
        for MemberChange { node, state } in changes {
            self.needs_publish = true;
            self.changed_members.insert(node.clone());
            let kind = EventKind::MemberChanged { member: node, state };
            self.effects.push(ControlEffect::RecordEvent(kind));
        }
    }

    /// Ranks the homes anew, everywhere or where changed members make a difference.
    fn rank_homes(&mut self) {
        let present: Vec<&Member> = if self.policy.bypasses_homes {
            vec![self.members.local_member()]
        } else {
            self.members.present().collect()
        };
        let out = &self.configuration.domains_out;
        let changed = std::mem::take(&mut self.changed_members);
        if std::mem::take(&mut self.needs_full_ranking) {
            self.homes.rank_all(&self.groups, &present, out);
        } else {
            for node in &changed {
                self.homes.update_member(&self.groups, &present, out, node);
            }
        }
        let (homes, me) = (&self.homes, &self.members.local_member().node);
        self.local_holdings.retain(|group, _| homes.home(group) == Some(me));
        let members = &self.members;
        let is_member = |node: &str| {
            members.member(node).is_some_and(|member| member.state != MemberState::Dead)
        };
        self.holdings.reselect_all(is_member, homes.homes());
    }

    /// Decides whether this node is one of those that watch the store for its failure domain.
    fn update_watch(&mut self) {
        let me = self.members.local_member();
        let alive = self.members.present().filter(|one| one.state == MemberState::Alive);
        let domain: Vec<&Member> =
            alive.filter(|one| one.failure_domain == me.failure_domain).collect();
        let mut ranked: Vec<&Member> = domain;
        ranked.sort_unstable_by_key(|one| (one.name_hash, one.node.clone()));
        let is_on = ranked
            .iter()
            .take(self.policy.watchers_per_domain)
            .any(|member| member.node == me.node);
        if is_on != self.is_watching {
            self.is_watching = is_on;
            self.effects.push(ControlEffect::WatchStore { is_on });
        }
    }
}
