//! Handles the results of attempts, replica statuses and passed deadlines.

use ecow::EcoString;
use indexmap::IndexSet;
use sassafrasproxy_wire::{FailureReason, ShardId, SubRequestOutcome, TimelineEventKind};

use super::crash_suspects::CrashVerdict;
use super::replica::{Phase, Replica};
use super::{
    Attempt, AttemptId, AttemptReport, AttemptResult, PendingSubRequest, Scheduler,
    SchedulerEffect, StatusReport, SubRequestId,
};

/// The number of attempts after which the home no longer retries a sub-request.
const MAX_ATTEMPTS: u32 = 4;

impl Scheduler {
    /// Handles the end of an attempt.
    pub(super) fn handle_finished(
        &mut self,
        now_us: u64,
        attempt_id: AttemptId,
        report: &AttemptReport,
    ) {
        let Some(attempt) = self.release_slot(attempt_id) else { return };
        self.report_to_new_home(now_us);
        self.record_headers(now_us, &attempt, report);
        match report.result {
            AttemptResult::Answered => self.handle_answer(now_us, attempt_id, &attempt),
            AttemptResult::Shed { retry_after_us } => {
                self.handle_shed(now_us, &attempt, retry_after_us);
            }
            AttemptResult::NotHeld => self.handle_not_held(now_us, &attempt),
            AttemptResult::NotSent => {
                self.retry_or_reply(&attempt, FailureReason::DeadlineExceeded, false);
            }
            AttemptResult::ConnectFailed => {
                self.update_replica(&attempt.replica, Replica::mark_down);
                self.retry_or_reply(&attempt, FailureReason::ConnectFailed, false);
            }
            AttemptResult::ConnectionLost => self.handle_connection_lost(&attempt),
            AttemptResult::TimedOut => {
                self.handle_failure(&attempt, FailureReason::DeadlineExceeded);
            }
            AttemptResult::Mismatched => {
                self.retire_connections(&attempt.replica);
                self.handle_bad_answer(now_us, &attempt, FailureReason::Mismatched);
            }
            AttemptResult::Malformed => {
                self.retire_connections(&attempt.replica);
                self.handle_bad_answer(now_us, &attempt, FailureReason::Malformed);
            }
            AttemptResult::Failed => {
                self.handle_bad_answer(now_us, &attempt, FailureReason::UpstreamFailed);
            }
        }
    }

    /// Records the boot id and the drain mark of the answer's headers, whatever the result is.
    fn record_headers(&mut self, now_us: u64, attempt: &Attempt, report: &AttemptReport) {
        if let Some(boot_id) = &report.boot_id {
            self.update_replica(&attempt.replica, |replica| {
                replica.record_boot_id(boot_id, now_us)
            });
        }
        if report.is_draining {
            self.update_replica(&attempt.replica, |replica| replica.mark_draining("answer"));
        }
    }

    /// Replies with the first good answer and cancels the sub-request's other attempts.
    fn handle_answer(&mut self, now_us: u64, attempt_id: AttemptId, attempt: &Attempt) {
        let latency_us = now_us.saturating_sub(attempt.started_us);
        let may_grow = self.may_grow_limits(now_us);
        let policy = self.configuration.policy;
        let warm_us = self.replicas.values().filter_map(Replica::typical_latency_us).min();
        self.update_replica(&attempt.replica, |replica| {
            replica.record_answer(now_us, latency_us, &policy, warm_us, may_grow)
        });
        self.suspects.mark_harmless(attempt.fingerprint);
        let Some(state) = self.pending.get(&attempt.sub_request) else { return };
        let shard = state.spec.shard.clone();
        self.latencies.entry(shard).or_default().record(latency_us);
        self.reply(attempt.sub_request, SubRequestOutcome::Answered, Some(attempt_id));
    }

    /// Pauses a replica that shed a sub-request, and retries the sub-request, which did not run.
    fn handle_shed(&mut self, now_us: u64, attempt: &Attempt, retry_after_us: u64) {
        let policy = self.configuration.policy;
        self.update_replica(&attempt.replica, |replica| {
            replica.record_shed(now_us, retry_after_us, &policy)
        });
        self.retry_or_reply(attempt, FailureReason::Shed, false);
    }

    /// Stops asking a replica for a shard that it does not hold, reads its status and retries the
    /// sub-request, which did not run.
    fn handle_not_held(&mut self, now_us: u64, attempt: &Attempt) {
        let until_us = now_us + self.configuration.policy.not_held_ttl_us;
        if let (Some(replica), Some(state)) =
            (self.replicas.get_mut(&attempt.replica), self.pending.get(&attempt.sub_request))
        {
            replica.last_answer_us = now_us;
            replica.record_not_held(state.spec.snapshot, &state.spec.shard, until_us);
        }
        self.send_probe(&attempt.replica);
        self.effects.push(SchedulerEffect::PublishHoldings);
        self.retry_or_reply(attempt, FailureReason::NotHeld, false);
    }

    /// Probes the replica to find out whether it crashed; a retry waits until the probe ends.
    ///
    /// Guards against counting a lost connection as a crash: only a refused new connection or a
    /// new boot id, seen by a probe sent after the loss, confirms a crash.
    fn handle_connection_lost(&mut self, attempt: &Attempt) {
        let probe_id = self.send_probe(&attempt.replica);
        if let Some(replica) = self.replicas.get_mut(&attempt.replica) {
            replica.await_probe(probe_id, attempt.fingerprint);
        }
        self.handle_failure(attempt, FailureReason::ConnectionLost);
    }

