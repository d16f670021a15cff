//! Slots, queue and refusals of a lane.

mod scheduler_harness;

use sassafrasproxy_core::{AttemptResult, SchedulerEvent, SchedulerPolicy};
use sassafrasproxy_wire::{Reason, SubOutcome};
use scheduler_harness::{MS, SchedulerHarness};

#[test]
fn limit_in_flight() {
    let mut bench = SchedulerHarness::warm();
    for _ in 0..10 {
        bench.submit();
    }
    for replica in ["a", "b", "c"] {
        assert_eq!(bench.in_flight(replica), 2);
    }
    assert_eq!(bench.scheduler.replica_statuses()[0].queued, 4);
}

#[test]
fn full_queue() {
    let mut bench = SchedulerHarness::cold();
    let keys: Vec<_> = (0..12).map(|_| bench.submit()).collect();
    // Three cold replicas take one each, eight wait, the twelfth is refused at once.
    assert_eq!(bench.replies.keys().copied().collect::<Vec<_>>(), [keys[11]]);
    let refused = SubOutcome::NotRun { reason: Reason::Overloaded, retry_after_ms: 50 };
    assert_eq!(bench.replies[&keys[11]], refused);
}

// Under twice the load that upstreams bear, callers would wait out their whole deadline for
// nothing. Work that cannot end in time must be refused before it is sent.
#[test]
fn unmeetable_deadline() {
    let mut bench = SchedulerHarness::warm();
    for _ in 0..6 {
        bench.submit();
    }
    let mut sub = bench.new_spec();
    sub.deadline_us = bench.now_us + 2 * MS;
    let key = bench.submit_spec(sub);
    assert!(matches!(bench.replies[&key], SubOutcome::NotRun { reason: Reason::Overloaded, .. }));
}

#[test]
fn deadline_in_queue() {
    let mut bench = SchedulerHarness::cold();
    let keys: Vec<_> = (0..4).map(|_| bench.submit()).collect();
    bench.advance(100 * MS);
    assert!(matches!(bench.replies[&keys[3]], SubOutcome::NotRun { .. }), "never sent");
    assert!(matches!(bench.replies[&keys[0]], SubOutcome::Unknown { .. }), "was sent");
}

// An upstream with two slots would see a third request: a cancelled one goes on for a moment
// after its caller is gone. Its slot is free only once the upstream confirms, or it ends.
#[test]
fn cancelled_attempt_keeps_slot() {
    let mut bench = SchedulerHarness::cold();
    let first = bench.submit();
    let replica = bench.replica_of(first);
    bench.step(SchedulerEvent::Abandon { sub_request: first });
    assert_eq!(bench.in_flight(&replica), 1);
    bench.confirm_cancels();
    assert_eq!(bench.in_flight(&replica), 0);
}

#[test]
fn shed_retried_elsewhere() {
    let mut bench = SchedulerHarness::warm();
    let key = bench.submit();
    let first = bench.replica_of(key);
    bench.end_first_attempt(key, AttemptResult::Shed { retry_after_us: 0 });
    assert_ne!(bench.replica_of(key), first);
    assert_eq!(bench.limit(&first), 1, "the limit is halved");
    bench.end_first_attempt(key, AttemptResult::Answered);
    assert_eq!(bench.replies[&key], SubOutcome::Answered);
}

#[test]
fn shed_by_all_replicas() {
    let mut bench = SchedulerHarness::warm();
    let mut sub = bench.new_spec();
    sub.may_hedge = false;
    let key = bench.submit_spec(sub);
    for _ in 0..4 {
        bench.end_first_attempt(key, AttemptResult::Shed { retry_after_us: 0 });
        bench.advance(20 * MS);
    }
    let refused = SubOutcome::NotRun { reason: Reason::Shed, retry_after_ms: 50 };
    assert_eq!(bench.replies[&key], refused);
}

// A caller would be told that nothing ran, and would send a reminder again, though an upstream
// failed after it had begun. Only the upstream's own word makes a failure `not_run`.
#[test]
fn failures_have_unknown_outcome() {
    let cases = [
        (AttemptResult::ConnectionLost, Reason::ConnectionLost),
        (AttemptResult::TimedOut, Reason::DeadlineExceeded),
        (AttemptResult::Mismatched, Reason::Mismatched),
        (AttemptResult::Malformed, Reason::Malformed),
        (AttemptResult::Failed, Reason::UpstreamFailed),
    ];
    for (result, reason) in cases {
        let mut bench = SchedulerHarness::warm();
        let mut sub = bench.new_spec();
        (sub.is_idempotent, sub.may_hedge) = (false, false);
        let key = bench.submit_spec(sub);
        bench.end_first_attempt(key, result);
        assert_eq!(bench.replies.get(&key), Some(&SubOutcome::Unknown { reason }), "{result:?}");
        assert_eq!(bench.sends.len(), 1, "{result:?}: sent once");
    }
}

#[test]
fn one_reply() {
    let mut bench = SchedulerHarness::warm();
    let key = bench.submit();
    bench.end_first_attempt(key, AttemptResult::Failed);
    bench.end_first_attempt(key, AttemptResult::Answered);
    assert_eq!(bench.replies[&key], SubOutcome::Answered);
    assert_eq!(bench.sends.len(), 2);
}

#[test]
fn default_budget_fraction() {
    assert!(SchedulerPolicy::new(2, 64).budget_fraction <= 0.05);
}
