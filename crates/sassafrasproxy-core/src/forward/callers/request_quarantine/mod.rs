//! Quarantines requests that crash the replicas that run them.

mod crash_report;
mod recent_answers;
mod record;

use indexmap::IndexMap;

pub use self::crash_report::CrashReport;
use self::recent_answers::RecentAnswers;
pub use self::record::{
    MAX_QUARANTINE_RECORDS, QuarantineRecord, QuarantineRecords, QuarantineWrite,
};

/// The number of crash reports from which a request is quarantined.
///
/// One replica may crash during a request by coincidence, and two crashes may be reported for a
/// query over many shards when a failure domain is lost. A third crash is attributed to the
/// request.
const MIN_CRASH_REPORTS: usize = 3;

/// The time for which a report counts, in microseconds.
///
/// Longer than callers take between repeats. An answer ends the suspicion sooner.
const REPORT_TTL_US: u64 = 600_000_000;

/// The maximum number of requests for which reports are kept.
const MAX_TRACKED_REQUESTS: usize = 1_024;

/// The time until another try to write a record to the store, in microseconds.
const WRITE_RETRY_US: u64 = 5_000_000;

/// The time after which this node asks the store again for a trial that another node may have got,
/// in microseconds.
const TRIAL_RETRY_US: u64 = 5_000_000;

/// The retry delay of a request that gets no trial any more, in microseconds.
const NO_TRIAL_RETRY_US: u64 = 3_600_000_000;

/// Counts crash reports, and quarantines requests that repeatedly crash replicas.
///
/// Prevents a request that is sent repeatedly from crashing one replica after the other. Reports are
/// sent to all nodes at once, so a request is refused on whichever node the caller asks. A quarantine
/// is recorded in the store, where it outlasts the nodes that know the reports. It ends when a
/// replica answers the request: on a trial that one node for the whole fleet makes with one send, or
/// in a send from before the quarantine.
#[derive(Debug, Default)]
pub struct RequestQuarantine {
    /// The requests that have crash reports or a record, by fingerprint.
    requests: IndexMap<u64, TrackedRequest>,
    recent_answers: RecentAnswers,
}

/// What an added crash report changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportStep {
    /// The report is known already.
    Known,
    /// The report does not count, since a replica answered the request just now.
    Refuted {
        /// Whether peers must be told that the request was answered.
        is_news: bool,
    },
    /// The report counts; the request has this number of reports.
    Counted(usize),
    /// The report quarantines the request.
    Quarantined,
}

/// Whether a request may be sent to replicas.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineDecision {
    /// The request may be sent; it has this number of crash reports.
    Send(usize),
    /// The request may be sent once, as a trial for the whole fleet.
    SendTrial,
    /// The request may be sent once, as a trial, if the store accepts a record in place of the
    /// current one.
    ClaimTrial {
        /// The new record.
        record: QuarantineRecord,
        /// The revision of the record that it replaces.
        revision: u64,
    },
    /// The request is refused.
    Refuse {
        /// The time until it may be tried again, in microseconds.
        retry_after_us: u64,
    },
}

#[derive(Debug)]
struct TrackedRequest {
    /// The expiry of each report, by crash id.
    expiries_us: IndexMap<u64, u64>,
    stage: Stage,
}

#[derive(Debug)]
enum Stage {
    /// There are too few reports.
    Suspected,
    /// The request is quarantined, but this node knows no record of it.
    Unrecorded { write_due_us: u64 },
    /// The store has a record of the quarantine.
    Recorded(KnownRecord),
}

#[derive(Debug)]
struct KnownRecord {
    record: QuarantineRecord,
    revision: u64,
    /// The time of the next trial, in microseconds; `None` if there is none.
    trial_due_us: Option<u64>,
    /// Whether this node has won the trial that the record counts last, and has not used it.
    has_trial: bool,
    /// The time at which to remove the record, in microseconds; `None` while it is needed.
    removal_due_us: Option<u64>,
}

