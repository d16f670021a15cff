//! Tests the admission of requests that no replica can take when they arrive.

use sassafrasproxy_core::{Admission, admit};

const ARRIVED_US: u64 = 1_000_000;
const DEADLINE_US: u64 = ARRIVED_US + 80_000;

/// Every replica of a shard is busy for a few milliseconds. A request with all its time left waits
/// instead of being refused.
#[test]
fn waits_for_busy_replicas() {
    let admission = admit(ARRIVED_US, ARRIVED_US, DEADLINE_US, Some(8_000));
    assert_eq!(admission, Admission::Wait { until_us: ARRIVED_US + 8_000 });
    assert_eq!(admit(ARRIVED_US + 8_000, ARRIVED_US, DEADLINE_US, Some(0)), Admission::Admit);
}

/// Replicas stay busy, so a request waits several times. The total wait is limited, and the request
/// is refused while its caller can still retry on another node.
#[test]
fn total_wait_is_bounded() {
    let mut now_us = ARRIVED_US;
    while let Admission::Wait { until_us } = admit(now_us, ARRIVED_US, DEADLINE_US, Some(3_000)) {
        assert!(until_us > now_us);
        now_us = until_us;
    }
    assert!(now_us - ARRIVED_US <= (DEADLINE_US - ARRIVED_US) / 8, "{now_us}");
}

/// A request is refused at once if replicas will be available too late or at an unknown time.
#[test]
fn refuses_if_too_late_or_unknown() {
    assert_eq!(admit(ARRIVED_US, ARRIVED_US, DEADLINE_US, Some(100_000)), Admission::Refuse);
    assert_eq!(admit(ARRIVED_US, ARRIVED_US, DEADLINE_US, None), Admission::Refuse);
}

/// A replica becomes free within microseconds. The request waits a full millisecond, because
/// shorter waits would be a busy loop.
#[test]
fn minimum_wait() {
    let admission = admit(ARRIVED_US, ARRIVED_US, DEADLINE_US, Some(1));
    assert_eq!(admission, Admission::Wait { until_us: ARRIVED_US + 1_000 });
}
