//! Events that a bucket takes in and effects that it asks for.

use ecow::EcoString;
use sassafrasproxy_wire::{ClaimAnswer, ClaimRequest, RecordRequest};

/// Times of a bucket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClaimPolicy {
    /// How long an epoch lasts; a key is kept for one to two of them.
    pub epoch_ms: u64,
    /// The least time between two writes of a bucket, on average.
    pub write_interval_us: u64,
    /// How many writes a bucket that was idle may make at once.
    pub write_burst: u64,
    /// How long an ending waits for a claim to be written with.
    pub ending_delay_us: u64,
    /// How long the bucket leaves the store alone after calls that failed.
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

/// A claim that waits for its answer, numbered by the shell.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ClaimId(pub u64);

/// What a bucket takes in.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimEvent {
    /// An entry wants a key.
    Claim {
        /// The claim's number.
        claim_id: ClaimId,
        /// The claim.
        request: ClaimRequest,
    },
    /// An entry says what became of a request.
    RecordEnding(RecordRequest),
    /// The call that ran has ended.
    CallFinished(StoreResult),
    /// The time asked for has come.
    Timer,
}

/// A call of the store.
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
    /// Write a key that must not exist.
    Write {
        /// The key.
        key: EcoString,
        /// The value.
        value: EcoString,
    },
}

/// What came of a call of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreResult {
    /// The values of a list, by key.
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

/// What a bucket asks its shell to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimEffect {
    /// Make a call, and report its result; one runs at a time.
    Call(StoreCall),
    /// Answer a claim.
    Answer {
        /// The claim.
        claim_id: ClaimId,
        /// The answer.
        answer: ClaimAnswer,
    },
    /// Remove all keys with a prefix; best effort.
    Purge {
        /// The prefix.
        prefix: EcoString,
    },
}