impl RequestQuarantine {
    /// Adds a report of this node or of a peer.
    ///
    /// `write_delay_us` is the time for which this node waits for another to record the quarantine;
    /// 0 if this node saw the crash.
    pub fn add_report(
        &mut self,
        now_us: u64,
        report: CrashReport,
        write_delay_us: u64,
    ) -> ReportStep {
        let fingerprint = report.fingerprint;
        if self.recent_answers.contains(now_us, fingerprint) {
            return ReportStep::Refuted { is_news: self.recent_answers.announce(fingerprint) };
        }
        if !self.make_room(fingerprint) {
            return ReportStep::Known;
        }
        let tracked = self.requests.entry(fingerprint).or_insert_with(|| TrackedRequest {
            expiries_us: IndexMap::new(),
            stage: Stage::Suspected,
        });
        if let Stage::Suspected = tracked.stage {
            tracked.expiries_us.retain(|_, expires_us| *expires_us > now_us);
        }
        if tracked.expiries_us.insert(report.crash_id, now_us + REPORT_TTL_US).is_some() {
            return ReportStep::Known;
        }
        let reports = tracked.expiries_us.len();
        match tracked.stage {
            Stage::Suspected if reports >= MIN_CRASH_REPORTS => {
                tracked.stage = Stage::Unrecorded { write_due_us: now_us + write_delay_us };
                ReportStep::Quarantined
            }
            Stage::Suspected | Stage::Unrecorded { .. } | Stage::Recorded(_) => {
                ReportStep::Counted(reports)
            }
        }
    }

    /// Records that a replica answered a request; returns whether this ends a suspicion, so that
    /// peers must be told.
    pub fn record_answer(&mut self, now_us: u64, fingerprint: u64) -> bool {
        self.recent_answers.insert(now_us, fingerprint);
        let Some(tracked) = self.requests.get_mut(&fingerprint) else { return false };
        match &mut tracked.stage {
            Stage::Suspected | Stage::Unrecorded { .. } => {
                self.requests.shift_remove(&fingerprint);
                self.recent_answers.announce(fingerprint);
                true
            }
            Stage::Recorded(known) => {
                known.removal_due_us.get_or_insert(now_us);
                false
            }
        }
    }

    /// Records that a replica answered a request of a peer, which drops the reports on it.
    ///
    /// A record of it stays until the store removes it.
    pub fn record_peer_answer(&mut self, now_us: u64, fingerprint: u64) {
        self.recent_answers.insert(now_us, fingerprint);
        self.recent_answers.announce(fingerprint);
        let tracked = self.requests.get(&fingerprint);
        if tracked.is_some_and(|tracked| !matches!(tracked.stage, Stage::Recorded(_))) {
            self.requests.shift_remove(&fingerprint);
        }
    }

    /// Replaces the records of the store by the current ones.
    ///
    /// `trial_jitter_us` returns a random time that is added to the delay of a trial.
    pub fn set_records(
        &mut self,
        now_us: u64,
        records: &QuarantineRecords,
        mut trial_jitter_us: impl FnMut() -> u64,
    ) {
        self.requests.retain(|fingerprint, tracked| match tracked.stage {
            Stage::Recorded(_) => records.contains_key(fingerprint),
            Stage::Suspected | Stage::Unrecorded { .. } => true,
        });
        for (record, revision) in records.values() {
            let tracked = self.requests.entry(record.fingerprint).or_insert_with(|| {
                TrackedRequest { expiries_us: IndexMap::new(), stage: Stage::Suspected }
            });
            let (has_trial, removal_due_us) = match &tracked.stage {
                Stage::Recorded(known) if known.revision >= *revision => continue,
                Stage::Recorded(known) => {
                    let is_same = known.record == *record;
                    (known.has_trial && is_same, known.removal_due_us)
                }
                Stage::Suspected | Stage::Unrecorded { .. } => (false, None),
            };
            let delay_us = record.trial_delay_us();
            tracked.stage = Stage::Recorded(KnownRecord {
                record: *record,
                revision: *revision,
                trial_due_us: delay_us.map(|delay_us| now_us + delay_us + trial_jitter_us()),
                has_trial,
                removal_due_us,
            });
        }
    }

    /// Decides whether a request of a caller may be sent.
    pub fn decide(&mut self, now_us: u64, fingerprint: u64) -> QuarantineDecision {
        let Some(tracked) = self.requests.get_mut(&fingerprint) else {
            return QuarantineDecision::Send(0);
        };
        match &mut tracked.stage {
            Stage::Suspected => {
                tracked.expiries_us.retain(|_, expires_us| *expires_us > now_us);
                let reports = tracked.expiries_us.len();
                if reports == 0 {
                    self.requests.shift_remove(&fingerprint);
                }
                QuarantineDecision::Send(reports)
            }
            Stage::Unrecorded { .. } => {
                let delay_us = QuarantineRecord::new(fingerprint).trial_delay_us();
                QuarantineDecision::Refuse { retry_after_us: delay_us.unwrap_or(NO_TRIAL_RETRY_US) }
            }
            Stage::Recorded(known) => known.decide(now_us),
        }
    }

