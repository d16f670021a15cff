//! A group in which some replicas give bad answers.

mod scheduler_harness;

use sassafrasproxy_core::AttemptResult;
use sassafrasproxy_wire::SubRequestOutcome;
use scheduler_harness::{MS, SchedulerHarness};

/// Runs `count` searches 10 ms apart; `is_good` decides by replica and time whether an answer is
/// good. Returns the number of answered searches and the number of attempts at replica `a`.
fn run_searches(
    harness: &mut SchedulerHarness,
    count: usize,
    is_good: impl Fn(&str, u64) -> bool,
) -> (usize, usize) {
    let attempts_before = harness.attempts.len();
    let mut answered = 0;
    for _ in 0..count {
        let mut spec = harness.new_spec();
        spec.may_hedge = false;
        let id = harness.submit_spec(spec);
        while !harness.replies.contains_key(&id) {
            harness.advance(5 * MS);
            let good = is_good(&harness.replica_of(id), harness.now_us);
            let result = if good { AttemptResult::Answered } else { AttemptResult::Mismatched };
            harness.end_first_attempt(id, result);
        }
        answered += usize::from(harness.replies[&id] == SubRequestOutcome::Answered);
        harness.advance(5 * MS);
    }
    let attempts = &harness.attempts[attempts_before..];
    (answered, attempts.iter().filter(|(replica, _)| replica == "a").count())
}

// One replica answers every request with another request's id; the others give good answers. The
// replica is preferred, because its attempts end at once and it is always idle, and the retries
// soon exhaust the budget. Without a backoff, more than nine answers in ten lack the shard.
#[test]
fn all_answers_mismatched() {
    let mut harness = SchedulerHarness::warm();
    let (answered, attempts) = run_searches(&mut harness, 1_000, |replica, _| replica != "a");
    assert_eq!(answered, 1_000);
    assert!(attempts <= 20, "the backoff limits its attempts: {attempts} in 10 s");
}

// The replica gives good answers again. It must soon get its share of the load, or the others carry
// its load until an operator restarts the node.
#[test]
fn recovered_replica() {
    let mut harness = SchedulerHarness::warm();
    let recovered_us = harness.now_us + 5_000 * MS;
    let is_good = |replica: &str, now_us: u64| replica != "a" || now_us >= recovered_us;
    run_searches(&mut harness, 500, is_good);
    let (answered, attempts) = run_searches(&mut harness, 500, is_good);
    assert_eq!(answered, 500);
    assert!(attempts > 50, "{attempts} of 500");
}

// All replicas fail, for example because the request itself causes the failure, and all are backed
// off. They must still be asked, because a replica in backoff is better than none.
#[test]
fn all_replicas_faulty() {
    let mut harness = SchedulerHarness::warm();
    run_searches(&mut harness, 50, |_, _| false);
    let (answered, _) = run_searches(&mut harness, 10, |_, _| true);
    assert_eq!(answered, 10);
}
