//! The events that a scheduler handles and the effects that it requests.
//!
//! A scheduler does no I/O. Its shell, a module of the node, turns I/O into events and carries out
//! the effects.

use ecow::EcoString;
use indexmap::IndexSet;
use sassafrasproxy_wire::{
    HandOver, SnapshotId, SubRequestOutcome, TimelineEventKind, UpstreamStatus,
};

/// Identifies a sub-request; assigned by the shell and unique within a scheduler.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SubRequestId(pub u64);

/// Identifies one attempt of a sub-request; assigned by the scheduler.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(pub u64);

/// The replicas, limits and exclusions of a scheduler's group.
#[derive(Debug, Clone, PartialEq)]
pub struct SchedulerConfiguration {
    /// The name of the replica group.
    pub group: EcoString,
    /// The name of the service.
    pub service: EcoString,
    /// The group's replicas.
    pub replicas: Vec<ReplicaSpec>,
    /// The limits, times and thresholds.
    pub policy: SchedulerPolicy,
    /// The failure domains that are out of service and get no new work.
    pub domains_out: IndexSet<EcoString>,
    /// The addresses of upstreams that are leaving according to the platform's VM list.
    pub leaving_upstreams: IndexSet<EcoString>,
}

/// One replica of a group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplicaSpec {
    /// The address as `ip:port`.
    pub address: EcoString,
    /// The failure domain of its VM.
    pub failure_domain: EcoString,
    /// The shards it may hold.
    pub shards: IndexSet<EcoString>,
}

/// The limits, times and thresholds of a scheduler.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SchedulerPolicy {
    /// The maximum number of sub-requests in flight at one replica; at least 1.
    pub slots: u32,
    /// The maximum number of queued sub-requests.
    pub max_queued: u32,
    /// The allowed hedges and retries as a fraction of the base load, 0 to 1.
    pub budget_fraction: f64,
    /// The maximum number of unused hedges and retries that the budget holds.
    pub budget_max_tokens: f64,
    /// The quantile of a shard's latencies after which a hedge starts.
    pub hedge_quantile: f64,
    /// The quantile of a shard's latencies that serves as the estimate of an attempt's run time; a
    /// sub-request that would end after its deadline by this estimate is refused.
    pub run_time_quantile: f64,
    /// The minimum time between two increases of a cold replica's limit.
    pub min_ramp_step_us: u64,
    /// The number of warm answers, per slot of its limit, that a cold replica must give before the
    /// limit grows by one.
    pub ramp_answers_per_slot: u32,
    /// An answer is warm if its latency is at most this many times the typical latency of the
    /// group's quickest replica.
    pub warm_factor: f64,
    /// An answer is slow if its latency exceeds the replica's typical latency this many times.
    pub slow_factor: f64,
    /// The number of typical latencies after which an attempt counts as stalled if its replica has
    /// answered nothing since the attempt started.
    pub quiet_replica_stall_factor: u64,
    /// The number of typical latencies after which an attempt counts as stalled if its replica has
    /// answered other attempts since.
    pub active_replica_stall_factor: u64,
    /// The minimum time before an attempt counts as stalled.
    pub min_stall_us: u64,
    /// The minimum pause of a replica that shed a request.
    pub min_shed_pause_us: u64,
    /// The maximum pause that an upstream can request.
    pub max_shed_pause_us: u64,
    /// The time for which a replica is not asked for a shard that it reported as not held.
    pub not_held_ttl_us: u64,
    /// The retry delay given with a refusal, unless the request is quarantined.
    pub overload_retry_after_us: u64,
    /// The duration of a quarantine.
    pub quarantine_ttl_us: u64,
}

impl SchedulerPolicy {
    /// Returns the default policy with a service's slots (raised to at least 1) and queue length.
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

/// The parts of a sub-request that the scheduler needs; the shell keeps the body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SubRequestSpec {
    /// The identifier.
    pub id: SubRequestId,
    /// The shard that is asked for.
    pub shard: EcoString,
    /// The snapshot that the answer must come from.
    pub snapshot: SnapshotId,
    /// Whether it may run more than once without harm.
    pub is_idempotent: bool,
    /// Whether a hedge may start before the first attempt ends; requires `is_idempotent`.
    pub may_hedge: bool,
    /// A hash of the request's kind and body.
    pub fingerprint: u64,
    /// The time by which its sender needs an answer.
    pub deadline_us: u64,
}

