//! The lane of a replica group at its home: queue, slots, hedges, retries and protection.

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
    EventKind, GroupHoldings, Hlc, Reason, ReplicaStatus, SnapshotHolding, SnapshotId, SubOutcome,
};

pub use self::budget::HedgeRetryBudget;
pub use self::latency::LatencyWindow;
pub use self::message::*;

use self::crash_suspects::CrashSuspects;
use self::replica::{Phase, Replica, ReplicaChange};

/// All that a home decides for one replica group.
///
/// Every [`LaneEffect::Send`] is answered by exactly one [`LaneEvent::Finished`] or
/// [`LaneEvent::Cancelled`], which frees the slot; so `in_flight` is what upstreams really hold.
#[derive(Debug)]
pub struct Scheduler {
    configuration: SchedulerConfiguration,
    role: HomeRole,
    /// This node's name, once it was home.
    local_node: EcoString,
    /// The latest hand-over taken since this node became home.
    last_hand_over_sequence: Option<u64>,
    replicas: IndexMap<EcoString, Replica>,
    /// Sub-requests that wait for a slot, in the order to serve them; all are in `subs`.
    queue: VecDeque<SubRequestId>,
    pending: IndexMap<SubRequestId, PendingSubRequest>,
    /// Sends that hold a slot.
    attempts: IndexMap<AttemptId, Attempt>,
    budget: HedgeRetryBudget,
    suspects: CrashSuspects,
    latencies: IndexMap<EcoString, LatencyWindow>,
    next_attempt_id: u64,
    next_probe_id: u64,
    effects: Vec<SchedulerEffect>,
}

/// What the lane's node is to the group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum HomeRole {
    /// The home; limits may grow from `full_from_us` on.
    Home { limits_grow_from_us: u64 },
    /// Asked only because the home could not be reached: every limit stays at 1.
    Fallback,
    /// The home until lately; tells the new one as its last sends end. Else like a fallback.
    FormerHome { sequence: u64 },
}

/// A sub-request that is not answered yet.
#[derive(Debug)]
struct PendingSubRequest {
    spec: SubRequestSpec,
    /// How often it was sent.
    attempt_count: u32,
    /// Sends that have not ended, those being cancelled excluded.
    active_attempts: Vec<AttemptId>,
    /// Replicas that failed it.
    failed_replicas: Vec<EcoString>,
    /// Whether its one hedge was used.
    is_hedged: bool,
    /// Sends after silent connections, which are free of the budget.
    stall_resends: u32,
    /// Whether its next send must be paid from the budget.
    needs_budget: bool,
    /// Whether a send that did not answer may have run.
    may_have_run: bool,
    /// The reason of its last failure, for the answer if no other way is left.
    last_reason: Option<Reason>,
}

