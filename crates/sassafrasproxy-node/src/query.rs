//! A query at its entry node: the reducer, its timer and its asks.

use std::sync::Arc;
use std::time::Duration;

use ecow::{EcoString, eco_format};
use indexmap::IndexMap;
use sassafrasproxy_core::{
    ControlEvent, Query, QueryEffect, QueryEnd, QueryEvent, QuerySpec, ShardRequestToken, View,
};
use sassafrasproxy_wire::{
    Body, CancelRequest, EventKind, Reason, ShardId, SnapshotId, SubOutcome, SubReply, SubRequest,
};
use tokio::task::{AbortHandle, JoinSet};

use crate::peers::PeerError;
use crate::shared::Shared;
use crate::upstreams::remaining_ms;

/// The part of the time left that is kept back for a home's reply: one part in this many.
const REPLY_MARGIN_PART: u64 = 32;

/// The least time kept back for a home's reply, in microseconds.
const LEAST_REPLY_MARGIN_US: u64 = 2_000;

/// How much later than its own deadline a home's answer may come.
const HOME_GRACE: Duration = Duration::from_millis(10);

/// What a caller asked, checked.
#[derive(Debug, Clone)]
pub struct QueryJob {
    /// The caller's request id.
    pub request_id: EcoString,
    /// The kind of request.
    pub kind: EcoString,
    /// The caller's body.
    pub body: Body,
    /// What to ask for.
    pub spec: QuerySpec,
}

/// How a query ended, with the bodies of the shards that it covers, in their order.
#[derive(Debug)]
pub struct QueryResult {
    /// How.
    pub end: QueryEnd,
    /// One body for each covered shard.
    pub bodies: Vec<Body>,
}

/// Runs a query; dropping it gives up on everything that it asked for.
pub async fn run(shared: &Arc<Shared>, job: &QueryJob) -> QueryResult {
    let mut task = QueryTask {
        shared,
        job,
        query: Query::new(job.spec.clone()),
        asks: JoinSet::new(),
        running: IndexMap::new(),
        bodies: IndexMap::new(),
        started_us: shared.clock.now_us(),
    };
    let mut step = task.step(QueryEvent::Start);
    loop {
        if let Some(end) = step {
            return task.finish(end);
        }
        let wake_us = task.query.soft_deadline_us();
        step = tokio::select! {
            Some(answer) = task.asks.join_next() => match answer {
                Ok((token, answer)) => task.answered(token, answer),
                // An aborted ask is one that the reducer gave up on.
                Err(_) => None,
            },
            () = tokio::time::sleep_until(shared.clock.instant(wake_us)) => {
                task.step(QueryEvent::Timer)
            }
        };
    }
}

/// The state of a query that runs.
struct QueryTask<'a> {
    shared: &'a Arc<Shared>,
    job: &'a QueryJob,
    query: Query,
    asks: JoinSet<(ShardRequestToken, AskAnswer)>,
    running: IndexMap<ShardRequestToken, AbortHandle>,
    bodies: IndexMap<ShardRequestToken, Body>,
    started_us: u64,
}

/// What came of an ask.
enum AskAnswer {
    Replied(SubReply),
    Unreachable { may_have_arrived: bool, is_alive: bool },
}

