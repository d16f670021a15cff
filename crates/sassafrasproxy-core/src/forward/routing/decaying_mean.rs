//! Means that are forgotten as time passes.

/// The time after which half of what is known of a replica is forgotten, in microseconds.
///
/// A replica that was eight times slower is tried again after two to three seconds.
const HALF_LIFE_US: f64 = 1_000_000.0;

/// A running mean that returns to its base as time passes.
#[derive(Debug, Clone, Copy)]
pub struct DecayingMean {
    baseline: f64,
    excess: f64,
    updated_us: u64,
}

impl DecayingMean {
    /// A mean that knows nothing yet.
    pub fn new(baseline: f64) -> Self {
        Self { baseline, excess: 0.0, updated_us: 0 }
    }

    /// The mean now.
    pub fn value(&self, now_us: u64) -> f64 {
        let age = now_us.saturating_sub(self.updated_us) as f64 / HALF_LIFE_US;
        self.baseline + self.excess * (-age).exp2()
    }

    /// Takes a sample in, whose weight is in 0 to 1.
    pub fn add(&mut self, now_us: u64, sample: f64, weight: f64) {
        let value = self.value(now_us) * (1.0 - weight) + sample * weight;
        *self = Self { baseline: self.baseline, excess: value - self.baseline, updated_us: now_us };
    }
}
