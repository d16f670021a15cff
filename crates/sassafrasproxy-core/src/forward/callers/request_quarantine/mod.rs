//! Quarantines requests that crash the replicas that run them.

mod crash_report;
mod crash_wave;
mod fingerprints;
mod recent_answers;
mod record;
mod refuted_reports;
mod tracked_request;

use indexmap::IndexMap;

pub use self::crash_report::{CrashReport, fingerprint_text};
use self::crash_wave::CrashWave;
pub use self::fingerprints::{FingerprintedRequest, RequestFingerprints};
use self::recent_answers::RecentAnswers;
pub use self::record::{QuarantineRecord, QuarantineRecords, QuarantineWrite, displaced_record};
use self::refuted_reports::RefutedReports;
use self::tracked_request::TrackedRequest;

/// The number of crash reports from which a request is quarantined.
///
/// One replica may crash during a request by coincidence, and two crashes may be reported for a
/// query over many shards when a failure domain is lost. A third crash is attributed to the
/// request.
const MIN_CRASH_REPORTS: usize = 3;

/// The number of crash reports from which a request is quarantined while replicas crash under many
/// requests at once, as when a failure domain is lost.
const MIN_UNCERTAIN_REPORTS: usize = 6;

/// The number of crash reports from which the store has a record of a request, so that the reports
/// outlast the nodes that know them.
const MIN_RECORDED_REPORTS: usize = 2;

/// The time for which a report counts, in microseconds.
///
/// Longer than callers take between repeats. An answer ends the suspicion sooner.
const REPORT_TTL_US: u64 = 600_000_000;

/// The maximum number of requests for which reports are kept.
const MAX_TRACKED_REQUESTS: usize = 1_024;

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
    refuted_reports: RefutedReports,
    crash_wave: CrashWave,
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
#[derive(Debug, Clone, PartialEq, Eq)]
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
        expected_revision: u64,
    },
    /// The request is refused.
    Refuse {
        /// The time until it may be tried again, in microseconds.
        retry_after_us: u64,
    },
}

impl RequestQuarantine {
    /// Creates the state of a node that starts, which has seen no answers yet.
    pub fn starting_at(now_us: u64) -> Self {
        Self { recent_answers: RecentAnswers::starting_at(now_us), ..Self::default() }
    }

    /// Adds a report of this node or of a peer.
    ///
    /// `write_delay_us` is the time for which this node waits for another to record it; 0 if this
    /// node saw the crash.
    pub fn add_report(
        &mut self,
        now_us: u64,
        report: CrashReport,
        write_delay_us: u64,
    ) -> ReportStep {
        let fingerprint = report.fingerprint;
        if self.refuted_reports.contains(now_us, report.crash_id) {
            return ReportStep::Known;
        }
        if self.recent_answers.contains(now_us, fingerprint) {
            self.refuted_reports.insert(now_us, [report.crash_id]);
            return ReportStep::Refuted {
                is_news: self.recent_answers.announce(now_us, fingerprint),
            };
        }
        if !self.make_room(fingerprint) {
            return ReportStep::Known;
        }
        let tracked = self.requests.entry(fingerprint).or_default();
        tracked.expire(now_us);
        let is_new = match report.is_shared() {
            true => tracked.add_shared_report(now_us, report.crash_id, write_delay_us),
            false => tracked.add_report(now_us, report.crash_id, write_delay_us),
        };
        if !is_new {
            return ReportStep::Known;
        }
        if !report.is_shared() {
            self.crash_wave.record(now_us, fingerprint);
        }
        let is_uncertain = match self.recent_answers.is_complete(now_us) {
            true => self.crash_wave.is_running(),
            false => self.crash_wave.is_possible(),
        };
        let min_reports = if is_uncertain { MIN_UNCERTAIN_REPORTS } else { MIN_CRASH_REPORTS };
        let is_enough = tracked.report_count() >= min_reports;
        if is_enough && tracked.quarantine(now_us, write_delay_us) {
            return ReportStep::Quarantined;
        }
        ReportStep::Counted(tracked.report_count())
    }

    /// Records that a replica answered a request with a fingerprint; returns whether this ends a
    /// suspicion, so that peers must be told.
    pub fn record_answer(&mut self, now_us: u64, fingerprint: u64) -> bool {
        self.recent_answers.insert(now_us, fingerprint);
        let is_suspected =
            self.requests.get(&fingerprint).is_some_and(|tracked| tracked.report_count() > 0);
        if is_suspected {
            self.refute(now_us, fingerprint, 0);
            self.recent_answers.announce(now_us, fingerprint);
        }
        is_suspected
    }

    /// Records that a replica answered a request; returns the fingerprints on which this ends a
    /// suspicion, so that peers must be told.
    pub fn record_request_answer(
        &mut self,
        now_us: u64,
        fingerprints: &RequestFingerprints,
    ) -> Vec<u64> {
        // The shared fingerprints of a remembered request are remembered too.
        if self.requests.is_empty() && self.recent_answers.is_current(now_us, fingerprints.exact) {
            return Vec::new();
        }
        let fingerprints = fingerprints.all();
        fingerprints.filter(|fingerprint| self.record_answer(now_us, *fingerprint)).collect()
    }

