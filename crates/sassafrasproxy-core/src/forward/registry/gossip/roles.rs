//! What a node's place among the members means: whom it follows, whether it registers or decides.

use ecow::EcoString;
use sassafrasproxy_wire::MemberState;

use super::super::datagram::{DatagramKind, LatestRevision};
use super::super::source_selector::{BootstrapSource, LargerNode, SyncSource, larger_node};
use super::{Gossip, OutgoingDatagram};
use crate::{Member, RolloutNodes, TrialReport, is_large_cpu};

impl Gossip {
    /// A peer that follows the store further than this node, if any was heard of.
    ///
    /// Never this node: peers may still tell of its life before a restart.
    pub fn most_advanced_peer(&self) -> Option<EcoString> {
        let is_other = self.latest.peer_address != self.members.local_member().peer_address;
        let is_further = self.latest.revision > self.store_revision;
        (is_other && is_further).then(|| self.latest.peer_address.clone())
    }

    /// Where to follow the store.
    ///
    /// Once a peer could not tell what others know, one of those is asked: the next in order may
    /// know no more, as when the store drops its history or many nodes are cut off.
    pub fn sync_source(&self, now_us: u64) -> SyncSource {
        let follow =
            self.source_selector.sync_source(now_us, &self.members, self.policy.max_watchers);
        let is_peer = matches!(follow, SyncSource::Peer { .. });
        match self.most_advanced_peer() {
            Some(peer_address) if is_peer && self.source_selector.has_recent_failure(now_us) => {
                SyncSource::Peer { peer_address }
            }
            _ => follow,
        }
    }

    /// Notes that a peer could not be followed, so that another is.
    pub fn record_sync_failure(&mut self, now_us: u64, peer_address: &str) {
        if self.latest.peer_address == peer_address {
            self.forget_most_advanced_peer();
        }
        let Some(member) = self.members.by_peer_address(peer_address) else { return };
        self.source_selector.record_failure(now_us, member.node.clone());
    }

    /// Notes that the store turns away a peer that is followed.
    pub fn record_peer_store_unavailable(&mut self, now_us: u64, peer_address: &str) {
        let Some(member) = self.members.by_peer_address(peer_address) else { return };
        self.source_selector.set_store_unavailable(now_us, &member.node, true);
    }

    /// Whether this node keeps a registration in the store.
    pub fn should_register(&self, now_us: u64) -> bool {
        let age_us = now_us.saturating_sub(self.started_us);
        if self.node_count() == 1 {
            return age_us >= self.policy.isolated_wait_us;
        }
        let count = self.policy.max_registered;
        age_us >= self.policy.registration_delay_us
            && self.source_selector.is_ranked_within(now_us, &self.members, count)
    }

    /// Where a node that has just started learns what stands in the store.
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

    /// Lets another peer be heard of that knows more.
    fn forget_most_advanced_peer(&mut self) {
        let peer_address = self.members.local_member().peer_address.clone();
        self.latest = LatestRevision { revision: self.store_revision, peer_address };
    }

    /// The datagram that brings what this node counted in a trial to the node that decides; `None`
    /// if this node decides itself.
    pub fn report_trial(&mut self, now_us: u64, report: TrialReport) -> Option<OutgoingDatagram> {
        let deciders =
            self.source_selector.coordinators(now_us, &self.members, self.is_store_unavailable);
        let decider = deciders.first()?;
        if decider.node == self.members.local_member().node {
            return None;
        }
        let peer_address = decider.peer_address.clone();
        let mut datagram = self.datagram(now_us, DatagramKind::Notice);
        datagram.trial_reports.push(report);
        Some(OutgoingDatagram { peer_address, datagram })
    }

    /// The nodes, as the decider of roll-outs needs them.
    pub fn rollout_nodes(&self, now_us: u64) -> RolloutNodes {
        let deciders =
            self.source_selector.coordinators(now_us, &self.members, self.is_store_unavailable);
        let me = &self.members.local_member().node;
        let rank = deciders.iter().position(|member| member.node == *me);
        RolloutNodes { ingress_nodes: self.ingress_nodes(), rank }
    }

    /// The names of the nodes that are alive and that callers are sent to.
    fn ingress_nodes(&self) -> Vec<EcoString> {
        let alive = self.members.present().filter(|one| one.state == MemberState::Alive);
        let alive: Vec<&Member> = alive.collect();
        let largest = alive.iter().map(|one| one.cpu_millis).max().unwrap_or(0);
        let large = alive.into_iter().filter(|one| is_large_cpu(one.cpu_millis, largest));
        large.map(|one| one.node.clone()).collect()
    }
}
