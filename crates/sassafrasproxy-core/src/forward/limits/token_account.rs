//! Keeps the tokens, the demand and the asks of one account at this node.

use ecow::EcoString;
use sassafrasproxy_wire::RateLimit;

use crate::forward::limits::shares::{Earners, TokenBudget};
use crate::forward::limits::token_bucket::TokenBucket;

/// The time constant of the mean rate of requests, in microseconds.
const DEMAND_TIME_CONSTANT_US: f64 = 500_000.0;

/// The maximum retry delay, in microseconds.
const MAX_RETRY_DELAY_US: u64 = 5_000_000;

/// The time for which tokens are asked for in advance, in microseconds; some intervals of asks.
const DEMAND_HORIZON_US: f64 = 250_000.0;

/// The expected demand in `DEMAND_HORIZON_US`, in tokens, below which none are asked for in
/// advance: most would expire.
const MIN_AHEAD: f64 = 0.5;

/// The time within which a peer answers an ask, in microseconds; later, it is taken as lost.
const ANSWER_TIMEOUT_US: u64 = 8_000;

/// The part of what was asked for below which an answer counts as one without a token.
const MIN_GRANT_FRACTION: f64 = 0.05;

/// The time by which timers may be late, in microseconds.
const TIMER_DELAY_US: u64 = 1_000;

/// The tokens below which a difference is one of rounding.
const MIN_TOKENS: f64 = 1e-6;

/// The number of answers without a token after which an account is known to be exhausted.
const EXHAUSTED_ANSWERS: usize = 3;

/// The shortest and longest time for which an exhausted account is not asked for, in microseconds.
const EXHAUSTED_US: (f64, f64) = (100_000.0, 1_000_000.0);

/// The time between two asks of exhausted accounts that an earner gets if all nodes ask, in
/// microseconds; so what it answers does not grow with the fleet.
const US_PER_ASKED: f64 = 10_000.0;

/// A rate of events, as an exponentially decaying mean.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct EventRate {
    per_us: f64,
    at_us: u64,
}

impl EventRate {
    pub(super) fn record(&mut self, now_us: u64) {
        self.per_us = self.per_us(now_us) + 1.0 / DEMAND_TIME_CONSTANT_US;
        self.at_us = now_us;
    }

    pub(super) fn per_us(&self, now_us: u64) -> f64 {
        let age_us = now_us.saturating_sub(self.at_us) as f64;
        self.per_us * (-age_us / DEMAND_TIME_CONSTANT_US).exp()
    }
}

/// An account that this node keeps.
#[derive(Debug)]
pub(super) struct TokenAccount {
    /// The hash of the account's name.
    pub hash: u64,
    /// The account's name; empty if only peers have asked for it.
    pub name: EcoString,
    pub limit: RateLimit,
    pub budget: TokenBudget,
    pub bucket: TokenBucket,
    pub earners: Earners,
    /// The generation of the holders for which `earners` was chosen.
    pub generation: u64,
    /// The number of earners, and the part of the budget that is this node's if it is one.
    pub earner_count: usize,
    pub part: f64,
    /// The time of the last request here, in microseconds.
    pub requested_us: Option<u64>,
    /// The time of the last request or ask, in microseconds.
    pub used_us: u64,
    pub demand: EventRate,
    pub admissions: EventRate,
    pub admitted: u64,
    pub refused: u64,
    /// The position in `earners.peers` of the peer asked next.
    pub next_peer: usize,
    /// The requests that were told to wait in the current round.
    pub waiting: u32,
    /// The ends of the current and the previous round of waiting, in microseconds.
    pub wait_until_us: u64,
    pub waited_until_us: u64,
    /// The tokens asked for and not answered, and the time of the ask in microseconds.
    pub pending: f64,
    pub asked_us: u64,
    /// The number of answers without a token since the last with one.
    pub empty_answers: usize,
    pub exhausted_until_us: u64,
    /// The time until which all tokens to come are reserved by refusals, in microseconds.
    pub reserved_until_us: u64,
}

