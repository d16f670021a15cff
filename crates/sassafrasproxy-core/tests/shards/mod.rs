//! Plays queries over shards in virtual time: gateways with the real reducers, modelled replicas.

#![allow(dead_code, clippy::unwrap_used, reason = "each test file uses its part")]

mod upper_bound;
mod workload;

use std::collections::BTreeMap;
use std::sync::Arc;

use ecow::{EcoString, eco_format};
use indexmap::IndexMap;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp};
use sassafrasproxy_core::{
    Catalogue, CatalogueReplica, Fanout, Fetch, FetchPlan, FetchStep, GatherPlan, GatherStep,
    PoolSettings, RetryBudget, RetryBudgetPolicy, RouteLatencies, SendId, SendOutcome, SendResult,
    UpstreamPool, next_gather_step, select_shards,
};
use sassafrasproxy_wire::{ReplicaEntry, RoutedService};

pub use self::upper_bound::best_mean_scores;
pub use self::workload::{Fault, Outcome, QueryKind, Workload, default_workload};

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    ReachReplica(usize),
    FinishRun(usize),
    ReceiveAnswer(usize),
    Wake(usize),
}

struct Replica {
    id: EcoString,
    running: usize,
    waiting: Vec<usize>,
    fault: Option<Fault>,
    pause_phase_us: u64,
}

struct SimulatedSend {
    query: usize,
    shard: usize,
    replica: usize,
    send: SendId,
    sent_us: u64,
    end: Option<(SendOutcome, SendResult)>,
    reported: Option<u32>,
}

struct Query {
    kind: usize,
    node: usize,
    plan: GatherPlan,
    fetch_plan: FetchPlan,
    shards: Vec<(Fetch, bool, bool)>,
    started_us: u64,
    is_over: bool,
}

struct Node {
    pool: UpstreamPool,
    budget: RetryBudget,
    times: Vec<RouteLatencies>,
    domain: usize,
}

/// The whole play.
pub struct Simulation {
    workload: Workload,
    rng: StdRng,
    now_us: u64,
    next_event_id: u64,
    event_queue: BTreeMap<(u64, u64), Event>,
    replicas: Vec<Replica>,
    sends: Vec<SimulatedSend>,
    queries: Vec<Query>,
    nodes: Vec<Node>,
    pub outcomes: Vec<Outcome>,
}

/// One way within a failure domain, in microseconds.
const SAME_DOMAIN_US: u64 = 100;

/// By which part of a caller's round trip its answers come later on average: one in so many.
const ROUND_TRIP_JITTER_DIVISOR: f64 = 8.0;

/// Time before the measured part: latencies are learned in it.
const WARM_UP_US: u64 = 2_000_000;

/// Plays a load; returns what callers of each kind got after the first two seconds.
pub fn simulate(load: Workload) -> Vec<Outcome> {
    let mut play = Simulation::new(load);
    play.run();
    play.outcomes
}

