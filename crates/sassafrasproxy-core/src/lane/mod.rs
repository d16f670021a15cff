//! The lane of a replica group at its home: queue, slots, hedges, retries and protection.

mod budget;
mod latency;
mod message;
mod replica;
mod suspects;

use std::collections::VecDeque;

use ecow::EcoString;
use indexmap::{IndexMap, IndexSet};
use sassafrasproxy_wire::{
    EventKind, GroupHoldings, HandOver, Hlc, Reason, ReplicaStatus, ShardId, SnapshotHolding,
    SnapshotId, SubOutcome,
};

pub use self::budget::ExtraBudget;
pub use self::latency::LatencyWindow;
pub use self::message::*;

use self::replica::{Change, Phase, Replica};
use self::suspects::{Suspects, Verdict};

/// How often a sub-request may be shed or turned away before the home gives up on it.
const MAX_SENDS: u32 = 4;

/// How often a sub-request is sent again because its connection was silent.
const MAX_SILENCES: u32 = 2;

/// The part of the time left after which a replica that never answered counts as silent: one part
/// in this many.
const UNKNOWN_SILENCE_PART: u64 = 3;

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

/// What to do with a sub-request that wants a slot.
#[derive(Debug, PartialEq, Eq)]
enum Choice {
    Send(EcoString),
    Wait,
    Refuse(Reason),
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

