//! Limits how often a node sends its trial reports.

use indexmap::IndexMap;

use super::trial::TrialReport;

/// The interval at which an unchanged report is sent again, in microseconds; it shows that the node
/// is alive.
const UNCHANGED_INTERVAL_US: u64 = 1_000_000;

/// Selects the trial reports that are due.
///
/// Keeps the cost of many concurrent trials low while their counts do not change.
#[derive(Debug, Default)]
pub struct ReportThrottle {
    /// The last report that was sent and its time in microseconds, by the order's revision in the
    /// store.
    last_sent: IndexMap<u64, (TrialReport, u64)>,
}

impl ReportThrottle {
    /// Returns the reports that must be sent now, and records them as sent.
    ///
    /// A report is due if it changed or was last sent `UNCHANGED_INTERVAL_US` ago. Trials that are
    /// not among `reports` are removed.
    pub fn take_due(&mut self, now_us: u64, reports: Vec<TrialReport>) -> Vec<TrialReport> {
        self.last_sent
            .retain(|order, _| reports.iter().any(|report| report.order_revision == *order));
        let mut due = Vec::new();
        for report in reports {
            let last_sent = self.last_sent.get(&report.order_revision);
            let is_recent = last_sent.is_some_and(|(sent, sent_us)| {
                *sent == report && now_us < sent_us + UNCHANGED_INTERVAL_US
            });
            if !is_recent {
                self.last_sent.insert(report.order_revision, (report.clone(), now_us));
                due.push(report);
            }
        }
        due
    }
}
