//! Counts the recent requests of each rank or account, and which of them were started.

use std::hash::Hash;

use indexmap::IndexMap;

use crate::US_PER_MS;

/// The time after which a count has halved, in microseconds.
///
/// One of many nodes gets a request of an account every few seconds; a shorter time would forget
/// the account in between.
const HALF_LIFE_US: f64 = 5_000_000.0;

/// The maximum number of keys that are tracked; the one that was updated longest ago is forgotten.
const MAX_TRACKED_KEYS: usize = 1_024;

/// The number of requests from which a key counts as active; a single request falls below it after
/// three half-lives.
const MIN_ACTIVE_REQUESTS: f64 = 0.125;

/// The time for which the number of active keys is kept before they are counted again, in
/// microseconds.
const ACTIVE_COUNT_TTL_US: u64 = 100 * US_PER_MS;

/// The requests of each key that arrived and were started, as decaying counts.
#[derive(Debug)]
pub struct ServedShares<K> {
    by_key: IndexMap<K, Counts>,
    total: Counts,
    /// The number of active keys, and when they were counted.
    active_count: usize,
    counted_us: u64,
}

/// The decaying counts of one key or of all.
#[derive(Debug, Clone, Copy, Default)]
struct Counts {
    /// Requests that arrived.
    arrived: f64,
    /// Requests that were started.
    started: f64,
    /// The sub-requests of the started requests.
    work: f64,
    updated_us: u64,
}

impl<K> Default for ServedShares<K> {
    fn default() -> Self {
        Self { by_key: IndexMap::new(), total: Counts::default(), active_count: 0, counted_us: 0 }
    }
}

impl<K: Hash + Eq + Clone> ServedShares<K> {
    /// Records that a request arrived.
    pub fn record_arrival(&mut self, now_us: u64, key: &K) {
        self.total =
            Counts { arrived: self.total.at(now_us).arrived + 1.0, ..self.total.at(now_us) };
        let counts = self.counts_mut(now_us, key);
        counts.arrived += 1.0;
        if now_us >= self.counted_us + ACTIVE_COUNT_TTL_US || self.active_count == 0 {
            self.active_count = self.active(now_us).count();
            self.counted_us = now_us;
        }
    }

    /// Records that a request was started.
    pub fn record_start(&mut self, now_us: u64, key: &K, cost: f64) {
        let total = self.total.at(now_us);
        self.total = Counts { started: total.started + 1.0, work: total.work + cost, ..total };
        let counts = self.counts_mut(now_us, key);
        counts.started += 1.0;
        counts.work += cost;
    }

    /// Returns the share of a key's recent requests that were started; 1 if there were none.
    pub fn share(&self, now_us: u64, key: &K) -> f64 {
        self.by_key.get(key).map_or(1.0, |counts| counts.at(now_us).share())
    }

    /// Returns the share of all recent requests that were started.
    pub fn total_share(&self, now_us: u64) -> f64 {
        self.total.at(now_us).share()
    }

    /// Returns the share of the recent requests of matching keys that were started.
    pub fn share_of(&self, now_us: u64, is_counted: impl Fn(&K) -> bool) -> f64 {
        let counted = self.by_key.iter().filter(|(key, _)| is_counted(key));
        let counts = counted.map(|(_, counts)| counts.at(now_us));
        let sum = counts.fold(Counts::default(), |sum, counts| Counts {
            arrived: sum.arrived + counts.arrived,
            started: sum.started + counts.started,
            ..sum
        });
        sum.share()
    }

    /// Returns the fraction that a key's requests are of all requests started lately.
    pub fn started_fraction(&self, now_us: u64, key: &K) -> f64 {
        let started = self.by_key.get(key).map_or(0.0, |counts| counts.at(now_us).started);
        started / self.total.at(now_us).started.max(1.0)
    }

    /// Returns the work of a key's requests that were started lately, in sub-requests.
    pub fn work(&self, now_us: u64, key: &K) -> f64 {
        self.by_key.get(key).map_or(0.0, |counts| counts.at(now_us).work)
    }

    /// Returns the mean of that work over the active keys, in sub-requests.
    pub fn mean_work(&self, now_us: u64) -> f64 {
        self.total.at(now_us).work / self.active_count.max(1) as f64
    }

    /// Returns the keys of which requests arrived lately.
    pub fn active(&self, now_us: u64) -> impl Iterator<Item = &K> {
        let is_active = move |counts: &Counts| counts.at(now_us).arrived >= MIN_ACTIVE_REQUESTS;
        self.by_key.iter().filter(move |(_, counts)| is_active(counts)).map(|(key, _)| key)
    }

    /// Returns the number of tracked keys.
    pub fn len(&self) -> usize {
        self.by_key.len()
    }

    fn counts_mut(&mut self, now_us: u64, key: &K) -> &mut Counts {
        if self.by_key.len() >= MAX_TRACKED_KEYS && !self.by_key.contains_key(key) {
            let oldest = self.by_key.values().enumerate().min_by_key(|(_, one)| one.updated_us);
            if let Some((at, _)) = oldest {
                self.by_key.swap_remove_index(at);
            }
        }
        let counts = self.by_key.entry(key.clone()).or_default();
        *counts = counts.at(now_us);
        counts
    }
}

impl Counts {
    fn at(&self, now_us: u64) -> Self {
        let half_lives = now_us.saturating_sub(self.updated_us) as f64 / HALF_LIFE_US;
        let factor = (-half_lives).exp2();
        Self {
            arrived: self.arrived * factor,
            started: self.started * factor,
            work: self.work * factor,
            updated_us: now_us.max(self.updated_us),
        }
    }

    fn share(&self) -> f64 {
        if self.arrived <= 0.0 { 1.0 } else { (self.started / self.arrived).min(1.0) }
    }
}
