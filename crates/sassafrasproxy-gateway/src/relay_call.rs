//! Asking a relay for the parts of a query that are in its failure domain.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use ecow::EcoString;
use indexmap::IndexMap;
use sassafrasproxy_core::{SendId, SendOutcome, SendResult};
use sassafrasproxy_wire::{RelayAsk, RelayEnd, RelayPart, ReplicaEntry};
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::timeout;

use crate::request::CallerRequest;
use crate::traffic::TrafficState;
use crate::upstream::SendGuard;

/// How much later than a send of its own an ask of a relay counts as stalled, in microseconds:
/// the relay holds replies back for 3 ms so that parts share them, and its slowest part counts.
const RELAY_STALL_MARGIN_US: u64 = 15_000;

/// How long past its deadline an ask is waited for, in microseconds.
const REPLY_MARGIN_US: u64 = 60_000;

/// What an ask needs.
pub struct RelayCallSpec {
    /// The caller's request.
    pub request: Rc<CallerRequest>,
    /// The route, for its latencies.
    pub route: EcoString,
    /// The relay.
    pub relay: EcoString,
    /// The sends that it makes: shard, replica, and the send as the pool knows it.
    pub sends: Vec<(usize, Arc<ReplicaEntry>, SendId)>,
    /// How many of the greatest records the answer needs.
    pub top_k: usize,
    /// When the replicas stop, in microseconds.
    pub deadline_us: u64,
    /// The usual time of a send, in microseconds.
    pub expected_us: u64,
    /// After which the relay counts as stalled, in microseconds.
    pub stall_after_us: u64,
}

/// How one send of a relay ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RelayPartResult {
    /// The shard's number in the query.
    pub shard: usize,
    /// What it means for the shard's fetch.
    pub result: SendResult,
    /// The replica's signature, if it was answered.
    pub stamp: Option<EcoString>,
}

/// Starts an ask in a task of its own, which tells the ends of its sends as they come.
pub fn start_relay_call(
    traffic: &Rc<TrafficState>,
    spec: RelayCallSpec,
    tell: impl Fn(Vec<RelayPartResult>, Bytes) + 'static,
) -> AbortHandle {
    let traffic = traffic.clone();
    spawn_local(async move {
        let started_us = traffic.clock.now_us();
        let mut open: IndexMap<usize, SendGuard> = spec
            .sends
            .iter()
            .map(|(shard, replica, send)| {
                (*shard, SendGuard::new(&traffic, replica.id.clone(), *send))
            })
            .collect();
        let patience_us = spec.stall_after_us + RELAY_STALL_MARGIN_US;
        let ask = traffic.relays.start_call(&spec.relay, started_us, spec.expected_us, patience_us);
        let mut noted = RelayCallGuard {
            traffic: traffic.clone(),
            relay: spec.relay.clone(),
            send_id: ask.unwrap_or(0),
            outcome: SendOutcome::Cancelled,
        };
        let left_us = spec.deadline_us.saturating_sub(started_us);
        let limit = Duration::from_micros(left_us + REPLY_MARGIN_US);
        let exchange = run_relay_call(&traffic, &spec, left_us, &mut open, &tell);
        noted.outcome = match timeout(limit, exchange).await {
            Ok(Ok(())) => SendOutcome::Answered,
            Ok(Err(error)) => {
                let (request, relay) = (&spec.request.attempt_id, &spec.relay);
                log::info!(request:%, relay:%, error:%; "a relay failed");
                SendOutcome::Unreachable
            }
            Err(_) => SendOutcome::TimedOut,
        };
        let is_sent = noted.outcome == SendOutcome::TimedOut;
        drop(noted);
        if open.is_empty() {
            return;
        }
        // Whether the replicas ran what a lost relay was asked for is not known.
        let result = if is_sent { SendResult::MayHaveRun } else { SendResult::Unsent };
        let ended = open.keys().map(|shard| RelayPartResult { shard: *shard, result, stamp: None });
        tell(ended.collect(), Bytes::new());
    })
    .abort_handle()
}

