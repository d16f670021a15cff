//! Serving a query that all shards of an index answer together.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use ecow::{EcoString, eco_format};
use sassafrasproxy_core::{
    Fetch, FetchEnd, FetchPlan, FetchStep, GatherPlan, GatherStep, merge_records, next_gather_step,
};
use sassafrasproxy_platform::PartSummary;
use sassafrasproxy_wire::{GatherTarget, Route};
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::answer::{Answer, Refusal, merged, refuse};
use crate::request::CallerRequest;
use crate::traffic::Traffic;
use crate::upstream::{SendEnd, SendSpec, Sends, UpstreamAnswer, is_failure, start_send};

/// What is kept of the latency goal for sending the answer, in microseconds: timers fire up to a
/// millisecond late.
const SEND_US: u64 = 1_500;

/// What is kept for each shard besides: parts that came at the same time are read first.
///
/// Reading a part takes some 25 us of a core, 50 us on half of one.
const PART_US: u64 = 50;

/// When a query of which too many shards were away may come back, in milliseconds.
const RETRY_AFTER_MS: u64 = 150;

/// One shard's part.
#[derive(Debug)]
struct Part {
    stamp: EcoString,
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
    In(Part),
    Missing(FetchEnd),
}

/// A query under way.
struct Gathering<'a> {
    traffic: &'a Rc<Traffic>,
    request: Rc<CallerRequest>,
    route: &'a Route,
    fetch_plan: FetchPlan,
    plan: GatherPlan,
    shards: Vec<Shard>,
    sends: Sends,
    ends: mpsc::UnboundedSender<(usize, SendEnd)>,
}

/// Serves a query by all shards of its route.
pub async fn serve(
    traffic: &Rc<Traffic>,
    request: Rc<CallerRequest>,
    route: &Route,
    target: &GatherTarget,
) -> Answer {
    let (ends, mut ended) = mpsc::unbounded_channel();
    let mut gathering = Gathering::new(traffic, request, route, target, ends);
    let mut wake_us = gathering.advance_all();
    loop {
        let now_us = traffic.clock.now_us();
        match gathering.next(now_us) {
            GatherStep::Answer => return gathering.answer(target.top_k),
            GatherStep::GiveUp => return gathering.give_up(now_us),
            GatherStep::Wait { until_us } => wake_us = wake_us.min(until_us),
        }
        let wait = Duration::from_micros(wake_us.saturating_sub(now_us));
        match timeout(wait, ended.recv()).await {
            Ok(Some((shard, end))) => {
                gathering.take(shard, end);
                wake_us = wake_us.min(gathering.advance(shard));
            }
            Ok(None) | Err(_) => wake_us = gathering.advance_all(),
        }
    }
}

