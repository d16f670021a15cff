//! Decides what a node does with a key when its configuration may be out of date.

use crate::US_PER_MS;

/// The divisor of the time for changed keys that gives the longest wait of a watch of the store.
///
/// Less than that of polls, since calls to the store have a price.
const WATCH_DIVISOR: u64 = 3;

/// The divisor that gives the longest wait of a poll of a peer: a confirmation passes from the
/// store through one watch and at most three polls one after another.
const POLL_DIVISOR: u64 = 7;

/// The divisor for both watches and polls if out-of-touch nodes refuse known keys.
///
/// A call that returns changes confirms only the time at which it was sent, which doubles the time
/// between confirmations; callers with known keys must not be refused for that.
const STRICT_DIVISOR: u64 = 10;

/// The bounds on keys that were added or removed.
///
/// Answers the partition of a node: it serves with the keys that it knows, but does not refuse a
/// key for good that may be new. Strict nodes then refuse all keys, since any may have been
/// removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeyFreshness {
    /// The time within which added and removed keys take effect at each node in touch, in
    /// microseconds.
    pub revoke_us: u64,
    /// Whether nodes that are out of touch for longer refuse known keys too.
    pub is_strict: bool,
}

/// The result of looking up what a caller presented.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyLookup {
    /// An account has the key.
    Known,
    /// No account has the key, or none was presented.
    Unknown,
}

/// The decision on a request whose route needs a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyVerdict {
    /// Serve the request for the key's account.
    Serve,
    /// Refuse the request for good: a retry does not help.
    Refuse,
    /// Refuse the request for now: the key may have been added meanwhile.
    RetryIfNew,
    /// Refuse the request for now: the key may have been removed meanwhile.
    RetryIfKept,
}

impl KeyFreshness {
    /// Decides on a request.
    ///
    /// `unconfirmed_us` is the time since the node's view was last known to be current, `None` if it
    /// never was.
    pub fn decide(&self, lookup: KeyLookup, unconfirmed_us: Option<u64>) -> KeyVerdict {
        match (lookup, self.is_in_touch(unconfirmed_us)) {
            (KeyLookup::Known, false) if self.is_strict => KeyVerdict::RetryIfKept,
            (KeyLookup::Known, _) => KeyVerdict::Serve,
            (KeyLookup::Unknown, true) => KeyVerdict::Refuse,
            (KeyLookup::Unknown, false) => KeyVerdict::RetryIfNew,
        }
    }

    /// Returns whether a node's view was confirmed recently enough to rely on its keys.
    pub fn is_in_touch(&self, unconfirmed_us: Option<u64>) -> bool {
        unconfirmed_us.is_some_and(|unconfirmed_us| unconfirmed_us <= self.revoke_us)
    }

    /// Returns the longest wait of a watch of the store with which nodes stay in touch, in
    /// milliseconds; at least 1.
    pub fn max_watch_wait_ms(&self) -> u64 {
        self.max_wait_ms(WATCH_DIVISOR)
    }

    /// Returns the longest wait of a poll of a peer with which nodes stay in touch, in
    /// milliseconds; at least 1.
    pub fn max_poll_wait_ms(&self) -> u64 {
        self.max_wait_ms(POLL_DIVISOR)
    }

    fn max_wait_ms(&self, divisor: u64) -> u64 {
        let divisor = if self.is_strict { STRICT_DIVISOR } else { divisor };
        (self.revoke_us / divisor / US_PER_MS).max(1)
    }
}
