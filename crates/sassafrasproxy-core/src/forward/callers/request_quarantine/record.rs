//! Defines the record of a request that crashes replicas in the store.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// The delay of the first trial after the quarantine is recorded, in microseconds.
pub const FIRST_TRIAL_DELAY_US: u64 = 30_000_000;

/// The delay of each trial after the record's last change, in microseconds.
///
/// Replicas are mended within minutes, if at all, and at most three attempts may reach them after
/// the third crash: one may have begun before all nodes knew of it.
const TRIAL_DELAYS_US: [u64; 2] = [FIRST_TRIAL_DELAY_US, 600_000_000];

/// The maximum number of records in the store; another is removed for a new one.
const MAX_QUARANTINE_RECORDS: usize = 256;

/// The records in the store, each with its revision, by fingerprint.
pub type QuarantineRecords = IndexMap<u64, (QuarantineRecord, u64)>;

/// The record of a request that crashes replicas, which all nodes share; changed by conditional
/// writes only.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct QuarantineRecord {
    /// The fingerprint of the request.
    pub fingerprint: u64,
    /// Whether the request is quarantined, rather than suspected only.
    pub is_quarantined: bool,
    /// The ids of the first crashes that were reported.
    pub crash_ids: Vec<u64>,
    /// The number of trials that nodes have started.
    pub trials: usize,
}

impl QuarantineRecord {
    /// Returns the delay of the next trial, in microseconds; `None` if there is none any more.
    pub fn trial_delay_us(&self) -> Option<u64> {
        TRIAL_DELAYS_US.get(self.trials).copied()
    }
}

/// A write of a record to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum QuarantineWrite {
    /// Writes a record.
    Put {
        /// The record.
        record: QuarantineRecord,
        /// The required revision of the record that it replaces; 0 if there must be none.
        expected_revision: u64,
    },
    /// Removes a record.
    Remove {
        /// The fingerprint of the request.
        fingerprint: u64,
        /// The required revision of the record.
        expected_revision: u64,
    },
}

/// Returns the record to remove for a new one, with its revision; `None` while there is room.
///
/// The oldest record of a suspected request goes first, or else the oldest of all.
pub fn displaced_record(records: &QuarantineRecords) -> Option<&(QuarantineRecord, u64)> {
    let is_full = records.len() >= MAX_QUARANTINE_RECORDS;
    let oldest =
        records.values().min_by_key(|(record, revision)| (record.is_quarantined, *revision));
    oldest.filter(|_| is_full)
}
