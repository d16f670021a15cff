//! Tests which requests a leaving node takes.

use sassafrasproxy_core::{Drain, DrainDecision, DrainRequest};

const SECOND_US: u64 = 1_000_000;

/// A request that is usually answered within 100 ms.
fn request(deadline_us: u64, is_idempotent: bool) -> DrainRequest {
    DrainRequest { deadline_us, expected_us: SECOND_US / 10, is_idempotent }
}

/// Guards against a non-idempotent request whose deadline is later than the end of the node, at any
/// grace time.
#[test]
fn orders_end_before_node() {
    for grace_us in [SECOND_US / 10, SECOND_US, 6 * SECOND_US, 60 * SECOND_US] {
        let drain = Drain::start(SECOND_US, grace_us);
        for now_us in (SECOND_US..drain.end_us).step_by(grace_us as usize / 100) {
            for wait_us in [0, SECOND_US / 20, SECOND_US, 4 * SECOND_US, 100 * SECOND_US] {
                let deadline_us = now_us + wait_us;
                let decision = drain.decide(now_us, request(deadline_us, false));
                let ends_in_time = deadline_us <= drain.answer_until_us;
                assert_eq!(decision == DrainDecision::Serve, ends_in_time);
            }
        }
    }
}

/// Guards against idempotent requests that are refused although they usually end in time, and
/// against one that cannot.
#[test]
fn usual_times_decide_on_idempotent_requests() {
    let drain = Drain::start(0, 6 * SECOND_US);
    let endless = request(u64::MAX, true);
    assert_eq!(drain.decide(drain.accept_until_us, endless), DrainDecision::Serve);
    let late_us = drain.answer_until_us - SECOND_US / 10;
    assert_eq!(drain.decide(late_us, endless), DrainDecision::Refuse);
    let short = request(late_us + SECOND_US / 20, true);
    assert_eq!(drain.decide(late_us, short), DrainDecision::Serve);
    let slow = DrainRequest { expected_us: 5 * SECOND_US, ..endless };
    assert_eq!(drain.decide(SECOND_US, slow), DrainDecision::Refuse);
}

/// Guards against times that overlap or overflow.
#[test]
fn drain_times_are_in_order() {
    for grace_us in [0, 1, SECOND_US, u64::MAX] {
        let drain = Drain::start(SECOND_US, grace_us);
        assert!(SECOND_US <= drain.accept_until_us);
        assert!(drain.accept_until_us <= drain.answer_until_us);
        assert!(drain.answer_until_us <= drain.end_us);
    }
}
