//! What one replica's sends have shown, and what the next one would cost.

use std::sync::Arc;

use sassafrasproxy_wire::{ReplicaEntry, RoutedService};

use super::super::decaying_mean::DecayingMean;
use super::super::pause_estimator::PauseEstimator;
use super::super::slot_budget::SlotBudget;
use super::{PoolSettings, SendId, SendOutcome};
use crate::{RouteClass, TrialOutcome};

/// What a send to another failure domain costs beside its time, which slowness holds, in usual
/// times: a replica nearby is left only for one that is clearly quicker.
const FAR_COST_FACTOR: f64 = 1.5;

/// What a replica costs that failed all its last requests, in usual times: another send, later, and
/// a part of the budget for extra sends.
const ERROR_COST_FACTOR: f64 = 4.0;

/// How much one answer counts in a replica's slowness.
const SLOWNESS_WEIGHT: f64 = 0.25;

/// The most that one answer counts as slower than expected, so that one straggler, which every
/// replica has now and then, does not send all work to the sibling.
const MAX_SLOWNESS_SAMPLE: f64 = 8.0;

/// How much one answer counts in a replica's rate of errors.
const ERROR_WEIGHT: f64 = 0.3;

/// How long a replica's word on its load counts, in times that a request runs there.
const LOAD_FRESHNESS_FACTOR: f64 = 4.0;

/// The pause after a replica could not be reached or did not answer, in microseconds; doubles
/// with each failure in a row.
const MIN_BACKOFF_US: u64 = 100_000;

/// The longest such pause, in microseconds: a replica that is back gets work within this time.
const MAX_BACKOFF_US: u64 = 1_600_000;

/// What this node has seen of one replica.
#[derive(Debug)]
pub struct ReplicaState {
    pub entry: Arc<ReplicaEntry>,
    pub is_open: bool,
    /// Whether only first sends that the trial of its version allows may go there.
    pub is_on_trial: bool,
    pub is_near: bool,
    /// How many connections the replica takes from all nodes together.
    pub max_connections: usize,
    /// How many sends of this node may be under way; at least 1.
    pub max_in_flight: usize,
    pub in_flight: Vec<InFlightSend>,
    pub slowness: DecayingMean,
    pub error_rate: DecayingMean,
    /// Failures in a row.
    pub consecutive_failures: u32,
    pub backoff_until_us: u64,
    /// When anything last came from the replica.
    pub last_activity_us: u64,
    /// Requests that the replica ran or queued by its own word.
    pub reported_load: u32,
    pub load_reported_us: u64,
    pub cold_until_us: u64,
    /// The requests a second that this node may send while the replica is cold.
    pub cold_rate_per_s: Option<f64>,
    pub cold_tokens: f64,
    pub cold_tokens_updated_us: u64,
    pub slot_budget: SlotBudget,
}

/// A send under way.
#[derive(Debug)]
pub struct InFlightSend {
    pub id: SendId,
    pub sent_us: u64,
    pub expected_us: u64,
    /// When the send is beyond its usual time.
    pub due_us: u64,
    /// Set where the send counts in the trial of a version.
    pub trial_class: Option<RouteClass>,
}

impl ReplicaState {
    pub fn new(entry: Arc<ReplicaEntry>, settings: &PoolSettings) -> Self {
        Self {
            is_near: entry.failure_domain == settings.failure_domain,
            entry,
            is_open: true,
            is_on_trial: false,
            max_connections: 1,
            max_in_flight: 1,
            in_flight: Vec::new(),
            slowness: DecayingMean::new(1.0),
            error_rate: DecayingMean::new(0.0),
            consecutive_failures: 0,
            backoff_until_us: 0,
            last_activity_us: 0,
            reported_load: 0,
            load_reported_us: 0,
            cold_until_us: 0,
            cold_rate_per_s: None,
            cold_tokens: 0.0,
            cold_tokens_updated_us: 0,
            slot_budget: SlotBudget::new(),
        }
    }