/// One send to a replica.
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
    /// A lane that has heard nothing yet; it is only asked as a fallback until told otherwise.
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
        let mut lane = Self {
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
        lane.update_exclusions(0);
        lane
    }

    /// Takes one event in and returns what to do, in order.
    pub fn step(&mut self, now_us: u64, event: SchedulerEvent) -> Vec<SchedulerEffect> {
        match event {
            SchedulerEvent::Submit(sub) => self.submit(now_us, sub),
            SchedulerEvent::Finished { attempt, report } => {
                self.handle_finished(now_us, attempt, &report);
            }
            SchedulerEvent::Cancelled { attempt } => {
                self.release_slot(attempt);
                self.report_to_new_home(now_us);
            }
            SchedulerEvent::Abandon { sub_request: sub } => self.abandon(sub),
            SchedulerEvent::Status { replica, probe_id: probe, report } => {
                self.handle_status(now_us, &replica, probe, &report);
            }
            SchedulerEvent::Reconfigure(configuration) => self.reconfigure(now_us, configuration),
            SchedulerEvent::BecomeHome { view_skew_us } => self.become_home(now_us, view_skew_us),
            SchedulerEvent::LoseHome { local_node: me } => self.lose_home(now_us, me),
            SchedulerEvent::HandOverReceived(given) => self.apply_hand_over(now_us, &given),
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

    /// When the lane wants its next [`LaneEvent::Timer`] at the latest.
    pub fn next_timer_us(&self, now_us: u64) -> Option<u64> {
        let deadlines = self.pending.values().map(|state| state.spec.deadline_us);
        let hedges = self.pending.values().filter_map(|state| self.hedge_at_us(state));
        let silences = self.attempts.values().filter_map(|attempt| self.stall_at_us(attempt));
        let rooms = self.replicas.values().filter_map(|replica| replica.next_free_slot_us(now_us));
        let rooms = rooms.filter(|_| !self.queue.is_empty());
        deadlines
            .chain(hedges.filter(|at_us| *at_us > now_us))
            .chain(silences.filter(|at_us| *at_us > now_us))
            .chain(rooms)
            .min()
    }

    /// Whether each replica was heard of, so that the holdings are worth publishing.
    pub fn has_all_statuses(&self) -> bool {
        self.replicas.values().all(|replica| replica.phase != Phase::Unknown)
    }

    /// What the group can serve now, made by its home at a time.
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

    /// Each replica, for the node's status.
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

    /// Whether nothing is queued or in flight.
    pub fn is_idle(&self) -> bool {
        self.pending.is_empty() && self.attempts.is_empty()
    }

    /// Takes a changed configuration over, keeping what is known of replicas that stay.
    fn reconfigure(&mut self, now_us: u64, configuration: SchedulerConfiguration) {
        let mut old = std::mem::take(&mut self.replicas);
        for spec in &configuration.replicas {
            let mut replica =
                old.swap_remove(&spec.address).unwrap_or_else(|| Replica::new(spec.clone()));
            replica.spec = spec.clone();
            replica.limit = replica.limit.min(configuration.policy.slots);
            self.replicas.insert(spec.address.clone(), replica);
        }
        self.configuration = configuration;
        self.update_exclusions(now_us);
        self.effects.push(SchedulerEffect::PublishHoldings);
    }

    /// Marks the replicas that the operators or the platform take out.
    ///
    /// A replica that comes back starts cold: its caches are, and its load went elsewhere.
    fn update_exclusions(&mut self, now_us: u64) {
        for replica in self.replicas.values_mut() {
            let was_away = replica.domain_out || replica.vm_leaving;
            let domain = &replica.spec.failure_domain;
            replica.domain_out = self.configuration.domains_out.contains(domain);
            replica.vm_leaving =
                self.configuration.leaving_upstreams.contains(&replica.spec.address);
            if was_away && !replica.domain_out && !replica.vm_leaving && replica.is_usable() {
                replica.reset_to_cold(now_us, "returned");
            }
        }
    }

    /// Forgets a sub-request whose caller went away.
    fn abandon(&mut self, key: SubRequestId) {
        self.queue.retain(|queued| *queued != key);
        if let Some(state) = self.pending.swap_remove(&key) {
            self.cancel_all(&state.active_attempts);
        }
    }

    /// Asks for a status over a new connection and returns the probe's number.
    fn send_probe(&mut self, address: &EcoString) -> u64 {
        self.next_probe_id += 1;
        let number = self.next_probe_id;
        self.effects.push(SchedulerEffect::Probe { replica: address.clone(), probe_id: number });
        number
    }

    /// Applies an observation to a replica and puts what it changed on the time line.
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
                EventKind::ReplicaLimit { replica: address.clone(), limit: replica.limit }
            }
            ReplicaChange::Phase(sign) => {
                self.effects.push(SchedulerEffect::PublishHoldings);
                EventKind::ReplicaPhase {
                    replica: address.clone(),
                    phase: replica.phase.as_str().into(),
                    sign: sign.into(),
                }
            }
        };
        self.effects.push(SchedulerEffect::RecordEvent { sub_request: None, kind });
    }

    /// Frees the slot of a send and returns it.
    fn release_slot(&mut self, id: AttemptId) -> Option<Attempt> {
        let attempt = self.attempts.swap_remove(&id)?;
        if let Some(replica) = self.replicas.get_mut(&attempt.replica) {
            replica.in_flight = replica.in_flight.saturating_sub(1);
        }
        if let Some(state) = self.pending.get_mut(&attempt.sub_request) {
            state.active_attempts.retain(|live| *live != id);
        }
        Some(attempt)
    }

    /// Cancels sends whose result nobody wants; their slots are free once that is confirmed.
    fn cancel_all(&mut self, ids: &[AttemptId]) {
        for id in ids {
            let Some(attempt) = self.attempts.get_mut(id) else { continue };
            attempt.is_cancelling = true;
            self.effects.push(SchedulerEffect::Cancel { attempt: *id });
        }
    }

    /// Answers a sub-request and cancels what still runs for it.
    fn reply(&mut self, key: SubRequestId, outcome: SubOutcome, attempt: Option<AttemptId>) {
        let Some(state) = self.pending.swap_remove(&key) else { return };
        self.cancel_all(&state.active_attempts);
        self.queue.retain(|queued| *queued != key);
        self.effects.push(SchedulerEffect::Reply { sub_request: key, outcome, attempt });
    }

    /// How to refuse a sub-request: truly not run only if no send of it may have run.
    fn refusal_outcome(&self, key: SubRequestId, reason: Reason) -> SubOutcome {
        let may_have_run = self
            .pending
            .get(&key)
            .is_none_or(|state| state.may_have_run || !state.active_attempts.is_empty());
        if may_have_run {
            return SubOutcome::Unknown { reason };
        }
        let policy = &self.configuration.policy;
        let retry_after_us = match reason {
            Reason::Quarantined => policy.quarantine_ttl_us,
            _ => policy.overload_retry_after_us,
        };
        SubOutcome::NotRun { reason, retry_after_ms: retry_after_us / crate::US_PER_MS }
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