impl Simulation {
    fn new(load: Workload) -> Self {
        let mut rng = StdRng::seed_from_u64(load.seed);
        let mut catalogue = Catalogue { version: 1, ..Catalogue::default() };
        let mut services = IndexMap::new();
        let mut replicas = Vec::new();
        for shard in 0..load.shards {
            let service: EcoString = eco_format!("shard-{shard}");
            services.insert(
                service.clone(),
                RoutedService {
                    health_path: "/health".into(),
                    max_connections: 26,
                    warmup_ms: 0,
                    warmup_per_s: None,
                },
            );
            for copy in 0..load.replicas_per_shard {
                let id: EcoString = eco_format!("r{shard}-{copy}");
                let entry = ReplicaEntry {
                    id: id.clone(),
                    born_ms: 1,
                    sequence: 1,
                    service: service.clone(),
                    version: "v1".into(),
                    address: "127.0.0.1:1".parse().unwrap(),
                    failure_domain: eco_format!("domain-{copy}"),
                    slots: load.slots as u32,
                    is_draining: false,
                    cold_for_ms: 0,
                };
                let replica = CatalogueReplica::eligible(entry, 0);
                catalogue.replicas.insert(id.clone(), replica);
                replicas.push(Replica {
                    id,
                    running: 0,
                    waiting: Vec::new(),
                    fault: load.faults.get(&(shard, copy)).copied(),
                    pause_phase_us: rng.random_range(0..load.pause_interval_us.max(1)),
                });
            }
        }
        catalogue.services = Arc::new(services);
        let policy = RetryBudgetPolicy { ratio: 0.2, fixed: 56.0, window_us: 10_000_000 };
        let nodes = (0..load.nodes).map(|node| {
            let domain = node % load.replicas_per_shard;
            let settings = PoolSettings {
                failure_domain: eco_format!("domain-{domain}"),
                warmup_factor: 1.5,
                warmup_slack: 5.0,
            };
            let mut pool = UpstreamPool::new(settings);
            pool.update(0, &catalogue, load.nodes);
            let times = load.query_kinds.iter().map(|_| RouteLatencies::default()).collect();
            Node { pool, budget: RetryBudget::new(policy, 0), times, domain }
        });
        let nodes = nodes.collect();
        let outcomes = load.query_kinds.iter().map(|_| Outcome::default()).collect();
        let mut play = Self {
            rng,
            now_us: 0,
            next_event_id: 0,
            event_queue: BTreeMap::new(),
            replicas,
            sends: Vec::new(),
            queries: Vec::new(),
            nodes,
            outcomes,
            workload: load,
        };
        for kind in 0..play.workload.query_kinds.len() {
            play.schedule_arrival(kind);
        }
        play
    }

    fn run(&mut self) {
        let end_us = self.workload.seconds * 1_000_000 + WARM_UP_US;
        while let Some(((at_us, _), event)) = self.event_queue.pop_first() {
            self.now_us = at_us;
            match event {
                Event::Arrive(kind) => {
                    if at_us < end_us {
                        self.start_query(kind);
                        self.schedule_arrival(kind);
                    }
                }
                Event::ReachReplica(send) => self.reach_replica(send),
                Event::FinishRun(send) => self.finish_run(send),
                Event::ReceiveAnswer(send) => self.receive_answer(send),
                Event::Wake(query) => self.advance_all(query),
            }
        }
    }

    fn schedule(&mut self, at_us: u64, event: Event) {
        self.next_event_id += 1;
        self.event_queue.insert((at_us, self.next_event_id), event);
    }

    fn schedule_arrival(&mut self, kind: usize) {
        let gap = Exp::new(self.workload.query_kinds[kind].per_s).unwrap().sample(&mut self.rng);
        self.schedule(self.now_us + (gap * 1e6) as u64, Event::Arrive(kind));
    }

    fn start_query(&mut self, kind: usize) {
        let node = self.rng.random_range(0..self.nodes.len());
        let spec = self.workload.query_kinds[kind].clone();
        let times = self.nodes[node].times[kind].send_timing(spec.goal_us, Fanout::Shards);
        let fetch_plan = FetchPlan {
            expected_us: times.expected_us,
            hedge_after_us: times.hedge_after_us,
            max_attempts: 2,
            is_idempotent: true,
            budget_shares: self.workload.nodes,
            route_class: 0,
        };
        let shards = self.workload.shards;
        let plan = GatherPlan {
            shards,
            min_parts: GatherPlan::min_parts(shards, spec.min_coverage),
            soft_deadline_us: match self.workload.caller_round_trip_us {
                0 => self.now_us + spec.goal_us,
                way_us => GatherPlan::soft_deadline_us(self.now_us, spec.goal_us, way_us, shards),
            },
            end_us: self.now_us + spec.timeout_us,
        };
        let budget = &mut self.nodes[node].budget;
        let fetches = (0..shards).map(|shard| {
            let service: EcoString = eco_format!("shard-{shard}");
            budget.record_request(&service, self.now_us);
            (Fetch::new(service), false, false)
        });
        let shards = fetches.collect();
        let query =
            Query { kind, node, plan, fetch_plan, shards, started_us: self.now_us, is_over: false };
        self.queries.push(query);
        if self.is_measured(self.queries.len() - 1) {
            self.outcomes[kind].queries += 1;
        }
        self.select_shards();
        self.advance_all(self.queries.len() - 1);
    }

