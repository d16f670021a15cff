//! Computes the retry delay of a caller whose request was refused.

use xxhash_rust::xxh3::xxh3_64;

use crate::US_PER_MS;

/// The retry delay if it is unknown when replicas will be available, in microseconds; nodes
/// discover a replica some time after it has started.
const DEFAULT_RETRY_DELAY_US: u64 = 250_000;

/// The largest jitter, as a fraction of the wait.
const JITTER_FRACTION: f64 = 0.5;

/// Returns the time after which a refused request may be retried, in milliseconds.
///
/// `usable_in_us` is the time until replicas can probably take the request, `None` if it is
/// unknown. `expected_us` is the usual time of such a request. The delay is at least that long,
/// because the sends that occupy the replicas do not end earlier, and a retry before that would be
/// refused again. Jitter from a hash of the attempt id spreads the retries: callers that are
/// refused together and retry together would be refused together again.
pub fn retry_delay_ms(usable_in_us: Option<u64>, expected_us: u64, attempt_id: &str) -> u64 {
    let wait_us = usable_in_us.unwrap_or(DEFAULT_RETRY_DELAY_US).max(expected_us);
    let jitter = xxh3_64(attempt_id.as_bytes()) as f64 / u64::MAX as f64;
    let jitter_us = (wait_us as f64 * JITTER_FRACTION * jitter) as u64;
    (wait_us + jitter_us).div_ceil(US_PER_MS)
}
