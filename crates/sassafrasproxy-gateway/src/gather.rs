//! Serving a query that all shards of an index answer together.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use ecow::{EcoString, eco_format};
use indexmap::IndexMap;
use sassafrasproxy_core::{
    Admission, Fetch, FetchFailureReason, FetchPlan, FetchStep, GatherPlan, GatherStep, SendCause,
    SendId, ServiceForecast, US_PER_MS, admit, distribute_parts, merge_records,
    min_parts_usable_in_us, next_gather_step, retry_delay_ms, select_shards,
};
use sassafrasproxy_platform::CoverageSummary;
use sassafrasproxy_wire::{GatherTarget, ReplicaEntry, Route};
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::answer::{Answer, Refusal, merged_answer, refusal_answer};
use crate::relay_call::{RelayCallSpec, RelayPartResult, start_relay_call};
use crate::request::CallerRequest;
use crate::traffic::TrafficState;
use crate::upstream::{SendSpec, SendTasks, UpstreamResult, start_send};

/// From how many parts of one failure domain on a relay there is asked for them.
///
/// One part alone would cost the relay's time and save nothing.
const MIN_RELAYED_PARTS: usize = 2;

/// Records that came together: one part, or the merged parts of a relay's reply.
#[derive(Debug)]
struct RecordBatch {
    /// The shards that the records are of, each with its signature.
    stamps: Vec<(usize, EcoString)>,
    records: Bytes,
}

/// One shard of the query.
#[derive(Debug)]
struct Shard {
    fetch: Fetch,
    state: ShardState,
}

#[derive(Debug)]
enum ShardState {
    Pending,
    /// The part is in the unit with this number.
    Received(usize),
    Missing(FetchFailureReason),
}

/// A query under way.
struct GatherQuery<'a> {
    traffic: &'a Rc<TrafficState>,
    request: Rc<CallerRequest>,
    route: &'a Route,
    fetch_plan: FetchPlan,
    plan: GatherPlan,
    shards: Vec<Shard>,
    /// Every shard that is in belongs to one unit, and a merged unit to all of its shards.
    batches: Vec<RecordBatch>,
    sends: SendTasks,
    events: mpsc::UnboundedSender<GatherEvent>,
    /// First sends, held back until all shards have been looked at.
    deferred: Vec<DeferredSend>,
    top_k: usize,
}

/// Something that ended.
#[derive(Debug)]
enum GatherEvent {
    /// A send of this node's own.
    SendFinished(usize, UpstreamResult),
    /// Parts that a relay asked for.
    RelayReplied {
        /// How each shard's send ended.
        parts: Vec<RelayPartResult>,
        /// The records of the answered parts, merged.
        records: Bytes,
    },
}

/// A send to a replica that this node or another one makes.
#[derive(Debug)]
struct DeferredSend {
    shard: usize,
    replica: Arc<ReplicaEntry>,
    send_id: SendId,
}

/// Serves a query by all shards of its route.
pub async fn serve(
    traffic: &Rc<TrafficState>,
    request: Rc<CallerRequest>,
    route: &Route,
    target: &GatherTarget,
) -> Answer {
    loop {
        match admit_query(traffic, &request, route, target) {
            QueryAdmission::Now => break,
            QueryAdmission::Wait { until_us } => traffic.sleep_until(until_us).await,
            QueryAdmission::Refused(refusal) => return refusal,
        }
    }
    let left_out = choose_excluded_shards(traffic, &request, route, target);
    let (ends, mut ended) = mpsc::unbounded_channel();
    let mut gathering = GatherQuery::new(traffic, request, route, target, ends);
    gathering.exclude_shards(left_out);
    let mut wake_us = gathering.advance_all_shards();
    loop {
        let now_us = traffic.clock.now_us();
        match gathering.next_step(now_us) {
            GatherStep::Answer => return gathering.into_answer(),
            GatherStep::GiveUp => return gathering.into_refusal(now_us),
            GatherStep::Wait { until_us } => wake_us = wake_us.min(until_us),
        }
        let wait = Duration::from_micros(wake_us.saturating_sub(now_us));
        match timeout(wait, ended.recv()).await {
            Ok(Some(GatherEvent::SendFinished(shard, end))) => {
                gathering.handle_send_result(shard, end);
                wake_us = wake_us.min(gathering.advance_shard(shard));
                gathering.send_deferred();
            }
            Ok(Some(GatherEvent::RelayReplied { parts, records })) => {
                let shards = gathering.handle_relay_reply(parts, records);
                let wakes = shards.into_iter().map(|shard| gathering.advance_shard(shard));
                wake_us = wakes.min().unwrap_or(u64::MAX).min(wake_us);
                gathering.send_deferred();
            }
            Ok(None) | Err(_) => wake_us = gathering.advance_all_shards(),
        }
    }
}

