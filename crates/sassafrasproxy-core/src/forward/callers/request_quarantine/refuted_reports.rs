//! Remembers the crash reports that an answer has refuted.

use indexmap::IndexMap;

/// The time for which a refuted report is remembered, in microseconds.
///
/// Longer than peers pass a report on, or a late copy would count as a new crash.
const RETENTION_US: u64 = 60_000_000;

/// The maximum number of refuted reports that are remembered.
const MAX_REPORTS: usize = 2_048;

/// The crash reports that do not count any more.
#[derive(Debug, Default)]
pub struct RefutedReports {
    /// The time until which a report is remembered, in microseconds, by crash id, oldest first.
    expiries_us: IndexMap<u64, u64>,
}

impl RefutedReports {
    /// Remembers reports.
    pub fn insert(&mut self, now_us: u64, crash_ids: impl IntoIterator<Item = u64>) {
        let expired = self.expiries_us.values().take_while(|expires_us| **expires_us <= now_us);
        let dropped = expired.count().max(self.expiries_us.len().saturating_sub(MAX_REPORTS));
        self.expiries_us.drain(..dropped);
        for crash_id in crash_ids {
            self.expiries_us.entry(crash_id).or_insert(now_us + RETENTION_US);
        }
    }

    /// Returns whether a report was refuted.
    pub fn contains(&self, now_us: u64, crash_id: u64) -> bool {
        self.expiries_us.get(&crash_id).is_some_and(|expires_us| now_us < *expires_us)
    }
}
