//! What comes back: answers, refusals and failures of sends, statuses, and time that is over.

use ecow::EcoString;
use indexmap::IndexSet;
use sassafrasproxy_wire::{EventKind, Reason, ShardId, SubOutcome};

use super::replica::{Phase, Replica};
use super::suspects::Verdict;
use super::{
    Attempt, AttemptId, AttemptReport, AttemptResult, Lane, LaneEffect, StatusReport, SubKey,
    SubState,
};

/// How often a sub-request may be shed or turned away before the home gives up on it.
const MAX_SENDS: u32 = 4;

impl Lane {
    /// Ends one send.
    pub(super) fn finish(&mut self, now_us: u64, id: AttemptId, report: &AttemptReport) {
        let Some(attempt) = self.release(id) else { return };
        self.tell_new_home(now_us);
        self.note_headers(now_us, &attempt, report);
        match report.result {
            AttemptResult::Answered => self.answered(now_us, id, &attempt),
            AttemptResult::Shed { retry_after_us } => self.shed(now_us, &attempt, retry_after_us),
            AttemptResult::NotHeld => self.not_held(now_us, &attempt),
            AttemptResult::NotSent => self.try_again(&attempt, Reason::DeadlineExceeded, false),
            AttemptResult::ConnectFailed => {
                self.observe(&attempt.replica, Replica::note_unreachable);
                self.try_again(&attempt, Reason::ConnectFailed, false);
            }
            AttemptResult::ConnectionLost => self.connection_lost(&attempt),
            AttemptResult::TimedOut => self.failed(&attempt, Reason::DeadlineExceeded),
            AttemptResult::Mismatched => {
                self.condemn(&attempt.replica);
                self.faulty(now_us, &attempt, Reason::Mismatched);
            }
            AttemptResult::Malformed => {
                self.condemn(&attempt.replica);
                self.faulty(now_us, &attempt, Reason::Malformed);
            }
            AttemptResult::Failed => self.faulty(now_us, &attempt, Reason::UpstreamFailed),
        }
    }

    /// Takes in what the answer's headers say, whatever the result is.
    fn note_headers(&mut self, now_us: u64, attempt: &Attempt, report: &AttemptReport) {
        if let Some(boot_id) = &report.boot_id {
            self.observe(&attempt.replica, |replica| replica.note_boot(boot_id, now_us));
        }
        if report.is_draining {
            self.observe(&attempt.replica, |replica| replica.note_draining("answer"));
        }
    }

    /// Passes the first good answer on and cancels the other sends.
    fn answered(&mut self, now_us: u64, id: AttemptId, attempt: &Attempt) {
        let latency_us = now_us.saturating_sub(attempt.started_us);
        let may_grow = self.may_grow(now_us);
        let policy = self.configuration.policy;
        let warm_us = self.replicas.values().filter_map(Replica::norm_us).min();
        self.observe(&attempt.replica, |replica| {
            replica.note_answer(now_us, latency_us, &policy, warm_us, may_grow)
        });
        self.suspects.clear(attempt.fingerprint);
        let Some(state) = self.subs.get(&attempt.sub) else { return };
        let shard = state.sub.shard.clone();
        self.latencies.entry(shard).or_default().record(latency_us);
        self.end(attempt.sub, SubOutcome::Answered, Some(id));
    }

    /// Backs off from a replica that shed; the sub-request did not run there.
    fn shed(&mut self, now_us: u64, attempt: &Attempt, retry_after_us: u64) {
        let policy = self.configuration.policy;
        self.observe(&attempt.replica, |replica| {
            replica.note_shed(now_us, retry_after_us, &policy)
        });
        self.try_again(attempt, Reason::Shed, false);
    }

    /// Stops asking a replica for what it does not hold; the sub-request did not run there.
    fn not_held(&mut self, now_us: u64, attempt: &Attempt) {
        let until_us = now_us + self.configuration.policy.denied_us;
        if let (Some(replica), Some(state)) =
            (self.replicas.get_mut(&attempt.replica), self.subs.get(&attempt.sub))
        {
            replica.last_answer_us = now_us;
            replica.note_denied(state.sub.snapshot, &state.sub.shard, until_us);
        }
        self.probe(&attempt.replica);
        self.effects.push(LaneEffect::Publish);
        self.try_again(attempt, Reason::NotHeld, false);
    }

    /// Holds a sub-request back until a probe tells whether the upstream died under it.
    ///
    /// Guards against counting a cut connection as a crash: only a refused new connection or a
    /// new boot id, seen by a probe sent after the loss, confirms a death.
    fn connection_lost(&mut self, attempt: &Attempt) {
        let number = self.probe(&attempt.replica);
        if let Some(replica) = self.replicas.get_mut(&attempt.replica) {
            replica.await_probe(number, attempt.fingerprint);
        }
        self.failed(attempt, Reason::ConnectionLost);
    }

