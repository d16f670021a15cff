//! Connections that carry nothing any more.

use ecow::EcoString;
use sassafrasproxy_wire::{EventKind, Reason};

use super::replica::Replica;
use super::{Attempt, AttemptId, Scheduler, SchedulerEffect, SubRequestId};

/// How often a sub-request is sent again because its connection was silent.
const MAX_STALL_RESENDS: u32 = 2;

/// The part of the time left after which a replica that never answered counts as silent: one part
/// in this many.
const UNKNOWN_LATENCY_STALL_DIVISOR: u64 = 3;

impl Scheduler {
    /// Gives connections up on which nothing comes back, and sends again on new ones.
    ///
    /// Guards against connections that something in between has lost track of: requests go out
    /// and nothing returns, for good, while new connections work. A replica that answered
    /// something else since the send keeps its connections: it may only be slow.
    pub(super) fn detect_stalls(&mut self, now_us: u64) {
        let is_silent =
            |attempt: &Attempt| self.stall_at_us(attempt).is_some_and(|at_us| at_us <= now_us);
        let silent: Vec<AttemptId> =
            self.attempts.iter().filter(|(_, one)| is_silent(one)).map(|(id, _)| *id).collect();
        for id in silent {
            let Some(attempt) = self.attempts.get(&id) else { continue };
            let (sub, started_us) = (attempt.sub_request, attempt.started_us);
            let (address, generation) = (attempt.replica.clone(), attempt.connection_generation);
            let is_quiet = self.replicas.get(&address).is_some_and(|one| {
                one.connection_generation == generation && one.last_answer_us <= started_us
            });
            if is_quiet {
                // Most of the time since the send, so that a late answer elsewhere clears nobody.
                self.retire_quiet_connections(started_us.midpoint(now_us));
            }
            self.resend_stalled(sub, id);
        }
    }

    /// Sends a sub-request again whose connection was silent; free of the budget, but bounded.
    fn resend_stalled(&mut self, key: SubRequestId, id: AttemptId) {
        let Some(state) = self.pending.get_mut(&key) else { return };
        if state.stall_resends >= MAX_STALL_RESENDS || !state.spec.is_idempotent {
            return;
        }
        state.may_have_run = true;
        state.last_reason = Some(Reason::ConnectionLost);
        state.active_attempts.retain(|live| *live != id);
        // A hedge that is open may still answer, or turn out to be silent as well.
        let is_idle = state.active_attempts.is_empty();
        state.stall_resends += u32::from(is_idle);
        self.cancel_all(&[id]);
        if is_idle {
            self.queue.push_front(key);
            self.record_retry(key, Reason::ConnectionLost);
        }
    }

    /// When a send counts as silent: sooner when its replica has answered nothing else since.
    ///
    /// A replica that answers over other connections may still have lost this one, so that a send
    /// is given up in the end whatever else comes back.
    pub(super) fn stall_at_us(&self, attempt: &Attempt) -> Option<u64> {
        let replica = self.replicas.get(&attempt.replica)?;
        if attempt.is_cancelling {
            return None;
        }
        let policy = &self.configuration.policy;
        let factor = match replica.last_answer_us > attempt.started_us {
            true => policy.active_replica_stall_factor,
            false => policy.quiet_replica_stall_factor,
        };
        let bound_us = match replica.typical_latency_us() {
            Some(norm_us) => norm_us * factor,
            None => (attempt.deadline_us - attempt.started_us) / UNKNOWN_LATENCY_STALL_DIVISOR,
        };
        Some(attempt.started_us + bound_us.max(policy.min_stall_us))
    }

    /// Gives up the open connections of every replica that answered nothing since a time.
    ///
    /// What lost track of one replica's connections may have lost all that go the same way; the
    /// next send must not meet another silent one. A new connection costs a few milliseconds.
    fn retire_quiet_connections(&mut self, since_us: u64) {
        let is_quiet = |replica: &&Replica| replica.last_answer_us <= since_us;
        let quiet: Vec<EcoString> = self
            .replicas
            .values()
            .filter(is_quiet)
            .map(|replica| replica.spec.address.clone())
            .collect();
        for address in quiet {
            self.retire_connections(&address);
        }
    }

    /// Gives up a replica's open connections.
    pub(super) fn retire_connections(&mut self, address: &EcoString) {
        let Some(replica) = self.replicas.get_mut(address) else { return };
        replica.connection_generation += 1;
        self.effects.push(SchedulerEffect::RetireConnections { replica: address.clone() });
        let kind = EventKind::ConnectionsCondemned { replica: address.clone() };
        self.effects.push(SchedulerEffect::RecordEvent { sub_request: None, kind });
    }
}
