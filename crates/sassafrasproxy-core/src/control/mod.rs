//! The control reducer of a node, which keeps members, configuration, homes and holdings.

mod holdings;
mod members;
mod message;

use std::sync::Arc;

use ecow::EcoString;
use indexmap::{IndexMap, IndexSet};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sassafrasproxy_wire::{
    Configuration, GroupHoldings, Heartbeat, Hlc, MemberState, MemberUpdate, NodeHoldings,
    TimelineEventKind, VmEntry, VmState,
};

pub(crate) use self::members::MemberChange;
pub use self::members::{Digests, Member, MemberTable};
pub use self::message::{ControlEffect, ControlEvent, ControlPolicy};

use self::holdings::HoldingsTable;
use crate::{GroupTable, HomeTable, View};

/// The number of ticks between two probes of the seeds that are not members.
const SEED_PROBE_INTERVAL_TICKS: u64 = 4;

/// The control state of a node.
#[derive(Debug)]
pub struct ControlPlane {
    policy: ControlPolicy,
    rng: StdRng,
    members: MemberTable,
    /// Peer addresses from the settings and the VM list, probed while no member has them.
    seeds: IndexSet<EcoString>,
    configuration: Arc<Configuration>,
    /// A newer revision that is invalid, and the reason.
    rejected_revision: Option<(u64, EcoString)>,
    groups: Arc<GroupTable>,
    homes: HomeTable,
    holdings: HoldingsTable,
    /// The holdings that this node's schedulers published, only for groups of which it is the
    /// home.
    local_holdings: IndexMap<EcoString, GroupHoldings>,
    holdings_version: u64,
    leaving_upstreams: Arc<IndexSet<EcoString>>,
    is_watching: bool,
    /// The time of the last event.
    now_us: u64,
    /// The time since which every received heartbeat had a member hash that differs from this
    /// node's.
    hash_mismatch_since_us: Option<u64>,
    ticks: u64,
    next_vm_list_us: u64,
    next_store_read_us: u64,
    /// Whether anything but holdings changed in the view.
    needs_publish: bool,
    /// Whether the homes of every group must be ranked again.
    needs_full_ranking: bool,
    /// Members whose rank may have changed.
    changed_members: IndexSet<EcoString>,
    effects: Vec<ControlEffect>,
}

impl ControlPlane {
    /// Creates the control state of a node that has just started.
    pub fn new(
        local: &MemberUpdate,
        seeds: impl IntoIterator<Item = EcoString>,
        policy: ControlPolicy,
        seed: u64,
        now_us: u64,
    ) -> Self {
        let mut control = Self {
            policy,
            rng: StdRng::seed_from_u64(seed),
            members: MemberTable::new(local, now_us),
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
        control.seeds.swap_remove(&local.peer_address);
        control
    }

    /// Handles one event and returns the effects to apply, in order.
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

    /// Returns the heartbeat to send now, as a probe or as the answer to the heartbeat `to`.
    pub fn heartbeat(&mut self, hlc: Hlc, to: Option<&Heartbeat>) -> Heartbeat {
        let sync_count = match to {
            Some(theirs) if self.members.member(&theirs.from.node).is_none() => {
                self.policy.updates_for_new_member
            }
            Some(theirs) if theirs.members_hash == self.members.members_hash() => 0,
            // A single change needs few updates. A node whose hash differs for long, as when many
            // nodes start at once, needs many.
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
            updates: self.members.take_updates(self.policy.updates_per_heartbeat, sync_count),
            hlc,
        }
    }

    /// Returns the view for the traffic threads.
    pub fn view(&self) -> View {
        let local = self.members.local_member();
        let present = self.members.present();
        View {
            local_node: local.node.clone(),
            leaving: local.state == MemberState::Leaving,
            configuration: self.configuration.clone(),
            groups: self.groups.clone(),
            members: Arc::new(
                present.map(|member| (member.node.clone(), member.clone())).collect(),
            ),
            homes: self.homes.homes().clone(),
            holdings: self.holdings.effective().clone(),
            leaving_upstreams: self.leaving_upstreams.clone(),
        }
    }

    /// Returns the holdings that this node's schedulers published.
    pub fn local_holdings(&self) -> NodeHoldings {
        NodeHoldings {
            node: self.members.local_member().node.clone(),
            version: self.holdings_version,
            is_whole: true,
            groups: self.local_holdings.values().cloned().collect(),
        }
    }

    /// Returns the membership table, for the node's status.
    pub fn members(&self) -> &MemberTable {
        &self.members
    }

    /// Returns the active configuration's revision.
    pub fn revision(&self) -> u64 {
        self.configuration.revision
    }

    /// Returns a newer revision that is invalid, and the reason.
    pub fn rejected_revision(&self) -> Option<&(u64, EcoString)> {
        self.rejected_revision.as_ref()
    }

    /// Expires suspected members, probes one member and starts the reads that are due.
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

    /// Probes the seeds that no member has, so that a node that was partitioned at its start still
    /// joins.
    fn probe_seeds(&mut self) {
        let unknown = self.seeds.iter().filter(|seed| self.members.by_peer_address(seed).is_none());
        let probes = unknown.map(|seed| ControlEffect::Probe { peer_address: seed.clone() });
        self.effects.extend(probes);
    }

    /// Starts the read of the VM list when it is due and, without a configuration, of the store.
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

    /// Returns a random time between 1 and 1.5 times a base, so that nodes do not act at the same
    /// time.
    fn jitter_us(&mut self, base_us: u64) -> u64 {
        base_us + self.rng.random_range(0..=base_us / 2)
    }

    /// Merges a peer's heartbeat, and pulls its holdings or configuration if they are newer.
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

    /// Asks other members to probe one that did not answer. Suspects it if their probes failed too
    /// or if there is no other member to ask.
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
        let peers = self.members.random_peers(&mut self.rng, count, &node);
        let via_peer_addresses: Vec<EcoString> =
            peers.iter().map(|peer| peer.peer_address.clone()).collect();
        if via_peer_addresses.is_empty() {
            let changes = self.members.suspect(now_us, &node);
            return self.record_changes(changes);
        }
        let peer_address = peer_address.into();
        self.effects.push(ControlEffect::ProbeIndirectly { via_peer_addresses, peer_address });
    }

