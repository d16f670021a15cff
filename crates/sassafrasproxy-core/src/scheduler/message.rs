//! Events that a lane takes in and effects that it asks for.

use ecow::EcoString;
use indexmap::IndexSet;
use sassafrasproxy_wire::{EventKind, HandOver, SnapshotId, SubOutcome, UpstreamStatus};

/// A sub-request, numbered by the shell; unique in a lane.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SubRequestId(pub u64);

/// One send of a sub-request, numbered by the lane.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(pub u64);

/// What a lane serves and how.
#[derive(Debug, Clone, PartialEq)]
pub struct SchedulerConfiguration {
    /// The replica group.
    pub group: EcoString,
    /// The service.
    pub service: EcoString,
    /// The group's replicas.
    pub replicas: Vec<ReplicaSpec>,
    /// Limits and times.
    pub policy: SchedulerPolicy,
    /// Failure domains that get no new work.
    pub domains_out: IndexSet<EcoString>,
    /// Addresses that the platform's VM list says are leaving.
    pub leaving_upstreams: IndexSet<EcoString>,
}

/// One replica of a lane.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplicaSpec {
    /// `ip:port`.
    pub address: EcoString,
    /// Where it is.
    pub failure_domain: EcoString,
    /// The shards it may hold.
    pub shards: IndexSet<EcoString>,
}

/// Limits and times of a lane.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SchedulerPolicy {
    /// The most sub-requests in flight at one replica; at least 1.
    pub slots: u32,
    /// The most sub-requests that wait.
    pub max_queued: u32,
    /// Hedges and retries as a fraction of the base load, 0 to 1.
    pub budget_fraction: f64,
    /// The most hedges and retries saved up.
    pub budget_max_tokens: f64,
    /// The quantile of a shard's latencies after which a hedge starts.
    pub hedge_quantile: f64,
    /// What cannot end in time is not sent: its run is taken to last this quantile.
    pub run_time_quantile: f64,
    /// The least time between two steps of a cold replica's limit.
    pub min_ramp_step_us: u64,
    /// The good answers that each slot of a cold replica's limit takes to grow by one.
    pub ramp_answers_per_slot: u32,
    /// An answer up to this many times as slow as the group's quickest replica is a warm one.
    pub warm_factor: f64,
    /// A latency this many times the replica's norm is slow.
    pub slow_factor: f64,
    /// A send is silent after this many times the replica's norm without any answer from it.
    pub quiet_replica_stall_factor: u64,
    /// The same where the replica did answer something else since.
    pub active_replica_stall_factor: u64,
    /// A send is never silent before this.
    pub min_stall_us: u64,
    /// The pause after a shed request that names none.
    pub min_shed_pause_us: u64,
    /// The longest pause that an upstream can ask for.
    pub max_shed_pause_us: u64,
    /// How long a replica is not asked for a shard that it said it does not hold.
    pub not_held_ttl_us: u64,
    /// When to come back after a refusal for load.
    pub overload_retry_after_us: u64,
    /// How long a quarantine lasts.
    pub quarantine_ttl_us: u64,
}

impl SchedulerPolicy {
    /// The defaults for a service's limits.
    pub fn new(slots: u32, max_queued: u32) -> Self {
        Self {
            slots: slots.max(1),
            max_queued,
            budget_fraction: 0.05,
            budget_max_tokens: 10.0,
            hedge_quantile: 0.95,
            run_time_quantile: 0.9,
            min_ramp_step_us: 200_000,
            ramp_answers_per_slot: 8,
            warm_factor: 2.0,
            slow_factor: 5.0,
            quiet_replica_stall_factor: 6,
            active_replica_stall_factor: 10,
            min_stall_us: 15_000,
            min_shed_pause_us: 20_000,
            max_shed_pause_us: 2_000_000,
            not_held_ttl_us: 1_000_000,
            overload_retry_after_us: 50_000,
            quarantine_ttl_us: 60_000_000,
        }
    }
}

/// A sub-request as a lane sees it; its body stays with the shell.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SubRequestSpec {
    /// Its key.
    pub id: SubRequestId,
    /// The shard.
    pub shard: EcoString,
    /// The snapshot that the answer must come from.
    pub snapshot: SnapshotId,
    /// Whether running it twice does no harm.
    pub is_idempotent: bool,
    /// Whether a second try may start before the first ends; only with `is_idempotent`.
    pub may_hedge: bool,
    /// A hash of kind and body.
    pub fingerprint: u64,
    /// When its entry needs an answer at the latest.
    pub deadline_us: u64,
}

