//! Calls a relay for the parts of a query that are in its failure domain.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use ecow::EcoString;
use indexmap::IndexMap;
use sassafrasproxy_core::{ReportedLoad, SendId, SendOutcome, SendResult};
use sassafrasproxy_wire::{RelayCall, RelayPart, RelayPartOutcome, ReplicaEntry};
use thiserror::Error;
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::timeout;

use crate::request::CallerRequest;
use crate::traffic::TrafficState;
use crate::upstream::SendGuard;

/// The time by which a relay call may be later than a direct send before it counts as stalled.
///
/// The relay holds an ended part for up to 3 ms, to merge several parts into one reply, and a call
/// lasts as long as its slowest part.
const RELAY_STALL_MARGIN_US: u64 = 15_000;

/// The time for which a relay call waits for replies past its deadline, in microseconds.
const REPLY_MARGIN_US: u64 = 60_000;

/// The parameters of a relay call.
pub struct RelayCallSpec {
    /// The caller's request.
    pub request: Rc<CallerRequest>,
    /// The name of the route, to record its latencies.
    pub route: EcoString,
    /// The id of the relay.
    pub relay: EcoString,
    /// The sends that the relay makes: shard, replica, and the id of the send in the pool.
    pub sends: Vec<(usize, Arc<ReplicaEntry>, SendId)>,
    /// The number of top records that the answer needs.
    pub top_k: usize,
    /// The deadline of the sends to the replicas, in microseconds of this node's clock.
    pub deadline_us: u64,
    /// The expected time of a send, in microseconds.
    pub expected_us: u64,
    /// The time after which a direct send counts as stalled, in microseconds.
    pub stall_after_us: u64,
}

/// The result of one send of a relay.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RelayPartResult {
    /// The index of the shard in the query.
    pub shard: usize,
    /// The result for the fetch of the shard.
    pub result: SendResult,
    /// The stamp of the replica, if it answered.
    pub stamp: Option<EcoString>,
}

/// What a relay call tells its query.
#[derive(Debug)]
pub enum RelayReport {
    /// The relay has replied.
    Replied {
        /// The results of the sends that have ended.
        parts: Vec<RelayPartResult>,
        /// The merged records of the answered parts.
        records: Bytes,
    },
    /// The relay has failed, which says nothing of the replicas.
    Failed {
        /// The sends that it has not reported: shard and replica.
        sends: Vec<(usize, EcoString)>,
        /// The result for their fetches.
        result: SendResult,
    },
}

/// The reason for which a relay call ended before all sends were reported.
#[derive(Debug, Error)]
enum RelayCallError {
    #[error("the relay was not reached: {0}")]
    Unreached(eyre::Report),
    #[error("the connection to the relay ended before all parts were reported")]
    Ended,
}

/// Starts a relay call in a task, which calls `on_report` with results and merged records as they
/// arrive.
pub fn start_relay_call(
    traffic: &Rc<TrafficState>,
    spec: RelayCallSpec,
    on_report: impl Fn(RelayReport) + 'static,
) -> AbortHandle {
    let traffic = traffic.clone();
    spawn_local(async move {
        let started_us = traffic.clock.now_us();
        let mut pending_sends: IndexMap<usize, SendGuard> = spec
            .sends
            .iter()
            .map(|(shard, replica, send_id)| {
                (*shard, SendGuard::new(&traffic, replica.id.clone(), *send_id))
            })
            .collect();
        let stall_after_us = spec.stall_after_us + RELAY_STALL_MARGIN_US;
        let call_id =
            traffic.relays.start_call(&spec.relay, started_us, spec.expected_us, stall_after_us);
        let mut guard = RelayCallGuard {
            traffic: traffic.clone(),
            relay: spec.relay.clone(),
            send_id: call_id.unwrap_or(0),
            outcome: SendOutcome::Cancelled,
        };
        let remaining_us = spec.deadline_us.saturating_sub(started_us);
        let limit = Duration::from_micros(remaining_us + REPLY_MARGIN_US);
        let call = run_relay_call(&traffic, &spec, remaining_us, &mut pending_sends, &on_report);
        let (outcome, result) = match timeout(limit, call).await {
            Ok(Ok(())) => (SendOutcome::Answered, SendResult::Answered),
            Ok(Err(error)) => {
                let (request, relay) = (&spec.request.attempt_id, &spec.relay);
                log::info!(request:%, relay:%, error:%; "a relay call failed");
                let result = match error {
                    RelayCallError::Unreached(_) => SendResult::Unsent,
                    RelayCallError::Ended => SendResult::MayHaveRun,
                };
                (SendOutcome::Unreachable, result)
            }
            Err(_) => (SendOutcome::TimedOut, SendResult::MayHaveRun),
        };
        guard.outcome = outcome;
        // The relay counts as failed before the query decides where to send next.
        drop(guard);
        let unreported = spec.sends.into_iter().filter_map(|(shard, replica, _)| {
            pending_sends.contains_key(&shard).then(|| (shard, replica.id.clone()))
        });
        let sends: Vec<(usize, EcoString)> = unreported.collect();
        drop(pending_sends);
        if !sends.is_empty() {
            on_report(RelayReport::Failed { sends, result });
        }
    })
    .abort_handle()
}

