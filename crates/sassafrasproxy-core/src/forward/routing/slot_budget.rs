//! Limits what one node sends to a slow replica, so that all nodes together do not overload it.

use super::decaying_mean::DecayingMean;

/// The ratio of an answer's time to the usual time from which the answer counts as slow.
const SLOW_RATIO: f64 = 2.0;

/// The mean slowness from which a replica counts as slow; one answer that a pause delayed does not
/// raise the mean that far, but two in a row can.
const MIN_MEAN_SLOWNESS: f64 = 3.0;

/// The weight of one answer in the uncapped mean slowness.
const UNCAPPED_SLOWNESS_WEIGHT: f64 = 0.5;

/// The time for which a slow replica is reserved after a query needed it, in microseconds; queries
/// that do not need it leave it to those that do.
///
/// At the users' load, a node receives a query that needs the replica every 100 ms.
const RESERVATION_US: u64 = 500_000;

/// The maximum number of tokens for a slow replica that a node may accumulate: one for a query that
/// needs the replica and one more.
const MAX_TOKENS: f64 = 2.0;

/// The maximum number of sends beyond its share that count against a node, so that the node can
/// send again soon after them.
const MAX_TOKEN_DEBT: f64 = 4.0;

/// The forecast for a node's sends to a slow replica.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SlowForecast {
    /// The number of sends that this node may make now by its share of the replica's slots;
    /// negative after sends beyond the share.
    pub tokens: f64,
    /// Whether a query needed the replica recently.
    pub is_reserved: bool,
}

/// One node's budget for a replica's slots, measured in work.
///
/// The work of a send is the total time until its answer. If all nodes together send as much work
/// as the slots complete, as many sends are in flight as there are slots (Little's law). Few sends
/// then wait at the replica, however slow it is, and the nodes need not exchange messages for it.
#[derive(Debug)]
pub struct SlotBudget {
    /// This node's equal share of the replica's slots.
    slots: f64,
    /// The mean ratio of recent answer times to the usual time, with stragglers counted in full.
    uncapped_slowness: DecayingMean,
    /// When the first of the latest slow answers in a row was sent; `None` if the last answer was
    /// not slow.
    slow_since_us: Option<u64>,
    /// The work that this node may still send to the replica as of `updated_us`, in microseconds.
    work_left_us: f64,
    updated_us: u64,
    /// Until when the replica is reserved for queries that need it.
    reserved_until_us: u64,
}

impl SlotBudget {
    /// Creates the budget for one slot of a replica that is not slow.
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

    /// Sets this node's share of the replica's slots.
    pub fn set_slots(&mut self, slots: f64) {
        self.slots = slots;
    }

    /// Records an answer that took `ratio` times the usual time.
    pub fn record_answer(&mut self, now_us: u64, sent_us: u64, ratio: f64) {
        self.uncapped_slowness.add(now_us, ratio, UNCAPPED_SLOWNESS_WEIGHT);
        let slow_since_us = self.slow_since_us.unwrap_or(sent_us);
        self.slow_since_us = (ratio >= SLOW_RATIO).then_some(slow_since_us);
    }

    /// Records a send whose usual time is `expected_us`.
    pub fn record_send(&mut self, now_us: u64, expected_us: u64) {
        let work_us = self.work_us(now_us, expected_us);
        self.work_left_us = self.available_work_us(now_us, work_us) - work_us;
        self.updated_us = now_us;
    }

    /// Records that a query needs the replica.
    pub fn reserve(&mut self, now_us: u64) {
        self.reserved_until_us = now_us + RESERVATION_US;
    }

    /// Returns the forecast for this node's sends if the replica has been slow for longer than a
    /// pause, or `None` otherwise.
    ///
    /// `slowness` is the mean ratio of answer times to the usual time; `max_pause_us` is the time
    /// within which a pause ends.
    pub fn forecast(
        &self,
        now_us: u64,
        expected_us: u64,
        slowness: f64,
        max_pause_us: u64,
    ) -> Option<SlowForecast> {
        let is_persistent = self.slow_since_us? + max_pause_us <= now_us;
        if !is_persistent || slowness < MIN_MEAN_SLOWNESS {
            return None;
        }
        let work_us = self.work_us(now_us, expected_us);
        let tokens = self.available_work_us(now_us, work_us) / work_us;
        Some(SlowForecast { tokens, is_reserved: now_us < self.reserved_until_us })
    }

    /// Returns the expected work of a send, in microseconds.
    fn work_us(&self, now_us: u64, expected_us: u64) -> f64 {
        self.uncapped_slowness.value(now_us) * expected_us.max(1) as f64
    }

    fn available_work_us(&self, now_us: u64, work_us: f64) -> f64 {
        let earned_us = now_us.saturating_sub(self.updated_us) as f64 * self.slots;
        (self.work_left_us + earned_us).clamp(-MAX_TOKEN_DEBT * work_us, MAX_TOKENS * work_us)
    }
}
