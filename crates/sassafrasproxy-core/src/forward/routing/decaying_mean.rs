//! Running means that decay to a baseline as time passes.

/// The time after which a mean's distance from its baseline has halved, in microseconds, where none
/// is given.
///
/// A replica that was eight times slower than usual is tried again after two to three seconds.
const DEFAULT_HALF_LIFE_US: f64 = 1_000_000.0;

/// A running mean that decays to its baseline as time passes.
#[derive(Debug, Clone, Copy)]
pub struct DecayingMean {
    baseline: f64,
    excess: f64,
    updated_us: u64,
    half_life_us: f64,
}

impl DecayingMean {
    /// Creates a mean without samples.
    pub fn new(baseline: f64) -> Self {
        Self::with_half_life(baseline, DEFAULT_HALF_LIFE_US)
    }

    /// Creates a mean without samples whose distance from the baseline halves in `half_life_us`.
    pub fn with_half_life(baseline: f64, half_life_us: f64) -> Self {
        Self { baseline, excess: 0.0, updated_us: 0, half_life_us }
    }

    /// Returns the mean at `now_us`.
    pub fn value(&self, now_us: u64) -> f64 {
        let half_lives = now_us.saturating_sub(self.updated_us) as f64 / self.half_life_us;
        self.baseline + self.excess * (-half_lives).exp2()
    }

    /// Adds a sample with a weight in 0 to 1.
    pub fn add(&mut self, now_us: u64, sample: f64, weight: f64) {
        let value = self.value(now_us) * (1.0 - weight) + sample * weight;
        self.excess = value - self.baseline;
        self.updated_us = now_us;
    }
}
