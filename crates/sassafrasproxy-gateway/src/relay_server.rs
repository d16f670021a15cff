//! Serves relay calls: sends to replicas near this node on behalf of another gateway node.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use http::{HeaderMap, HeaderName, HeaderValue, Method, Uri};
use indexmap::IndexMap;
use sassafrasproxy_core::{RequestFingerprints, SendId, SendTiming, merge_records};
use sassafrasproxy_platform::decode_caller_head;
use sassafrasproxy_wire::{
    RelayCall, RelayPart, RelayPartOutcome, RelayReply, RelayReplyPart, RelayRequest,
};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::{Instant, sleep, sleep_until};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::metrics::KindLabel;
use crate::request::{CallerRequest, RequestAccount, RequestProgress, fingerprinted_request};
use crate::shutdown::ActiveRequestGuard;
use crate::traffic::TrafficState;
use crate::upstream::{SendSpec, SendTasks, UpstreamResult, start_send};

/// The time for which a finished part waits for others, to be merged into the same reply.
///
/// The parts of one query end within a few milliseconds of each other, and one reply per part
/// would lose most of what merging saves. The last part of a relay call never waits.
const REPLY_BATCH_DELAY: Duration = Duration::from_millis(3);

/// The delay before the next accept after an accept has failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The send id of a send that the pool of this node does not track.
///
/// The pool tracks no send of an unknown route, as it lacks the route's latencies.
const UNTRACKED_SEND_ID: SendId = 0;

