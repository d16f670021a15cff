//! Claims on the keys of non-idempotent requests.

use ecow::EcoString;
use serde::{Deserialize, Serialize};

/// Asks a bucket's home to claim a request key.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ClaimRequest {
    /// The caller's request id.
    pub key: EcoString,
    /// Unique for each try of an entry node to claim.
    pub token: EcoString,
    /// A hash of services, kind and body.
    pub fingerprint: u64,
}

/// What became of a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "claim", rename_all = "snake_case")]
pub enum ClaimAnswer {
    /// The key is this token's alone; the request may be run, once.
    Granted,
    /// The key was claimed before, for a request of this fingerprint.
    Held {
        /// The fingerprint.
        fingerprint: u64,
        /// What became of the request, if it was recorded.
        ending: Option<Ending>,
    },
    /// The store is away; the key may or may not be claimed, but it is not granted.
    Unavailable,
}

/// What became of a claimed request.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "ending", rename_all = "snake_case")]
pub enum Ending {
    /// It was answered with this text.
    Answered {
        /// The answer as the caller got it, unless it was too large to keep.
        text: Option<EcoString>,
    },
    /// It may have run.
    Unknown,
    /// It ran nowhere; its key is free again.
    NotRun,
}

/// Records what became of a claimed request.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RecordEndingRequest {
    /// The caller's request id.
    pub key: EcoString,
    /// The token that the key was granted to.
    pub token: EcoString,
    /// What became of it.
    pub ending: Ending,
}

/// One segment of a bucket's log in the store; written once and never changed.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ClaimLogSegment {
    /// Unique for each batch, to recognise it when the store's answer was lost.
    pub batch: EcoString,
    /// Its records, in order.
    pub records: Vec<ClaimLogRecord>,
}

/// One record of a bucket's log.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "record", rename_all = "snake_case")]
pub enum ClaimLogRecord {
    /// A key is claimed, unless an earlier record holds it.
    Claim(ClaimRequest),
    /// What became of a claimed request.
    Ending(RecordEndingRequest),
    /// The log takes no more claims; the next epoch's goes on.
    Sealed,
}
