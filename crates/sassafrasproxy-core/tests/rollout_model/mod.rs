//! Simulates rollouts in virtual time: nodes with the production state machines, and a modelled
//! store and modelled replicas of two versions.

#![allow(dead_code, clippy::unwrap_used, reason = "each user of the module uses only some items")]

use std::collections::BTreeMap;

use ecow::{EcoString, eco_format};
use indexmap::IndexMap;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp};
use sassafrasproxy_core::{
    Discovery, DiscoveryEvent, PoolSettings, RegistryEntry, ReportThrottle, RolloutCoordinator,
    RolloutEffect, RolloutOrder, RolloutPhase, RolloutPolicy, RolloutRecord, SendId, SendOutcome,
    UpstreamPool,
};
use sassafrasproxy_wire::{CallerLimits, ReplicaEntry, RouteConfiguration, RoutedService};

use crate::nodes::{Fleet, SECOND_US, node_name};

/// The step of the virtual time, in microseconds.
const STEP_US: u64 = 10_000;

/// The interval at which nodes send reports and coordinators run, in microseconds.
const REPORT_INTERVAL_US: u64 = 250_000;

/// The time that the fleet runs before the simulation starts, in microseconds, so that the nodes
/// have discovered each other.
const WARM_UP_US: u64 = 5 * SECOND_US;

/// The time that the simulation continues after the period, in microseconds.
const RUN_AFTER_PERIOD_US: u64 = 8 * SECOND_US;

/// The typical time that a replica takes for a request, in microseconds.
const WORK_US: f64 = 40_000.0;

/// The maximum time that a change in the store takes to reach a node, in microseconds.
const MAX_WATCH_DELAY_US: u64 = 400_000;

/// The number of routes to the service.
const ROUTES: u8 = 3;

/// The behavior of the new version.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum VersionBehavior {
    Good,
    /// It fails a share of its requests, from `from_us` microseconds after the order.
    Fails {
        share: f64,
        from_us: u64,
    },
    /// It is slower by a factor, from `from_us` microseconds after the order.
    Slow {
        factor: f64,
        from_us: u64,
    },
    /// It fails a share of the requests that a replica runs concurrently with others.
    FailsUnderLoad {
        share: f64,
    },
    /// It fails a share of one route's requests.
    FailsOneRoute {
        share: f64,
    },
}

/// A fault that is unrelated to the new version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    None,
    /// One replica of the new version fails two in five requests.
    OneNewReplicaFails,
    /// One replica of the old version fails two in five requests.
    OneOldReplicaFails,
    /// A share of the answers of all replicas is lost.
    ReplicaAnswersLost,
    /// The store is unavailable for a while.
    StoreDown,
    /// The store loses a share of the writes without an answer.
    StoreAnswersLost,
    /// The coordinator is killed.
    CoordinatorKilled,
    /// The store rejects a third of the nodes.
    StoreRejectsNodes,
    /// All replicas pause from time to time.
    ReplicaPauses,
}

/// The parameters of a simulation.
#[derive(Debug, Clone)]
pub struct Scenario {
    pub nodes: usize,
    /// The number of nodes that callers are sent to.
    pub ingress_nodes: usize,
    pub replicas: usize,
    pub requests_per_s: f64,
    pub period_ms: u64,
    pub behavior: VersionBehavior,
    pub fault: Fault,
    pub policy: RolloutPolicy,
    pub seed: u64,
}

/// The result of a simulation.
#[derive(Debug, Clone, Copy, Default)]
pub struct RolloutResult {
    /// The final phase, if the rollout reached one.
    pub end: Option<RolloutPhase>,
    /// The time from the order to the end, as a fraction of the period.
    pub end_fraction: f64,
    /// Attempts on the service from the order to the end of the period.
    pub arrivals: u64,
    /// Those of these attempts that were made on the new version.
    pub exposed_requests: u64,
    /// Failed answers of a bad new version.
    pub bad_answers: u64,
    /// Attempts on the new version later than five seconds after its 50th bad answer.
    pub late_sends: u64,
    /// Attempts after the end on the version that may get none: the old one if the rollout was
    /// completed, the new one if it was rolled back.
    pub wrong_sends: u64,
    /// Attempts on the new version before the order.
    pub sends_before_order: u64,
}

