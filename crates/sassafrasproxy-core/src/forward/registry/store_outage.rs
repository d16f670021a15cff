//! Decides from a node's reads whether the store is unavailable, and until when replicas are held
//! after an outage.

/// The time for which a replica whose entry expired is held after the store recovers, in
/// microseconds.
///
/// The store's operators promise that replicas register again within about two seconds.
const REREGISTRATION_GRACE_US: u64 = 2_200_000;

/// The time by which a hold ends before nodes must have caught up with the store, in microseconds.
///
/// A request that has just been sent still has to reach its replica.
const HOLD_MARGIN_US: u64 = 200_000;

/// The number of reads in a row that break off after which the store is unavailable.
///
/// A store that is available may break off a watch that waits, but it answers the next ones.
const MAX_BROKEN_OFF: u32 = 3;

/// Whether the store is unavailable to this node.
#[derive(Debug, Clone)]
pub struct StoreOutage {
    /// The time after an outage in which a node must have caught up with the store, in microseconds.
    recovery_us: u64,
    /// The latest time at which the store was certainly unavailable, in microseconds; `None` while it
    /// is available.
    unavailable_us: Option<u64>,
    /// The number of reads that broke off since the last answer.
    broken_off_count: u32,
}

impl StoreOutage {
    /// Creates a state in which the store is available.
    pub fn new(recovery_us: u64) -> Self {
        Self { recovery_us, unavailable_us: None, broken_off_count: 0 }
    }

    /// Whether the store is unavailable.
    pub fn is_unavailable(&self) -> bool {
        self.unavailable_us.is_some()
    }

    /// Records a read that was sent at `sent_us` and ended at `now_us`.
    pub fn record(&mut self, sent_us: u64, now_us: u64, end: StoreReadEnd) -> OutageChange {
        let unavailable_us = match end {
            StoreReadEnd::Answered => return self.end(now_us),
            StoreReadEnd::Refused => now_us,
            // The store may be back since, and have forgotten the call.
            StoreReadEnd::NoAnswer => sent_us,
            StoreReadEnd::BrokenOff => {
                self.broken_off_count += 1;
                if !self.is_unavailable() && self.broken_off_count < MAX_BROKEN_OFF {
                    return OutageChange::None;
                }
                sent_us
            }
        };
        match self.unavailable_us.replace(unavailable_us) {
            None => OutageChange::Started,
            Some(_) => OutageChange::None,
        }
    }

    /// Records that a followed peer reaches the store.
    pub fn record_peer_contact(&mut self) {
        self.unavailable_us = None;
    }

    /// Ends an outage, if there is one.
    ///
    /// Replicas whose entries are gone are held until they can have registered again, but not beyond
    /// the time at which nodes must know that they have left. That time counts from the end of the
    /// outage, which came at some time after `unavailable_us`.
    fn end(&mut self, now_us: u64) -> OutageChange {
        self.broken_off_count = 0;
        let Some(unavailable_us) = self.unavailable_us.take() else { return OutageChange::None };
        let recovered_us = (unavailable_us + self.recovery_us).saturating_sub(HOLD_MARGIN_US);
        let hold_until_us = (now_us + REREGISTRATION_GRACE_US).min(recovered_us);
        OutageChange::Ended { hold_until_us }
    }
}

/// How a read from the store ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreReadEnd {
    /// The store answered.
    Answered,
    /// The store refused the read.
    Refused,
    /// No answer came.
    NoAnswer,
    /// The connection ended before the answer was complete.
    BrokenOff,
}

/// A change in whether the store is unavailable.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutageChange {
    /// Nothing has changed.
    None,
    /// The store became unavailable.
    Started,
    /// The store is available again.
    Ended {
        /// The time until which replicas whose entries are gone are held, in microseconds.
        hold_until_us: u64,
    },
}
