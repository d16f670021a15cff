//! One caller's query at its ingress node, from the choice of a snapshot to the answer.

use std::cmp::Ordering;

use ecow::EcoString;
use indexmap::IndexSet;
use sassafrasproxy_wire::{
    Coverage, FailureReason, MissingShard, Outcome, ShardId, SnapshotId, SubRequestOutcome,
    TimelineEventKind,
};

use crate::View;

/// The maximum number of times that a query restarts on another snapshot.
const MAX_RESTARTS: u32 = 3;

/// The maximum number of requests for one shard, not counting one repeated to the same node over a
/// new connection.
const MAX_NODE_ATTEMPTS: u32 = 4;

/// The retry delay after a failure that gives none.
const DEFAULT_RETRY_AFTER_MS: u64 = 200;

/// The parameters of a query.
#[derive(Debug, Clone, PartialEq)]
pub struct QuerySpec {
    /// The services; at least one, all of the same index.
    pub services: Vec<EcoString>,
    /// Whether the query may run more than once without harm.
    pub is_idempotent: bool,
    /// The minimum fraction of shards for a useful answer, from 0 to 1.
    pub min_coverage: f64,
    /// The latest time at which the answer is built; earlier than the caller's deadline.
    pub soft_deadline_us: u64,
}

/// The snapshot to query and its shards.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueryPlan {
    /// The snapshot.
    pub snapshot: SnapshotId,
    /// Every shard of the services in that snapshot, and whether a replica serves the shard.
    pub shards: Vec<(ShardId, bool)>,
}

/// Identifies one request for a shard; the number is unique within a query.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ShardRequestToken(pub u32);

/// An event that a query handles.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueryEvent {
    /// The query begins.
    Start,
    /// A node answered a shard request.
    Replied {
        /// The request.
        token: ShardRequestToken,
        /// The answer.
        outcome: SubRequestOutcome,
    },
    /// A shard request got no answer from its node.
    Unreachable {
        /// The request.
        token: ShardRequestToken,
        /// Whether the node may have received the request.
        may_have_arrived: bool,
        /// Whether the node answers over a new connection.
        is_alive: bool,
    },
    /// The time that [`Query::soft_deadline_us`] returned has passed.
    Timer,
}

/// An effect that a query requests.
#[derive(Debug, Clone, PartialEq)]
pub enum QueryEffect {
    /// Request a shard from a node.
    RequestShard {
        /// The request.
        token: ShardRequestToken,
        /// The node.
        node: EcoString,
        /// The shard.
        shard: ShardId,
        /// The snapshot.
        snapshot: SnapshotId,
        /// Whether the node is a fallback for the home, which failed.
        is_fallback: bool,
    },
    /// Abandon a request at its node, because its answer is no longer needed.
    Abandon {
        /// The request.
        token: ShardRequestToken,
    },
    /// Record an event in the timeline.
    RecordEvent(TimelineEventKind),
    /// Answer the caller; no effect follows.
    Finish(QueryEnd),
}

/// The end of a query.
#[derive(Debug, Clone, PartialEq)]
pub struct QueryEnd {
    /// The outcome.
    pub outcome: Outcome,
    /// The snapshot that the results come from, if any was chosen.
    pub snapshot: Option<SnapshotId>,
    /// The covered and missing shards.
    pub coverage: Coverage,
    /// For each covered shard, in the same order, the request whose body is its result.
    pub body_tokens: Vec<ShardRequestToken>,
    /// The reason of the first missing shard; `None` if every shard is covered.
    pub reason: Option<FailureReason>,
    /// The retry delay; `None` if the query was answered or no shard is missing.
    pub retry_after_ms: Option<u64>,
}

/// A running query.
#[derive(Debug)]
pub struct Query {
    spec: QuerySpec,
    snapshot: Option<SnapshotId>,
    shards: Vec<ShardProgress>,
    /// Snapshots that a replica did not hold although its home had published them.
    unserved_snapshots: IndexSet<SnapshotId>,
    restarts: u32,
    next_token: u32,
    /// Whether a request that got no answer may have run.
    may_have_run: bool,
    is_finished: bool,
    effects: Vec<QueryEffect>,
}

