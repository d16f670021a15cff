//! Latencies seen lately.

use std::cell::RefCell;

use hdrhistogram::Histogram;

/// How many latencies a half window holds before the older half is forgotten.
const HALF_WINDOW_SAMPLES: u64 = 500;

/// The least latencies for a quantile to mean anything.
const MIN_SAMPLES: u64 = 20;

/// The largest latency told apart, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;

/// The distribution of the last 500 to 1,000 latencies.
#[derive(Debug, Clone)]
pub struct LatencyWindow {
    current: Histogram<u32>,
    /// Both halves together, so that a quantile needs one read; rebuilt at each turn.
    combined: Histogram<u32>,
    /// Quantiles read since the last latency came; reading one scans the histogram.
    quantile_cache: RefCell<Vec<(f64, u64)>>,
}

impl Default for LatencyWindow {
    fn default() -> Self {
        Self {
            current: empty_histogram(),
            combined: empty_histogram(),
            quantile_cache: RefCell::default(),
        }
    }
}

impl LatencyWindow {
    /// Adds a latency in microseconds.
    pub fn record(&mut self, latency_us: u64) {
        self.quantile_cache.get_mut().clear();
        self.current.saturating_record(latency_us.max(1));
        self.combined.saturating_record(latency_us.max(1));
        if self.current.len() < HALF_WINDOW_SAMPLES {
            return;
        }
        self.combined = std::mem::replace(&mut self.current, empty_histogram());
    }

    /// The latency in microseconds below which the fraction `quantile` lies, once enough were seen.
    pub fn quantile_us(&self, quantile: f64) -> Option<u64> {
        if self.combined.len() < MIN_SAMPLES {
            return None;
        }
        let mut read = self.quantile_cache.borrow_mut();
        if let Some((_, value_us)) = read.iter().find(|(known, _)| *known == quantile) {
            return Some(*value_us);
        }
        let value_us = self.combined.value_at_quantile(quantile);
        read.push((quantile, value_us));
        Some(value_us)
    }
}

/// An empty histogram with two significant digits.
fn empty_histogram() -> Histogram<u32> {
    Histogram::new_with_bounds(1, MAX_LATENCY_US, 2)
        .expect("the bounds are constants that are valid")
}
