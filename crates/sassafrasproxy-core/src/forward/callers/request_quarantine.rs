//! Requests that crash the replicas that run them.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

/// From how many reports on a request is refused.
///
/// One replica may die under a request by chance, and two under a query over many shards when a
/// failure domain goes; a third time is the request's doing.
const MIN_CRASH_REPORTS: usize = 3;

/// How long a report counts, in microseconds: a caller that sends such a request again does so
/// within seconds, and replicas need some to be back.
const REPORT_TTL_US: u64 = 30_000_000;

/// How many requests are watched at a time.
const MAX_TRACKED_REQUESTS: usize = 1_024;

/// One replica's death under a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct CrashReport {
    /// What the request asks, whoever sent it: a hash of host, path, method and body.
    pub fingerprint: u64,
    /// Tells this death from others: a hash of the attempt, and of the replica where an attempt
    /// is sent to one replica at a time.
    pub crash_id: u64,
}

impl CrashReport {
    /// The hash of what a request asks.
    pub fn fingerprint(host: &str, method: &str, path: &str, body: &[u8]) -> u64 {
        let mut hash = Xxh3::new();
        for part in [host.as_bytes(), method.as_bytes(), path.as_bytes(), body] {
            hash.update(&part.len().to_le_bytes());
            hash.update(part);
        }
        hash.digest()
    }

    /// The death of a replica under an attempt.
    ///
    /// A query over shards runs on many replicas at once, which may die together for another
    /// reason: all deaths under one of its attempts count once. So `replica` is empty then.
    pub fn new(fingerprint: u64, attempt_id: &str, replica: &str) -> Self {
        let crash_id = xxh3_64(attempt_id.as_bytes()) ^ xxh3_64(replica.as_bytes()).rotate_left(1);
        Self { fingerprint, crash_id }
    }
}

/// Keeps requests that crash replicas from reaching more of them, on any node.
///
/// Guards against one request that is sent again and again and takes one replica after the other
/// down. It shows as a connection that breaks off under the request while new connections to the
/// replica are refused. Reports go to all nodes at once, so it holds wherever the caller asks.
#[derive(Debug, Clone, Default)]
pub struct RequestQuarantine {
    /// For each request, its reports and when they expire.
    expiries_us: IndexMap<u64, IndexMap<u64, u64>>,
}

impl RequestQuarantine {
    /// Notes a report of this node's own or of a peer's; returns whether it is news.
    pub fn add_report(&mut self, now_us: u64, report: CrashReport) -> bool {
        if self.expiries_us.len() >= MAX_TRACKED_REQUESTS
            && !self.expiries_us.contains_key(&report.fingerprint)
        {
            self.expiries_us.shift_remove_index(0);
        }
        let deaths = self.expiries_us.entry(report.fingerprint).or_default();
        deaths.insert(report.crash_id, now_us + REPORT_TTL_US).is_none()
    }

    /// Whether a request is refused.
    pub fn is_quarantined(&mut self, now_us: u64, fingerprint: u64) -> bool {
        let Some(deaths) = self.expiries_us.get_mut(&fingerprint) else { return false };
        deaths.retain(|_, expires_us| *expires_us > now_us);
        if deaths.is_empty() {
            self.expiries_us.shift_remove(&fingerprint);
            return false;
        }
        deaths.len() >= MIN_CRASH_REPORTS
    }
}
