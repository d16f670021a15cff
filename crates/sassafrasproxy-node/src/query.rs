//! A query at its entry node: the reducer, its timer and its asks.

use std::sync::Arc;
use std::time::Duration;

use ecow::{EcoString, eco_format};
use indexmap::IndexMap;
use sassafrasproxy_core::{
    ControlEvent, Query, QueryEffect, QueryEnd, QueryEvent, QuerySpec, ShardRequestToken, View,
};
use sassafrasproxy_wire::{
    Body, CancelRequest, FailureReason, ShardId, SnapshotId, SubRequest, SubRequestOutcome,
    SubRequestReply, TimelineEventKind,
};
use tokio::task::{AbortHandle, JoinSet};

use crate::peer_client::PeerError;
use crate::replica_client::remaining_ms;
use crate::shared::Shared;

/// The part of the time left that is kept back for a home's reply: one part in this many.
const REPLY_RESERVE_DIVISOR: u64 = 32;

/// The least time kept back for a home's reply, in microseconds.
const MIN_REPLY_RESERVE_US: u64 = 2_000;

/// How much later than its own deadline a home's answer may come.
const HOME_REPLY_GRACE: Duration = Duration::from_millis(10);

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
        shard_requests: JoinSet::new(),
        abort_handles: IndexMap::new(),
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
            Some(answer) = task.shard_requests.join_next() => match answer {
                Ok((token, answer)) => task.handle_result(token, answer),
                // An aborted ask is one that the reducer gave up on.
                Err(_) => None,
            },
            () = tokio::time::sleep_until(shared.clock.instant_at(wake_us)) => {
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
    shard_requests: JoinSet<(ShardRequestToken, ShardRequestResult)>,
    abort_handles: IndexMap<ShardRequestToken, AbortHandle>,
    bodies: IndexMap<ShardRequestToken, Body>,
    started_us: u64,
}

/// What came of an ask.
enum ShardRequestResult {
    Replied(SubRequestReply),
    Unreachable { may_have_arrived: bool, is_alive: bool },
}

impl QueryTask<'_> {
    fn handle_result(
        &mut self,
        token: ShardRequestToken,
        answer: ShardRequestResult,
    ) -> Option<QueryEnd> {
        self.abort_handles.swap_remove(&token);
        let event = match answer {
            ShardRequestResult::Replied(reply) => {
                if let Some(holdings) = reply.holdings {
                    self.shared.send_control_event(ControlEvent::GroupHoldingsReceived(holdings));
                }
                let outcome = match (reply.outcome, reply.body) {
                    (SubRequestOutcome::Answered, Some(body)) => {
                        self.bodies.insert(token, body);
                        SubRequestOutcome::Answered
                    }
                    (SubRequestOutcome::Answered, None) => {
                        SubRequestOutcome::Unknown { reason: FailureReason::Malformed }
                    }
                    (outcome, _) => outcome,
                };
                QueryEvent::Replied { token, outcome }
            }
            ShardRequestResult::Unreachable { may_have_arrived, is_alive } => {
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
                    self.request_shard(&view, token, node, shard, snapshot, is_fallback);
                }
                QueryEffect::Abandon { token } => {
                    if let Some(ask) = self.abort_handles.swap_remove(&token) {
                        ask.abort();
                    }
                }
                QueryEffect::RecordEvent(kind) => {
                    self.shared.events.record(Some(self.job.request_id.clone()), kind);
                }
                QueryEffect::Finish(finished) => end = Some(finished),
            }
        }
        end
    }

    /// Asks a node for a shard, in a task of its own.
    fn request_shard(
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
            id: eco_format!(
                "{}-{}-{}",
                self.job.request_id,
                self.shared.instance_id,
                self.id_suffix(token)
            ),
            request_id: self.job.request_id.clone(),
            shard,
            snapshot,
            kind: self.job.kind.clone(),
            deadline_ms: home_deadline_ms(self.job.spec.soft_deadline_us, now_us),
            fallback: is_fallback,
            forwarded: false,
            body: self.job.body.clone(),
        };
        self.shared.metrics.count_sub_request();
        let shared = self.shared.clone();
        let address = view.members.get(&node).map(|member| member.peer_address.clone());
        let is_me = node == view.local_node;
        let ask = self.shard_requests.spawn(async move {
            if is_me {
                return (
                    token,
                    ShardRequestResult::Replied(
                        shared.schedulers.run_sub_request(&shared, request).await,
                    ),
                );
            }
            let Some(address) = address else {
                return (
                    token,
                    ShardRequestResult::Unreachable { may_have_arrived: false, is_alive: false },
                );
            };
            (token, request_from_peer(&shared, node, address, request).await)
        });
        self.abort_handles.insert(token, ask);
    }

    /// Tells the asks of one query from those of another with the same request id.
    fn id_suffix(&self, token: ShardRequestToken) -> EcoString {
        eco_format!("{}.{}", self.started_us, token.0)
    }

    fn finish(mut self, end: QueryEnd) -> QueryResult {
        let bodies =
            end.body_tokens.iter().filter_map(|token| self.bodies.swap_remove(token)).collect();
        let took_ms = (self.shared.clock.now_us() - self.started_us) / 1_000;
        let reason = end.reason;
        let fraction = end.coverage.fraction;
        self.shared.metrics.record_query_end(end.outcome, reason, took_ms, fraction);
        let kind =
            TimelineEventKind::QueryEnded { outcome: end.outcome, reason, fraction, took_ms };
        self.shared.events.record(Some(self.job.request_id.clone()), kind);
        QueryResult { end, bodies }
    }
}

