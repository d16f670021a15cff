//! What comes back: answers, refusals and failures of sends, statuses, and time that is over.

use ecow::EcoString;
use indexmap::IndexSet;
use sassafrasproxy_wire::{EventKind, Reason, ShardId, SubOutcome};

use super::crash_suspects::CrashVerdict;
use super::replica::{Phase, Replica};
use super::{
    Attempt, AttemptId, AttemptReport, AttemptResult, PendingSubRequest, Scheduler,
    SchedulerEffect, StatusReport, SubRequestId,
};

/// How often a sub-request may be shed or turned away before the home gives up on it.
const MAX_ATTEMPTS: u32 = 4;

impl Scheduler {
    /// Ends one send.
    pub(super) fn handle_finished(&mut self, now_us: u64, id: AttemptId, report: &AttemptReport) {
        let Some(attempt) = self.release_slot(id) else { return };
        self.report_to_new_home(now_us);
        self.record_headers(now_us, &attempt, report);
        match report.result {
            AttemptResult::Answered => self.handle_answer(now_us, id, &attempt),
            AttemptResult::Shed { retry_after_us } => {
                self.handle_shed(now_us, &attempt, retry_after_us);
            }
            AttemptResult::NotHeld => self.handle_not_held(now_us, &attempt),
            AttemptResult::NotSent => {
                self.retry_or_reply(&attempt, Reason::DeadlineExceeded, false);
            }
            AttemptResult::ConnectFailed => {
                self.update_replica(&attempt.replica, Replica::mark_down);
                self.retry_or_reply(&attempt, Reason::ConnectFailed, false);
            }
            AttemptResult::ConnectionLost => self.handle_connection_lost(&attempt),
            AttemptResult::TimedOut => self.handle_failure(&attempt, Reason::DeadlineExceeded),
            AttemptResult::Mismatched => {
                self.retire_connections(&attempt.replica);
                self.handle_bad_answer(now_us, &attempt, Reason::Mismatched);
            }
            AttemptResult::Malformed => {
                self.retire_connections(&attempt.replica);
                self.handle_bad_answer(now_us, &attempt, Reason::Malformed);
            }
            AttemptResult::Failed => {
                self.handle_bad_answer(now_us, &attempt, Reason::UpstreamFailed);
            }
        }
    }

    /// Takes in what the answer's headers say, whatever the result is.
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

    /// Passes the first good answer on and cancels the other sends.
    fn handle_answer(&mut self, now_us: u64, id: AttemptId, attempt: &Attempt) {
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
        self.reply(attempt.sub_request, SubOutcome::Answered, Some(id));
    }

    /// Backs off from a replica that shed; the sub-request did not run there.
    fn handle_shed(&mut self, now_us: u64, attempt: &Attempt, retry_after_us: u64) {
        let policy = self.configuration.policy;
        self.update_replica(&attempt.replica, |replica| {
            replica.record_shed(now_us, retry_after_us, &policy)
        });
        self.retry_or_reply(attempt, Reason::Shed, false);
    }

