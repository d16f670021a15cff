//! The settings, faults and run records of an upstream stand-in.

use ecow::EcoString;
use sassafrasproxy_wire::{HeldSnapshot, SnapshotId, UpstreamStatus};
use serde::{Deserialize, Serialize};

/// The settings of an upstream stand-in.
#[derive(Debug, Clone)]
pub struct UpstreamSetup {
    /// The maximum number of concurrent requests; further requests are shed.
    pub slots: u32,
    /// The maximum number of open connections; further connections are closed at once.
    pub max_connections: u32,
    /// The time that a new connection takes before it serves, in milliseconds.
    pub connect_ms: f64,
    /// The network round-trip time, in milliseconds.
    pub round_trip_ms: f64,
    /// The mean service time of a request, in milliseconds.
    pub mean_service_ms: f64,
    /// The behaviour after a restart, if the upstream starts cold.
    pub cold_start: Option<ColdStart>,
    /// The share of slow requests and their slowdown, if there are any.
    pub stragglers: Option<Stragglers>,
    /// The snapshots that the upstream holds.
    pub snapshots: Vec<HeldSnapshot>,
    /// The seed of the service times.
    pub seed: u64,
}

/// The behaviour of an upstream with cold caches.
#[derive(Debug, Clone, Copy)]
pub struct ColdStart {
    /// The factor by which requests take longer while the upstream is cold.
    pub slowdown_factor: f64,
    /// The number of answers after which the upstream is warm.
    pub warm_up_answers: u32,
    /// The maximum number of concurrent requests while the upstream is cold; one more crashes it.
    pub max_in_flight: u32,
}

/// Requests that take far longer than others.
#[derive(Debug, Clone, Copy)]
#[derive(Serialize, Deserialize)]
pub struct Stragglers {
    /// The share of requests that are slow, from 0 to 1.
    pub probability: f64,
    /// The factor by which slow requests take longer.
    pub factor: f64,
}

/// A fault or change that is applied to a running upstream by `apply_fault` or by
/// `POST /standin/fault`.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UpstreamFault {
    /// The process crashes and restarts after a time.
    Crash {
        /// The time until the restart, in milliseconds.
        down_ms: u64,
    },
    /// The caches turn cold without a restart.
    TurnCold,
    /// Open connections stall; new ones work.
    SilenceConnections,
    /// The upstream reports that it is draining, or stops doing so.
    Drain {
        /// Whether the status reports it.
        in_status: bool,
        /// Whether answers report it in a header.
        in_answers: bool,
    },
    /// The upstream sheds every request, or stops doing so.
    Shed(bool),
    /// Some requests take far longer; `None` turns this off.
    Straggle(Option<Stragglers>),
    /// The status is replaced by this one; `None` restores the true one.
    LieInStatus(Option<UpstreamStatus>),
    /// Answers carry the id of another request, or stop doing so.
    CrossAnswers(bool),
    /// Answers are cut off in the middle, or are complete again.
    Truncate(bool),
    /// The upstream holds these snapshots instead of its current ones.
    Hold(Vec<HeldSnapshot>),
    /// Requests whose body contains this text crash the process; `None` turns this off.
    CrashOn(Option<EcoString>),
}

/// A request that an upstream started.
#[derive(Debug, Clone)]
pub struct RunRecord {
    /// The id of the attempt.
    pub attempt_id: EcoString,
    /// The kind of request.
    pub kind: EcoString,
    /// The shard that was queried.
    pub shard: EcoString,
    /// The snapshot that was queried.
    pub snapshot: SnapshotId,
    /// The request body as JSON text.
    pub body: EcoString,
    /// The outcome, once the request has ended.
    pub outcome: Option<RunOutcome>,
}

/// The outcome of a request at an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunOutcome {
    /// The request was answered.
    Answered,
    /// The request was cancelled.
    Cancelled,
    /// The deadline of the request passed.
    DeadlineExceeded,
    /// The upstream crashed while the request ran.
    Crashed,
}
