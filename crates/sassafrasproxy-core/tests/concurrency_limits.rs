//! Concurrency limits, queue, refusals and outcomes of a scheduler.

mod scheduler_harness;

use sassafrasproxy_core::{AttemptResult, SchedulerEvent, SchedulerPolicy};
use sassafrasproxy_wire::{FailureReason, SubRequestOutcome};
use scheduler_harness::{MS, SchedulerHarness};

#[test]
fn limit_in_flight() {
    let mut harness = SchedulerHarness::warm();
    for _ in 0..10 {
        harness.submit();
    }
    for replica in ["a", "b", "c"] {
        assert_eq!(harness.in_flight(replica), 2);
    }
    assert_eq!(harness.scheduler.replica_statuses()[0].queued, 4);
}

#[test]
fn full_queue() {
    let mut harness = SchedulerHarness::cold();
    let ids: Vec<_> = (0..12).map(|_| harness.submit()).collect();
    // Three cold replicas take one each, eight are queued, the twelfth is refused at once.
    assert_eq!(harness.replies.keys().copied().collect::<Vec<_>>(), [ids[11]]);
    let refused =
        SubRequestOutcome::NotRun { reason: FailureReason::Overloaded, retry_after_ms: 50 };
    assert_eq!(harness.replies[&ids[11]], refused);
}

// At twice the load that upstreams can handle, callers would wait until their deadline and get no
// answer. Work that cannot end before its deadline must be refused before it is sent.
#[test]
fn unmeetable_deadline() {
    let mut harness = SchedulerHarness::warm();
    for _ in 0..6 {
        harness.submit();
    }
    let mut spec = harness.new_spec();
    spec.deadline_us = harness.now_us + 2 * MS;
    let id = harness.submit_spec(spec);
    assert!(matches!(
        harness.replies[&id],
        SubRequestOutcome::NotRun { reason: FailureReason::Overloaded, .. }
    ));
}

#[test]
fn deadline_in_queue() {
    let mut harness = SchedulerHarness::cold();
    let ids: Vec<_> = (0..4).map(|_| harness.submit()).collect();
    harness.advance(100 * MS);
    assert!(matches!(harness.replies[&ids[3]], SubRequestOutcome::NotRun { .. }), "never sent");
    assert!(matches!(harness.replies[&ids[0]], SubRequestOutcome::Unknown { .. }), "was sent");
}

// A cancelled request keeps running for a moment, so an upstream with two slots could get a third
// request. The slot is free only when the upstream confirms the cancellation or the request ends.
#[test]
fn cancelled_attempt_keeps_slot() {
    let mut harness = SchedulerHarness::cold();
    let first = harness.submit();
    let replica = harness.replica_of(first);
    harness.step(SchedulerEvent::Abandon { sub_request: first });
    assert_eq!(harness.in_flight(&replica), 1);
    harness.confirm_cancels();
    assert_eq!(harness.in_flight(&replica), 0);
}

#[test]
fn shed_retried_elsewhere() {
    let mut harness = SchedulerHarness::warm();
    let id = harness.submit();
    let first = harness.replica_of(id);
    harness.end_first_attempt(id, AttemptResult::Shed { retry_after_us: 0 });
    assert_ne!(harness.replica_of(id), first);
    assert_eq!(harness.limit(&first), 1, "the limit is halved");
    harness.end_first_attempt(id, AttemptResult::Answered);
    assert_eq!(harness.replies[&id], SubRequestOutcome::Answered);
}

#[test]
fn shed_by_all_replicas() {
    let mut harness = SchedulerHarness::warm();
    let mut spec = harness.new_spec();
    spec.may_hedge = false;
    let id = harness.submit_spec(spec);
    for _ in 0..4 {
        harness.end_first_attempt(id, AttemptResult::Shed { retry_after_us: 0 });
        harness.advance(20 * MS);
    }
    let refused = SubRequestOutcome::NotRun { reason: FailureReason::Shed, retry_after_ms: 50 };
    assert_eq!(harness.replies[&id], refused);
}

// An upstream fails after it began to run a request. A caller that is told `not_run` resends it,
// and for example a reminder goes out twice. Only a result that shows that the request did not run
// may be reported as `not_run`.
#[test]
fn failures_have_unknown_outcome() {
    let cases = [
        (AttemptResult::ConnectionLost, FailureReason::ConnectionLost),
        (AttemptResult::TimedOut, FailureReason::DeadlineExceeded),
        (AttemptResult::Mismatched, FailureReason::Mismatched),
        (AttemptResult::Malformed, FailureReason::Malformed),
        (AttemptResult::Failed, FailureReason::UpstreamFailed),
    ];
    for (result, reason) in cases {
        let mut harness = SchedulerHarness::warm();
        let mut spec = harness.new_spec();
        (spec.is_idempotent, spec.may_hedge) = (false, false);
        let id = harness.submit_spec(spec);
        harness.end_first_attempt(id, result);
        assert_eq!(
            harness.replies.get(&id),
            Some(&SubRequestOutcome::Unknown { reason }),
            "{result:?}"
        );
        assert_eq!(harness.attempts.len(), 1, "{result:?}: sent once");
    }
}

#[test]
fn one_reply() {
    let mut harness = SchedulerHarness::warm();
    let id = harness.submit();
    harness.end_first_attempt(id, AttemptResult::Failed);
    harness.end_first_attempt(id, AttemptResult::Answered);
    assert_eq!(harness.replies[&id], SubRequestOutcome::Answered);
    assert_eq!(harness.attempts.len(), 2);
}

#[test]
fn default_budget_fraction() {
    assert!(SchedulerPolicy::new(2, 64).budget_fraction <= 0.05);
}
