//! One replica as its group's home sees it: phase, limit in flight and what it holds.

use ecow::EcoString;
use indexmap::IndexSet;
use sassafrasproxy_wire::{
    HeldSnapshot, ReplicaHandOver, SnapshotId, UpstreamState, UpstreamStatus,
};

use super::failure_backoff::FailureBackoff;
use super::{ReplicaSpec, SchedulerPolicy, StatusReport};

/// A replica that dies this soon after its limit grew must earn the next slot more slowly.
const EARLY_CRASH_WINDOW_US: u64 = 30_000_000;

/// How often such a death doubles the answers that it must give.
const MAX_EARLY_CRASH_DOUBLINGS: u32 = 6;

/// How many slow answers in a row are the sign of a cold start.
const SLOW_ANSWERS_FOR_COLD: u32 = 3;

/// How many denied shards are kept for a replica.
const MAX_NOT_HELD_ENTRIES: usize = 64;

/// How much each slow answer raises the norm: 5 times the norm becomes normal after 160 of them.
const SLOW_LATENCY_GROWTH: f64 = 1.01;

/// The weight of the newest latency in the running norm.
const LATENCY_EWMA_WEIGHT: f64 = 0.05;

/// One replica of the lane's group.
#[derive(Debug, Clone)]
pub struct Replica {
    pub spec: ReplicaSpec,
    pub phase: Phase,
    /// Sub-requests it may have in flight; between 1 and the policy's slots.
    pub limit: u32,
    /// Sub-requests that hold a slot, those being cancelled included.
    pub in_flight: u32,
    /// Changes when its connections are condemned.
    pub connection_generation: u64,
    /// When anything last came back over the current generation of connections.
    pub last_answer_us: u64,
    /// The number of the probe that must answer before new work is sent.
    pub awaited_probe_id: Option<u64>,
    /// Requests that lost their connection since that probe was asked for.
    pub lost_fingerprints: IndexSet<u64>,
    /// What the platform's VM list says.
    pub vm_leaving: bool,
    /// Whether its failure domain is out.
    pub domain_out: bool,
    /// Answers in a row that were no good.
    pub failure_backoff: FailureBackoff,
    boot_id: Option<EcoString>,
    boot_id_at_loss: Option<EcoString>,
    held_snapshots: Vec<HeldSnapshot>,
    not_held: Vec<NotHeldShard>,
    paused_until_us: u64,
    next_limit_cut_us: u64,
    reserved_slots: u32,
    reserved_until_us: u64,
    typical_latency_us: Option<f64>,
    slow_answers: u32,
    /// Answers since the limit last changed that were as quick as those of a warm replica.
    warm_answers: u32,
    limit_changed_us: u64,
    /// Whether its limit came from its old home before its first status.
    has_handed_over_limit: bool,
    /// Whether its last status said that it is cold.
    reports_cold: bool,
    /// How often in a row it died soon after its limit had grown.
    early_crashes: u32,
}

/// What a replica can be used for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Nothing was heard of it yet.
    Unknown,
    /// It started lately or looks as if it had; its limit grows from 1.
    Cold,
    /// It serves at its full limit.
    Serving,
    /// It is leaving and gets no new work.
    Draining,
    /// New connections fail.
    Down,
}

