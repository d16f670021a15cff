//! When callers whose requests were refused may come back.

use sassafrasproxy_core::{US_PER_MS, retry_delay_ms};

const USUAL_US: u64 = 14_000;

/// All connections that a node may use of a replica are busy. Callers were told to come back after a
/// millisecond, met the same sends under way, and were refused for good.
#[test]
fn waits_for_usual_time() {
    let back_us = retry_delay_ms(Some(1), USUAL_US, "a") * US_PER_MS;
    assert!((USUAL_US..=2 * USUAL_US).contains(&back_us), "{back_us}");
}

/// A cold replica says that it takes its next request in 600 ms; with nothing known the time is
/// longer than the usual one.
#[test]
fn waits_until_usable() {
    let known_us = retry_delay_ms(Some(600_000), USUAL_US, "a") * US_PER_MS;
    assert!((600_000..=900_000).contains(&known_us), "{known_us}");
    let unknown_us = retry_delay_ms(None, USUAL_US, "a") * US_PER_MS;
    assert!(unknown_us > 10 * USUAL_US, "{unknown_us}");
}

/// A hundred callers are refused in the same millisecond. They do not come back as one crowd: no
/// tenth of the time over which they return sees more than a quarter of them.
#[test]
fn jitter_spreads_retries() {
    let times_us: Vec<u64> = (0..100)
        .map(|at| retry_delay_ms(Some(100_000), USUAL_US, &format!("caller-{at}")) * US_PER_MS)
        .collect();
    let (first, last) = (times_us.iter().min(), times_us.iter().max());
    let (Some(&first), Some(&last)) = (first, last) else { panic!("no times") };
    assert!(last - first > 40_000, "{first} to {last}");
    for tenth in 0..10 {
        let from = first + (last - first) * tenth / 10;
        let to = first + (last - first) * (tenth + 1) / 10;
        let count = times_us.iter().filter(|time| (from..to).contains(*time)).count();
        assert!(count <= 25, "{count} from {from} to {to}");
    }
}
