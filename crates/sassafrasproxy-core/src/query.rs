//! One caller's query at its entry node: plan, ask, restart, answer.

use std::cmp::Ordering;

use ecow::EcoString;
use indexmap::IndexSet;
use sassafrasproxy_wire::{
    Coverage, EventKind, MissingShard, Outcome, Reason, ShardId, SnapshotId, SubOutcome,
};

use crate::View;

/// How often a query may start again on another snapshot.
const MAX_RESTARTS: u32 = 3;

/// How many nodes a sub-request may be offered to.
const MAX_NODE_ATTEMPTS: u32 = 4;

/// When to come back after a refusal that names no time, in milliseconds.
const DEFAULT_RETRY_AFTER_MS: u64 = 200;

/// What a query asks for.
#[derive(Debug, Clone, PartialEq)]
pub struct QuerySpec {
    /// The services; at least one, all of one index.
    pub services: Vec<EcoString>,
    /// Whether running it twice does no harm.
    pub is_idempotent: bool,
    /// The least fraction of shards that makes a useful answer, 0 to 1.
    pub min_coverage: f64,
    /// When the answer is put together at the latest; before the caller's own deadline.
    pub soft_deadline_us: u64,
}

/// A snapshot and its shards.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueryPlan {
    /// The snapshot.
    pub snapshot: SnapshotId,
    /// Every shard of the services in that snapshot, and whether a replica serves it.
    pub shards: Vec<(ShardId, bool)>,
}

/// One ask of a shard; its number is unique in a query.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ShardRequestToken(pub u32);

/// What a query takes in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueryEvent {
    /// The query begins.
    Start,
    /// A node answered an ask.
    Replied {
        /// The ask.
        token: ShardRequestToken,
        /// The answer.
        outcome: SubOutcome,
    },
    /// An ask got no answer from its node.
    Unreachable {
        /// The ask.
        token: ShardRequestToken,
        /// Whether the node may have received it.
        may_have_arrived: bool,
        /// Whether the node answers over a new connection.
        is_alive: bool,
    },
    /// The time asked for has come.
    Timer,
}

/// What a query asks its shell to do.
#[derive(Debug, Clone, PartialEq)]
pub enum QueryEffect {
    /// Ask a node for a shard.
    RequestShard {
        /// The ask.
        token: ShardRequestToken,
        /// The node.
        node: EcoString,
        /// The shard.
        shard: ShardId,
        /// The snapshot.
        snapshot: SnapshotId,
        /// Whether the node is asked only because the home failed.
        is_fallback: bool,
    },
    /// Tell a node that nobody waits for an ask any more.
    Abandon {
        /// The ask.
        token: ShardRequestToken,
    },
    /// Put an event on the time line.
    RecordEvent(EventKind),
    /// Answer the caller; nothing follows.
    Finish(QueryEnd),
}

/// How a query ends.
#[derive(Debug, Clone, PartialEq)]
pub struct QueryEnd {
    /// How.
    pub outcome: Outcome,
    /// The snapshot that the results come from, if any was chosen.
    pub snapshot: Option<SnapshotId>,
    /// What is covered.
    pub coverage: Coverage,
    /// For each covered shard, in the same order, the ask whose body is its result.
    pub body_tokens: Vec<ShardRequestToken>,
    /// The reason, unless everything is covered.
    pub reason: Option<Reason>,
    /// When to come back, in milliseconds.
    pub retry_after_ms: Option<u64>,
}

/// A query that runs.
#[derive(Debug)]
pub struct Query {
    spec: QuerySpec,
    snapshot: Option<SnapshotId>,
    shards: Vec<ShardProgress>,
    /// Snapshots that turned out not to be served.
    unserved_snapshots: IndexSet<SnapshotId>,
    restarts: u32,
    next_token: u32,
    /// Whether an ask was sent that may have run and did not answer.
    may_have_run: bool,
    is_finished: bool,
    effects: Vec<QueryEffect>,
}

/// One shard of a query that runs.
#[derive(Debug)]
struct ShardProgress {
    shard: ShardId,
    /// The ask that has not ended.
    open_request: Option<ShardRequestToken>,
    /// How many nodes it was offered to.
    node_attempts: u32,
    /// Whether its one second ask of the same node, over a new connection, was used.
    has_reconnected: bool,
    state: ShardStatus,
}

/// How far a shard is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ShardStatus {
    Pending,
    Covered(ShardRequestToken),
    Missing { reason: Reason, retry_after_ms: u64, may_have_run: bool },
}