/// Tells the pool of relays how an ask ended, also when its task is aborted.
struct RelayCallGuard {
    traffic: Rc<TrafficState>,
    relay: EcoString,
    send_id: SendId,
    outcome: SendOutcome,
}

impl Drop for RelayCallGuard {
    fn drop(&mut self) {
        let now_us = self.traffic.clock.now_us();
        self.traffic.relays.finish_call(&self.relay, self.send_id, now_us, self.outcome);
    }
}

/// Asks the relay and passes its replies on until every send has ended.
async fn run_relay_call(
    traffic: &Rc<TrafficState>,
    spec: &RelayCallSpec,
    left_us: u64,
    open: &mut IndexMap<usize, SendGuard>,
    tell: &impl Fn(Vec<RelayPartResult>, Bytes),
) -> eyre::Result<()> {
    let started_us = traffic.clock.now_us();
    let mut ask = traffic.relays.call(&spec.relay, build_relay_call(spec, left_us)).await?;
    while !open.is_empty() {
        let Some(reply) = ask.next_reply().await else {
            // The connection ended after the ask: the replicas may run it.
            let lost = open.drain(..).map(|(shard, noted)| {
                noted.finish(SendOutcome::Cancelled, None);
                RelayPartResult { shard, result: SendResult::MayHaveRun, stamp: None }
            });
            tell(lost.collect(), Bytes::new());
            eyre::bail!("the connection ended");
        };
        let took_us = traffic.clock.now_us() - started_us;
        traffic.relays.record_reply(&spec.relay, traffic.clock.now_us());
        let mut parts = Vec::with_capacity(reply.parts.len());
        for part in reply.parts {
            let Some(noted) = open.swap_remove(&part.shard) else { continue };
            let (outcome, result, stamp) = interpret_relay_end(part.end);
            noted.finish(outcome, part.reported);
            if result == SendResult::Answered {
                traffic.record_latency(&spec.route, took_us);
            }
            parts.push(RelayPartResult { shard: part.shard, result, stamp });
        }
        tell(parts, Bytes::from(reply.records));
    }
    ask.finish();
    Ok(())
}

/// What a relay's end of a send means for the replica, for the fetch, and its signature.
fn interpret_relay_end(end: RelayEnd) -> (SendOutcome, SendResult, Option<EcoString>) {
    match end {
        RelayEnd::Answered { stamp } => (SendOutcome::Answered, SendResult::Answered, Some(stamp)),
        RelayEnd::Faulty => (SendOutcome::Faulty, SendResult::MayHaveRun, None),
        RelayEnd::NotRun => (SendOutcome::Refused, SendResult::NotRun, None),
        RelayEnd::Misdirected => (SendOutcome::Misdirected, SendResult::Unsent, None),
        RelayEnd::Unsent => (SendOutcome::Unreachable, SendResult::Unsent, None),
        RelayEnd::Lost => (SendOutcome::Lost, SendResult::MayHaveRun, None),
        RelayEnd::Silent => (SendOutcome::TimedOut, SendResult::MayHaveRun, None),
    }
}

fn build_relay_call(spec: &RelayCallSpec, left_us: u64) -> RelayAsk {
    let request = &spec.request;
    let headers = request.headers.iter();
    let headers = headers.map(|(name, value)| (name.as_str().into(), value.as_bytes().to_vec()));
    let parts = spec.sends.iter();
    let parts =
        parts.map(|(shard, replica, _)| RelayPart { shard: *shard, replica: replica.id.clone() });
    RelayAsk {
        id: 0,
        attempt_id: request.attempt_id.clone(),
        route: spec.route.clone(),
        method: request.method.as_str().into(),
        uri: ecow::eco_format!("{}", request.uri),
        headers: headers.collect(),
        body: request.body.to_vec(),
        left_us,
        fingerprint: request.fingerprint,
        top_k: spec.top_k,
        parts: parts.collect(),
    }
}