impl TokenAccount {
    /// Returns the tokens asked for that may still come.
    pub(super) fn pending(&self, now_us: u64) -> f64 {
        if now_us < self.asked_us + ANSWER_TIMEOUT_US { self.pending } else { 0.0 }
    }

    /// Returns whether a request that was told to wait may wait on.
    ///
    /// A request whose wait has just ended must not be taken into the next round.
    pub(super) fn may_wait_on(&self, now_us: u64) -> bool {
        let ended_us = self.waited_until_us..self.waited_until_us + TIMER_DELAY_US;
        now_us < self.wait_until_us && !ended_us.contains(&now_us)
    }

    /// Returns whether peers are known to have no tokens.
    pub(super) fn is_exhausted(&self, now_us: u64) -> bool {
        now_us < self.exhausted_until_us
    }

    /// Returns the tokens that this node is short of, for the requests that wait and those to
    /// come; 0 if there is nothing to ask for.
    pub(super) fn shortage(&self, now_us: u64) -> f64 {
        if self.budget.lease_us <= 0.0 || self.is_exhausted(now_us) {
            return 0.0;
        }
        let available = self.bucket.available() + self.pending(now_us);
        let waiting = if now_us < self.wait_until_us { f64::from(self.waiting) } else { 0.0 };
        let rate_per_us = self.demand.per_us(now_us).min(1.25 * self.budget.rate_per_us);
        let expected = rate_per_us * self.budget.lease_us.min(DEMAND_HORIZON_US);
        let ahead = if expected >= MIN_AHEAD { expected + 0.5 * expected.sqrt() } else { 0.0 };
        let shortage = waiting + ahead - available;
        if shortage > MIN_TOKENS { shortage } else { 0.0 }
    }

    /// Returns the time from which peers are asked for the requests that wait; `None` if there are
    /// tokens for them.
    pub(super) fn urgent_from_us(&self) -> Option<u64> {
        let missing = f64::from(self.waiting) - self.bucket.available();
        match missing {
            _ if missing <= MIN_TOKENS => None,
            _ if missing > self.pending + MIN_TOKENS => Some(0),
            _ => Some(self.asked_us + ANSWER_TIMEOUT_US),
        }
    }

    /// Returns the tokens that are kept from peers for this node's own requests.
    pub(super) fn kept(&self, now_us: u64) -> f64 {
        self.demand.per_us(now_us) * DEMAND_HORIZON_US
    }

    /// Records a peer's answer; `nodes` is the number of nodes that may ask.
    pub(super) fn record_answer(&mut self, now_us: u64, tokens: f64, asked: f64, nodes: usize) {
        self.pending = (self.pending - asked).max(0.0);
        if tokens > asked * MIN_GRANT_FRACTION {
            self.empty_answers = 0;
            return;
        }
        self.empty_answers += 1;
        let enough = EXHAUSTED_ANSWERS.min(self.earners.peers.len()).max(1);
        if self.empty_answers >= enough {
            let one_each_us = self.earner_count as f64 / self.budget.rate_per_us;
            let pause_us = one_each_us.clamp(EXHAUSTED_US.0, EXHAUSTED_US.1);
            let askers = nodes as f64 / self.earner_count as f64;
            let pause_us = pause_us.max(askers * US_PER_ASKED);
            self.exhausted_until_us = now_us + pause_us as u64;
            self.empty_answers = enough - 1;
        }
    }

    /// Counts a refusal, and reserves the next token to come; returns the time until then, in
    /// microseconds.
    pub(super) fn refuse(&mut self, now_us: u64) -> u64 {
        self.refused += 1;
        let share_per_us = self.budget.rate_per_us / self.earner_count as f64;
        let rate_per_us = self
            .admissions
            .per_us(now_us)
            .clamp(share_per_us, self.budget.rate_per_us)
            .max(1.0 / MAX_RETRY_DELAY_US as f64);
        let next_us = self.reserved_until_us.max(now_us) + (1.0 / rate_per_us) as u64;
        self.reserved_until_us = next_us.min(now_us + MAX_RETRY_DELAY_US);
        self.reserved_until_us - now_us
    }
}