    /// Plans which shards the newest query asks.
    fn select_shards(&mut self) {
        let query = self.queries.last_mut().unwrap();
        let pool = &mut self.nodes[query.node].pool;
        let expected_us = query.fetch_plan.expected_us;
        let services: Vec<EcoString> =
            query.shards.iter().map(|(fetch, _, _)| fetch.service().clone()).collect();
        let prospects: Vec<_> = services
            .iter()
            .map(|service| pool.forecast(service, self.now_us, expected_us))
            .collect();
        let asks = select_shards(&prospects, query.plan.min_parts);
        asks.skipped.into_iter().for_each(|shard| query.shards[shard].2 = true);
        for shard in asks.reserved {
            pool.reserve_replicas(&services[shard], self.now_us);
        }
    }

    fn is_measured(&self, query: usize) -> bool {
        self.queries[query].started_us >= WARM_UP_US
    }

    fn advance_all(&mut self, query: usize) {
        if self.queries[query].is_over {
            return;
        }
        let mut wake_us = u64::MAX;
        for shard in 0..self.workload.shards {
            wake_us = wake_us.min(self.advance(query, shard));
        }
        self.update_gather(query, wake_us);
    }

    /// Takes the next steps of one shard; returns when it wants another look.
    fn advance(&mut self, at: usize, shard: usize) -> u64 {
        loop {
            let query = &mut self.queries[at];
            let node = &mut self.nodes[query.node];
            let (fetch, is_in, is_missing) = &mut query.shards[shard];
            if *is_in || *is_missing {
                return u64::MAX;
            }
            match fetch.next(self.now_us, &query.fetch_plan, &mut node.pool, &mut node.budget) {
                FetchStep::Send { replica, send, cause } => {
                    let domain = node.domain;
                    let replica = self.replicas.iter().position(|one| one.id == replica).unwrap();
                    let is_near = replica % self.workload.replicas_per_shard == domain;
                    let way_us =
                        if is_near { SAME_DOMAIN_US } else { self.workload.cross_domain_us };
                    if self.is_measured(at) {
                        let outcome = &mut self.outcomes[self.queries[at].kind];
                        outcome.sends += 1;
                        let is_extra = cause != sassafrasproxy_core::SendCause::First;
                        outcome.extra_sends += usize::from(is_extra);
                    }
                    self.sends.push(SimulatedSend {
                        query: at,
                        shard,
                        replica,
                        send,
                        sent_us: self.now_us,
                        end: None,
                        reported: None,
                    });
                    self.schedule(self.now_us + way_us, Event::ReachReplica(self.sends.len() - 1));
                }
                FetchStep::Wait { until_us } => return until_us.unwrap_or(u64::MAX),
                FetchStep::Failed(_) => {
                    *is_missing = true;
                    return u64::MAX;
                }
            }
        }
    }

    fn reach_replica(&mut self, at: usize) {
        let send = &self.sends[at];
        let replica = &mut self.replicas[send.replica];
        match replica.fault {
            Some(Fault::Down) => {
                return self.send_answer(at, SendOutcome::Unreachable, SendResult::Unsent);
            }
            Some(Fault::Unresponsive) => {
                let query = &self.queries[send.query];
                let wait_us = query.plan.end_us.saturating_sub(self.now_us) + 50_000;
                self.sends[at].end = Some((SendOutcome::TimedOut, SendResult::MayHaveRun));
                return self.schedule(self.now_us + wait_us, Event::ReceiveAnswer(at));
            }
            Some(Fault::Slow(_) | Fault::Resets(_)) | None => {}
        }
        if replica.running < self.workload.slots {
            replica.running += 1;
            self.run_send(at);
        } else if replica.waiting.len() < self.workload.queue_limit {
            replica.waiting.push(at);
        } else {
            self.send_answer(at, SendOutcome::Refused, SendResult::NotRun);
        }
    }

    fn run_send(&mut self, at: usize) {
        let send = &self.sends[at];
        let kind = &self.workload.query_kinds[self.queries[send.query].kind];
        let replica = &self.replicas[send.replica];
        let phase_us = self.now_us + replica.pause_phase_us;
        let run_us = self.workload.draw_run_us(&mut self.rng, kind, replica.fault, phase_us);
        self.schedule(self.now_us + run_us, Event::FinishRun(at));
    }

