//! Derives a node's roles from the members: its sync source, whether it registers, and whether it
//! coordinates.

use ecow::EcoString;
use indexmap::IndexSet;
use sassafrasproxy_wire::MemberState;

use super::super::datagram::{DatagramKind, LatestRevision};
use super::super::source_selector::{BootstrapSource, LargerNode, SyncSource, larger_node};
use super::{Gossip, OutgoingDatagram};
use crate::{RolloutNodes, TrialReport, ingress_nodes};

impl Gossip {
    /// Returns the peer address of a node that has synced further with the store than this node.
    ///
    /// Never returns this node, even if peers still pass on a revision from before its restart.
    pub fn most_advanced_peer(&self) -> Option<EcoString> {
        let is_other = self.latest.peer_address != self.members.local_member().peer_address;
        let is_further = self.latest.revision > self.store_revision;
        (is_other && is_further).then(|| self.latest.peer_address.clone())
    }

    /// Returns the peer address of another node that probably reaches the store, for a node that
    /// does not.
    pub fn alternative_source(&self, now_us: u64) -> Option<EcoString> {
        let watchers = self.policy.max_watchers;
        self.source_selector.alternative_source(now_us, &self.members, watchers)
    }

    /// Returns the source from which this node syncs.
    ///
    /// After a recent failure of a peer, this is the most advanced peer if one is known. The next
    /// peer in order may be as far behind as the failed one, for example when the store has
    /// compacted its history or is unreachable for many nodes.
    pub fn sync_source(&self, now_us: u64) -> SyncSource {
        let source =
            self.source_selector.sync_source(now_us, &self.members, self.policy.max_watchers);
        let is_peer = matches!(source, SyncSource::Peer { .. });
        match self.most_advanced_peer() {
            Some(peer_address) if is_peer && self.source_selector.has_recent_failure(now_us) => {
                SyncSource::Peer { peer_address }
            }
            _ => source,
        }
    }

    /// Records that a peer could not be followed, so that this node follows another one.
    pub fn record_sync_failure(&mut self, now_us: u64, peer_address: &str) {
        if self.latest.peer_address == peer_address {
            self.forget_most_advanced_peer();
        }
        let Some(member) = self.members.by_peer_address(peer_address) else { return };
        self.source_selector.record_failure(now_us, member.node.clone());
    }

    /// Records that a followed peer reports the store as unavailable.
    pub fn record_peer_store_unavailable(&mut self, now_us: u64, peer_address: &str) {
        let Some(member) = self.members.by_peer_address(peer_address) else { return };
        self.source_selector.set_store_unavailable(now_us, &member.node, true);
    }

    /// Whether this node should keep a registration in the store.
    pub fn should_register(&self, now_us: u64) -> bool {
        let age_us = now_us.saturating_sub(self.started_us);
        if self.node_count() == 1 {
            return age_us >= self.policy.isolated_wait_us;
        }
        let count = self.policy.max_registered;
        age_us >= self.policy.registration_delay_us
            && self.source_selector.is_ranked_within(now_us, &self.members, count)
    }

    /// Returns the source from which this node bootstraps after its start.
    pub fn bootstrap_source(&self, now_us: u64) -> BootstrapSource {
        let me = self.members.local_member();
        if me.cpu_millis >= self.policy.small_node_cpu_millis {
            return BootstrapSource::Store;
        }
        let age_us = now_us.saturating_sub(self.started_us);
        match larger_node(&self.members) {
            LargerNode::SameDomain { peer_address } => BootstrapSource::Peer { peer_address },
            LargerNode::OtherDomain if age_us < self.policy.bootstrap_wait_us => {
                BootstrapSource::Undecided
            }
            LargerNode::NotFound if age_us < self.policy.isolated_wait_us => {
                BootstrapSource::Undecided
            }
            LargerNode::OtherDomain | LargerNode::NotFound => BootstrapSource::Store,
        }
    }

    /// Resets the latest revision to this node's own, so that another advanced peer is recorded.
    fn forget_most_advanced_peer(&mut self) {
        let peer_address = self.members.local_member().peer_address.clone();
        self.latest = LatestRevision { revision: self.store_revision, peer_address };
    }

    /// Returns the datagram that reports this node's counts from a trial to the coordinator; `None`
    /// if this node is the coordinator itself.
    pub fn report_trial(&mut self, now_us: u64, report: TrialReport) -> Option<OutgoingDatagram> {
        let coordinators =
            self.source_selector.coordinators(now_us, &self.members, self.is_store_unavailable);
        let coordinator = coordinators.first()?;
        if coordinator.node == self.members.local_member().node {
            return None;
        }
        let peer_address = coordinator.peer_address.clone();
        let mut datagram = self.datagram(now_us, DatagramKind::Notice);
        datagram.trial_reports.push(report);
        Some(OutgoingDatagram { peer_address, datagram })
    }

    /// Returns the information on nodes that the coordinator of rollouts needs.
    pub fn rollout_nodes(&self, now_us: u64) -> RolloutNodes {
        let coordinators =
            self.source_selector.coordinators(now_us, &self.members, self.is_store_unavailable);
        let me = &self.members.local_member().node;
        let rank = coordinators.iter().position(|member| member.node == *me);
        let alive = self.members.present().filter(|member| member.state == MemberState::Alive);
        RolloutNodes {
            ingress_nodes: self.ingress_nodes(),
            alive_nodes: alive.map(|member| member.node.clone()).collect(),
            rank,
        }
    }

    /// Returns the names of the ingress nodes.
    fn ingress_nodes(&self) -> Vec<EcoString> {
        let nodes = self.directory_nodes();
        let addresses: IndexSet<&EcoString> =
            ingress_nodes(&nodes).into_iter().map(|node| &node.address).collect();
        let members = self.members.present().filter(|member| addresses.contains(&member.address));
        members.map(|member| member.node.clone()).collect()
    }
}