/// The progress of one shard of a running query.
#[derive(Debug)]
struct ShardProgress {
    shard: ShardId,
    /// The request in flight.
    open_request: Option<ShardRequestToken>,
    /// The number of requests sent for the shard, not counting one repeated to the same node.
    node_attempts: u32,
    /// Whether the request was repeated to the same node over a new connection, which happens at
    /// most once.
    has_reconnected: bool,
    state: ShardStatus,
}

/// The status of one shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ShardStatus {
    Pending,
    Covered(ShardRequestToken),
    Missing { reason: FailureReason, retry_after_ms: u64, may_have_run: bool },
}

impl Query {
    /// Creates a query that has not started.
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

    /// Handles one event and returns the effects to apply, in order.
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

    /// Returns the time at which the answer is built at the latest, and at which the query needs a
    /// [`QueryEvent::Timer`].
    pub fn soft_deadline_us(&self) -> u64 {
        self.spec.soft_deadline_us
    }

    /// Chooses a snapshot and requests every shard that is served in it.
    fn start(&mut self, view: &View) {
        let Some(plan) = QueryPlan::new(view, &self.spec.services, &self.unserved_snapshots) else {
            let shards = known_shards(view, &self.spec.services);
            let missing = ShardStatus::missing(FailureReason::NoReplica);
            self.shards =
                shards.into_iter().map(|shard| ShardProgress::new(shard, missing)).collect();
            return;
        };
        self.snapshot = Some(plan.snapshot);
        self.shards = plan
            .shards
            .into_iter()
            .map(|(shard, is_served)| {
                let missing = ShardStatus::missing(FailureReason::NoReplica);
                ShardProgress::new(shard, if is_served { ShardStatus::Pending } else { missing })
            })
            .collect();
        for index in 0..self.shards.len() {
            if self.shards[index].state == ShardStatus::Pending {
                self.request_next_node(index, view);
            }
        }
    }

    /// Handles a node's answer.
    fn handle_reply(
        &mut self,
        now_us: u64,
        token: ShardRequestToken,
        outcome: SubRequestOutcome,
        view: &View,
    ) {
        let Some(index) = self.take_open_request(token) else { return };
        match outcome {
            SubRequestOutcome::Answered => self.shards[index].state = ShardStatus::Covered(token),
            SubRequestOutcome::NotHome { may_have_run } => {
                self.may_have_run |= may_have_run;
                self.request_next_node(index, view);
            }
            SubRequestOutcome::NotRun { reason: FailureReason::NotHeld, retry_after_ms } => {
                if !self.restart(now_us, view) {
                    self.mark_missing(index, FailureReason::NotHeld, retry_after_ms, false);
                }
            }
            SubRequestOutcome::NotRun { reason, retry_after_ms } => {
                self.mark_missing(index, reason, retry_after_ms, false);
            }
            SubRequestOutcome::Unknown { reason } => {
                self.mark_missing(index, reason, DEFAULT_RETRY_AFTER_MS, true);
            }
        }
    }

    /// Requests the shard from the next ranked node after one did not answer.
    ///
    /// This guards against a home that has crashed or is partitioned while this node still ranks
    /// it first, which shows as a lost connection. The next node serves with one slot per replica,
    /// so that both nodes together exceed a replica's limit by at most one sub-request. A node that
    /// answers over a new connection is tried once more. A request that is not idempotent and may
    /// have arrived is not sent again.
    fn handle_unreachable(
        &mut self,
        token: ShardRequestToken,
        may_have_arrived: bool,
        is_alive: bool,
        view: &View,
    ) {
        let Some(index) = self.take_open_request(token) else { return };
        if may_have_arrived && !self.spec.is_idempotent {
            return self.mark_missing(
                index,
                FailureReason::HomeUnreachable,
                DEFAULT_RETRY_AFTER_MS,
                true,
            );
        }
        self.may_have_run |= may_have_arrived;
        let shard = &mut self.shards[index];
        if is_alive && !std::mem::replace(&mut shard.has_reconnected, true) {
            shard.node_attempts -= 1;
        }
        self.request_next_node(index, view);
    }

