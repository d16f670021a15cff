//! Keeps the asks that this node has sent, and how many it may send.

use indexmap::IndexMap;
use rand::RngExt;
use rand::rngs::StdRng;

/// The interval of asks for expected demand, in microseconds.
pub(super) const ASK_INTERVAL_US: u64 = 100_000;

/// The maximum number of asks for expected demand in an interval, and of asks at once.
pub(super) const MAX_ASKS: usize = 3;

/// The time in which one more ask may be sent, in microseconds: a request waits no longer than two
/// of them.
const US_PER_ASK: u64 = 10_000;

/// The time for which the answer to an ask is accepted, in microseconds; no lease is longer.
const MAX_ANSWER_US: u64 = 2_000_000;

/// An ask that was not answered.
#[derive(Debug, Clone)]
pub(super) struct PendingAsk {
    pub sent_us: u64,
    /// The tokens asked for, by account.
    pub wanted: IndexMap<u64, f64>,
}

/// The asks of this node.
///
/// An answer is accepted once, as its ask is removed with it.
#[derive(Debug)]
pub(super) struct AskLog {
    pending: IndexMap<u64, PendingAsk>,
    /// The time at which `MAX_ASKS` may be sent at once, in microseconds.
    idle_us: u64,
}

impl AskLog {
    pub(super) fn new() -> Self {
        Self { pending: IndexMap::new(), idle_us: 0 }
    }

    /// Returns the number of asks that may be sent now.
    pub(super) fn allowance(&self, now_us: u64) -> usize {
        let used = self.idle_us.saturating_sub(now_us).div_ceil(US_PER_ASK) as usize;
        MAX_ASKS.saturating_sub(used)
    }

    /// Returns the time from which an ask may be sent, in microseconds.
    pub(super) fn allowed_us(&self) -> u64 {
        self.idle_us.saturating_sub((MAX_ASKS - 1) as u64 * US_PER_ASK)
    }

    /// Records an ask, and returns its id.
    pub(super) fn send(&mut self, rng: &mut StdRng, ask: PendingAsk) -> u64 {
        self.idle_us = self.idle_us.max(ask.sent_us) + US_PER_ASK;
        let id = rng.random();
        self.pending.insert(id, ask);
        id
    }

    /// Removes the ask that a peer answers; `None` if it has expired or was answered.
    pub(super) fn answer(&mut self, now_us: u64, id: u64) -> Option<PendingAsk> {
        let ask = self.pending.shift_remove(&id)?;
        (now_us < ask.sent_us + MAX_ANSWER_US).then_some(ask)
    }

    /// Forgets the asks whose answers are not accepted any more.
    pub(super) fn expire(&mut self, now_us: u64) {
        self.pending.retain(|_, ask| now_us < ask.sent_us + MAX_ANSWER_US);
    }
}
