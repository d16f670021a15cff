//! Tests the retry budget that all nodes keep together.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use ecow::EcoString;
use proptest::prelude::*;
use sassafrasproxy_core::{RetryBudget, RetryBudgetPolicy, budget_shares};

const POLICY: RetryBudgetPolicy =
    RetryBudgetPolicy { ratio: 0.2, fixed: 56.0, window_us: 10_000_000 };
const NODES: usize = 8;

proptest! {
    #![proptest_config(ProptestConfig::with_cases(40))]

    /// Guards against more extra attempts than the budget allows. All replicas fail, every node
    /// retries as much as it may, and processes restart without knowing what they spent. In any ten
    /// seconds, the extra attempts of all nodes must not exceed a fifth of the requests plus 56.
    #[test]
    fn fleet_stays_within_budget(
        loads in prop::collection::vec(0_u32..20, NODES),
        restarts in prop::collection::vec((0_u64..40, 0..NODES), 0..6),
    ) {
        let service = EcoString::from("s");
        let mut budgets: Vec<RetryBudget> =
            (0..NODES).map(|_| RetryBudget::new(POLICY, 0)).collect();
        // Extra attempts and requests in each tenth of a second.
        let mut extra = Vec::new();
        let mut requests = Vec::new();
        for tick in 0..400_u64 {
            let now_us = tick * 100_000;
            for (at_s, node) in &restarts {
                if at_s * 10 == tick && tick > 0 {
                    budgets[*node] = RetryBudget::new(POLICY, now_us);
                }
            }
            let (mut spent, mut request_count) = (0_u32, 0_u32);
            for (budget, load) in budgets.iter_mut().zip(&loads) {
                for _ in 0..load / 4 {
                    budget.record_request(&service, now_us);
                    request_count += 1;
                }
                while budget.spend(&service, now_us, NODES) {
                    spent += 1;
                }
            }
            extra.push(spent);
            requests.push(request_count);
        }
        for end in 100..400 {
            let window = end - 100..end;
            let spent: u32 = extra[window.clone()].iter().sum();
            let before = requests[end.saturating_sub(200)..end - 100].iter().sum::<u32>();
            let request_count = requests[window].iter().sum::<u32>().max(before);
            // Each restarted process may spend a quarter of a node's share again.
            let restart_share = restarts.len() as f64 * 0.25 * 0.8 * POLICY.fixed / NODES as f64;
            let restart_requests =
                restarts.len() as f64 * f64::from(*loads.iter().max().unwrap_or(&0)) * 5.0;
            let max_extra = POLICY.ratio * f64::from(request_count)
                + POLICY.fixed
                + restart_share
                + restart_requests;
            prop_assert!(f64::from(spent) <= max_extra + 1.0, "{spent} of {max_extra} at {end}");
        }
    }
}

/// Guards against overspending when all processes restart at once, right after every node has spent
/// its whole share.
#[test]
fn all_nodes_restart() {
    let service = EcoString::from("s");
    let mut spent = 0;
    for _ in 0..NODES {
        let mut old = RetryBudget::new(POLICY, 0);
        while old.spend(&service, 20_000_000, NODES) {
            spent += 1;
        }
        let mut new = RetryBudget::new(POLICY, 21_000_000);
        while new.spend(&service, 21_000_000, NODES) {
            spent += 1;
        }
    }
    assert!(f64::from(spent) <= POLICY.fixed, "{spent} without one request");
}

#[test]
fn grows_with_requests() {
    let service = EcoString::from("s");
    let mut budget = RetryBudget::new(POLICY, 0);
    for _ in 0..1_000 {
        budget.record_request(&service, 20_000_000);
    }
    let mut spent = 0;
    while budget.spend(&service, 20_000_000, NODES) {
        spent += 1;
    }
    assert_eq!(spent, 205, "a fifth of the requests, plus a node's share of the fixed part");
}

/// Guards against queries that fail for lack of retries while most of the budget is unspent.
/// Callers are sent to eight of 74 nodes, and replicas reset connections, so that these eight must
/// retry. If each node has a 74th of the fixed budget, nine tenths of it stay unused.
#[test]
fn few_ingress_nodes() {
    let service = EcoString::from("s");
    let spend_all = |node: usize| {
        let mut budget = RetryBudget::new(POLICY, 0);
        let shares = budget_shares(74, 8, node < 8);
        std::iter::from_fn(|| budget.spend(&service, 20_000_000, shares).then_some(())).count()
    };
    let by_ingress_nodes: usize = (0..8).map(spend_all).sum();
    let all: usize = (0..74).map(spend_all).sum();
    assert!(
        by_ingress_nodes as f64 > 0.5 * POLICY.fixed,
        "{by_ingress_nodes} by the ingress nodes"
    );
    assert!(all as f64 <= POLICY.fixed, "{all} without one request");
}

/// Guards against overspending when the ingress nodes change. Eight nodes fail right after they
/// spent their whole shares, and eight others take over: together they stay within the budget.
#[test]
fn ingress_nodes_change() {
    let service = EcoString::from("s");
    let mut spent = 0;
    for is_old in [true, false] {
        for _ in 0..8 {
            let mut budget = RetryBudget::new(POLICY, 0);
            if !is_old {
                budget.restart_ramp(20_000_000);
            }
            while budget.spend(&service, 20_000_000, budget_shares(74, 8, true)) {
                spent += 1;
            }
        }
    }
    assert!(f64::from(spent) <= POLICY.fixed, "{spent} without one request");
}

/// If callers are sent to all nodes, each has the same share.
#[test]
fn all_nodes_ingress() {
    assert_eq!(budget_shares(8, 8, true), 8);
    assert_eq!(budget_shares(7, 8, true), 7);
}
