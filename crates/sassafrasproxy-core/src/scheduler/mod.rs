//! The scheduler of a replica group at its home: queue, concurrency limits, hedges, retries,
//! stall detection and crash quarantine.

mod budget;
mod crash_suspects;
mod dispatch;
mod failure_backoff;
mod home;
mod latency;
mod message;
mod replica;
mod results;
mod stalls;

use std::collections::VecDeque;

use ecow::EcoString;
use indexmap::IndexMap;
use sassafrasproxy_wire::{
    FailureReason, GroupHoldings, Hlc, ReplicaStatus, SnapshotHolding, SnapshotId,
    SubRequestOutcome, TimelineEventKind,
};

pub use self::budget::HedgeRetryBudget;
pub use self::latency::LatencyWindow;
pub use self::message::*;

use self::crash_suspects::CrashSuspects;
use self::replica::{Phase, Replica, ReplicaChange};

/// Makes all decisions of a home about one replica group.
///
/// Every [`SchedulerEffect::Send`] is followed by exactly one [`SchedulerEvent::Finished`] or
/// [`SchedulerEvent::Cancelled`], which frees the slot. A replica's `in_flight` therefore counts
/// what the upstream still holds.
#[derive(Debug)]
pub struct Scheduler {
    configuration: SchedulerConfiguration,
    role: HomeRole,
    /// This node's name; empty until it first stopped being home.
    local_node: EcoString,
    /// The sequence number of the latest hand-over applied since this node became home.
    last_hand_over_sequence: Option<u64>,
    replicas: IndexMap<EcoString, Replica>,
    /// Sub-requests that wait for a slot, in dispatch order; all are in `pending`.
    queue: VecDeque<SubRequestId>,
    /// Sub-requests without a reply.
    pending: IndexMap<SubRequestId, PendingSubRequest>,
    /// Attempts that hold a slot.
    attempts: IndexMap<AttemptId, Attempt>,
    budget: HedgeRetryBudget,
    suspects: CrashSuspects,
    /// Recent latencies by shard.
    latencies: IndexMap<EcoString, LatencyWindow>,
    next_attempt_id: u64,
    next_probe_id: u64,
    effects: Vec<SchedulerEffect>,
}

/// The role of the scheduler's node for the group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum HomeRole {
    /// The home; limits may grow from `limits_grow_from_us` on.
    Home { limits_grow_from_us: u64 },
    /// Asked only when the home cannot be reached; every limit stays at 1.
    Fallback,
    /// The former home; reports each end of an attempt to the new home in a hand-over, the last one
    /// with the number `sequence`. Otherwise like a fallback.
    FormerHome { sequence: u64 },
}

/// A sub-request without a reply.
#[derive(Debug)]
struct PendingSubRequest {
    spec: SubRequestSpec,
    /// The number of attempts so far.
    attempt_count: u32,
    /// Attempts that have not ended, excluding those given up after a stall.
    active_attempts: Vec<AttemptId>,
    /// The replicas of its attempts that ended without a good answer.
    failed_replicas: Vec<EcoString>,
    /// Whether its only hedge was started or refused by the budget.
    is_hedged: bool,
    /// The number of resends after stalled connections, which take nothing from the budget.
    stall_resends: u32,
    /// Whether its next attempt takes a token from the budget.
    needs_budget: bool,
    /// Whether an attempt that ended without a good answer may have run.
    may_have_run: bool,
    /// The reason of its last failure, for the reply if it is not retried.
    last_reason: Option<FailureReason>,
}

/// One attempt of a sub-request at a replica.
#[derive(Debug)]
struct Attempt {
    sub_request: SubRequestId,
    replica: EcoString,
    connection_generation: u64,
    started_us: u64,
    deadline_us: u64,
    fingerprint: u64,
    is_cancelling: bool,
}

impl Scheduler {
    /// Creates a scheduler without any replica status; it acts as a fallback until
    /// [`SchedulerEvent::BecomeHome`].
    pub fn new(configuration: SchedulerConfiguration) -> Self {
        let budget = HedgeRetryBudget::new(
            configuration.policy.budget_fraction,
            configuration.policy.budget_max_tokens,
        );
        let replicas = configuration
            .replicas
            .iter()
            .map(|spec| (spec.address.clone(), Replica::new(spec.clone())))
            .collect();
        let mut scheduler = Self {
            configuration,
            role: HomeRole::Fallback,
            local_node: EcoString::new(),
            last_hand_over_sequence: None,
            replicas,
            queue: VecDeque::new(),
            pending: IndexMap::new(),
            attempts: IndexMap::new(),
            budget,
            suspects: CrashSuspects::default(),
            latencies: IndexMap::new(),
            next_attempt_id: 0,
            next_probe_id: 0,
            effects: Vec::new(),
        };
        scheduler.update_exclusions(0);
        scheduler
    }

