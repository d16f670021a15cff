//! Connections that carry nothing any more.

mod scheduler_harness;

use sassafrasproxy_core::AttemptResult;
use sassafrasproxy_wire::SubOutcome;
use scheduler_harness::{MS, SchedulerHarness};

// Something between node and upstream has lost track of every open connection: requests go out,
// nothing comes back, new connections work. Users would get answers without that shard until
// somebody restarts the node. The lane must notice from the silence alone and send again.
#[test]
fn all_connections_stalled() {
    let mut bench = SchedulerHarness::warm();
    let key = bench.submit();
    bench.advance(60 * MS);
    assert_eq!(bench.sends.len(), 3, "the send, its hedge, and one more when both are silent");
    assert_eq!(bench.retired_connections.len(), 3, "all, within 60 ms at a norm of 5 ms");
    let newest = *bench.open_attempts.keys().last().unwrap();
    bench.end_attempt(newest, AttemptResult::Answered);
    assert_eq!(bench.replies[&key], SubOutcome::Answered);
}

// One straggler on a replica that answers others is slow, not silent: giving its connections up
// would cost every other request there a new one.
#[test]
fn slow_replica_keeps_connections() {
    let mut bench = SchedulerHarness::warm();
    let mut sub = bench.new_spec();
    sub.may_hedge = false;
    let slow = bench.submit_spec(sub);
    let replica = bench.replica_of(slow);
    for _ in 0..9 {
        bench.advance(5 * MS);
        let quick = bench.submit_to(&replica);
        bench.end_first_attempt(quick, AttemptResult::Answered);
        let others: Vec<_> = bench
            .open_attempts
            .iter()
            .filter(|(_, (_, key))| *key != slow)
            .map(|(id, _)| *id)
            .collect();
        others.into_iter().for_each(|id| bench.end_attempt(id, AttemptResult::Answered));
        bench.confirm_cancels();
    }
    assert!(bench.retired_connections.is_empty());
}

// Only the connection of one search is lost; the replica answers others over new ones all the
// time. Its user must not wait for the deadline just because the replica is well.
#[test]
fn one_lost_connection() {
    let mut bench = SchedulerHarness::warm();
    let mut sub = bench.new_spec();
    sub.may_hedge = false;
    let lost = bench.submit_spec(sub);
    let replica = bench.replica_of(lost);
    for _ in 0..12 {
        bench.advance(5 * MS);
        let quick = bench.submit_to(&replica);
        bench.end_first_attempt(quick, AttemptResult::Answered);
        if bench.open_attempts.values().filter(|(_, key)| *key == lost).count() > 1 {
            break;
        }
        let others: Vec<_> = bench
            .open_attempts
            .iter()
            .filter(|(_, (_, key))| *key != lost)
            .map(|(id, _)| *id)
            .collect();
        others.into_iter().for_each(|id| bench.end_attempt(id, AttemptResult::Answered));
    }
    let sends = bench.sends.iter().filter(|(_, key)| *key == lost).count();
    assert_eq!(sends, 2, "sent again within 60 ms");
    let again = *bench.open_attempts.iter().rfind(|(_, (_, key))| *key == lost).unwrap().0;
    bench.end_attempt(again, AttemptResult::Answered);
    assert_eq!(bench.replies.get(&lost), Some(&SubOutcome::Answered));
    assert!(bench.retired_connections.is_empty(), "the replica's other connections stay");
}

// A reorder sits on a silent connection. Sending it again could print the order twice; its
// outcome stays unknown until its deadline.
#[test]
fn non_idempotent_not_resent() {
    let mut bench = SchedulerHarness::warm();
    let mut sub = bench.new_spec();
    (sub.is_idempotent, sub.may_hedge) = (false, false);
    let key = bench.submit_spec(sub);
    bench.advance(99 * MS);
    assert_eq!(bench.sends.len(), 1);
    bench.advance(2 * MS);
    assert!(matches!(bench.replies[&key], SubOutcome::Unknown { .. }));
}
