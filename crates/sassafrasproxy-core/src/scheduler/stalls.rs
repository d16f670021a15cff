//! Detects stalled connections, retires them and resends the sub-requests sent on them.

use ecow::EcoString;
use sassafrasproxy_wire::{FailureReason, TimelineEventKind};

use super::replica::Replica;
use super::{Attempt, AttemptId, Scheduler, SchedulerEffect, SubRequestId};

/// The maximum number of resends of a sub-request because of stalled connections.
const MAX_STALL_RESENDS: u32 = 2;

/// The divisor that turns the time from an attempt's start to its deadline into its stall timeout,
/// for a replica without a typical latency.
const UNKNOWN_LATENCY_STALL_DIVISOR: u64 = 3;

impl Scheduler {
    /// Retires connections on which no answers arrive and resends their sub-requests on new ones.
    ///
    /// Guards against connections whose state a device on the network path has lost: requests go
    /// out and no answer ever returns, while new connections work. A replica that answered another
    /// attempt since keeps its connections, because it may only be slow.
    pub(super) fn detect_stalls(&mut self, now_us: u64) {
        let is_stalled =
            |attempt: &Attempt| self.stall_at_us(attempt).is_some_and(|at_us| at_us <= now_us);
        let stalled: Vec<AttemptId> = self
            .attempts
            .iter()
            .filter(|(_, attempt)| is_stalled(attempt))
            .map(|(id, _)| *id)
            .collect();
        for attempt_id in stalled {
            let Some(attempt) = self.attempts.get(&attempt_id) else { continue };
            let (sub_request, started_us) = (attempt.sub_request, attempt.started_us);
            let (address, generation) = (attempt.replica.clone(), attempt.connection_generation);
            let is_quiet = self.replicas.get(&address).is_some_and(|replica| {
                replica.connection_generation == generation && replica.last_answer_us <= started_us
            });
            if is_quiet {
                // Counts from the midpoint of the wait, not from the attempt's start: an answer
                // that was already on its way when the connections were lost does not show that a
                // replica's connections still work.
                self.retire_quiet_connections(started_us.midpoint(now_us));
            }
            self.resend_stalled(sub_request, attempt_id);
        }
    }

    /// Resends a sub-request whose connection stalled; takes nothing from the budget, but the
    /// number of resends is limited.
    fn resend_stalled(&mut self, sub_request: SubRequestId, attempt_id: AttemptId) {
        let Some(state) = self.pending.get_mut(&sub_request) else { return };
        if state.stall_resends >= MAX_STALL_RESENDS || !state.spec.is_idempotent {
            return;
        }
        state.may_have_run = true;
        state.last_reason = Some(FailureReason::ConnectionLost);
        state.active_attempts.retain(|active| *active != attempt_id);
        // An active hedge may still answer; if it stalls as well, the sub-request is resent then.
        let is_idle = state.active_attempts.is_empty();
        state.stall_resends += u32::from(is_idle);
        self.cancel_all(&[attempt_id]);
        if is_idle {
            self.queue.push_front(sub_request);
            self.record_retry(sub_request, FailureReason::ConnectionLost);
        }
    }

    /// Returns when an attempt counts as stalled: sooner if its replica has answered nothing since
    /// the attempt started.
    ///
    /// A replica that answers over other connections may still have lost this one, so an attempt at
    /// such a replica also counts as stalled, only later.
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
        let timeout_us = match replica.typical_latency_us() {
            Some(typical_us) => typical_us * factor,
            None => (attempt.deadline_us - attempt.started_us) / UNKNOWN_LATENCY_STALL_DIVISOR,
        };
        Some(attempt.started_us + timeout_us.max(policy.min_stall_us))
    }

    /// Retires the open connections of every replica that has answered nothing since a time.
    ///
    /// The cause of one stalled connection may affect all connections on the same network path,
    /// and the next attempt must not use another stalled one. A new connection costs a few
    /// milliseconds.
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

    /// Retires a replica's open connections.
    pub(super) fn retire_connections(&mut self, address: &EcoString) {
        let Some(replica) = self.replicas.get_mut(address) else { return };
        replica.connection_generation += 1;
        self.effects.push(SchedulerEffect::RetireConnections { replica: address.clone() });
        let kind = TimelineEventKind::ConnectionsCondemned { replica: address.clone() };
        self.effects.push(SchedulerEffect::RecordEvent { sub_request: None, kind });
    }
}
