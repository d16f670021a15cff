//! Tests the first attempts, hedges and retries of a fetch.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use sassafrasproxy_core::{
    Catalogue, CatalogueReplica, ExtraSends, Fetch, FetchFailure, FetchFailureReason, FetchPlan,
    FetchStep, PoolSettings, RetryBudget, RetryBudgetPolicy, SendCause, SendOutcome, SendResult,
    UpstreamPool,
};
use sassafrasproxy_wire::ReplicaEntry;

struct FetchHarness {
    pool: UpstreamPool,
    budget: RetryBudget,
    fetch: Fetch,
    plan: FetchPlan,
}

impl FetchHarness {
    fn new(replicas: usize, is_idempotent: bool, fixed: f64) -> Self {
        let settings =
            PoolSettings { failure_domain: "west".into(), warmup_factor: 1.5, warmup_slack: 5.0 };
        let mut catalogue = Catalogue { version: 1, ..Catalogue::default() };
        for index in 0..replicas {
            let entry = ReplicaEntry {
                id: ecow::eco_format!("r{index}"),
                born_ms: 1,
                sequence: 1,
                service: "s".into(),
                version: "v1".into(),
                address: "127.0.0.1:1".parse().unwrap(),
                failure_domain: "west".into(),
                slots: 2,
                is_draining: false,
                cold_for_ms: 0,
            };
            let id = entry.id.clone();
            let replica = CatalogueReplica::eligible(entry, 0);
            catalogue.replicas.insert(id, replica);
        }
        let mut pool = UpstreamPool::new(settings);
        pool.update(0, &catalogue, 1);
        let policy = RetryBudgetPolicy { ratio: 0.0, fixed, window_us: 10_000_000 };
        let plan = FetchPlan {
            expected_us: 8_000,
            hedge_after_us: 15_000,
            max_attempts: 2,
            is_idempotent,
            extra_sends: ExtraSends::All,
            budget_shares: 1,
            route_class: 0,
        };
        let fetch = Fetch::new("s".into());
        Self { pool, budget: RetryBudget::new(policy, 0), fetch, plan }
    }

    fn next(&mut self, now_us: u64) -> FetchStep {
        self.fetch.next(now_us, &self.plan, &mut self.pool, &mut self.budget)
    }

    fn expect_send(&mut self, now_us: u64, expected: SendCause) {
        let step = self.next(now_us);
        let FetchStep::Send { replica, send_id, cause } = step else { panic!("{step:?}") };
        assert_eq!(cause, expected);
        self.pool.finish_send(&replica, send_id, now_us, SendOutcome::Cancelled, None);
    }

    fn expect_failure(&mut self, reason: FetchFailureReason, may_have_run: bool) {
        let expected = FetchStep::Failed(FetchFailure { reason, may_have_run });
        assert_eq!(self.next(0), expected);
    }
}

/// Guards against a second attempt of a request that is not idempotent: its answer was lost, and
/// the replica may have run it, so another attempt could run it twice.
#[test]
fn non_idempotent_sent_once() {
    let mut harness = FetchHarness::new(3, false, 100.0);
    harness.expect_send(0, SendCause::First);
    assert_eq!(
        harness.next(1_000_000),
        FetchStep::Wait { until_us: None },
        "a non-idempotent request must not be hedged"
    );
    harness.fetch.record_result(SendResult::MayHaveRun);
    harness.expect_failure(FetchFailureReason::NotRepeatable, true);
}

/// Guards against giving up on a request that is not idempotent although it surely did not run: the
/// replica reports so, or no connection was made. Another replica may run it.
#[test]
fn non_idempotent_not_run() {
    for (result, cause) in
        [(SendResult::NotRun, SendCause::Retry), (SendResult::Unsent, SendCause::First)]
    {
        let mut harness = FetchHarness::new(3, false, 100.0);
        harness.expect_send(0, SendCause::First);
        harness.fetch.record_result(result);
        harness.expect_send(0, cause);
    }
}

