//! Defines the record of a quarantine in the store.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// The delay of each trial after the record's last change, in microseconds.
///
/// Replicas are mended within minutes, if at all, and at most three attempts may reach them after
/// the third crash: one may have begun before all nodes knew of it.
const TRIAL_DELAYS_US: [u64; 2] = [30_000_000, 600_000_000];

/// The maximum number of records in the store; the oldest is removed for another.
pub const MAX_QUARANTINE_RECORDS: usize = 256;

/// The records in the store, each with its revision, by fingerprint.
pub type QuarantineRecords = IndexMap<u64, (QuarantineRecord, u64)>;

/// The record of a quarantined request that all nodes share; changed by conditional writes only.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct QuarantineRecord {
    /// The fingerprint of the request.
    pub fingerprint: u64,
    /// The number of trials that nodes have started.
    pub trials: usize,
}

impl QuarantineRecord {
    /// Creates the record of a request that has got no trial.
    pub fn new(fingerprint: u64) -> Self {
        Self { fingerprint, trials: 0 }
    }

    /// Returns the delay of the next trial, in microseconds; `None` if there is none any more.
    pub fn trial_delay_us(&self) -> Option<u64> {
        TRIAL_DELAYS_US.get(self.trials).copied()
    }
}

/// A write of a record to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineWrite {
    /// Adds a record, unless there is one.
    Create(QuarantineRecord),
    /// Replaces a record, unless its revision has changed.
    Replace {
        /// The new record.
        record: QuarantineRecord,
        /// The revision of the record that it replaces.
        revision: u64,
    },
    /// Removes a record, unless its revision has changed.
    Remove {
        /// The fingerprint of the request.
        fingerprint: u64,
        /// The revision of the record.
        revision: u64,
    },
}