impl RolloutResult {
    /// Returns the maximum number of requests that a bad version may get.
    pub fn max_exposure(&self, policy: &RolloutPolicy) -> f64 {
        policy.exposure_share * self.arrivals as f64 + policy.exposure_slack
    }
}

struct Node {
    discovery: Discovery,
    pool: UpstreamPool,
    coordinator: RolloutCoordinator,
    throttle: ReportThrottle,
    /// Changes in the store that have not reached the node yet, with the time at which they do.
    pending_events: Vec<(u64, DiscoveryEvent)>,
    is_alive: bool,
}

struct Replica {
    entry: ReplicaEntry,
    running: usize,
    failure_rate: f64,
    pause_phase_us: u64,
}

struct SimulatedSend {
    node: usize,
    incarnation: u64,
    replica: usize,
    send: SendId,
    route: u8,
    outcome: SendOutcome,
    is_first: bool,
}

/// The state of one simulation.
struct RolloutSimulation {
    scenario: Scenario,
    rng: StdRng,
    fleet: Fleet,
    nodes: Vec<Node>,
    incarnations: Vec<u64>,
    replicas: Vec<Replica>,
    sends: BTreeMap<(u64, u64), SimulatedSend>,
    next_send_id: u64,
    revision: u64,
    order: Option<(RolloutOrder, u64)>,
    record: Option<(RolloutRecord, u64)>,
    ordered_us: u64,
    bad_50th_us: Option<u64>,
    ended_us: Option<u64>,
    result: RolloutResult,
}

/// Runs a scenario to its end, and returns the result.
pub fn simulate(scenario: Scenario) -> RolloutResult {
    let mut simulation = RolloutSimulation::new(scenario);
    simulation.run();
    simulation.result
}

impl RolloutSimulation {
    fn new(scenario: Scenario) -> Self {
        let rng = StdRng::seed_from_u64(scenario.seed);
        let ingress_nodes = scenario.ingress_nodes;
        let cpu_millis = move |at| if at < ingress_nodes { 500 } else { 120 };
        let mut fleet = Fleet::with_cpu(scenario.nodes, cpu_millis);
        fleet.run_us(WARM_UP_US);
        let mut simulation = Self {
            rng,
            nodes: Vec::new(),
            incarnations: vec![0; scenario.nodes],
            replicas: Vec::new(),
            sends: BTreeMap::new(),
            next_send_id: 0,
            revision: 10,
            order: None,
            record: None,
            ordered_us: 0,
            bad_50th_us: None,
            ended_us: None,
            result: RolloutResult::default(),
            fleet,
            scenario,
        };
        for at in 0..simulation.scenario.replicas {
            simulation.add_replica("v1", at);
        }
        for at in 0..simulation.scenario.nodes {
            let node = simulation.node(at);
            simulation.nodes.push(node);
        }
        for at in 0..simulation.scenario.nodes {
            simulation.start(at);
        }
        simulation
    }

    fn add_replica(&mut self, version: &str, at: usize) {
        let entry = ReplicaEntry {
            id: eco_format!("{version}-{at}"),
            born_ms: if version == "v1" { 1 } else { 2 },
            sequence: 1,
            service: "desk".into(),
            version: version.into(),
            address: "127.0.0.1:1".parse().unwrap(),
            failure_domain: eco_format!("domain-{}", at % 4),
            slots: 4,
            is_draining: false,
            cold_for_ms: 0,
        };
        let is_faulty = match self.scenario.fault {
            Fault::OneNewReplicaFails => version == "v2" && at == 0,
            Fault::OneOldReplicaFails => version == "v1" && at == 0,
            _ => false,
        };
        let failure_rate = match self.scenario.fault {
            Fault::ReplicaAnswersLost => 0.03,
            _ if is_faulty => 0.4,
            _ => 0.002,
        };
        let pause_phase_us = self.rng.random_range(0..4_500_000);
        self.replicas.push(Replica { entry, running: 0, failure_rate, pause_phase_us });
    }

