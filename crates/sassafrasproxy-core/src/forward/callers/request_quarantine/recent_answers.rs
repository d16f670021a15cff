//! Remembers which requests replicas have answered recently.

use indexmap::{IndexMap, IndexSet};

/// The time for which an answer is remembered at least, in microseconds.
///
/// Longer than a connection attempt to a silent replica takes, so that a request that is answered
/// elsewhere while a failure domain is lost gets no crash report.
const MIN_RETENTION_US: u64 = 2_000_000;

/// The maximum number of fingerprints that are remembered in each half.
const MAX_ANSWERED_REQUESTS: usize = 8_192;

/// The minimum interval between notices of answers to the same request, in microseconds.
const ANNOUNCEMENT_INTERVAL_US: u64 = 250_000;

/// The fingerprints of the requests that replicas have answered recently.
///
/// Kept in two halves, of which the older one is dropped at a time.
#[derive(Debug, Default)]
pub struct RecentAnswers {
    current: IndexSet<u64>,
    previous: IndexSet<u64>,
    /// The time at which peers were told of the answer to a remembered request, in microseconds.
    announced_us: IndexMap<u64, u64>,
    /// The time at which the current half was started, in microseconds.
    started_us: u64,
    /// The time from which answers are known for the whole retention, in microseconds.
    complete_at_us: u64,
}

impl RecentAnswers {
    /// Creates the state of a node that starts.
    pub fn starting_at(now_us: u64) -> Self {
        let complete_at_us = now_us + MIN_RETENTION_US;
        Self { complete_at_us, started_us: now_us, ..Self::default() }
    }

    /// Returns whether the node has run for as long as answers are remembered.
    pub fn is_complete(&self, now_us: u64) -> bool {
        now_us >= self.complete_at_us
    }

    /// Remembers that a request was answered.
    pub fn insert(&mut self, now_us: u64, fingerprint: u64) {
        self.drop_old(now_us);
        if self.current.len() < MAX_ANSWERED_REQUESTS {
            self.current.insert(fingerprint);
        }
    }

    /// Returns whether a request was answered recently.
    pub fn contains(&mut self, now_us: u64, fingerprint: u64) -> bool {
        self.drop_old(now_us);
        self.current.contains(&fingerprint) || self.previous.contains(&fingerprint)
    }

    /// Returns whether a request was answered so recently that another answer adds nothing.
    pub fn is_current(&mut self, now_us: u64, fingerprint: u64) -> bool {
        self.drop_old(now_us);
        self.current.contains(&fingerprint)
    }

    /// Records that peers are told of the answer to a request; returns whether they were not just
    /// now.
    pub fn announce(&mut self, now_us: u64, fingerprint: u64) -> bool {
        let last_us = self.announced_us.get(&fingerprint);
        let is_due = last_us.is_none_or(|last_us| now_us >= last_us + ANNOUNCEMENT_INTERVAL_US);
        if is_due {
            self.announced_us.insert(fingerprint, now_us);
        }
        is_due
    }

    fn drop_old(&mut self, now_us: u64) {
        let age_us = now_us.saturating_sub(self.started_us);
        if age_us < MIN_RETENTION_US {
            return;
        }
        self.previous = std::mem::take(&mut self.current);
        if age_us >= 2 * MIN_RETENTION_US {
            self.previous.clear();
        }
        let Self { previous, announced_us, .. } = self;
        announced_us.retain(|fingerprint, _| previous.contains(fingerprint));
        self.started_us = now_us;
    }
}
