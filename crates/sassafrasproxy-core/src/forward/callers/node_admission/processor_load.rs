//! Measures the load of the node's own processor, and paces the requests that it starts.

use std::collections::VecDeque;

use crate::US_PER_MS;

/// The number of latest readings that count.
const READINGS: usize = 10;

/// The age from which a reading no longer counts, in microseconds; nothing is measured while no
/// request is in progress.
const READING_TTL_US: u64 = 1_000 * US_PER_MS;

/// The maximum that one reading counts as, in microseconds.
///
/// A process that was paused finds one timer late, however long the pause was, and the next ones in
/// time. One reading alone cannot raise the mean to [`MIN_BUSY_US`].
const MAX_READING_US: u64 = 50 * US_PER_MS;

/// The mean lateness from which the processor is busy, in microseconds: more than a few requests
/// cause that happen to arrive together.
const MIN_BUSY_US: u64 = 10 * US_PER_MS;

/// The mean lateness from which the processor is short, in microseconds.
const MIN_SHORT_US: u64 = 20 * US_PER_MS;

/// How far the processor may be behind for a request to start that leaves room for more urgent
/// ranks, in microseconds.
const MAX_BEHIND_LESS_URGENT_US: u64 = 20 * US_PER_MS;

/// How far it may be behind for any request to start, in microseconds.
const MAX_BEHIND_US: u64 = 40 * US_PER_MS;

/// The time between two changes of the pace, in microseconds; the readings show the effect of a
/// change within this time.
const PACE_INTERVAL_US: u64 = 200 * US_PER_MS;

/// The factor of the pace after an interval in which timers were late.
const PACE_DECREASE: f64 = 0.9;

/// The factor of the pace after an interval in which timers were in time.
const PACE_INCREASE: f64 = 1.1;

/// The time after which the pace ends if it has held up no request and no timer was late, in
/// microseconds.
const PACE_TTL_US: u64 = 2_000 * US_PER_MS;

/// The period over which started and ended work is counted, in microseconds.
const WORK_PERIOD_US: f64 = 500_000.0;

/// The smallest first pace, as a fraction of the rate at which work was started; a node that has
/// just started has ended no work yet.
const MIN_PACE_FRACTION: f64 = 0.25;

/// The time after which the size of the largest request has halved, in microseconds.
const UNIT_HALF_LIFE_US: f64 = 5_000_000.0;

/// The load of the processor, by how late timers of the traffic thread fired.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum LoadLevel {
    /// Timers are in time.
    Normal,
    /// Some timers were late: extra sends stop first.
    Busy,
    /// Requests arrive faster than the processor can serve them.
    Short,
}

/// The load of the node's processor and the pace at which it starts requests.
///
/// Timers that are late show how long work waits for the processor, whatever else uses the VM. The
/// work that the processor can do is not known, so the pace is found by trial: it decreases while
/// timers are late and increases while they are in time (AIMD).
#[derive(Debug, Default)]
pub struct ProcessorLoad {
    /// The time and the lateness of the latest readings, oldest first, in microseconds.
    readings_us: VecDeque<(u64, u64)>,
    /// When the timer that is measured next is due; `None` while none is.
    timer_due_us: Option<u64>,
    started: WorkRate,
    ended: WorkRate,
    unit: Unit,
    pace: Option<Pace>,
}

/// A decaying rate of work.
#[derive(Debug, Clone, Copy, Default)]
struct WorkRate {
    work: f64,
    updated_us: u64,
}

/// The size of the largest request lately, in sub-requests.
#[derive(Debug, Clone, Copy, Default)]
struct Unit {
    size: f64,
    updated_us: u64,
}

/// A token bucket for the work of new requests; one token is one sub-request.
#[derive(Debug, Clone, Copy)]
struct Pace {
    tokens_per_us: f64,
    tokens: f64,
    updated_us: u64,
    changed_us: u64,
    /// When the pace last held up a request or timers were last late.
    last_needed_us: u64,
    /// Whether the pace has held up a request since it was changed.
    has_held_up: bool,
}

impl ProcessorLoad {
    /// Sets when the timer that is measured next is due; `None` if none is.
    pub fn expect_timer(&mut self, due_us: Option<u64>) {
        self.timer_due_us = due_us;
    }

    /// Returns how far the processor is behind, in microseconds: how late the last timer fired, or
    /// for how long the next one has been due if that is longer.
    fn behind_us(&self, now_us: u64) -> u64 {
        let overdue_us = self.timer_due_us.map_or(0, |due_us| now_us.saturating_sub(due_us));
        overdue_us.max(self.lateness_us(now_us))
    }

    /// Records how late a timer fired; `capacity_units` is the size of the bucket in requests.
    pub fn record_lateness(&mut self, now_us: u64, lateness_us: u64, capacity_units: f64) {
        if self.readings_us.len() >= READINGS {
            self.readings_us.pop_front();
        }
        self.readings_us.push_back((now_us, lateness_us));
        self.update_pace(now_us, capacity_units);
    }

    /// Returns the load level by the mean of the latest readings; missing ones count as in time.
    pub fn level(&self, now_us: u64) -> LoadLevel {
        let counted = self.readings_us.iter().filter(|(at_us, _)| at_us + READING_TTL_US > now_us);
        let sum_us: u64 = counted.map(|(_, lateness_us)| *lateness_us.min(&MAX_READING_US)).sum();
        match sum_us / READINGS as u64 {
            mean_us if mean_us >= MIN_SHORT_US => LoadLevel::Short,
            mean_us if mean_us >= MIN_BUSY_US => LoadLevel::Busy,
            _ => LoadLevel::Normal,
        }
    }