    fn node(&self, at: usize) -> Node {
        let participant = sassafrasproxy_core::RolloutParticipant { node: node_name(at) };
        Node {
            discovery: Discovery::new(Some(participant)),
            pool: UpstreamPool::new(PoolSettings {
                failure_domain: eco_format!("domain-{}", at % 4),
                warmup_factor: 1.5,
                warmup_slack: 5.0,
            }),
            coordinator: RolloutCoordinator::default(),
            throttle: ReportThrottle::default(),
            pending_events: Vec::new(),
            is_alive: true,
        }
    }

    /// Delivers the content of the store to a node, as when the node starts.
    fn start(&mut self, at: usize) {
        let revision = self.revision;
        let configuration = RouteConfiguration {
            version: 1,
            routes: Vec::new(),
            services: IndexMap::from_iter([("desk".into(), service())]),
            caller_limits: CallerLimits::default(),
            accounts: None,
        };
        let mut events = vec![DiscoveryEvent::ListStarted { revision }];
        let mut entries = vec![(RegistryEntry::Configuration(configuration), 1)];
        entries
            .extend(self.replicas.iter().map(|one| (RegistryEntry::Replica(one.entry.clone()), 2)));
        let order = self.order.iter().cloned();
        entries
            .extend(order.map(|(order, revision)| (RegistryEntry::RolloutOrder(order), revision)));
        let record = self.record.iter().cloned();
        entries.extend(
            record.map(|(record, revision)| (RegistryEntry::RolloutRecord(record), revision)),
        );
        let seen = |(entry, revision)| DiscoveryEvent::EntrySeen { entry, revision };
        events.extend(entries.into_iter().map(seen));
        events.push(DiscoveryEvent::ListEnded);
        self.discover(at, events);
    }

    fn discover(&mut self, at: usize, events: Vec<DiscoveryEvent>) {
        let (now_us, ingress_nodes) = (self.fleet.now_us, self.scenario.ingress_nodes);
        let node = &mut self.nodes[at];
        for event in events {
            node.discovery.step(now_us, event);
        }
        if let Some(catalogue) = node.discovery.take_catalogue() {
            node.pool.update(now_us, &catalogue, ingress_nodes);
        }
    }

    fn run(&mut self) {
        let start_us = self.fleet.now_us;
        // The new version's replicas are listed some time before the order is seen.
        for at in 0..self.scenario.replicas {
            self.add_replica("v2", at);
            let entry = self.replicas.last().unwrap().entry.clone();
            self.revision += 1;
            self.publish(RegistryEntry::Replica(entry));
        }
        self.ordered_us = start_us + SECOND_US;
        let period_us = self.scenario.period_ms * 1_000;
        let end_us = self.ordered_us + period_us + RUN_AFTER_PERIOD_US;
        let gap = Exp::new(self.scenario.requests_per_s).unwrap();
        let mut arrival_us = start_us;
        let mut report_us = start_us;
        let mut tick_us = start_us;
        let fault_us = self.ordered_us + self.rng.random_range(0..period_us * 7 / 10);
        let mut is_fault_injected = false;
        while self.fleet.now_us < end_us {
            let now_us = self.fleet.now_us + STEP_US;
            if now_us >= tick_us {
                self.fleet.run_us(50_000);
                self.fleet.now_us = now_us;
                tick_us = now_us + 50_000;
            }
            self.fleet.now_us = now_us;
            if self.order.is_none() && now_us >= self.ordered_us {
                self.write_order();
            }
            if !is_fault_injected && now_us >= fault_us {
                is_fault_injected = true;
                self.inject_fault();
            }
            self.deliver_events();
            self.end_sends();
            while arrival_us <= now_us {
                self.arrive();
                arrival_us += (gap.sample(&mut self.rng) * 1e6) as u64;
            }
            if now_us >= report_us {
                report_us = now_us + REPORT_INTERVAL_US;
                self.send_reports();
                self.run_coordinators();
            }
            self.deliver_datagrams();
        }
    }

    fn write_order(&mut self) {
        let order = RolloutOrder {
            service: "desk".into(),
            target_version: "v2".into(),
            period_ms: self.scenario.period_ms,
        };
        self.revision += 1;
        self.order = Some((order.clone(), self.revision));
        self.publish(RegistryEntry::RolloutOrder(order));
    }

