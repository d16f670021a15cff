//! The budget for extra sends that all nodes keep together.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use ecow::EcoString;
use proptest::prelude::*;
use sassafrasproxy_core::{RetryBudget, RetryBudgetPolicy, budget_shares};

const POLICY: RetryBudgetPolicy =
    RetryBudgetPolicy { ratio: 0.2, fixed: 56.0, window_us: 10_000_000 };
const NODES: usize = 8;

proptest! {
    #![proptest_config(ProptestConfig::with_cases(40))]

    /// Replicas fail all day, every node retries as much as it may, and processes are killed and
    /// start again without memory of what they spent. No ten seconds may see more extra sends
    /// than a fifth of the requests and 56 more, over all nodes.
    #[test]
    fn fleet_stays_within_budget(
        loads in prop::collection::vec(0_u32..20, NODES),
        restarts in prop::collection::vec((0_u64..40, 0..NODES), 0..6),
    ) {
        let service = EcoString::from("s");
        let mut budgets: Vec<RetryBudget> =
            (0..NODES).map(|_| RetryBudget::new(POLICY, 0)).collect();
        // What was sent and asked in each tenth of a second.
        let mut extra = Vec::new();
        let mut requests = Vec::new();
        for tick in 0..400_u64 {
            let now_us = tick * 100_000;
            for (at_s, node) in &restarts {
                if at_s * 10 == tick && tick > 0 {
                    budgets[*node] = RetryBudget::new(POLICY, now_us);
                }
            }
            let (mut spent, mut asked) = (0_u32, 0_u32);
            for (budget, load) in budgets.iter_mut().zip(&loads) {
                for _ in 0..load / 4 {
                    budget.record_request(&service, now_us);
                    asked += 1;
                }
                while budget.spend(&service, now_us, NODES) {
                    spent += 1;
                }
            }
            extra.push(spent);
            requests.push(asked);
        }
        for end in 100..400 {
            let window = end - 100..end;
            let spent: u32 = extra[window.clone()].iter().sum();
            let before = requests[end.saturating_sub(200)..end - 100].iter().sum::<u32>();
            let asked = requests[window].iter().sum::<u32>().max(before);
            // Each life after the first may have a quarter of a node's share of its own.
            let lives = restarts.len() as f64 * 0.25 * 0.8 * POLICY.fixed / NODES as f64;
            let ratio = restarts.len() as f64 * f64::from(*loads.iter().max().unwrap_or(&0)) * 5.0;
            let most = POLICY.ratio * f64::from(asked) + POLICY.fixed + lives + ratio;
            prop_assert!(f64::from(spent) <= most + 1.0, "{spent} of {most} at {end}");
        }
    }
}

/// All processes are killed at once, right after every node has spent all it had.
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
    assert_eq!(spent, 205, "a fifth, and a node's share of the fixed part");
}

/// Callers are sent to eight of 74 nodes. Replicas reset answers, and these eight have to send again;
/// as each had a 74th of the fixed budget, their queries were lost while nine tenths of it lay unused.
#[test]
fn few_ingress_nodes() {
    let service = EcoString::from("s");
    let spend_all = |node: usize| {
        let mut budget = RetryBudget::new(POLICY, 0);
        let shares = budget_shares(74, 8, node < 8);
        std::iter::from_fn(|| budget.spend(&service, 20_000_000, shares).then_some(())).count()
    };
    let senders: usize = (0..8).map(spend_all).sum();
    let all: usize = (0..74).map(spend_all).sum();
    assert!(senders as f64 > 0.5 * POLICY.fixed, "{senders} by the senders");
    assert!(all as f64 <= POLICY.fixed, "{all} without one request");
}

/// The eight nodes that callers were sent to are lost right after they spent all they had, and eight
/// others take over: both together stay within the budget.
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

/// Callers are sent to all nodes: each has the same share.
#[test]
fn all_nodes_ingress() {
    assert_eq!(budget_shares(8, 8, true), 8);
    assert_eq!(budget_shares(7, 8, true), 7);
}
