//! When a caller whose request was refused may come back.

use xxhash_rust::xxh3::xxh3_64;

use crate::US_PER_MS;

/// When callers come back if nothing tells when replicas will be there, in microseconds: replicas
/// that start are known some time later.
const DEFAULT_RETRY_DELAY_US: u64 = 250_000;

/// Over which part of the time returns are spread.
const JITTER_FRACTION: f64 = 0.5;

/// The time after which a refused request may be sent again, in milliseconds.
///
/// `soonest_us` says in how long replicas can probably take it, `None` if nothing tells; `usual_us`
/// is how long such a request usually takes, before which the sends that are in its way have not
/// ended. Guards against returns that meet what they left: a request that is refused twice has cost
/// its caller the wait and brought nothing. Returns are spread by the id of the attempt, as callers
/// that were refused together and come back together are refused together again.
pub fn retry_delay_ms(soonest_us: Option<u64>, usual_us: u64, attempt_id: &str) -> u64 {
    let wait_us = soonest_us.unwrap_or(DEFAULT_RETRY_DELAY_US).max(usual_us);
    let turn = xxh3_64(attempt_id.as_bytes()) as f64 / u64::MAX as f64;
    let spread_us = (wait_us as f64 * JITTER_FRACTION * turn) as u64;
    (wait_us + spread_us).div_ceil(US_PER_MS)
}