    /// Stops asking a replica for what it does not hold; the sub-request did not run there.
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
        self.retry_or_reply(attempt, Reason::NotHeld, false);
    }

    /// Holds a sub-request back until a probe tells whether the upstream died under it.
    ///
    /// Guards against counting a cut connection as a crash: only a refused new connection or a
    /// new boot id, seen by a probe sent after the loss, confirms a death.
    fn handle_connection_lost(&mut self, attempt: &Attempt) {
        let number = self.send_probe(&attempt.replica);
        if let Some(replica) = self.replicas.get_mut(&attempt.replica) {
            replica.await_probe(number, attempt.fingerprint);
        }
        self.handle_failure(attempt, Reason::ConnectionLost);
    }

    /// Ends a send whose answer was no good, and keeps work away from a replica that gives several.
    fn handle_bad_answer(&mut self, now_us: u64, attempt: &Attempt, reason: Reason) {
        if let Some(replica) = self.replicas.get_mut(&attempt.replica) {
            replica.failure_backoff.record_failure(now_us);
        }
        self.handle_failure(attempt, reason);
    }

    /// Ends a send that may have run.
    fn handle_failure(&mut self, attempt: &Attempt, reason: Reason) {
        self.retry_or_reply(attempt, reason, true);
    }

    /// Queues a sub-request again, or ends it when it may not be sent again.
    fn retry_or_reply(&mut self, attempt: &Attempt, reason: Reason, may_have_run: bool) {
        let Some(state) = self.pending.get_mut(&attempt.sub_request) else { return };
        state.failed_replicas.push(attempt.replica.clone());
        state.last_reason = Some(reason);
        state.may_have_run |= may_have_run;
        if !state.active_attempts.is_empty() || self.queue.contains(&attempt.sub_request) {
            return;
        }
        if may_have_run && !state.spec.is_idempotent {
            return self.reply(attempt.sub_request, SubOutcome::Unknown { reason }, None);
        }
        if state.attempt_count >= MAX_ATTEMPTS {
            let outcome = self.refusal_outcome(attempt.sub_request, reason);
            return self.reply(attempt.sub_request, outcome, None);
        }
        state.needs_budget = may_have_run;
        self.queue.push_front(attempt.sub_request);
        self.record_retry(attempt.sub_request, reason);
    }

    /// Puts a retry on the time line.
    pub(super) fn record_retry(&mut self, key: SubRequestId, reason: Reason) {
        let Some(state) = self.pending.get(&key) else { return };
        let shard = ShardId::new(self.configuration.service.clone(), state.spec.shard.clone());
        let kind = EventKind::Retried { shard, reason };
        self.effects.push(SchedulerEffect::RecordEvent { sub_request: Some(key), kind });
    }

    /// Takes a status or its failure in, and settles what waited for that probe.
    pub(super) fn handle_status(
        &mut self,
        now_us: u64,
        address: &EcoString,
        probe: Option<u64>,
        report: &StatusReport,
    ) {
        let Some(replica) = self.replicas.get_mut(address) else { return };
        let before = replica.held_snapshots().to_vec();
        let mut lost_under = IndexSet::new();
        if probe.is_some() && probe == replica.awaited_probe_id {
            replica.awaited_probe_id = None;
            let is_death = replica.confirms_crash(report);
            lost_under = std::mem::take(&mut replica.lost_fingerprints);
            lost_under.retain(|_| is_death);
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
            // A status page that fails while answers come in says nothing of the replica.
            StatusReport::Unreadable => {}
        }
        if self.replicas.get(address).is_some_and(|replica| replica.held_snapshots() != before) {
            self.effects.push(SchedulerEffect::PublishHoldings);
        }
        for fingerprint in lost_under {
            self.confirm_crash(now_us, fingerprint);
        }
    }

    /// Counts an upstream's death under a request, once a probe has confirmed it.
    fn confirm_crash(&mut self, now_us: u64, fingerprint: u64) {
        let ttl_us = self.configuration.policy.quarantine_ttl_us;
        let text = ecow::eco_format!("{fingerprint:016x}");
        let kind = match self.suspects.record_crash(fingerprint, now_us, ttl_us) {
            CrashVerdict::Suspected => EventKind::RequestSuspected { fingerprint: text },
            CrashVerdict::Quarantined => {
                self.effects.push(SchedulerEffect::AnnounceQuarantine { fingerprint, ttl_us });
                EventKind::RequestQuarantined { fingerprint: text }
            }
        };
        self.effects.push(SchedulerEffect::RecordEvent { sub_request: None, kind });
    }

    /// Ends the sub-requests whose time is over.
    pub(super) fn reply_overdue(&mut self, now_us: u64) {
        let is_overdue = |state: &&PendingSubRequest| state.spec.deadline_us <= now_us;
        let overdue: Vec<SubRequestId> =
            self.pending.values().filter(is_overdue).map(|state| state.spec.id).collect();
        for key in overdue {
            let outcome = self.overdue_outcome(key);
            self.queue.retain(|queued| *queued != key);
            self.reply(key, outcome, None);
        }
    }

    /// What to say of a sub-request whose time is over.
    fn overdue_outcome(&self, key: SubRequestId) -> SubOutcome {
        let state = self.pending.get(&key);
        let was_sent = state.is_some_and(|state| state.attempt_count > 0);
        let unsent_reason = if was_sent { Reason::DeadlineExceeded } else { Reason::Overloaded };
        let reason = state.and_then(|state| state.last_reason).unwrap_or(unsent_reason);
        self.refusal_outcome(key, reason)
    }
}
