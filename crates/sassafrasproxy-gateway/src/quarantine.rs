//! Keeps the quarantine of requests that crash replicas, and exchanges what changes it with the
//! control thread.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use ecow::EcoString;
use sassafrasproxy_clock::Clock;
use sassafrasproxy_core::{
    CrashReport, QuarantineDecision, QuarantineRecord, QuarantineRecords, QuarantineWrite,
    ReportStep, RequestFingerprints, RequestQuarantine, US_PER_MS, fingerprint_text,
};
use tokio::sync::{Notify, mpsc, oneshot};
use tokio::time::timeout;

use crate::metrics::GatewayMetrics;
use crate::request::CallerRequest;

/// The time that each further node adds to the time within which one of the nodes that know the same
/// writes to the store, in microseconds.
///
/// A write reaches the other nodes within about this time, so that few of them write too, however
/// many there are.
const SPREAD_PER_NODE_US: u64 = 100_000;

/// The timeout of asking the store for a trial; the caller waits for it.
const TRIAL_CLAIM_TIMEOUT: Duration = Duration::from_millis(250);

/// News of a request that may crash replicas.
#[derive(Debug, Clone, Copy)]
pub enum CrashNotice {
    /// A replica crashed while it ran the request.
    Crashed(CrashReport),
    /// A replica answered the request with this fingerprint.
    Answered(u64),
}

/// A notice that a peer passed on.
#[derive(Debug)]
pub struct PeerCrashNotice {
    /// The name of the peer, which may have got the notice from another.
    pub peer: EcoString,
    /// The notice.
    pub notice: CrashNotice,
}

/// A write of a quarantine record for the control thread.
#[derive(Debug)]
pub struct QuarantineWriteCall {
    /// The write.
    pub write: QuarantineWrite,
    /// Gets whether the store accepted the write; `None` if nobody waits for it.
    pub is_accepted: Option<oneshot::Sender<bool>>,
}

/// How a request may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineAdmission {
    /// The request may be sent as usual.
    Admitted,
    /// The request may be sent once, as the trial of a quarantined fingerprint.
    Trial {
        /// The fingerprint.
        fingerprint: u64,
    },
    /// The request is refused.
    Refused {
        /// The time after which it may be tried again, in milliseconds.
        retry_after_ms: u64,
    },
}

/// The quarantine of requests, as the traffic thread uses it.
pub struct Quarantine {
    clock: Clock,
    metrics: Arc<GatewayMetrics>,
    requests: RefCell<RequestQuarantine>,
    /// The records that were applied last.
    records: RefCell<Arc<QuarantineRecords>>,
    node_count: Cell<usize>,
    /// Passes the notices of this node to the control thread, which sends them to peers.
    notices: mpsc::UnboundedSender<CrashNotice>,
    /// Passes writes to the control thread.
    writes: mpsc::UnboundedSender<QuarantineWriteCall>,
    /// Notified when a write may be due.
    write_due: Notify,
}

impl Quarantine {
    /// Creates a quarantine without reports and records.
    pub fn new(
        clock: Clock,
        metrics: Arc<GatewayMetrics>,
        notices: mpsc::UnboundedSender<CrashNotice>,
        writes: mpsc::UnboundedSender<QuarantineWriteCall>,
    ) -> Self {
        Self {
            clock,
            metrics,
            requests: RefCell::new(RequestQuarantine::starting_at(clock.now_us())),
            records: RefCell::default(),
            node_count: Cell::new(1),
            notices,
            writes,
            write_due: Notify::new(),
        }
    }

    /// Applies the notices of peers until the control thread ends.
    pub async fn follow_peers(
        self: Rc<Self>,
        mut notices: mpsc::UnboundedReceiver<PeerCrashNotice>,
    ) {
        while let Some(PeerCrashNotice { peer, notice }) = notices.recv().await {
            match notice {
                CrashNotice::Crashed(report) => {
                    self.add_report(&peer, report, self.random_spread_us());
                }
                CrashNotice::Answered(fingerprint) => {
                    let (now_us, delay_us) = (self.clock.now_us(), self.random_spread_us());
                    self.requests.borrow_mut().record_peer_answer(now_us, fingerprint, delay_us);
                    self.update();
                }
            }
        }
    }

    /// Passes the writes of records to the control thread when they are due.
    pub async fn write_when_due(self: Rc<Self>) {
        loop {
            let Some(due_us) = self.requests.borrow().next_write_us() else {
                self.write_due.notified().await;
                continue;
            };
            let wait = Duration::from_micros(due_us.saturating_sub(self.clock.now_us()));
            // A notification may bring the next write forward.
            if timeout(wait, self.write_due.notified()).await.is_ok() {
                continue;
            }
            let writes = self.requests.borrow_mut().take_due_writes(self.clock.now_us());
            for write in writes {
                // The channel is closed if the control thread has ended.
                let _ = self.writes.send(QuarantineWriteCall { write, is_accepted: None });
            }
        }
    }

    /// Applies the records of the store, and the number of nodes.
    pub fn set_records(&self, records: &Arc<QuarantineRecords>, node_count: usize) {
        self.node_count.set(node_count);
        if Arc::ptr_eq(&self.records.replace(records.clone()), records) {
            return;
        }
        let now_us = self.clock.now_us();
        self.requests.borrow_mut().set_records(now_us, records, || self.random_spread_us());
        self.update();
    }

    /// Records that a replica crashed while it ran a request; a new report also goes to the peers.
    pub fn record_crash(&self, report: CrashReport) {
        if self.add_report("", report, 0) {
            self.notify_peers(CrashNotice::Crashed(report));
        }
    }

