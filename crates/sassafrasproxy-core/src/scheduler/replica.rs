//! The state of one replica at its group's home: phase, concurrency limit and held snapshots.

use ecow::EcoString;
use indexmap::IndexSet;
use sassafrasproxy_wire::{
    HeldSnapshot, ReplicaHandOver, SnapshotId, UpstreamState, UpstreamStatus,
};

use super::failure_backoff::FailureBackoff;
use super::{ReplicaSpec, SchedulerPolicy, StatusReport};

/// The time after a change of a replica's limit within which a restart counts as early; each early
/// restart in a row raises the number of answers required before the limit grows.
const EARLY_RESTART_WINDOW_US: u64 = 30_000_000;

/// The maximum number of times that early restarts double the answers required for a slot.
const MAX_EARLY_RESTART_DOUBLINGS: u32 = 6;

/// The number of slow answers in a row from which a serving replica counts as cold.
const SLOW_ANSWERS_FOR_COLD: u32 = 3;

/// The maximum number of shards remembered as not held by a replica.
const MAX_NOT_HELD_ENTRIES: usize = 64;

/// The factor by which each slow answer raises the typical latency; about 160 slow answers raise it
/// fivefold.
const SLOW_LATENCY_GROWTH: f64 = 1.01;

/// The weight of the newest latency in the moving average.
const LATENCY_EWMA_WEIGHT: f64 = 0.05;

/// One replica of the scheduler's group.
#[derive(Debug, Clone)]
pub struct Replica {
    pub spec: ReplicaSpec,
    pub phase: Phase,
    /// The number of sub-requests it may have in flight; between 1 and the policy's slots.
    pub limit: u32,
    /// The number of attempts that hold a slot, including those being cancelled.
    pub in_flight: u32,
    /// Incremented when its open connections are retired.
    pub connection_generation: u64,
    /// The time of its last good answer, shed request or refusal of a shard that it does not hold.
    pub last_answer_us: u64,
    /// The probe that must be answered before new work is sent.
    pub awaited_probe_id: Option<u64>,
    /// The requests whose connection was lost and which that probe checks for a crash.
    pub lost_fingerprints: IndexSet<u64>,
    /// Whether it is leaving according to the platform's VM list.
    pub vm_leaving: bool,
    /// Whether its failure domain is out of service.
    pub domain_out: bool,
    /// The backoff after bad answers in a row.
    pub failure_backoff: FailureBackoff,
    boot_id: Option<EcoString>,
    /// The boot id known when the first connection under check was lost.
    boot_id_at_loss: Option<EcoString>,
    held_snapshots: Vec<HeldSnapshot>,
    not_held: Vec<NotHeldShard>,
    paused_until_us: u64,
    /// The time before which another shed request does not lower the limit again.
    next_limit_cut_us: u64,
    /// The slots that attempts of the old home use until `reserved_until_us` at the latest.
    reserved_slots: u32,
    reserved_until_us: u64,
    typical_latency_us: Option<f64>,
    slow_answers: u32,
    /// The number of answers since the limit last changed that were as fast as a warm replica's.
    warm_answers: u32,
    limit_changed_us: u64,
    /// Whether a hand-over set its limit before its first status arrived.
    has_handed_over_limit: bool,
    /// Whether its last status reported it as cold.
    reports_cold: bool,
    /// The number of restarts in a row that came soon after its limit changed.
    early_restarts: u32,
}

/// Whether and how far a replica can be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// No status has arrived yet.
    Unknown,
    /// It restarted, returned, or shows signs of a cold cache; its limit grows from 1.
    Cold,
    /// It has reached its full limit.
    Serving,
    /// It is leaving and gets no new work.
    Draining,
    /// New connections fail.
    Down,
}

impl Phase {
    /// Returns the phase's name in the node's status and the timeline.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Unknown => "unknown",
            Self::Cold => "cold",
            Self::Serving => "serving",
            Self::Draining => "draining",
            Self::Down => "down",
        }
    }
}

/// A shard of a snapshot that the replica refused as not held, which overrides its status until it
/// expires.
#[derive(Debug, Clone)]
struct NotHeldShard {
    snapshot: SnapshotId,
    shard: EcoString,
    until_us: u64,
}

/// The effect of an observation on a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplicaChange {
    /// No change that is visible outside.
    None,
    /// Only the limit changed.
    Limit,
    /// The phase changed; names the sign that caused it.
    Phase(&'static str),
}