/// An input of the scheduler.
#[derive(Debug, Clone, PartialEq)]
pub enum SchedulerEvent {
    /// A sub-request arrived.
    Submit(SubRequestSpec),
    /// An attempt ended.
    Finished {
        /// The attempt.
        attempt: AttemptId,
        /// The result and the fields of the answer's headers.
        report: AttemptReport,
    },
    /// A cancelled attempt no longer holds its slot.
    Cancelled {
        /// The attempt.
        attempt: AttemptId,
    },
    /// The sender no longer waits for a sub-request.
    Abandon {
        /// The sub-request.
        sub_request: SubRequestId,
    },
    /// A replica's status was read, or reading it failed.
    Status {
        /// The replica.
        replica: EcoString,
        /// The probe that this answers, if any.
        probe_id: Option<u64>,
        /// The status or the failure to read it.
        report: StatusReport,
    },
    /// The configuration or the VM list changed.
    Reconfigure(SchedulerConfiguration),
    /// This node became the group's home.
    BecomeHome {
        /// The time for which two nodes may both consider themselves home.
        view_skew_us: u64,
    },
    /// This node is no longer the group's home.
    LoseHome {
        /// This node's name.
        local_node: EcoString,
    },
    /// A hand-over arrived from the old home.
    HandOverReceived(HandOver),
    /// Another scheduler or node found that a request crashes upstreams.
    Quarantine {
        /// A hash of the request's kind and body.
        fingerprint: u64,
        /// The time for which to refuse it, in microseconds.
        ttl_us: u64,
    },
    /// The time returned by [`Scheduler::next_timer_us`](super::Scheduler::next_timer_us) has come.
    Timer,
}

/// The result of an attempt and the fields of the answer's headers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AttemptReport {
    /// The result of the attempt.
    pub result: AttemptResult,
    /// The boot id of the upstream's process, if the answer named one.
    pub boot_id: Option<EcoString>,
    /// Whether the answer reported that the upstream is leaving.
    pub is_draining: bool,
}

impl From<AttemptResult> for AttemptReport {
    fn from(result: AttemptResult) -> Self {
        Self { result, boot_id: None, is_draining: false }
    }
}

/// The result of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum AttemptResult {
    /// A good answer for this attempt, shard and snapshot.
    Answered,
    /// The upstream shed the request; it did not run.
    Shed {
        /// The pause that the upstream requested, or 0 for none.
        retry_after_us: u64,
    },
    /// The replica does not hold the snapshot or shard; the request did not run.
    NotHeld,
    /// The deadline passed before the request was sent; it did not run.
    NotSent,
    /// No connection could be established; the request did not run.
    ConnectFailed,
    /// The connection was lost before the answer; the request may have run.
    ConnectionLost,
    /// No answer arrived before the deadline; the request may have run.
    TimedOut,
    /// The answer belongs to another attempt, shard or snapshot.
    Mismatched,
    /// The answer cannot be decoded.
    Malformed,
    /// The upstream answered with a failure that does not show whether the request ran.
    Failed,
}

/// The result of reading a replica's status.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StatusReport {
    /// The status was read.
    Read(UpstreamStatus),
    /// A new connection could not be established.
    Unreachable,
    /// A connection was established, but no status could be read.
    Unreadable,
}

/// An action that the scheduler asks its shell to perform.
#[derive(Debug, Clone, PartialEq)]
pub enum SchedulerEffect {
    /// Send a sub-request to a replica.
    Send {
        /// The attempt; the shell must report its end in exactly one [`SchedulerEvent::Finished`]
        /// or [`SchedulerEvent::Cancelled`].
        attempt: AttemptId,
        /// The sub-request.
        sub_request: SubRequestId,
        /// The replica.
        replica: EcoString,
    },
    /// Ask the replica to stop an attempt, then report [`SchedulerEvent::Cancelled`].
    Cancel {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Answer a sub-request.
    Reply {
        /// The sub-request.
        sub_request: SubRequestId,
        /// The outcome.
        outcome: SubRequestOutcome,
        /// The attempt whose body belongs to the answer.
        attempt: Option<AttemptId>,
    },
    /// Stop using the open connections to a replica; only new ones may be used.
    RetireConnections {
        /// The replica.
        replica: EcoString,
    },
    /// Read a replica's status over a new connection and report it in one
    /// [`SchedulerEvent::Status`].
    Probe {
        /// The replica.
        replica: EcoString,
        /// The identifier to report it with.
        probe_id: u64,
    },
    /// Announce to the other schedulers and nodes that a request crashes upstreams.
    AnnounceQuarantine {
        /// A hash of the request's kind and body.
        fingerprint: u64,
        /// The time for which to refuse it, in microseconds.
        ttl_us: u64,
    },
    /// Send the group's state to its new home.
    SendHandOver(HandOver),
    /// Publish the group's holdings, which may have changed.
    PublishHoldings,
    /// Record an event on the timeline.
    RecordEvent {
        /// The sub-request that the event belongs to, if any.
        sub_request: Option<SubRequestId>,
        /// The event.
        kind: TimelineEventKind,
    },
}
