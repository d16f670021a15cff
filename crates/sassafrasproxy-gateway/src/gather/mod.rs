//! Serves a query over all shards of an index and merges their parts.

mod sends;

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use ecow::{EcoString, eco_format};
use sassafrasproxy_core::{
    Fetch, FetchFailureReason, FetchPlan, FetchStep, GatherPlan, GatherStep, SendResult,
    ServiceForecast, US_PER_MS, merge_records, next_gather_step, select_shards,
};
use sassafrasproxy_platform::CoverageSummary;
use sassafrasproxy_wire::{GatherTarget, Route};
use tokio::sync::mpsc;
use tokio::time::timeout;

use self::sends::DeferredSend;
use crate::admission::{self, NeededReplicas};
use crate::answer::{Answer, Refusal, merged_answer, refusal_answer};
use crate::relay_call::{RelayPartResult, RelayReport};
use crate::request::CallerRequest;
use crate::traffic::TrafficState;
use crate::upstream::{SendTasks, UpstreamResult};

/// Records that arrived together: one part, or the merged parts of a relay reply.
#[derive(Debug)]
struct RecordBatch {
    /// The shards that the records come from, each with the stamp of its replica.
    stamps: Vec<(usize, EcoString)>,
    records: Bytes,
}

/// A shard of the query with the progress of its fetch.
#[derive(Debug)]
struct Shard {
    fetch: Fetch,
    state: ShardState,
    /// Whether a relay has failed, so that this node sends to the replicas itself.
    skips_relays: bool,
}

#[derive(Debug)]
enum ShardState {
    Pending,
    /// The part is in the batch with this index.
    Received(usize),
    Missing(FetchFailureReason),
}

/// A query in progress.
struct GatherQuery<'a> {
    traffic: &'a Rc<TrafficState>,
    request: Rc<CallerRequest>,
    route: &'a Route,
    fetch_plan: FetchPlan,
    plan: GatherPlan,
    /// The minimum number of parts in an answer; more than the plan waits for if this is a trial.
    required_parts: usize,
    shards: Vec<Shard>,
    /// The received batches, also those that a relay reply has replaced.
    ///
    /// A batch is part of the answer only if the state of each of its shards refers to it.
    batches: Vec<RecordBatch>,
    sends: SendTasks,
    events: mpsc::UnboundedSender<GatherEvent>,
    /// First sends, deferred until the shards are advanced, to group them by failure domain.
    deferred: Vec<DeferredSend>,
    top_k: usize,
}

/// An event of a send or a relay call of the query.
#[derive(Debug)]
enum GatherEvent {
    /// A send that this node made for a shard has ended.
    SendFinished(usize, UpstreamResult),
    /// A relay call has reported on some of its sends.
    RelayReported(RelayReport),
}

