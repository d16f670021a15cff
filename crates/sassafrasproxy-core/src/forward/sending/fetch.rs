//! Gets one answer from one service with a first attempt, a hedge and retries.

use ecow::EcoString;

use crate::{ExtraSends, RetryBudget, RouteClass, SendId, UpstreamPool};

/// The limits of one fetch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FetchPlan {
    /// The expected time of an attempt, in microseconds.
    pub expected_us: u64,
    /// The time after an attempt at which a hedge may start, in microseconds.
    pub hedge_after_us: u64,
    /// The maximum number of attempts, each on a different replica; at least 1.
    pub max_attempts: u32,
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
    /// The number of shares into which the fixed part of the retry budget is divided; see
    /// `budget_shares`.
    pub budget_shares: usize,
    /// The hedges and retries that the load of the node allows at this moment.
    pub extra_sends: ExtraSends,
    /// The route class under which the attempts are counted in the trial of a version.
    pub route_class: RouteClass,
}

/// The reason for an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendCause {
    /// It is the first attempt.
    First,
    /// The previous attempt takes longer than usual.
    Hedge,
    /// The previous attempt failed.
    Retry,
}

/// The next step of a fetch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FetchStep {
    /// Send the request to a replica; the pool has already recorded the attempt.
    Send {
        /// The replica.
        replica: EcoString,
        /// The attempt's id in the pool.
        send_id: SendId,
        /// The reason for the attempt.
        cause: SendCause,
    },
    /// Wait for an attempt to end, at most until the given time.
    Wait {
        /// The time in microseconds; `None` for no limit.
        until_us: Option<u64>,
    },
    /// The fetch failed.
    Failed(FetchFailure),
}

/// The failure of a fetch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FetchFailure {
    /// The reason for the failure.
    pub reason: FetchFailureReason,
    /// Whether a replica may have run the request.
    pub may_have_run: bool,
}

/// The reason for which a fetch failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FetchFailureReason {
    /// No replica of the service is usable now.
    NoReplica,
    /// The maximum number of attempts was made.
    AllTried,
    /// The retry budget is spent.
    NoBudget,
    /// The node has no room for retries.
    NodeBusy,
    /// The request may have run, and is not idempotent.
    NotRepeatable,
    /// The replicas are slow, and other requests need them more.
    TooSlow,
}

/// The result of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendResult {
    /// The replica sent an answer that ends the fetch.
    Answered,
    /// The replica reported that it did not run the request.
    NotRun,
    /// The attempt failed, and the replica may have run the request.
    MayHaveRun,
    /// The attempt ended before anything was sent.
    Unsent,
}

/// The state of one fetch: a request to one service.
#[derive(Debug, Clone)]
pub struct Fetch {
    service: EcoString,
    tried: Vec<EcoString>,
    in_flight: u32,
    /// The number of attempts, without those that ended before anything was sent.
    attempts: u32,
    may_have_run: bool,
    last_sent_us: u64,
    /// Whether the fetch has used its only opportunity to hedge, even if no hedge was sent.
    is_hedging_over: bool,
}

impl Fetch {
    /// Creates a fetch that has sent nothing.
    pub fn new(service: EcoString) -> Self {
        Self {
            service,
            tried: Vec::new(),
            in_flight: 0,
            attempts: 0,
            may_have_run: false,
            last_sent_us: 0,
            is_hedging_over: false,
        }
    }

    /// Returns the service that the request is sent to.
    pub fn service(&self) -> &EcoString {
        &self.service
    }

    /// Returns the replica of the last attempt; empty if there was none.
    pub fn last_replica(&self) -> &str {
        self.tried.last().map_or("", EcoString::as_str)
    }

