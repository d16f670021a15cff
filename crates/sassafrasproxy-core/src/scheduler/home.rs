//! Taking a group over and letting it go.

use ecow::EcoString;
use sassafrasproxy_wire::{EventKind, HandOver, ReplicaHandOver, SubOutcome};

use super::replica::{Phase, Replica};
use super::{HomeRole, Scheduler, SchedulerEffect};

impl Scheduler {
    /// Takes the group over; without a hand-over every limit stays at 1 for a while.
    ///
    /// Guards against two nodes that each believe to be home: until views can no longer differ,
    /// this one adds at most one sub-request to what the other has in flight at a replica.
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

    /// Lets the group go: what waits is sent back to its entry, what runs may end.
    pub(super) fn lose_home(&mut self, now_us: u64, me: EcoString) {
        if !matches!(self.role, HomeRole::Home { .. }) {
            return;
        }
        self.role = HomeRole::FormerHome { sequence: 0 };
        self.local_node = me;
        for key in std::mem::take(&mut self.queue) {
            let may_have_run = self.pending.get(&key).is_some_and(|state| state.may_have_run);
            self.reply(key, SubOutcome::NotHome { may_have_run }, None);
        }
        self.send_hand_over(now_us, 0);
        for replica in self.replicas.values_mut() {
            replica.limit = 1;
        }
    }

    /// Tells the new home what it needs to know, or how many sends still run here.
    fn send_hand_over(&mut self, now_us: u64, sequence: u64) {
        let replicas =
            self.replicas.values().map(|replica| self.replica_hand_over(replica, now_us));
        let given = HandOver {
            group: self.configuration.group.clone(),
            from: self.local_node.clone(),
            sequence,
            replicas: replicas.collect(),
        };
        self.effects.push(SchedulerEffect::SendHandOver(given));
    }

    /// Frees the new home's slots as the last sends of the old one end.
    ///
    /// Guards against slots that stay kept until the old sends' deadlines: where few replicas
    /// are left, as with a failure domain out, queries would wait for them in vain.
    pub(super) fn report_to_new_home(&mut self, now_us: u64) {
        if let HomeRole::FormerHome { sequence } = &mut self.role {
            *sequence += 1;
            let sequence = *sequence;
            self.send_hand_over(now_us, sequence);
        }
    }

    /// One replica's part of a hand-over.
    fn replica_hand_over(&self, replica: &Replica, now_us: u64) -> ReplicaHandOver {
        let running =
            self.attempts.values().filter(|attempt| attempt.replica == replica.spec.address);
        let busy_until_us = running.map(|attempt| attempt.deadline_us).max().unwrap_or(0);
        replica.to_hand_over(busy_until_us, now_us)
    }

    /// Takes over what the old home had learned, which ends the narrow start.
    pub(super) fn apply_hand_over(&mut self, now_us: u64, given: &HandOver) {
        let HomeRole::Home { limits_grow_from_us: full_from_us } = &mut self.role else { return };
        let is_first = given.sequence == 0;
        let is_latest = self.last_hand_over_sequence.is_none_or(|heard| given.sequence > heard);
        for one in &given.replicas {
            let Some(replica) = self.replicas.get_mut(&one.address) else { continue };
            if is_first {
                replica.apply_hand_over(one, self.configuration.policy.slots, now_us);
            }
            if is_latest {
                replica.reserve_for_old_home(one, now_us);
            }
        }
        if is_latest {
            self.last_hand_over_sequence = Some(given.sequence);
        }
        if !is_first {
            return;
        }
        *full_from_us = now_us;
        let kind = EventKind::HandOverTaken {
            group: self.configuration.group.clone(),
            from: given.from.clone(),
        };
        self.effects.push(SchedulerEffect::RecordEvent { sub_request: None, kind });
    }

    /// Whether limits may grow now.
    pub(super) fn may_grow_limits(&self, now_us: u64) -> bool {
        match self.role {
            HomeRole::Home { limits_grow_from_us: full_from_us } => now_us >= full_from_us,
            HomeRole::Fallback | HomeRole::FormerHome { .. } => false,
        }
    }
}