    /// Handles one event and returns the effects to perform, in order.
    pub fn step(&mut self, now_us: u64, event: SchedulerEvent) -> Vec<SchedulerEffect> {
        match event {
            SchedulerEvent::Submit(spec) => self.submit(now_us, spec),
            SchedulerEvent::Finished { attempt, report } => {
                self.handle_finished(now_us, attempt, &report);
            }
            SchedulerEvent::Cancelled { attempt } => {
                self.release_slot(attempt);
                self.report_to_new_home(now_us);
            }
            SchedulerEvent::Abandon { sub_request } => self.abandon(sub_request),
            SchedulerEvent::Status { replica, probe_id, report } => {
                self.handle_status(now_us, &replica, probe_id, &report);
            }
            SchedulerEvent::Reconfigure(configuration) => self.reconfigure(now_us, configuration),
            SchedulerEvent::BecomeHome { view_skew_us } => self.become_home(now_us, view_skew_us),
            SchedulerEvent::LoseHome { local_node } => self.lose_home(now_us, local_node),
            SchedulerEvent::HandOverReceived(hand_over) => self.apply_hand_over(now_us, &hand_over),
            SchedulerEvent::Quarantine { fingerprint, ttl_us } => {
                self.suspects.quarantine(fingerprint, now_us + ttl_us);
            }
            SchedulerEvent::Timer => self.suspects.expire(now_us),
        }
        self.reply_overdue(now_us);
        self.detect_stalls(now_us);
        self.dispatch_queued(now_us);
        self.start_due_hedges(now_us);
        std::mem::take(&mut self.effects)
    }

    /// Returns the latest time for the next [`SchedulerEvent::Timer`], or `None` if none is needed.
    pub fn next_timer_us(&self, now_us: u64) -> Option<u64> {
        let deadlines = self.pending.values().map(|state| state.spec.deadline_us);
        let hedges = self.pending.values().filter_map(|state| self.hedge_at_us(state));
        let stalls = self.attempts.values().filter_map(|attempt| self.stall_at_us(attempt));
        let free_slots =
            self.replicas.values().filter_map(|replica| replica.next_free_slot_us(now_us));
        let free_slots = free_slots.filter(|_| !self.queue.is_empty());
        deadlines
            .chain(hedges.filter(|at_us| *at_us > now_us))
            .chain(stalls.filter(|at_us| *at_us > now_us))
            .chain(free_slots)
            .min()
    }

    /// Whether the phase of every replica is known, so that the holdings can be published.
    pub fn has_all_statuses(&self) -> bool {
        self.replicas.values().all(|replica| replica.phase != Phase::Unknown)
    }

    /// Returns the snapshots and shards that the usable replicas can serve.
    pub fn holdings(&self, home: EcoString, made_at: Hlc) -> GroupHoldings {
        let mut snapshots: IndexMap<SnapshotId, SnapshotHolding> = IndexMap::new();
        for replica in self.replicas.values().filter(|replica| replica.is_usable()) {
            for held in replica.held_snapshots() {
                let holding = snapshots.entry(held.id).or_insert_with(|| SnapshotHolding {
                    id: held.id,
                    layout: held.layout.clone(),
                    servable: Vec::new(),
                });
                for shard in &held.shards {
                    if !holding.servable.contains(shard) {
                        holding.servable.push(shard.clone());
                    }
                }
            }
        }
        snapshots.sort_unstable_keys();
        let mut snapshots: Vec<SnapshotHolding> = snapshots.into_values().collect();
        for holding in &mut snapshots {
            holding.layout.sort();
            holding.servable.sort();
        }
        GroupHoldings { group: self.configuration.group.clone(), home, made_at, snapshots }
    }

    /// Returns the state of each replica for the node's status.
    pub fn replica_statuses(&self) -> Vec<ReplicaStatus> {
        let queued = self.queue.len() as u32;
        let status = |replica: &Replica| ReplicaStatus {
            group: self.configuration.group.clone(),
            address: replica.spec.address.clone(),
            phase: if replica.domain_out {
                "domain_out".into()
            } else if replica.vm_leaving {
                "vm_leaving".into()
            } else {
                replica.phase.as_str().into()
            },
            limit: replica.limit,
            in_flight: replica.in_flight,
            queued,
        };
        self.replicas.values().map(status).collect()
    }

    /// Whether no sub-request is pending and no attempt holds a slot.
    pub fn is_idle(&self) -> bool {
        self.pending.is_empty() && self.attempts.is_empty()
    }

    /// Applies a changed configuration and keeps the state of replicas that stay.
    fn reconfigure(&mut self, now_us: u64, configuration: SchedulerConfiguration) {
        let mut old_replicas = std::mem::take(&mut self.replicas);
        for spec in &configuration.replicas {
            let mut replica = old_replicas
                .swap_remove(&spec.address)
                .unwrap_or_else(|| Replica::new(spec.clone()));
            replica.spec = spec.clone();
            replica.limit = replica.limit.min(configuration.policy.slots);
            self.replicas.insert(spec.address.clone(), replica);
        }
        self.configuration = configuration;
        self.update_exclusions(now_us);
        self.effects.push(SchedulerEffect::PublishHoldings);
    }