    /// Returns whether a replica may have run the request or may be running it.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run || self.in_flight > 0
    }

    /// Returns the next step, and starts the attempt if the step is to send.
    pub fn next(
        &mut self,
        now_us: u64,
        plan: &FetchPlan,
        pool: &mut UpstreamPool,
        budget: &mut RetryBudget,
    ) -> FetchStep {
        if self.in_flight == 0 {
            return self.send_or_fail(now_us, plan, pool, budget);
        }
        if !plan.is_idempotent || self.is_hedging_over || self.attempts >= plan.max_attempts {
            return FetchStep::Wait { until_us: None };
        }
        let hedge_at_us = self.last_sent_us + plan.hedge_after_us;
        if now_us < hedge_at_us {
            return FetchStep::Wait { until_us: Some(hedge_at_us) };
        }
        self.is_hedging_over = true;
        if plan.extra_sends != ExtraSends::All {
            return FetchStep::Wait { until_us: None };
        }
        let Some(replica) = self.pick(now_us, plan, pool) else {
            return FetchStep::Wait { until_us: None };
        };
        if !budget.spend_hedge(&self.service, now_us, plan.budget_shares) {
            return FetchStep::Wait { until_us: None };
        }
        self.send(now_us, plan, pool, replica, SendCause::Hedge)
    }

    /// Records the result of an attempt.
    pub fn record_result(&mut self, result: SendResult) {
        self.in_flight = self.in_flight.saturating_sub(1);
        match result {
            SendResult::Answered | SendResult::MayHaveRun => self.may_have_run = true,
            SendResult::NotRun => {}
            SendResult::Unsent => self.attempts = self.attempts.saturating_sub(1),
        }
    }

    /// Records that the relay through which an attempt was made has failed.
    ///
    /// This says nothing of the replica, which may be picked again.
    pub fn record_relay_failure(&mut self, replica: &str, result: SendResult) {
        self.tried.retain(|tried| tried != replica);
        self.record_result(result);
    }

    fn send_or_fail(
        &mut self,
        now_us: u64,
        plan: &FetchPlan,
        pool: &mut UpstreamPool,
        budget: &mut RetryBudget,
    ) -> FetchStep {
        let failed =
            |reason| FetchStep::Failed(FetchFailure { reason, may_have_run: self.may_have_run });
        if self.may_have_run && !plan.is_idempotent {
            return failed(FetchFailureReason::NotRepeatable);
        }
        if self.attempts >= plan.max_attempts {
            return failed(FetchFailureReason::AllTried);
        }
        let Some(replica) = self.pick(now_us, plan, pool) else {
            return failed(FetchFailureReason::NoReplica);
        };
        if self.attempts == 0 {
            return self.send(now_us, plan, pool, replica, SendCause::First);
        }
        if plan.extra_sends == ExtraSends::None {
            return failed(FetchFailureReason::NodeBusy);
        }
        if !budget.spend(&self.service, now_us, plan.budget_shares) {
            return failed(FetchFailureReason::NoBudget);
        }
        self.send(now_us, plan, pool, replica, SendCause::Retry)
    }

    /// Picks the replica of the next attempt.
    fn pick(&self, now_us: u64, plan: &FetchPlan, pool: &UpstreamPool) -> Option<EcoString> {
        let is_last = !plan.is_idempotent || self.attempts + 1 >= plan.max_attempts;
        let (service, expected_us, tried) = (&self.service, plan.expected_us, &self.tried);
        if self.attempts == 0
            && tried.is_empty()
            && let Some(replica) = pool.pick_on_trial(service, plan.route_class, now_us)
        {
            return Some(replica);
        }
        if is_last {
            pool.pick_for_last_send(service, now_us, expected_us, tried)
        } else {
            pool.pick(service, now_us, expected_us, tried)
        }
    }

    fn send(
        &mut self,
        now_us: u64,
        plan: &FetchPlan,
        pool: &mut UpstreamPool,
        replica: EcoString,
        cause: SendCause,
    ) -> FetchStep {
        let send_id = pool.start_send(&replica, now_us, plan.expected_us, plan.hedge_after_us);
        let Some(send_id) = send_id else {
            let failure = FetchFailure {
                reason: FetchFailureReason::NoReplica,
                may_have_run: self.may_have_run,
            };
            return FetchStep::Failed(failure);
        };
        pool.count_in_trial(&replica, send_id, cause == SendCause::First, plan.route_class);
        self.tried.push(replica.clone());
        self.in_flight += 1;
        self.attempts += 1;
        self.last_sent_us = now_us;
        FetchStep::Send { replica, send_id, cause }
    }
}