    /// Schedules the delivery of an entry that was just written to all nodes.
    fn publish(&mut self, entry: RegistryEntry) {
        let revision = self.revision;
        let now_us = self.fleet.now_us;
        let down_until_us = self.store_down_until_us();
        for at in 0..self.nodes.len() {
            let delay_us = self.rng.random_range(10_000..MAX_WATCH_DELAY_US);
            let seen = DiscoveryEvent::EntrySeen { entry: entry.clone(), revision };
            self.nodes[at].pending_events.push((down_until_us.max(now_us) + delay_us, seen));
        }
    }

    /// Returns the time until which the store is unavailable, in microseconds; 0 if it is
    /// available.
    fn store_down_until_us(&self) -> u64 {
        let from_us = self.ordered_us + self.scenario.period_ms * 250;
        let until_us = from_us + 4_500_000;
        let is_down = self.scenario.fault == Fault::StoreDown
            && (from_us..until_us).contains(&self.fleet.now_us);
        if is_down { until_us } else { 0 }
    }

    fn inject_fault(&mut self) {
        if self.scenario.fault != Fault::CoordinatorKilled {
            return;
        }
        let now_us = self.fleet.now_us;
        let coordinator = (0..self.nodes.len())
            .find(|at| self.fleet.nodes[*at].rollout_nodes(now_us).rank == Some(0));
        let Some(at) = coordinator else { return };
        self.nodes[at].is_alive = false;
        self.fleet.offline.insert(at);
    }

    fn deliver_events(&mut self) {
        let now_us = self.fleet.now_us;
        for at in 0..self.nodes.len() {
            if !self.nodes[at].is_alive {
                continue;
            }
            let pending = std::mem::take(&mut self.nodes[at].pending_events);
            let (due, later): (Vec<_>, Vec<_>) =
                pending.into_iter().partition(|(at_us, _)| *at_us <= now_us);
            self.nodes[at].pending_events = later;
            if !due.is_empty() {
                self.discover(at, due.into_iter().map(|(_, event)| event).collect());
            }
        }
    }

    fn arrive(&mut self) {
        let alive: Vec<usize> =
            (0..self.scenario.ingress_nodes).filter(|at| self.nodes[*at].is_alive).collect();
        let node = alive[self.rng.random_range(0..alive.len())];
        let route = self.rng.random_range(0..ROUTES);
        self.send(node, route, &[], true);
    }

    fn send(&mut self, node: usize, route: u8, tried: &[EcoString], is_first: bool) {
        let now_us = self.fleet.now_us;
        let pool = &mut self.nodes[node].pool;
        let on_trial = if is_first { pool.pick_on_trial("desk", route, now_us) } else { None };
        let id = on_trial.or_else(|| pool.pick("desk", now_us, WORK_US as u64, tried));
        let Some(id) = id else { return };
        let send = pool.start_send(&id, now_us, WORK_US as u64, 2 * WORK_US as u64).unwrap();
        pool.count_in_trial(&id, send, is_first, route);
        let at = self.replicas.iter().position(|one| one.entry.id == id).unwrap();
        self.count_send(at);
        let (outcome, took_us) = self.simulate_run(at, route);
        self.replicas[at].running += 1;
        self.next_send_id += 1;
        let incarnation = self.incarnations[node];
        let sent = SimulatedSend { node, incarnation, replica: at, send, route, outcome, is_first };
        self.sends.insert((now_us + took_us, self.next_send_id), sent);
    }

    fn count_send(&mut self, at: usize) {
        let now_us = self.fleet.now_us;
        let is_new = self.is_new(at);
        if self.order.is_none() {
            self.result.sends_before_order += u64::from(is_new);
            return;
        }
        if now_us < self.ordered_us + self.scenario.period_ms * 1_000 {
            self.result.arrivals += 1;
            self.result.exposed_requests += u64::from(is_new);
        }
        if self.bad_50th_us.is_some_and(|at_us| now_us > at_us + 5 * SECOND_US) {
            self.result.late_sends += u64::from(is_new);
        }
        let is_over = self.ended_us.is_some_and(|ended_us| now_us > ended_us + MAX_WATCH_DELAY_US);
        let is_wrong = match self.result.end {
            Some(RolloutPhase::Completed) => !is_new,
            Some(RolloutPhase::RolledBack) => is_new,
            _ => false,
        };
        self.result.wrong_sends += u64::from(is_over && is_wrong);
    }

    fn is_new(&self, at: usize) -> bool {
        self.replicas[at].entry.version == "v2"
    }

