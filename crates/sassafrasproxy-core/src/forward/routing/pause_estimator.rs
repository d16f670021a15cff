//! Estimates how long replicas pause, and the remaining time of a pause that has begun.

use crate::LatencyWindow;

/// The assumed length of a pause before enough pauses were observed, in microseconds.
const DEFAULT_PAUSE_US: u64 = 100_000;

/// The lateness from which an answer counts as delayed by a pause, in microseconds; a smaller
/// lateness is attributed to a long run time.
const MIN_LATENESS_US: u64 = 10_000;

/// The length of the longest pause, in typical pauses; a longer stall does not count as a pause.
const MAX_PAUSE_FACTOR: u64 = 2;

/// Estimates the length of recent pauses over all replicas.
///
/// Replicas pause occasionally and then continue. A replica that has crashed without closing its
/// connections looks the same at first; the longer a stall lasts, the less likely it is a pause.
#[derive(Debug, Default)]
pub struct PauseEstimator {
    lateness: LatencyWindow,
}

impl PauseEstimator {
    /// Records that an answer arrived `late_us` after its usual time.
    pub fn record_lateness(&mut self, late_us: u64) {
        if late_us >= MIN_LATENESS_US {
            self.lateness.record(late_us);
        }
    }

    /// Returns the probable time until a stalled replica answers, in microseconds: half of a
    /// typical pause or the time that the stall has lasted, whichever is longer.
    pub fn remaining_us(&self, stalled_us: u64) -> u64 {
        (self.typical_pause_us() / 2).max(stalled_us)
    }

    /// Returns whether a replica has been stalled for longer than pauses last.
    ///
    /// Prevents queries from waiting for a replica that no longer answers. Otherwise each of them
    /// would wait until its deadline, long after its latency goal, before the replica counted as
    /// lost.
    pub fn exceeds_pause(&self, stalled_us: u64) -> bool {
        stalled_us > self.max_pause_us()
    }

    /// Returns the time within which a pause ends, in microseconds.
    pub fn max_pause_us(&self) -> u64 {
        MAX_PAUSE_FACTOR * self.typical_pause_us()
    }

    /// Returns the typical length of a pause, in microseconds: twice the median lateness, because
    /// requests arrive halfway through a pause on average and their answers are late by the rest.
    fn typical_pause_us(&self) -> u64 {
        self.lateness.quantile_us(0.5).map_or(DEFAULT_PAUSE_US, |late_us| 2 * late_us)
    }
}
