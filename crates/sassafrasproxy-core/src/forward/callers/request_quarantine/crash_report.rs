//! Defines the report that a replica crashed while it ran a request.

use ecow::{EcoString, eco_format};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

/// A report that a replica crashed while it ran a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct CrashReport {
    /// A hash of the request's host, method, path and body; the same for all callers.
    pub fingerprint: u64,
    /// The identity of the crash: a hash of the attempt id, and of the replica if an attempt is
    /// sent to one replica at a time.
    pub crash_id: u64,
}

impl CrashReport {
    /// Returns the hash of a request's host, method, path and body.
    pub fn fingerprint(host: &str, method: &str, path: &str, body: &[u8]) -> u64 {
        let mut hash = Xxh3::new();
        for part in [host.as_bytes(), method.as_bytes(), path.as_bytes(), body] {
            hash.update(&part.len().to_le_bytes());
            hash.update(part);
        }
        hash.digest()
    }

    /// Creates the report of a replica's crash during an attempt.
    ///
    /// `replica` is empty for a query over shards: it runs on many replicas at once, which may
    /// crash together for another reason, so all crashes during one of its attempts count once.
    pub fn new(fingerprint: u64, attempt_id: &str, replica: &str) -> Self {
        let crash_id = xxh3_64(attempt_id.as_bytes()) ^ xxh3_64(replica.as_bytes()).rotate_left(1);
        Self { fingerprint, crash_id }
    }

    /// Creates the second report of an attempt of a query over shards, under which many replicas
    /// crashed and none answered.
    pub fn of_many(fingerprint: u64, attempt_id: &str) -> Self {
        // No replica has this name, as ids have no spaces.
        Self::new(fingerprint, attempt_id, "many replicas")
    }
}

/// Returns a fingerprint as logs and the store's keys show it.
pub fn fingerprint_text(fingerprint: u64) -> EcoString {
    eco_format!("{fingerprint:016x}")
}
