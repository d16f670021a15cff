//! Tests the estimates of a caller's elapsed timeout and round trip.

use sassafrasproxy_core::{CallerDeadline, CallerDelayEstimator};

/// The deadline of the first request on a new connection, on a route with a timeout of 300 ms.
fn on_new_connection(deadline_ms: u64) -> CallerDeadline {
    CallerDeadline { deadline_ms, timeout_ms: 300, is_first_on_connection: true }
}

/// The deadline of a request on a reused connection, on a route with a timeout of 300 ms.
fn on_reused_connection(deadline_ms: u64) -> CallerDeadline {
    CallerDeadline { deadline_ms, timeout_ms: 300, is_first_on_connection: false }
}

/// Callers have a timeout of 300 ms. Some first ask the directory and connect, and send a deadline
/// of 285 ms, so their latency goal of 50 ms started 15 ms ago. An answer after 43 ms is late for
/// them if the setup time is not counted, though it is in time for all others.
#[test]
fn setup_time_of_new_connections() {
    let mut estimator = CallerDelayEstimator::default();
    let route = "r".into();
    for _ in 0..20 {
        assert_eq!(estimator.record_request(&route, on_reused_connection(300)), 0);
    }
    assert_eq!(estimator.record_request(&route, on_new_connection(285)), 15_000);
    assert_eq!(estimator.record_request(&route, on_new_connection(293)), 7_000);
    assert_eq!(estimator.round_trip_us(), 6_000, "no setup time is known often enough yet");
}

/// No request on a reused connection has arrived yet. The elapsed time is computed from the timeout
/// of the route.
#[test]
fn first_request_of_route() {
    let mut estimator = CallerDelayEstimator::default();
    assert_eq!(estimator.record_request(&"r".into(), on_new_connection(278)), 22_000);
}

/// The callers' timeout is shorter or longer than that of the route. It is known from the first
/// request on a reused connection.
#[test]
fn deadline_differs_from_route_timeout() {
    for total_ms in [250, 400] {
        let mut estimator = CallerDelayEstimator::default();
        let route = "r".into();
        assert_eq!(
            estimator.record_request(&route, on_reused_connection(total_ms)),
            0,
            "{total_ms}"
        );
        assert_eq!(
            estimator.record_request(&route, on_new_connection(total_ms - 9)),
            9_000,
            "{total_ms}"
        );
    }
}

/// One caller in 25 has a timeout that is ten times as long. The timeouts of the other callers must
/// not count as partly elapsed.
#[test]
fn outlier_deadlines() {
    let mut estimator = CallerDelayEstimator::default();
    let route = "r".into();
    for at in 0..500 {
        let deadline_ms = if at % 25 == 24 { 3_000 } else { 300 };
        assert_eq!(
            estimator.record_request(&route, on_reused_connection(deadline_ms)),
            0,
            "request {at}"
        );
    }
}

/// A caller that retries after a refusal has used much of its timeout. The elapsed time must not
/// count as a setup time, or the round trip would be overestimated.
#[test]
fn retried_request() {
    let mut estimator = CallerDelayEstimator::default();
    let route = "r".into();
    for _ in 0..20 {
        estimator.record_request(
            &route,
            CallerDeadline { timeout_ms: 900, ..on_reused_connection(900) },
        );
    }
    assert_eq!(estimator.record_request(&route, on_new_connection(500)), 400_000);
    assert_eq!(estimator.round_trip_us(), 6_000, "no setup time is known yet");
}

/// A new configuration shortens the callers' timeout. If the old deadlines still counted, every
/// request would seem to be late.
#[test]
fn shortened_timeout() {
    let mut estimator = CallerDelayEstimator::default();
    let route = "r".into();
    for _ in 0..100 {
        estimator.record_request(&route, on_reused_connection(600));
    }
    for _ in 0..32 {
        estimator.record_request(&route, on_reused_connection(500));
    }
    assert_eq!(estimator.record_request(&route, on_reused_connection(500)), 0);
}

/// Callers need 7 ms to connect. One setup in 130 appears shorter because of the caller's own
/// timing. If the shortest setup counted as the round trip, the soft deadline of gathers would be
/// 5 ms too late, and every answer that waits until it would reach its caller late, with a tenth of
/// its score.
#[test]
fn short_setup_outliers() {
    let mut estimator = CallerDelayEstimator::default();
    let route = "r".into();
    for at in 0..2_600 {
        let deadline = match at % 130 {
            0 => on_new_connection(300 - (2 + at / 130 % 4)),
            at if at % 20 == 1 => on_new_connection(293),
            at if at % 3 == 0 => on_new_connection(285),
            _ => on_reused_connection(300),
        };
        estimator.record_request(&route, deadline);
        if at >= 130 {
            assert!((6_000..=7_000).contains(&estimator.round_trip_us()), "request {at}");
        }
    }
}

/// A node has just started, and most callers first ask the directory and connect. The deadlines are
/// those of a node's first four seconds. Callers whose timeout started 15 ms ago must not be
/// treated as if it had started on arrival, or they receive their answers late.
#[test]
fn after_node_start() {
    let mut estimator = CallerDelayEstimator::default();
    let route = "r".into();
    let deadlines =
        [278, 277, 279, 278, 279, 285, 285, 278, 300, 278, 278, 279, 286, 286, 278, 283, 300];
    for deadline_ms in deadlines {
        let deadline = if deadline_ms == 300 {
            on_reused_connection(300)
        } else {
            on_new_connection(deadline_ms)
        };
        let elapsed_us = estimator.record_request(&route, deadline);
        assert_eq!(elapsed_us, (300 - deadline_ms) * 1_000);
        let round_trip_us = estimator.round_trip_us();
        assert!((6_000..=7_000).contains(&round_trip_us), "{deadline_ms}: {round_trip_us}");
    }
}

/// Some callers need one or two milliseconds longer to connect than others at the same distance. If
/// the difference counted as the round trip, answers that wait until the soft deadline would be
/// late.
#[test]
fn varying_setup_times() {
    let mut estimator = CallerDelayEstimator::default();
    let route = "r".into();
    for at in 0..400 {
        let elapsed_ms = [7, 8, 7, 15, 9, 7, 10, 22, 9, 14, 10, 8][at % 12];
        estimator.record_request(&route, on_new_connection(300 - elapsed_ms));
        assert!(estimator.round_trip_us() >= 6_000, "request {at}: {}", estimator.round_trip_us());
    }
}

/// A node has just started, and callers are at different distances. Their round trip is known as
/// soon as some have connected without asking the directory again, and is never underestimated.
#[test]
fn various_round_trips() {
    for round_trip_ms in [2, 6, 10, 24, 80] {
        let mut estimator = CallerDelayEstimator::default();
        let route = "r".into();
        let deadline =
            |elapsed_ms| CallerDeadline { timeout_ms: 900, ..on_new_connection(900 - elapsed_ms) };
        for _ in 0..3 {
            estimator.record_request(&route, deadline(3 * round_trip_ms + 2));
        }
        let early_us = estimator.round_trip_us();
        assert!(early_us >= round_trip_ms * 1_000, "{round_trip_ms}: {early_us}");
        assert!(early_us <= round_trip_ms * 1_000 + 4_000, "{round_trip_ms}: {early_us}");
        for _ in 0..3 {
            estimator.record_request(&route, deadline(round_trip_ms));
        }
        assert_eq!(estimator.round_trip_us(), round_trip_ms * 1_000, "{round_trip_ms}");
    }
}