/// Accepts and serves connections of other gateway nodes until the process ends.
pub async fn run(listener: TcpListener, traffic: Rc<TrafficState>) {
    loop {
        match listener.accept().await {
            Ok((stream, from)) => {
                spawn_local(serve_relay_connection(stream, from, traffic.clone()));
            }
            Err(error) => {
                log::warn!(error:%; "failed to accept a relay connection; retrying");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// The relay calls in progress on one connection, by id; aborted when dropped with it.
#[derive(Default)]
struct ActiveRelayCalls {
    tasks: IndexMap<u64, AbortHandle>,
}

impl Drop for ActiveRelayCalls {
    fn drop(&mut self) {
        self.tasks.values().for_each(AbortHandle::abort);
    }
}

async fn serve_relay_connection(stream: TcpStream, from: SocketAddr, traffic: Rc<TrafficState>) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(error:%; "failed to set TCP_NODELAY on a relay connection");
    }
    let (mut sink, mut frames) = Framed::new(stream, LengthDelimitedCodec::new()).split();
    let (reply_sender, mut replies) = mpsc::unbounded_channel::<RelayReply>();
    let (finished_sender, mut finished) = mpsc::unbounded_channel::<u64>();
    let mut calls = ActiveRelayCalls::default();
    loop {
        tokio::select! {
            frame = frames.next() => {
                let Some(Ok(frame)) = frame else { return };
                match postcard::from_bytes(&frame) {
                    Ok(RelayRequest::Call(call)) => {
                        let id = call.id;
                        let (traffic, reply_sender, finished_sender) =
                            (traffic.clone(), reply_sender.clone(), finished_sender.clone());
                        let task = spawn_local(async move {
                            let _active = ActiveRequestGuard::new(traffic.clone());
                            serve_relay_call(traffic, call, reply_sender).await;
                            // The channel is closed if the connection has ended.
                            let _ = finished_sender.send(id);
                        });
                        calls.tasks.insert(id, task.abort_handle());
                    }
                    Ok(RelayRequest::Cancel { id }) => {
                        if let Some(task) = calls.tasks.swap_remove(&id) {
                            task.abort();
                        }
                    }
                    Err(error) => {
                        return log::warn!(
                            from:%, error:%;
                            "failed to decode a relay request; closing the connection"
                        );
                    }
                }
            }
            Some(reply) = replies.recv() => {
                let frame = match postcard::to_stdvec(&(&reply, reply.trailer())) {
                    Ok(frame) => frame,
                    Err(error) => {
                        return log::error!(
                            error:%; "failed to encode a relay reply; closing the connection"
                        );
                    }
                };
                if let Err(error) = sink.send(Bytes::from(frame)).await {
                    return log::debug!(
                        from:%, error:%; "failed to write to a relay connection; closing it"
                    );
                }
            }
            Some(id) = finished.recv() => {
                calls.tasks.swap_remove(&id);
            }
        }
    }
}

/// Sends to all replicas of a relay call, and replies as the sends end.
async fn serve_relay_call(
    traffic: Rc<TrafficState>,
    call: RelayCall,
    replies: mpsc::UnboundedSender<RelayReply>,
) {
    let Some(request) = decode_caller_request(&traffic, &call) else {
        let unsent = call.parts.iter().map(|part| RelayReplyPart {
            shard_index: part.shard_index,
            outcome: RelayPartOutcome::Unsent,
            reported_load: None,
            work_time_percent: None,
        });
        let _ = replies.send(RelayReply {
            id: call.id,
            parts: unsent.collect(),
            record_batch: Vec::new(),
        });
        return;
    };
    let request = Rc::new(request);
    let (result_sender, mut results) = mpsc::unbounded_channel();
    let mut sends = SendTasks::default();
    let timing = traffic.route_send_timing(&call.route);
    for part in &call.parts {
        let send = start_part_send(&traffic, &call, part, &request, timing, result_sender.clone());
        send.into_iter().for_each(|send| sends.push(send));
    }
    let mut pending = call.parts.len();
    let mut ready: Vec<(usize, UpstreamResult)> = Vec::new();
    let mut flush_at: Option<Instant> = None;
    while pending > 0 {
        tokio::select! {
            Some(result) = results.recv() => {
                pending -= 1;
                ready.push(result);
                flush_at.get_or_insert_with(|| Instant::now() + REPLY_BATCH_DELAY);
            }
            () = sleep_until(flush_at.unwrap_or_else(Instant::now)), if flush_at.is_some() => {
                flush_at = None;
                // The channel is closed if the connection has ended, which also aborts this task.
                let _ = replies.send(build_reply(&call, std::mem::take(&mut ready)));
            }
        }
    }
    sends.detach();
    let _ = replies.send(build_reply(&call, ready));
}

/// Starts the send of a part.
///
/// Returns `None` and reports the part as unsent if the replica is not in this node's pool yet.
fn start_part_send(
    traffic: &Rc<TrafficState>,
    call: &RelayCall,
    part: &RelayPart,
    request: &Rc<CallerRequest>,
    timing: Option<SendTiming>,
    results: mpsc::UnboundedSender<(usize, UpstreamResult)>,
) -> Option<AbortHandle> {
    let shard = part.shard_index;
    // The channel is closed if the relay call was cancelled.
    let on_result = move |result| drop(results.send((shard, result)));
    let entry = traffic.pool.borrow().entry(&part.replica_id).cloned();
    let Some(replica) = entry else {
        on_result(UpstreamResult::Unsent);
        return None;
    };
    traffic.metrics.sends.get_or_create(&KindLabel::new("relayed")).inc();
    let now_us = traffic.clock.now_us();
    let send_id = timing.and_then(|timing| {
        let mut pool = traffic.pool.borrow_mut();
        pool.start_send(&part.replica_id, now_us, timing.expected_us, timing.hedge_after_us)
    });
    let spec = SendSpec {
        request: request.clone(),
        route: call.route.clone(),
        replica,
        send_id: send_id.unwrap_or(UNTRACKED_SEND_ID),
        deadline_us: request.deadline_us,
        is_fan_out: true,
        is_idempotent: true,
    };
    Some(start_send(traffic, spec, on_result))
}

/// Decodes the caller's request from a relay call; `None` if it is not a valid HTTP request.
fn decode_caller_request(traffic: &TrafficState, call: &RelayCall) -> Option<CallerRequest> {
    let mut headers = HeaderMap::with_capacity(call.headers.len());
    for (name, value) in &call.headers {
        let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
        headers.append(name, HeaderValue::from_bytes(value).ok()?);
    }
    let arrived_us = traffic.clock.now_us();
    let head = decode_caller_head(&headers).ok()?;
    let method = Method::from_bytes(call.method.as_bytes()).ok()?;
    let uri = call.uri.parse::<Uri>().ok()?;
    // The ingress node has hashed the client account with the rest.
    let fingerprinted = fingerprinted_request(&head.host, &method, &uri, &call.body, "");
    let fingerprints = RequestFingerprints::with_exact(call.fingerprint, &fingerprinted);
    Some(CallerRequest {
        attempt_id: call.attempt_id.clone(),
        // The ingress node has authenticated the caller, set the headers and taken a token.
        account: RequestAccount::NotLookedUp,
        token: None,
        method,
        uri,
        headers,
        body: Bytes::from(call.body.clone()),
        arrived_us,
        deadline_us: arrived_us + call.remaining_us,
        elapsed_before_arrival_us: 0,
        fingerprints,
        progress: Rc::new(RequestProgress::default()),
    })
}

/// Returns one reply for parts that have ended, with the top records of all answered parts.
fn build_reply(call: &RelayCall, results: Vec<(usize, UpstreamResult)>) -> RelayReply {
    let mut parts = Vec::with_capacity(results.len());
    let mut bodies: Vec<Bytes> = Vec::with_capacity(results.len());
    for (shard, result) in results {
        let reported_load = result.reported_load();
        let outcome = match result {
            UpstreamResult::Answered(answer) => match answer.head.stamp {
                Some(stamp) if answer.status.is_success() => {
                    bodies.push(answer.body);
                    RelayPartOutcome::Answered { stamp }
                }
                _ => RelayPartOutcome::Faulty,
            },
            UpstreamResult::NotRun => RelayPartOutcome::NotRun,
            UpstreamResult::Misdirected => RelayPartOutcome::Misdirected,
            UpstreamResult::Unsent => RelayPartOutcome::Unsent,
            UpstreamResult::Lost => RelayPartOutcome::Lost,
            UpstreamResult::TimedOut => RelayPartOutcome::TimedOut,
        };
        parts.push(RelayReplyPart {
            shard_index: shard,
            outcome,
            reported_load: reported_load.map(|load| load.requests),
            work_time_percent: reported_load.and_then(|load| load.work_time_percent),
        });
    }
    let records = merge_records(bodies.iter().map(AsRef::as_ref), call.top_k);
    RelayReply { id: call.id, parts, record_batch: records }
}
