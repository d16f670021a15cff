//! The budget for sends beyond the first, shared by all nodes without messages.

use std::collections::VecDeque;

use indexmap::IndexMap;

use ecow::EcoString;

/// In how many steps the window slides.
const SLOTS_PER_WINDOW: u64 = 10;

/// The part of the fixed budget that running nodes share out.
///
/// What is left is for nodes that have just started: the life before may have spent its share in
/// the same window.
const FIXED_BUDGET_FRACTION: f64 = 0.8;

/// The part of its share that a node has at its start; it has the whole after one window.
///
/// If all nodes start again at once, they spend a quarter of 0.8 beside the 0.8 that was spent
/// before: the whole budget, and no more.
const INITIAL_SHARE_FRACTION: f64 = 0.25;

/// One in so many shares of the fixed budget is for the nodes that callers are not sent to.
const NON_INGRESS_SHARE_DIVISOR: usize = 8;

/// In how many alike shares the fixed budget is counted for a node, if callers are sent to `senders`
/// of `nodes` nodes and it is one of these (`is_sender`) or not.
///
/// The senders get all but an eighth of it. Guards against a budget that nobody spends: where few
/// of many nodes serve nearly all queries, equal shares leave these without the retries that the
/// rest could pay for.
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

/// What all nodes together may send beyond the first send of each request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudgetPolicy {
    /// Extra sends as a fraction of the requests in a window.
    pub ratio: f64,
    /// Extra sends a window besides, for all nodes together.
    pub fixed: f64,
    /// The window, in microseconds.
    pub window_us: u64,
}

/// This node's part of the budget, by service.
///
/// The ratio applies to the requests that this node received itself, so the sum over all nodes
/// keeps it without messages. The fixed part is divided into shares (`budget_shares`).
#[derive(Debug, Clone)]
pub struct RetryBudget {
    policy: RetryBudgetPolicy,
    ramp_start_us: u64,
    services: IndexMap<EcoString, Usage>,
}

#[derive(Debug, Clone, Default)]
struct Usage {
    /// Requests and extra sends of the slots in the window, oldest first, by slot number.
    slots: VecDeque<(u64, u32, u32)>,
}

impl RetryBudget {
    /// A budget that nothing was spent of.
    pub fn new(policy: RetryBudgetPolicy, now_us: u64) -> Self {
        Self { policy, ramp_start_us: now_us, services: IndexMap::new() }
    }

    /// Takes a changed policy in; what was spent stays counted.
    pub fn set_policy(&mut self, policy: RetryBudgetPolicy) {
        if policy.window_us != self.policy.window_us {
            self.services.clear();
        }
        self.policy = policy;
    }

    /// Notes that the node gets a larger share from now on, which it has after one window, as at a
    /// start: those who had it before may have spent it.
    pub fn restart_ramp(&mut self, now_us: u64) {
        self.ramp_start_us = now_us;
    }

    /// Counts a request for a service.
    pub fn record_request(&mut self, service: &EcoString, now_us: u64) {
        self.current_slot(service, now_us).1 += 1;
    }

    /// Takes one extra send to a service, if the budget allows; the fixed part has `shares`.
    pub fn spend(&mut self, service: &EcoString, now_us: u64, shares: usize) -> bool {
        let policy = self.policy;
        let age = now_us.saturating_sub(self.ramp_start_us) as f64 / policy.window_us as f64;
        let share = policy.fixed * FIXED_BUDGET_FRACTION / shares.max(1) as f64;
        let fixed =
            share * (INITIAL_SHARE_FRACTION + (1.0 - INITIAL_SHARE_FRACTION) * age.min(1.0));
        let slot = self.current_slot(service, now_us).0;
        let usage = &mut self.services[service];
        let requests: u32 = usage.slots.iter().map(|slot| slot.1).sum();
        let extra: u32 = usage.slots.iter().map(|slot| slot.2).sum();
        if f64::from(extra + 1) > policy.ratio * f64::from(requests) + fixed {
            return false;
        }
        if let Some(last) = usage.slots.back_mut().filter(|last| last.0 == slot) {
            last.2 += 1;
        }
        true
    }

    /// The current slot of a service's window, with what has left the window forgotten.
    fn current_slot(&mut self, service: &EcoString, now_us: u64) -> &mut (u64, u32, u32) {
        let number = now_us * SLOTS_PER_WINDOW / self.policy.window_us;
        let usage = self.services.entry(service.clone()).or_default();
        while usage.slots.front().is_some_and(|slot| slot.0 + SLOTS_PER_WINDOW < number) {
            usage.slots.pop_front();
        }
        if usage.slots.back().is_none_or(|last| last.0 < number) {
            usage.slots.push_back((number, 0, 0));
        }
        usage.slots.back_mut().expect("a slot was pushed if there was none")
    }
}
