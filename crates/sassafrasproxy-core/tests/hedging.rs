//! Hedges and retries, and the one budget that both are paid from.

mod scheduler_harness;

use sassafrasproxy_core::AttemptResult;
use sassafrasproxy_wire::{EventKind, SubOutcome};
use scheduler_harness::{MS, SchedulerHarness};

#[test]
fn hedge_after_quantile() {
    let mut bench = SchedulerHarness::warm();
    let key = bench.submit();
    bench.advance(4 * MS);
    assert_eq!(bench.sends.len(), 1, "not before the 0.95 quantile");
    bench.advance(2 * MS);
    assert_eq!(bench.sends.len(), 2);
    assert_ne!(bench.sends[0].0, bench.sends[1].0, "on another replica");
    let first = bench.first_open_attempt(key);
    let second = *bench.open_attempts.keys().last().unwrap();
    bench.end_attempt(second, AttemptResult::Answered);
    assert_eq!(bench.replies[&key], SubOutcome::Answered);
    assert_eq!(bench.cancels, [first], "the loser is cancelled");
}

#[test]
fn no_hedge_without_latencies() {
    let mut bench = SchedulerHarness::cold();
    bench.submit();
    bench.advance(20 * MS);
    assert_eq!(bench.sends.len(), 1, "no hedge without latencies to go by");
}

#[test]
fn no_hedge_while_queued() {
    let mut bench = SchedulerHarness::warm();
    for _ in 0..7 {
        bench.submit();
    }
    bench.advance(10 * MS);
    assert!(!bench.events.iter().any(|kind| matches!(kind, EventKind::Hedged { .. })));
}

#[test]
fn no_hedge_after_shed() {
    let mut bench = SchedulerHarness::warm();
    let shed = bench.submit();
    bench.end_first_attempt(shed, AttemptResult::Shed { retry_after_us: 50 * MS });
    bench.advance(10 * MS);
    assert!(!bench.events.iter().any(|kind| matches!(kind, EventKind::Hedged { .. })));
}

#[test]
fn no_hedge_unless_idempotent() {
    let mut bench = SchedulerHarness::warm();
    let mut sub = bench.new_spec();
    (sub.is_idempotent, sub.may_hedge) = (false, false);
    bench.submit_spec(sub);
    bench.advance(50 * MS);
    assert_eq!(bench.sends.len(), 1);
}

// When every upstream answers with failures, retries would multiply the load that broke them.
// All extra sends together must stay within the budget: the savings, then one in twenty.
#[test]
fn retries_within_budget() {
    let mut bench = SchedulerHarness::warm();
    let base = 400;
    for _ in 0..base {
        bench.submit();
        while let Some(attempt) = bench.open_attempts.keys().next().copied() {
            bench.end_attempt(attempt, AttemptResult::Failed);
        }
        bench.advance(MS);
    }
    let extra = bench.sends.len() - base;
    let allowed = 10 + base / 20;
    assert!(extra <= allowed, "{extra} extra sends, {allowed} allowed");
    assert!(extra >= base / 20, "the budget is used");
}