    /// Records the crash of a replica for what the request shares with others, unless replicas crash
    /// for a reason of their own.
    pub fn record_shared_crash(&self, fingerprints: &RequestFingerprints) {
        if self.requests.borrow_mut().sees_crash_wave(self.clock.now_us()) {
            return;
        }
        for fingerprint in &fingerprints.shared {
            self.record_crash(CrashReport::of_shared(*fingerprint, fingerprints.exact));
        }
    }

    /// Records that a replica answered a request.
    pub fn record_answer(&self, fingerprints: &RequestFingerprints) {
        let now_us = self.clock.now_us();
        let refuted = self.requests.borrow_mut().record_request_answer(now_us, fingerprints);
        if refuted.is_empty() {
            return;
        }
        for fingerprint in refuted {
            log::info!(
                fingerprint:% = fingerprint_text(fingerprint);
                "a request with crash reports was answered"
            );
            self.notify_peers(CrashNotice::Answered(fingerprint));
        }
        self.update();
    }

    /// Decides whether a request of a caller may be sent, and asks the store for a trial if one is
    /// due.
    pub async fn admit(&self, request: &CallerRequest) -> QuarantineAdmission {
        let (mut decisive, mut decision) = self.decide(request);
        if let QuarantineDecision::ClaimTrial { record, expected_revision } = decision {
            (decisive, decision) = match self.claim_trial(&record, expected_revision).await {
                true => (decisive, QuarantineDecision::SendTrial),
                false => self.decide(request),
            };
        }
        let (id, fingerprint) = (&request.attempt_id, fingerprint_text(decisive));
        let retry_after_us = match decision {
            QuarantineDecision::Send(0) => return QuarantineAdmission::Admitted,
            QuarantineDecision::Send(reports) => {
                log::info!(
                    request:% = id, fingerprint:%, reports;
                    "let a request with crash reports through"
                );
                return QuarantineAdmission::Admitted;
            }
            QuarantineDecision::SendTrial => {
                log::info!(
                    request:% = id, fingerprint:%;
                    "let a quarantined request through as a trial"
                );
                return QuarantineAdmission::Trial { fingerprint: decisive };
            }
            QuarantineDecision::ClaimTrial { .. } => 0,
            QuarantineDecision::Refuse { retry_after_us } => retry_after_us,
        };
        let retry_after_ms = retry_after_us / US_PER_MS;
        log::info!(
            request:% = id, fingerprint:%, retry_after_ms;
            "refused a quarantined request that crashes replicas"
        );
        QuarantineAdmission::Refused { retry_after_ms }
    }

    /// Decides on a request; returns the fingerprint that decides too.
    fn decide(&self, request: &CallerRequest) -> (u64, QuarantineDecision) {
        let now_us = self.clock.now_us();
        self.requests.borrow_mut().decide_on_request(now_us, &request.fingerprints)
    }

    /// Returns whether no further send of a request may start.
    pub fn stops_sends(&self, request: &CallerRequest) -> bool {
        !request.progress.is_trial()
            && self.requests.borrow().is_request_quarantined(&request.fingerprints)
    }

    /// Records the end of a fingerprint's trial, which may be tried again if no replica can have run
    /// it.
    pub fn finish_trial(&self, request: &CallerRequest, fingerprint: u64) {
        if !request.progress.may_have_run() {
            self.requests.borrow_mut().return_trial(fingerprint);
        }
    }

    async fn claim_trial(&self, record: &QuarantineRecord, expected_revision: u64) -> bool {
        let (sender, is_accepted) = oneshot::channel();
        let write = QuarantineWrite::Put { record: record.clone(), expected_revision };
        // The channel is closed if the control thread has ended; the claim fails then.
        let _ = self.writes.send(QuarantineWriteCall { write, is_accepted: Some(sender) });
        let is_won = matches!(timeout(TRIAL_CLAIM_TIMEOUT, is_accepted).await, Ok(Ok(true)));
        if is_won {
            self.requests.borrow_mut().win_trial(record);
        }
        is_won
    }

    /// Adds a report that `peer` passed on, or, if that is empty, of this node; returns whether
    /// peers must be told.
    fn add_report(&self, peer: &str, report: CrashReport, write_delay_us: u64) -> bool {
        let now_us = self.clock.now_us();
        let step = self.requests.borrow_mut().add_report(now_us, report, write_delay_us);
        let (fingerprint, crash) = (fingerprint_text(report.fingerprint), report.crash_id);
        match step {
            ReportStep::Known => return false,
            ReportStep::Refuted { is_news } => {
                log::info!(
                    fingerprint:%, crash, peer;
                    "a crash report does not count, as the request was just answered"
                );
                if is_news {
                    self.notify_peers(CrashNotice::Answered(report.fingerprint));
                }
                return false;
            }
            ReportStep::Counted(reports) => {
                log::info!(fingerprint:%, crash, peer, reports; "a crash report was added");
            }
            ReportStep::Quarantined => {
                log::warn!(fingerprint:%, crash, peer; "a request is quarantined");
            }
        }
        self.update();
        true
    }

    fn notify_peers(&self, notice: CrashNotice) {
        // The channel is closed if the control thread has ended.
        let _ = self.notices.send(notice);
    }

    /// Updates the metrics and the time of the next write after a change.
    fn update(&self) {
        let count = self.requests.borrow().quarantined_count();
        self.metrics.quarantined_requests.set(count as i64);
        self.write_due.notify_one();
    }

    /// Returns a random time within which one of the nodes writes first.
    fn random_spread_us(&self) -> u64 {
        let spread_us = self.node_count.get() as u64 * SPREAD_PER_NODE_US;
        (rand::random::<f64>() * spread_us as f64) as u64
    }
}
