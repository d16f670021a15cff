//! Which sub-request goes where and when: admission, queue, choice of replica, hedges.

use std::collections::VecDeque;

use ecow::EcoString;
use indexmap::IndexSet;
use sassafrasproxy_wire::{EventKind, Reason, ShardId, SubOutcome};

use super::replica::{Phase, Replica};
use super::{
    Attempt, AttemptId, PendingSubRequest, Scheduler, SchedulerEffect, SubRequestId, SubRequestSpec,
};

impl Scheduler {
    /// Queues a sub-request, or refuses at once what cannot end in time.
    pub(super) fn submit(&mut self, now_us: u64, sub: SubRequestSpec) {
        let key = sub.id;
        if self.suspects.is_quarantined(sub.fingerprint, now_us) {
            let retry_after_us = self.configuration.policy.quarantine_ttl_us;
            return self.refuse_unqueued(key, Reason::Quarantined, retry_after_us);
        }
        let policy = &self.configuration.policy;
        if self.queue.len() >= policy.max_queued as usize {
            return self.refuse_unqueued(key, Reason::Overloaded, policy.overload_retry_after_us);
        }
        if now_us + self.estimate_completion_us(&sub) > sub.deadline_us {
            return self.refuse_unqueued(key, Reason::Overloaded, policy.overload_retry_after_us);
        }
        self.budget.deposit();
        self.pending.insert(key, PendingSubRequest::new(sub));
        self.queue.push_back(key);
    }

    /// How long a new sub-request will wait and run, by what was seen lately.
    fn estimate_completion_us(&self, sub: &SubRequestSpec) -> u64 {
        let Some(median_us) = self.quantile_us(&sub.shard, 0.5) else { return 0 };
        let run_us = self.estimate_run_us(&sub.shard);
        let usable = self.replicas.values().filter(|replica| replica.is_usable());
        let limit: u64 = usable.map(|replica| u64::from(replica.limit)).sum();
        if limit == 0 {
            return 0;
        }
        // The sends that run now are half done on average.
        let ahead = self.queue.len() as u64 + self.attempts.len() as u64 / 2;
        ahead * median_us / limit + run_us
    }

    /// How long a send to a shard may well take, by what was seen lately.
    fn estimate_run_us(&self, shard: &EcoString) -> u64 {
        self.quantile_us(shard, self.configuration.policy.run_time_quantile).unwrap_or(0)
    }

    /// Sends what waits, as far as slots allow.
    pub(super) fn dispatch_queued(&mut self, now_us: u64) {
        let mut waiting = VecDeque::with_capacity(self.queue.len());
        while let Some(key) = self.queue.pop_front() {
            match self.choose_replica(now_us, key) {
                DispatchDecision::Send(replica) => self.send(now_us, key, &replica),
                DispatchDecision::Wait => waiting.push_back(key),
                DispatchDecision::Refuse(reason) => {
                    let outcome = self.refusal_outcome(key, reason);
                    self.reply(key, outcome, None);
                }
            }
        }
        self.queue = waiting;
    }

    /// Chooses the replica for a sub-request that waits.
    fn choose_replica(&mut self, now_us: u64, key: SubRequestId) -> DispatchDecision {
        let Some(state) = self.pending.get(&key) else {
            return DispatchDecision::Refuse(Reason::CallerGone);
        };
        if self.suspects.is_quarantined(state.spec.fingerprint, now_us) {
            return DispatchDecision::Refuse(Reason::Quarantined);
        }
        if self.must_wait_for_isolation(&state.spec) {
            return DispatchDecision::Wait;
        }
        if now_us + self.estimate_run_us(&state.spec.shard) > state.spec.deadline_us {
            return DispatchDecision::Refuse(Reason::DeadlineExceeded);
        }
        let usable = self.replicas.values().filter(|replica| replica.is_usable());
        let holders: Vec<&Replica> = usable
            .filter(|one| one.holds(state.spec.snapshot, &state.spec.shard, now_us))
            .collect();
        if holders.is_empty() && self.awaits_first_status(&state.spec.shard) {
            return DispatchDecision::Wait;
        }
        if holders.is_empty() {
            return DispatchDecision::Refuse(self.no_holder_reason(&state.spec.shard));
        }
        let sound = without_backed_off(now_us, holders);
        let Some(best) = self.best_replica(now_us, state, &sound) else {
            return DispatchDecision::Wait;
        };
        let address = best.spec.address.clone();
        if state.needs_budget && !self.budget.try_withdraw() {
            let reason = state.last_reason.unwrap_or(Reason::UpstreamFailed);
            return DispatchDecision::Refuse(reason);
        }
        DispatchDecision::Send(address)
    }