    /// Marks the replicas whose failure domain is out of service or whose VM is leaving.
    ///
    /// A replica that is brought back starts cold: its caches are cold and its load went elsewhere.
    fn update_exclusions(&mut self, now_us: u64) {
        for replica in self.replicas.values_mut() {
            let was_excluded = replica.domain_out || replica.vm_leaving;
            let domain = &replica.spec.failure_domain;
            replica.domain_out = self.configuration.domains_out.contains(domain);
            replica.vm_leaving =
                self.configuration.leaving_upstreams.contains(&replica.spec.address);
            if was_excluded && !replica.domain_out && !replica.vm_leaving && replica.is_usable() {
                replica.reset_to_cold(now_us, "returned");
            }
        }
    }

    /// Drops a sub-request that nobody waits for and cancels its attempts.
    fn abandon(&mut self, sub_request: SubRequestId) {
        self.queue.retain(|queued| *queued != sub_request);
        if let Some(state) = self.pending.swap_remove(&sub_request) {
            self.cancel_all(&state.active_attempts);
        }
    }

    /// Requests a status over a new connection and returns the probe's id.
    fn send_probe(&mut self, address: &EcoString) -> u64 {
        self.next_probe_id += 1;
        let probe_id = self.next_probe_id;
        self.effects.push(SchedulerEffect::Probe { replica: address.clone(), probe_id });
        probe_id
    }

    /// Applies an observation to a replica and records the change on the timeline.
    fn update_replica(
        &mut self,
        address: &EcoString,
        observe: impl FnOnce(&mut Replica) -> ReplicaChange,
    ) {
        let Some(replica) = self.replicas.get_mut(address) else { return };
        let change = observe(replica);
        let kind = match change {
            ReplicaChange::None => return,
            ReplicaChange::Limit => {
                TimelineEventKind::ReplicaLimit { replica: address.clone(), limit: replica.limit }
            }
            ReplicaChange::Phase(sign) => {
                self.effects.push(SchedulerEffect::PublishHoldings);
                TimelineEventKind::ReplicaPhase {
                    replica: address.clone(),
                    phase: replica.phase.as_str().into(),
                    sign: sign.into(),
                }
            }
        };
        self.effects.push(SchedulerEffect::RecordEvent { sub_request: None, kind });
    }

    /// Removes an attempt, frees its slot and returns it.
    fn release_slot(&mut self, id: AttemptId) -> Option<Attempt> {
        let attempt = self.attempts.swap_remove(&id)?;
        if let Some(replica) = self.replicas.get_mut(&attempt.replica) {
            replica.in_flight = replica.in_flight.saturating_sub(1);
        }
        if let Some(state) = self.pending.get_mut(&attempt.sub_request) {
            state.active_attempts.retain(|active| *active != id);
        }
        Some(attempt)
    }

    /// Cancels attempts whose result is no longer needed; their slots stay taken until the
    /// cancellation is confirmed.
    fn cancel_all(&mut self, ids: &[AttemptId]) {
        for id in ids {
            let Some(attempt) = self.attempts.get_mut(id) else { continue };
            attempt.is_cancelling = true;
            self.effects.push(SchedulerEffect::Cancel { attempt: *id });
        }
    }

    /// Replies to a sub-request and cancels its remaining attempts.
    fn reply(
        &mut self,
        sub_request: SubRequestId,
        outcome: SubRequestOutcome,
        attempt: Option<AttemptId>,
    ) {
        let Some(state) = self.pending.swap_remove(&sub_request) else { return };
        self.cancel_all(&state.active_attempts);
        self.queue.retain(|queued| *queued != sub_request);
        self.effects.push(SchedulerEffect::Reply { sub_request, outcome, attempt });
    }

    /// Returns the outcome of a refused sub-request: `NotRun` if no attempt of it can have run,
    /// otherwise `Unknown`.
    fn refusal_outcome(
        &self,
        sub_request: SubRequestId,
        reason: FailureReason,
    ) -> SubRequestOutcome {
        let may_have_run = self
            .pending
            .get(&sub_request)
            .is_none_or(|state| state.may_have_run || !state.active_attempts.is_empty());
        if may_have_run {
            return SubRequestOutcome::Unknown { reason };
        }
        let policy = &self.configuration.policy;
        let retry_after_us = match reason {
            FailureReason::Quarantined => policy.quarantine_ttl_us,
            _ => policy.overload_retry_after_us,
        };
        SubRequestOutcome::NotRun { reason, retry_after_ms: retry_after_us / crate::US_PER_MS }
    }
}

impl PendingSubRequest {
    fn new(spec: SubRequestSpec) -> Self {
        Self {
            spec,
            attempt_count: 0,
            active_attempts: Vec::new(),
            failed_replicas: Vec::new(),
            is_hedged: false,
            stall_resends: 0,
            needs_budget: false,
            may_have_run: false,
            last_reason: None,
        }
    }
}
