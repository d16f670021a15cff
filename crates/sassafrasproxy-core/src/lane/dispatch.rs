//! Which sub-request goes where and when: admission, queue, choice of replica, hedges.

use std::collections::VecDeque;

use ecow::EcoString;
use indexmap::IndexSet;
use sassafrasproxy_wire::{EventKind, Reason, ShardId, SubOutcome};

use super::replica::{Phase, Replica};
use super::{Attempt, AttemptId, Lane, LaneEffect, Sub, SubKey, SubState};

impl Lane {
    /// Queues a sub-request, or refuses at once what cannot end in time.
    pub(super) fn submit(&mut self, now_us: u64, sub: Sub) {
        let key = sub.key;
        if self.suspects.is_quarantined(sub.fingerprint, now_us) {
            let retry_after_us = self.configuration.policy.quarantine_us;
            return self.refuse_new(key, Reason::Quarantined, retry_after_us);
        }
        let policy = &self.configuration.policy;
        if self.queue.len() >= policy.queue as usize {
            return self.refuse_new(key, Reason::Overloaded, policy.overload_retry_us);
        }
        if now_us + self.queue_wait_us(&sub) > sub.deadline_us {
            return self.refuse_new(key, Reason::Overloaded, policy.overload_retry_us);
        }
        self.budget.earn();
        self.subs.insert(key, SubState::new(sub));
        self.queue.push_back(key);
    }

    /// How long a new sub-request will wait and run, by what was seen lately.
    fn queue_wait_us(&self, sub: &Sub) -> u64 {
        let Some(median_us) = self.quantile_us(&sub.shard, 0.5) else { return 0 };
        let run_us = self.run_us(&sub.shard);
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
    fn run_us(&self, shard: &EcoString) -> u64 {
        self.quantile_us(shard, self.configuration.policy.run_quantile).unwrap_or(0)
    }

    /// Sends what waits, as far as slots allow.
    pub(super) fn pump(&mut self, now_us: u64) {
        let mut waiting = VecDeque::with_capacity(self.queue.len());
        while let Some(key) = self.queue.pop_front() {
            match self.choose(now_us, key) {
                Choice::Send(replica) => self.send(now_us, key, &replica),
                Choice::Wait => waiting.push_back(key),
                Choice::Refuse(reason) => {
                    let outcome = self.refusal(key, reason);
                    self.end(key, outcome, None);
                }
            }
        }
        self.queue = waiting;
    }

    /// Chooses the replica for a sub-request that waits.
    fn choose(&mut self, now_us: u64, key: SubKey) -> Choice {
        let Some(state) = self.subs.get(&key) else { return Choice::Refuse(Reason::CallerGone) };
        if self.suspects.is_quarantined(state.sub.fingerprint, now_us) {
            return Choice::Refuse(Reason::Quarantined);
        }
        if self.must_wait_alone(&state.sub) {
            return Choice::Wait;
        }
        if now_us + self.run_us(&state.sub.shard) > state.sub.deadline_us {
            return Choice::Refuse(Reason::DeadlineExceeded);
        }
        let usable = self.replicas.values().filter(|replica| replica.is_usable());
        let holders: Vec<&Replica> =
            usable.filter(|one| one.holds(state.sub.snapshot, &state.sub.shard, now_us)).collect();
        if holders.is_empty() && self.is_still_unknown(&state.sub.shard) {
            return Choice::Wait;
        }
        if holders.is_empty() {
            return Choice::Refuse(self.no_holder_reason(&state.sub.shard));
        }
        let sound = without_faulty(now_us, holders);
        let Some(best) = self.best(now_us, state, &sound) else { return Choice::Wait };
        let address = best.spec.address.clone();
        if state.owes && !self.budget.spend() {
            let reason = state.last_reason.unwrap_or(Reason::UpstreamFailed);
            return Choice::Refuse(reason);
        }
        Choice::Send(address)
    }

    /// The best replica with room: one that has not failed the sub-request, then the cheapest.
    fn best<'a>(
        &self,
        now_us: u64,
        state: &SubState,
        holders: &[&'a Replica],
    ) -> Option<&'a Replica> {
        let rank =
            |replica: &Replica| (state.failed.contains(&replica.spec.address), replica.cost());
        let with_room = holders.iter().filter(|replica| replica.has_room(now_us));
        let allowed = with_room.filter(|replica| self.may_expose(&state.sub, replica));
        allowed
            .min_by(|a, b| {
                let ((a_failed, a_cost), (b_failed, b_cost)) = (rank(a), rank(b));
                a_failed.cmp(&b_failed).then(a_cost.total_cmp(&b_cost))
            })
            .copied()
    }

    /// Whether a suspected request must wait because a suspected one is running or being checked.
    fn must_wait_alone(&self, sub: &Sub) -> bool {
        if !self.suspects.is_suspect(sub.fingerprint) {
            return self.is_under_verification(sub);
        }
        let mut running = self.attempts.values().map(|one| one.fingerprint);
        let mut checked = self.replicas.values().flat_map(|one| &one.lost_under).copied();
        let is_suspect = |fingerprint| self.suspects.is_suspect(fingerprint);
        running.any(is_suspect) || checked.any(is_suspect)
    }

    /// Whether a replica that this request ran on is being checked for a crash.
    fn is_under_verification(&self, sub: &Sub) -> bool {
        let Some(state) = self.subs.get(&sub.key) else { return false };
        state.last_reason == Some(Reason::ConnectionLost)
            && state.failed.iter().any(|address| {
                self.replicas.get(address).is_some_and(|one| one.awaited_probe.is_some())
            })
    }