impl<'a> Gathering<'a> {
    fn new(
        traffic: &'a Rc<Traffic>,
        request: Rc<CallerRequest>,
        route: &'a Route,
        target: &GatherTarget,
        ends: mpsc::UnboundedSender<(usize, SendEnd)>,
    ) -> Self {
        let way_us = traffic.delays.borrow().round_trip_us();
        let reserve_us = SEND_US + PART_US * target.services.len() as u64;
        let plan = GatherPlan {
            shards: target.services.len(),
            min_parts: GatherPlan::min_parts(target.services.len(), target.min_coverage),
            stop_us: request.goal_us(route, way_us).saturating_sub(reserve_us),
            end_us: request.end_us(route),
        };
        let mut budget = traffic.budget.borrow_mut();
        let shards = target.services.iter().map(|service| {
            budget.note_request(service, request.arrived_us);
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
            sends: Sends::default(),
            ends,
        }
    }

    fn next(&self, now_us: u64) -> GatherStep {
        let count = |is: fn(&ShardState) -> bool| {
            self.shards.iter().filter(|shard| is(&shard.state)).count()
        };
        let parts = count(|state| matches!(state, ShardState::In(_)));
        let pending = count(|state| matches!(state, ShardState::Pending));
        next_gather_step(now_us, &self.plan, parts, pending)
    }

    /// Takes the next step of every shard; returns when one wants another look.
    fn advance_all(&mut self) -> u64 {
        (0..self.shards.len()).map(|shard| self.advance(shard)).min().unwrap_or(u64::MAX)
    }

    /// Takes the next steps of one shard; returns when it wants another look.
    fn advance(&mut self, at: usize) -> u64 {
        loop {
            let shard = &mut self.shards[at];
            if !matches!(shard.state, ShardState::Pending) {
                return u64::MAX;
            }
            let step = {
                let traffic = self.traffic;
                let mut pool = traffic.pool.borrow_mut();
                let mut budget = traffic.budget.borrow_mut();
                let now_us = traffic.clock.now_us();
                shard.fetch.next(now_us, &self.fetch_plan, &mut pool, &mut budget)
            };
            match step {
                FetchStep::Send { replica, send, cause } => {
                    self.traffic.count_send(cause);
                    log::debug!(request:% = self.request.attempt_id, replica:%, cause:?; "a send starts");
                    self.send(at, &replica, send);
                }
                FetchStep::Wait { until_us } => return until_us.unwrap_or(u64::MAX),
                FetchStep::Failed(failure) => {
                    shard.state = ShardState::Missing(failure.end);
                }
            }
        }
    }

    fn send(&mut self, shard: usize, replica: &EcoString, send: sassafrasproxy_core::SendId) {
        let entry = self.traffic.pool.borrow().entry(replica).cloned();
        let Some(replica) = entry else { return };
        let spec = SendSpec {
            fetch: shard,
            request: self.request.clone(),
            route: self.route.name.clone(),
            replica,
            send,
            end_us: self.plan.end_us,
        };
        self.sends.push(start_send(self.traffic, spec, self.ends.clone()));
    }

    /// Takes the end of a send in.
    fn take(&mut self, at: usize, end: SendEnd) {
        let result = end.try_result();
        let part = match end {
            SendEnd::Answered(answer) if !is_failure(answer.status) => part(answer),
            _ => None,
        };
        let is_known = |stamp: &EcoString| {
            self.shards
                .iter()
                .any(|shard| matches!(&shard.state, ShardState::In(part) if part.stamp == *stamp))
        };
        // Two parts with one signature would make the whole answer wrong.
        let part = part.filter(|part| !is_known(&part.stamp));
        let shard = &mut self.shards[at];
        shard.fetch.note(result);
        if let (ShardState::Pending, Some(part)) = (&shard.state, part) {
            shard.state = ShardState::In(part);
        }
    }

    /// Logs which shards are left out and why; one line for each answer that leaves some out.
    fn note_missing(&self) {
        let reasons: Vec<EcoString> = self
            .shards
            .iter()
            .filter_map(|shard| match &shard.state {
                ShardState::In(_) => None,
                ShardState::Pending => {
                    Some(eco_format!("{}: late at {}", shard.fetch.service(), shard.fetch.last()))
                }
                ShardState::Missing(end) => {
                    let (service, last) = (shard.fetch.service(), shard.fetch.last());
                    Some(eco_format!("{service}: {end:?} after {last}"))
                }
            })
            .collect();
        if !reasons.is_empty() {
            let request = &self.request.attempt_id;
            log::info!(request:%, shards = reasons.join(", ").as_str(); "shards are left out");
        }
    }

    fn answer(mut self, top_k: usize) -> Answer {
        self.sends.detach();
        self.note_missing();
        let mut summary = PartSummary::default();
        let mut bodies: Vec<&[u8]> = Vec::with_capacity(self.shards.len());
        for shard in &self.shards {
            match &shard.state {
                ShardState::In(part) => {
                    summary.stamps.push(part.stamp.clone());
                    bodies.push(&part.records);
                }
                ShardState::Pending | ShardState::Missing(_) => summary.missing_count += 1,
            }
        }
        self.traffic.metrics.missing_parts.inc_by(summary.missing_count as u64);
        merged(merge_records(bodies, top_k), &summary)
    }

    fn give_up(mut self, now_us: u64) -> Answer {
        self.sends.detach();
        self.note_missing();
        let has_run = self.shards.iter().any(|shard| shard.fetch.may_have_run());
        let refusal = match (has_run, now_us >= self.plan.end_us) {
            (false, _) => Refusal::NotRun,
            (true, true) => Refusal::TimedOut,
            (true, false) => Refusal::Lost,
        };
        refuse(&self.traffic.metrics, refusal, Some(RETRY_AFTER_MS))
    }
}

/// The part that a success makes.
fn part(answer: UpstreamAnswer) -> Option<Part> {
    if !answer.status.is_success() {
        return None;
    }
    Some(Part { stamp: answer.head.stamp?, records: answer.body })
}
