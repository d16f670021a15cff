//! Hedges and retries, and the budget that limits both.

mod scheduler_harness;

use sassafrasproxy_core::AttemptResult;
use sassafrasproxy_wire::{SubRequestOutcome, TimelineEventKind};
use scheduler_harness::{MS, SchedulerHarness};

#[test]
fn hedge_after_quantile() {
    let mut harness = SchedulerHarness::warm();
    let id = harness.submit();
    harness.advance(4 * MS);
    assert_eq!(harness.attempts.len(), 1, "no hedge before the 0.95 quantile");
    harness.advance(2 * MS);
    assert_eq!(harness.attempts.len(), 2);
    assert_ne!(harness.attempts[0].0, harness.attempts[1].0, "on another replica");
    let first = harness.first_open_attempt(id);
    let second = *harness.open_attempts.keys().last().unwrap();
    harness.end_attempt(second, AttemptResult::Answered);
    assert_eq!(harness.replies[&id], SubRequestOutcome::Answered);
    assert_eq!(harness.cancels, [first], "the slower attempt is cancelled");
}

#[test]
fn no_hedge_without_latencies() {
    let mut harness = SchedulerHarness::cold();
    harness.submit();
    harness.advance(20 * MS);
    assert_eq!(harness.attempts.len(), 1, "no hedge without recent latencies");
}

#[test]
fn no_hedge_while_queued() {
    let mut harness = SchedulerHarness::warm();
    for _ in 0..7 {
        harness.submit();
    }
    harness.advance(10 * MS);
    assert!(!harness.events.iter().any(|kind| matches!(kind, TimelineEventKind::Hedged { .. })));
}

#[test]
fn no_hedge_after_shed() {
    let mut harness = SchedulerHarness::warm();
    let shed_id = harness.submit();
    harness.end_first_attempt(shed_id, AttemptResult::Shed { retry_after_us: 50 * MS });
    harness.advance(10 * MS);
    assert!(!harness.events.iter().any(|kind| matches!(kind, TimelineEventKind::Hedged { .. })));
}

#[test]
fn no_hedge_unless_idempotent() {
    let mut harness = SchedulerHarness::warm();
    let mut spec = harness.new_spec();
    (spec.is_idempotent, spec.may_hedge) = (false, false);
    harness.submit_spec(spec);
    harness.advance(50 * MS);
    assert_eq!(harness.attempts.len(), 1);
}

// When every upstream fails because of overload, unlimited retries multiply that load. All hedges
// and retries together must stay within the budget: its 10 saved tokens, then one per 20 requests.
#[test]
fn retries_within_budget() {
    let mut harness = SchedulerHarness::warm();
    let base = 400;
    for _ in 0..base {
        harness.submit();
        while let Some(attempt) = harness.open_attempts.keys().next().copied() {
            harness.end_attempt(attempt, AttemptResult::Failed);
        }
        harness.advance(MS);
    }
    let extra = harness.attempts.len() - base;
    let allowed = 10 + base / 20;
    assert!(extra <= allowed, "{extra} hedges and retries, {allowed} allowed");
    assert!(extra >= base / 20, "the budget is used");
}
