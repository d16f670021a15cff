//! What an upstream is like, what goes wrong with it, and what it ran.

use ecow::EcoString;
use sassafrasproxy_wire::{HeldSnapshot, SnapshotId, UpstreamStatus};
use serde::{Deserialize, Serialize};

/// What an upstream is like.
#[derive(Debug, Clone)]
pub struct UpstreamSetup {
    /// Requests that run at once; more are shed.
    pub slots: u32,
    /// Open connections; more are closed at once.
    pub max_connections: u32,
    /// How long a new connection takes before it serves, in milliseconds.
    pub connect_ms: f64,
    /// The network's time there and back, in milliseconds.
    pub round_trip_ms: f64,
    /// The mean time that a request takes, in milliseconds.
    pub mean_service_ms: f64,
    /// What it is like after a start.
    pub cold_start: Option<ColdStart>,
    /// Requests that take far longer.
    pub stragglers: Option<Stragglers>,
    /// The snapshots that it holds.
    pub snapshots: Vec<HeldSnapshot>,
    /// The seed of its service times.
    pub seed: u64,
}

/// What an upstream is like after a start.
#[derive(Debug, Clone, Copy)]
pub struct ColdStart {
    /// How many times longer requests take at first.
    pub slowdown_factor: f64,
    /// How many answers warm it up.
    pub warm_up_answers: u32,
    /// The most requests at once that do not make it fall over while it is cold.
    pub max_in_flight: u32,
}

/// Requests that take far longer than others.
#[derive(Debug, Clone, Copy)]
#[derive(Serialize, Deserialize)]
pub struct Stragglers {
    /// How many of them, 0 to 1.
    pub probability: f64,
    /// How many times longer they take.
    pub factor: f64,
}

/// A fault or change that is switched on a running upstream, by a call or by
/// `POST /standin/fault`.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UpstreamFault {
    /// The process dies and starts again after a time.
    Crash {
        /// How long it is away, in milliseconds.
        down_ms: u64,
    },
    /// It turns cold without a restart.
    TurnCold,
    /// Open connections carry nothing any more; new ones work.
    SilenceConnections,
    /// It says that it is leaving.
    Drain {
        /// Whether its status says so.
        in_status: bool,
        /// Whether its answers say so.
        in_answers: bool,
    },
    /// It sheds every request, or stops doing so.
    Shed(bool),
    /// Some requests take far longer.
    Straggle(Option<Stragglers>),
    /// Its status says this, whatever is true.
    LieInStatus(Option<UpstreamStatus>),
    /// Its answers carry the id of another request, or stop doing so.
    CrossAnswers(bool),
    /// Its answers end in the middle, or stop doing so.
    Truncate(bool),
    /// It holds other snapshots.
    Hold(Vec<HeldSnapshot>),
    /// A request whose body has this text kills it.
    CrashOn(Option<EcoString>),
}

/// One request that an upstream began to run.
#[derive(Debug, Clone)]
pub struct RunRecord {
    /// The id of the send.
    pub attempt_id: EcoString,
    /// The kind of request.
    pub kind: EcoString,
    /// The shard.
    pub shard: EcoString,
    /// The snapshot.
    pub snapshot: SnapshotId,
    /// The caller's body.
    pub body: EcoString,
    /// How it ended, if it did.
    pub outcome: Option<RunOutcome>,
}

/// How a request ended in an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunOutcome {
    /// It was answered.
    Answered,
    /// It was cancelled.
    Cancelled,
    /// Its deadline passed.
    DeadlineExceeded,
    /// The upstream died.
    Crashed,
}