/// Serves a query with parts from the shards of its route.
pub async fn serve(
    traffic: &Rc<TrafficState>,
    request: Rc<CallerRequest>,
    route: &Route,
    target: &GatherTarget,
) -> Answer {
    let replicas = NeededReplicas::of_query(route, target);
    let usable_in_us = replicas.usable_in_us(traffic);
    let entered = admission::enter(traffic, &request, route, replicas.clone(), usable_in_us).await;
    let _admitted = match entered {
        Ok(admitted) => admitted,
        Err(refusal) => {
            return admission::build_refusal(traffic, &request, route, &replicas, refusal);
        }
    };
    let excluded = match request.progress.is_trial() {
        true => all_shards_but_one(target.services.len()),
        false => choose_excluded_shards(traffic, &request, route, target),
    };
    let (event_sender, mut events) = mpsc::unbounded_channel();
    let mut query = GatherQuery::new(traffic, request, route, target, event_sender);
    query.exclude_shards(excluded);
    let mut wake_us = query.advance_all_shards();
    loop {
        let now_us = traffic.clock.now_us();
        match query.next_step(now_us) {
            GatherStep::Answer if query.has_enough_parts() => return query.into_answer(),
            GatherStep::Answer => return query.into_refusal(now_us, &replicas),
            GatherStep::GiveUp => return query.into_refusal(now_us, &replicas),
            GatherStep::Wait { until_us } => wake_us = wake_us.min(until_us),
        }
        let wait = Duration::from_micros(wake_us.saturating_sub(now_us));
        match timeout(wait, events.recv()).await {
            Ok(Some(GatherEvent::SendFinished(shard, result))) => {
                query.handle_send_result(shard, result);
                wake_us = wake_us.min(query.advance_shard(shard));
                query.send_deferred();
            }
            Ok(Some(GatherEvent::RelayReported(report))) => {
                let shards = match report {
                    RelayReport::Replied { parts, records } => {
                        query.handle_relay_reply(parts, records)
                    }
                    RelayReport::Failed { sends, result } => {
                        query.handle_relay_failure(sends, result)
                    }
                };
                let wake_times = shards.into_iter().map(|shard| query.advance_shard(shard));
                wake_us = wake_times.min().unwrap_or(u64::MAX).min(wake_us);
                query.send_deferred();
            }
            Ok(None) | Err(_) => wake_us = query.advance_all_shards(),
        }
    }
}

/// Returns all shards but a random one, to which the trial of a quarantined query is sent.
fn all_shards_but_one(shards: usize) -> Vec<usize> {
    let kept = rand::random_range(0..shards.max(1));
    (0..shards).filter(|shard| *shard != kept).collect()
}

/// Returns the shards to exclude, so that their slow replicas serve queries that need them more.
///
/// If the query needs a shard with only slow replicas, it reserves the replicas of all such shards.
fn choose_excluded_shards(
    traffic: &TrafficState,
    request: &CallerRequest,
    route: &Route,
    target: &GatherTarget,
) -> Vec<usize> {
    let now_us = request.arrived_us;
    let expected_us = traffic.fetch_plan(route).expected_us;
    let min_parts = GatherPlan::min_parts(target.services.len(), target.min_coverage);
    let mut pool = traffic.pool.borrow_mut();
    let services = target.services.iter();
    let forecasts: Vec<Option<ServiceForecast>> =
        services.map(|service| pool.forecast(service, now_us, expected_us)).collect();
    let selection = select_shards(&forecasts, min_parts);
    for shard in selection.reserved {
        pool.reserve_replicas(&target.services[shard], now_us);
    }
    selection.excluded
}

impl<'a> GatherQuery<'a> {
    fn new(
        traffic: &'a Rc<TrafficState>,
        request: Rc<CallerRequest>,
        route: &'a Route,
        target: &GatherTarget,
        events: mpsc::UnboundedSender<GatherEvent>,
    ) -> Self {
        let caller_round_trip_us = traffic.caller_delays.borrow().round_trip_us();
        let shards = target.services.len();
        let goal_us = route.goal_ms * US_PER_MS;
        let required_parts = GatherPlan::min_parts(shards, target.min_coverage);
        let plan = GatherPlan {
            shards,
            // A trial waits for its only part, although that makes no answer.
            min_parts: if request.progress.is_trial() { 1 } else { required_parts },
            soft_deadline_us: GatherPlan::soft_deadline_us(
                request.started_us(),
                goal_us,
                caller_round_trip_us,
                shards,
            ),
            deadline_us: request.answer_deadline_us(route),
        };
        let mut budget = traffic.retry_budget.borrow_mut();
        let shards = target.services.iter().map(|service| {
            budget.record_request(service, request.arrived_us);
            Shard {
                fetch: Fetch::new(service.clone()),
                state: ShardState::Pending,
                skips_relays: false,
            }
        });
        let shards = shards.collect();
        drop(budget);
        Self {
            traffic,
            fetch_plan: traffic.fetch_plan(route),
            request,
            route,
            plan,
            required_parts,
            shards,
            batches: Vec::new(),
            sends: SendTasks::default(),
            events,
            deferred: Vec::new(),
            top_k: target.top_k,
        }
    }

