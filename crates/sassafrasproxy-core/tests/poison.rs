//! Requests that crash each upstream that runs them.

mod bench;

use bench::{Bench, MS};
use sassafrasproxy_core::{AttemptResult, LaneEvent, SubKey};
use sassafrasproxy_wire::{Reason, SubOutcome};

const POISON: u64 = 666;

fn submit_poison(bench: &mut Bench) -> SubKey {
    let mut sub = bench.sub();
    sub.fingerprint = POISON;
    bench.submit_sub(sub)
}

/// Lets every open poison kill its replica, which starts again at once; returns the dead.
fn kill_open(bench: &mut Bench, poisons: &[SubKey]) -> usize {
    let mut dead = 0;
    loop {
        let open = bench.open.values().find(|(_, key)| poisons.contains(key)).cloned();
        let Some((replica, _)) = open else { return dead };
        bench.restart(&replica);
        bench.answer_probes(&[]);
        dead += 1;
    }
}

// One request crashes each upstream that runs it, and its caller sends it again at once, many
// times. Users of the same shards would lose replica after replica. At most two may die.
#[test]
fn two_deaths() {
    let mut bench = Bench::warm();
    let mut poisons = Vec::new();
    let mut dead = 0;
    for _ in 0..20 {
        poisons.push(submit_poison(&mut bench));
        dead += kill_open(&mut bench, &poisons);
        bench.pass(MS);
    }
    assert_eq!(dead, 2);
    assert_eq!(bench.quarantined, [POISON]);
    let refused = SubOutcome::NotRun { reason: Reason::Quarantined, retry_after_ms: 60_000 };
    assert_eq!(bench.replies[poisons.last().unwrap()], refused);
}

#[test]
fn two_deaths_at_once() {
    let mut bench = Bench::warm();
    let poisons: Vec<SubKey> = (0..6).map(|_| submit_poison(&mut bench)).collect();
    assert_eq!(kill_open(&mut bench, &poisons), 2);
}

// A neighbour's request shared the replica that died. Its user must get the answer, and the
// request must not be refused for what another did.
#[test]
fn innocent_neighbour() {
    let mut bench = Bench::warm();
    let poison = submit_poison(&mut bench);
    let replica = bench.replica_of(poison);
    let neighbour = bench.submit_at(&replica);
    bench.restart(&replica);
    bench.answer_probes(&[]);
    let mut poisons = vec![poison];
    for _ in 0..4 {
        if bench.open.values().any(|(_, key)| *key == neighbour) {
            bench.end_sub(neighbour, AttemptResult::Answered);
        }
        kill_open(&mut bench, &poisons);
        poisons.push(submit_poison(&mut bench));
    }
    assert_eq!(bench.replies[&neighbour], SubOutcome::Answered);
    assert_eq!(bench.quarantined, [POISON]);
}

// A switch drops a connection while a good request runs. The upstream lives, so this is no
// crash: the request must not come under suspicion, however often it happens.
#[test]
fn cut_connection() {
    let mut bench = Bench::warm();
    for _ in 0..5 {
        let key = submit_poison(&mut bench);
        bench.end_sub(key, AttemptResult::ConnectionLost);
        bench.answer_probes(&[]);
        bench.end_sub(key, AttemptResult::Answered);
        assert_eq!(bench.replies[&key], SubOutcome::Answered);
    }
    assert!(bench.quarantined.is_empty());
}

#[test]
fn heard_quarantine() {
    let mut bench = Bench::warm();
    bench.step(LaneEvent::Quarantine { fingerprint: POISON, ttl_us: 1_000 * MS });
    let refused = submit_poison(&mut bench);
    assert!(matches!(
        bench.replies[&refused],
        SubOutcome::NotRun { reason: Reason::Quarantined, .. }
    ));
    bench.pass(1_001 * MS);
    let taken = submit_poison(&mut bench);
    bench.end_sub(taken, AttemptResult::Answered);
    assert_eq!(bench.replies[&taken], SubOutcome::Answered);
}