    /// Returns the latest reading, in microseconds; 0 if it no longer counts.
    pub fn lateness_us(&self, now_us: u64) -> u64 {
        let latest = self.readings_us.back().filter(|(at_us, _)| at_us + READING_TTL_US > now_us);
        latest.map_or(0, |(_, lateness_us)| *lateness_us)
    }

    /// Returns whether the start of requests is paced.
    pub fn is_paced(&self) -> bool {
        self.pace.is_some()
    }

    /// Returns the number of sub-requests that may be started each second; `None` without limit.
    pub fn pace_per_s(&self) -> Option<f64> {
        self.pace.map(|pace| pace.tokens_per_us * 1e6)
    }

    /// Records that a request was started.
    pub fn record_start(&mut self, now_us: u64, cost: f64) {
        self.started.add(now_us, cost);
        self.unit = Unit { size: self.unit.size(now_us).max(cost), updated_us: now_us };
        if let Some(pace) = &mut self.pace {
            pace.tokens -= cost;
        }
    }

    /// Records that a started request has ended.
    pub fn record_end(&mut self, now_us: u64, cost: f64) {
        self.ended.add(now_us, cost);
    }

    /// Returns the size of the largest request lately, in sub-requests.
    pub fn unit(&self, now_us: u64) -> f64 {
        self.unit.size(now_us).max(1.0)
    }

    /// Fills the bucket, and changes or ends the pace if it is time.
    pub fn update_pace(&mut self, now_us: u64, capacity_units: f64) {
        let is_short = self.level(now_us) == LoadLevel::Short;
        let is_behind = self.behind_us(now_us) >= MAX_BEHIND_US;
        let capacity = capacity_units * self.unit(now_us);
        let Some(pace) = &mut self.pace else {
            if is_short {
                let rate = self.ended.per_us(now_us);
                let rate = rate.max(self.started.per_us(now_us) * MIN_PACE_FRACTION);
                self.pace = Some(Pace::new(rate, now_us));
            }
            return;
        };
        pace.fill(now_us, capacity, is_behind);
        if is_short {
            pace.last_needed_us = now_us;
        }
        if now_us >= pace.last_needed_us + PACE_TTL_US {
            self.pace = None;
        } else if now_us >= pace.changed_us + PACE_INTERVAL_US {
            pace.tokens_per_us *= match (is_short, pace.has_held_up) {
                (true, _) => PACE_DECREASE,
                (false, true) => PACE_INCREASE,
                (false, false) => 1.0,
            };
            pace.changed_us = now_us;
            pace.has_held_up = false;
        }
    }

    /// Records that a request has to wait for tokens or is refused for want of them.
    ///
    /// While requests are held up, a pace that ended would let all of them in at once.
    pub fn record_held_up(&mut self, now_us: u64) {
        if let Some(pace) = &mut self.pace {
            pace.last_needed_us = now_us;
            pace.has_held_up = true;
        }
    }

    /// Returns the time until a request may start, in microseconds: until the bucket holds `tokens`
    /// besides the `reserve` that the request leaves for others, and the processor has caught up.
    ///
    /// While a timer is overdue, requests wait for it without a pace too. Otherwise a burst that
    /// takes long to read would be started as a whole before the first late reading. After a pause,
    /// the timer fires at once.
    pub fn start_in_us(&self, now_us: u64, tokens: f64, reserve: f64) -> u64 {
        let Some(pace) = &self.pace else {
            let is_overdue =
                self.timer_due_us.is_some_and(|due_us| now_us >= due_us + MIN_SHORT_US);
            return if is_overdue { US_PER_MS } else { 0 };
        };
        let missing = (tokens + reserve - pace.tokens).max(0.0);
        let is_less_urgent = reserve >= self.unit(now_us);
        let max_behind_us = if is_less_urgent { MAX_BEHIND_LESS_URGENT_US } else { MAX_BEHIND_US };
        let behind_us = Some(self.behind_us(now_us)).filter(|behind| *behind >= max_behind_us);
        behind_us.unwrap_or(0) + (missing / pace.tokens_per_us).ceil() as u64
    }
}

impl Pace {
    /// Creates a pace with an empty bucket: the processor is behind already.
    fn new(tokens_per_us: f64, now_us: u64) -> Self {
        // One sub-request a second, so that no division is by zero.
        let tokens_per_us = tokens_per_us.max(1e-6);
        Self {
            tokens_per_us,
            tokens: 0.0,
            updated_us: now_us,
            changed_us: now_us,
            last_needed_us: now_us,
            has_held_up: false,
        }
    }

    /// Adds the tokens of the time since the last call; none while the processor is behind, so that
    /// it first ends the work that waits for it.
    fn fill(&mut self, now_us: u64, capacity: f64, is_behind: bool) {
        let earned = now_us.saturating_sub(self.updated_us) as f64 * self.tokens_per_us;
        self.tokens = match is_behind {
            true => self.tokens.min(0.0),
            false => (self.tokens + earned).min(capacity),
        };
        self.updated_us = self.updated_us.max(now_us);
    }
}

impl WorkRate {
    fn add(&mut self, now_us: u64, work: f64) {
        *self = Self { work: self.work_at(now_us) + work, updated_us: now_us };
    }

    fn per_us(&self, now_us: u64) -> f64 {
        self.work_at(now_us) / WORK_PERIOD_US
    }

    fn work_at(&self, now_us: u64) -> f64 {
        self.work * (-(now_us.saturating_sub(self.updated_us) as f64) / WORK_PERIOD_US).exp()
    }
}

impl Unit {
    fn size(&self, now_us: u64) -> f64 {
        let half_lives = now_us.saturating_sub(self.updated_us) as f64 / UNIT_HALF_LIFE_US;
        self.size * (-half_lives).exp2()
    }
}
