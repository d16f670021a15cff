//! Defines the report that a replica crashed while it ran a request.

use ecow::{EcoString, eco_format};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::fingerprints::hash_parts;

/// The bits of a crash id that mark the report on a shared fingerprint.
const SHARED_MARK_BITS: u64 = 0xffff_ffff_0000_0000;

/// A report that a replica crashed while it ran a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct CrashReport {
    /// The exact fingerprint of the request, or one that it shares with others.
    pub fingerprint: u64,
    /// The identity of the crash: a hash of the attempt id, and of the replica if an attempt is
    /// sent to one replica at a time. In a report on a shared fingerprint, the identity of the
    /// request, with a mark.
    pub crash_id: u64,
}

impl CrashReport {
    /// Returns the hash of a request's host, method, path and body.
    pub fn fingerprint(host: &str, method: &str, path: &str, body: &[u8]) -> u64 {
        hash_parts([host.as_bytes(), method.as_bytes(), path.as_bytes(), body])
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

    /// Creates the report on a fingerprint that a request shares with others.
    ///
    /// All crashes under the same request count once: only different requests that crash replicas
    /// show that what they share is the cause.
    pub fn of_shared(fingerprint: u64, exact_fingerprint: u64) -> Self {
        let crash_id = shared_mark(fingerprint) | exact_fingerprint & !SHARED_MARK_BITS;
        Self { fingerprint, crash_id }
    }

    /// Returns whether the report is on a fingerprint that the request shares with others.
    pub fn is_shared(&self) -> bool {
        self.crash_id & SHARED_MARK_BITS == shared_mark(self.fingerprint)
    }
}

fn shared_mark(fingerprint: u64) -> u64 {
    xxh3_64(&fingerprint.to_le_bytes()) & SHARED_MARK_BITS
}

/// Returns a fingerprint as logs and the store's keys show it.
pub fn fingerprint_text(fingerprint: u64) -> EcoString {
    eco_format!("{fingerprint:016x}")
}