    /// Requests a shard from the next node in the group's ranking, starting again with the home
    /// after the last one. Marks the shard as missing after [`MAX_NODE_ATTEMPTS`].
    fn request_next_node(&mut self, index: usize, view: &View) {
        let shard = &self.shards[index];
        let group = view.groups.group_of(&shard.shard);
        let ranked = group.and_then(|group| view.homes.get(&group.name));
        let attempts = shard.node_attempts as usize;
        let next = ranked.and_then(|ranked| ranked.iter().cycle().nth(attempts));
        let (Some(node), Some(snapshot), true) =
            (next, self.snapshot, shard.node_attempts < MAX_NODE_ATTEMPTS)
        else {
            let may_have_run = self.may_have_run;
            return self.mark_missing(
                index,
                FailureReason::HomeUnreachable,
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

    /// Restarts the query on another snapshot if that one serves more shards than the current one
    /// still can. Returns whether it did.
    fn restart(&mut self, now_us: u64, view: &View) -> bool {
        let Some(old) = self.snapshot else { return false };
        let is_restart_excluded = self.restarts >= MAX_RESTARTS || !self.spec.is_idempotent;
        if is_restart_excluded || now_us >= self.spec.soft_deadline_us {
            return false;
        }
        self.unserved_snapshots.insert(old);
        let Some(plan) = QueryPlan::new(view, &self.spec.services, &self.unserved_snapshots) else {
            self.unserved_snapshots.swap_remove(&old);
            return false;
        };
        let available = self.shards.iter().filter(|shard| !shard.is_missing()).count();
        // The shard whose failure led here is not marked as missing yet.
        let attainable = available.saturating_sub(1) as f64 / self.shards.len().max(1) as f64;
        if plan.fraction() <= attainable {
            self.unserved_snapshots.swap_remove(&old);
            return false;
        }
        self.abandon_all();
        self.restarts += 1;
        let kind = TimelineEventKind::SnapshotChanged { from: old, to: plan.snapshot };
        self.effects.push(QueryEffect::RecordEvent(kind));
        self.start(view);
        true
    }

    /// Marks a shard as missing.
    fn mark_missing(
        &mut self,
        index: usize,
        reason: FailureReason,
        retry_after_ms: u64,
        may_have_run: bool,
    ) {
        self.shards[index].state = ShardStatus::Missing { reason, retry_after_ms, may_have_run };
    }

    /// Clears a request from its shard and returns the shard's index; `None` if the request was
    /// abandoned.
    fn take_open_request(&mut self, token: ShardRequestToken) -> Option<usize> {
        let index = self.shards.iter().position(|shard| shard.open_request == Some(token))?;
        self.shards[index].open_request = None;
        Some(index)
    }

    /// Abandons the request in flight for one shard.
    fn abandon_request(&mut self, index: usize) {
        if let Some(token) = self.shards[index].open_request.take() {
            self.effects.push(QueryEffect::Abandon { token });
        }
    }

    /// Abandons all requests in flight.
    fn abandon_all(&mut self) {
        for index in 0..self.shards.len() {
            self.may_have_run |= self.shards[index].open_request.is_some();
            self.abandon_request(index);
        }
    }

    /// Answers the caller if no shard is pending or the soft deadline has passed.
    fn finish_if_done(&mut self, now_us: u64) {
        let is_pending = self.shards.iter().any(|shard| shard.state == ShardStatus::Pending);
        if is_pending && now_us < self.spec.soft_deadline_us {
            return;
        }
        self.is_finished = true;
        self.abandon_all();
        for shard in &mut self.shards {
            if shard.state == ShardStatus::Pending {
                shard.state = ShardStatus::Missing {
                    reason: FailureReason::DeadlineExceeded,
                    retry_after_ms: DEFAULT_RETRY_AFTER_MS,
                    may_have_run: true,
                };
            }
        }
        let end = self.build_end();
        self.effects.push(QueryEffect::Finish(end));
    }

    /// Builds the query's end from the states of its shards.
    fn build_end(&self) -> QueryEnd {
        let mut coverage = Coverage::default();
        let mut body_tokens = Vec::new();
        let mut first_missing: Option<(FailureReason, u64)> = None;
        let mut may_have_run = self.may_have_run;
        for shard in &self.shards {
            match shard.state {
                ShardStatus::Covered(token) => {
                    coverage.covered.push(shard.shard.clone());
                    body_tokens.push(token);
                }
                ShardStatus::Missing {
                    reason,
                    retry_after_ms,
                    may_have_run: shard_may_have_run,
                } => {
                    may_have_run |= shard_may_have_run;
                    first_missing = first_missing.or(Some((reason, retry_after_ms)));
                    coverage.missing.push(MissingShard { shard: shard.shard.clone(), reason });
                }
                ShardStatus::Pending => {}
            }
        }
        coverage.fraction = body_tokens.len() as f64 / self.shards.len().max(1) as f64;
        let is_enough = coverage.fraction >= self.spec.min_coverage && !body_tokens.is_empty();
        let outcome = match (is_enough, body_tokens.is_empty(), may_have_run) {
            (true, _, _) if self.spec.is_idempotent || first_missing.is_none() => Outcome::Answered,
            (_, true, false) => Outcome::NotRun,
            (_, true, true) => Outcome::Unknown,
            (_, false, _) => Outcome::Partial,
        };
        let (reason, retry_after_ms) = match first_missing {
            Some((reason, retry_after_ms)) => (Some(reason), Some(retry_after_ms)),
            None => (None, None),
        };
        QueryEnd {
            outcome,
            snapshot: self.snapshot,
            coverage,
            body_tokens,
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
    /// Returns the status of a missing shard that was never requested.
    fn missing(reason: FailureReason) -> Self {
        Self::Missing { reason, retry_after_ms: DEFAULT_RETRY_AFTER_MS, may_have_run: false }
    }
}

impl QueryPlan {
    /// Chooses the snapshot with the largest fraction of served shards, and the newest of equal
    /// ones.
    ///
    /// Returns `None` if no snapshot of the services is known except those in `excluded`.
    pub fn new(
        view: &View,
        services: &[EcoString],
        excluded: &IndexSet<SnapshotId>,
    ) -> Option<Self> {
        let mut candidates: IndexSet<SnapshotId> = IndexSet::new();
        for group in services.iter().flat_map(|service| view.groups.groups_of(service)) {
            let Some(holdings) = view.holdings.get(group) else { continue };
            candidates.extend(holdings.snapshots.iter().map(|held| held.id));
        }
        candidates.retain(|snapshot| !excluded.contains(snapshot));
        let plans =
            candidates.into_iter().map(|snapshot| Self::at_snapshot(view, services, snapshot));
        plans.max_by(|a, b| {
            let by_coverage = a.fraction().partial_cmp(&b.fraction()).unwrap_or(Ordering::Equal);
            by_coverage.then(a.snapshot.cmp(&b.snapshot))
        })
    }

    /// Returns the fraction of shards that are served.
    pub fn fraction(&self) -> f64 {
        let served = self.shards.iter().filter(|(_, is_served)| *is_served).count();
        served as f64 / self.shards.len().max(1) as f64
    }

    /// Returns the plan for one snapshot.
    fn at_snapshot(view: &View, services: &[EcoString], snapshot: SnapshotId) -> Self {
        let shards =
            services.iter().flat_map(|service| shards_at(view, service, snapshot)).collect();
        Self { snapshot, shards }
    }
}

/// Returns the shards of one service in one snapshot and whether each is served; if the snapshot's
/// layout is not known, those of the newest known layout or of the configuration, as not served.
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
        let known = known_shards(view, std::slice::from_ref(service));
        return known.into_iter().map(|shard| (shard, false)).collect();
    }
    let shard = |name: &EcoString| ShardId::new(service.clone(), name.clone());
    layout.iter().map(|name| (shard(name), servable.contains(*name))).collect()
}

/// Returns the shards in the newest known layout of each service; if none is known, those in the
/// service's configuration.
fn known_shards(view: &View, services: &[EcoString]) -> Vec<ShardId> {
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
