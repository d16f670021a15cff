//! Keeps what a node knows of one request that crashes replicas.

use indexmap::IndexMap;

use super::record::{FIRST_TRIAL_DELAY_US, QuarantineRecord, QuarantineWrite};
use super::{MIN_CRASH_REPORTS, MIN_RECORDED_REPORTS, QuarantineDecision, REPORT_TTL_US};

/// The minimum time until another try to write a record to the store, in microseconds.
///
/// Longer than a call to the store may hang, and short enough for the next call to end before nodes
/// must have caught up after an outage.
const MIN_WRITE_RETRY_US: u64 = 2_000_000;

/// The time after which this node asks the store again for a trial that another node may have got,
/// in microseconds.
const TRIAL_RETRY_US: u64 = 5_000_000;

/// The retry delay of a request that gets no trial any more, in microseconds.
const NO_TRIAL_RETRY_US: u64 = 3_600_000_000;

/// The minimum interval between reports that count on a shared fingerprint, in microseconds.
const SHARED_REPORT_INTERVAL_US: u64 = 1_000_000;

/// A request with crash reports or a record.
#[derive(Debug, Default)]
pub struct TrackedRequest {
    /// The expiry of each report, by crash id; those of a quarantined request do not expire.
    expiries_us: IndexMap<u64, u64>,
    is_quarantined: bool,
    /// The time until which no further report on a shared fingerprint counts, in microseconds.
    shared_pause_until_us: u64,
    record: Option<KnownRecord>,
    /// The time of the next write of the record, in microseconds; `None` if none is needed.
    write_due_us: Option<u64>,
    /// The time for which this node waits for others to write first, also before another try, in
    /// microseconds.
    write_delay_us: u64,
}

#[derive(Debug)]
struct KnownRecord {
    record: QuarantineRecord,
    revision: u64,
    /// Whether the request was answered since, so that the record is to be removed.
    is_refuted: bool,
    /// The time of the next trial, in microseconds; `None` if there is none.
    trial_due_us: Option<u64>,
    /// Whether this node has won the last trial, and has not used it.
    has_trial: bool,
}

impl TrackedRequest {
    /// Returns whether the request is quarantined.
    pub fn is_quarantined(&self) -> bool {
        self.is_quarantined
    }

    /// Returns the number of reports that count.
    pub fn report_count(&self) -> usize {
        self.expiries_us.len()
    }

    /// Returns whether the node knows neither reports nor a record.
    pub fn is_empty(&self) -> bool {
        self.expiries_us.is_empty() && self.record.is_none()
    }

    /// Returns whether the store has a record of the request.
    pub fn has_record(&self) -> bool {
        self.record.is_some()
    }

    /// Returns the time of the next write, in microseconds; `None` if none is needed.
    pub fn write_due_us(&self) -> Option<u64> {
        self.write_due_us
    }

    /// Drops expired reports.
    pub fn expire(&mut self, now_us: u64) {
        if !self.is_quarantined {
            self.expiries_us.retain(|_, expires_us| *expires_us > now_us);
        }
    }

    /// Adds the report of a crash; returns whether it is new.
    pub fn add_report(&mut self, now_us: u64, crash_id: u64, write_delay_us: u64) -> bool {
        let is_new = self.expiries_us.insert(crash_id, now_us + REPORT_TTL_US).is_none();
        let is_recordable =
            (MIN_RECORDED_REPORTS..=MIN_CRASH_REPORTS).contains(&self.report_count());
        if is_new && is_recordable {
            self.bring_write_forward(now_us, write_delay_us);
        }
        is_new
    }

    /// Adds the report of a crash on a fingerprint that requests share; returns whether it is new.
    ///
    /// Crashes at the same time count once: a failure domain that is lost ends replicas under many
    /// requests that share a path.
    pub fn add_shared_report(&mut self, now_us: u64, crash_id: u64, write_delay_us: u64) -> bool {
        if now_us < self.shared_pause_until_us || self.expiries_us.contains_key(&crash_id) {
            return false;
        }
        self.shared_pause_until_us = now_us + SHARED_REPORT_INTERVAL_US;
        self.add_report(now_us, crash_id, write_delay_us)
    }

    /// Quarantines the request; returns whether it was not before.
    pub fn quarantine(&mut self, now_us: u64, write_delay_us: u64) -> bool {
        if self.is_quarantined {
            return false;
        }
        self.is_quarantined = true;
        self.bring_write_forward(now_us, write_delay_us);
        true
    }

    fn bring_write_forward(&mut self, now_us: u64, delay_us: u64) {
        if self.write_due_us.is_none_or(|known_us| now_us + delay_us < known_us) {
            self.delay_write(now_us, delay_us);
        }
    }

    fn delay_write(&mut self, from_us: u64, delay_us: u64) {
        self.write_due_us = Some(from_us + delay_us);
        self.write_delay_us = delay_us;
    }