impl QueryTask<'_> {
    fn answered(&mut self, token: ShardRequestToken, answer: AskAnswer) -> Option<QueryEnd> {
        self.running.swap_remove(&token);
        let event = match answer {
            AskAnswer::Replied(reply) => {
                if let Some(holdings) = reply.holdings {
                    self.shared.tell(ControlEvent::GroupHoldingsReceived(holdings));
                }
                let outcome = match (reply.outcome, reply.body) {
                    (SubOutcome::Answered, Some(body)) => {
                        self.bodies.insert(token, body);
                        SubOutcome::Answered
                    }
                    (SubOutcome::Answered, None) => {
                        SubOutcome::Unknown { reason: Reason::Malformed }
                    }
                    (outcome, _) => outcome,
                };
                QueryEvent::Replied { token, outcome }
            }
            AskAnswer::Unreachable { may_have_arrived, is_alive } => {
                QueryEvent::Unreachable { token, may_have_arrived, is_alive }
            }
        };
        self.step(event)
    }

    /// Steps the reducer; returns the end once there is one.
    fn step(&mut self, event: QueryEvent) -> Option<QueryEnd> {
        let view = self.shared.view.load_full();
        let mut end = None;
        for effect in self.query.step(self.shared.clock.now_us(), event, &view) {
            match effect {
                QueryEffect::RequestShard { token, node, shard, snapshot, is_fallback } => {
                    self.ask(&view, token, node, shard, snapshot, is_fallback);
                }
                QueryEffect::Abandon { token } => {
                    if let Some(ask) = self.running.swap_remove(&token) {
                        ask.abort();
                    }
                }
                QueryEffect::RecordEvent(kind) => {
                    self.shared.events.note(Some(self.job.request_id.clone()), kind);
                }
                QueryEffect::Finish(finished) => end = Some(finished),
            }
        }
        end
    }

    /// Asks a node for a shard, in a task of its own.
    fn ask(
        &mut self,
        view: &View,
        token: ShardRequestToken,
        node: EcoString,
        shard: ShardId,
        snapshot: SnapshotId,
        is_fallback: bool,
    ) {
        let now_us = self.shared.clock.now_us();
        let request = SubRequest {
            id: eco_format!("{}-{}-{}", self.job.request_id, self.shared.life, self.tag(token)),
            request_id: self.job.request_id.clone(),
            shard,
            snapshot,
            kind: self.job.kind.clone(),
            deadline_ms: home_deadline_ms(self.job.spec.soft_deadline_us, now_us),
            fallback: is_fallback,
            forwarded: false,
            body: self.job.body.clone(),
        };
        self.shared.metrics.sub_request();
        let shared = self.shared.clone();
        let address = view.members.get(&node).map(|member| member.peer_address.clone());
        let is_me = node == view.local_node;
        let ask = self.asks.spawn(async move {
            if is_me {
                return (token, AskAnswer::Replied(shared.lanes.ask(&shared, request).await));
            }
            let Some(address) = address else {
                return (
                    token,
                    AskAnswer::Unreachable { may_have_arrived: false, is_alive: false },
                );
            };
            (token, ask_peer(&shared, node, address, request).await)
        });
        self.running.insert(token, ask);
    }

    /// Tells the asks of one query from those of another with the same request id.
    fn tag(&self, token: ShardRequestToken) -> EcoString {
        eco_format!("{}.{}", self.started_us, token.0)
    }

    fn finish(mut self, end: QueryEnd) -> QueryResult {
        let bodies =
            end.body_tokens.iter().filter_map(|token| self.bodies.swap_remove(token)).collect();
        let took_ms = (self.shared.clock.now_us() - self.started_us) / 1_000;
        let reason = end.reason;
        let fraction = end.coverage.fraction;
        self.shared.metrics.query_ended(end.outcome, reason, took_ms, fraction);
        let kind = EventKind::QueryEnded { outcome: end.outcome, reason, fraction, took_ms };
        self.shared.events.note(Some(self.job.request_id.clone()), kind);
        QueryResult { end, bodies }
    }
}

/// The time that a home may take: less than remains here, so that even its refusal at the last
/// moment, which may prove that nothing ran, comes in time.
fn home_deadline_ms(soft_deadline_us: u64, now_us: u64) -> u64 {
    let left_us = soft_deadline_us.saturating_sub(now_us);
    let margin_us = (left_us / REPLY_MARGIN_PART).max(LEAST_REPLY_MARGIN_US);
    remaining_ms(left_us, margin_us)
}

/// Asks a peer; tells it when the ask is given up.
async fn ask_peer(
    shared: &Arc<Shared>,
    node: EcoString,
    address: EcoString,
    request: SubRequest,
) -> AskAnswer {
    let mut guard = CancelGuard { shared, address: &address, request: &request, is_open: true };
    // The home answers by its own, earlier deadline; this one is for a home that does not.
    let timeout = Duration::from_millis(request.deadline_ms) + HOME_GRACE;
    let answer = shared.peers.sub_request(&address, &request, timeout).await;
    guard.is_open = matches!(answer, Err(PeerError::TimedOut));
    drop(guard);
    let error = match answer {
        Ok(reply) => return AskAnswer::Replied(reply),
        // A late answer says nothing of the connection, which other asks go on to use.
        Err(PeerError::TimedOut) => return AskAnswer::Replied(overdue()),
        Err(error) => error,
    };
    let may_have_arrived = error != PeerError::Unreachable;
    let is_alive = may_have_arrived && shared.peers.is_alive(&address).await;
    let kind =
        EventKind::PeerFailed { peer: node.clone(), error: eco_format!("{error}"), is_alive };
    shared.events.note(Some(request.request_id.clone()), kind);
    shared.tell(ControlEvent::PeerFailed { node });
    AskAnswer::Unreachable { may_have_arrived, is_alive }
}

/// The answer in place of one that did not come in time.
fn overdue() -> SubReply {
    let outcome = SubOutcome::Unknown { reason: Reason::DeadlineExceeded };
    SubReply { outcome, holdings: None, body: None }
}

/// Tells a peer that nobody waits for an ask any more, when the ask is dropped.
struct CancelGuard<'a> {
    shared: &'a Arc<Shared>,
    address: &'a EcoString,
    request: &'a SubRequest,
    is_open: bool,
}

impl Drop for CancelGuard<'_> {
    fn drop(&mut self) {
        if !self.is_open {
            return;
        }
        let (shared, address) = (self.shared.clone(), self.address.clone());
        let cancel =
            CancelRequest { id: self.request.id.clone(), shard: self.request.shard.clone() };
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(async move { shared.peers.cancel(&address, &cancel).await });
        }
    }
}