impl Query {
    /// A query that has not started.
    pub fn new(spec: QuerySpec) -> Self {
        Self {
            spec,
            snapshot: None,
            shards: Vec::new(),
            unserved_snapshots: IndexSet::new(),
            restarts: 0,
            next_token: 0,
            may_have_run: false,
            is_finished: false,
            effects: Vec::new(),
        }
    }

    /// Takes one event in and returns what to do, in order.
    pub fn step(&mut self, now_us: u64, event: QueryEvent, view: &View) -> Vec<QueryEffect> {
        if self.is_finished {
            return Vec::new();
        }
        match event {
            QueryEvent::Start => self.start(view),
            QueryEvent::Replied { token, outcome } => {
                self.handle_reply(now_us, token, outcome, view);
            }
            QueryEvent::Unreachable { token, may_have_arrived, is_alive } => {
                self.handle_unreachable(token, may_have_arrived, is_alive, view);
            }
            QueryEvent::Timer => {}
        }
        self.finish_if_done(now_us);
        std::mem::take(&mut self.effects)
    }

    /// When the answer is put together at the latest; wants a [`QueryEvent::Timer`] then.
    pub fn soft_deadline_us(&self) -> u64 {
        self.spec.soft_deadline_us
    }

    /// Chooses a snapshot and asks for every shard of it.
    fn start(&mut self, view: &View) {
        let Some(plan) = QueryPlan::new(view, &self.spec.services, &self.unserved_snapshots) else {
            let shards = declared_shards(view, &self.spec.services);
            let missing = ShardStatus::missing(Reason::NoReplica);
            self.shards =
                shards.into_iter().map(|shard| ShardProgress::new(shard, missing)).collect();
            return;
        };
        self.snapshot = Some(plan.snapshot);
        self.shards = plan
            .shards
            .into_iter()
            .map(|(shard, is_served)| {
                let missing = ShardStatus::missing(Reason::NoReplica);
                ShardProgress::new(shard, if is_served { ShardStatus::Pending } else { missing })
            })
            .collect();
        for index in 0..self.shards.len() {
            if self.shards[index].state == ShardStatus::Pending {
                self.request_next_node(index, view);
            }
        }
    }

    /// Takes a node's answer.
    fn handle_reply(
        &mut self,
        now_us: u64,
        token: ShardRequestToken,
        outcome: SubOutcome,
        view: &View,
    ) {
        let Some(index) = self.take_open_request(token) else { return };
        match outcome {
            SubOutcome::Answered => self.shards[index].state = ShardStatus::Covered(token),
            SubOutcome::NotHome { may_have_run } => {
                self.may_have_run |= may_have_run;
                self.request_next_node(index, view);
            }
            SubOutcome::NotRun { reason: Reason::NotHeld, retry_after_ms } => {
                if !self.restart(now_us, view) {
                    self.mark_missing(index, Reason::NotHeld, retry_after_ms, false);
                }
            }
            SubOutcome::NotRun { reason, retry_after_ms } => {
                self.mark_missing(index, reason, retry_after_ms, false);
            }
            SubOutcome::Unknown { reason } => {
                self.mark_missing(index, reason, DEFAULT_RETRY_AFTER_MS, true);
            }
        }
    }

    /// Goes on to the next node in rank after one that did not answer.
    ///
    /// Guards against a home that died or is cut off while this node still ranks it first: it
    /// shows as a lost connection. The next in rank serves at one slot for each replica, so
    /// that both together stay within the stated overlap.
    fn handle_unreachable(
        &mut self,
        token: ShardRequestToken,
        may_have_arrived: bool,
        is_alive: bool,
        view: &View,
    ) {
        let Some(index) = self.take_open_request(token) else { return };
        if may_have_arrived && !self.spec.is_idempotent {
            return self.mark_missing(index, Reason::HomeUnreachable, DEFAULT_RETRY_AFTER_MS, true);
        }
        self.may_have_run |= may_have_arrived;
        let shard = &mut self.shards[index];
        if is_alive && !std::mem::replace(&mut shard.has_reconnected, true) {
            shard.node_attempts -= 1;
        }
        self.request_next_node(index, view);
    }