/// Whether a query is served.
enum QueryAdmission {
    Now,
    Wait { until_us: u64 },
    Refused(Answer),
}

/// Refuses a query for which too few shards can be asked soon, before any replica works on it.
fn admit_query(
    traffic: &TrafficState,
    request: &CallerRequest,
    route: &Route,
    target: &GatherTarget,
) -> QueryAdmission {
    let now_us = traffic.clock.now_us();
    let min_parts = GatherPlan::min_parts(target.services.len(), target.min_coverage);
    let usable_in_us = usable_times_us(traffic, target.services.iter(), now_us);
    let soonest_us = min_parts_usable_in_us(&usable_in_us, min_parts);
    match admit(now_us, request.arrived_us, request.goal_deadline_us(route), soonest_us) {
        Admission::Admit => return QueryAdmission::Now,
        Admission::Wait { until_us } => return QueryAdmission::Wait { until_us },
        Admission::Refuse => {}
    }
    let usual_us = traffic.fetch_plan(route).expected_us;
    let retry_after_ms = retry_delay_ms(soonest_us, usual_us, &request.attempt_id);
    let request = &request.attempt_id;
    let away = usable_in_us.iter().filter(|time| **time != Some(0)).count();
    log::info!(request:%, away, retry_after_ms; "too few shards can be asked");
    QueryAdmission::Refused(refusal_answer(&traffic.metrics, Refusal::NotRun, Some(retry_after_ms)))
}

/// In how long each shard has a replica that may get work, in microseconds.
fn usable_times_us<'a>(
    traffic: &TrafficState,
    services: impl Iterator<Item = &'a EcoString>,
    now_us: u64,
) -> Vec<Option<u64>> {
    let pool = traffic.pool.borrow();
    services.map(|service| pool.usable_in_us(service, now_us)).collect()
}

/// The shards that a query leaves out, as other queries need their slow replicas more.
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
    let prospects: Vec<Option<ServiceForecast>> =
        services.map(|service| pool.forecast(service, now_us, expected_us)).collect();
    let asks = select_shards(&prospects, min_parts);
    for shard in asks.reserved {
        pool.reserve_replicas(&target.services[shard], now_us);
    }
    asks.skipped
}