    fn exclude_shards(&mut self, shards: Vec<usize>) {
        for shard in shards {
            self.shards[shard].state = ShardState::Missing(FetchFailureReason::TooSlow);
        }
    }

    fn next_step(&self, now_us: u64) -> GatherStep {
        let parts = self.count_shards(|state| matches!(state, ShardState::Received(_)));
        let pending = self.count_shards(|state| matches!(state, ShardState::Pending));
        next_gather_step(now_us, &self.plan, parts, pending)
    }

    fn has_enough_parts(&self) -> bool {
        let parts = self.count_shards(|state| matches!(state, ShardState::Received(_)));
        parts >= self.required_parts
    }

    fn count_shards(&self, predicate: fn(&ShardState) -> bool) -> usize {
        self.shards.iter().filter(|shard| predicate(&shard.state)).count()
    }

    /// Advances every shard, then makes the deferred sends.
    ///
    /// Returns the time at which to advance the first of them again, in microseconds.
    fn advance_all_shards(&mut self) -> u64 {
        let wake_us = (0..self.shards.len()).map(|shard| self.advance_shard(shard)).min();
        self.send_deferred();
        wake_us.unwrap_or(u64::MAX)
    }

    /// Advances the fetch of one shard; returns the time at which to advance it again, in
    /// microseconds, or `u64::MAX` if only another event can advance it.
    fn advance_shard(&mut self, index: usize) -> u64 {
        loop {
            let shard = &mut self.shards[index];
            if !matches!(shard.state, ShardState::Pending) {
                return u64::MAX;
            }
            let step = {
                let traffic = self.traffic;
                let mut pool = traffic.pool.borrow_mut();
                let mut budget = traffic.retry_budget.borrow_mut();
                let now_us = traffic.clock.now_us();
                self.fetch_plan.extra_sends = traffic.admission.extra_sends(now_us);
                traffic.limit_attempts(&self.request, &mut self.fetch_plan);
                shard.fetch.next(now_us, &self.fetch_plan, &mut pool, &mut budget)
            };
            match step {
                FetchStep::Send { replica, send_id, cause } => {
                    self.traffic.count_send(cause);
                    let request = &self.request.attempt_id;
                    log::debug!(request:%, replica:%, cause:?; "starting a send to a replica");
                    self.start_or_defer_send(index, &replica, send_id, cause);
                }
                FetchStep::Wait { until_us } => return until_us.unwrap_or(u64::MAX),
                FetchStep::Failed(failure) => {
                    shard.state = ShardState::Missing(failure.reason);
                }
            }
        }
    }

    /// Records the result of a send that this node made.
    fn handle_send_result(&mut self, index: usize, result: UpstreamResult) {
        self.shards[index].fetch.record_result(result.send_result());
        let UpstreamResult::Answered(answer) = result else { return };
        let Some(stamp) = answer.head.stamp.filter(|_| answer.status.is_success()) else { return };
        // Two parts with the same stamp would make the whole answer wrong.
        if matches!(self.shards[index].state, ShardState::Pending) && !self.has_stamp(&stamp) {
            self.add_batch(RecordBatch { stamps: vec![(index, stamp)], records: answer.body });
        }
    }

    /// Records the parts that a relay call reported; returns their shards.
    ///
    /// The records are merged, so either all answered parts are used or none. If a hedge or retry
    /// has delivered the part of one of these shards in the meantime, the relayed part replaces it.
    fn handle_relay_reply(&mut self, parts: Vec<RelayPartResult>, records: Bytes) -> Vec<usize> {
        let shards = parts.iter().map(|part| part.shard).collect();
        let mut stamps = Vec::with_capacity(parts.len());
        for part in parts {
            self.shards[part.shard].fetch.record_result(part.result);
            stamps.extend(part.stamp.map(|stamp| (part.shard, stamp)));
        }
        let is_usable = stamps.iter().all(|(shard, stamp)| {
            let is_alone = match self.shards[*shard].state {
                ShardState::Received(batch) => self.batches[batch].stamps.len() == 1,
                ShardState::Pending | ShardState::Missing(_) => true,
            };
            is_alone && !self.has_stamp(stamp)
        });
        if is_usable && !stamps.is_empty() {
            self.add_batch(RecordBatch { stamps, records });
        }
        shards
    }