    /// Probes a member at once, because traffic to it failed.
    fn probe_now(&mut self, node: &str) {
        let Some(member) = self.members.member(node) else { return };
        if member.state != MemberState::Dead {
            let peer_address = member.peer_address.clone();
            self.effects.push(ControlEffect::Probe { peer_address });
        }
    }

    /// Adopts a configuration if it is newer than the active one, else ignores it.
    fn apply_configuration(&mut self, configuration: Configuration) {
        if configuration.revision <= self.configuration.revision {
            return;
        }
        self.rejected_revision = None;
        self.groups = Arc::new(GroupTable::new(&configuration));
        let groups = self.groups.clone();
        self.local_holdings.retain(|group, _| groups.group(group).is_some());
        self.effects.push(ControlEffect::RecordEvent(TimelineEventKind::RevisionInForce {
            revision: configuration.revision,
            domains_out: configuration.domains_out.iter().cloned().collect(),
        }));
        self.configuration = Arc::new(configuration);
        self.needs_publish = true;
        self.needs_full_ranking = true;
        self.probe_random_peers();
    }

    /// Sends heartbeats to random peers at once, so that a new configuration does not wait for the
    /// next ticks.
    fn probe_random_peers(&mut self) {
        let peers = self.members.random_peers(&mut self.rng, self.policy.configuration_fan_out, "");
        let probes: Vec<ControlEffect> = peers
            .iter()
            .map(|peer| ControlEffect::Probe { peer_address: peer.peer_address.clone() })
            .collect();
        self.effects.extend(probes);
    }

    /// Records a newer configuration as invalid; the active one stays.
    fn reject_configuration(&mut self, revision: u64, detail: EcoString) {
        let known = self.rejected_revision.as_ref().map_or(0, |(revision, _)| *revision);
        if revision <= self.configuration.revision.max(known) {
            return;
        }
        let kind = TimelineEventKind::RevisionRejected { revision, detail: detail.clone() };
        self.effects.push(ControlEffect::RecordEvent(kind));
        self.rejected_revision = Some((revision, detail));
    }