/// The time that a home may take: less than remains here, so that even its refusal at the last
/// moment, which may prove that nothing ran, comes in time.
fn home_deadline_ms(soft_deadline_us: u64, now_us: u64) -> u64 {
    let left_us = soft_deadline_us.saturating_sub(now_us);
    let margin_us = (left_us / REPLY_RESERVE_DIVISOR).max(MIN_REPLY_RESERVE_US);
    remaining_ms(left_us, margin_us)
}

/// Asks a peer; tells it when the ask is given up.
async fn request_from_peer(
    shared: &Arc<Shared>,
    node: EcoString,
    address: EcoString,
    request: SubRequest,
) -> ShardRequestResult {
    let mut guard = CancelGuard { shared, address: &address, request: &request, is_pending: true };
    // The home answers by its own, earlier deadline; this one is for a home that does not.
    let timeout = Duration::from_millis(request.deadline_ms) + HOME_REPLY_GRACE;
    let answer = shared.peer_client.send_sub_request(&address, &request, timeout).await;
    guard.is_pending = matches!(answer, Err(PeerError::TimedOut));
    drop(guard);
    let error = match answer {
        Ok(reply) => return ShardRequestResult::Replied(reply),
        // A late answer says nothing of the connection, which other asks go on to use.
        Err(PeerError::TimedOut) => return ShardRequestResult::Replied(deadline_exceeded_reply()),
        Err(error) => error,
    };
    let may_have_arrived = error != PeerError::Unreachable;
    let is_alive = may_have_arrived && shared.peer_client.ping_on_new_connection(&address).await;
    let kind = TimelineEventKind::PeerFailed {
        peer: node.clone(),
        error: eco_format!("{error}"),
        is_alive,
    };
    shared.events.record(Some(request.request_id.clone()), kind);
    shared.send_control_event(ControlEvent::PeerFailed { node });
    ShardRequestResult::Unreachable { may_have_arrived, is_alive }
}

/// The answer in place of one that did not come in time.
fn deadline_exceeded_reply() -> SubRequestReply {
    let outcome = SubRequestOutcome::Unknown { reason: FailureReason::DeadlineExceeded };
    SubRequestReply { outcome, holdings: None, body: None }
}

/// Tells a peer that nobody waits for an ask any more, when the ask is dropped.
struct CancelGuard<'a> {
    shared: &'a Arc<Shared>,
    address: &'a EcoString,
    request: &'a SubRequest,
    is_pending: bool,
}

impl Drop for CancelGuard<'_> {
    fn drop(&mut self) {
        if !self.is_pending {
            return;
        }
        let (shared, address) = (self.shared.clone(), self.address.clone());
        let cancel =
            CancelRequest { id: self.request.id.clone(), shard: self.request.shard.clone() };
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(async move { shared.peer_client.cancel(&address, &cancel).await });
        }
    }
}
