//! Reports of replicas that died under requests, on their way to all nodes.

use indexmap::IndexMap;

use crate::CrashReport;

/// How many of a node's datagrams carry a report.
const SENDS: u32 = 24;

/// How long a report is remembered, in microseconds, so that it is passed on once.
const MEMORY_US: u64 = 30_000_000;

/// How many reports a datagram carries at the most.
const MAX_REPORTS: usize = 16;

/// The reports that this node saw or heard of.
#[derive(Debug, Default)]
pub struct CrashNews {
    reports: IndexMap<CrashReport, Passing>,
}

#[derive(Debug, Clone, Copy)]
struct Passing {
    until_us: u64,
    sends_left: u32,
}

impl CrashNews {
    /// Takes reports in; those that are known are not passed on again.
    pub fn hear(&mut self, now_us: u64, reports: &[CrashReport]) {
        self.reports.retain(|_, passing| now_us < passing.until_us);
        for report in reports {
            let passing = Passing { until_us: now_us + MEMORY_US, sends_left: SENDS };
            self.reports.entry(*report).or_insert(passing);
        }
    }

    /// The reports for one datagram.
    pub fn take(&mut self, now_us: u64) -> Vec<CrashReport> {
        let passing = self.reports.iter_mut();
        let due = passing.filter(|(_, one)| one.sends_left > 0 && now_us < one.until_us);
        let taken = due.take(MAX_REPORTS).map(|(report, one)| {
            one.sends_left -= 1;
            *report
        });
        taken.collect()
    }
}
