//! What nodes send to upstreams and what they get back.

use ecow::EcoString;
use serde::{Deserialize, Serialize};

use crate::{Body, SnapshotId};

/// The header that pins a snapshot.
pub const SNAPSHOT_HEADER: &str = "x-snapshot";
/// The answer header that names the upstream's process life.
pub const BOOT_ID_HEADER: &str = "x-boot-id";
/// The answer header with the upstream's requests in flight.
pub const LOAD_HEADER: &str = "x-load";
/// The answer header of an upstream that is leaving.
pub const DRAINING_HEADER: &str = "x-draining";
/// The answer header that proves that a request did not run.
pub const NOT_RUN_HEADER: &str = "x-not-run";

/// The body of `POST /query`.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct UpstreamQuery {
    /// The kind of request.
    pub kind: EcoString,
    /// The shard to ask.
    pub shard: EcoString,
    /// The caller's body, unchanged.
    pub body: Body,
}

/// The body of `GET /status`; it may lag or be wrong.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct UpstreamStatus {
    /// Changes at every start of the upstream.
    pub boot_id: EcoString,
    /// What the upstream says of itself.
    pub state: UpstreamState,
    /// Requests in flight.
    pub load: u32,
    /// Requests it can have in flight.
    pub slots: u32,
    /// Snapshots it holds.
    pub snapshots: Vec<HeldSnapshot>,
}

/// What an upstream says of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UpstreamState {
    /// Started, with cold caches.
    Cold,
    /// Serving.
    Serving,
    /// Leaving.
    Draining,
}

/// One snapshot that an upstream holds.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HeldSnapshot {
    /// The snapshot.
    pub id: SnapshotId,
    /// The shards of it that this upstream holds.
    pub shards: Vec<EcoString>,
    /// Every shard of the service in this snapshot.
    pub layout: Vec<EcoString>,
}