    /// Records that a replica answered a request of a peer, which drops the reports on it.
    ///
    /// `write_delay_us` is the time for which this node waits for that peer to remove the record.
    pub fn record_peer_answer(&mut self, now_us: u64, fingerprint: u64, write_delay_us: u64) {
        self.recent_answers.insert(now_us, fingerprint);
        self.recent_answers.announce(now_us, fingerprint);
        self.refute(now_us, fingerprint, write_delay_us);
    }

    /// Replaces the records of the store by the current ones.
    ///
    /// `random_delay_us` returns a random time that is added to the delay of a trial or write, so
    /// that not all nodes act at once.
    pub fn set_records(
        &mut self,
        now_us: u64,
        records: &QuarantineRecords,
        mut random_delay_us: impl FnMut() -> u64,
    ) {
        for (fingerprint, tracked) in &mut self.requests {
            if tracked.has_record() && !records.contains_key(fingerprint) {
                tracked.forget_record(now_us);
            }
        }
        self.requests.retain(|_, tracked| !tracked.is_empty());
        for (fingerprint, (record, revision)) in records {
            let tracked = self.requests.entry(*fingerprint).or_default();
            let delay_us = random_delay_us();
            tracked.set_record(now_us, record, *revision, delay_us);
            // The record was on its way while the request was answered.
            if self.recent_answers.contains(now_us, *fingerprint) {
                self.refuted_reports.insert(now_us, tracked.refute(now_us, delay_us));
            }
        }
    }

    /// Decides whether a request of a caller may be sent; returns the fingerprint that decides too.
    pub fn decide_on_request(
        &mut self,
        now_us: u64,
        fingerprints: &RequestFingerprints,
    ) -> (u64, QuarantineDecision) {
        let mut max_reports = 0;
        for fingerprint in fingerprints.all() {
            match self.decide(now_us, fingerprint) {
                QuarantineDecision::Send(reports) => max_reports = reports.max(max_reports),
                decision @ (QuarantineDecision::SendTrial
                | QuarantineDecision::ClaimTrial { .. }
                | QuarantineDecision::Refuse { .. }) => return (fingerprint, decision),
            }
        }
        (fingerprints.exact, QuarantineDecision::Send(max_reports))
    }

    /// Decides by one fingerprint of a request whether it may be sent.
    pub fn decide(&mut self, now_us: u64, fingerprint: u64) -> QuarantineDecision {
        let Some(tracked) = self.requests.get_mut(&fingerprint) else {
            return QuarantineDecision::Send(0);
        };
        tracked.expire(now_us);
        if tracked.is_empty() {
            self.requests.shift_remove(&fingerprint);
            return QuarantineDecision::Send(0);
        }
        tracked.decide(now_us)
    }

    /// Returns whether sends of a request that is no trial must stop.
    pub fn is_request_quarantined(&self, fingerprints: &RequestFingerprints) -> bool {
        fingerprints.all().any(|fingerprint| self.is_quarantined(fingerprint))
    }

    /// Returns whether requests with a fingerprint are quarantined.
    pub fn is_quarantined(&self, fingerprint: u64) -> bool {
        self.requests.get(&fingerprint).is_some_and(TrackedRequest::is_quarantined)
    }

    /// Records that this node has won the trial that it claimed with a record.
    pub fn win_trial(&mut self, record: &QuarantineRecord) {
        if let Some(tracked) = self.requests.get_mut(&record.fingerprint) {
            tracked.win_trial(record);
        }
    }

    /// Records that a trial ended before any replica got the request; the next request takes it.
    pub fn return_trial(&mut self, fingerprint: u64) {
        if let Some(tracked) = self.requests.get_mut(&fingerprint) {
            tracked.return_trial();
        }
    }

    /// Returns the time of the next write to the store, in microseconds; `None` if none is needed.
    pub fn next_write_us(&self) -> Option<u64> {
        self.requests.values().filter_map(TrackedRequest::write_due_us).min()
    }

    /// Takes the writes to the store that are due; each comes again until the store shows it.
    pub fn take_due_writes(&mut self, now_us: u64) -> Vec<QuarantineWrite> {
        let requests = self.requests.iter_mut();
        requests
            .filter_map(|(fingerprint, tracked)| tracked.take_due_write(now_us, *fingerprint))
            .collect()
    }

    /// Returns whether replicas crash under many requests at this moment, so that what these share
    /// tells nothing.
    pub fn sees_crash_wave(&mut self, now_us: u64) -> bool {
        self.crash_wave.drop_old(now_us);
        self.crash_wave.is_running()
    }

    /// Returns the number of quarantined requests.
    pub fn quarantined_count(&self) -> usize {
        self.requests.values().filter(|tracked| tracked.is_quarantined()).count()
    }

    fn refute(&mut self, now_us: u64, fingerprint: u64, removal_delay_us: u64) {
        let Some(tracked) = self.requests.get_mut(&fingerprint) else { return };
        self.refuted_reports.insert(now_us, tracked.refute(now_us, removal_delay_us));
        if tracked.is_empty() {
            self.requests.shift_remove(&fingerprint);
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
        let droppable = self.requests.iter();
        let droppable = droppable.filter(|(_, tracked)| !tracked.has_record());
        let fewest = droppable.min_by_key(|(_, tracked)| tracked.report_count());
        let Some(dropped) = fewest.map(|(fingerprint, _)| *fingerprint) else { return false };
        self.requests.shift_remove(&dropped);
        true
    }
}
