//! Admits, queues and dispatches sub-requests, chooses their replicas and starts hedges.

use std::collections::VecDeque;

use ecow::EcoString;
use indexmap::IndexSet;
use sassafrasproxy_wire::{FailureReason, ShardId, SubRequestOutcome, TimelineEventKind};

use super::replica::{Phase, Replica};
use super::{
    Attempt, AttemptId, PendingSubRequest, Scheduler, SchedulerEffect, SubRequestId, SubRequestSpec,
};

impl Scheduler {
    /// Queues a sub-request, or refuses it at once if it is quarantined, the queue is full or it
    /// would miss its deadline.
    pub(super) fn submit(&mut self, now_us: u64, spec: SubRequestSpec) {
        let sub_request = spec.id;
        if self.suspects.is_quarantined(spec.fingerprint, now_us) {
            let retry_after_us = self.configuration.policy.quarantine_ttl_us;
            return self.refuse_unqueued(sub_request, FailureReason::Quarantined, retry_after_us);
        }
        let policy = &self.configuration.policy;
        if self.queue.len() >= policy.max_queued as usize {
            return self.refuse_unqueued(
                sub_request,
                FailureReason::Overloaded,
                policy.overload_retry_after_us,
            );
        }
        if now_us + self.estimate_completion_us(&spec) > spec.deadline_us {
            return self.refuse_unqueued(
                sub_request,
                FailureReason::Overloaded,
                policy.overload_retry_after_us,
            );
        }
        self.budget.deposit();
        self.pending.insert(sub_request, PendingSubRequest::new(spec));
        self.queue.push_back(sub_request);
    }

    /// Estimates from recent latencies how long a new sub-request waits and runs, in microseconds.
    fn estimate_completion_us(&self, spec: &SubRequestSpec) -> u64 {
        let Some(median_us) = self.quantile_us(&spec.shard, 0.5) else { return 0 };
        let run_us = self.estimate_run_us(&spec.shard);
        let usable = self.replicas.values().filter(|replica| replica.is_usable());
        let total_limit: u64 = usable.map(|replica| u64::from(replica.limit)).sum();
        if total_limit == 0 {
            return 0;
        }
        // Attempts in flight are half done on average.
        let attempts_ahead = self.queue.len() as u64 + self.attempts.len() as u64 / 2;
        attempts_ahead * median_us / total_limit + run_us
    }

    /// Estimates from recent latencies how long an attempt at a shard runs, in microseconds.
    fn estimate_run_us(&self, shard: &EcoString) -> u64 {
        self.quantile_us(shard, self.configuration.policy.run_time_quantile).unwrap_or(0)
    }

    /// Sends or refuses queued sub-requests; those without a free slot stay queued in order.
    pub(super) fn dispatch_queued(&mut self, now_us: u64) {
        let mut waiting = VecDeque::with_capacity(self.queue.len());
        while let Some(sub_request) = self.queue.pop_front() {
            match self.choose_replica(now_us, sub_request) {
                DispatchDecision::Send(replica) => self.send(now_us, sub_request, &replica),
                DispatchDecision::Wait => waiting.push_back(sub_request),
                DispatchDecision::Refuse(reason) => {
                    let outcome = self.refusal_outcome(sub_request, reason);
                    self.reply(sub_request, outcome, None);
                }
            }
        }
        self.queue = waiting;
    }

    /// Decides whether a queued sub-request is sent, waits or is refused; takes a token from the
    /// budget if the sub-request is sent and needs one.
    fn choose_replica(&mut self, now_us: u64, sub_request: SubRequestId) -> DispatchDecision {
        let Some(state) = self.pending.get(&sub_request) else {
            return DispatchDecision::Refuse(FailureReason::CallerGone);
        };
        if self.suspects.is_quarantined(state.spec.fingerprint, now_us) {
            return DispatchDecision::Refuse(FailureReason::Quarantined);
        }
        if self.must_wait_for_isolation(&state.spec) {
            return DispatchDecision::Wait;
        }
        if now_us + self.estimate_run_us(&state.spec.shard) > state.spec.deadline_us {
            return DispatchDecision::Refuse(FailureReason::DeadlineExceeded);
        }
        let usable = self.replicas.values().filter(|replica| replica.is_usable());
        let holders: Vec<&Replica> = usable
            .filter(|replica| replica.holds(state.spec.snapshot, &state.spec.shard, now_us))
            .collect();
        if holders.is_empty() && self.awaits_first_status(&state.spec.shard) {
            return DispatchDecision::Wait;
        }
        if holders.is_empty() {
            return DispatchDecision::Refuse(self.no_holder_reason(&state.spec.shard));
        }
        let preferred = without_backed_off(now_us, holders);
        let Some(best) = self.best_replica(now_us, state, &preferred) else {
            return DispatchDecision::Wait;
        };
        let address = best.spec.address.clone();
        if state.needs_budget && !self.budget.try_withdraw() {
            let reason = state.last_reason.unwrap_or(FailureReason::UpstreamFailed);
            return DispatchDecision::Refuse(reason);
        }
        DispatchDecision::Send(address)
    }