    /// Publishes the holdings of a replica group, if this node is the group's home and the
    /// snapshots changed.
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
        let update = NodeHoldings {
            node: self.members.local_member().node.clone(),
            version: self.holdings_version,
            is_whole: false,
            groups: vec![holdings.clone()],
        };
        self.effects.push(ControlEffect::PushHoldings { peer_addresses, holdings: update });
        self.merge_group_holdings(holdings);
    }

    /// Merges a peer's holdings.
    fn merge_holdings(&mut self, received: NodeHoldings) {
        let known = self.members.member(&received.node).map(|member| member.holdings_version);
        let is_next = known.is_some_and(|known| received.version <= known + 1);
        let are_groups_known =
            received.groups.iter().all(|holdings| self.groups.group(&holdings.group).is_some());
        // The version is not recorded if versions in between are missing, or if a group is not in
        // this node's configuration yet. The pull after the next heartbeat then fills the gap.
        if are_groups_known && (is_next || received.is_whole) {
            self.members.record_holdings_version(&received.node, received.version);
        }
        let homes = &self.homes;
        self.holdings.merge_node(received, |group| homes.home(group).cloned());
        self.effects.push(ControlEffect::PublishView);
    }

    /// Merges a home's correction of one group's holdings.
    fn merge_group_holdings(&mut self, holdings: GroupHoldings) {
        let home = self.homes.home(&holdings.group);
        self.holdings.merge_group(holdings, home);
        self.effects.push(ControlEffect::PublishView);
    }

    /// Applies the platform's VM list: adds live VMs that are not upstreams to the seeds, and
    /// records which VMs are leaving.
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
        let local_address = &self.members.local_member().peer_address;
        let live = vms.iter().filter(|vm| vm.state == VmState::Live);
        let addresses = live.map(|vm| &vm.address);
        let seeds: Vec<EcoString> = addresses
            .filter(|address| !upstreams.contains(address) && *address != local_address)
            .cloned()
            .collect();
        self.seeds.extend(seeds);
        if *self.leaving_upstreams != leaving {
            self.leaving_upstreams = Arc::new(leaving);
            self.needs_publish = true;
        }
    }

    /// Marks this node as leaving and sends a heartbeat to all peers at once.
    fn shut_down(&mut self, now_us: u64) {
        if self.members.local_member().state == MemberState::Leaving {
            return;
        }
        self.members.leave(now_us);
        self.effects.push(ControlEffect::RecordEvent(TimelineEventKind::NodeLeaving));
        let peers: Vec<EcoString> =
            self.members.peers().map(|peer| peer.peer_address.clone()).collect();
        let probes = peers.into_iter().map(|peer_address| ControlEffect::Probe { peer_address });
        self.effects.extend(probes);
        self.changed_members.insert(self.members.local_member().node.clone());
        self.needs_publish = true;
    }

    /// Records member changes in the timeline and requests a new view.
    fn record_changes(&mut self, changes: impl IntoIterator<Item = MemberChange>) {
        for MemberChange { node, state } in changes {
            self.needs_publish = true;
            self.changed_members.insert(node.clone());
            let kind = TimelineEventKind::MemberChanged { member: node, state };
            self.effects.push(ControlEffect::RecordEvent(kind));
        }
    }

    /// Ranks the homes again, for every group or only for those that changed members affect.
    fn rank_homes(&mut self) {
        let present: Vec<&Member> = if self.policy.bypasses_homes {
            vec![self.members.local_member()]
        } else {
            self.members.present().collect()
        };
        let domains_out = &self.configuration.domains_out;
        let changed = std::mem::take(&mut self.changed_members);
        if std::mem::take(&mut self.needs_full_ranking) {
            self.homes.rank_all(&self.groups, &present, domains_out);
        } else {
            for node in &changed {
                self.homes.update_member(&self.groups, &present, domains_out, node);
            }
        }
        let (homes, local_node) = (&self.homes, &self.members.local_member().node);
        self.local_holdings.retain(|group, _| homes.home(group) == Some(local_node));
        let members = &self.members;
        let is_member = |node: &str| {
            members.member(node).is_some_and(|member| member.state != MemberState::Dead)
        };
        self.holdings.reselect_all(is_member, homes.homes());
    }

    /// Starts or stops watching the store, depending on whether this node is one of the watchers of
    /// its failure domain.
    fn update_watch(&mut self) {
        let local = self.members.local_member();
        let alive = self.members.present().filter(|member| member.state == MemberState::Alive);
        let in_domain: Vec<&Member> =
            alive.filter(|member| member.failure_domain == local.failure_domain).collect();
        let mut ranked: Vec<&Member> = in_domain;
        ranked.sort_unstable_by_key(|member| (member.name_hash, member.node.clone()));
        let is_on = ranked
            .iter()
            .take(self.policy.watchers_per_domain)
            .any(|member| member.node == local.node);
        if is_on != self.is_watching {
            self.is_watching = is_on;
            self.effects.push(ControlEffect::WatchStore { is_on });
        }
    }
}