    /// Drops the reports, as the request was answered, and returns their crash ids; the record, if
    /// any, is to be removed after a delay, in microseconds.
    pub fn refute(&mut self, now_us: u64, removal_delay_us: u64) -> Vec<u64> {
        let crash_ids = self.expiries_us.drain(..).map(|(crash_id, _)| crash_id).collect();
        self.is_quarantined = false;
        self.write_due_us = None;
        if let Some(known) = &mut self.record {
            known.is_refuted = true;
            self.delay_write(now_us, removal_delay_us);
        }
        crash_ids
    }

    /// Applies the record of the store, unless it is known.
    pub fn set_record(
        &mut self,
        now_us: u64,
        record: &QuarantineRecord,
        revision: u64,
        delay_us: u64,
    ) {
        let known = self.record.as_ref();
        if known.is_some_and(|known| known.revision >= revision) {
            return;
        }
        let has_trial = known.is_some_and(|known| known.has_trial && known.record == *record);
        for crash_id in &record.crash_ids {
            self.expiries_us.insert(*crash_id, now_us + REPORT_TTL_US);
        }
        self.is_quarantined |= record.is_quarantined;
        let trial_delay_us = record.trial_delay_us().filter(|_| self.is_quarantined);
        self.record = Some(KnownRecord {
            record: record.clone(),
            revision,
            is_refuted: false,
            trial_due_us: trial_delay_us.map(|trial_us| now_us + trial_us + delay_us),
            has_trial,
        });
        match (self.is_quarantined, record.is_quarantined) {
            (true, true) => self.write_due_us = None,
            // The record lacks a report that this node has.
            (true, false) => self.delay_write(now_us, delay_us),
            // A suspicion that nothing confirms is removed.
            (false, _) => self.delay_write(now_us + REPORT_TTL_US, delay_us),
        }
    }

    /// Forgets the record, which the store no longer has, and the reports from before its removal.
    pub fn forget_record(&mut self, now_us: u64) {
        let is_refuted = self.record.take().is_some_and(|known| known.is_refuted);
        if !is_refuted {
            *self = Self::default();
            return;
        }
        // The reports that are left are newer than the answer.
        self.write_due_us = (self.report_count() >= MIN_RECORDED_REPORTS).then_some(now_us);
    }

    /// Records that this node has won the trial that a record counts.
    pub fn win_trial(&mut self, record: &QuarantineRecord) {
        if let Some(known) = &mut self.record
            && known.record.trials < record.trials
        {
            known.record = record.clone();
            known.trial_due_us = None;
        }
    }

    /// Records that a trial ended before any replica got the request; the next request takes it.
    pub fn return_trial(&mut self) {
        if let Some(known) = &mut self.record {
            known.has_trial = true;
        }
    }

    /// Decides whether the request may be sent.
    pub fn decide(&mut self, now_us: u64) -> QuarantineDecision {
        if !self.is_quarantined {
            return QuarantineDecision::Send(self.report_count());
        }
        let refuse = |retry_after_us| QuarantineDecision::Refuse { retry_after_us };
        let known = self.record.as_mut().filter(|known| !known.is_refuted);
        let Some(known) = known else { return refuse(FIRST_TRIAL_DELAY_US) };
        if std::mem::take(&mut known.has_trial) {
            return QuarantineDecision::SendTrial;
        }
        let Some(due_us) = known.trial_due_us else { return refuse(NO_TRIAL_RETRY_US) };
        if now_us < due_us {
            return refuse(due_us - now_us);
        }
        known.trial_due_us = Some(now_us + TRIAL_RETRY_US);
        let record = QuarantineRecord { trials: known.record.trials + 1, ..known.record.clone() };
        QuarantineDecision::ClaimTrial { record, expected_revision: known.revision }
    }

    /// Takes the write to the store that is due; it comes again until the store shows it.
    pub fn take_due_write(&mut self, now_us: u64, fingerprint: u64) -> Option<QuarantineWrite> {
        if now_us < self.write_due_us? {
            return None;
        }
        self.write_due_us = Some(now_us + MIN_WRITE_RETRY_US + self.write_delay_us);
        self.expire(now_us);
        let known = self.record.as_ref();
        let expected_revision = known.map_or(0, |known| known.revision);
        let is_needed = known.is_none_or(|known| !known.is_refuted) && !self.expiries_us.is_empty();
        if is_needed {
            let crash_ids = self.expiries_us.keys().copied().take(MIN_CRASH_REPORTS).collect();
            let trials = known.map_or(0, |known| known.record.trials);
            let is_quarantined = self.is_quarantined;
            let record = QuarantineRecord { fingerprint, is_quarantined, crash_ids, trials };
            return Some(QuarantineWrite::Put { record, expected_revision });
        }
        if known.is_none() {
            self.write_due_us = None;
            return None;
        }
        Some(QuarantineWrite::Remove { fingerprint, expected_revision })
    }
}
