//! Connections that carry nothing any more.

mod bench;

use bench::{Bench, MS};
use sassafrasproxy_core::AttemptResult;
use sassafrasproxy_wire::SubOutcome;

// Something between node and upstream has lost track of every open connection: requests go out,
// nothing comes back, new connections work. Users would get answers without that shard until
// somebody restarts the node. The lane must notice from the silence alone and send again.
#[test]
fn all_silent() {
    let mut bench = Bench::warm();
    let key = bench.submit();
    bench.pass(60 * MS);
    assert_eq!(bench.sends.len(), 3, "the send, its hedge, and one more when both are silent");
    assert_eq!(bench.condemned.len(), 3, "all, within 60 ms at a norm of 5 ms");
    let newest = *bench.open.keys().last().unwrap();
    bench.end(newest, AttemptResult::Answered);
    assert_eq!(bench.replies[&key], SubOutcome::Answered);
}

// One straggler on a replica that answers others is slow, not silent: giving its connections up
// would cost every other request there a new one.
#[test]
fn only_slow() {
    let mut bench = Bench::warm();
    let mut sub = bench.sub();
    sub.may_hedge = false;
    let slow = bench.submit_sub(sub);
    let replica = bench.replica_of(slow);
    for _ in 0..9 {
        bench.pass(5 * MS);
        let quick = bench.submit_at(&replica);
        bench.end_sub(quick, AttemptResult::Answered);
        let others: Vec<_> =
            bench.open.iter().filter(|(_, (_, key))| *key != slow).map(|(id, _)| *id).collect();
        others.into_iter().for_each(|id| bench.end(id, AttemptResult::Answered));
        bench.confirm_cancels();
    }
    assert!(bench.condemned.is_empty());
}

// Only the connection of one search is lost; the replica answers others over new ones all the
// time. Its user must not wait for the deadline just because the replica is well.
#[test]
fn one_lost_connection() {
    let mut bench = Bench::warm();
    let mut sub = bench.sub();
    sub.may_hedge = false;
    let lost = bench.submit_sub(sub);
    let replica = bench.replica_of(lost);
    for _ in 0..12 {
        bench.pass(5 * MS);
        let quick = bench.submit_at(&replica);
        bench.end_sub(quick, AttemptResult::Answered);
        if bench.open.values().filter(|(_, key)| *key == lost).count() > 1 {
            break;
        }
        let others: Vec<_> =
            bench.open.iter().filter(|(_, (_, key))| *key != lost).map(|(id, _)| *id).collect();
        others.into_iter().for_each(|id| bench.end(id, AttemptResult::Answered));
    }
    let sends = bench.sends.iter().filter(|(_, key)| *key == lost).count();
    assert_eq!(sends, 2, "sent again within 60 ms");
    let again = *bench.open.iter().rfind(|(_, (_, key))| *key == lost).unwrap().0;
    bench.end(again, AttemptResult::Answered);
    assert_eq!(bench.replies.get(&lost), Some(&SubOutcome::Answered));
    assert!(bench.condemned.is_empty(), "the replica's other connections stay");
}

// A reorder sits on a silent connection. Sending it again could print the order twice; its
// outcome stays unknown until its deadline.
#[test]
fn not_repeated() {
    let mut bench = Bench::warm();
    let mut sub = bench.sub();
    (sub.is_idempotent, sub.may_hedge) = (false, false);
    let key = bench.submit_sub(sub);
    bench.pass(99 * MS);
    assert_eq!(bench.sends.len(), 1);
    bench.pass(2 * MS);
    assert!(matches!(bench.replies[&key], SubOutcome::Unknown { .. }));
}
