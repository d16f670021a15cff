//! Hedges and retries, and the one budget that both are paid from.

mod bench;

use bench::{Bench, MS};
use sassafrasproxy_core::AttemptResult;
use sassafrasproxy_wire::{EventKind, SubOutcome};

#[test]
fn after_quantile() {
    let mut bench = Bench::warm();
    let key = bench.submit();
    bench.pass(4 * MS);
    assert_eq!(bench.sends.len(), 1, "not before the 0.95 quantile");
    bench.pass(2 * MS);
    assert_eq!(bench.sends.len(), 2);
    assert_ne!(bench.sends[0].0, bench.sends[1].0, "on another replica");
    let first = bench.open_send(key);
    let second = *bench.open.keys().last().unwrap();
    bench.end(second, AttemptResult::Answered);
    assert_eq!(bench.replies[&key], SubOutcome::Answered);
    assert_eq!(bench.cancels, [first], "the loser is cancelled");
}

#[test]
fn not_when_cold() {
    let mut bench = Bench::cold();
    bench.submit();
    bench.pass(20 * MS);
    assert_eq!(bench.sends.len(), 1, "no hedge without latencies to go by");
}

#[test]
fn not_when_queued() {
    let mut bench = Bench::warm();
    for _ in 0..7 {
        bench.submit();
    }
    bench.pass(10 * MS);
    assert!(!bench.notes.iter().any(|kind| matches!(kind, EventKind::Hedged { .. })));
}

#[test]
fn not_when_shed() {
    let mut bench = Bench::warm();
    let shed = bench.submit();
    bench.end_sub(shed, AttemptResult::Shed { retry_after_us: 50 * MS });
    bench.pass(10 * MS);
    assert!(!bench.notes.iter().any(|kind| matches!(kind, EventKind::Hedged { .. })));
}

#[test]
fn not_unless_idempotent() {
    let mut bench = Bench::warm();
    let mut sub = bench.sub();
    (sub.is_idempotent, sub.may_hedge) = (false, false);
    bench.submit_sub(sub);
    bench.pass(50 * MS);
    assert_eq!(bench.sends.len(), 1);
}

// When every upstream answers with failures, retries would multiply the load that broke them.
// All extra sends together must stay within the budget: the savings, then one in twenty.
#[test]
fn bounded_extra() {
    let mut bench = Bench::warm();
    let base = 400;
    for _ in 0..base {
        bench.submit();
        while let Some(attempt) = bench.open.keys().next().copied() {
            bench.end(attempt, AttemptResult::Failed);
        }
        bench.pass(MS);
    }
    let extra = bench.sends.len() - base;
    let allowed = 10 + base / 20;
    assert!(extra <= allowed, "{extra} extra sends, {allowed} allowed");
    assert!(extra >= base / 20, "the budget is used");
}
