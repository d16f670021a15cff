//! Events that a claim bucket handles and effects that it requests.

use ecow::EcoString;
use sassafrasproxy_wire::{ClaimAnswer, ClaimRequest, RecordEndingRequest};

/// The timing parameters of a claim bucket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClaimPolicy {
    /// The length of an epoch; a claimed key is kept for one to two epochs.
    pub epoch_ms: u64,
    /// The minimum average time between two writes of a bucket.
    pub write_interval_us: u64,
    /// The number of writes that an idle bucket may make in one burst.
    pub write_burst: u64,
    /// The maximum time that an ending waits to share a write with a claim.
    pub ending_delay_us: u64,
    /// The time without store calls after a failed read or repeated failed writes.
    pub retry_delay_us: u64,
}

impl Default for ClaimPolicy {
    fn default() -> Self {
        Self {
            epoch_ms: 12 * 3_600 * 1_000,
            write_interval_us: 50_000,
            write_burst: 3,
            ending_delay_us: 250_000,
            retry_delay_us: 200_000,
        }
    }
}

/// Identifies a claim that waits for its answer; assigned by the code that runs the bucket.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ClaimId(pub u64);

/// An event that a claim bucket handles.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimEvent {
    /// An ingress node claims a key.
    Claim {
        /// The id to answer the claim under.
        claim_id: ClaimId,
        /// The claim to record.
        request: ClaimRequest,
    },
    /// An ingress node reports how a request ended.
    RecordEnding(RecordEndingRequest),
    /// The call in flight has finished.
    CallFinished(StoreResult),
    /// The time that [`ClaimBucket::next_timer_us`](crate::ClaimBucket::next_timer_us) returned
    /// has passed.
    Timer,
}

/// A call to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreCall {
    /// Read all keys with a prefix.
    List {
        /// The prefix.
        prefix: EcoString,
    },
    /// Read one key.
    Read {
        /// The key.
        key: EcoString,
    },
    /// Write a key, only if it does not exist yet.
    Write {
        /// The key.
        key: EcoString,
        /// The value.
        value: EcoString,
    },
}

/// The result of a call to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreResult {
    /// The listed values, in the order of their keys.
    Listed(Vec<EcoString>),
    /// The value of a key.
    Found(EcoString),
    /// The key does not exist.
    Absent,
    /// The write took effect.
    Written,
    /// The key exists already.
    Conflict,
    /// The call failed; a write may have taken effect.
    Failed,
}

/// An effect that a claim bucket requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimEffect {
    /// Make a store call and report its result; only one call is in flight at a time.
    Call(StoreCall),
    /// Answer a claim.
    Answer {
        /// The id of the claim.
        claim_id: ClaimId,
        /// The answer.
        answer: ClaimAnswer,
    },
    /// Remove all keys with a prefix. A failure is ignored.
    Purge {
        /// The prefix.
        prefix: EcoString,
    },
}
