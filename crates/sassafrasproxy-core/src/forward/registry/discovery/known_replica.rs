//! The state that discovery keeps of one replica.

use std::sync::Arc;

use sassafrasproxy_wire::ReplicaEntry;

/// The largest difference between two reported ends of a replica's cold start that does not count
/// as a change, in microseconds.
///
/// Entries reach nodes up to a few tenths of a second late.
const COLD_END_TOLERANCE_US: u64 = 500_000;

/// A replica whose entry is in the store, or was until recently.
#[derive(Debug, Clone)]
pub struct KnownReplica {
    pub entry: Arc<ReplicaEntry>,
    /// The store's revision of the entry.
    pub revision: u64,
    /// The time at which this node received the entry.
    pub received_us: u64,
    /// The end of the replica's cold start, as the catalogue reports it.
    pub cold_until_us: u64,
    /// Whether the current or last list of the store contains the entry.
    pub is_listed: bool,
    /// The end of the replica's hold; set while its entry is gone but the replica may be alive.
    pub held_until_us: Option<u64>,
}

impl KnownReplica {
    /// Whether an entry changes nothing that the catalogue must show.
    ///
    /// The entry of a cold replica changes with each heartbeat, because the remaining time of its
    /// cold start decreases.
    pub fn is_unchanged_by(&self, now_us: u64, entry: &ReplicaEntry) -> bool {
        let known_entry = ReplicaEntry {
            sequence: entry.sequence,
            cold_for_ms: entry.cold_for_ms,
            ..ReplicaEntry::clone(&self.entry)
        };
        let reported_until_us = cold_until_us(now_us, entry);
        // The replica was warm before and is warm now.
        let is_warm = self.cold_until_us <= now_us && entry.cold_for_ms == 0;
        known_entry == *entry
            && (is_warm || reported_until_us.abs_diff(self.cold_until_us) <= COLD_END_TOLERANCE_US)
    }
}

/// Returns the end of a replica's cold start as its entry reports it, in microseconds.
pub fn cold_until_us(now_us: u64, entry: &ReplicaEntry) -> u64 {
    now_us + entry.cold_for_ms * crate::US_PER_MS
}