impl Phase {
    /// The phase's name in status and time line.
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

/// A shard of a snapshot that the replica said it does not hold, whatever its status says.
#[derive(Debug, Clone)]
struct NotHeldShard {
    snapshot: SnapshotId,
    shard: EcoString,
    until_us: u64,
}

/// What an observation changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplicaChange {
    /// Nothing that anyone else sees.
    None,
    /// The limit only.
    Limit,
    /// The phase, noticed by the named sign.
    Phase(&'static str),
}

impl Replica {
    /// A replica of which nothing is known.
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
            early_crashes: 0,
        }
    }

    /// Whether new work may go to it at all, now or when a pause ends.
    pub fn is_usable(&self) -> bool {
        matches!(self.phase, Phase::Cold | Phase::Serving) && !self.vm_leaving && !self.domain_out
    }

    /// Whether its slots have room for one more sub-request.
    pub fn has_free_slot(&self, now_us: u64) -> bool {
        let lent = if self.reserved_until_us > now_us { self.reserved_slots } else { 0 };
        self.is_usable()
            && self.awaited_probe_id.is_none()
            && !self.is_paused(now_us)
            && self.in_flight + lent < self.limit
    }

    /// Whether it shed lately and asked for a pause.
    pub fn is_paused(&self, now_us: u64) -> bool {
        self.paused_until_us > now_us
    }

    /// The next time at which room may appear by itself.
    pub fn next_free_slot_us(&self, now_us: u64) -> Option<u64> {
        let lent_until_us = if self.reserved_slots > 0 { self.reserved_until_us } else { 0 };
        let retry_us = self.failure_backoff.retry_at_us(now_us).unwrap_or(0);
        [self.paused_until_us, lent_until_us, retry_us]
            .into_iter()
            .filter(|at_us| *at_us > now_us)
            .min()
    }

    /// Whether it holds a shard of a snapshot, as far as it said.
    pub fn holds(&self, snapshot: SnapshotId, shard: &str, now_us: u64) -> bool {
        let held = self
            .held_snapshots
            .iter()
            .any(|held| held.id == snapshot && held.shards.iter().any(|name| name == shard));
        held && !self.not_held.iter().any(|denied| {
            denied.snapshot == snapshot && denied.shard == shard && denied.until_us > now_us
        })
    }

    /// The snapshots that it says it holds.
    pub fn held_snapshots(&self) -> &[HeldSnapshot] {
        &self.held_snapshots
    }

    /// How loaded it is, for the choice between replicas: smaller is better.
    pub fn cost(&self) -> f64 {
        let busy = f64::from(self.in_flight + 1) / f64::from(self.limit.max(1));
        busy * self.typical_latency_us.unwrap_or(1.0).max(1.0)
    }

    /// Its usual latency.
    pub fn typical_latency_us(&self) -> Option<u64> {
        self.typical_latency_us.map(|norm_us| norm_us as u64)
    }

    /// Takes a good answer into account: the limit grows by good answers and time together.
    ///
    /// `warm_us` is the latency of the group's quickest replica, if any is known. Guards against
    /// an upstream that falls over under load while its caches are cold, whatever its status
    /// says: only answers about as quick as a warm replica's count towards the next slot.
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
        let norm_us = self.typical_latency_us.unwrap_or(latency_us as f64);
        let is_slow = latency_us as f64 > norm_us * policy.slow_factor;
        self.slow_answers = if is_slow { self.slow_answers + 1 } else { 0 };
        if self.slow_answers >= SLOW_ANSWERS_FOR_COLD && self.phase == Phase::Serving {
            return self.reset_to_cold(now_us, "latency");
        }
        if !is_slow || self.typical_latency_us.is_none() {
            self.typical_latency_us =
                Some(norm_us + LATENCY_EWMA_WEIGHT * (latency_us as f64 - norm_us));
        } else {
            // A norm that never follows a lasting change would hold the limit down for good.
            self.typical_latency_us = Some(norm_us * SLOW_LATENCY_GROWTH);
        }
        let is_warm =
            warm_us.is_none_or(|warm_us| latency_us as f64 <= warm_us as f64 * policy.warm_factor);
        if !is_warm || is_slow {
            return ReplicaChange::None;
        }
        self.warm_answers += 1;
        if may_grow { self.raise_limit(now_us, policy) } else { ReplicaChange::None }
    }

    /// Takes a shed request into account: the limit is halved, at most once in a pause.
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

    /// Takes an answer header or a status with a boot id into account.
    pub fn record_boot_id(&mut self, boot_id: &EcoString, now_us: u64) -> ReplicaChange {
        if self.boot_id.as_ref() == Some(boot_id) {
            return ReplicaChange::None;
        }
        let is_first = self.boot_id.replace(boot_id.clone()).is_none();
        self.not_held.clear();
        if is_first {
            return ReplicaChange::None;
        }
        let died_growing = now_us < self.limit_changed_us + EARLY_CRASH_WINDOW_US;
        self.early_crashes = if died_growing { self.early_crashes + 1 } else { 0 };
        self.reset_to_cold(now_us, "boot_id")
    }

    /// Waits for a probe before new work is sent, because a connection was lost mid-request.
    pub fn await_probe(&mut self, number: u64, fingerprint: u64) {
        if self.awaited_probe_id.is_none() {
            self.boot_id_at_loss.clone_from(&self.boot_id);
        }
        self.awaited_probe_id = Some(number);
        self.lost_fingerprints.insert(fingerprint);
    }

    /// Whether a probe's report shows that the process of the time of the loss died.
    pub fn confirms_crash(&self, report: &StatusReport) -> bool {
        match report {
            StatusReport::Read(status) => {
                self.boot_id_at_loss.as_ref().is_some_and(|boot_id| *boot_id != status.boot_id)
            }
            StatusReport::Unreachable => true,
            StatusReport::Unreadable => false,
        }
    }

    /// Believes that it is leaving, from any one source.
    pub fn mark_draining(&mut self, sign: &'static str) -> ReplicaChange {
        if self.phase == Phase::Draining {
            return ReplicaChange::None;
        }
        self.phase = Phase::Draining;
        ReplicaChange::Phase(sign)
    }

    /// Takes a failed new connection into account.
    pub fn mark_down(&mut self) -> ReplicaChange {
        if self.phase == Phase::Down {
            return ReplicaChange::None;
        }
        self.phase = Phase::Down;
        self.held_snapshots.clear();
        ReplicaChange::Phase("connect")
    }

    /// Takes its own report into account, which may lag or be wrong.
    ///
    /// The report can take work away at once. It gives none back by itself: a replica that was
    /// down or leaving starts at a limit of 1 again and earns more by answers.
    pub fn record_status(
        &mut self,
        status: &UpstreamStatus,
        slots: u32,
        now_us: u64,
    ) -> ReplicaChange {
        let was = self.phase;
        let boot_change = self.record_boot_id(&status.boot_id, now_us);
        self.held_snapshots.clone_from(&status.snapshots);
        self.reports_cold = status.state == UpstreamState::Cold;
        match (status.state, was) {
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
            // An old process's "serving" may be a stale report; only a new process is back.
            (_, Phase::Draining) => boot_change,
            (_, Phase::Cold | Phase::Serving) => boot_change,
        }
    }

    /// Stops believing, for a while, that it holds a shard of a snapshot.
    pub fn record_not_held(&mut self, snapshot: SnapshotId, shard: &EcoString, until_us: u64) {
        if self.not_held.len() >= MAX_NOT_HELD_ENTRIES {
            self.not_held.remove(0);
        }
        self.not_held.push(NotHeldShard { snapshot, shard: shard.clone(), until_us });
    }

    /// Starts the ramp again, because its caches are cold or the load was away.
    pub fn reset_to_cold(&mut self, now_us: u64, sign: &'static str) -> ReplicaChange {
        self.phase = Phase::Cold;
        self.limit = 1;
        self.warm_answers = 0;
        self.slow_answers = 0;
        self.limit_changed_us = now_us;
        ReplicaChange::Phase(sign)
    }

    /// Keeps free what its old home still uses, until that has surely ended.
    pub fn reserve_for_old_home(&mut self, given: &ReplicaHandOver, now_us: u64) {
        self.reserved_slots = given.in_flight;
        self.reserved_until_us = now_us + given.busy_ms * crate::US_PER_MS;
    }

    /// Takes the limit that its old home had learned.
    pub fn apply_hand_over(&mut self, given: &ReplicaHandOver, slots: u32, now_us: u64) {
        self.limit = given.limit.clamp(1, slots);
        self.boot_id.clone_from(&given.boot_id);
        self.limit_changed_us = now_us;
        // What it holds is known only from its first status; until then its phase is unknown.
        self.has_handed_over_limit = self.phase == Phase::Unknown;
        if self.limit == slots && self.phase == Phase::Cold {
            self.phase = Phase::Serving;
        }
    }

    /// What its next home needs to know.
    pub fn to_hand_over(&self, busy_until_us: u64, now_us: u64) -> ReplicaHandOver {
        ReplicaHandOver {
            address: self.spec.address.clone(),
            limit: self.limit,
            in_flight: self.in_flight,
            busy_ms: busy_until_us.saturating_sub(now_us).div_ceil(crate::US_PER_MS),
            boot_id: self.boot_id.clone(),
        }
    }

    /// Raises the limit by one when enough answers were good for long enough.
    fn raise_limit(&mut self, now_us: u64, policy: &SchedulerPolicy) -> ReplicaChange {
        let wanted = (policy.ramp_answers_per_slot * self.limit)
            << self.early_crashes.min(MAX_EARLY_CRASH_DOUBLINGS);
        let is_ripe = now_us >= self.limit_changed_us + policy.min_ramp_step_us
            && self.warm_answers >= wanted;
        if !is_ripe || self.reports_cold || self.phase != Phase::Cold {
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
