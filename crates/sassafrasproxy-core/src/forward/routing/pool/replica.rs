//! Tracks the sends to one replica and computes the cost of the next one.

use std::sync::Arc;

use sassafrasproxy_wire::{ReplicaEntry, RoutedService};

use super::super::decaying_mean::DecayingMean;
use super::super::pause_estimator::PauseEstimator;
use super::super::slot_budget::SlotBudget;
use super::work_time::{WorkTimeEstimate, work_time_factor};
use super::{PoolSettings, ReportedLoad, SendId, SendOutcome};
use crate::{RouteClass, TrialOutcome};

/// The additional cost of a send to another failure domain, in multiples of the usual time; the
/// longer time until its answer is already part of the slowness. A replica in this node's failure
/// domain is passed over only for one that is clearly faster.
const CROSS_DOMAIN_COST_FACTOR: f64 = 1.5;

/// The cost of a replica that refused all its recent requests, in multiples of the usual time. A
/// refusal costs a later second send and a part of the budget for extra sends.
const REFUSAL_COST_FACTOR: f64 = 4.0;

/// The cost of a replica whose recent requests all failed, in multiples of the usual time; limited
/// by [`MAX_FAILURE_COST_FACTOR`].
///
/// A single failure must outweigh [`CROSS_DOMAIN_COST_FACTOR`]: where a replica gets a few requests
/// a second from this node, learning from the third or fourth failure takes seconds.
const FAILURE_COST_FACTOR: f64 = 8.0;

/// The maximum cost of failures before another send may follow, in multiples of the usual time. A
/// replica that loses some of its answers is preferred to one that is many times slower.
const MAX_FAILURE_COST_FACTOR: f64 = 3.0;

/// The cost of a replica whose recent requests all failed, in multiples of the usual time, for a
/// request's last send: a failure then costs the answer, and waiting until the latency goal does
/// not.
const LAST_FAILURE_COST_FACTOR: f64 = 30.0;

/// The weight of one answer in a replica's slowness.
const SLOWNESS_WEIGHT: f64 = 0.25;

/// The maximum slowness that one answer counts as. Every replica has an occasional straggler, and
/// one must not move all requests to the other replica.
const MAX_SLOWNESS_SAMPLE: f64 = 8.0;

/// The weight of one answer in a replica's refusal rate.
const REFUSAL_WEIGHT: f64 = 0.3;

/// The weight of one failed request in a replica's failure rate; more than that of an answer, as
/// healthy replicas rarely fail.
const FAILURE_WEIGHT: f64 = 0.5;

/// The weight of one answered request in a replica's failure rate.
const SUCCESS_WEIGHT: f64 = 0.2;

/// The time after which a replica's failure rate has halved without requests, in microseconds.
///
/// A replica that is avoided gives no new samples. If its rate decayed within a second, each node
/// would lose a request to it every second.
const FAILURE_HALF_LIFE_US: f64 = 2_000_000.0;

/// The time for which a replica's reported load counts, in multiples of a request's run time there.
const LOAD_FRESHNESS_FACTOR: f64 = 4.0;

/// The backoff after a replica could not be reached or did not answer, in microseconds; doubles
/// with each consecutive failure.
const MIN_BACKOFF_US: u64 = 100_000;

/// The maximum backoff, in microseconds; a replica that has recovered receives requests again
/// within this time.
const MAX_BACKOFF_US: u64 = 1_600_000;