    /// Handles a bad answer; several in a row make the scheduler back off from the replica.
    fn handle_bad_answer(&mut self, now_us: u64, attempt: &Attempt, reason: FailureReason) {
        if let Some(replica) = self.replicas.get_mut(&attempt.replica) {
            replica.failure_backoff.record_failure(now_us);
        }
        self.handle_failure(attempt, reason);
    }

    /// Handles a failed attempt that may have run.
    fn handle_failure(&mut self, attempt: &Attempt, reason: FailureReason) {
        self.retry_or_reply(attempt, reason, true);
    }

    /// Queues a sub-request for a retry, or replies with a failure if it may not be sent again.
    ///
    /// Does neither while another attempt is active or the sub-request is queued already.
    fn retry_or_reply(&mut self, attempt: &Attempt, reason: FailureReason, may_have_run: bool) {
        let Some(state) = self.pending.get_mut(&attempt.sub_request) else { return };
        state.failed_replicas.push(attempt.replica.clone());
        state.last_reason = Some(reason);
        state.may_have_run |= may_have_run;
        if !state.active_attempts.is_empty() || self.queue.contains(&attempt.sub_request) {
            return;
        }
        if may_have_run && !state.spec.is_idempotent {
            return self.reply(attempt.sub_request, SubRequestOutcome::Unknown { reason }, None);
        }
        if state.attempt_count >= MAX_ATTEMPTS {
            let outcome = self.refusal_outcome(attempt.sub_request, reason);
            return self.reply(attempt.sub_request, outcome, None);
        }
        state.needs_budget = may_have_run;
        self.queue.push_front(attempt.sub_request);
        self.record_retry(attempt.sub_request, reason);
    }

    /// Records a retry on the timeline.
    pub(super) fn record_retry(&mut self, sub_request: SubRequestId, reason: FailureReason) {
        let Some(state) = self.pending.get(&sub_request) else { return };
        let shard = ShardId::new(self.configuration.service.clone(), state.spec.shard.clone());
        let kind = TimelineEventKind::Retried { shard, reason };
        self.effects.push(SchedulerEffect::RecordEvent { sub_request: Some(sub_request), kind });
    }

    /// Handles a status or the failure to read it, and completes the crash check that awaited it.
    pub(super) fn handle_status(
        &mut self,
        now_us: u64,
        address: &EcoString,
        probe_id: Option<u64>,
        report: &StatusReport,
    ) {
        let Some(replica) = self.replicas.get_mut(address) else { return };
        let old_snapshots = replica.held_snapshots().to_vec();
        let mut crash_fingerprints = IndexSet::new();
        if probe_id.is_some() && probe_id == replica.awaited_probe_id {
            replica.awaited_probe_id = None;
            let is_crash = replica.confirms_crash(report);
            crash_fingerprints = std::mem::take(&mut replica.lost_fingerprints);
            crash_fingerprints.retain(|_| is_crash);
        }
        let slots = self.configuration.policy.slots;
        match report {
            StatusReport::Read(status) => {
                self.update_replica(address, |replica| {
                    replica.record_status(status, slots, now_us)
                });
            }
            StatusReport::Unreachable => {
                self.update_replica(address, Replica::mark_down);
            }
            StatusReport::Unreadable if replica.phase == Phase::Unknown => {
                self.update_replica(address, Replica::mark_down);
            }
            // An unreadable status does not show that the replica is down: it may still answer.
            StatusReport::Unreadable => {}
        }
        if self
            .replicas
            .get(address)
            .is_some_and(|replica| replica.held_snapshots() != old_snapshots)
        {
            self.effects.push(SchedulerEffect::PublishHoldings);
        }
        for fingerprint in crash_fingerprints {
            self.confirm_crash(now_us, fingerprint);
        }
    }

    /// Records a crash of a replica that ran a request: marks the request as a crash suspect or
    /// quarantines it.
    fn confirm_crash(&mut self, now_us: u64, fingerprint: u64) {
        let ttl_us = self.configuration.policy.quarantine_ttl_us;
        let text = ecow::eco_format!("{fingerprint:016x}");
        let kind = match self.suspects.record_crash(fingerprint, now_us, ttl_us) {
            CrashVerdict::Suspected => TimelineEventKind::RequestSuspected { fingerprint: text },
            CrashVerdict::Quarantined => {
                self.effects.push(SchedulerEffect::AnnounceQuarantine { fingerprint, ttl_us });
                TimelineEventKind::RequestQuarantined { fingerprint: text }
            }
        };
        self.effects.push(SchedulerEffect::RecordEvent { sub_request: None, kind });
    }

    /// Replies to the sub-requests whose deadline has passed.
    pub(super) fn reply_overdue(&mut self, now_us: u64) {
        let is_overdue = |state: &&PendingSubRequest| state.spec.deadline_us <= now_us;
        let overdue: Vec<SubRequestId> =
            self.pending.values().filter(is_overdue).map(|state| state.spec.id).collect();
        for sub_request in overdue {
            let outcome = self.overdue_outcome(sub_request);
            self.queue.retain(|queued| *queued != sub_request);
            self.reply(sub_request, outcome, None);
        }
    }

    /// Returns the outcome of a sub-request whose deadline has passed.
    fn overdue_outcome(&self, sub_request: SubRequestId) -> SubRequestOutcome {
        let state = self.pending.get(&sub_request);
        let was_sent = state.is_some_and(|state| state.attempt_count > 0);
        let default_reason =
            if was_sent { FailureReason::DeadlineExceeded } else { FailureReason::Overloaded };
        let reason = state.and_then(|state| state.last_reason).unwrap_or(default_reason);
        self.refusal_outcome(sub_request, reason)
    }
}