    /// Asks the best node that this shard was not offered to yet.
    fn request_next_node(&mut self, index: usize, view: &View) {
        let shard = &self.shards[index];
        let group = view.groups.group_of(&shard.shard);
        let ranked = group.and_then(|group| view.homes.get(&group.name));
        let hops = shard.node_attempts as usize;
        let next = ranked.and_then(|ranked| ranked.iter().cycle().nth(hops));
        let (Some(node), Some(snapshot), true) =
            (next, self.snapshot, shard.node_attempts < MAX_NODE_ATTEMPTS)
        else {
            let may_have_run = self.may_have_run;
            return self.mark_missing(
                index,
                Reason::HomeUnreachable,
                DEFAULT_RETRY_AFTER_MS,
                may_have_run,
            );
        };
        let is_fallback = ranked.and_then(|ranked| ranked.first()) != Some(node);
        let (node, shard_id) = (node.clone(), shard.shard.clone());
        let token = ShardRequestToken(self.next_token);
        self.next_token += 1;
        let shard = &mut self.shards[index];
        shard.node_attempts += 1;
        shard.open_request = Some(token);
        self.effects.push(QueryEffect::RequestShard {
            token,
            node,
            shard: shard_id,
            snapshot,
            is_fallback,
        });
    }

    /// Starts again on another snapshot, if one promises more than this one still can.
    fn restart(&mut self, now_us: u64, view: &View) -> bool {
        let Some(old) = self.snapshot else { return false };
        let is_over = self.restarts >= MAX_RESTARTS || !self.spec.is_idempotent;
        if is_over || now_us >= self.spec.soft_deadline_us {
            return false;
        }
        self.unserved_snapshots.insert(old);
        let Some(plan) = QueryPlan::new(view, &self.spec.services, &self.unserved_snapshots) else {
            self.unserved_snapshots.swap_remove(&old);
            return false;
        };
        let open = self.shards.iter().filter(|shard| !shard.is_missing()).count();
        let promised = open.saturating_sub(1) as f64 / self.shards.len().max(1) as f64;
        if plan.fraction() <= promised {
            self.unserved_snapshots.swap_remove(&old);
            return false;
        }
        self.abandon_all();
        self.restarts += 1;
        let kind = EventKind::SnapshotChanged { from: old, to: plan.snapshot };
        self.effects.push(QueryEffect::RecordEvent(kind));
        self.start(view);
        true
    }

    /// Records that a shard will be missing.
    fn mark_missing(
        &mut self,
        index: usize,
        reason: Reason,
        retry_after_ms: u64,
        may_have_run: bool,
    ) {
        self.shards[index].state = ShardStatus::Missing { reason, retry_after_ms, may_have_run };
    }

    /// Takes an ask off its shard; `None` for one that was given up.
    fn take_open_request(&mut self, token: ShardRequestToken) -> Option<usize> {
        let index = self.shards.iter().position(|shard| shard.open_request == Some(token))?;
        self.shards[index].open_request = None;
        Some(index)
    }

    /// Gives up on the ask of one shard.
    fn abandon_request(&mut self, index: usize) {
        if let Some(token) = self.shards[index].open_request.take() {
            self.effects.push(QueryEffect::Abandon { token });
        }
    }

    /// Gives up on all asks.
    fn abandon_all(&mut self) {
        for index in 0..self.shards.len() {
            self.may_have_run |= self.shards[index].open_request.is_some();
            self.abandon_request(index);
        }
    }

    /// Answers the caller when nothing is open any more, or the time is over.
    fn finish_if_done(&mut self, now_us: u64) {
        let is_open = self.shards.iter().any(|shard| shard.state == ShardStatus::Pending);
        if is_open && now_us < self.spec.soft_deadline_us {
            return;
        }
        self.is_finished = true;
        self.abandon_all();
        for shard in &mut self.shards {
            if shard.state == ShardStatus::Pending {
                shard.state = ShardStatus::Missing {
                    reason: Reason::DeadlineExceeded,
                    retry_after_ms: DEFAULT_RETRY_AFTER_MS,
                    may_have_run: true,
                };
            }
        }
        let end = self.build_end();
        self.effects.push(QueryEffect::Finish(end));
    }

    /// Puts the answer together.
    fn build_end(&self) -> QueryEnd {
        let mut coverage = Coverage::default();
        let mut bodies = Vec::new();
        let mut worst: Option<(Reason, u64)> = None;
        let mut may_have_run = self.may_have_run;
        for shard in &self.shards {
            match shard.state {
                ShardStatus::Covered(token) => {
                    coverage.covered.push(shard.shard.clone());
                    bodies.push(token);
                }
                ShardStatus::Missing { reason, retry_after_ms, may_have_run: may_have } => {
                    may_have_run |= may_have;
                    worst = worst.or(Some((reason, retry_after_ms)));
                    coverage.missing.push(MissingShard { shard: shard.shard.clone(), reason });
                }
                ShardStatus::Pending => {}
            }
        }
        coverage.fraction = bodies.len() as f64 / self.shards.len().max(1) as f64;
        let is_enough = coverage.fraction >= self.spec.min_coverage && !bodies.is_empty();
        let outcome = match (is_enough, bodies.is_empty(), may_have_run) {
            (true, _, _) if self.spec.is_idempotent || worst.is_none() => Outcome::Answered,
            (_, true, false) => Outcome::NotRun,
            (_, true, true) => Outcome::Unknown,
            (_, false, _) => Outcome::Partial,
        };
        let (reason, retry_after_ms) = match worst {
            Some((reason, retry_after_ms)) => (Some(reason), Some(retry_after_ms)),
            None => (None, None),
        };
        QueryEnd {
            outcome,
            snapshot: self.snapshot,
            coverage,
            body_tokens: bodies,
            reason,
            retry_after_ms: retry_after_ms.filter(|_| outcome != Outcome::Answered),
        }
    }
}

