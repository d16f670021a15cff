//! Runs one query at its ingress node: the reducer, its timer and its requests to homes.

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

/// The time reserved for the transmission of a home's reply is the remaining time divided by this
/// value, but at least the minimum.
const REPLY_RESERVE_DIVISOR: u64 = 32;

/// The minimum time reserved for the transmission of a home's reply, in microseconds.
const MIN_REPLY_RESERVE_US: u64 = 2_000;

/// How long a home's reply is awaited beyond the home's own deadline.
const HOME_REPLY_GRACE: Duration = Duration::from_millis(10);

/// A caller's query after validation.
#[derive(Debug, Clone)]
pub struct QueryJob {
    /// The caller's request id.
    pub request_id: EcoString,
    /// The kind of request.
    pub kind: EcoString,
    /// The caller's body.
    pub body: Body,
    /// The services to query and the conditions of the answer.
    pub spec: QuerySpec,
}

/// The result of a query.
#[derive(Debug)]
pub struct QueryResult {
    /// The outcome, the coverage and the reason of a refusal.
    pub end: QueryEnd,
    /// One body per covered shard, in the order of the covered shards.
    pub bodies: Vec<Body>,
}

/// Runs a query; dropping the future cancels all its pending requests.
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
            Some(result) = task.shard_requests.join_next() => match result {
                Ok((token, result)) => task.handle_result(token, result),
                // An aborted request is one that the reducer abandoned.
                Err(_) => None,
            },
            () = tokio::time::sleep_until(shared.clock.instant_at(wake_us)) => {
                task.step(QueryEvent::Timer)
            }
        };
    }
}

/// The state of a running query.
struct QueryTask<'a> {
    shared: &'a Arc<Shared>,
    job: &'a QueryJob,
    query: Query,
    shard_requests: JoinSet<(ShardRequestToken, ShardRequestResult)>,
    abort_handles: IndexMap<ShardRequestToken, AbortHandle>,
    bodies: IndexMap<ShardRequestToken, Body>,
    started_us: u64,
}

/// The result of a request to a node for one shard.
enum ShardRequestResult {
    Replied(SubRequestReply),
    Unreachable { may_have_arrived: bool, is_alive: bool },
}

impl QueryTask<'_> {
    fn handle_result(
        &mut self,
        token: ShardRequestToken,
        result: ShardRequestResult,
    ) -> Option<QueryEnd> {
        self.abort_handles.swap_remove(&token);
        let event = match result {
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

    /// Steps the reducer and performs its effects; returns the query's end once it has one.
    fn step(&mut self, event: QueryEvent) -> Option<QueryEnd> {
        let view = self.shared.view.load_full();
        let mut end = None;
        for effect in self.query.step(self.shared.clock.now_us(), event, &view) {
            match effect {
                QueryEffect::RequestShard { token, node, shard, snapshot, is_fallback } => {
                    self.request_shard(&view, token, node, shard, snapshot, is_fallback);
                }
                QueryEffect::Abandon { token } => {
                    if let Some(handle) = self.abort_handles.swap_remove(&token) {
                        handle.abort();
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

    /// Requests a shard from a node in a separate task.
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
        let is_local = node == view.local_node;
        let handle = self.shard_requests.spawn(async move {
            if is_local {
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
        self.abort_handles.insert(token, handle);
    }

    /// Returns a suffix for the id of a sub-request, which distinguishes the sub-requests of this
    /// query from those of another query with the same request id.
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

/// Returns the deadline for a home, in milliseconds from now.
///
/// It is shorter than the time that remains here, so that even a refusal at the last moment arrives
/// in time; such a refusal may prove that nothing ran.
fn home_deadline_ms(soft_deadline_us: u64, now_us: u64) -> u64 {
    let remaining_us = soft_deadline_us.saturating_sub(now_us);
    let reply_reserve_us = (remaining_us / REPLY_RESERVE_DIVISOR).max(MIN_REPLY_RESERVE_US);
    remaining_ms(remaining_us, reply_reserve_us)
}

/// Sends a sub-request to a peer; cancels it there if this future is dropped or times out.
async fn request_from_peer(
    shared: &Arc<Shared>,
    node: EcoString,
    address: EcoString,
    request: SubRequest,
) -> ShardRequestResult {
    let mut guard = CancelGuard { shared, address: &address, request: &request, is_pending: true };
    // The home replies by its own, earlier deadline; this timeout covers a home that does not.
    let timeout = Duration::from_millis(request.deadline_ms) + HOME_REPLY_GRACE;
    let result = shared.peer_client.send_sub_request(&address, &request, timeout).await;
    guard.is_pending = matches!(result, Err(PeerError::TimedOut));
    drop(guard);
    let error = match result {
        Ok(reply) => return ShardRequestResult::Replied(reply),
        // A late reply does not mean that the connection failed; other requests continue to use it.
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

/// Returns the reply that stands in for one that did not arrive in time.
fn deadline_exceeded_reply() -> SubRequestReply {
    let outcome = SubRequestOutcome::Unknown { reason: FailureReason::DeadlineExceeded };
    SubRequestReply { outcome, holdings: None, body: None }
}

/// Cancels a sub-request at a peer when dropped while the reply is pending.
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