/// Reports the outcome of a relay call to the relay pool, also if its task is aborted.
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

/// Calls the relay and passes on its replies until every send has ended.
async fn run_relay_call(
    traffic: &Rc<TrafficState>,
    spec: &RelayCallSpec,
    remaining_us: u64,
    pending_sends: &mut IndexMap<usize, SendGuard>,
    on_report: &impl Fn(RelayReport),
) -> Result<(), RelayCallError> {
    let started_us = traffic.clock.now_us();
    let call = traffic.relays.call(&spec.relay, build_relay_call(spec, remaining_us)).await;
    let mut call = call.map_err(RelayCallError::Unreached)?;
    spec.request.mark_sent();
    while !pending_sends.is_empty() {
        let reply = call.next_reply().await.ok_or(RelayCallError::Ended)?;
        let elapsed_us = traffic.clock.now_us() - started_us;
        traffic.relays.record_reply(&spec.relay, traffic.clock.now_us());
        let mut parts = Vec::with_capacity(reply.parts.len());
        for part in reply.parts {
            let Some(guard) = pending_sends.swap_remove(&part.shard_index) else { continue };
            let (outcome, result, stamp) = interpret_part_outcome(part.outcome);
            let reported_load = part.reported_load.map(|requests| ReportedLoad {
                requests,
                // A node of another version may send what this one would not accept.
                work_time_percent: part.work_time_percent.filter(|percent| *percent > 0),
            });
            guard.finish(outcome, reported_load);
            spec.request.progress.record_result(result);
            if result == SendResult::Answered {
                traffic.quarantine.record_answer(&spec.request.fingerprints);
                traffic.record_latency(&spec.route, elapsed_us);
            }
            parts.push(RelayPartResult { shard: part.shard_index, result, stamp });
        }
        on_report(RelayReport::Replied { parts, records: Bytes::from(reply.record_batch) });
    }
    call.finish();
    Ok(())
}

/// Converts the outcome that a relay reports for a send into the outcome for the replica, the
/// result for the fetch, and the stamp of the replica if it answered.
fn interpret_part_outcome(
    part_outcome: RelayPartOutcome,
) -> (SendOutcome, SendResult, Option<EcoString>) {
    match part_outcome {
        RelayPartOutcome::Answered { stamp } => {
            (SendOutcome::Answered, SendResult::Answered, Some(stamp))
        }
        RelayPartOutcome::Faulty => (SendOutcome::Faulty, SendResult::MayHaveRun, None),
        RelayPartOutcome::NotRun => (SendOutcome::Refused, SendResult::NotRun, None),
        RelayPartOutcome::Misdirected => (SendOutcome::Misdirected, SendResult::Unsent, None),
        RelayPartOutcome::Unsent => (SendOutcome::Unreachable, SendResult::Unsent, None),
        RelayPartOutcome::Lost => (SendOutcome::Lost, SendResult::MayHaveRun, None),
        RelayPartOutcome::TimedOut => (SendOutcome::TimedOut, SendResult::MayHaveRun, None),
    }
}

fn build_relay_call(spec: &RelayCallSpec, remaining_us: u64) -> RelayCall {
    let request = &spec.request;
    let headers = request.headers.iter();
    let headers = headers.map(|(name, value)| (name.as_str().into(), value.as_bytes().to_vec()));
    let parts = spec.sends.iter();
    let parts = parts.map(|(shard, replica, _)| RelayPart {
        shard_index: *shard,
        replica_id: replica.id.clone(),
    });
    RelayCall {
        id: 0,
        attempt_id: request.attempt_id.clone(),
        route: spec.route.clone(),
        method: request.method.as_str().into(),
        uri: ecow::eco_format!("{}", request.uri),
        headers: headers.collect(),
        body: request.body.to_vec(),
        remaining_us,
        fingerprint: request.fingerprints.exact,
        top_k: spec.top_k,
        parts: parts.collect(),
    }
}