/// The state of one replica as observed by this node, and this node's limits for it.
#[derive(Debug)]
pub struct ReplicaState {
    pub entry: Arc<ReplicaEntry>,
    pub is_eligible: bool,
    /// Whether the replica receives only the first sends that the trial of its version permits.
    pub is_on_trial: bool,
    pub is_same_domain: bool,
    /// The maximum number of connections that the replica accepts from all nodes together.
    pub max_connections: usize,
    /// The maximum number of this node's sends in flight; at least 1.
    pub max_in_flight: usize,
    pub in_flight: Vec<InFlightSend>,
    pub slowness: DecayingMean,
    /// The rate of requests that the replica refused without running them.
    pub refusal_rate: DecayingMean,
    /// The rate of requests that the replica may have run without a usable answer.
    pub failure_rate: DecayingMean,
    /// The number of consecutive sends that timed out or did not reach the replica.
    pub consecutive_failures: u32,
    pub backoff_until_us: u64,
    /// When anything last arrived from the replica.
    pub last_activity_us: u64,
    /// The number of running and queued requests that the replica last reported.
    pub reported_requests: u32,
    pub load_reported_us: u64,
    pub work_time: WorkTimeEstimate,
    pub cold_until_us: u64,
    /// The rate at which this node earns tokens for sends while the replica is cold; `None` if
    /// there is no rate limit.
    pub cold_rate_per_s: Option<f64>,
    pub cold_tokens: f64,
    pub cold_tokens_updated_us: u64,
    pub slot_budget: SlotBudget,
}

/// A send in flight.
#[derive(Debug)]
pub struct InFlightSend {
    pub id: SendId,
    pub sent_us: u64,
    pub expected_us: u64,
    /// The time from which the send counts as stalled, in microseconds.
    pub due_us: u64,
    /// The class of the send's route, if the send counts in the trial of a version.
    pub trial_class: Option<RouteClass>,
}

/// What the failure of a send costs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailureCost {
    /// A second send, which comes later and spends a part of the budget.
    Retry,
    /// The answer, as no other send may follow.
    Answer,
}

impl ReplicaState {
    pub fn new(entry: Arc<ReplicaEntry>, settings: &PoolSettings) -> Self {
        Self {
            is_same_domain: entry.failure_domain == settings.failure_domain,
            entry,
            is_eligible: true,
            is_on_trial: false,
            max_connections: 1,
            max_in_flight: 1,
            in_flight: Vec::new(),
            slowness: DecayingMean::new(1.0),
            refusal_rate: DecayingMean::new(0.0),
            failure_rate: DecayingMean::with_half_life(0.0, FAILURE_HALF_LIFE_US),
            consecutive_failures: 0,
            backoff_until_us: 0,
            last_activity_us: 0,
            reported_requests: 0,
            load_reported_us: 0,
            work_time: WorkTimeEstimate::new(),
            cold_until_us: 0,
            cold_rate_per_s: None,
            cold_tokens: 0.0,
            cold_tokens_updated_us: 0,
            slot_budget: SlotBudget::new(),
        }
    }

    /// Sets this node's share of the limits that hold for all nodes together.
    pub fn update_limits(
        &mut self,
        service: Option<&RoutedService>,
        nodes: usize,
        settings: &PoolSettings,
    ) {
        let connections = service.map_or(1, |service| service.max_connections as usize);
        self.max_connections = connections;
        self.max_in_flight = (connections / nodes).max(1);
        self.slot_budget.set_slots(f64::from(self.entry.slots) / nodes as f64);
        let rate = service.and_then(|service| service.warmup_per_s);
        let bound = |rate: f64| rate * settings.warmup_factor + settings.warmup_slack;
        // In one second, a node can use one saved token and what it earns: together its share.
        let share = rate.map(|rate| bound(rate) / nodes as f64);
        self.cold_rate_per_s = share.map(|share| (share - 1.0).max(share / 2.0));
    }

    /// Returns whether the replica is eligible and its version is the one in use.
    pub fn is_in_use(&self) -> bool {
        self.is_eligible && !self.is_on_trial
    }

    /// Returns whether the replica can take a request now.
    pub fn can_take_request(&self, now_us: u64, pauses: &PauseEstimator) -> bool {
        self.is_eligible && self.usable_in_us(now_us, pauses) == 0 && self.has_cold_token(now_us)
    }

