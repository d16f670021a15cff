//! Decides which answers are given up because their callers do not take them.

use indexmap::IndexMap;

/// The id of a connection on which answers are delivered.
pub type DeliveryId = u64;

/// The time for which a delivery that stalls is kept while there is no room for other answers, in
/// microseconds; longer than a packet that is lost and sent again delays it.
const MIN_STALL_US: u64 = 500_000;

/// The connections whose callers take nothing of the answers that wait for them.
///
/// Such an answer holds memory that the answers of other callers need. It is given up when there is
/// no room for another, and in any case once its caller has been idle for too long.
#[derive(Debug, Clone, Default)]
pub struct StalledDeliveries {
    /// The time since which each of them stalls, in microseconds.
    since_us: IndexMap<DeliveryId, u64>,
}

impl StalledDeliveries {
    /// Records that a caller takes nothing at this moment.
    pub fn record_stall(&mut self, now_us: u64, id: DeliveryId) {
        self.since_us.entry(id).or_insert(now_us);
    }

    /// Records that a caller has taken something, or that its connection has ended.
    pub fn end_stall(&mut self, id: DeliveryId) {
        self.since_us.swap_remove(&id);
    }

    /// Returns the deliveries to give up because there is no room for another answer.
    pub fn overdue(&self, now_us: u64) -> Vec<DeliveryId> {
        let is_overdue = |since_us: u64| now_us.saturating_sub(since_us) >= MIN_STALL_US;
        self.since_us.iter().filter(|(_, since)| is_overdue(**since)).map(|(id, _)| *id).collect()
    }
}
