//! The lane of a replica group at its home: queue, slots, hedges, retries and protection.

mod budget;
mod dispatch;
mod faults;
mod home;
mod latency;
mod message;
mod replica;
mod results;
mod silence;
mod suspects;

use std::collections::VecDeque;

use ecow::EcoString;
use indexmap::IndexMap;
use sassafrasproxy_wire::{
    EventKind, GroupHoldings, Hlc, Reason, ReplicaStatus, SnapshotHolding, SnapshotId, SubOutcome,
};

pub use self::budget::ExtraBudget;
pub use self::latency::LatencyWindow;
pub use self::message::*;

use self::replica::{Change, Phase, Replica};
use self::suspects::Suspects;

/// All that a home decides for one replica group.
///
/// Every [`LaneEffect::Send`] is answered by exactly one [`LaneEvent::Finished`] or
/// [`LaneEvent::Cancelled`], which frees the slot; so `in_flight` is what upstreams really hold.
#[derive(Debug)]
pub struct Lane {
    configuration: LaneConfiguration,
    role: Role,
    /// This node's name, once it was home.
    me: EcoString,
    /// The latest hand-over taken since this node became home.
    heard_sequence: Option<u64>,
    replicas: IndexMap<EcoString, Replica>,
    /// Sub-requests that wait for a slot, in the order to serve them; all are in `subs`.
    queue: VecDeque<SubKey>,
    subs: IndexMap<SubKey, SubState>,
    /// Sends that hold a slot.
    attempts: IndexMap<AttemptId, Attempt>,
    budget: ExtraBudget,
    suspects: Suspects,
    latencies: IndexMap<EcoString, LatencyWindow>,
    next_attempt: u64,
    next_probe: u64,
    effects: Vec<LaneEffect>,
}

/// What the lane's node is to the group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Role {
    /// The home; limits may grow from `full_from_us` on.
    Home { full_from_us: u64 },
    /// Asked only because the home could not be reached: every limit stays at 1.
    Fallback,
    /// The home until lately; tells the new one as its last sends end. Else like a fallback.
    Retired { sequence: u64 },
}

/// A sub-request that is not answered yet.
#[derive(Debug)]
struct SubState {
    sub: Sub,
    /// How often it was sent.
    sends: u32,
    /// Sends that have not ended, those being cancelled excluded.
    live: Vec<AttemptId>,
    /// Replicas that failed it.
    failed: Vec<EcoString>,
    /// Whether its one hedge was used.
    is_hedged: bool,
    /// Sends after silent connections, which are free of the budget.
    silences: u32,
    /// Whether its next send must be paid from the budget.
    owes: bool,
    /// Whether a send that did not answer may have run.
    may_have_run: bool,
    /// The reason of its last failure, for the answer if no other way is left.
    last_reason: Option<Reason>,
}

/// One send to a replica.
#[derive(Debug)]
struct Attempt {
    sub: SubKey,
    replica: EcoString,
    generation: u64,
    started_us: u64,
    deadline_us: u64,
    fingerprint: u64,
    is_cancelling: bool,
}

impl Lane {
    /// A lane that has heard nothing yet; it is only asked as a fallback until told otherwise.
    pub fn new(configuration: LaneConfiguration) -> Self {
        let budget =
            ExtraBudget::new(configuration.policy.extra_fraction, configuration.policy.extra_cap);
        let replicas = configuration
            .replicas
            .iter()
            .map(|spec| (spec.address.clone(), Replica::new(spec.clone())))
            .collect();
        let mut lane = Self {
            configuration,
            role: Role::Fallback,
            me: EcoString::new(),
            heard_sequence: None,
            replicas,
            queue: VecDeque::new(),
            subs: IndexMap::new(),
            attempts: IndexMap::new(),
            budget,
            suspects: Suspects::default(),
            latencies: IndexMap::new(),
            next_attempt: 0,
            next_probe: 0,
            effects: Vec::new(),
        };
        lane.mark_replicas(0);
        lane
    }