    /// Returns the time until an eligible replica may receive a request, in microseconds; the token
    /// for a cold replica is checked separately.
    pub fn usable_in_us(&self, now_us: u64, pauses: &PauseEstimator) -> u64 {
        let is_past_pause =
            self.stalled_us(now_us).is_some_and(|stalled_us| pauses.exceeds_pause(stalled_us));
        let stall_backoff_us = if is_past_pause { MIN_BACKOFF_US } else { 0 };
        let backoff_us = self.backoff_until_us.saturating_sub(now_us).max(stall_backoff_us);
        if self.in_flight.len() < self.max_in_flight {
            return backoff_us;
        }
        // The first send to finish is expected to end at its usual time.
        let first = self.in_flight.iter().map(|send| send.sent_us + send.expected_us).min();
        first.map_or(1, |end_us| end_us.saturating_sub(now_us).max(1)).max(backoff_us)
    }

    /// Returns whether the replica is not cold, or its rate limit lets this node send one more
    /// request now.
    pub fn has_cold_token(&self, now_us: u64) -> bool {
        self.cold_until_us <= now_us
            || self.cold_rate_per_s.is_none()
            || self.available_cold_tokens(now_us) >= 1.0
    }

    pub fn available_cold_tokens(&self, now_us: u64) -> f64 {
        let rate = self.cold_rate_per_s.unwrap_or(0.0);
        let earned = now_us.saturating_sub(self.cold_tokens_updated_us) as f64 / 1e6 * rate;
        (self.cold_tokens + earned).min(1.0)
    }

    pub fn take_cold_token(&mut self, now_us: u64) {
        if self.cold_until_us > now_us && self.cold_rate_per_s.is_some() {
            self.cold_tokens = self.available_cold_tokens(now_us) - 1.0;
            self.cold_tokens_updated_us = now_us;
        }
    }

    /// Returns the expected run time of a request and its wait for a slot, in microseconds.
    pub fn run_and_queue_us(&self, now_us: u64, expected_us: u64) -> (f64, f64) {
        let expected = expected_us as f64;
        // The queue of a slow replica is slow as well, and the load that it reports is as old as
        // its answers.
        let run_us = expected * self.slowness.value(now_us) * self.work_time.factor(now_us);
        let is_load_fresh =
            now_us < self.load_reported_us + (LOAD_FRESHNESS_FACTOR * run_us) as u64;
        let reported_requests = if is_load_fresh { self.reported_requests as usize } else { 0 };
        let ahead = self.in_flight.len().max(reported_requests);
        let slots = self.entry.slots as usize;
        let queue_us = (ahead + 1).saturating_sub(slots) as f64 * run_us / slots as f64;
        (run_us, queue_us)
    }

    /// Returns the expected time until an answer plus the other costs of a send to this replica, in
    /// microseconds.
    ///
    /// Answers slow replicas, full queues, pauses, and replicas that refuse requests or lose
    /// answers.
    pub fn cost_us(
        &self,
        now_us: u64,
        expected_us: u64,
        failure_cost: FailureCost,
        pauses: &PauseEstimator,
    ) -> f64 {
        let (run_us, queue_us) = self.run_and_queue_us(now_us, expected_us);
        let distance =
            if self.is_same_domain { 0.0 } else { CROSS_DOMAIN_COST_FACTOR * expected_us as f64 };
        let stall_remaining =
            self.stalled_us(now_us).map_or(0, |stalled_us| pauses.remaining_us(stalled_us)) as f64;
        let failure_rate = self.failure_rate.value(now_us);
        let failures = match failure_cost {
            FailureCost::Retry => (failure_rate * FAILURE_COST_FACTOR).min(MAX_FAILURE_COST_FACTOR),
            FailureCost::Answer => failure_rate * LAST_FAILURE_COST_FACTOR,
        };
        let refusals = self.refusal_rate.value(now_us) * REFUSAL_COST_FACTOR;
        let errors = (failures + refusals) * expected_us as f64;
        run_us + queue_us + distance + stall_remaining + errors
    }

    /// Returns for how long a send has been overdue while nothing else arrived from the replica, in
    /// microseconds, or `None` if no send is overdue.
    pub fn stalled_us(&self, now_us: u64) -> Option<u64> {
        let due_us = self.in_flight.iter().map(|send| send.due_us).min()?;
        (due_us <= now_us).then(|| now_us - due_us.max(self.last_activity_us))
    }

