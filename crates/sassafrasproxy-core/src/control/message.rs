//! Events that the control reducer handles and effects that it requests.

use ecow::EcoString;
use sassafrasproxy_wire::{
    Configuration, GroupHoldings, Heartbeat, NodeHoldings, TimelineEventKind, VmEntry,
};

/// The timing parameters and limits of the control reducer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ControlPolicy {
    /// The time between two ticks; each probes one member.
    pub heartbeat_interval_us: u64,
    /// The time within which a suspected member can refute the suspicion.
    pub suspicion_timeout_us: u64,
    /// The time for which a dead member is kept in the table, so that old updates do not revive it.
    pub dead_retention_us: u64,
    /// The number of members asked to probe on this node's behalf before it suspects a member.
    pub indirect_probe_count: usize,
    /// The number of peers to which a node sends a heartbeat at once when it adopts a new
    /// configuration.
    pub configuration_fan_out: usize,
    /// The maximum number of queued member updates in a heartbeat, and of further updates for a
    /// peer whose member hash differs.
    pub updates_per_heartbeat: usize,
    /// The time for which a node's member hash may differ from its peers' before the node asks for
    /// more updates.
    pub hash_mismatch_timeout_us: u64,
    /// The number of further updates for a node that was not known before or that asks for more.
    pub updates_for_new_member: usize,
    /// The number of nodes in each failure domain that watch the store.
    pub watchers_per_domain: usize,
    /// The time for which a node without a configuration waits for its peers before it reads the
    /// store.
    pub store_fallback_us: u64,
    /// The minimum time between two reads of the VM list by this node.
    pub vm_list_interval_us: u64,
    /// The minimum time between two reads per member. It limits the rate of reads of all nodes.
    pub vm_list_interval_per_member_us: u64,
    /// Whether each node sends to upstreams itself instead of through homes; for measurements only.
    pub bypasses_homes: bool,
}

impl Default for ControlPolicy {
    fn default() -> Self {
        Self {
            heartbeat_interval_us: 250_000,
            suspicion_timeout_us: 1_500_000,
            dead_retention_us: 60_000_000,
            indirect_probe_count: 2,
            configuration_fan_out: 3,
            updates_per_heartbeat: 6,
            hash_mismatch_timeout_us: 2_000_000,
            updates_for_new_member: 64,
            watchers_per_domain: 2,
            store_fallback_us: 1_000_000,
            vm_list_interval_us: 1_000_000,
            vm_list_interval_per_member_us: 20_000,
            bypasses_homes: false,
        }
    }
}

impl ControlPolicy {
    /// Returns the maximum time for which the views of two nodes differ on which members are alive.
    ///
    /// Other nodes probe a member that stops answering within a few ticks, suspect it, and mark it
    /// as dead after the suspicion timeout. The update takes a few more ticks to spread.
    pub fn view_skew_us(&self) -> u64 {
        self.suspicion_timeout_us + 6 * self.heartbeat_interval_us
    }
}

/// An event that the control reducer handles.
#[derive(Debug, Clone, PartialEq)]
pub enum ControlEvent {
    /// The time between two heartbeats has passed.
    Tick,
    /// A peer's heartbeat was received, as a probe or as the answer to one.
    HeartbeatReceived(Heartbeat),
    /// A probe of this node got no answer.
    ProbeFailed {
        /// The peer address that was probed.
        peer_address: EcoString,
        /// The time at which the probe was sent.
        sent_us: u64,
        /// Whether other members probed on this node's behalf.
        is_indirect: bool,
    },
    /// Traffic to a peer failed, so that it is probed at once.
    PeerFailed {
        /// The peer.
        node: EcoString,
    },
    /// A valid configuration was read.
    ConfigurationReceived(Configuration),
    /// An invalid configuration was read.
    ConfigurationRejected {
        /// The revision of the configuration.
        revision: u64,
        /// The reason why it is invalid.
        detail: EcoString,
    },
    /// A scheduler of this node published the holdings of its replica group.
    LocalHoldings(GroupHoldings),
    /// A peer's holdings were received.
    HoldingsReceived(NodeHoldings),
    /// A home sent its current holdings of one group as a correction.
    GroupHoldingsReceived(GroupHoldings),
    /// The platform's VM list was read.
    VmListReceived(Vec<VmEntry>),
    /// The graceful shutdown of this node begins.
    Shutdown,
}

/// An effect that the control reducer requests.
#[derive(Debug, Clone, PartialEq)]
pub enum ControlEffect {
    /// Send a heartbeat to a peer address, and report the answer or the failure.
    Probe {
        /// The address.
        peer_address: EcoString,
    },
    /// Ask members to probe another one, and report the answer, or a failure if none got one.
    ProbeIndirectly {
        /// The peer addresses of the members to ask.
        via_peer_addresses: Vec<EcoString>,
        /// The peer address to probe.
        peer_address: EcoString,
    },
    /// Read the configuration of a peer.
    PullConfiguration {
        /// The peer's address.
        peer_address: EcoString,
    },
    /// Read the holdings that a peer published.
    PullHoldings {
        /// The peer's address.
        peer_address: EcoString,
    },
    /// Send holdings of this node to peers.
    PushHoldings {
        /// The peers' addresses.
        peer_addresses: Vec<EcoString>,
        /// The holdings to send.
        holdings: NodeHoldings,
    },
    /// Start or stop watching the store for configurations.
    WatchStore {
        /// Whether to watch.
        is_on: bool,
    },
    /// Read the configuration from the store once.
    ReadStore,
    /// Read the platform's VM list.
    ReadVmList,
    /// Publish the changed view to the traffic threads.
    PublishView,
    /// Record an event in the timeline.
    RecordEvent(TimelineEventKind),
}
