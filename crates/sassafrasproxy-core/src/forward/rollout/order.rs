//! The rollout order that an operator writes and the rollout record that the nodes keep.

use ecow::EcoString;
use serde::{Deserialize, Serialize};

/// An operator's order to move a service's traffic to another version.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RolloutOrder {
    /// The service.
    pub service: EcoString,
    /// The version to move to.
    pub target_version: EcoString,
    /// The time that the rollout may take, in milliseconds.
    pub period_ms: u64,
}

/// The phase of a rollout.
///
/// It only moves forward, and ends as `Completed` or `RolledBack`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RolloutPhase {
    /// The canaries send a few requests to the new version.
    Trial,
    /// All nodes send all requests to the new version; the old version still runs.
    Promoted,
    /// The old version may be stopped.
    Completed,
    /// The new version gets no more requests.
    RolledBack,
}

impl RolloutPhase {
    /// Returns whether no other phase follows.
    pub fn is_final(self) -> bool {
        match self {
            Self::Completed | Self::RolledBack => true,
            Self::Trial | Self::Promoted => false,
        }
    }
}

/// The agreed state of one service's rollout; changed by conditional writes only.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct RolloutRecord {
    /// The service.
    pub service: EcoString,
    /// The version that the service used before the order.
    pub base_version: EcoString,
    /// The version to move to.
    pub target_version: EcoString,
    /// The order's revision in the store, which identifies the order.
    pub order_revision: u64,
    /// The phase of the rollout.
    pub phase: RolloutPhase,
    /// The nodes that may send requests to the new version during the trial.
    pub canaries: Vec<EcoString>,
    /// The number of permits of each canary: requests that it may send to the new version in
    /// addition to `request_share`.
    ///
    /// The permits of all canaries together never exceed the exposure that the operators allow for
    /// a bad version.
    pub permits_each: u32,
    /// The number of requests to the new version for each request to the service that the canary
    /// serves.
    pub request_share: f64,
    /// The time over which the permits are spread, in milliseconds.
    pub spread_ms: u64,
    /// The elapsed part of the period when this record was written, in milliseconds.
    pub elapsed_ms: u64,
}
