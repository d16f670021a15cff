//! Running means that decay to a baseline as time passes.

/// The time after which a mean's distance from its baseline has halved, in microseconds.
///
/// A replica that was eight times slower than usual is tried again after two to three seconds.
const HALF_LIFE_US: f64 = 1_000_000.0;

/// A running mean that decays to its baseline as time passes.
#[derive(Debug, Clone, Copy)]
pub struct DecayingMean {
    baseline: f64,
    excess: f64,
    updated_us: u64,
}

impl DecayingMean {
    /// Creates a mean without samples.
    pub fn new(baseline: f64) -> Self {
        Self { baseline, excess: 0.0, updated_us: 0 }
    }

    /// Returns the mean at `now_us`.
    pub fn value(&self, now_us: u64) -> f64 {
        let half_lives = now_us.saturating_sub(self.updated_us) as f64 / HALF_LIFE_US;
        self.baseline + self.excess * (-half_lives).exp2()
    }

    /// Adds a sample with a weight in 0 to 1.
    pub fn add(&mut self, now_us: u64, sample: f64, weight: f64) {
        let value = self.value(now_us) * (1.0 - weight) + sample * weight;
        *self = Self { baseline: self.baseline, excess: value - self.baseline, updated_us: now_us };
    }
}