impl ShardProgress {
    fn new(shard: ShardId, state: ShardStatus) -> Self {
        Self { shard, open_request: None, node_attempts: 0, has_reconnected: false, state }
    }

    fn is_missing(&self) -> bool {
        matches!(self.state, ShardStatus::Missing { .. })
    }
}

impl ShardStatus {
    /// A shard that was never asked for.
    fn missing(reason: Reason) -> Self {
        Self::Missing { reason, retry_after_ms: DEFAULT_RETRY_AFTER_MS, may_have_run: false }
    }
}

impl QueryPlan {
    /// Chooses the newest snapshot that serves every shard, or else the one that serves most.
    ///
    /// Returns `None` when no snapshot of the services is known, those in `gone` excluded.
    pub fn new(view: &View, services: &[EcoString], gone: &IndexSet<SnapshotId>) -> Option<Self> {
        let mut candidates: IndexSet<SnapshotId> = IndexSet::new();
        for group in services.iter().flat_map(|service| view.groups.groups_of(service)) {
            let Some(holdings) = view.holdings.get(group) else { continue };
            candidates.extend(holdings.snapshots.iter().map(|held| held.id));
        }
        candidates.retain(|snapshot| !gone.contains(snapshot));
        let plans =
            candidates.into_iter().map(|snapshot| Self::at_snapshot(view, services, snapshot));
        plans.max_by(|a, b| {
            let by_coverage = a.fraction().partial_cmp(&b.fraction()).unwrap_or(Ordering::Equal);
            by_coverage.then(a.snapshot.cmp(&b.snapshot))
        })
    }

    /// The fraction of shards that are served.
    pub fn fraction(&self) -> f64 {
        let served = self.shards.iter().filter(|(_, is_served)| *is_served).count();
        served as f64 / self.shards.len().max(1) as f64
    }

    /// The shards of one snapshot.
    fn at_snapshot(view: &View, services: &[EcoString], snapshot: SnapshotId) -> Self {
        let shards =
            services.iter().flat_map(|service| shards_at(view, service, snapshot)).collect();
        Self { snapshot, shards }
    }
}

/// The shards of one service in one snapshot; the declared ones if its layout is not known.
fn shards_at(view: &View, service: &EcoString, snapshot: SnapshotId) -> Vec<(ShardId, bool)> {
    let mut layout: IndexSet<&EcoString> = IndexSet::new();
    let mut servable: IndexSet<&EcoString> = IndexSet::new();
    for group in view.groups.groups_of(service) {
        let Some(holdings) = view.holdings.get(group) else { continue };
        let held = holdings.snapshots.iter().filter(|held| held.id == snapshot);
        for holding in held {
            layout.extend(&holding.layout);
            servable.extend(&holding.servable);
        }
    }
    if layout.is_empty() {
        let declared = declared_shards(view, std::slice::from_ref(service));
        return declared.into_iter().map(|shard| (shard, false)).collect();
    }
    let shard = |name: &EcoString| ShardId::new(service.clone(), name.clone());
    layout.iter().map(|name| (shard(name), servable.contains(*name))).collect()
}

/// The shards that the newest known layout of each service names, or else its file.
fn declared_shards(view: &View, services: &[EcoString]) -> Vec<ShardId> {
    let mut shards = Vec::new();
    for service in services {
        let groups = view.groups.groups_of(service);
        let holdings = groups.iter().filter_map(|group| view.holdings.get(*group));
        let newest =
            holdings.filter_map(|holdings| holdings.snapshots.last()).max_by_key(|held| held.id);
        let names: Vec<EcoString> = match newest {
            Some(held) => held.layout.clone(),
            None => groups
                .iter()
                .filter_map(|group| view.groups.group(group))
                .flat_map(|group| group.shards.iter().cloned())
                .collect(),
        };
        shards.extend(names.into_iter().map(|name| ShardId::new(service.clone(), name)));
    }
    shards
}
