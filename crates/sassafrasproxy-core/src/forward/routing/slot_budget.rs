//! What one node may send to a replica that is slow, so that all nodes together do not swamp it.

use super::decaying_mean::DecayingMean;

/// From how many times the usual time on an answer counts as slow.
const SLOW_RATIO: f64 = 2.0;

/// From which mean a replica counts as slow: two answers in a row that a pause held up.
const MIN_MEAN_SLOWNESS: f64 = 3.0;

/// How much one answer counts in how long a slow replica takes.
const UNCAPPED_SLOWNESS_WEIGHT: f64 = 0.5;

/// How long queries that can do without a slow replica leave it to those that needed it, in
/// microseconds.
///
/// A node gets a query that needs it each tenth of a second at the users' load.
const RESERVATION_US: u64 = 500_000;

/// How many sends to a slow replica a node may save up: one for a query that needs it and one more.
const MAX_TOKENS: f64 = 2.0;

/// How many sends beyond its share a node remembers, so that it may send again soon after.
const MAX_TOKEN_DEBT: f64 = 4.0;

/// What a slow replica bears.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SlowForecast {
    /// How many sends this node may make now by its share of the replica's slots; negative after
    /// sends beyond it.
    pub tokens: f64,
    /// Whether a query needed the replica lately.
    pub is_reserved: bool,
}

/// One node's share of a replica's slots, counted in work.
///
/// The work of a send is the whole time until its answer. With as much work from all nodes as the
/// slots do, as many sends are under way as there are slots (Little's law), and few wait at the
/// replica, however slow it is and without the nodes telling each other.
#[derive(Debug)]
pub struct SlotBudget {
    /// The part of the replica's slots that is this node's, if all nodes use as much.
    slots: f64,
    /// How many times the usual time answers took lately, stragglers in full.
    uncapped_slowness: DecayingMean,
    /// Since when all answers were slow, by the time at which the first was sent.
    slow_since_us: Option<u64>,
    /// The work that this node may still give to the replica, in microseconds, as of `noted_us`.
    work_left_us: f64,
    updated_us: u64,
    /// Until when queries that need the replica go before others.
    reserved_until_us: u64,
}

impl SlotBudget {
    /// A share of one slot, of a replica that is not slow.
    pub fn new() -> Self {
        Self {
            slots: 1.0,
            uncapped_slowness: DecayingMean::new(1.0),
            slow_since_us: None,
            work_left_us: 0.0,
            updated_us: 0,
            reserved_until_us: 0,
        }
    }

    /// Sets how many of the replica's slots are this node's.
    pub fn set_slots(&mut self, slots: f64) {
        self.slots = slots;
    }

    /// Notes an answer that took `ratio` times the usual time.
    pub fn record_answer(&mut self, now_us: u64, sent_us: u64, ratio: f64) {
        self.uncapped_slowness.add(now_us, ratio, UNCAPPED_SLOWNESS_WEIGHT);
        let since_us = self.slow_since_us.unwrap_or(sent_us);
        self.slow_since_us = (ratio >= SLOW_RATIO).then_some(since_us);
    }

    /// Notes a send whose usual time is `expected_us`.
    pub fn record_send(&mut self, now_us: u64, expected_us: u64) {
        let work_us = self.work_us(now_us, expected_us);
        self.work_left_us = self.available_work_us(now_us, work_us) - work_us;
        self.updated_us = now_us;
    }

    /// Notes that a query needs the replica.
    pub fn reserve(&mut self, now_us: u64) {
        self.reserved_until_us = now_us + RESERVATION_US;
    }

    /// What the replica bears if it has been slow for a while; `slowness` is how many times the
    /// usual time its answers take, and a pause is over within `pause_us`.
    pub fn forecast(
        &self,
        now_us: u64,
        expected_us: u64,
        slowness: f64,
        pause_us: u64,
    ) -> Option<SlowForecast> {
        let is_lasting = self.slow_since_us? + pause_us <= now_us;
        if !is_lasting || slowness < MIN_MEAN_SLOWNESS {
            return None;
        }
        let work_us = self.work_us(now_us, expected_us);
        let room = self.available_work_us(now_us, work_us) / work_us;
        Some(SlowForecast { tokens: room, is_reserved: now_us < self.reserved_until_us })
    }

    /// The work that a send probably makes, in microseconds.
    fn work_us(&self, now_us: u64, expected_us: u64) -> f64 {
        self.uncapped_slowness.value(now_us) * expected_us.max(1) as f64
    }

    fn available_work_us(&self, now_us: u64, work_us: f64) -> f64 {
        let earned_us = now_us.saturating_sub(self.updated_us) as f64 * self.slots;
        (self.work_left_us + earned_us).clamp(-MAX_TOKEN_DEBT * work_us, MAX_TOKENS * work_us)
    }
}