/// What a lane takes in.
#[derive(Debug, Clone, PartialEq)]
pub enum SchedulerEvent {
    /// A sub-request came.
    Submit(SubRequestSpec),
    /// A send ended.
    Finished {
        /// The send.
        attempt: AttemptId,
        /// How.
        report: AttemptReport,
    },
    /// A cancelled send holds its slot no more.
    Cancelled {
        /// The send.
        attempt: AttemptId,
    },
    /// Nobody waits for a sub-request any more.
    Abandon {
        /// The sub-request.
        sub_request: SubRequestId,
    },
    /// A replica's status was read or could not be.
    Status {
        /// The replica.
        replica: EcoString,
        /// The number of the probe that this answers, if it was one.
        probe_id: Option<u64>,
        /// What came back.
        report: StatusReport,
    },
    /// The configuration or the VM list changed.
    Reconfigure(SchedulerConfiguration),
    /// This node is the group's home from now on.
    BecomeHome {
        /// How long two nodes may both believe to be home.
        view_skew_us: u64,
    },
    /// This node is the group's home no more.
    LoseHome {
        /// This node's name.
        local_node: EcoString,
    },
    /// The old home handed its state over.
    HandOverReceived(HandOver),
    /// Another lane or node found that a request crashes upstreams.
    Quarantine {
        /// A hash of kind and body.
        fingerprint: u64,
        /// How long to refuse it.
        ttl_us: u64,
    },
    /// The time asked for has come.
    Timer,
}

/// How a send ended, with what the answer's headers said.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AttemptReport {
    /// How it ended.
    pub result: AttemptResult,
    /// The upstream's process life.
    pub boot_id: Option<EcoString>,
    /// Whether the upstream said that it is leaving.
    pub is_draining: bool,
}

impl From<AttemptResult> for AttemptReport {
    fn from(result: AttemptResult) -> Self {
        Self { result, boot_id: None, is_draining: false }
    }
}

/// How a send ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum AttemptResult {
    /// A good answer for this send, shard and snapshot.
    Answered,
    /// Turned away; it did not run.
    Shed {
        /// The pause that the upstream asked for, 0 for none.
        retry_after_us: u64,
    },
    /// The snapshot or shard is not there; it did not run.
    NotHeld,
    /// Its time was over before it was sent.
    NotSent,
    /// No connection could be made; it did not run.
    ConnectFailed,
    /// The connection ended before the answer; it may have run.
    ConnectionLost,
    /// No answer in time; it may have run.
    TimedOut,
    /// The answer belongs to another send, shard or snapshot.
    Mismatched,
    /// The answer cannot be read.
    Malformed,
    /// The upstream answered with a failure that proves nothing.
    Failed,
}

/// What came of reading a replica's status.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StatusReport {
    /// The status.
    Read(UpstreamStatus),
    /// A new connection could not be made.
    Unreachable,
    /// A connection was made, but no status came.
    Unreadable,
}

/// What a lane asks its shell to do.
#[derive(Debug, Clone, PartialEq)]
pub enum SchedulerEffect {
    /// Send a sub-request to a replica.
    Send {
        /// The send; it must end in exactly one event.
        attempt: AttemptId,
        /// The sub-request.
        sub_request: SubRequestId,
        /// The replica.
        replica: EcoString,
    },
    /// Tell the replica to stop a send, then report it cancelled.
    Cancel {
        /// The send.
        attempt: AttemptId,
    },
    /// Answer a sub-request.
    Reply {
        /// The sub-request.
        sub_request: SubRequestId,
        /// The answer.
        outcome: SubOutcome,
        /// The send whose body belongs to it.
        attempt: Option<AttemptId>,
    },
    /// Use only new connections to a replica from now on.
    RetireConnections {
        /// The replica.
        replica: EcoString,
    },
    /// Read a replica's status over a new connection; it must end in one status event.
    Probe {
        /// The replica.
        replica: EcoString,
        /// The number to report it under.
        probe_id: u64,
    },
    /// Tell the other lanes and nodes that a request crashes upstreams.
    AnnounceQuarantine {
        /// A hash of kind and body.
        fingerprint: u64,
        /// How long to refuse it.
        ttl_us: u64,
    },
    /// Hand the group to its new home.
    SendHandOver(HandOver),
    /// Publish the group's holdings; they may have changed.
    PublishHoldings,
    /// Put an event on the time line.
    RecordEvent {
        /// The sub-request that it belongs to.
        sub_request: Option<SubRequestId>,
        /// What happened.
        kind: EventKind,
    },
}
