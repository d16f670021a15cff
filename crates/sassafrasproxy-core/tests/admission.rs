//! Requests that no replica can take at the moment they come.

use sassafrasproxy_core::{Admission, admit};

const ARRIVED_US: u64 = 1_000_000;
const GOAL_US: u64 = ARRIVED_US + 80_000;

/// Every replica of a shard is busy for some milliseconds: a caller with all its time left waits.
#[test]
fn waits_for_busy_replicas() {
    let admission = admit(ARRIVED_US, ARRIVED_US, GOAL_US, Some(8_000));
    assert_eq!(admission, Admission::Wait { until_us: ARRIVED_US + 8_000 });
    assert_eq!(admit(ARRIVED_US + 8_000, ARRIVED_US, GOAL_US, Some(0)), Admission::Admit);
}

/// Waits do not add up: a request that has waited is refused while its caller can still try elsewhere.
#[test]
fn total_wait_is_bounded() {
    let mut now_us = ARRIVED_US;
    while let Admission::Wait { until_us } = admit(now_us, ARRIVED_US, GOAL_US, Some(3_000)) {
        assert!(until_us > now_us);
        now_us = until_us;
    }
    assert!(now_us - ARRIVED_US <= (GOAL_US - ARRIVED_US) / 8, "{now_us}");
}

/// What cannot be served in time, or nobody knows when, is refused at once.
#[test]
fn refuses_without_prospect() {
    assert_eq!(admit(ARRIVED_US, ARRIVED_US, GOAL_US, Some(100_000)), Admission::Refuse);
    assert_eq!(admit(ARRIVED_US, ARRIVED_US, GOAL_US, None), Admission::Refuse);
}

/// A replica that is about to be free is looked at again after a millisecond, not in a busy loop.
#[test]
fn minimum_wait() {
    let admission = admit(ARRIVED_US, ARRIVED_US, GOAL_US, Some(1));
    assert_eq!(admission, Admission::Wait { until_us: ARRIVED_US + 1_000 });
}