    /// Whether a request may run on one more replica.
    ///
    /// Guards against a crashing request that its caller sends many times at once: until one
    /// answer proves it harmless it runs on at most two replicas of the group at a time, those
    /// included that are being checked for a crash under it.
    fn may_expose(&self, sub: &Sub, replica: &Replica) -> bool {
        if self.suspects.is_proven(sub.fingerprint) {
            return true;
        }
        let same = self.attempts.values().filter(|one| one.fingerprint == sub.fingerprint);
        let checked =
            self.replicas.values().filter(|one| one.lost_under.contains(&sub.fingerprint));
        let exposed: IndexSet<&EcoString> =
            same.map(|one| &one.replica).chain(checked.map(|one| &one.spec.address)).collect();
        exposed.len() < 2 || exposed.contains(&replica.spec.address)
    }

    /// Whether the first status of a replica that may hold a shard is still awaited.
    fn is_still_unknown(&self, shard: &EcoString) -> bool {
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
    fn send(&mut self, now_us: u64, key: SubKey, address: &EcoString) {
        let (Some(state), Some(replica)) =
            (self.subs.get_mut(&key), self.replicas.get_mut(address))
        else {
            return;
        };
        self.next_attempt += 1;
        let id = AttemptId(self.next_attempt);
        replica.in_flight += 1;
        state.sends += 1;
        state.owes = false;
        state.live.push(id);
        let attempt = Attempt {
            sub: key,
            replica: address.clone(),
            generation: replica.generation,
            started_us: now_us,
            deadline_us: state.sub.deadline_us,
            fingerprint: state.sub.fingerprint,
            is_cancelling: false,
        };
        self.attempts.insert(id, attempt);
        let replica = address.clone();
        self.effects.push(LaneEffect::Send { attempt: id, sub: key, replica });
    }

    /// Starts second tries for sub-requests that take longer than usual.
    pub(super) fn hedge(&mut self, now_us: u64) {
        let is_strained = !self.queue.is_empty()
            || self.replicas.values().any(|replica| replica.is_paused(now_us));
        if is_strained {
            return;
        }
        let is_due =
            |state: &&SubState| self.hedge_at_us(state).is_some_and(|at_us| at_us <= now_us);
        let due: Vec<SubKey> =
            self.subs.values().filter(is_due).map(|state| state.sub.key).collect();
        for key in due {
            self.hedge_one(now_us, key);
        }
    }

    /// Starts one second try, if another replica has room and the budget allows it.
    fn hedge_one(&mut self, now_us: u64, key: SubKey) {
        let Some(state) = self.subs.get(&key) else { return };
        let Some(first) = state.live.first().and_then(|id| self.attempts.get(id)) else { return };
        let first_domain = self.replicas.get(&first.replica).map(|one| &one.spec.failure_domain);
        let others = self.replicas.values().filter(|one| one.spec.address != first.replica);
        let holders: Vec<&Replica> =
            others.filter(|one| one.holds(state.sub.snapshot, &state.sub.shard, now_us)).collect();
        let holders = without_faulty(now_us, holders);
        let is_apart = |one: &&&Replica| Some(&one.spec.failure_domain) != first_domain;
        let apart: Vec<&Replica> = holders.iter().filter(is_apart).copied().collect();
        let Some(best) =
            self.best(now_us, state, &apart).or_else(|| self.best(now_us, state, &holders))
        else {
            return;
        };
        let address = best.spec.address.clone();
        let shard = ShardId::new(self.configuration.service.clone(), state.sub.shard.clone());
        if let Some(state) = self.subs.get_mut(&key) {
            state.is_hedged = true;
        }
        if !self.budget.spend() {
            return;
        }
        self.send(now_us, key, &address);
        let kind = EventKind::Hedged { shard, replica: address };
        self.effects.push(LaneEffect::Note { sub: Some(key), kind });
    }

    /// When a sub-request is due for its hedge.
    pub(super) fn hedge_at_us(&self, state: &SubState) -> Option<u64> {
        let may_hedge = state.sub.may_hedge
            && !state.is_hedged
            && state.live.len() == 1
            && !self.suspects.is_suspect(state.sub.fingerprint);
        if !may_hedge {
            return None;
        }
        let first = self.attempts.get(state.live.first()?)?;
        let quantile = self.configuration.policy.hedge_quantile;
        Some(first.started_us + self.quantile_us(&state.sub.shard, quantile)?)
    }

    /// A quantile of a shard's latencies lately.
    fn quantile_us(&self, shard: &EcoString, quantile: f64) -> Option<u64> {
        self.latencies.get(shard)?.quantile_us(quantile)
    }

    /// Refuses a sub-request that was never queued.
    fn refuse_new(&mut self, sub: SubKey, reason: Reason, retry_after_us: u64) {
        let retry_after_ms = retry_after_us / crate::US_PER_MS;
        let outcome = SubOutcome::NotRun { reason, retry_after_ms };
        self.effects.push(LaneEffect::Reply { sub, outcome, attempt: None });
    }
}

/// The replicas that are not avoided for their faults; all of them where that leaves none.
fn without_faulty(now_us: u64, replicas: Vec<&Replica>) -> Vec<&Replica> {
    let sound: Vec<&Replica> =
        replicas.iter().copied().filter(|replica| !replica.faults.is_avoided(now_us)).collect();
    if sound.is_empty() { replicas } else { sound }
}

/// What to do with a sub-request that wants a slot.
#[derive(Debug, PartialEq, Eq)]
enum Choice {
    Send(EcoString),
    Wait,
    Refuse(Reason),
}