    /// Returns the outcome of a request on a replica, and the time that it takes in microseconds.
    fn simulate_run(&mut self, at: usize, route: u8) -> (SendOutcome, u64) {
        let since_us = self.fleet.now_us.saturating_sub(self.ordered_us);
        let is_new = self.is_new(at);
        let mut failure_rate = self.replicas[at].failure_rate;
        let mut time_factor = self.rng.random_range(0.6..1.5);
        if self.rng.random_bool(0.01) {
            time_factor *= 5.0;
        }
        match self.scenario.behavior {
            VersionBehavior::Fails { share, from_us } if is_new && since_us >= from_us => {
                failure_rate += share;
            }
            VersionBehavior::Slow { factor, from_us } if is_new && since_us >= from_us => {
                time_factor *= factor;
            }
            VersionBehavior::FailsUnderLoad { share }
                if is_new && self.replicas[at].running > 0 =>
            {
                failure_rate += share;
            }
            VersionBehavior::FailsOneRoute { share } if is_new && route == 0 => {
                failure_rate += share;
            }
            _ => {}
        }
        let mut took_us = (WORK_US * time_factor) as u64;
        if self.scenario.fault == Fault::ReplicaPauses {
            let phase = (self.fleet.now_us + self.replicas[at].pause_phase_us) % 4_500_000;
            took_us += 200_000_u64.saturating_sub(phase);
        }
        let is_failed = self.rng.random_bool(failure_rate.min(1.0));
        (if is_failed { SendOutcome::Faulty } else { SendOutcome::Answered }, took_us)
    }

    fn end_sends(&mut self) {
        let now_us = self.fleet.now_us;
        while self.sends.first_key_value().is_some_and(|((at_us, _), _)| *at_us <= now_us) {
            let (_, sent) = self.sends.pop_first().unwrap();
            self.replicas[sent.replica].running -= 1;
            let id = self.replicas[sent.replica].entry.id.clone();
            if self.incarnations[sent.node] == sent.incarnation {
                let pool = &mut self.nodes[sent.node].pool;
                pool.finish_send(&id, sent.send, now_us, sent.outcome, None);
            }
            if sent.outcome == SendOutcome::Faulty {
                if self.is_new(sent.replica) && self.scenario.behavior != VersionBehavior::Good {
                    self.result.bad_answers += 1;
                    if self.result.bad_answers == 50 {
                        self.bad_50th_us = Some(now_us);
                    }
                }
                if sent.is_first && self.nodes[sent.node].is_alive {
                    self.send(sent.node, sent.route, &[id], false);
                }
            }
        }
    }

    fn send_reports(&mut self) {
        let now_us = self.fleet.now_us;
        for at in 0..self.nodes.len() {
            if !self.nodes[at].is_alive {
                continue;
            }
            let reports = self.nodes[at].pool.trial_reports();
            for report in self.nodes[at].throttle.take_due(now_us, reports) {
                match self.fleet.nodes[at].report_trial(now_us, report.clone()) {
                    Some(send) => self.fleet.deliver(at, vec![send]),
                    None => self.nodes[at].coordinator.add_report(now_us, &node_name(at), &report),
                }
            }
        }
    }

    fn deliver_datagrams(&mut self) {
        for (to, datagram) in std::mem::take(&mut self.fleet.rollout_datagrams) {
            let now_us = self.fleet.now_us;
            for report in &datagram.trial_reports {
                self.nodes[to].coordinator.add_report(now_us, &datagram.sender.node, report);
            }
            let stops = datagram.stopped_rollouts.iter();
            let stops =
                stops.map(|&order_revision| DiscoveryEvent::RolloutStopped { order_revision });
            self.discover(to, stops.collect());
        }
    }

