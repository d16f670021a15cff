//! How much of a caller's time is gone when its request arrives.

use sassafrasproxy_core::{CallerDeadline, CallerDelayEstimator};

/// A request on a new connection, of a caller whose route lets it wait 300 ms.
fn on_new_connection(deadline_ms: u64) -> CallerDeadline {
    CallerDeadline { deadline_ms, timeout_ms: 300, is_first_on_connection: true }
}

/// The same on a kept connection.
fn on_reused_connection(deadline_ms: u64) -> CallerDeadline {
    CallerDeadline { deadline_ms, timeout_ms: 300, is_first_on_connection: false }
}

/// Callers wait 300 ms. Some must ask the directory and connect first, and send a deadline of
/// 285 ms. Their latency goal of 50 ms started 15 ms ago: an answer that takes 43 ms here is late
/// for them, though it is in time for all others.
#[test]
fn setup_time_of_new_connections() {
    let mut delays = CallerDelayEstimator::default();
    let route = "r".into();
    for _ in 0..20 {
        assert_eq!(delays.record_request(&route, on_reused_connection(300)), 0);
    }
    assert_eq!(delays.record_request(&route, on_new_connection(285)), 15_000);
    assert_eq!(delays.record_request(&route, on_new_connection(293)), 7_000);
    assert_eq!(delays.round_trip_us(), 6_000, "none was seen often yet");
}

/// The first request of all tells what is gone: its route's callers wait as long as the route lets them.
#[test]
fn first_request_of_route() {
    let mut delays = CallerDelayEstimator::default();
    assert_eq!(delays.record_request(&"r".into(), on_new_connection(278)), 22_000);
}

/// Callers have more or less time than their route: requests on kept connections tell, the first of
/// them at once.
#[test]
fn deadline_differs_from_route_timeout() {
    for whole_ms in [250, 400] {
        let mut delays = CallerDelayEstimator::default();
        let route = "r".into();
        assert_eq!(delays.record_request(&route, on_reused_connection(whole_ms)), 0, "{whole_ms}");
        assert_eq!(
            delays.record_request(&route, on_new_connection(whole_ms - 9)),
            9_000,
            "{whole_ms}"
        );
    }
}

/// One caller in twenty-five waits ten times as long; the others must not count as late.
#[test]
fn outlier_deadlines() {
    let mut delays = CallerDelayEstimator::default();
    let route = "r".into();
    for at in 0..500 {
        let deadline_ms = if at % 25 == 24 { 3_000 } else { 300 };
        assert_eq!(
            delays.record_request(&route, on_reused_connection(deadline_ms)),
            0,
            "request {at}"
        );
    }
}

/// A caller that comes back after a refusal has used much of its time; that is no round trip.
#[test]
fn retried_request() {
    let mut delays = CallerDelayEstimator::default();
    let route = "r".into();
    for _ in 0..20 {
        delays.record_request(
            &route,
            CallerDeadline { timeout_ms: 900, ..on_reused_connection(900) },
        );
    }
    assert_eq!(delays.record_request(&route, on_new_connection(500)), 400_000);
    assert_eq!(delays.round_trip_us(), 6_000, "none was seen yet");
}

/// The time that callers have falls with a new configuration: the old one is forgotten.
#[test]
fn shortened_timeout() {
    let mut delays = CallerDelayEstimator::default();
    let route = "r".into();
    for _ in 0..100 {
        delays.record_request(&route, on_reused_connection(600));
    }
    for _ in 0..32 {
        delays.record_request(&route, on_reused_connection(500));
    }
    assert_eq!(delays.record_request(&route, on_reused_connection(500)), 0);
}

/// Callers are 7 ms away with their connect. One setup in 130 is shorter, for reasons of the
/// caller's own. Taken for the round trip, it moved the time at which answers stop waiting for
/// their last parts 5 ms back: each of them reached its caller late, for a tenth of its worth.
#[test]
fn short_setup_outliers() {
    let mut delays = CallerDelayEstimator::default();
    let route = "r".into();
    for at in 0..2_600 {
        let time = match at % 130 {
            0 => on_new_connection(300 - (2 + at / 130 % 4)),
            at if at % 20 == 1 => on_new_connection(293),
            at if at % 3 == 0 => on_new_connection(285),
            _ => on_reused_connection(300),
        };
        delays.record_request(&route, time);
        if at >= 130 {
            assert!((6_000..=7_000).contains(&delays.round_trip_us()), "request {at}");
        }
    }
}

/// A node has just started, and most callers ask the directory and connect first. The deadlines
/// are those of a node's first four seconds: callers whose time started 15 ms ago must not count as if
/// it had started now, or they get their answers late.
#[test]
fn after_node_start() {
    let mut delays = CallerDelayEstimator::default();
    let route = "r".into();
    let deadlines =
        [278, 277, 279, 278, 279, 285, 285, 278, 300, 278, 278, 279, 286, 286, 278, 283, 300];
    for deadline_ms in deadlines {
        let time = if deadline_ms == 300 {
            on_reused_connection(300)
        } else {
            on_new_connection(deadline_ms)
        };
        let gone_us = delays.record_request(&route, time);
        assert_eq!(gone_us, (300 - deadline_ms) * 1_000);
        let round_trip_us = delays.round_trip_us();
        assert!((6_000..=7_000).contains(&round_trip_us), "{deadline_ms}: {round_trip_us}");
    }
}

/// Some callers take a millisecond or two longer to connect than others of the same distance. The
/// difference was taken for their round trip, and answers that waited until their stop time came late.
#[test]
fn varying_setup_times() {
    let mut delays = CallerDelayEstimator::default();
    let route = "r".into();
    for at in 0..400 {
        let gone_ms = [7, 8, 7, 15, 9, 7, 10, 22, 9, 14, 10, 8][at % 12];
        delays.record_request(&route, on_new_connection(300 - gone_ms));
        assert!(delays.round_trip_us() >= 6_000, "request {at}: {}", delays.round_trip_us());
    }
}

/// Callers are at any distance, and a node has just started: as soon as some have connected with the
/// directory's answer of before, their round trip is known, and never taken for less.
#[test]
fn various_round_trips() {
    for round_trip_ms in [2, 6, 10, 24, 80] {
        let mut delays = CallerDelayEstimator::default();
        let route = "r".into();
        let time = |gone_ms| CallerDeadline { timeout_ms: 900, ..on_new_connection(900 - gone_ms) };
        for _ in 0..3 {
            delays.record_request(&route, time(3 * round_trip_ms + 2));
        }
        let early_us = delays.round_trip_us();
        assert!(early_us >= round_trip_ms * 1_000, "{round_trip_ms}: {early_us}");
        assert!(early_us <= round_trip_ms * 1_000 + 4_000, "{round_trip_ms}: {early_us}");
        for _ in 0..3 {
            delays.record_request(&route, time(round_trip_ms));
        }
        assert_eq!(delays.round_trip_us(), round_trip_ms * 1_000, "{round_trip_ms}");
    }
}
