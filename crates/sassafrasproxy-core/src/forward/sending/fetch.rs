//! Getting one answer of one service: first send, hedge and retries.

use ecow::EcoString;

use crate::{RetryBudget, RouteClass, SendId, UpstreamPool};

/// What bounds one fetch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FetchPlan {
    /// The usual time of such a request, in microseconds.
    pub expected_us: u64,
    /// How long after a send a second one may start, in microseconds.
    pub hedge_after_us: u64,
    /// How many replicas it may be sent to; at least 1.
    pub max_attempts: u32,
    /// Whether it may run more than once.
    pub is_idempotent: bool,
    /// In how many shares the fixed budget for extra sends is counted.
    pub budget_shares: usize,
    /// In which class of routes its sends are counted in the trial of a version.
    pub route_class: RouteClass,
}

/// Why a send is made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendCause {
    /// It is the first.
    First,
    /// The one before it takes longer than usual.
    Hedge,
    /// The one before it failed.
    Retry,
}

/// What to do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FetchStep {
    /// Send to a replica; the send is noted in the pool already.
    Send {
        /// The replica.
        replica: EcoString,
        /// The send.
        send: SendId,
        /// Why.
        cause: SendCause,
    },
    /// Wait for a send to end, or until a time if there is one.
    Wait {
        /// The time.
        until_us: Option<u64>,
    },
    /// Nothing more can be done.
    Failed(FetchFailure),
}

/// Why a fetch failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FetchFailure {
    /// What stopped it.
    pub reason: FetchFailureReason,
    /// Whether a replica may have run the request.
    pub may_have_run: bool,
}

/// What stopped a fetch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FetchFailureReason {
    /// No replica of the service can be used now.
    NoReplica,
    /// As many replicas were asked as may be.
    AllTried,
    /// The budget for extra sends is spent.
    NoBudget,
    /// It may have run, and must not run again.
    NotRepeatable,
    /// The replicas are slow, and other requests need them more.
    TooSlow,
}

/// How a send of a fetch ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendResult {
    /// With an answer that ends the fetch.
    Answered,
    /// With the replica's word that it did not run the request.
    NotRun,
    /// With a failure after which the request may have run.
    MayHaveRun,
    /// Before anything was sent.
    Unsent,
}

/// The state of one fetch.
#[derive(Debug, Clone)]
pub struct Fetch {
    service: EcoString,
    tried: Vec<EcoString>,
    in_flight: u32,
    /// Sends that reached a replica, or may have.
    attempts: u32,
    may_have_run: bool,
    last_sent_us: u64,
    is_hedging_over: bool,
}

impl Fetch {
    /// A fetch that has sent nothing.
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

    /// The service.
    pub fn service(&self) -> &EcoString {
        &self.service
    }

    /// The replica that was asked last; empty if none was.
    pub fn last_replica(&self) -> &str {
        self.tried.last().map_or("", EcoString::as_str)
    }

    /// Whether a replica may have run the request, or may be running it.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run || self.in_flight > 0
    }

    /// What to do next.
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
        let hedge_us = self.last_sent_us + plan.hedge_after_us;
        if now_us < hedge_us {
            return FetchStep::Wait { until_us: Some(hedge_us) };
        }
        self.is_hedging_over = true;
        let Some(replica) = pool.pick(&self.service, now_us, plan.expected_us, &self.tried) else {
            return FetchStep::Wait { until_us: None };
        };
        if !budget.spend(&self.service, now_us, plan.budget_shares) {
            return FetchStep::Wait { until_us: None };
        }
        self.send(now_us, plan, pool, replica, SendCause::Hedge)
    }

    /// Takes the end of a send in.
    pub fn record_result(&mut self, result: SendResult) {
        self.in_flight = self.in_flight.saturating_sub(1);
        match result {
            SendResult::Answered | SendResult::MayHaveRun => self.may_have_run = true,
            SendResult::NotRun => {}
            SendResult::Unsent => self.attempts = self.attempts.saturating_sub(1),
        }
    }

    fn send_or_fail(
        &mut self,
        now_us: u64,
        plan: &FetchPlan,
        pool: &mut UpstreamPool,
        budget: &mut RetryBudget,
    ) -> FetchStep {
        let failed =
            |end| FetchStep::Failed(FetchFailure { reason: end, may_have_run: self.may_have_run });
        if self.may_have_run && !plan.is_idempotent {
            return failed(FetchFailureReason::NotRepeatable);
        }
        if self.attempts >= plan.max_attempts {
            return failed(FetchFailureReason::AllTried);
        }
        let Some(replica) = pool.pick(&self.service, now_us, plan.expected_us, &self.tried) else {
            return failed(FetchFailureReason::NoReplica);
        };
        if self.attempts == 0 {
            return self.send(now_us, plan, pool, replica, SendCause::First);
        }
        if !budget.spend(&self.service, now_us, plan.budget_shares) {
            return failed(FetchFailureReason::NoBudget);
        }
        self.send(now_us, plan, pool, replica, SendCause::Retry)
    }

    fn send(
        &mut self,
        now_us: u64,
        plan: &FetchPlan,
        pool: &mut UpstreamPool,
        replica: EcoString,
        cause: SendCause,
    ) -> FetchStep {
        let send = pool.start_send(&replica, now_us, plan.expected_us, plan.hedge_after_us);
        let Some(send) = send else {
            let failure = FetchFailure {
                reason: FetchFailureReason::NoReplica,
                may_have_run: self.may_have_run,
            };
            return FetchStep::Failed(failure);
        };
        pool.count_in_trial(&replica, send, cause == SendCause::First, plan.route_class);
        self.tried.push(replica.clone());
        self.in_flight += 1;
        self.attempts += 1;
        self.last_sent_us = now_us;
        FetchStep::Send { replica, send, cause }
    }
}
