//! How long replicas stand still, and what is left of a pause that has begun.

use crate::LatencyWindow;

/// The length of a pause before enough were seen, in microseconds.
const DEFAULT_PAUSE_US: u64 = 100_000;

/// How late an answer must be to tell of a pause, in microseconds: below, it is a long run.
const MIN_LATENESS_US: u64 = 10_000;

/// How many usual pauses the longest one lasts; what takes longer is none.
const MAX_PAUSE_FACTOR: u64 = 2;

/// How long replicas stood still lately, over all of them.
///
/// Replicas stand still now and then and go on. One that has died without closing its connections
/// looks the same at first; the longer it lasts, the less likely is it a pause.
#[derive(Debug, Default)]
pub struct PauseEstimator {
    lateness: LatencyWindow,
}

impl PauseEstimator {
    /// Notes that an answer came `late_us` after its usual time.
    pub fn record_lateness(&mut self, late_us: u64) {
        if late_us >= MIN_LATENESS_US {
            self.lateness.record(late_us);
        }
    }

    /// What is probably left until a replica answers that has been still for a time, in
    /// microseconds: half of a pause, or as long again as it has lasted.
    pub fn remaining_us(&self, still_us: u64) -> u64 {
        (self.typical_pause_us() / 2).max(still_us)
    }

    /// Whether a replica has been still for longer than pauses last.
    ///
    /// Guards against queries that wait for a replica that is dark: each waited until its end, long
    /// after its caller's goal, before the replica counted as lost.
    pub fn exceeds_pause(&self, still_us: u64) -> bool {
        still_us > self.max_pause_us()
    }

    /// Within which time a pause is over, in microseconds.
    pub fn max_pause_us(&self) -> u64 {
        MAX_PAUSE_FACTOR * self.typical_pause_us()
    }

    /// The usual length: requests meet a pause halfway, and their answers are late by the rest.
    fn typical_pause_us(&self) -> u64 {
        self.lateness.quantile_us(0.5).map_or(DEFAULT_PAUSE_US, |late_us| 2 * late_us)
    }
}
