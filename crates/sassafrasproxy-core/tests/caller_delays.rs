//! How much of a caller's time is gone when its request arrives.

use sassafrasproxy_core::CallerDelays;

/// Callers wait 300 ms. Some must ask the directory and connect first, and send a deadline of
/// 285 ms. Their latency goal of 50 ms started 15 ms ago: an answer that takes 43 ms here is late
/// for them, though it is in time for all others.
#[test]
fn connecting() {
    let mut delays = CallerDelays::default();
    let route = "r".into();
    for _ in 0..20 {
        assert_eq!(delays.note(&route, 300), 0);
    }
    assert_eq!(delays.note(&route, 285), 15_000);
    assert_eq!(delays.note(&route, 293), 7_000);
    assert_eq!(delays.round_trip_us(), 7_000);
}

/// One caller in twenty-five waits ten times as long; the others must not count as late.
#[test]
fn patient_callers() {
    let mut delays = CallerDelays::default();
    let route = "r".into();
    for at in 0..500 {
        let deadline_ms = if at % 25 == 0 { 3_000 } else { 300 };
        assert_eq!(delays.note(&route, deadline_ms), 0, "request {at}");
    }
}

/// A caller that comes back after a refusal has used much of its time; that is no round trip.
#[test]
fn second_attempt() {
    let mut delays = CallerDelays::default();
    let route = "r".into();
    for _ in 0..20 {
        delays.note(&route, 600);
    }
    assert_eq!(delays.note(&route, 400), 200_000);
    assert_eq!(delays.round_trip_us(), 6_000, "none was seen yet");
}

/// The time that callers have falls with a new configuration: the old one is forgotten.
#[test]
fn shorter_times() {
    let mut delays = CallerDelays::default();
    let route = "r".into();
    for _ in 0..100 {
        delays.note(&route, 600);
    }
    for _ in 0..64 {
        delays.note(&route, 500);
    }
    assert_eq!(delays.note(&route, 500), 0);
}