    /// Returns the best replica that has a free slot and on which the sub-request may run: one that
    /// has not failed the sub-request, if any, and among these the one with the lowest cost.
    fn best_replica<'a>(
        &self,
        now_us: u64,
        state: &PendingSubRequest,
        holders: &[&'a Replica],
    ) -> Option<&'a Replica> {
        let rank = |replica: &Replica| {
            (state.failed_replicas.contains(&replica.spec.address), replica.cost())
        };
        let with_free_slot = holders.iter().filter(|replica| replica.has_free_slot(now_us));
        let allowed = with_free_slot.filter(|replica| self.may_run_on(&state.spec, replica));
        allowed
            .min_by(|a, b| {
                let ((a_failed, a_cost), (b_failed, b_cost)) = (rank(a), rank(b));
                a_failed.cmp(&b_failed).then(a_cost.total_cmp(&b_cost))
            })
            .copied()
    }

    /// Whether a sub-request must wait before it is sent.
    ///
    /// A crash suspect waits while any crash suspect runs or a probe checks whether one caused a
    /// crash. Any other sub-request waits while a probe checks a replica that lost its connection.
    fn must_wait_for_isolation(&self, spec: &SubRequestSpec) -> bool {
        if !self.suspects.is_suspect(spec.fingerprint) {
            return self.awaits_crash_check(spec);
        }
        let mut running = self.attempts.values().map(|attempt| attempt.fingerprint);
        let mut checked =
            self.replicas.values().flat_map(|replica| &replica.lost_fingerprints).copied();
        let is_suspect = |fingerprint| self.suspects.is_suspect(fingerprint);
        running.any(is_suspect) || checked.any(is_suspect)
    }

    /// Whether a probe checks for a crash of a replica that lost this sub-request's connection.
    fn awaits_crash_check(&self, spec: &SubRequestSpec) -> bool {
        let Some(state) = self.pending.get(&spec.id) else { return false };
        state.last_reason == Some(FailureReason::ConnectionLost)
            && state.failed_replicas.iter().any(|address| {
                self.replicas.get(address).is_some_and(|replica| replica.awaited_probe_id.is_some())
            })
    }

    /// Whether a request may run on one more replica.
    ///
    /// Guards against a request that crashes upstreams and that its caller sends many times at
    /// once: until one answer shows it to be harmless, it runs on at most two replicas of the group
    /// at a time, including those that are being checked for a crash under it.
    fn may_run_on(&self, spec: &SubRequestSpec, replica: &Replica) -> bool {
        if self.suspects.is_known_harmless(spec.fingerprint) {
            return true;
        }
        let same = self.attempts.values().filter(|attempt| attempt.fingerprint == spec.fingerprint);
        let checked = self
            .replicas
            .values()
            .filter(|replica| replica.lost_fingerprints.contains(&spec.fingerprint));
        let occupied: IndexSet<&EcoString> = same
            .map(|attempt| &attempt.replica)
            .chain(checked.map(|replica| &replica.spec.address))
            .collect();
        occupied.len() < 2 || occupied.contains(&replica.spec.address)
    }

    /// Whether a replica that may hold a shard has sent no status yet.
    fn awaits_first_status(&self, shard: &EcoString) -> bool {
        let mut may_hold =
            self.replicas.values().filter(|replica| replica.spec.shards.contains(shard));
        may_hold.any(|replica| replica.phase == Phase::Unknown && !replica.domain_out)
    }

    /// Returns the reason why no usable replica holds a shard.
    fn no_holder_reason(&self, shard: &EcoString) -> FailureReason {
        let mut may_hold =
            self.replicas.values().filter(|replica| replica.spec.shards.contains(shard));
        if may_hold.any(Replica::is_usable) {
            FailureReason::NotHeld
        } else {
            FailureReason::NoReplica
        }
    }

    /// Sends a sub-request to a replica.
    fn send(&mut self, now_us: u64, sub_request: SubRequestId, address: &EcoString) {
        let (Some(state), Some(replica)) =
            (self.pending.get_mut(&sub_request), self.replicas.get_mut(address))
        else {
            return;
        };
        self.next_attempt_id += 1;
        let attempt_id = AttemptId(self.next_attempt_id);
        replica.in_flight += 1;
        state.attempt_count += 1;
        state.needs_budget = false;
        state.active_attempts.push(attempt_id);
        let attempt = Attempt {
            sub_request,
            replica: address.clone(),
            connection_generation: replica.connection_generation,
            started_us: now_us,
            deadline_us: state.spec.deadline_us,
            fingerprint: state.spec.fingerprint,
            is_cancelling: false,
        };
        self.attempts.insert(attempt_id, attempt);
        let replica = address.clone();
        self.effects.push(SchedulerEffect::Send { attempt: attempt_id, sub_request, replica });
    }

    /// Starts the hedges that are due, unless sub-requests are queued or a replica is paused.
    pub(super) fn start_due_hedges(&mut self, now_us: u64) {
        let is_overloaded = !self.queue.is_empty()
            || self.replicas.values().any(|replica| replica.is_paused(now_us));
        if is_overloaded {
            return;
        }
        let is_due = |state: &&PendingSubRequest| {
            self.hedge_at_us(state).is_some_and(|at_us| at_us <= now_us)
        };
        let due: Vec<SubRequestId> =
            self.pending.values().filter(is_due).map(|state| state.spec.id).collect();
        for sub_request in due {
            self.start_hedge(now_us, sub_request);
        }
    }

    /// Starts one hedge if another replica has a free slot and the budget allows it; prefers
    /// another failure domain.
    fn start_hedge(&mut self, now_us: u64, sub_request: SubRequestId) {
        let Some(state) = self.pending.get(&sub_request) else { return };
        let Some(first) = state.active_attempts.first().and_then(|id| self.attempts.get(id)) else {
            return;
        };
        let first_domain =
            self.replicas.get(&first.replica).map(|replica| &replica.spec.failure_domain);
        let others = self.replicas.values().filter(|replica| replica.spec.address != first.replica);
        let holders: Vec<&Replica> = others
            .filter(|replica| replica.holds(state.spec.snapshot, &state.spec.shard, now_us))
            .collect();
        let holders = without_backed_off(now_us, holders);
        let is_other_domain =
            |replica: &&&Replica| Some(&replica.spec.failure_domain) != first_domain;
        let in_other_domains: Vec<&Replica> =
            holders.iter().filter(is_other_domain).copied().collect();
        let Some(best) = self
            .best_replica(now_us, state, &in_other_domains)
            .or_else(|| self.best_replica(now_us, state, &holders))
        else {
            return;
        };
        let address = best.spec.address.clone();
        let shard = ShardId::new(self.configuration.service.clone(), state.spec.shard.clone());
        if let Some(state) = self.pending.get_mut(&sub_request) {
            state.is_hedged = true;
        }
        if !self.budget.try_withdraw() {
            return;
        }
        self.send(now_us, sub_request, &address);
        let kind = TimelineEventKind::Hedged { shard, replica: address };
        self.effects.push(SchedulerEffect::RecordEvent { sub_request: Some(sub_request), kind });
    }

    /// Returns when a sub-request's hedge is due, or `None` if it gets no hedge.
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

    /// Returns a quantile of a shard's recent latencies in microseconds.
    fn quantile_us(&self, shard: &EcoString, quantile: f64) -> Option<u64> {
        self.latencies.get(shard)?.quantile_us(quantile)
    }

    /// Refuses a sub-request that was never queued.
    fn refuse_unqueued(
        &mut self,
        sub_request: SubRequestId,
        reason: FailureReason,
        retry_after_us: u64,
    ) {
        let retry_after_ms = retry_after_us / crate::US_PER_MS;
        let outcome = SubRequestOutcome::NotRun { reason, retry_after_ms };
        self.effects.push(SchedulerEffect::Reply { sub_request, outcome, attempt: None });
    }
}

/// Returns the replicas that are not backed off, or all of them if none is left.
fn without_backed_off(now_us: u64, replicas: Vec<&Replica>) -> Vec<&Replica> {
    let preferred: Vec<&Replica> = replicas
        .iter()
        .copied()
        .filter(|replica| !replica.failure_backoff.is_backed_off(now_us))
        .collect();
    if preferred.is_empty() { replicas } else { preferred }
}

/// The decision about a queued sub-request.
#[derive(Debug, PartialEq, Eq)]
enum DispatchDecision {
    Send(EcoString),
    Wait,
    Refuse(FailureReason),
}
