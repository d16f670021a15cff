//! Quantiles of recent latencies.

use std::cell::RefCell;

use hdrhistogram::Histogram;

/// The number of latencies in a half window; when it is full, the older half is dropped.
const HALF_WINDOW_SAMPLES: u64 = 500;

/// The minimum number of latencies from which a quantile is computed.
const MIN_SAMPLES: u64 = 20;

/// The largest latency that the histogram distinguishes, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;

/// The distribution of the last 500 to 1,000 latencies, or of all of them while there are fewer.
#[derive(Debug, Clone)]
pub struct LatencyWindow {
    /// The newer half window.
    current: Histogram<u32>,
    /// Both half windows together, so that a quantile is read from one histogram.
    combined: Histogram<u32>,
    /// The quantiles computed since the last recorded latency; cached because computing one scans
    /// the histogram.
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
    /// Records a latency in microseconds.
    pub fn record(&mut self, latency_us: u64) {
        self.quantile_cache.get_mut().clear();
        self.current.saturating_record(latency_us.max(1));
        self.combined.saturating_record(latency_us.max(1));
        if self.current.len() < HALF_WINDOW_SAMPLES {
            return;
        }
        self.combined = std::mem::replace(&mut self.current, empty_histogram());
    }

    /// Returns a quantile (0 to 1) of the latencies in microseconds, or `None` while there are too
    /// few of them.
    pub fn quantile_us(&self, quantile: f64) -> Option<u64> {
        if self.combined.len() < MIN_SAMPLES {
            return None;
        }
        let mut cache = self.quantile_cache.borrow_mut();
        if let Some((_, value_us)) = cache.iter().find(|(cached, _)| *cached == quantile) {
            return Some(*value_us);
        }
        let value_us = self.combined.value_at_quantile(quantile);
        cache.push((quantile, value_us));
        Some(value_us)
    }
}

/// Creates an empty histogram with two significant digits.
fn empty_histogram() -> Histogram<u32> {
    Histogram::new_with_bounds(1, MAX_LATENCY_US, 2)
        .expect("the constant histogram bounds are valid")
}
