//! Detects that replicas crash under many requests at once.

use std::collections::VecDeque;

use indexmap::IndexSet;

/// The time within which crashes count as simultaneous, in microseconds.
///
/// A node finds out that a replica is gone within half of it.
const WINDOW_US: u64 = 1_000_000;

/// The number of different requests with reports in the window from which the replicas crash for a
/// reason of their own.
///
/// A replica runs a few requests at a time, all of which get reports if one of them crashes it.
const MIN_REQUESTS: usize = 4;

/// The maximum number of reports that are kept.
const MAX_REPORTS: usize = 256;

/// The requests that got crash reports just now.
#[derive(Debug, Default)]
pub struct CrashWave {
    /// The time and the fingerprint of each report, oldest first.
    reports: VecDeque<(u64, u64)>,
}

impl CrashWave {
    /// Records a report on a request.
    pub fn record(&mut self, now_us: u64, fingerprint: u64) {
        self.drop_old(now_us);
        if self.reports.len() >= MAX_REPORTS {
            self.reports.pop_front();
        }
        self.reports.push_back((now_us, fingerprint));
    }

    /// Drops the reports before the window.
    pub fn drop_old(&mut self, now_us: u64) {
        while self.reports.front().is_some_and(|(at_us, _)| at_us + WINDOW_US < now_us) {
            self.reports.pop_front();
        }
    }

    /// Returns whether replicas crashed under many different requests around the last report.
    pub fn is_running(&self) -> bool {
        self.request_count() >= MIN_REQUESTS
    }

    /// Returns whether replicas crashed under more than one request, which is all that a node that
    /// has just started may see of a wave.
    pub fn is_possible(&self) -> bool {
        self.request_count() > 1
    }

    fn request_count(&self) -> usize {
        let requests = self.reports.iter().map(|(_, fingerprint)| *fingerprint);
        requests.collect::<IndexSet<u64>>().len()
    }
}
