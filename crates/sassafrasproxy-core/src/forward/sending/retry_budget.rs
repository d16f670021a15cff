//! Limits the attempts beyond the first (hedges and retries) of all nodes together, without
//! messages between them.

use std::collections::VecDeque;

use indexmap::IndexMap;

use ecow::EcoString;

/// The number of buckets in a window, which slides by one bucket at a time.
const BUCKETS_PER_WINDOW: u64 = 10;

/// The fraction of the fixed budget that is divided into shares.
///
/// The rest is reserved for nodes that have just restarted, whose previous process may have spent
/// its share in the same window.
const FIXED_BUDGET_FRACTION: f64 = 0.8;

/// The fraction of its share that a node has when it starts; it has the whole share after one
/// window.
///
/// If all nodes restart at once, they spend a quarter of 0.8 in addition to the 0.8 that was spent
/// before: the whole budget, but no more.
const INITIAL_SHARE_FRACTION: f64 = 0.25;

/// The fraction of the budget up to which hedges may spend it.
const HEDGE_FRACTION: f64 = 0.75;

/// The divisor of the fixed budget that gives the part of all nodes that are not ingress nodes.
const NON_INGRESS_SHARE_DIVISOR: usize = 8;

/// Returns the number of equal shares into which the fixed budget is divided for a node.
///
/// Callers are sent to `ingress_nodes` of `nodes` nodes; `is_ingress` is whether the node is one of
/// these. The ingress nodes get all but an eighth of the budget. Where few of many nodes serve
/// nearly all queries, equal shares would leave these nodes without retries while the shares of the
/// others stay unspent.
pub fn budget_shares(nodes: usize, ingress_nodes: usize, is_ingress: bool) -> usize {
    let others = nodes.saturating_sub(ingress_nodes);
    match (others, is_ingress) {
        (0, _) => nodes,
        (_, true) => {
            (ingress_nodes * NON_INGRESS_SHARE_DIVISOR).div_ceil(NON_INGRESS_SHARE_DIVISOR - 1)
        }
        (_, false) => others * NON_INGRESS_SHARE_DIVISOR,
    }
}

/// The limits for the attempts of all nodes beyond the first attempt of each request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudgetPolicy {
    /// The number of extra attempts for each request in a window.
    pub ratio: f64,
    /// The number of additional extra attempts in each window, for all nodes together.
    pub fixed: f64,
    /// The length of the window, in microseconds.
    pub window_us: u64,
}

/// This node's part of the retry budget, by service.
///
/// The ratio applies to the requests that this node itself received, so that the sum over all nodes
/// stays within it without messages. The fixed part is divided into shares (`budget_shares`).
#[derive(Debug, Clone)]
pub struct RetryBudget {
    policy: RetryBudgetPolicy,
    /// The time since which this node's share of the fixed budget grows to its full size.
    ramp_start_us: u64,
    services: IndexMap<EcoString, Usage>,
}

/// The use of one service's budget.
#[derive(Debug, Clone, Default)]
struct Usage {
    /// The buckets of the window, oldest first: bucket number, requests and extra attempts.
    buckets: VecDeque<(u64, u32, u32)>,
}

impl RetryBudget {
    /// Creates a budget from which nothing has been spent.
    pub fn new(policy: RetryBudgetPolicy, now_us: u64) -> Self {
        Self { policy, ramp_start_us: now_us, services: IndexMap::new() }
    }

    /// Changes the policy.
    ///
    /// Earlier requests and attempts stay counted, unless the length of the window changes.
    pub fn set_policy(&mut self, policy: RetryBudgetPolicy) {
        if policy.window_us != self.policy.window_us {
            self.services.clear();
        }
        self.policy = policy;
    }

    /// Restarts the growth of this node's share, as when the node starts.
    ///
    /// Called when the node becomes entitled to a larger share, because the nodes that had it
    /// before may have spent it in the same window.
    pub fn restart_ramp(&mut self, now_us: u64) {
        self.ramp_start_us = now_us;
    }

    /// Records a request to a service.
    pub fn record_request(&mut self, service: &EcoString, now_us: u64) {
        self.current_bucket(service, now_us).1 += 1;
    }

    /// Spends one extra attempt on a service, and returns whether the budget allowed it.
    ///
    /// `shares` is the number of shares of the fixed part; see `budget_shares`.
    pub fn spend(&mut self, service: &EcoString, now_us: u64, shares: usize) -> bool {
        self.spend_within(service, now_us, shares, 1.0)
    }

    /// Spends a hedge on a service as [`spend`](Self::spend) does, but leaves a part of the budget to
    /// retries.
    ///
    /// Answers replicas that lose answers while the budget is short: a late attempt usually still
    /// succeeds, but a failed part is missing unless it is retried.
    pub fn spend_hedge(&mut self, service: &EcoString, now_us: u64, shares: usize) -> bool {
        self.spend_within(service, now_us, shares, HEDGE_FRACTION)
    }

    /// Spends one extra attempt, if no more than `fraction` of the budget is then spent.
    fn spend_within(
        &mut self,
        service: &EcoString,
        now_us: u64,
        shares: usize,
        fraction: f64,
    ) -> bool {
        let policy = self.policy;
        let age_windows =
            now_us.saturating_sub(self.ramp_start_us) as f64 / policy.window_us as f64;
        let share = policy.fixed * FIXED_BUDGET_FRACTION / shares.max(1) as f64;
        let fixed = share
            * (INITIAL_SHARE_FRACTION + (1.0 - INITIAL_SHARE_FRACTION) * age_windows.min(1.0));
        let number = self.current_bucket(service, now_us).0;
        let usage = &mut self.services[service];
        let requests: u32 = usage.buckets.iter().map(|bucket| bucket.1).sum();
        let extra: u32 = usage.buckets.iter().map(|bucket| bucket.2).sum();
        let allowance = policy.ratio * f64::from(requests) + fixed;
        if f64::from(extra + 1) > allowance * fraction {
            return false;
        }
        if let Some(last) = usage.buckets.back_mut().filter(|last| last.0 == number) {
            last.2 += 1;
        }
        true
    }

    /// Returns the current bucket of a service's window, and drops the buckets that have left it.
    fn current_bucket(&mut self, service: &EcoString, now_us: u64) -> &mut (u64, u32, u32) {
        let number = now_us * BUCKETS_PER_WINDOW / self.policy.window_us;
        let usage = self.services.entry(service.clone()).or_default();
        while usage.buckets.front().is_some_and(|bucket| bucket.0 + BUCKETS_PER_WINDOW < number) {
            usage.buckets.pop_front();
        }
        if usage.buckets.back().is_none_or(|last| last.0 < number) {
            usage.buckets.push_back((number, 0, 0));
        }
        usage.buckets.back_mut().expect("a bucket was pushed if there was none")
    }
}