    /// Returns whether sends of a request that is no trial must stop.
    pub fn is_quarantined(&self, fingerprint: u64) -> bool {
        let tracked = self.requests.get(&fingerprint);
        tracked.is_some_and(|tracked| !matches!(tracked.stage, Stage::Suspected))
    }

    /// Records that this node has won the trial that a write claimed with a record.
    pub fn win_trial(&mut self, record: QuarantineRecord) {
        if let Some(known) = self.known_record(record.fingerprint)
            && known.record.trials < record.trials
        {
            known.record = record;
            known.trial_due_us = None;
        }
    }

    /// Records that a trial ended before any replica got the request; the next request takes it.
    pub fn return_trial(&mut self, fingerprint: u64) {
        if let Some(known) = self.known_record(fingerprint) {
            known.has_trial = true;
        }
    }

    /// Returns the time of the next write to the store, in microseconds; `None` if none is due.
    pub fn next_write_us(&self) -> Option<u64> {
        self.requests.values().filter_map(TrackedRequest::write_due_us).min()
    }

    /// Takes the writes to the store that are due; each comes again until the store shows it.
    pub fn take_due_writes(&mut self, now_us: u64) -> Vec<QuarantineWrite> {
        let due = self.requests.iter_mut();
        let due = due.filter(|(_, tracked)| tracked.write_due_us().is_some_and(|at| at <= now_us));
        let writes = due.filter_map(|(fingerprint, tracked)| match &mut tracked.stage {
            Stage::Suspected => None,
            Stage::Unrecorded { write_due_us } => {
                *write_due_us = now_us + WRITE_RETRY_US;
                Some(QuarantineWrite::Create(QuarantineRecord::new(*fingerprint)))
            }
            Stage::Recorded(known) => {
                known.removal_due_us = Some(now_us + WRITE_RETRY_US);
                let (fingerprint, revision) = (*fingerprint, known.revision);
                Some(QuarantineWrite::Remove { fingerprint, revision })
            }
        });
        writes.collect()
    }

    /// Returns the number of quarantined requests.
    pub fn quarantined_count(&self) -> usize {
        let stages = self.requests.values().map(|tracked| &tracked.stage);
        stages.filter(|stage| !matches!(stage, Stage::Suspected)).count()
    }

    fn known_record(&mut self, fingerprint: u64) -> Option<&mut KnownRecord> {
        match &mut self.requests.get_mut(&fingerprint)?.stage {
            Stage::Recorded(known) => Some(known),
            Stage::Suspected | Stage::Unrecorded { .. } => None,
        }
    }

    /// Makes room for the reports on a request; returns whether there is room.
    ///
    /// The oldest of the requests with the fewest reports is dropped: when many replicas crash, the
    /// requests that merely ran there must not displace the one that crashes them.
    fn make_room(&mut self, fingerprint: u64) -> bool {
        if self.requests.len() < MAX_TRACKED_REQUESTS || self.requests.contains_key(&fingerprint) {
            return true;
        }
        let suspected =
            self.requests.iter().filter(|(_, tracked)| matches!(tracked.stage, Stage::Suspected));
        let fewest = suspected.min_by_key(|(_, tracked)| tracked.expiries_us.len());
        let Some(dropped) = fewest.map(|(fingerprint, _)| *fingerprint) else { return false };
        self.requests.shift_remove(&dropped);
        true
    }
}

impl TrackedRequest {
    fn write_due_us(&self) -> Option<u64> {
        match &self.stage {
            Stage::Suspected => None,
            Stage::Unrecorded { write_due_us } => Some(*write_due_us),
            Stage::Recorded(known) => known.removal_due_us,
        }
    }
}

impl KnownRecord {
    fn decide(&mut self, now_us: u64) -> QuarantineDecision {
        if std::mem::take(&mut self.has_trial) {
            return QuarantineDecision::SendTrial;
        }
        let Some(due_us) = self.trial_due_us else {
            return QuarantineDecision::Refuse { retry_after_us: NO_TRIAL_RETRY_US };
        };
        if now_us < due_us {
            return QuarantineDecision::Refuse { retry_after_us: due_us - now_us };
        }
        self.trial_due_us = Some(now_us + TRIAL_RETRY_US);
        let record = QuarantineRecord { trials: self.record.trials + 1, ..self.record };
        QuarantineDecision::ClaimTrial { record, revision: self.revision }
    }
}