    /// Takes one event in and returns what to do, in order.
    pub fn step(&mut self, now_us: u64, event: LaneEvent) -> Vec<LaneEffect> {
        match event {
            LaneEvent::Submit(sub) => self.submit(now_us, sub),
            LaneEvent::Finished { attempt, report } => self.finish(now_us, attempt, &report),
            LaneEvent::Cancelled { attempt } => {
                self.release(attempt);
                self.tell_new_home(now_us);
            }
            LaneEvent::GiveUp { sub } => self.give_up(sub),
            LaneEvent::Status { replica, probe, report } => {
                self.note_status(now_us, &replica, probe, &report);
            }
            LaneEvent::Reconfigure(configuration) => self.reconfigure(now_us, configuration),
            LaneEvent::BecomeHome { view_skew_us } => self.become_home(now_us, view_skew_us),
            LaneEvent::LoseHome { me } => self.lose_home(now_us, me),
            LaneEvent::HandedOver(given) => self.adopt(now_us, &given),
            LaneEvent::Quarantine { fingerprint, ttl_us } => {
                self.suspects.quarantine(fingerprint, now_us + ttl_us);
            }
            LaneEvent::Timer => self.suspects.expire(now_us),
        }
        self.end_overdue(now_us);
        self.notice_silence(now_us);
        self.pump(now_us);
        self.hedge(now_us);
        std::mem::take(&mut self.effects)
    }

    /// When the lane wants its next [`LaneEvent::Timer`] at the latest.
    pub fn wake_us(&self, now_us: u64) -> Option<u64> {
        let deadlines = self.subs.values().map(|state| state.sub.deadline_us);
        let hedges = self.subs.values().filter_map(|state| self.hedge_at_us(state));
        let silences = self.attempts.values().filter_map(|attempt| self.silent_at_us(attempt));
        let rooms = self.replicas.values().filter_map(|replica| replica.wake_us(now_us));
        let rooms = rooms.filter(|_| !self.queue.is_empty());
        deadlines
            .chain(hedges.filter(|at_us| *at_us > now_us))
            .chain(silences.filter(|at_us| *at_us > now_us))
            .chain(rooms)
            .min()
    }

    /// Whether each replica was heard of, so that the holdings are worth publishing.
    pub fn has_heard_all(&self) -> bool {
        self.replicas.values().all(|replica| replica.phase != Phase::Unknown)
    }