impl Replica {
    /// Creates a replica in the phase [`Phase::Unknown`] with a limit of 1.
    pub fn new(spec: ReplicaSpec) -> Self {
        Self {
            spec,
            phase: Phase::Unknown,
            limit: 1,
            in_flight: 0,
            connection_generation: 0,
            last_answer_us: 0,
            awaited_probe_id: None,
            lost_fingerprints: IndexSet::new(),
            vm_leaving: false,
            domain_out: false,
            failure_backoff: FailureBackoff::default(),
            boot_id: None,
            boot_id_at_loss: None,
            held_snapshots: Vec::new(),
            not_held: Vec::new(),
            paused_until_us: 0,
            next_limit_cut_us: 0,
            reserved_slots: 0,
            reserved_until_us: 0,
            typical_latency_us: None,
            slow_answers: 0,
            warm_answers: 0,
            limit_changed_us: 0,
            has_handed_over_limit: false,
            reports_cold: false,
            early_restarts: 0,
        }
    }

    /// Whether the replica may get new work, now or after a pause.
    pub fn is_usable(&self) -> bool {
        matches!(self.phase, Phase::Cold | Phase::Serving) && !self.vm_leaving && !self.domain_out
    }

    /// Whether the replica can take one more sub-request now.
    pub fn has_free_slot(&self, now_us: u64) -> bool {
        let reserved = if self.reserved_until_us > now_us { self.reserved_slots } else { 0 };
        self.is_usable()
            && self.awaited_probe_id.is_none()
            && !self.is_paused(now_us)
            && self.in_flight + reserved < self.limit
    }

    /// Whether the replica is paused after shedding a request.
    pub fn is_paused(&self, now_us: u64) -> bool {
        self.paused_until_us > now_us
    }

    /// Returns the next time at which a slot may become free without an event: the end of a pause,
    /// a reservation or a backoff.
    pub fn next_free_slot_us(&self, now_us: u64) -> Option<u64> {
        let reserved_until_us = if self.reserved_slots > 0 { self.reserved_until_us } else { 0 };
        let retry_us = self.failure_backoff.retry_at_us(now_us).unwrap_or(0);
        [self.paused_until_us, reserved_until_us, retry_us]
            .into_iter()
            .filter(|at_us| *at_us > now_us)
            .min()
    }

    /// Whether the replica holds a shard of a snapshot, by its last status and its refusals.
    pub fn holds(&self, snapshot: SnapshotId, shard: &str, now_us: u64) -> bool {
        let is_held = self
            .held_snapshots
            .iter()
            .any(|held| held.id == snapshot && held.shards.iter().any(|name| name == shard));
        is_held
            && !self.not_held.iter().any(|entry| {
                entry.snapshot == snapshot && entry.shard == shard && entry.until_us > now_us
            })
    }

    /// Returns the snapshots that its last status listed.
    pub fn held_snapshots(&self) -> &[HeldSnapshot] {
        &self.held_snapshots
    }

    /// Returns the cost of one more sub-request, from load and latency; lower is better.
    pub fn cost(&self) -> f64 {
        let utilization = f64::from(self.in_flight + 1) / f64::from(self.limit.max(1));
        utilization * self.typical_latency_us.unwrap_or(1.0).max(1.0)
    }

    /// Returns its typical latency in microseconds, once it has answered.
    pub fn typical_latency_us(&self) -> Option<u64> {
        self.typical_latency_us.map(|typical_us| typical_us as u64)
    }

