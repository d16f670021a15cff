//! Times and counts of the heartbeats.

/// Times and counts of the heartbeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GossipPolicy {
    /// The time between two ticks, in microseconds.
    pub tick_interval_us: u64,
    /// The same for a node that has just started and still differs from its peers.
    pub startup_tick_interval_us: u64,
    /// How long a node counts as just started, in microseconds.
    pub startup_us: u64,
    /// How many members are probed at each tick.
    pub probes_per_tick: usize,
    /// How many of its own failure domain a node probes that has just started and still differs.
    pub startup_probes_per_tick: usize,
    /// How long a probe may take, in microseconds: less than a tick, as timers fire unevenly.
    pub probe_timeout_us: u64,
    /// How many probes of a member must fail in a row before it is suspected; datagrams get lost.
    pub suspect_after_misses: u32,
    /// How long a suspected member has to refute, in microseconds.
    pub suspicion_timeout_us: u64,
    /// How long a dead member is remembered, in microseconds.
    pub dead_retention_us: u64,
    /// How many nodes watch the store; all do in a smaller fleet.
    pub max_watchers: usize,
    /// How many nodes keep a registration in the store, where new nodes look for others.
    pub max_registered: usize,
    /// How long a node that is not alone waits before it registers: its seeds may know the fleet.
    pub registration_delay_us: u64,
    /// Below how much of a core, in thousandths, a node looks for a larger one to start from.
    pub small_node_cpu_millis: u32,
    /// How long such a node looks around before it reads the store itself, in microseconds.
    ///
    /// The failure domains that can be lost at once may hold all larger nodes.
    pub bootstrap_wait_us: u64,
    /// How long a node that hears of nobody, or of no larger node, looks around, in microseconds.
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
