//! Events that the control reducer takes in and effects that it asks for.

use ecow::EcoString;
use sassafrasproxy_wire::{
    Configuration, EventKind, GroupHoldings, Heartbeat, NodeHoldings, VmEntry,
};

/// Times and counts of the control reducer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ControlPolicy {
    /// The time between two ticks; each probes one member.
    pub heartbeat_interval_us: u64,
    /// How long a suspected member has to refute.
    pub suspicion_timeout_us: u64,
    /// How long a dead member is remembered, so that old news does not revive it.
    pub dead_retention_us: u64,
    /// How many members probe on this node's behalf before it suspects another.
    pub indirect_probe_count: usize,
    /// How many members hear at once of a new configuration from each that takes it.
    pub configuration_fan_out: usize,
    /// How many news on members go with a heartbeat.
    pub updates_per_heartbeat: usize,
    /// How long a node may count other members than its peers before it asks for more news.
    pub hash_mismatch_timeout_us: u64,
    /// How many go to a node that was not known before, or that asks for more.
    pub updates_for_new_member: usize,
    /// How many nodes of each failure domain watch the store.
    pub watchers_per_domain: usize,
    /// How long a node without configuration waits for peers before it reads the store.
    pub store_fallback_us: u64,
    /// The least time between two reads of the VM list by this node.
    pub vm_list_interval_us: u64,
    /// What each member adds to that time, which bounds the reads of the whole fleet.
    pub vm_list_interval_per_member_us: u64,
    /// Whether each node sends to upstreams itself instead of through homes; only to measure by.
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
    /// How long the views of two nodes may differ on who is alive.
    ///
    /// A member that one node stops hearing is probed by each other node within a few ticks,
    /// suspected, and given up after the suspicion; news of that takes a few ticks more.
    pub fn view_skew_us(&self) -> u64 {
        self.suspicion_timeout_us + 6 * self.heartbeat_interval_us
    }
}

/// What the control reducer takes in.
#[derive(Debug, Clone, PartialEq)]
pub enum ControlEvent {
    /// The time between two heartbeats has passed.
    Tick,
    /// A peer's heartbeat came, as a probe or as the answer to one.
    HeartbeatReceived(Heartbeat),
    /// A probe of this node got no answer.
    ProbeFailed {
        /// The peer address that was probed.
        peer_address: EcoString,
        /// When the probe was sent.
        sent_us: u64,
        /// Whether other members probed on this node's behalf.
        is_indirect: bool,
    },
    /// Traffic to a peer failed, which is a reason to probe it now.
    PeerFailed {
        /// The peer.
        node: EcoString,
    },
    /// A configuration was read and found good.
    ConfigurationReceived(Configuration),
    /// A configuration was read and found bad.
    ConfigurationRejected {
        /// Its revision.
        revision: u64,
        /// What is wrong.
        detail: EcoString,
    },
    /// A lane of this node published what its group serves.
    LocalHoldings(GroupHoldings),
    /// A peer's holdings came.
    HoldingsReceived(NodeHoldings),
    /// A home corrected this node's picture of one group.
    GroupHoldingsReceived(GroupHoldings),
    /// The platform's VM list was read.
    VmListReceived(Vec<VmEntry>),
    /// The graceful shutdown begins.
    Shutdown,
}

/// What the control reducer asks its shell to do.
#[derive(Debug, Clone, PartialEq)]
pub enum ControlEffect {
    /// Send a heartbeat to a peer address, and report the answer or its lack.
    Probe {
        /// The address.
        peer_address: EcoString,
    },
    /// Ask members to probe another, and report an answer or that none got one.
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
    /// Send this node's holdings to peers.
    PushHoldings {
        /// The peers' addresses.
        peer_addresses: Vec<EcoString>,
        /// What to send.
        holdings: NodeHoldings,
    },
    /// Watch the store for configurations, or stop watching.
    WatchStore {
        /// Whether to watch.
        is_on: bool,
    },
    /// Read the configuration from the store once.
    ReadStore,
    /// Read the platform's VM list.
    ReadVmList,
    /// Give the traffic threads the changed view.
    PublishView,
    /// Put an event on the time line.
    RecordEvent(EventKind),
}
