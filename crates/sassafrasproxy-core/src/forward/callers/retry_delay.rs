//! Computes the retry delay of a caller whose request was refused.

use xxhash_rust::xxh3::xxh3_64;

use crate::US_PER_MS;

/// The retry delay if it is unknown when replicas will be available, in microseconds; nodes
/// discover a replica some time after it has started.
const DEFAULT_RETRY_DELAY_US: u64 = 250_000;

/// The largest jitter, as a fraction of the wait.
const JITTER_FRACTION: f64 = 0.5;

/// The largest retry delay, as a fraction of the time that the caller has left; a later retry could
/// not be served in time.
const MAX_DELAY_FRACTION: f64 = 1.0 / 3.0;

/// Returns the time after which a refused request may be retried, in milliseconds.
///
/// `usable_in_us` is the time until replicas can probably take the request, `None` if it is
/// unknown. `expected_us` is the usual time of such a request. The delay is at least that long,
/// because the sends that occupy the replicas do not end earlier, and a retry before that would be
/// refused again. Jitter from a hash of the attempt id spreads the retries: callers that are
/// refused together and retry together would be refused together again.
pub fn retry_delay_ms(usable_in_us: Option<u64>, expected_us: u64, attempt_id: &str) -> u64 {
    let wait_us = usable_in_us.unwrap_or(DEFAULT_RETRY_DELAY_US).max(expected_us);
    let jitter_us = (wait_us as f64 * JITTER_FRACTION * jitter(attempt_id)) as u64;
    (wait_us + jitter_us).div_ceil(US_PER_MS)
}

/// Returns the retry delay of [`retry_delay_ms`], at most a third of the caller's time left.
///
/// `left_us` is the time until the caller's deadline, `None` if it is unknown. Delays over the
/// maximum are spread over its upper half by the same hash.
pub fn retry_delay_within_ms(
    usable_in_us: Option<u64>,
    expected_us: u64,
    left_us: Option<u64>,
    attempt_id: &str,
) -> u64 {
    let delay_ms = retry_delay_ms(usable_in_us, expected_us, attempt_id);
    let Some(left_us) = left_us else { return delay_ms };
    let max_ms = left_us as f64 * MAX_DELAY_FRACTION / US_PER_MS as f64;
    if delay_ms as f64 <= max_ms {
        return delay_ms;
    }
    (max_ms * (1.0 - JITTER_FRACTION * jitter(attempt_id))) as u64
}

/// Returns a number from 0 to 1 that depends on the attempt id only.
fn jitter(attempt_id: &str) -> f64 {
    xxh3_64(attempt_id.as_bytes()) as f64 / u64::MAX as f64
}