    /// Records a good answer: the limit grows after enough warm answers and enough time, and
    /// several slow answers in a row make a serving replica cold.
    ///
    /// `warm_us` is the typical latency of the group's quickest replica, if known. Guards against
    /// an upstream that fails under load while its caches are cold, whatever its status reports:
    /// only answers about as fast as a warm replica's count towards the next slot.
    pub fn record_answer(
        &mut self,
        now_us: u64,
        latency_us: u64,
        policy: &SchedulerPolicy,
        warm_us: Option<u64>,
        may_grow: bool,
    ) -> ReplicaChange {
        self.last_answer_us = now_us;
        self.failure_backoff.record_success();
        let typical_us = self.typical_latency_us.unwrap_or(latency_us as f64);
        let is_slow = latency_us as f64 > typical_us * policy.slow_factor;
        self.slow_answers = if is_slow { self.slow_answers + 1 } else { 0 };
        if self.slow_answers >= SLOW_ANSWERS_FOR_COLD && self.phase == Phase::Serving {
            return self.reset_to_cold(now_us, "latency");
        }
        if !is_slow || self.typical_latency_us.is_none() {
            self.typical_latency_us =
                Some(typical_us + LATENCY_EWMA_WEIGHT * (latency_us as f64 - typical_us));
        } else {
            // Follows a lasting increase, which would otherwise keep the limit low forever.
            self.typical_latency_us = Some(typical_us * SLOW_LATENCY_GROWTH);
        }
        let is_warm =
            warm_us.is_none_or(|warm_us| latency_us as f64 <= warm_us as f64 * policy.warm_factor);
        if !is_warm || is_slow {
            return ReplicaChange::None;
        }
        self.warm_answers += 1;
        if may_grow { self.raise_limit(now_us, policy) } else { ReplicaChange::None }
    }

    /// Records a shed request: pauses the replica and halves its limit, at most once per pause.
    pub fn record_shed(
        &mut self,
        now_us: u64,
        retry_after_us: u64,
        policy: &SchedulerPolicy,
    ) -> ReplicaChange {
        self.last_answer_us = now_us;
        let pause_us = retry_after_us.clamp(policy.min_shed_pause_us, policy.max_shed_pause_us);
        self.paused_until_us = self.paused_until_us.max(now_us + pause_us);
        if now_us < self.next_limit_cut_us {
            return ReplicaChange::None;
        }
        self.next_limit_cut_us = now_us + pause_us;
        let limit = (self.limit / 2).max(1);
        self.warm_answers = 0;
        self.limit_changed_us = now_us;
        if limit == self.limit {
            return ReplicaChange::None;
        }
        self.limit = limit;
        if self.phase == Phase::Serving {
            self.phase = Phase::Cold;
        }
        ReplicaChange::Limit
    }

    /// Records the boot id of an answer or a status; a changed one means that the replica has
    /// restarted.
    pub fn record_boot_id(&mut self, boot_id: &EcoString, now_us: u64) -> ReplicaChange {
        if self.boot_id.as_ref() == Some(boot_id) {
            return ReplicaChange::None;
        }
        let is_first = self.boot_id.replace(boot_id.clone()).is_none();
        self.not_held.clear();
        if is_first {
            return ReplicaChange::None;
        }
        let is_early_restart = now_us < self.limit_changed_us + EARLY_RESTART_WINDOW_US;
        self.early_restarts = if is_early_restart { self.early_restarts + 1 } else { 0 };
        self.reset_to_cold(now_us, "boot_id")
    }

    /// Withholds new work until a probe is answered, because a connection was lost mid-request.
    pub fn await_probe(&mut self, probe_id: u64, fingerprint: u64) {
        if self.awaited_probe_id.is_none() {
            self.boot_id_at_loss.clone_from(&self.boot_id);
        }
        self.awaited_probe_id = Some(probe_id);
        self.lost_fingerprints.insert(fingerprint);
    }

    /// Whether a probe's report shows that the process which lost the connection has crashed.
    pub fn confirms_crash(&self, report: &StatusReport) -> bool {
        match report {
            StatusReport::Read(status) => {
                self.boot_id_at_loss.as_ref().is_some_and(|boot_id| *boot_id != status.boot_id)
            }
            StatusReport::Unreachable => true,
            StatusReport::Unreadable => false,
        }
    }

    /// Marks the replica as leaving; a single source is enough.
    pub fn mark_draining(&mut self, sign: &'static str) -> ReplicaChange {
        if self.phase == Phase::Draining {
            return ReplicaChange::None;
        }
        self.phase = Phase::Draining;
        ReplicaChange::Phase(sign)
    }

    /// Marks the replica as down after a new connection failed.
    pub fn mark_down(&mut self) -> ReplicaChange {
        if self.phase == Phase::Down {
            return ReplicaChange::None;
        }
        self.phase = Phase::Down;
        self.held_snapshots.clear();
        ReplicaChange::Phase("connect")
    }