    /// Returns the outcome of a send for the trial of the replica's version.
    ///
    /// An answer of a cold replica counts as fast, because a cold replica is slow whatever its
    /// version. An unreachable replica is assumed to have crashed, so the send does not count.
    pub fn trial_outcome(
        &self,
        now_us: u64,
        in_flight_send: &InFlightSend,
        outcome: SendOutcome,
    ) -> TrialOutcome {
        match outcome {
            SendOutcome::Answered if now_us < self.cold_until_us => {
                TrialOutcome::Answered { took_us: 0 }
            }
            SendOutcome::Answered => {
                TrialOutcome::Answered { took_us: now_us.saturating_sub(in_flight_send.sent_us) }
            }
            SendOutcome::Faulty | SendOutcome::Lost | SendOutcome::TimedOut => TrialOutcome::Failed,
            SendOutcome::Refused
            | SendOutcome::Unreachable
            | SendOutcome::Misdirected
            | SendOutcome::Cancelled => TrialOutcome::Unknown,
        }
    }

    /// Records the load that the replica reported with an answer.
    pub fn record_load(&mut self, now_us: u64, load: ReportedLoad) {
        self.reported_requests = load.requests;
        self.load_reported_us = now_us;
        if let Some(percent) = load.work_time_percent {
            self.work_time.record(now_us, work_time_factor(percent));
        }
    }

    /// Records the end of a send; `work_time_percent` is what the replica reported with its answer.
    pub fn record_end(
        &mut self,
        now_us: u64,
        in_flight_send: &InFlightSend,
        outcome: SendOutcome,
        work_time_percent: Option<u32>,
    ) {
        match outcome {
            SendOutcome::Answered
            | SendOutcome::Faulty
            | SendOutcome::Refused
            | SendOutcome::Lost
            | SendOutcome::Misdirected => self.last_activity_us = now_us,
            SendOutcome::TimedOut | SendOutcome::Unreachable | SendOutcome::Cancelled => {}
        }
        match outcome {
            SendOutcome::Answered => {
                let took = now_us.saturating_sub(in_flight_send.sent_us) as f64;
                // Without the division, a VM that was busy for a moment would count as a slow
                // replica for seconds.
                let work_time = work_time_percent.map_or(1.0, work_time_factor);
                let ratio = took / in_flight_send.expected_us.max(1) as f64 / work_time;
                self.slowness.add(now_us, ratio.min(MAX_SLOWNESS_SAMPLE), SLOWNESS_WEIGHT);
                self.slot_budget.record_answer(now_us, in_flight_send.sent_us, ratio);
                self.refusal_rate.add(now_us, 0.0, REFUSAL_WEIGHT);
                self.failure_rate.add(now_us, 0.0, SUCCESS_WEIGHT);
                self.consecutive_failures = 0;
            }
            SendOutcome::Refused => self.refusal_rate.add(now_us, 1.0, REFUSAL_WEIGHT),
            // No backoff: a replica that accepts requests and loses some answers still serves
            // others, and avoiding it would overload the other replica if that one is slow. If the
            // replica has crashed, the next connection fails.
            SendOutcome::Faulty | SendOutcome::Lost => {
                self.failure_rate.add(now_us, 1.0, FAILURE_WEIGHT);
            }
            SendOutcome::TimedOut => {
                self.failure_rate.add(now_us, 1.0, FAILURE_WEIGHT);
                self.consecutive_failures += 1;
                // A single timeout may be a fault of the connection; two in a row are attributed to
                // the replica.
                if self.consecutive_failures > 1 {
                    self.back_off(now_us);
                }
            }
            SendOutcome::Unreachable | SendOutcome::Misdirected => {
                self.consecutive_failures += 1;
                self.back_off(now_us);
            }
            SendOutcome::Cancelled => {}
        }
    }

    pub fn back_off(&mut self, now_us: u64) {
        let backoff_us = MIN_BACKOFF_US << self.consecutive_failures.saturating_sub(1).min(8);
        self.backoff_until_us = now_us + backoff_us.min(MAX_BACKOFF_US);
    }
}