    /// Divides what all nodes together may use of the replica.
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
        // One saved send and what is earned in a second make a node's share of a second.
        let share = rate.map(|rate| bound(rate) / nodes as f64);
        self.cold_rate_per_s = share.map(|share| (share - 1.0).max(share / 2.0));
    }

    /// Whether the replica's version is the one in use, and the replica may get work.
    pub fn is_in_use(&self) -> bool {
        self.is_open && !self.is_on_trial
    }

    /// Whether the replica can take a request now.
    pub fn can_take_request(&self, now_us: u64, pauses: &PauseEstimator) -> bool {
        self.is_open && self.usable_in_us(now_us, pauses) == 0 && self.has_cold_token(now_us)
    }

    /// In how long an open replica may get work, in microseconds.
    pub fn usable_in_us(&self, now_us: u64, pauses: &PauseEstimator) -> u64 {
        let is_silent =
            self.stalled_us(now_us).is_some_and(|still_us| pauses.exceeds_pause(still_us));
        let silent_us = if is_silent { MIN_BACKOFF_US } else { 0 };
        let avoid_us = self.backoff_until_us.saturating_sub(now_us).max(silent_us);
        if self.in_flight.len() < self.max_in_flight {
            return avoid_us;
        }
        // One of its sends ends at about its usual time.
        let first = self.in_flight.iter().map(|one| one.sent_us + one.expected_us).min();
        first.map_or(1, |end_us| end_us.saturating_sub(now_us).max(1)).max(avoid_us)
    }

    /// Whether the replica, if it is cold, bears one more request from this node now.
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

    /// How long a request would run and wait for a slot, in microseconds.
    pub fn run_and_queue_us(&self, now_us: u64, expected_us: u64) -> (f64, f64) {
        let expected = expected_us as f64;
        // A slow replica's queue is slow as well, and its word on it is as old as its answers.
        let run_us = expected * self.slowness.value(now_us);
        let is_fresh = now_us < self.load_reported_us + (LOAD_FRESHNESS_FACTOR * run_us) as u64;
        let reported = if is_fresh { self.reported_load as usize } else { 0 };
        let ahead = self.in_flight.len().max(reported);
        let slots = self.entry.slots as usize;
        let queue_us = (ahead + 1).saturating_sub(slots) as f64 * run_us / slots as f64;
        (run_us, queue_us)
    }

    /// The time until an answer that is to be expected, and all else that a send here costs.
    pub fn cost_us(&self, now_us: u64, expected_us: u64, pauses: &PauseEstimator) -> f64 {
        let (run_us, queue_us) = self.run_and_queue_us(now_us, expected_us);
        let far = if self.is_near { 0.0 } else { FAR_COST_FACTOR * expected_us as f64 };
        let stall =
            self.stalled_us(now_us).map_or(0, |still_us| pauses.remaining_us(still_us)) as f64;
        let errors = self.error_rate.value(now_us) * ERROR_COST_FACTOR * expected_us as f64;
        run_us + queue_us + far + stall + errors
    }

    /// For how long a send has been beyond its usual time and nothing else came from the replica
    /// either; `None` while no send is.
    pub fn stalled_us(&self, now_us: u64) -> Option<u64> {
        let due_us = self.in_flight.iter().map(|one| one.due_us).min()?;
        (due_us <= now_us).then(|| now_us - due_us.max(self.last_activity_us))
    }

    /// What the end of a send says of the replica's version.
    ///
    /// A replica that is cold is slow whatever its version, and one that cannot be reached has died.
    pub fn trial_outcome(
        &self,
        now_us: u64,
        sent: &InFlightSend,
        outcome: SendOutcome,
    ) -> TrialOutcome {
        match outcome {
            SendOutcome::Answered if now_us < self.cold_until_us => {
                TrialOutcome::Answered { took_us: 0 }
            }
            SendOutcome::Answered => {
                TrialOutcome::Answered { took_us: now_us.saturating_sub(sent.sent_us) }
            }
            SendOutcome::Faulty | SendOutcome::Lost | SendOutcome::TimedOut => TrialOutcome::Failed,
            SendOutcome::Refused
            | SendOutcome::Unreachable
            | SendOutcome::Misdirected
            | SendOutcome::Cancelled => TrialOutcome::Unknown,
        }
    }

    pub fn record_end(&mut self, now_us: u64, sent: &InFlightSend, outcome: SendOutcome) {
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
                let took = now_us.saturating_sub(sent.sent_us) as f64;
                let ratio = took / sent.expected_us.max(1) as f64;
                self.slowness.add(now_us, ratio.min(MAX_SLOWNESS_SAMPLE), SLOWNESS_WEIGHT);
                self.slot_budget.record_answer(now_us, sent.sent_us, ratio);
                self.error_rate.add(now_us, 0.0, ERROR_WEIGHT);
                self.consecutive_failures = 0;
            }
            SendOutcome::Faulty | SendOutcome::Refused => {
                self.error_rate.add(now_us, 1.0, ERROR_WEIGHT);
            }
            // A replica that takes requests and loses answers still serves the others: where its
            // sibling is slow, leaving it alone floods the sibling. One that has died shows when the
            // next connection fails.
            SendOutcome::Lost => self.error_rate.add(now_us, 1.0, ERROR_WEIGHT),
            SendOutcome::TimedOut => {
                self.error_rate.add(now_us, 1.0, ERROR_WEIGHT);
                self.consecutive_failures += 1;
                // One silence may be the connection's; two in a row are the replica's.
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
        let doubled = MIN_BACKOFF_US << self.consecutive_failures.saturating_sub(1).min(8);
        self.backoff_until_us = now_us + doubled.min(MAX_BACKOFF_US);
    }
}