    /// What the group can serve now, made by its home at a time.
    pub fn holdings(&self, home: EcoString, made_at: Hlc) -> GroupHoldings {
        let mut snapshots: IndexMap<SnapshotId, SnapshotHolding> = IndexMap::new();
        for replica in self.replicas.values().filter(|replica| replica.is_usable()) {
            for held in replica.held() {
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
    pub fn status(&self) -> Vec<ReplicaStatus> {
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
        self.subs.is_empty() && self.attempts.is_empty()
    }

    /// Takes a changed configuration over, keeping what is known of replicas that stay.
    fn reconfigure(&mut self, now_us: u64, configuration: LaneConfiguration) {
        let mut old = std::mem::take(&mut self.replicas);
        for spec in &configuration.replicas {
            let mut replica =
                old.swap_remove(&spec.address).unwrap_or_else(|| Replica::new(spec.clone()));
            replica.spec = spec.clone();
            replica.limit = replica.limit.min(configuration.policy.slots);
            self.replicas.insert(spec.address.clone(), replica);
        }
        self.configuration = configuration;
        self.mark_replicas(now_us);
        self.effects.push(LaneEffect::Publish);
    }

    /// Marks the replicas that the operators or the platform take out.
    ///
    /// A replica that comes back starts cold: its caches are, and its load went elsewhere.
    fn mark_replicas(&mut self, now_us: u64) {
        for replica in self.replicas.values_mut() {
            let was_away = replica.domain_out || replica.vm_leaving;
            let domain = &replica.spec.failure_domain;
            replica.domain_out = self.configuration.domains_out.contains(domain);
            replica.vm_leaving = self.configuration.leaving.contains(&replica.spec.address);
            if was_away && !replica.domain_out && !replica.vm_leaving && replica.is_usable() {
                replica.turn_cold(now_us, "returned");
            }
        }
    }

    /// Forgets a sub-request whose caller went away.
    fn give_up(&mut self, key: SubKey) {
        self.queue.retain(|queued| *queued != key);
        if let Some(state) = self.subs.swap_remove(&key) {
            self.cancel_all(&state.live);
        }
    }

    /// Asks for a status over a new connection and returns the probe's number.
    fn probe(&mut self, address: &EcoString) -> u64 {
        self.next_probe += 1;
        let number = self.next_probe;
        self.effects.push(LaneEffect::Probe { replica: address.clone(), number });
        number
    }

    /// Applies an observation to a replica and puts what it changed on the time line.
    fn observe(&mut self, address: &EcoString, observe: impl FnOnce(&mut Replica) -> Change) {
        let Some(replica) = self.replicas.get_mut(address) else { return };
        let change = observe(replica);
        let kind = match change {
            Change::None => return,
            Change::Limit => {
                EventKind::ReplicaLimit { replica: address.clone(), limit: replica.limit }
            }
            Change::Phase(sign) => {
                self.effects.push(LaneEffect::Publish);
                EventKind::ReplicaPhase {
                    replica: address.clone(),
                    phase: replica.phase.as_str().into(),
                    sign: sign.into(),
                }
            }
        };
        self.effects.push(LaneEffect::Note { sub: None, kind });
    }

    /// Frees the slot of a send and returns it.
    fn release(&mut self, id: AttemptId) -> Option<Attempt> {
        let attempt = self.attempts.swap_remove(&id)?;
        if let Some(replica) = self.replicas.get_mut(&attempt.replica) {
            replica.in_flight = replica.in_flight.saturating_sub(1);
        }
        if let Some(state) = self.subs.get_mut(&attempt.sub) {
            state.live.retain(|live| *live != id);
        }
        Some(attempt)
    }

    /// Cancels sends whose result nobody wants; their slots are free once that is confirmed.
    fn cancel_all(&mut self, ids: &[AttemptId]) {
        for id in ids {
            let Some(attempt) = self.attempts.get_mut(id) else { continue };
            attempt.is_cancelling = true;
            self.effects.push(LaneEffect::Cancel { attempt: *id });
        }
    }

    /// Answers a sub-request and cancels what still runs for it.
    fn end(&mut self, key: SubKey, outcome: SubOutcome, attempt: Option<AttemptId>) {
        let Some(state) = self.subs.swap_remove(&key) else { return };
        self.cancel_all(&state.live);
        self.queue.retain(|queued| *queued != key);
        self.effects.push(LaneEffect::Reply { sub: key, outcome, attempt });
    }

    /// How to refuse a sub-request: truly not run only if no send of it may have run.
    fn refusal(&self, key: SubKey, reason: Reason) -> SubOutcome {
        let may_have_run =
            self.subs.get(&key).is_none_or(|state| state.may_have_run || !state.live.is_empty());
        if may_have_run {
            return SubOutcome::Unknown { reason };
        }
        let policy = &self.configuration.policy;
        let retry_after_us = match reason {
            Reason::Quarantined => policy.quarantine_us,
            _ => policy.overload_retry_us,
        };
        SubOutcome::NotRun { reason, retry_after_ms: retry_after_us / crate::US_PER_MS }
    }
}

impl SubState {
    fn new(sub: Sub) -> Self {
        Self {
            sub,
            sends: 0,
            live: Vec::new(),
            failed: Vec::new(),
            is_hedged: false,
            silences: 0,
            owes: false,
            may_have_run: false,
            last_reason: None,
        }
    }
}