    /// Ends a send whose answer was no good, and keeps work away from a replica that gives several.
    fn faulty(&mut self, now_us: u64, attempt: &Attempt, reason: Reason) {
        if let Some(replica) = self.replicas.get_mut(&attempt.replica) {
            replica.faults.note_fault(now_us);
        }
        self.failed(attempt, reason);
    }

    /// Ends a send that may have run.
    fn failed(&mut self, attempt: &Attempt, reason: Reason) {
        self.try_again(attempt, reason, true);
    }

    /// Queues a sub-request again, or ends it when it may not be sent again.
    fn try_again(&mut self, attempt: &Attempt, reason: Reason, may_have_run: bool) {
        let Some(state) = self.subs.get_mut(&attempt.sub) else { return };
        state.failed.push(attempt.replica.clone());
        state.last_reason = Some(reason);
        state.may_have_run |= may_have_run;
        if !state.live.is_empty() || self.queue.contains(&attempt.sub) {
            return;
        }
        if may_have_run && !state.sub.is_idempotent {
            return self.end(attempt.sub, SubOutcome::Unknown { reason }, None);
        }
        if state.sends >= MAX_SENDS {
            let outcome = self.refusal(attempt.sub, reason);
            return self.end(attempt.sub, outcome, None);
        }
        state.owes = may_have_run;
        self.queue.push_front(attempt.sub);
        self.note_retry(attempt.sub, reason);
    }

    /// Puts a retry on the time line.
    pub(super) fn note_retry(&mut self, key: SubKey, reason: Reason) {
        let Some(state) = self.subs.get(&key) else { return };
        let shard = ShardId::new(self.configuration.service.clone(), state.sub.shard.clone());
        let kind = EventKind::Retried { shard, reason };
        self.effects.push(LaneEffect::Note { sub: Some(key), kind });
    }

    /// Takes a status or its failure in, and settles what waited for that probe.
    pub(super) fn note_status(
        &mut self,
        now_us: u64,
        address: &EcoString,
        probe: Option<u64>,
        report: &StatusReport,
    ) {
        let Some(replica) = self.replicas.get_mut(address) else { return };
        let before = replica.held().to_vec();
        let mut lost_under = IndexSet::new();
        if probe.is_some() && probe == replica.awaited_probe {
            replica.awaited_probe = None;
            let is_death = replica.is_death(report);
            lost_under = std::mem::take(&mut replica.lost_under);
            lost_under.retain(|_| is_death);
        }
        let slots = self.configuration.policy.slots;
        match report {
            StatusReport::Read(status) => {
                self.observe(address, |replica| replica.note_status(status, slots, now_us));
            }
            StatusReport::Unreachable => {
                self.observe(address, Replica::note_unreachable);
            }
            StatusReport::Unreadable if replica.phase == Phase::Unknown => {
                self.observe(address, Replica::note_unreachable);
            }
            // A status page that fails while answers come in says nothing of the replica.
            StatusReport::Unreadable => {}
        }
        if self.replicas.get(address).is_some_and(|replica| replica.held() != before) {
            self.effects.push(LaneEffect::Publish);
        }
        for fingerprint in lost_under {
            self.confirm_death(now_us, fingerprint);
        }
    }

    /// Counts an upstream's death under a request, once a probe has confirmed it.
    fn confirm_death(&mut self, now_us: u64, fingerprint: u64) {
        let ttl_us = self.configuration.policy.quarantine_us;
        let text = ecow::eco_format!("{fingerprint:016x}");
        let kind = match self.suspects.count_death(fingerprint, now_us, ttl_us) {
            Verdict::Suspected => EventKind::RequestSuspected { fingerprint: text },
            Verdict::Quarantined => {
                self.effects.push(LaneEffect::Quarantined { fingerprint, ttl_us });
                EventKind::RequestQuarantined { fingerprint: text }
            }
        };
        self.effects.push(LaneEffect::Note { sub: None, kind });
    }

    /// Ends the sub-requests whose time is over.
    pub(super) fn end_overdue(&mut self, now_us: u64) {
        let is_overdue = |state: &&SubState| state.sub.deadline_us <= now_us;
        let overdue: Vec<SubKey> =
            self.subs.values().filter(is_overdue).map(|state| state.sub.key).collect();
        for key in overdue {
            let outcome = self.overdue_outcome(key);
            self.queue.retain(|queued| *queued != key);
            self.end(key, outcome, None);
        }
    }

    /// What to say of a sub-request whose time is over.
    fn overdue_outcome(&self, key: SubKey) -> SubOutcome {
        let state = self.subs.get(&key);
        let was_sent = state.is_some_and(|state| state.sends > 0);
        let unsent_reason = if was_sent { Reason::DeadlineExceeded } else { Reason::Overloaded };
        let reason = state.and_then(|state| state.last_reason).unwrap_or(unsent_reason);
        self.refusal(key, reason)
    }
}
