//! First sends, hedges and retries of one service.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use sassafrasproxy_core::{
    Catalogue, CatalogueReplica, Fetch, FetchFailure, FetchFailureReason, FetchPlan, FetchStep,
    PoolSettings, RetryBudget, RetryBudgetPolicy, SendCause, SendOutcome, SendResult, UpstreamPool,
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
        for at in 0..replicas {
            let entry = ReplicaEntry {
                id: ecow::eco_format!("r{at}"),
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
        let FetchStep::Send { replica, send, cause } = step else { panic!("{step:?}") };
        assert_eq!(cause, expected);
        self.pool.finish_send(&replica, send, now_us, SendOutcome::Cancelled, None);
    }

    fn expect_failure(&mut self, end: FetchFailureReason, may_have_run: bool) {
        let expected = FetchStep::Failed(FetchFailure { reason: end, may_have_run });
        assert_eq!(self.next(0), expected);
    }
}

/// An order was sent and its answer is lost: a second send could print the range twice.
#[test]
fn non_idempotent_sent_once() {
    let mut scene = FetchHarness::new(3, false, 100.0);
    scene.expect_send(0, SendCause::First);
    assert_eq!(scene.next(1_000_000), FetchStep::Wait { until_us: None }, "no second send ever");
    scene.fetch.record_result(SendResult::MayHaveRun);
    scene.expect_failure(FetchFailureReason::NotRepeatable, true);
}

/// A replica says that it did not run the order, or no connection could be made: another may.
#[test]
fn non_idempotent_not_run() {
    for (result, cause) in
        [(SendResult::NotRun, SendCause::Retry), (SendResult::Unsent, SendCause::First)]
    {
        let mut scene = FetchHarness::new(3, false, 100.0);
        scene.expect_send(0, SendCause::First);
        scene.fetch.record_result(result);
        scene.expect_send(0, cause);
    }
}

#[test]
fn one_hedge() {
    let mut scene = FetchHarness::new(3, true, 100.0);
    scene.expect_send(0, SendCause::First);
    assert_eq!(scene.next(14_999), FetchStep::Wait { until_us: Some(15_000) });
    scene.expect_send(15_000, SendCause::Hedge);
    assert_eq!(scene.next(99_000), FetchStep::Wait { until_us: None });
}

/// Replicas that fail one after the other are asked as far as the route allows.
#[test]
fn stops_at_max_attempts() {
    let mut scene = FetchHarness::new(4, true, 100.0);
    scene.expect_send(0, SendCause::First);
    scene.fetch.record_result(SendResult::MayHaveRun);
    scene.expect_send(0, SendCause::Retry);
    scene.fetch.record_result(SendResult::MayHaveRun);
    scene.expect_failure(FetchFailureReason::AllTried, true);
}

/// Many shards fail at once: when the budget is spent, retries stop, and first sends go on.
#[test]
fn budget_spent() {
    let mut scene = FetchHarness::new(3, true, 0.0);
    scene.expect_send(0, SendCause::First);
    scene.fetch.record_result(SendResult::NotRun);
    scene.expect_failure(FetchFailureReason::NoBudget, false);
}

/// No replica is known: the caller hears so at once.
#[test]
fn no_replica() {
    FetchHarness::new(0, true, 100.0).expect_failure(FetchFailureReason::NoReplica, false);
}
