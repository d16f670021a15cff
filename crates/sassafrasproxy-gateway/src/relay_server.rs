//! Relaying: asking replicas near this node for an entry in another failure domain.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use http::{HeaderMap, HeaderName, HeaderValue, Method, Uri};
use indexmap::IndexMap;
use sassafrasproxy_core::{SendId, SendTiming, merge_records};
use sassafrasproxy_wire::{RelayAsk, RelayEnd, RelayPart, RelayPartEnd, RelayReply, RelayRequest};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::{Instant, sleep, sleep_until};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::metrics::KindLabel;
use crate::request::CallerRequest;
use crate::traffic::TrafficState;
use crate::upstream::{SendSpec, SendTasks, UpstreamResult, start_send};

/// How long a part that has ended waits for others, to share a reply and its merge.
///
/// Parts of one query end within some milliseconds of each other; a reply for each would give
/// up most of what merging saves. The last part of an ask never waits.
const REPLY_BATCH_DELAY: Duration = Duration::from_millis(3);

/// The pause after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// What a relay's send is called that this node's pool does not count, as the route is unknown here.
const UNTRACKED_SEND_ID: SendId = 0;

/// Serves entries for as long as the process runs.
pub async fn run(listener: TcpListener, traffic: Rc<TrafficState>) {
    loop {
        match listener.accept().await {
            Ok((stream, from)) => {
                spawn_local(serve_relay_connection(stream, from, traffic.clone()));
            }
            Err(error) => {
                log::warn!(error:%; "an entry's connection could not be accepted");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// The asks of one entry that are under way; dropped with its connection, which ends them.
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
        log::debug!(error:%; "a connection goes without nodelay");
    }
    let (mut sink, mut frames) = Framed::new(stream, LengthDelimitedCodec::new()).split();
    let (replies, mut waiting) = mpsc::unbounded_channel::<RelayReply>();
    let (ended, mut ends) = mpsc::unbounded_channel::<u64>();
    let mut asks = ActiveRelayCalls::default();
    loop {
        tokio::select! {
            frame = frames.next() => {
                let Some(Ok(frame)) = frame else { return };
                match postcard::from_bytes(&frame) {
                    Ok(RelayRequest::Ask(ask)) => {
                        let id = ask.id;
                        let (traffic, replies, ended) =
                            (traffic.clone(), replies.clone(), ended.clone());
                        let task = spawn_local(async move {
                            serve_relay_call(traffic, ask, replies).await;
                            // The connection may be gone already.
                            let _ = ended.send(id);
                        });
                        asks.tasks.insert(id, task.abort_handle());
                    }
                    Ok(RelayRequest::Cancel { id }) => {
                        if let Some(task) = asks.tasks.swap_remove(&id) {
                            task.abort();
                        }
                    }
                    Err(error) => return log::warn!(from:%, error:%; "a frame cannot be read"),
                }
            }
            Some(reply) = waiting.recv() => {
                let frame = match postcard::to_stdvec(&reply) {
                    Ok(frame) => frame,
                    Err(error) => return log::error!(error:%; "a reply cannot be written"),
                };
                if let Err(error) = sink.send(Bytes::from(frame)).await {
                    return log::debug!(from:%, error:%; "an entry's connection ended");
                }
            }
            Some(id) = ends.recv() => {
                asks.tasks.swap_remove(&id);
            }
        }
    }
}

/// Sends to all replicas of an ask, and replies as they end.
async fn serve_relay_call(
    traffic: Rc<TrafficState>,
    ask: RelayAsk,
    replies: mpsc::UnboundedSender<RelayReply>,
) {
    let Some(request) = decode_caller_request(&traffic, &ask) else {
        let all = ask.parts.iter().map(|part| RelayPartEnd {
            shard: part.shard,
            end: RelayEnd::Unsent,
            reported: None,
        });
        let _ = replies.send(RelayReply { id: ask.id, parts: all.collect(), records: Vec::new() });
        return;
    };
    let request = Rc::new(request);
    let (ends, mut ended) = mpsc::unbounded_channel();
    let mut sends = SendTasks::default();
    let times = traffic.route_send_timing(&ask.route);
    for part in &ask.parts {
        let send = start_part_send(&traffic, &ask, part, &request, times, ends.clone());
        send.into_iter().for_each(|send| sends.push(send));
    }
    let mut left = ask.parts.len();
    let mut ready: Vec<(usize, UpstreamResult)> = Vec::new();
    let mut flush_at: Option<Instant> = None;
    while left > 0 {
        tokio::select! {
            Some(end) = ended.recv() => {
                left -= 1;
                ready.push(end);
                flush_at.get_or_insert_with(|| Instant::now() + REPLY_BATCH_DELAY);
            }
            () = sleep_until(flush_at.unwrap_or_else(Instant::now)), if flush_at.is_some() => {
                flush_at = None;
                // Without a connection there is nobody to tell, and the ask is aborted.
                let _ = replies.send(build_reply(&ask, std::mem::take(&mut ready)));
            }
        }
    }
    sends.detach();
    let _ = replies.send(build_reply(&ask, ready));
}

/// Starts a send; `None` if this node has not heard of the replica yet, which ends the part unsent.
fn start_part_send(
    traffic: &Rc<TrafficState>,
    ask: &RelayAsk,
    part: &RelayPart,
    request: &Rc<CallerRequest>,
    times: Option<SendTiming>,
    ends: mpsc::UnboundedSender<(usize, UpstreamResult)>,
) -> Option<AbortHandle> {
    let shard = part.shard;
    // The ask may have been cancelled.
    let tell = move |end| drop(ends.send((shard, end)));
    let known = traffic.pool.borrow().entry(&part.replica).cloned();
    let Some(replica) = known else {
        tell(UpstreamResult::Unsent);
        return None;
    };
    traffic.metrics.sends.get_or_create(&KindLabel::new("relayed")).inc();
    let now_us = traffic.clock.now_us();
    let send = times.and_then(|times| {
        let mut pool = traffic.pool.borrow_mut();
        pool.start_send(&part.replica, now_us, times.expected_us, times.hedge_after_us)
    });
    let spec = SendSpec {
        request: request.clone(),
        route: ask.route.clone(),
        replica,
        send_id: send.unwrap_or(UNTRACKED_SEND_ID),
        deadline_us: request.deadline_us,
        is_fan_out: true,
        is_idempotent: true,
    };
    Some(start_send(traffic, spec, tell))
}

/// The caller's request as the entry passed it on; `None` if it cannot be one.
fn decode_caller_request(traffic: &TrafficState, ask: &RelayAsk) -> Option<CallerRequest> {
    let mut headers = HeaderMap::with_capacity(ask.headers.len());
    for (name, value) in &ask.headers {
        let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
        headers.append(name, HeaderValue::from_bytes(value).ok()?);
    }
    let arrived_us = traffic.clock.now_us();
    Some(CallerRequest {
        attempt_id: ask.attempt_id.clone(),
        method: Method::from_bytes(ask.method.as_bytes()).ok()?,
        uri: ask.uri.parse::<Uri>().ok()?,
        headers,
        body: Bytes::from(ask.body.clone()),
        arrived_us,
        deadline_us: arrived_us + ask.left_us,
        elapsed_before_arrival_us: 0,
        fingerprint: ask.fingerprint,
    })
}

/// One reply for parts that have ended, with the greatest records of them all.
fn build_reply(ask: &RelayAsk, ended: Vec<(usize, UpstreamResult)>) -> RelayReply {
    let mut parts = Vec::with_capacity(ended.len());
    let mut bodies: Vec<Bytes> = Vec::with_capacity(ended.len());
    for (shard, end) in ended {
        let reported = end.reported_load();
        let end = match end {
            UpstreamResult::Answered(answer) => match answer.head.stamp {
                Some(stamp) if answer.status.is_success() => {
                    bodies.push(answer.body);
                    RelayEnd::Answered { stamp }
                }
                _ => RelayEnd::Faulty,
            },
            UpstreamResult::NotRun => RelayEnd::NotRun,
            UpstreamResult::Misdirected => RelayEnd::Misdirected,
            UpstreamResult::Unsent => RelayEnd::Unsent,
            UpstreamResult::Lost => RelayEnd::Lost,
            UpstreamResult::TimedOut => RelayEnd::Silent,
        };
        parts.push(RelayPartEnd { shard, end, reported });
    }
    let records = merge_records(bodies.iter().map(AsRef::as_ref), ask.top_k);
    RelayReply { id: ask.id, parts, records }
}
