//! Remembers which requests replicas have answered recently.

use indexmap::IndexSet;

/// The time for which an answer is remembered at least, in microseconds.
///
/// Longer than a connection attempt to a silent replica takes, so that a request that is answered
/// elsewhere while a failure domain is lost gets no crash report.
const MIN_RETENTION_US: u64 = 2_000_000;

/// The maximum number of answered requests that are remembered in each half.
const MAX_ANSWERED_REQUESTS: usize = 2_048;

/// The fingerprints of the requests that replicas have answered recently.
///
/// Kept in two halves, of which the older one is dropped at a time.
#[derive(Debug, Default)]
pub struct RecentAnswers {
    current: IndexSet<u64>,
    previous: IndexSet<u64>,
    /// The remembered requests whose answer peers were told of.
    announced: IndexSet<u64>,
    /// The time at which the current half was started, in microseconds.
    started_us: u64,
}

impl RecentAnswers {
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

    /// Records that peers are told of the answer to a request; returns whether they were not yet.
    pub fn announce(&mut self, fingerprint: u64) -> bool {
        self.announced.insert(fingerprint)
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
        let Self { previous, announced, .. } = self;
        announced.retain(|fingerprint| previous.contains(fingerprint));
        self.started_us = now_us;
    }
}