    /// Records the sends that a failed relay has not reported; returns their shards.
    fn handle_relay_failure(
        &mut self,
        sends: Vec<(usize, EcoString)>,
        result: SendResult,
    ) -> Vec<usize> {
        let shards = sends.iter().map(|(shard, _)| *shard).collect();
        for (shard, replica) in sends {
            self.shards[shard].fetch.record_relay_failure(&replica, result);
            self.shards[shard].skips_relays = true;
        }
        shards
    }

    fn has_stamp(&self, stamp: &EcoString) -> bool {
        self.batches.iter().flat_map(|batch| &batch.stamps).any(|(_, received)| received == stamp)
    }

    fn add_batch(&mut self, batch: RecordBatch) {
        for (shard, _) in &batch.stamps {
            self.shards[*shard].state = ShardState::Received(self.batches.len());
        }
        self.batches.push(batch);
    }

    /// Logs which shards are missing and why, in one line per query.
    fn log_missing_shards(&self) {
        let reasons: Vec<EcoString> = self
            .shards
            .iter()
            .filter_map(|shard| match &shard.state {
                ShardState::Received(_) => None,
                ShardState::Pending => Some(eco_format!(
                    "{}: late at {}",
                    shard.fetch.service(),
                    shard.fetch.last_replica()
                )),
                ShardState::Missing(reason) => {
                    let (service, last) = (shard.fetch.service(), shard.fetch.last_replica());
                    Some(eco_format!("{service}: {reason:?} after {last}"))
                }
            })
            .collect();
        if !reasons.is_empty() {
            let request = &self.request.attempt_id;
            log::info!(request:%, shards = reasons.join(", ").as_str(); "shards are left out");
        }
    }

    /// Returns the answer merged from the received parts.
    fn into_answer(mut self) -> Answer {
        self.sends.detach();
        self.log_missing_shards();
        let is_in = |shard: usize, batch: usize| matches!(self.shards[shard].state, ShardState::Received(index) if index == batch);
        let mut summary = CoverageSummary::default();
        let mut bodies: Vec<&[u8]> = Vec::with_capacity(self.batches.len());
        for (index, batch) in self.batches.iter().enumerate() {
            if batch.stamps.iter().all(|(shard, _)| is_in(*shard, index)) {
                summary.stamps.extend(batch.stamps.iter().map(|(_, stamp)| stamp.clone()));
                bodies.push(&batch.records);
            }
        }
        summary.missing_shard_count = self.shards.len() - summary.stamps.len();
        self.traffic.metrics.missing_parts.inc_by(summary.missing_shard_count as u64);
        merged_answer(merge_records(bodies, self.top_k), &summary)
    }

    /// Returns the refusal of a query that can no longer reach its minimum coverage.
    fn into_refusal(mut self, now_us: u64, replicas: &NeededReplicas) -> Answer {
        self.sends.detach();
        self.log_missing_shards();
        let has_run = self.shards.iter().any(|shard| shard.fetch.may_have_run());
        let refusal = match (has_run, now_us >= self.plan.deadline_us) {
            (false, _) => Refusal::NotRun,
            (true, true) => Refusal::TimedOut,
            (true, false) => Refusal::Lost,
        };
        let usable_in_us = replicas.usable_in_us(self.traffic);
        let expected_us = self.fetch_plan.expected_us;
        let retry_after_ms =
            admission::retry_after_ms(self.traffic, &self.request, usable_in_us, expected_us);
        refusal_answer(&self.traffic.metrics, refusal, Some(retry_after_ms))
    }
}
