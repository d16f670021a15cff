//! When a node tells what it has counted in trials.

use indexmap::IndexMap;

use super::trial::TrialReport;

/// How often counts are told that have not changed, in microseconds: they show that the node lives.
const UNCHANGED_INTERVAL_US: u64 = 1_000_000;

/// Which reports are due, so that many trials at once cost little while nothing happens in them.
#[derive(Debug, Default)]
pub struct ReportThrottle {
    /// By the store's revision of the order, what was told last and when.
    last_sent: IndexMap<u64, (TrialReport, u64)>,
}

impl ReportThrottle {
    /// Those of the reports that must be told now.
    pub fn take_due(&mut self, now_us: u64, reports: Vec<TrialReport>) -> Vec<TrialReport> {
        self.last_sent
            .retain(|order, _| reports.iter().any(|report| report.order_revision == *order));
        let mut due = Vec::new();
        for report in reports {
            let told = self.last_sent.get(&report.order_revision);
            let is_told = told.is_some_and(|(told, at_us)| {
                *told == report && now_us < at_us + UNCHANGED_INTERVAL_US
            });
            if !is_told {
                self.last_sent.insert(report.order_revision, (report.clone(), now_us));
                due.push(report);
            }
        }
        due
    }
}
