//! What is known of one replica.

use std::sync::Arc;

use sassafrasproxy_wire::ReplicaEntry;

/// How far apart two words of a replica on the end of its cold time may lie without being news, in
/// microseconds: entries reach nodes up to some tenths of a second late.
const COLD_END_TOLERANCE_US: u64 = 500_000;

/// A replica whose entry is listed, or was until lately.
#[derive(Debug, Clone)]
pub struct KnownReplica {
    pub entry: Arc<ReplicaEntry>,
    pub revision: u64,
    pub received_us: u64,
    /// Until when the catalogue says that it is cold.
    pub cold_until_us: u64,
    pub is_listed: bool,
    /// Set while the entry is gone but its replica may still be alive.
    pub held_until_us: Option<u64>,
}

impl KnownReplica {
    /// Whether an entry says of the replica what is known already.
    ///
    /// A cold replica's entry changes with each heartbeat, as less of its time is left.
    pub fn is_unchanged_by(&self, now_us: u64, entry: &ReplicaEntry) -> bool {
        let same = ReplicaEntry {
            sequence: entry.sequence,
            cold_for_ms: entry.cold_for_ms,
            ..ReplicaEntry::clone(&self.entry)
        };
        let said_us = cold_until_us(now_us, entry);
        // Warm before, and warm now.
        let is_warm = self.cold_until_us <= now_us && entry.cold_for_ms == 0;
        same == *entry && (is_warm || said_us.abs_diff(self.cold_until_us) <= COLD_END_TOLERANCE_US)
    }
}

/// Until when a replica is cold by its own word.
pub fn cold_until_us(now_us: u64, entry: &ReplicaEntry) -> u64 {
    now_us + entry.cold_for_ms * crate::US_PER_MS
}
