//! Stalled connections, on which no answers arrive any more.

mod scheduler_harness;

use sassafrasproxy_core::AttemptResult;
use sassafrasproxy_wire::SubRequestOutcome;
use scheduler_harness::{MS, SchedulerHarness};

// A device between node and upstream has lost the state of every open connection: requests go out,
// no answers arrive, and new connections work. Answers lack the shard until an operator restarts
// the node. The scheduler must detect this from the missing answers alone and resend.
#[test]
fn all_connections_stalled() {
    let mut harness = SchedulerHarness::warm();
    let sub_request = harness.submit();
    harness.advance(60 * MS);
    assert_eq!(harness.attempts.len(), 3, "the attempt, its hedge, and a resend after both stall");
    assert_eq!(
        harness.retired_connections.len(),
        3,
        "all three, within 60 ms at a typical latency of 5 ms"
    );
    let newest = *harness.open_attempts.keys().last().unwrap();
    harness.end_attempt(newest, AttemptResult::Answered);
    assert_eq!(harness.replies[&sub_request], SubRequestOutcome::Answered);
}

// One slow attempt at a replica that answers others is not stalled: retiring the replica's
// connections makes every other request there need a new connection.
#[test]
fn slow_replica_keeps_connections() {
    let mut harness = SchedulerHarness::warm();
    let mut spec = harness.new_spec();
    spec.may_hedge = false;
    let slow = harness.submit_spec(spec);
    let replica = harness.replica_of(slow);
    for _ in 0..9 {
        harness.advance(5 * MS);
        let quick = harness.submit_to(&replica);
        harness.end_first_attempt(quick, AttemptResult::Answered);
        let others: Vec<_> = harness
            .open_attempts
            .iter()
            .filter(|(_, (_, id))| *id != slow)
            .map(|(id, _)| *id)
            .collect();
        others.into_iter().for_each(|id| harness.end_attempt(id, AttemptResult::Answered));
        harness.confirm_cancels();
    }
    assert!(harness.retired_connections.is_empty());
}

// Only the connection of one search is lost; the replica keeps answering others over new ones. The
// search must be resent before its deadline although the replica answers.
#[test]
fn one_lost_connection() {
    let mut harness = SchedulerHarness::warm();
    let mut spec = harness.new_spec();
    spec.may_hedge = false;
    let lost = harness.submit_spec(spec);
    let replica = harness.replica_of(lost);
    for _ in 0..12 {
        harness.advance(5 * MS);
        let quick = harness.submit_to(&replica);
        harness.end_first_attempt(quick, AttemptResult::Answered);
        if harness.open_attempts.values().filter(|(_, id)| *id == lost).count() > 1 {
            break;
        }
        let others: Vec<_> = harness
            .open_attempts
            .iter()
            .filter(|(_, (_, id))| *id != lost)
            .map(|(id, _)| *id)
            .collect();
        others.into_iter().for_each(|id| harness.end_attempt(id, AttemptResult::Answered));
    }
    let attempts = harness.attempts.iter().filter(|(_, id)| *id == lost).count();
    assert_eq!(attempts, 2, "resent within 60 ms");
    let resent = *harness.open_attempts.iter().rfind(|(_, (_, id))| *id == lost).unwrap().0;
    harness.end_attempt(resent, AttemptResult::Answered);
    assert_eq!(harness.replies.get(&lost), Some(&SubRequestOutcome::Answered));
    assert!(harness.retired_connections.is_empty(), "the replica's other connections are kept");
}

// A reorder, which is not idempotent, is on a stalled connection. Resending it could print the
// order twice, so it must not be resent; at its deadline its outcome is unknown.
#[test]
fn non_idempotent_not_resent() {
    let mut harness = SchedulerHarness::warm();
    let mut spec = harness.new_spec();
    (spec.is_idempotent, spec.may_hedge) = (false, false);
    let sub_request = harness.submit_spec(spec);
    harness.advance(99 * MS);
    assert_eq!(harness.attempts.len(), 1);
    harness.advance(2 * MS);
    assert!(matches!(harness.replies[&sub_request], SubRequestOutcome::Unknown { .. }));
}