    fn finish_run(&mut self, at: usize) {
        let replica = &mut self.replicas[self.sends[at].replica];
        replica.running -= 1;
        if !replica.waiting.is_empty() {
            let next = replica.waiting.remove(0);
            replica.running += 1;
            self.run_send(next);
        }
        let resets = match self.replicas[self.sends[at].replica].fault {
            Some(Fault::Resets(part)) => part,
            Some(Fault::Slow(_) | Fault::Down | Fault::Unresponsive) | None => 0.0,
        };
        if resets > 0.0 && self.rng.random_bool(resets) {
            return self.send_answer(at, SendOutcome::Lost, SendResult::MayHaveRun);
        }
        self.send_answer(at, SendOutcome::Answered, SendResult::Answered);
    }

    fn send_answer(&mut self, at: usize, outcome: SendOutcome, result: SendResult) {
        let send = &mut self.sends[at];
        let replica = &self.replicas[send.replica];
        send.end = Some((outcome, result));
        if !matches!(outcome, SendOutcome::Unreachable | SendOutcome::Lost) {
            send.reported = Some((replica.running + replica.waiting.len()) as u32);
        }
        let is_near = send.replica % self.workload.replicas_per_shard
            == self.nodes[self.queries[send.query].node].domain;
        let way_us = if is_near { SAME_DOMAIN_US } else { self.workload.cross_domain_us };
        self.schedule(self.now_us + way_us, Event::ReceiveAnswer(at));
    }

    fn receive_answer(&mut self, at: usize) {
        let send = &self.sends[at];
        let (outcome, result) = send.end.unwrap();
        let (query_at, shard) = (send.query, send.shard);
        let (kind, node) = (self.queries[query_at].kind, self.queries[query_at].node);
        let id = self.replicas[send.replica].id.clone();
        let node = &mut self.nodes[node];
        node.pool.finish_send(&id, send.send, self.now_us, outcome, send.reported);
        if outcome == SendOutcome::Answered {
            node.times[kind].record(self.now_us - send.sent_us);
        }
        let query = &mut self.queries[query_at];
        query.shards[shard].0.record_result(result);
        if query.is_over {
            return;
        }
        if result == SendResult::Answered {
            query.shards[shard].1 = true;
        }
        let wake_us = self.advance(query_at, shard);
        self.update_gather(query_at, wake_us);
    }

    fn update_gather(&mut self, at: usize, wake_us: u64) {
        let query = &mut self.queries[at];
        let parts = query.shards.iter().filter(|(_, is_in, _)| *is_in).count();
        let missing = query.shards.iter().filter(|(_, _, is_missing)| *is_missing).count();
        let pending = query.shards.len() - parts - missing;
        match next_gather_step(self.now_us, &query.plan, parts, pending) {
            GatherStep::Wait { until_us } => {
                let wake_us = wake_us.min(until_us).max(self.now_us + 1);
                self.schedule(wake_us, Event::Wake(at));
            }
            GatherStep::Answer => {
                query.is_over = true;
                let coverage = parts as f64 / query.shards.len() as f64;
                let kind = query.kind;
                let is_in_goal = match self.workload.caller_round_trip_us {
                    0 => self.now_us <= query.plan.soft_deadline_us + 1_000,
                    way_us => {
                        // Half of the way is gone, and an answer's way takes longer now and then.
                        let late: f64 =
                            Exp::new(ROUND_TRIP_JITTER_DIVISOR).unwrap().sample(&mut self.rng);
                        let way_us = (way_us as f64 * (1.0 + late)) as u64;
                        self.now_us + way_us
                            <= query.started_us + self.workload.query_kinds[kind].goal_us
                    }
                };
                if self.is_measured(at) && is_in_goal {
                    self.outcomes[kind].in_goal += 1;
                    self.outcomes[kind].score += coverage * coverage;
                }
            }
            GatherStep::GiveUp => {
                query.is_over = true;
                let kind = query.kind;
                if self.is_measured(at) {
                    self.outcomes[kind].failed += 1;
                }
            }
        }
    }
}