    fn run_coordinators(&mut self) {
        let now_us = self.fleet.now_us;
        for at in 0..self.nodes.len() {
            let states = self.nodes[at].discovery.rollouts();
            if !self.nodes[at].is_alive || states.is_empty() {
                continue;
            }
            let mut nodes = self.fleet.nodes[at].rollout_nodes(now_us);
            let is_rejected = self.scenario.fault == Fault::StoreRejectsNodes && at % 3 == 0;
            let is_unavailable = is_rejected || self.store_down_until_us() > 0;
            self.fleet.nodes[at].set_store_unavailable(is_unavailable);
            nodes.ingress_nodes.truncate(self.scenario.ingress_nodes);
            let policy = self.scenario.policy;
            let effects = self.nodes[at].coordinator.step(now_us, &states, &nodes, &policy);
            for effect in effects {
                match effect {
                    RolloutEffect::Stop { order_revision } => {
                        self.discover(at, vec![DiscoveryEvent::RolloutStopped { order_revision }]);
                        let sends =
                            self.fleet.nodes[at].announce_rollout_stop(now_us, order_revision);
                        self.fleet.deliver(at, sends);
                    }
                    RolloutEffect::Write { record, expected_revision } => {
                        if !is_rejected && self.store_down_until_us() == 0 {
                            self.write(record, expected_revision);
                        }
                    }
                }
            }
        }
    }

    fn write(&mut self, record: RolloutRecord, expected_revision: u64) {
        let revision = self.record.as_ref().map_or(0, |(_, revision)| *revision);
        let is_lost = self.scenario.fault == Fault::StoreAnswersLost && self.rng.random_bool(0.3);
        if revision != expected_revision || is_lost {
            return;
        }
        self.revision += 1;
        let now_us = self.fleet.now_us;
        if record.phase.is_final() {
            self.result.end = Some(record.phase);
            let since_us = now_us - self.ordered_us;
            self.result.end_fraction = since_us as f64 / (self.scenario.period_ms * 1_000) as f64;
            self.ended_us = Some(now_us);
        }
        self.record = Some((record.clone(), self.revision));
        self.publish(RegistryEntry::RolloutRecord(record));
    }
}

fn service() -> RoutedService {
    RoutedService {
        health_path: "/health".into(),
        max_connections: 100_000,
        warmup_ms: 0,
        warmup_per_s: None,
    }
}

/// Returns a scenario whose parameters are drawn from a seed.
pub fn random_scenario(seed: u64, is_bad: bool, policy: RolloutPolicy) -> Scenario {
    let mut rng = StdRng::seed_from_u64(seed);
    let period_ms = rng.random_range(8_000..20_000);
    let share = rng.random_range(0.25..0.6);
    let late_us = rng.random_range(2_000_000..period_ms * 450);
    let factor = rng.random_range(3.0..6.0);
    let behavior = match rng.random_range(0..6) {
        _ if !is_bad => VersionBehavior::Good,
        0 => VersionBehavior::Fails { share, from_us: 0 },
        1 => VersionBehavior::Fails { share, from_us: late_us },
        2 => VersionBehavior::Slow { factor, from_us: 0 },
        3 => VersionBehavior::Slow { factor, from_us: late_us },
        4 => VersionBehavior::FailsUnderLoad { share },
        _ => VersionBehavior::FailsOneRoute { share: share.max(0.4) },
    };
    let faults = [
        Fault::None,
        Fault::OneNewReplicaFails,
        Fault::OneOldReplicaFails,
        Fault::ReplicaAnswersLost,
        Fault::StoreDown,
        Fault::StoreAnswersLost,
        Fault::CoordinatorKilled,
        Fault::StoreRejectsNodes,
        Fault::ReplicaPauses,
    ];
    let ingress_nodes = rng.random_range(7..12);
    Scenario {
        nodes: ingress_nodes + rng.random_range(0..40),
        ingress_nodes,
        replicas: rng.random_range(2..7),
        requests_per_s: [8.0, 20.0, 40.0, 80.0][rng.random_range(0..4)],
        period_ms,
        behavior,
        fault: faults[rng.random_range(0..faults.len())],
        policy,
        seed,
    }
}

/// Returns the name of a behavior for tables.
pub fn behavior_name(behavior: VersionBehavior) -> &'static str {
    match behavior {
        VersionBehavior::Good => "good",
        VersionBehavior::Fails { from_us: 0, .. } => "fails at once",
        VersionBehavior::Fails { .. } => "fails later",
        VersionBehavior::Slow { from_us: 0, .. } => "slow at once",
        VersionBehavior::Slow { .. } => "slow later",
        VersionBehavior::FailsUnderLoad { .. } => "fails under load",
        VersionBehavior::FailsOneRoute { .. } => "fails on one route",
    }
}