impl<'a> GatherQuery<'a> {
    fn new(
        traffic: &'a Rc<TrafficState>,
        request: Rc<CallerRequest>,
        route: &'a Route,
        target: &GatherTarget,
        events: mpsc::UnboundedSender<GatherEvent>,
    ) -> Self {
        let way_us = traffic.caller_delays.borrow().round_trip_us();
        let shards = target.services.len();
        let goal_us = route.goal_ms * US_PER_MS;
        let plan = GatherPlan {
            shards,
            min_parts: GatherPlan::min_parts(shards, target.min_coverage),
            soft_deadline_us: GatherPlan::soft_deadline_us(
                request.started_us(),
                goal_us,
                way_us,
                shards,
            ),
            end_us: request.answer_deadline_us(route),
        };
        let mut budget = traffic.retry_budget.borrow_mut();
        let shards = target.services.iter().map(|service| {
            budget.record_request(service, request.arrived_us);
            Shard { fetch: Fetch::new(service.clone()), state: ShardState::Pending }
        });
        let shards = shards.collect();
        drop(budget);
        Self {
            traffic,
            fetch_plan: traffic.fetch_plan(route),
            request,
            route,
            plan,
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
        let count = |is: fn(&ShardState) -> bool| {
            self.shards.iter().filter(|shard| is(&shard.state)).count()
        };
        let parts = count(|state| matches!(state, ShardState::Received(_)));
        let pending = count(|state| matches!(state, ShardState::Pending));
        next_gather_step(now_us, &self.plan, parts, pending)
    }

    /// Takes the next step of every shard; returns when one wants another look.
    fn advance_all_shards(&mut self) -> u64 {
        let wake_us = (0..self.shards.len()).map(|shard| self.advance_shard(shard)).min();
        self.send_deferred();
        wake_us.unwrap_or(u64::MAX)
    }

    /// Takes the next steps of one shard; returns when it wants another look.
    fn advance_shard(&mut self, at: usize) -> u64 {
        loop {
            let shard = &mut self.shards[at];
            if !matches!(shard.state, ShardState::Pending) {
                return u64::MAX;
            }
            let step = {
                let traffic = self.traffic;
                let mut pool = traffic.pool.borrow_mut();
                let mut budget = traffic.retry_budget.borrow_mut();
                let now_us = traffic.clock.now_us();
                shard.fetch.next(now_us, &self.fetch_plan, &mut pool, &mut budget)
            };
            match step {
                FetchStep::Send { replica, send, cause } => {
                    self.traffic.count_send(cause);
                    let request = &self.request.attempt_id;
                    log::debug!(request:%, replica:%, cause:?; "a send starts");
                    self.start_or_defer_send(at, &replica, send, cause);
                }
                FetchStep::Wait { until_us } => return until_us.unwrap_or(u64::MAX),
                FetchStep::Failed(failure) => {
                    shard.state = ShardState::Missing(failure.reason);
                }
            }
        }
    }

    /// Sends to a replica, or holds a first send back.
    fn start_or_defer_send(
        &mut self,
        shard: usize,
        replica: &EcoString,
        send: SendId,
        cause: SendCause,
    ) {
        let entry = self.traffic.pool.borrow().entry(replica).cloned();
        let Some(replica) = entry else { return };
        let held = DeferredSend { shard, replica, send_id: send };
        match cause {
            SendCause::First => self.deferred.push(held),
            SendCause::Hedge | SendCause::Retry => self.send_directly(held),
        }
    }

    fn send_directly(&mut self, held: DeferredSend) {
        let spec = SendSpec {
            request: self.request.clone(),
            route: self.route.name.clone(),
            replica: held.replica,
            send_id: held.send_id,
            deadline_us: self.plan.end_us,
            is_fan_out: true,
            is_idempotent: true,
        };
        let (ends, shard) = (self.events.clone(), held.shard);
        let tell = move |end| {
            // The query may have been answered without this send.
            let _ = ends.send(GatherEvent::SendFinished(shard, end));
        };
        self.sends.push(start_send(self.traffic, spec, tell));
    }

    /// Sends what was held back, each failure domain's by nodes there as far as that helps.
    fn send_deferred(&mut self) {
        let mut by_domain: IndexMap<EcoString, Vec<DeferredSend>> = IndexMap::new();
        for held in std::mem::take(&mut self.deferred) {
            by_domain.entry(held.replica.failure_domain.clone()).or_default().push(held);
        }
        for (domain, sends) in by_domain {
            let is_own = domain == self.traffic.settings().failure_domain;
            if is_own {
                self.send_in_own_domain(&domain, sends);
            } else {
                self.send_to_remote_domain(&domain, sends);
            }
        }
    }

    /// Sends to replicas of this node's failure domain, by other nodes there what is too much for it.
    fn send_in_own_domain(&mut self, domain: &EcoString, mut sends: Vec<DeferredSend>) {
        let nodes = 1 + self.traffic.relays.relay_count(domain);
        let cpu_millis = self.traffic.relays.largest_cpu_millis(domain);
        let shares = distribute_parts(sends.len(), nodes, cpu_millis);
        let (own, others) = shares.split_at(1);
        let rest = sends.split_off(own[0]);
        // Other nodes first: they work while this one sends.
        self.send_through_relays(domain, rest, others);
        sends.into_iter().for_each(|held| self.send_directly(held));
    }

    /// Sends to replicas of another failure domain, by relays there.
    fn send_to_remote_domain(&mut self, domain: &EcoString, sends: Vec<DeferredSend>) {
        if sends.len() < MIN_RELAYED_PARTS {
            return sends.into_iter().for_each(|held| self.send_directly(held));
        }
        let relays = &self.traffic.relays;
        let shares = distribute_parts(
            sends.len(),
            relays.relay_count(domain),
            relays.largest_cpu_millis(domain),
        );
        self.send_through_relays(domain, sends, &shares);
    }

    /// Sends by one relay for each share; what no relay can be asked for goes directly.
    fn send_through_relays(
        &mut self,
        domain: &EcoString,
        sends: Vec<DeferredSend>,
        shares: &[usize],
    ) {
        let now_us = self.traffic.clock.now_us();
        let expected_us = self.fetch_plan.expected_us;
        let relays = self.traffic.relays.pick_relays(domain, now_us, expected_us, shares.len());
        let mut sends = sends.into_iter();
        for (relay, share) in relays.into_iter().zip(shares) {
            let part = sends.by_ref().take(*share).collect();
            self.send_through_relay(relay, part);
        }
        sends.for_each(|held| self.send_directly(held));
    }

    fn send_through_relay(&mut self, relay: EcoString, sends: Vec<DeferredSend>) {
        let spec = RelayCallSpec {
            request: self.request.clone(),
            route: self.route.name.clone(),
            relay,
            sends: sends.into_iter().map(|held| (held.shard, held.replica, held.send_id)).collect(),
            top_k: self.top_k,
            deadline_us: self.plan.end_us,
            expected_us: self.fetch_plan.expected_us,
            stall_after_us: self.fetch_plan.hedge_after_us,
        };
        let ends = self.events.clone();
        let tell = move |parts, records| {
            let _ = ends.send(GatherEvent::RelayReplied { parts, records });
        };
        self.sends.push(start_relay_call(self.traffic, spec, tell));
    }

    /// Takes the end of a send of this node's own in.
    fn handle_send_result(&mut self, at: usize, end: UpstreamResult) {
        self.shards[at].fetch.record_result(end.try_result());
        let UpstreamResult::Answered(answer) = end else { return };
        let Some(stamp) = answer.head.stamp.filter(|_| answer.status.is_success()) else { return };
        // Two parts with one signature would make the whole answer wrong.
        if matches!(self.shards[at].state, ShardState::Pending) && !self.has_stamp(&stamp) {
            self.add_batch(RecordBatch { stamps: vec![(at, stamp)], records: answer.body });
        }
    }

    /// Takes parts that a relay asked for in; returns their shards.
    ///
    /// Their records are merged, so they are in all together or not at all. A part of one of
    /// their shards that a second send brought meanwhile gives way.
    fn handle_relay_reply(&mut self, parts: Vec<RelayPartResult>, records: Bytes) -> Vec<usize> {
        let shards = parts.iter().map(|part| part.shard).collect();
        let mut stamps = Vec::with_capacity(parts.len());
        for part in parts {
            self.shards[part.shard].fetch.record_result(part.result);
            stamps.extend(part.stamp.map(|stamp| (part.shard, stamp)));
        }
        let is_fresh = stamps.iter().all(|(shard, stamp)| {
            let is_alone = match self.shards[*shard].state {
                ShardState::Received(unit) => self.batches[unit].stamps.len() == 1,
                ShardState::Pending | ShardState::Missing(_) => true,
            };
            is_alone && !self.has_stamp(stamp)
        });
        if is_fresh && !stamps.is_empty() {
            self.add_batch(RecordBatch { stamps, records });
        }
        shards
    }

    fn has_stamp(&self, stamp: &EcoString) -> bool {
        self.batches.iter().flat_map(|unit| &unit.stamps).any(|(_, known)| known == stamp)
    }

    fn add_batch(&mut self, unit: RecordBatch) {
        for (shard, _) in &unit.stamps {
            self.shards[*shard].state = ShardState::Received(self.batches.len());
        }
        self.batches.push(unit);
    }

    /// Logs which shards are left out and why; one line for each answer that leaves some out.
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
                ShardState::Missing(end) => {
                    let (service, last) = (shard.fetch.service(), shard.fetch.last_replica());
                    Some(eco_format!("{service}: {end:?} after {last}"))
                }
            })
            .collect();
        if !reasons.is_empty() {
            let request = &self.request.attempt_id;
            log::info!(request:%, shards = reasons.join(", ").as_str(); "shards are left out");
        }
    }

    /// The answer with the parts that are in.
    fn into_answer(mut self) -> Answer {
        self.sends.detach();
        self.log_missing_shards();
        let is_in = |at: usize, unit: usize| matches!(self.shards[at].state, ShardState::Received(known) if known == unit);
        let mut summary = CoverageSummary::default();
        let mut bodies: Vec<&[u8]> = Vec::with_capacity(self.batches.len());
        for (number, unit) in self.batches.iter().enumerate() {
            if unit.stamps.iter().all(|(shard, _)| is_in(*shard, number)) {
                summary.stamps.extend(unit.stamps.iter().map(|(_, stamp)| stamp.clone()));
                bodies.push(&unit.records);
            }
        }
        summary.missing_shard_count = self.shards.len() - summary.stamps.len();
        self.traffic.metrics.missing_parts.inc_by(summary.missing_shard_count as u64);
        merged_answer(merge_records(bodies, self.top_k), &summary)
    }

    /// The refusal of a query that cannot reach its least coverage any more.
    fn into_refusal(mut self, now_us: u64) -> Answer {
        self.sends.detach();
        self.log_missing_shards();
        let has_run = self.shards.iter().any(|shard| shard.fetch.may_have_run());
        let refusal = match (has_run, now_us >= self.plan.end_us) {
            (false, _) => Refusal::NotRun,
            (true, true) => Refusal::TimedOut,
            (true, false) => Refusal::Lost,
        };
        let services = self.shards.iter().map(|shard| shard.fetch.service());
        let usable_in_us = usable_times_us(self.traffic, services, now_us);
        let soonest_us = min_parts_usable_in_us(&usable_in_us, self.plan.min_parts);
        let usual_us = self.fetch_plan.expected_us;
        let retry_after_ms = retry_delay_ms(soonest_us, usual_us, &self.request.attempt_id);
        refusal_answer(&self.traffic.metrics, refusal, Some(retry_after_ms))
    }
}
