//! Claims on the keys of non-idempotent requests, and the log that stores them.

use ecow::EcoString;
use serde::{Deserialize, Serialize};

/// A request to claim a request key, sent to the home of the key's bucket.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ClaimRequest {
    /// The caller's request id.
    pub key: EcoString,
    /// A token that is unique for each attempt of an ingress node to claim the key.
    pub token: EcoString,
    /// The hash of the request's services, kind and body.
    pub fingerprint: u64,
}

/// The answer to a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "claim", rename_all = "snake_case")]
pub enum ClaimAnswer {
    /// The key is claimed for this token only; the request may run once.
    Granted,
    /// The key was claimed before.
    Held {
        /// The fingerprint of the request that holds the claim.
        fingerprint: u64,
        /// The ending of that request; `None` if none is recorded.
        ending: Option<Ending>,
    },
    /// The store is unavailable; the claim may have been written, but it is not granted.
    Unavailable,
}

/// The final state of a claimed request.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "ending", rename_all = "snake_case")]
pub enum Ending {
    /// The request was answered.
    Answered {
        /// The answer as sent to the caller; `None` if it was too large to keep.
        text: Option<EcoString>,
    },
    /// The request may have run.
    Unknown,
    /// The request did not run; its key is free again.
    NotRun,
}

/// A request to record the ending of a claimed request.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RecordEndingRequest {
    /// The caller's request id.
    pub key: EcoString,
    /// The token that the claim was granted to.
    pub token: EcoString,
    /// The ending of the request.
    pub ending: Ending,
}

/// A segment of a bucket's claim log in the store; it is written once and never changed.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ClaimLogSegment {
    /// The id of the batch of records; shows whether the segment was written if the store's answer
    /// was lost.
    pub batch: EcoString,
    /// The records of the segment, in order.
    pub records: Vec<ClaimLogRecord>,
}

/// A record of a bucket's claim log.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "record", rename_all = "snake_case")]
pub enum ClaimLogRecord {
    /// Claims a key, unless an earlier record holds it.
    Claim(ClaimRequest),
    /// Records the ending of a claimed request.
    Ending(RecordEndingRequest),
    /// Closes the log for further claims; they go to the log of the next epoch.
    Sealed,
}
