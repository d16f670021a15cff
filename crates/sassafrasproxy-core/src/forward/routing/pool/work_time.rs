//! Estimates the work time on a replica's VM from the replica's reports.

/// The time after which the estimate is halfway from the last report to the mean of the replica's
/// reports, in microseconds.
///
/// The speed of a VM that others use changes many times a second, so a report is out of date after
/// half a second.
const HALF_LIFE_US: f64 = 125_000.0;

/// The time after which the mean of the reports is halfway to 1 without reports, in microseconds.
const USUAL_HALF_LIFE_US: f64 = 10_000_000.0;

/// The weight of one report in their mean; some tens of reports tell a VM that is always slow from
/// one that is busy now.
const USUAL_WEIGHT: f64 = 0.05;

/// The least and the highest work time that a report can give, as factors of the usual time.
///
/// A replica that reports wrong times must not get all requests, or none for good.
const REPORT_FACTOR_LIMITS: (f64, f64) = (0.5, 8.0);

/// Returns the factor of a reported work time in percent, within `REPORT_FACTOR_LIMITS`.
pub fn work_time_factor(percent: u32) -> f64 {
    let (least, most) = REPORT_FACTOR_LIMITS;
    (f64::from(percent) / 100.0).clamp(least, most)
}

/// The estimated work time of a replica: the time that work takes on its VM, as a factor of the
/// usual time.
///
/// Answers the load of other users of the VM. A report counts for a fraction of a second; then the
/// estimate returns to the mean of the replica's reports, and without further reports to 1.
#[derive(Debug, Clone, Copy)]
pub struct WorkTimeEstimate {
    /// The mean of the reports.
    usual: f64,
    reported: f64,
    reported_us: u64,
}

impl WorkTimeEstimate {
    /// Creates an estimate without reports.
    pub fn new() -> Self {
        Self { usual: 1.0, reported: 1.0, reported_us: 0 }
    }

    /// Returns the mean of the reports at `now_us`; it returns to 1, as a replica without requests
    /// reports nothing.
    fn usual(&self, now_us: u64) -> f64 {
        let half_lives = now_us.saturating_sub(self.reported_us) as f64 / USUAL_HALF_LIFE_US;
        1.0 + (self.usual - 1.0) * (-half_lives).exp2()
    }

    /// Records a report that `work_time_factor` has limited.
    pub fn record(&mut self, now_us: u64, factor: f64) {
        let usual = self.usual(now_us);
        self.usual = usual + (factor - usual) * USUAL_WEIGHT;
        self.reported = factor;
        self.reported_us = now_us;
    }

    /// Returns the expected factor at `now_us`.
    pub fn factor(&self, now_us: u64) -> f64 {
        let half_lives = now_us.saturating_sub(self.reported_us) as f64 / HALF_LIFE_US;
        let usual = self.usual(now_us);
        usual + (self.reported - usual) * (-half_lives).exp2()
    }

    /// Returns the time that work takes that usually takes `usual_us`, in microseconds.
    pub fn scale_us(&self, now_us: u64, usual_us: u64) -> u64 {
        (usual_us as f64 * self.factor(now_us)) as u64
    }
}
