//! Messages between nodes and upstreams.

use ecow::EcoString;
use serde::{Deserialize, Serialize};

use crate::{Body, SnapshotId};

/// The request header with the snapshot that the answer must come from.
pub const SNAPSHOT_HEADER: &str = "x-snapshot";
/// The answer header with the upstream's boot id.
pub const BOOT_ID_HEADER: &str = "x-boot-id";
/// The answer header with the number of requests that the upstream has in flight.
pub const LOAD_HEADER: &str = "x-load";
/// The answer header that is `true` if the upstream is draining.
pub const DRAINING_HEADER: &str = "x-draining";
/// The answer header that guarantees that the request did not run.
pub const NOT_RUN_HEADER: &str = "x-not-run";

/// The body of `POST /query`.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct UpstreamQuery {
    /// The kind of request.
    pub kind: EcoString,
    /// The shard to query.
    pub shard: EcoString,
    /// The caller's body, unchanged.
    pub body: Body,
}

/// The answer to `GET /status`; it may be out of date or wrong.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct UpstreamStatus {
    /// The boot id, which changes at every start of the upstream.
    pub boot_id: EcoString,
    /// The state that the upstream reports.
    pub state: UpstreamState,
    /// The number of requests in flight.
    pub load: u32,
    /// The maximum number of requests in flight.
    pub slots: u32,
    /// The snapshots that the upstream holds.
    pub snapshots: Vec<HeldSnapshot>,
}

/// The state that an upstream reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UpstreamState {
    /// The upstream has started, but its caches are cold.
    Cold,
    /// The upstream serves normally.
    Serving,
    /// The upstream is draining before it stops.
    Draining,
}

/// One snapshot that an upstream holds.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HeldSnapshot {
    /// The id of the snapshot.
    pub id: SnapshotId,
    /// The shards of the snapshot that this upstream holds.
    pub shards: Vec<EcoString>,
    /// Every shard of the service in this snapshot.
    pub layout: Vec<EcoString>,
}