/// Guards against a query that is refused although its only replica is up, as a relay on the way to
/// it is gone.
#[test]
fn relay_failure() {
    for (result, cause) in
        [(SendResult::Unsent, SendCause::First), (SendResult::MayHaveRun, SendCause::Retry)]
    {
        let mut harness = FetchHarness::new(1, true, 100.0);
        harness.expect_send(0, SendCause::First);
        let replica = harness.fetch.last_replica().to_owned();
        harness.fetch.record_relay_failure(&replica, result);
        harness.expect_send(0, cause);
    }
}

#[test]
fn one_hedge() {
    let mut harness = FetchHarness::new(3, true, 100.0);
    harness.expect_send(0, SendCause::First);
    assert_eq!(harness.next(14_999), FetchStep::Wait { until_us: Some(15_000) });
    harness.expect_send(15_000, SendCause::Hedge);
    assert_eq!(harness.next(99_000), FetchStep::Wait { until_us: None });
}

/// Guards against more attempts than the route allows when one replica after the other fails.
#[test]
fn stops_at_max_attempts() {
    let mut harness = FetchHarness::new(4, true, 100.0);
    harness.expect_send(0, SendCause::First);
    harness.fetch.record_result(SendResult::MayHaveRun);
    harness.expect_send(0, SendCause::Retry);
    harness.fetch.record_result(SendResult::MayHaveRun);
    harness.expect_failure(FetchFailureReason::AllTried, true);
}

/// Guards against retries beyond the budget when many shards fail at once: when the budget is
/// spent, first attempts are still made, and retries are not.
#[test]
fn budget_spent() {
    let mut harness = FetchHarness::new(3, true, 0.0);
    harness.expect_send(0, SendCause::First);
    harness.fetch.record_result(SendResult::NotRun);
    harness.expect_failure(FetchFailureReason::NoBudget, false);
}

/// Guards against hedges that spend the whole budget, so that parts whose answers are lost are
/// missing: when hedges may spend nothing more, retries still may.
#[test]
fn hedges_leave_budget_to_retries() {
    // A node that has just started has a quarter of its 0.8 of the budget: four attempts.
    let mut harness = FetchHarness::new(3, true, 20.0);
    for now_us in [0, 100_000, 200_000] {
        harness.fetch = Fetch::new("s".into());
        harness.expect_send(now_us, SendCause::First);
        harness.expect_send(now_us + 15_000, SendCause::Hedge);
    }
    harness.fetch = Fetch::new("s".into());
    harness.expect_send(300_000, SendCause::First);
    assert_eq!(harness.next(315_000), FetchStep::Wait { until_us: None }, "no fourth hedge");
    harness.fetch.record_result(SendResult::MayHaveRun);
    harness.expect_send(320_000, SendCause::Retry);
}

/// Guards against a fetch that waits, instead of failing at once, when the service has no replica.
#[test]
fn no_replica() {
    FetchHarness::new(0, true, 100.0).expect_failure(FetchFailureReason::NoReplica, false);
}

/// Guards against hedges and retries that take the room of first attempts: the node is short of
/// processor time, and each extra attempt makes the next request later.
#[test]
fn extra_attempts_stop_under_load() {
    let mut harness = FetchHarness::new(3, true, 100.0);
    harness.plan.extra_sends = ExtraSends::RetriesOnly;
    harness.expect_send(0, SendCause::First);
    assert_eq!(harness.next(15_000), FetchStep::Wait { until_us: None });
    harness.fetch.record_result(SendResult::NotRun);
    harness.expect_send(15_000, SendCause::Retry);

    let mut harness = FetchHarness::new(3, true, 100.0);
    harness.plan.extra_sends = ExtraSends::None;
    harness.expect_send(0, SendCause::First);
    harness.fetch.record_result(SendResult::NotRun);
    harness.expect_failure(FetchFailureReason::NodeBusy, false);
}