    /// Queues a sub-request, or refuses at once what cannot end in time.
    fn submit(&mut self, now_us: u64, sub: Sub) {
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

    /// Ends one send.
    fn finish(&mut self, now_us: u64, id: AttemptId, report: &AttemptReport) {
        let Some(attempt) = self.release(id) else { return };
        self.tell_new_home(now_us);
        self.note_headers(now_us, &attempt, report);
        match report.result {
            AttemptResult::Answered => self.answered(now_us, id, &attempt),
            AttemptResult::Shed { retry_after_us } => self.shed(now_us, &attempt, retry_after_us),
            AttemptResult::NotHeld => self.not_held(now_us, &attempt),
            AttemptResult::NotSent => self.try_again(&attempt, Reason::DeadlineExceeded, false),
            AttemptResult::ConnectFailed => {
                self.observe(&attempt.replica, Replica::note_unreachable);
                self.try_again(&attempt, Reason::ConnectFailed, false);
            }
            AttemptResult::ConnectionLost => self.connection_lost(&attempt),
            AttemptResult::TimedOut => self.failed(&attempt, Reason::DeadlineExceeded),
            AttemptResult::Mismatched => {
                self.condemn(&attempt.replica);
                self.failed(&attempt, Reason::Mismatched);
            }
            AttemptResult::Malformed => {
                self.condemn(&attempt.replica);
                self.failed(&attempt, Reason::Malformed);
            }
            AttemptResult::Failed => self.failed(&attempt, Reason::UpstreamFailed),
        }
    }

    /// Takes in what the answer's headers say, whatever the result is.
    fn note_headers(&mut self, now_us: u64, attempt: &Attempt, report: &AttemptReport) {
        if let Some(boot_id) = &report.boot_id {
            self.observe(&attempt.replica, |replica| replica.note_boot(boot_id, now_us));
        }
        if report.is_draining {
            self.observe(&attempt.replica, |replica| replica.note_draining("answer"));
        }
    }

    /// Passes the first good answer on and cancels the other sends.
    fn answered(&mut self, now_us: u64, id: AttemptId, attempt: &Attempt) {
        let latency_us = now_us.saturating_sub(attempt.started_us);
        let may_grow = self.may_grow(now_us);
        let policy = self.configuration.policy;
        let warm_us = self.replicas.values().filter_map(Replica::norm_us).min();
        self.observe(&attempt.replica, |replica| {
            replica.note_answer(now_us, latency_us, &policy, warm_us, may_grow)
        });
        self.suspects.clear(attempt.fingerprint);
        let Some(state) = self.subs.get(&attempt.sub) else { return };
        let shard = state.sub.shard.clone();
        self.latencies.entry(shard).or_default().record(latency_us);
        self.end(attempt.sub, SubOutcome::Answered, Some(id));
    }

    /// Backs off from a replica that shed; the sub-request did not run there.
    fn shed(&mut self, now_us: u64, attempt: &Attempt, retry_after_us: u64) {
        let policy = self.configuration.policy;
        self.observe(&attempt.replica, |replica| {
            replica.note_shed(now_us, retry_after_us, &policy)
        });
        self.try_again(attempt, Reason::Shed, false);
    }

    /// Stops asking a replica for what it does not hold; the sub-request did not run there.
    fn not_held(&mut self, now_us: u64, attempt: &Attempt) {
        let until_us = now_us + self.configuration.policy.denied_us;
        if let (Some(replica), Some(state)) =
            (self.replicas.get_mut(&attempt.replica), self.subs.get(&attempt.sub))
        {
            replica.last_answer_us = now_us;
            replica.note_denied(state.sub.snapshot, &state.sub.shard, until_us);
        }
        self.probe(&attempt.replica);
        self.effects.push(LaneEffect::Publish);
        self.try_again(attempt, Reason::NotHeld, false);
    }

    /// Holds a sub-request back until a probe tells whether the upstream died under it.
    ///
    /// Guards against counting a cut connection as a crash: only a refused new connection or a
    /// new boot id, seen by a probe sent after the loss, confirms a death.
    fn connection_lost(&mut self, attempt: &Attempt) {
        let number = self.probe(&attempt.replica);
        if let Some(replica) = self.replicas.get_mut(&attempt.replica) {
            replica.await_probe(number, attempt.fingerprint);
        }
        self.failed(attempt, Reason::ConnectionLost);
    }

    /// Ends a send that may have run.
    fn failed(&mut self, attempt: &Attempt, reason: Reason) {
        self.try_again(attempt, reason, true);
    }

    /// Queues a sub-request again, or ends it when it may not be sent again.
    fn try_again(&mut self, attempt: &Attempt, reason: Reason, may_have_run: bool) {
        let Some(state) = self.subs.get_mut(&attempt.sub) else { return };
        state.failed.push(attempt.replica.clone());
        state.last_reason = Some(reason);
        state.may_have_run |= may_have_run;
        if !state.live.is_empty() || self.queue.contains(&attempt.sub) {
            return;
        }
        if may_have_run && !state.sub.is_idempotent {
            return self.end(attempt.sub, SubOutcome::Unknown { reason }, None);
        }
        if state.sends >= MAX_SENDS {
            let outcome = self.refusal(attempt.sub, reason);
            return self.end(attempt.sub, outcome, None);
        }
        state.owes = may_have_run;
        self.queue.push_front(attempt.sub);
        self.note_retry(attempt.sub, reason);
    }

    /// Puts a retry on the time line.
    fn note_retry(&mut self, key: SubKey, reason: Reason) {
        let Some(state) = self.subs.get(&key) else { return };
        let shard = ShardId::new(self.configuration.service.clone(), state.sub.shard.clone());
        let kind = EventKind::Retried { shard, reason };
        self.effects.push(LaneEffect::Note { sub: Some(key), kind });
    }

    /// Takes a status or its failure in, and settles what waited for that probe.
    fn note_status(
        &mut self,
        now_us: u64,
        address: &EcoString,
        probe: Option<u64>,
        report: &StatusReport,
    ) {
        let Some(replica) = self.replicas.get_mut(address) else { return };
        let before = replica.held().to_vec();
        let mut lost_under = IndexSet::new();
        if probe.is_some() && probe == replica.awaited_probe {
            replica.awaited_probe = None;
            let is_death = replica.is_death(report);
            lost_under = std::mem::take(&mut replica.lost_under);
            lost_under.retain(|_| is_death);
        }
        match report {
            StatusReport::Read(status) => {
                self.observe(address, |replica| replica.note_status(status, now_us));
            }
            StatusReport::Unreachable => {
                self.observe(address, Replica::note_unreachable);
            }
            StatusReport::Unreadable if replica.phase == Phase::Unknown => {
                self.observe(address, Replica::note_unreachable);
            }
            // A status page that fails while answers come in says nothing of the replica.
            StatusReport::Unreadable => {}
        }
        if self.replicas.get(address).is_some_and(|replica| replica.held() != before) {
            self.effects.push(LaneEffect::Publish);
        }
        for fingerprint in lost_under {
            self.confirm_death(now_us, fingerprint);
        }
    }

    /// Counts an upstream's death under a request, once a probe has confirmed it.
    fn confirm_death(&mut self, now_us: u64, fingerprint: u64) {
        let ttl_us = self.configuration.policy.quarantine_us;
        let text = ecow::eco_format!("{fingerprint:016x}");
        let kind = match self.suspects.count_death(fingerprint, now_us, ttl_us) {
            Verdict::Suspected => EventKind::RequestSuspected { fingerprint: text },
            Verdict::Quarantined => {
                self.effects.push(LaneEffect::Quarantined { fingerprint, ttl_us });
                EventKind::RequestQuarantined { fingerprint: text }
            }
        };
        self.effects.push(LaneEffect::Note { sub: None, kind });
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

    /// Takes the group over; without a hand-over every limit stays at 1 for a while.
    ///
    /// Guards against two nodes that each believe to be home: until views can no longer differ,
    /// this one adds at most one sub-request to what the other has in flight at a replica.
    fn become_home(&mut self, now_us: u64, view_skew_us: u64) {
        if matches!(self.role, Role::Home { .. }) {
            return;
        }
        self.role = Role::Home { full_from_us: now_us + view_skew_us };
        self.heard_sequence = None;
        for replica in self.replicas.values_mut() {
            if replica.phase == Phase::Serving {
                replica.turn_cold(now_us, "new_home");
            }
        }
        self.effects.push(LaneEffect::Publish);
    }

    /// Lets the group go: what waits is sent back to its entry, what runs may end.
    fn lose_home(&mut self, now_us: u64, me: EcoString) {
        if !matches!(self.role, Role::Home { .. }) {
            return;
        }
        self.role = Role::Retired { sequence: 0 };
        self.me = me;
        for key in std::mem::take(&mut self.queue) {
            let may_have_run = self.subs.get(&key).is_some_and(|state| state.may_have_run);
            self.end(key, SubOutcome::NotHome { may_have_run }, None);
        }
        self.hand_over(now_us, 0);
        for replica in self.replicas.values_mut() {
            replica.limit = 1;
        }
    }

    /// Tells the new home what it needs to know, or how many sends still run here.
    fn hand_over(&mut self, now_us: u64, sequence: u64) {
        let replicas =
            self.replicas.values().map(|replica| self.replica_hand_over(replica, now_us));
        let given = HandOver {
            group: self.configuration.group.clone(),
            from: self.me.clone(),
            sequence,
            replicas: replicas.collect(),
        };
        self.effects.push(LaneEffect::HandOver(given));
    }

    /// Frees the new home's slots as the last sends of the old one end.
    ///
    /// Guards against slots that stay kept until the old sends' deadlines: where few replicas
    /// are left, as with a failure domain out, queries would wait for them in vain.
    fn tell_new_home(&mut self, now_us: u64) {
        if let Role::Retired { sequence } = &mut self.role {
            *sequence += 1;
            let sequence = *sequence;
            self.hand_over(now_us, sequence);
        }
    }

    /// One replica's part of a hand-over.
    fn replica_hand_over(
        &self,
        replica: &Replica,
        now_us: u64,
    ) -> sassafrasproxy_wire::ReplicaHandOver {
        let running =
            self.attempts.values().filter(|attempt| attempt.replica == replica.spec.address);
        let busy_until_us = running.map(|attempt| attempt.deadline_us).max().unwrap_or(0);
        replica.hand_over(busy_until_us, now_us)
    }

    /// Takes over what the old home had learned, which ends the narrow start.
    fn adopt(&mut self, now_us: u64, given: &HandOver) {
        let Role::Home { full_from_us } = &mut self.role else { return };
        let is_first = given.sequence == 0;
        let is_latest = self.heard_sequence.is_none_or(|heard| given.sequence > heard);
        for one in &given.replicas {
            let Some(replica) = self.replicas.get_mut(&one.address) else { continue };
            if is_first {
                replica.adopt(one, self.configuration.policy.slots, now_us);
            }
            if is_latest {
                replica.lend(one, now_us);
            }
        }
        if is_latest {
            self.heard_sequence = Some(given.sequence);
        }
        if !is_first {
            return;
        }
        *full_from_us = now_us;
        let kind = EventKind::HandOverTaken {
            group: self.configuration.group.clone(),
            from: given.from.clone(),
        };
        self.effects.push(LaneEffect::Note { sub: None, kind });
    }

    /// Forgets a sub-request whose caller went away.
    fn give_up(&mut self, key: SubKey) {
        self.queue.retain(|queued| *queued != key);
        if let Some(state) = self.subs.swap_remove(&key) {
            self.cancel_all(&state.live);
        }
    }

    /// Ends the sub-requests whose time is over.
    fn end_overdue(&mut self, now_us: u64) {
        let is_overdue = |state: &&SubState| state.sub.deadline_us <= now_us;
        let overdue: Vec<SubKey> =
            self.subs.values().filter(is_overdue).map(|state| state.sub.key).collect();
        for key in overdue {
            let outcome = self.overdue_outcome(key);
            self.queue.retain(|queued| *queued != key);
            self.end(key, outcome, None);
        }
    }

    /// What to say of a sub-request whose time is over.
    fn overdue_outcome(&self, key: SubKey) -> SubOutcome {
        let state = self.subs.get(&key);
        let was_sent = state.is_some_and(|state| state.sends > 0);
        let unsent_reason = if was_sent { Reason::DeadlineExceeded } else { Reason::Overloaded };
        let reason = state.and_then(|state| state.last_reason).unwrap_or(unsent_reason);
        self.refusal(key, reason)
    }

    /// Gives connections up on which nothing comes back, and sends again on new ones.
    ///
    /// Guards against connections that something in between has lost track of: requests go out
    /// and nothing returns, for good, while new connections work. A replica that answered
    /// something else since the send keeps its connections: it may only be slow.
    fn notice_silence(&mut self, now_us: u64) {
        let is_silent =
            |attempt: &Attempt| self.silent_at_us(attempt).is_some_and(|at_us| at_us <= now_us);
        let silent: Vec<AttemptId> =
            self.attempts.iter().filter(|(_, one)| is_silent(one)).map(|(id, _)| *id).collect();
        for id in silent {
            let Some(attempt) = self.attempts.get(&id) else { continue };
            let (sub, started_us) = (attempt.sub, attempt.started_us);
            let (address, generation) = (attempt.replica.clone(), attempt.generation);
            let is_quiet = self.replicas.get(&address).is_some_and(|one| {
                one.generation == generation && one.last_answer_us <= started_us
            });
            if is_quiet {
                // Most of the time since the send, so that a late answer elsewhere clears nobody.
                self.condemn_quiet(started_us.midpoint(now_us));
            }
            self.resend_silent(sub, id);
        }
    }

    /// Sends a sub-request again whose connection was silent; free of the budget, but bounded.
    fn resend_silent(&mut self, key: SubKey, id: AttemptId) {
        let Some(state) = self.subs.get_mut(&key) else { return };
        if state.silences >= MAX_SILENCES || !state.sub.is_idempotent {
            return;
        }
        state.may_have_run = true;
        state.last_reason = Some(Reason::ConnectionLost);
        state.live.retain(|live| *live != id);
        // A hedge that is open may still answer, or turn out to be silent as well.
        let is_idle = state.live.is_empty();
        state.silences += u32::from(is_idle);
        self.cancel_all(&[id]);
        if is_idle {
            self.queue.push_front(key);
            self.note_retry(key, Reason::ConnectionLost);
        }
    }

    /// When a send counts as silent: sooner when its replica has answered nothing else since.
    ///
    /// A replica that answers over other connections may still have lost this one, so that a send
    /// is given up in the end whatever else comes back.
    fn silent_at_us(&self, attempt: &Attempt) -> Option<u64> {
        let replica = self.replicas.get(&attempt.replica)?;
        if attempt.is_cancelling {
            return None;
        }
        let policy = &self.configuration.policy;
        let factor = match replica.last_answer_us > attempt.started_us {
            true => policy.stuck_factor,
            false => policy.silence_factor,
        };
        let bound_us = match replica.norm_us() {
            Some(norm_us) => norm_us * factor,
            None => (attempt.deadline_us - attempt.started_us) / UNKNOWN_SILENCE_PART,
        };
        Some(attempt.started_us + bound_us.max(policy.least_silence_us))
    }

    /// Sends what waits, as far as slots allow.
    fn pump(&mut self, now_us: u64) {
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
        let Some(best) = self.best(now_us, state, &holders) else { return Choice::Wait };
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
        let generation = replica.generation;
        let replica = address.clone();
        self.effects.push(LaneEffect::Send { attempt: id, sub: key, replica, generation });
    }

    /// Starts second tries for sub-requests that take longer than usual.
    fn hedge(&mut self, now_us: u64) {
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
    fn hedge_at_us(&self, state: &SubState) -> Option<u64> {
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

    /// Whether limits may grow now.
    fn may_grow(&self, now_us: u64) -> bool {
        match self.role {
            Role::Home { full_from_us } => now_us >= full_from_us,
            Role::Fallback | Role::Retired { .. } => false,
        }
    }

    /// Gives up the open connections of every replica that answered nothing since a time.
    ///
    /// What lost track of one replica's connections may have lost all that go the same way; the
    /// next send must not meet another silent one. A new connection costs a few milliseconds.
    fn condemn_quiet(&mut self, since_us: u64) {
        let is_quiet = |replica: &&Replica| replica.last_answer_us <= since_us;
        let quiet: Vec<EcoString> = self
            .replicas
            .values()
            .filter(is_quiet)
            .map(|replica| replica.spec.address.clone())
            .collect();
        for address in quiet {
            self.condemn(&address);
        }
    }

    /// Gives up a replica's open connections.
    fn condemn(&mut self, address: &EcoString) {
        let Some(replica) = self.replicas.get_mut(address) else { return };
        replica.generation += 1;
        self.effects.push(LaneEffect::Condemn { replica: address.clone() });
        let kind = EventKind::ConnectionsCondemned { replica: address.clone() };
        self.effects.push(LaneEffect::Note { sub: None, kind });
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

    /// Refuses a sub-request that was never queued.
    fn refuse_new(&mut self, sub: SubKey, reason: Reason, retry_after_us: u64) {
        let retry_after_ms = retry_after_us / crate::US_PER_MS;
        let outcome = SubOutcome::NotRun { reason, retry_after_ms };
        self.effects.push(LaneEffect::Reply { sub, outcome, attempt: None });
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