    /// The best replica with room: one that has not failed the sub-request, then the cheapest.
    fn best_replica<'a>(
        &self,
        now_us: u64,
        state: &PendingSubRequest,
        holders: &[&'a Replica],
    ) -> Option<&'a Replica> {
        let rank = |replica: &Replica| {
            (state.failed_replicas.contains(&replica.spec.address), replica.cost())
        };
        let with_room = holders.iter().filter(|replica| replica.has_free_slot(now_us));
        let allowed = with_room.filter(|replica| self.may_run_on(&state.spec, replica));
        allowed
            .min_by(|a, b| {
                let ((a_failed, a_cost), (b_failed, b_cost)) = (rank(a), rank(b));
                a_failed.cmp(&b_failed).then(a_cost.total_cmp(&b_cost))
            })
            .copied()
    }

    /// Whether a suspected request must wait because a suspected one is running or being checked.
    fn must_wait_for_isolation(&self, sub: &SubRequestSpec) -> bool {
        if !self.suspects.is_suspect(sub.fingerprint) {
            return self.awaits_crash_check(sub);
        }
        let mut running = self.attempts.values().map(|one| one.fingerprint);
        let mut checked = self.replicas.values().flat_map(|one| &one.lost_fingerprints).copied();
        let is_suspect = |fingerprint| self.suspects.is_suspect(fingerprint);
        running.any(is_suspect) || checked.any(is_suspect)
    }

    /// Whether a replica that this request ran on is being checked for a crash.
    fn awaits_crash_check(&self, sub: &SubRequestSpec) -> bool {
        let Some(state) = self.pending.get(&sub.id) else { return false };
        state.last_reason == Some(Reason::ConnectionLost)
            && state.failed_replicas.iter().any(|address| {
                self.replicas.get(address).is_some_and(|one| one.awaited_probe_id.is_some())
            })
    }

    /// Whether a request may run on one more replica.
    ///
    /// Guards against a crashing request that its caller sends many times at once: until one
    /// answer proves it harmless it runs on at most two replicas of the group at a time, those
    /// included that are being checked for a crash under it.
    fn may_run_on(&self, sub: &SubRequestSpec, replica: &Replica) -> bool {
        if self.suspects.is_known_harmless(sub.fingerprint) {
            return true;
        }
        let same = self.attempts.values().filter(|one| one.fingerprint == sub.fingerprint);
        let checked =
            self.replicas.values().filter(|one| one.lost_fingerprints.contains(&sub.fingerprint));
        let exposed: IndexSet<&EcoString> =
            same.map(|one| &one.replica).chain(checked.map(|one| &one.spec.address)).collect();
        exposed.len() < 2 || exposed.contains(&replica.spec.address)
    }

    /// Whether the first status of a replica that may hold a shard is still awaited.
    fn awaits_first_status(&self, shard: &EcoString) -> bool {
        let mut may_hold =
            self.replicas.values().filter(|replica| replica.spec.shards.contains(shard));
        may_hold.any(|replica| replica.phase == Phase::Unknown && !replica.domain_out)
    }

    /// Why no usable replica holds a shard.
    fn no_holder_reason(&self, shard: &EcoString) -> Reason {
        let mut may_hold =
            self.replicas.values().filter(|replica| replica.spec.shards.contains(shard));
        if may_hold.any(Replica::is_usable) { Reason::NotHeld } else { Reason::NoReplica }
    }

    /// Sends a sub-request to a replica.
    fn send(&mut self, now_us: u64, key: SubRequestId, address: &EcoString) {
        let (Some(state), Some(replica)) =
            (self.pending.get_mut(&key), self.replicas.get_mut(address))
        else {
            return;
        };
        self.next_attempt_id += 1;
        let id = AttemptId(self.next_attempt_id);
        replica.in_flight += 1;
        state.attempt_count += 1;
        state.needs_budget = false;
        state.active_attempts.push(id);
        let attempt = Attempt {
            sub_request: key,
            replica: address.clone(),
            connection_generation: replica.connection_generation,
            started_us: now_us,
            deadline_us: state.spec.deadline_us,
            fingerprint: state.spec.fingerprint,
            is_cancelling: false,
        };
        self.attempts.insert(id, attempt);
        let replica = address.clone();
        self.effects.push(SchedulerEffect::Send { attempt: id, sub_request: key, replica });
    }

    /// Starts second tries for sub-requests that take longer than usual.
    pub(super) fn start_due_hedges(&mut self, now_us: u64) {
        let is_strained = !self.queue.is_empty()
            || self.replicas.values().any(|replica| replica.is_paused(now_us));
        if is_strained {
            return;
        }
        let is_due = |state: &&PendingSubRequest| {
            self.hedge_at_us(state).is_some_and(|at_us| at_us <= now_us)
        };
        let due: Vec<SubRequestId> =
            self.pending.values().filter(is_due).map(|state| state.spec.id).collect();
        for key in due {
            self.start_hedge(now_us, key);
        }
    }

    /// Starts one second try, if another replica has room and the budget allows it.
    fn start_hedge(&mut self, now_us: u64, key: SubRequestId) {
        let Some(state) = self.pending.get(&key) else { return };
        let Some(first) = state.active_attempts.first().and_then(|id| self.attempts.get(id)) else {
            return;
        };
        let first_domain = self.replicas.get(&first.replica).map(|one| &one.spec.failure_domain);
        let others = self.replicas.values().filter(|one| one.spec.address != first.replica);
        let holders: Vec<&Replica> = others
            .filter(|one| one.holds(state.spec.snapshot, &state.spec.shard, now_us))
            .collect();
        let holders = without_backed_off(now_us, holders);
        let is_apart = |one: &&&Replica| Some(&one.spec.failure_domain) != first_domain;
        let apart: Vec<&Replica> = holders.iter().filter(is_apart).copied().collect();
        let Some(best) = self
            .best_replica(now_us, state, &apart)
            .or_else(|| self.best_replica(now_us, state, &holders))
        else {
            return;
        };
        let address = best.spec.address.clone();
        let shard = ShardId::new(self.configuration.service.clone(), state.spec.shard.clone());
        if let Some(state) = self.pending.get_mut(&key) {
            state.is_hedged = true;
        }
        if !self.budget.try_withdraw() {
            return;
        }
        self.send(now_us, key, &address);
        let kind = EventKind::Hedged { shard, replica: address };
        self.effects.push(SchedulerEffect::RecordEvent { sub_request: Some(key), kind });
    }

    /// When a sub-request is due for its hedge.
    pub(super) fn hedge_at_us(&self, state: &PendingSubRequest) -> Option<u64> {
        let may_hedge = state.spec.may_hedge
            && !state.is_hedged
            && state.active_attempts.len() == 1
            && !self.suspects.is_suspect(state.spec.fingerprint);
        if !may_hedge {
            return None;
        }
        let first = self.attempts.get(state.active_attempts.first()?)?;
        let quantile = self.configuration.policy.hedge_quantile;
        Some(first.started_us + self.quantile_us(&state.spec.shard, quantile)?)
    }

    /// A quantile of a shard's latencies lately.
    fn quantile_us(&self, shard: &EcoString, quantile: f64) -> Option<u64> {
        self.latencies.get(shard)?.quantile_us(quantile)
    }

    /// Refuses a sub-request that was never queued.
    fn refuse_unqueued(&mut self, sub: SubRequestId, reason: Reason, retry_after_us: u64) {
        let retry_after_ms = retry_after_us / crate::US_PER_MS;
        let outcome = SubOutcome::NotRun { reason, retry_after_ms };
        self.effects.push(SchedulerEffect::Reply { sub_request: sub, outcome, attempt: None });
    }
}

/// The replicas that are not avoided for their faults; all of them where that leaves none.
fn without_backed_off(now_us: u64, replicas: Vec<&Replica>) -> Vec<&Replica> {
    let sound: Vec<&Replica> = replicas
        .iter()
        .copied()
        .filter(|replica| !replica.failure_backoff.is_backed_off(now_us))
        .collect();
    if sound.is_empty() { replicas } else { sound }
}

/// What to do with a sub-request that wants a slot.
#[derive(Debug, PartialEq, Eq)]
enum DispatchDecision {
    Send(EcoString),
    Wait,
    Refuse(Reason),
}
