//! Quarantines requests that crash the replicas that run them.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

/// The number of crash reports from which a request is refused.
///
/// One replica may crash during a request by coincidence, and two crashes may be reported for a
/// query over many shards when a failure domain is lost. A third crash is attributed to the
/// request.
const MIN_CRASH_REPORTS: usize = 3;

/// The time for which a report counts, in microseconds: callers resend such a request within
/// seconds, and a crashed replica needs some seconds to restart.
const REPORT_TTL_US: u64 = 30_000_000;

/// The maximum number of requests for which reports are kept.
const MAX_TRACKED_REQUESTS: usize = 1_024;

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
}

/// Counts crash reports and refuses requests that repeatedly crash replicas.
///
/// Prevents a request that is sent repeatedly from crashing one replica after the other. A crash is
/// detected when the connection breaks during the request and the replica refuses new connections.
/// Reports are sent to all nodes at once, so a request is refused on whichever node the caller
/// asks.
#[derive(Debug, Clone, Default)]
pub struct RequestQuarantine {
    /// The expiry of each report, by fingerprint and crash id.
    expiries_us: IndexMap<u64, IndexMap<u64, u64>>,
}

impl RequestQuarantine {
    /// Records a report of this node or of a peer; returns whether the crash is new.
    pub fn add_report(&mut self, now_us: u64, report: CrashReport) -> bool {
        if self.expiries_us.len() >= MAX_TRACKED_REQUESTS
            && !self.expiries_us.contains_key(&report.fingerprint)
        {
            self.expiries_us.shift_remove_index(0);
        }
        let crashes = self.expiries_us.entry(report.fingerprint).or_default();
        crashes.insert(report.crash_id, now_us + REPORT_TTL_US).is_none()
    }

    /// Returns the number of reports on a request, including those that expired since the last
    /// call of `is_quarantined`.
    pub fn report_count(&self, fingerprint: u64) -> usize {
        self.expiries_us.get(&fingerprint).map_or(0, IndexMap::len)
    }

    /// Returns the number of quarantined requests, including those whose reports expired since the
    /// last call of `is_quarantined`.
    pub fn quarantined_count(&self) -> usize {
        self.expiries_us.values().filter(|crashes| crashes.len() >= MIN_CRASH_REPORTS).count()
    }

    /// Returns whether a request is refused; drops its expired reports.
    pub fn is_quarantined(&mut self, now_us: u64, fingerprint: u64) -> bool {
        let Some(crashes) = self.expiries_us.get_mut(&fingerprint) else { return false };
        crashes.retain(|_, expires_us| *expires_us > now_us);
        if crashes.is_empty() {
            self.expiries_us.shift_remove(&fingerprint);
            return false;
        }
        crashes.len() >= MIN_CRASH_REPORTS
    }
}
