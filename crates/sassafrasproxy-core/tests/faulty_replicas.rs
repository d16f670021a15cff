//! Replicas whose answers are no good, beside sound ones.

mod scheduler_harness;

use sassafrasproxy_core::AttemptResult;
use sassafrasproxy_wire::SubOutcome;
use scheduler_harness::{MS, SchedulerHarness};

/// Searches 10 ms apart, of which `is_good` says by replica and time whether the answer is good;
/// returns how many were answered, and how many sends the first replica got.
fn run_searches(
    bench: &mut SchedulerHarness,
    count: usize,
    is_good: impl Fn(&str, u64) -> bool,
) -> (usize, usize) {
    let sends_before = bench.sends.len();
    let mut answered = 0;
    for _ in 0..count {
        let mut sub = bench.new_spec();
        sub.may_hedge = false;
        let key = bench.submit_spec(sub);
        while !bench.replies.contains_key(&key) {
            bench.advance(5 * MS);
            let good = is_good(&bench.replica_of(key), bench.now_us);
            let result = if good { AttemptResult::Answered } else { AttemptResult::Mismatched };
            bench.end_first_attempt(key, result);
        }
        answered += usize::from(bench.replies[&key] == SubOutcome::Answered);
        bench.advance(5 * MS);
    }
    let sends = &bench.sends[sends_before..];
    (answered, sends.iter().filter(|(replica, _)| replica == "a").count())
}

// One replica answers every request with another request's id; its siblings are sound. Users got
// answers without that shard nine times in ten: the replica, idle as all its sends end at once,
// was asked first, and the budget for second sends was soon spent on making up for it.
#[test]
fn all_answers_mismatched() {
    let mut bench = SchedulerHarness::warm();
    let (answered, sends) = run_searches(&mut bench, 1_000, |replica, _| replica != "a");
    assert_eq!(answered, 1_000);
    assert!(sends <= 20, "it is tried sparingly: {sends} sends in 10 s");
}

// The same replica is mended. It must get its share again soon, or its siblings carry its load
// until somebody restarts the node.
#[test]
fn recovered_replica() {
    let mut bench = SchedulerHarness::warm();
    let mended_us = bench.now_us + 5_000 * MS;
    let is_good = |replica: &str, now_us: u64| replica != "a" || now_us >= mended_us;
    run_searches(&mut bench, 500, is_good);
    let (answered, sends) = run_searches(&mut bench, 500, is_good);
    assert_eq!(answered, 500);
    assert!(sends > 50, "{sends} of 500");
}

// Every replica fails, as a request can be at fault itself. Sound replicas that are avoided must
// still be asked: an avoided replica is better than none.
#[test]
fn all_replicas_faulty() {
    let mut bench = SchedulerHarness::warm();
    run_searches(&mut bench, 50, |_, _| false);
    let (answered, _) = run_searches(&mut bench, 10, |_, _| true);
    assert_eq!(answered, 10);
}
