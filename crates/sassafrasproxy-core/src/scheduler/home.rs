//! Starts and ends a node's role as a group's home, and hands the group's state over.

use ecow::EcoString;
use sassafrasproxy_wire::{HandOver, ReplicaHandOver, SubRequestOutcome, TimelineEventKind};

use super::replica::{Phase, Replica};
use super::{HomeRole, Scheduler, SchedulerEffect};

impl Scheduler {
    /// Makes this node the group's home; until `view_skew_us` has passed or a hand-over arrives,
    /// every limit stays at 1.
    ///
    /// Guards against two nodes that both consider themselves home: until their views can no
    /// longer differ, this node adds at most one sub-request per replica to those that the other
    /// has in flight there.
    pub(super) fn become_home(&mut self, now_us: u64, view_skew_us: u64) {
        if matches!(self.role, HomeRole::Home { .. }) {
            return;
        }
        self.role = HomeRole::Home { limits_grow_from_us: now_us + view_skew_us };
        self.last_hand_over_sequence = None;
        for replica in self.replicas.values_mut() {
            if replica.phase == Phase::Serving {
                replica.reset_to_cold(now_us, "new_home");
            }
        }
        self.effects.push(SchedulerEffect::PublishHoldings);
    }

    /// Ends this node's role as home: returns queued sub-requests to their senders, lets attempts
    /// in flight end, and hands the group's state over.
    pub(super) fn lose_home(&mut self, now_us: u64, local_node: EcoString) {
        if !matches!(self.role, HomeRole::Home { .. }) {
            return;
        }
        self.role = HomeRole::FormerHome { sequence: 0 };
        self.local_node = local_node;
        for sub_request in std::mem::take(&mut self.queue) {
            let may_have_run =
                self.pending.get(&sub_request).is_some_and(|state| state.may_have_run);
            self.reply(sub_request, SubRequestOutcome::NotHome { may_have_run }, None);
        }
        self.send_hand_over(now_us, 0);
        for replica in self.replicas.values_mut() {
            replica.limit = 1;
        }
    }

    /// Sends the new home each replica's limit and the number of attempts that this node still has
    /// in flight there.
    fn send_hand_over(&mut self, now_us: u64, sequence: u64) {
        let replicas =
            self.replicas.values().map(|replica| self.replica_hand_over(replica, now_us));
        let hand_over = HandOver {
            group: self.configuration.group.clone(),
            from: self.local_node.clone(),
            sequence,
            replicas: replicas.collect(),
        };
        self.effects.push(SchedulerEffect::SendHandOver(hand_over));
    }

    /// Reports the end of an attempt to the new home, which can then use the slot; does nothing
    /// unless this node is the former home.
    ///
    /// Guards against slots that stay reserved until the deadlines of the old home's attempts: with
    /// few replicas left, as when a failure domain is out of service, queries would wait for slots
    /// that are already free.
    pub(super) fn report_to_new_home(&mut self, now_us: u64) {
        if let HomeRole::FormerHome { sequence } = &mut self.role {
            *sequence += 1;
            let sequence = *sequence;
            self.send_hand_over(now_us, sequence);
        }
    }

    /// Returns one replica's part of a hand-over.
    fn replica_hand_over(&self, replica: &Replica, now_us: u64) -> ReplicaHandOver {
        let running =
            self.attempts.values().filter(|attempt| attempt.replica == replica.spec.address);
        let busy_until_us = running.map(|attempt| attempt.deadline_us).max().unwrap_or(0);
        replica.to_hand_over(busy_until_us, now_us)
    }

    /// Applies the state that the old home sent: the first hand-over sets the limits and lets them
    /// grow at once, and the latest one sets the slots reserved for the old home.
    pub(super) fn apply_hand_over(&mut self, now_us: u64, hand_over: &HandOver) {
        let HomeRole::Home { limits_grow_from_us } = &mut self.role else { return };
        let is_first = hand_over.sequence == 0;
        let is_latest =
            self.last_hand_over_sequence.is_none_or(|latest| hand_over.sequence > latest);
        for received in &hand_over.replicas {
            let Some(replica) = self.replicas.get_mut(&received.address) else { continue };
            if is_first {
                replica.apply_hand_over(received, self.configuration.policy.slots, now_us);
            }
            if is_latest {
                replica.reserve_for_old_home(received, now_us);
            }
        }
        if is_latest {
            self.last_hand_over_sequence = Some(hand_over.sequence);
        }
        if !is_first {
            return;
        }
        *limits_grow_from_us = now_us;
        let kind = TimelineEventKind::HandOverTaken {
            group: self.configuration.group.clone(),
            from: hand_over.from.clone(),
        };
        self.effects.push(SchedulerEffect::RecordEvent { sub_request: None, kind });
    }

    /// Whether limits may grow; never while this node is not the home.
    pub(super) fn may_grow_limits(&self, now_us: u64) -> bool {
        match self.role {
            HomeRole::Home { limits_grow_from_us } => now_us >= limits_grow_from_us,
            HomeRole::Fallback | HomeRole::FormerHome { .. } => false,
        }
    }
}
