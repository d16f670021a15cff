//! Requests that crash each upstream that runs them.

mod scheduler_harness;

use sassafrasproxy_core::{AttemptResult, SchedulerEvent, SubRequestId};
use sassafrasproxy_wire::{Reason, SubOutcome};
use scheduler_harness::{MS, SchedulerHarness};

const POISON: u64 = 666;

fn submit_poison(bench: &mut SchedulerHarness) -> SubRequestId {
    let mut sub = bench.new_spec();
    sub.fingerprint = POISON;
    bench.submit_spec(sub)
}

/// Lets every open poison kill its replica, which starts again at once; returns the dead.
fn crash_open(bench: &mut SchedulerHarness, poisons: &[SubRequestId]) -> usize {
    let mut dead = 0;
    loop {
        let open = bench.open_attempts.values().find(|(_, key)| poisons.contains(key)).cloned();
        let Some((replica, _)) = open else { return dead };
        bench.restart(&replica);
        bench.answer_probes(&[]);
        dead += 1;
    }
}

// One request crashes each upstream that runs it, and its caller sends it again at once, many
// times. Users of the same shards would lose replica after replica. At most two may die.
#[test]
fn at_most_two_crashes() {
    let mut bench = SchedulerHarness::warm();
    let mut poisons = Vec::new();
    let mut dead = 0;
    for _ in 0..20 {
        poisons.push(submit_poison(&mut bench));
        dead += crash_open(&mut bench, &poisons);
        bench.advance(MS);
    }
    assert_eq!(dead, 2);
    assert_eq!(bench.quarantined, [POISON]);
    let refused = SubOutcome::NotRun { reason: Reason::Quarantined, retry_after_ms: 60_000 };
    assert_eq!(bench.replies[poisons.last().unwrap()], refused);
}

#[test]
fn at_most_two_concurrent_crashes() {
    let mut bench = SchedulerHarness::warm();
    let poisons: Vec<SubRequestId> = (0..6).map(|_| submit_poison(&mut bench)).collect();
    assert_eq!(crash_open(&mut bench, &poisons), 2);
}

// A neighbour's request shared the replica that died. Its user must get the answer, and the
// request must not be refused for what another did.
#[test]
fn harmless_request_on_crashed_replica() {
    let mut bench = SchedulerHarness::warm();
    let poison = submit_poison(&mut bench);
    let replica = bench.replica_of(poison);
    let neighbour = bench.submit_to(&replica);
    bench.restart(&replica);
    bench.answer_probes(&[]);
    let mut poisons = vec![poison];
    for _ in 0..4 {
        if bench.open_attempts.values().any(|(_, key)| *key == neighbour) {
            bench.end_first_attempt(neighbour, AttemptResult::Answered);
        }
        crash_open(&mut bench, &poisons);
        poisons.push(submit_poison(&mut bench));
    }
    assert_eq!(bench.replies[&neighbour], SubOutcome::Answered);
    assert_eq!(bench.quarantined, [POISON]);
}

// A switch drops a connection while a good request runs. The upstream lives, so this is no
// crash: the request must not come under suspicion, however often it happens.
#[test]
fn lost_connection_is_no_crash() {
    let mut bench = SchedulerHarness::warm();
    for _ in 0..5 {
        let key = submit_poison(&mut bench);
        bench.end_first_attempt(key, AttemptResult::ConnectionLost);
        bench.answer_probes(&[]);
        bench.end_first_attempt(key, AttemptResult::Answered);
        assert_eq!(bench.replies[&key], SubOutcome::Answered);
    }
    assert!(bench.quarantined.is_empty());
}

#[test]
fn received_quarantine() {
    let mut bench = SchedulerHarness::warm();
    bench.step(SchedulerEvent::Quarantine { fingerprint: POISON, ttl_us: 1_000 * MS });
    let refused = submit_poison(&mut bench);
    assert!(matches!(
        bench.replies[&refused],
        SubOutcome::NotRun { reason: Reason::Quarantined, .. }
    ));
    bench.advance(1_001 * MS);
    let taken = submit_poison(&mut bench);
    bench.end_first_attempt(taken, AttemptResult::Answered);
    assert_eq!(bench.replies[&taken], SubOutcome::Answered);
}