    /// Records a status of the replica, which may be stale or wrong.
    ///
    /// A status can stop new work or lower the limit at once, but it never raises the limit: a
    /// replica that returns after it was down or leaving starts at a limit of 1, which only answers
    /// raise.
    pub fn record_status(
        &mut self,
        status: &UpstreamStatus,
        slots: u32,
        now_us: u64,
    ) -> ReplicaChange {
        let previous_phase = self.phase;
        let boot_change = self.record_boot_id(&status.boot_id, now_us);
        self.held_snapshots.clone_from(&status.snapshots);
        self.reports_cold = status.state == UpstreamState::Cold;
        match (status.state, previous_phase) {
            (UpstreamState::Draining, _) => self.mark_draining("status"),
            (UpstreamState::Cold, Phase::Serving) => self.reset_to_cold(now_us, "status"),
            (_, Phase::Unknown)
                if self.has_handed_over_limit && boot_change == ReplicaChange::None =>
            {
                self.phase = if self.limit == slots { Phase::Serving } else { Phase::Cold };
                ReplicaChange::Phase("handed_over")
            }
            (_, Phase::Unknown) => self.reset_to_cold(now_us, "first_status"),
            (_, Phase::Down) => self.reset_to_cold(now_us, "reachable"),
            // "Serving" from the same process may be stale; only a new process ends the drain.
            (_, Phase::Draining) => boot_change,
            (_, Phase::Cold | Phase::Serving) => boot_change,
        }
    }

    /// Records until `until_us` that the replica does not hold a shard of a snapshot.
    pub fn record_not_held(&mut self, snapshot: SnapshotId, shard: &EcoString, until_us: u64) {
        if self.not_held.len() >= MAX_NOT_HELD_ENTRIES {
            self.not_held.remove(0);
        }
        self.not_held.push(NotHeldShard { snapshot, shard: shard.clone(), until_us });
    }

    /// Restarts the ramp at a limit of 1, because its caches are cold or its load went elsewhere.
    pub fn reset_to_cold(&mut self, now_us: u64, sign: &'static str) -> ReplicaChange {
        self.phase = Phase::Cold;
        self.limit = 1;
        self.warm_answers = 0;
        self.slow_answers = 0;
        self.limit_changed_us = now_us;
        ReplicaChange::Phase(sign)
    }

    /// Reserves the slots that the old home still uses, until the last deadline of its attempts.
    pub fn reserve_for_old_home(&mut self, hand_over: &ReplicaHandOver, now_us: u64) {
        self.reserved_slots = hand_over.in_flight;
        self.reserved_until_us = now_us + hand_over.busy_ms * crate::US_PER_MS;
    }

    /// Applies the limit and boot id from the old home's hand-over.
    pub fn apply_hand_over(&mut self, hand_over: &ReplicaHandOver, slots: u32, now_us: u64) {
        self.limit = hand_over.limit.clamp(1, slots);
        self.boot_id.clone_from(&hand_over.boot_id);
        self.limit_changed_us = now_us;
        // Its first status lists its snapshots; until then the phase stays unknown.
        self.has_handed_over_limit = self.phase == Phase::Unknown;
        if self.limit == slots && self.phase == Phase::Cold {
            self.phase = Phase::Serving;
        }
    }

    /// Returns the state that the next home needs.
    pub fn to_hand_over(&self, busy_until_us: u64, now_us: u64) -> ReplicaHandOver {
        ReplicaHandOver {
            address: self.spec.address.clone(),
            limit: self.limit,
            in_flight: self.in_flight,
            busy_ms: busy_until_us.saturating_sub(now_us).div_ceil(crate::US_PER_MS),
            boot_id: self.boot_id.clone(),
        }
    }

    /// Raises the limit by one after enough warm answers and enough time; at the full limit the
    /// replica is serving.
    fn raise_limit(&mut self, now_us: u64, policy: &SchedulerPolicy) -> ReplicaChange {
        let required_answers = (policy.ramp_answers_per_slot * self.limit)
            << self.early_restarts.min(MAX_EARLY_RESTART_DOUBLINGS);
        let is_due = now_us >= self.limit_changed_us + policy.min_ramp_step_us
            && self.warm_answers >= required_answers;
        if !is_due || self.reports_cold || self.phase != Phase::Cold {
            return ReplicaChange::None;
        }
        if self.limit >= policy.slots {
            self.phase = Phase::Serving;
            return ReplicaChange::Phase("ramp");
        }
        self.limit += 1;
        self.warm_answers = 0;
        self.limit_changed_us = now_us;
        if self.limit < policy.slots {
            return ReplicaChange::Limit;
        }
        self.phase = Phase::Serving;
        ReplicaChange::Phase("ramp")
    }
}
