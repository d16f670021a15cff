//! The intervals, timeouts and counts of gossip.

/// The intervals, timeouts and counts of gossip.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GossipPolicy {
    /// The time between two ticks, in microseconds.
    pub tick_interval_us: u64,
    /// The time between two ticks of a node that is alone, or has just started and still has a
    /// different view from its peers, in microseconds.
    pub startup_tick_interval_us: u64,
    /// The time after its start for which a node counts as just started, in microseconds.
    pub startup_us: u64,
    /// The number of members that are probed per tick.
    pub probes_per_tick: usize,
    /// The number of members of its own failure domain that a node probes per tick while it has
    /// just started and still has a different view from its peers.
    pub startup_probes_per_tick: usize,
    /// The time after which an unanswered probe counts as missed, in microseconds.
    ///
    /// Shorter than a tick, because timers fire unevenly.
    pub probe_timeout_us: u64,
    /// The number of probes in a row without an answer after which a member is suspected.
    ///
    /// More than one, because datagrams get lost.
    pub suspect_after_misses: u32,
    /// The time that a suspected member has to refute the suspicion before it is declared dead, in
    /// microseconds.
    pub suspicion_timeout_us: u64,
    /// The time for which a dead member is kept, in microseconds.
    pub dead_retention_us: u64,
    /// The number of nodes that watch the store; in a smaller fleet, all nodes watch it.
    pub max_watchers: usize,
    /// The number of nodes that keep a registration in the store, where new nodes find members.
    pub max_registered: usize,
    /// The delay before a node that has other members registers, in microseconds.
    ///
    /// The node's seeds may already belong to a fleet with enough registrations.
    pub registration_delay_us: u64,
    /// The CPU below which a node looks for a larger one to bootstrap from, in thousandths of a
    /// core.
    pub small_node_cpu_millis: u32,
    /// The time for which a node with less CPU than `small_node_cpu_millis` looks for a larger one
    /// in its failure domain before it reads the store itself, in microseconds.
    ///
    /// The wait is bounded because the failure domains that can be lost at once may contain all
    /// larger nodes.
    pub bootstrap_wait_us: u64,
    /// The time for which a node without another member, or without a larger one, looks for one, in
    /// microseconds.
    pub isolated_wait_us: u64,
}

impl Default for GossipPolicy {
    fn default() -> Self {
        Self {
            tick_interval_us: 250_000,
            startup_tick_interval_us: 100_000,
            startup_us: 10_000_000,
            probes_per_tick: 1,
            startup_probes_per_tick: 2,
            probe_timeout_us: 200_000,
            suspect_after_misses: 3,
            suspicion_timeout_us: 1_200_000,
            dead_retention_us: 30_000_000,
            max_watchers: 4,
            max_registered: 8,
            registration_delay_us: 2_000_000,
            small_node_cpu_millis: 200,
            bootstrap_wait_us: 4_000_000,
            isolated_wait_us: 600_000,
        }
    }
}
