//! Roll-outs played in virtual time: nodes with the real reducers around a modelled store and
//! modelled replicas of two versions.

#![allow(dead_code, clippy::unwrap_used, reason = "each user takes its part")]

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

/// How finely time passes.
const STEP_US: u64 = 10_000;

/// How often nodes tell what they counted, and the decider looks.
const REPORT_INTERVAL_US: u64 = 250_000;

/// How long the fleet runs before the order: nodes know each other by then.
const WARM_UP_US: u64 = 5 * SECOND_US;

/// How long the play goes on after the period.
const RUN_AFTER_PERIOD_US: u64 = 8 * SECOND_US;

/// How long a replica usually works, in microseconds.
const WORK_US: f64 = 40_000.0;

/// The longest that a change of the store takes to reach a node, in microseconds.
const MAX_WATCH_DELAY_US: u64 = 400_000;

const ROUTES: u8 = 3;

/// How the new version is.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum VersionBehavior {
    Good,
    /// It fails a part of its requests from a time after the order on, in microseconds.
    Fails {
        share: f64,
        from_us: u64,
    },
    /// It is several times slower from a time on.
    Slow {
        times: f64,
        from_us: u64,
    },
    /// It fails a part of what it runs beside other requests.
    FailsUnderLoad {
        share: f64,
    },
    /// It fails a part of one route's requests.
    FailsOneRoute {
        share: f64,
    },
}

/// Trouble that has nothing to do with the version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    None,
    /// One replica of the new version fails two in five.
    OneNewReplicaFails,
    /// One replica of the old version fails two in five.
    OneOldReplicaFails,
    /// A part of all replicas' answers is lost.
    ReplicaAnswersLost,
    /// The store is down for a while.
    StoreDown,
    /// The store does what it is asked, and loses the answers of writes.
    StoreAnswersLost,
    /// The node that decides is killed.
    CoordinatorKilled,
    /// The store turns a third of the nodes away.
    StoreRejectsNodes,
    /// All replicas stand still now and then.
    ReplicaPauses,
}

/// What is played.
#[derive(Debug, Clone)]
pub struct Scenario {
    pub nodes: usize,
    /// How many nodes callers are sent to.
    pub ingress_nodes: usize,
    pub replicas: usize,
    pub per_s: f64,
    pub period_ms: u64,
    pub behavior: VersionBehavior,
    pub fault: Fault,
    pub policy: RolloutPolicy,
    pub seed: u64,
}

/// What came of it.
#[derive(Debug, Clone, Copy, Default)]
pub struct RolloutResult {
    pub end: Option<RolloutPhase>,
    /// When it ended, in parts of the period after the order.
    pub end_fraction: f64,
    /// Requests that reached the service until the period was over, and those of the new version.
    pub arrivals: u64,
    pub exposed_requests: u64,
    /// Bad answers of the new version until it ended.
    pub bad_answers: u64,
    /// Sends to the new version later than five seconds after its 50th bad answer.
    pub late_sends: u64,
    /// Sends to the old version after the end, if it was completed; to the new one otherwise.
    pub wrong_sends: u64,
    /// Sends to the version that had no order, before there was one.
    pub sends_before_order: u64,
}

impl RolloutResult {
    /// How many requests a bad version might have got.
    pub fn max_exposure(&self, policy: &RolloutPolicy) -> f64 {
        policy.exposure_share * self.arrivals as f64 + policy.exposure_slack
    }
}

struct Node {
    discovery: Discovery,
    pool: UpstreamPool,
    coordinator: RolloutCoordinator,
    throttle: ReportThrottle,
    /// What the store holds that has not come yet, by when it comes.
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

/// One play.
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

/// Plays a scene to its end.
pub fn simulate(scene: Scenario) -> RolloutResult {
    let mut play = RolloutSimulation::new(scene);
    play.run();
    play.result
}

impl RolloutSimulation {
    fn new(scene: Scenario) -> Self {
        let rng = StdRng::seed_from_u64(scene.seed);
        let senders = scene.ingress_nodes;
        let size = move |at| if at < senders { 500 } else { 120 };
        let mut fleet = Fleet::with_cpu(scene.nodes, size);
        fleet.run_us(WARM_UP_US);
        let mut play = Self {
            rng,
            nodes: Vec::new(),
            incarnations: vec![0; scene.nodes],
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
            scenario: scene,
        };
        for at in 0..play.scenario.replicas {
            play.add_replica("v1", at);
        }
        for at in 0..play.scenario.nodes {
            let node = play.node(at);
            play.nodes.push(node);
        }
        for at in 0..play.scenario.nodes {
            play.start(at);
        }
        play
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
        let is_grey = match self.scenario.fault {
            Fault::OneNewReplicaFails => version == "v2" && at == 0,
            Fault::OneOldReplicaFails => version == "v1" && at == 0,
            _ => false,
        };
        let fails = match self.scenario.fault {
            Fault::ReplicaAnswersLost => 0.03,
            _ if is_grey => 0.4,
            _ => 0.002,
        };
        let pause_us = self.rng.random_range(0..4_500_000);
        self.replicas.push(Replica {
            entry,
            running: 0,
            failure_rate: fails,
            pause_phase_us: pause_us,
        });
    }

    fn node(&self, at: usize) -> Node {
        let scope = sassafrasproxy_core::RolloutParticipant { node: node_name(at) };
        Node {
            discovery: Discovery::new(Some(scope)),
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

    /// A node lists the store.
    fn start(&mut self, at: usize) {
        let revision = self.revision;
        let configuration = RouteConfiguration {
            version: 1,
            routes: Vec::new(),
            services: IndexMap::from_iter([("desk".into(), service())]),
            caller_limits: CallerLimits::default(),
        };
        let mut events = vec![DiscoveryEvent::ListStarted { revision }];
        let mut facts = vec![(RegistryEntry::Configuration(configuration), 1)];
        facts
            .extend(self.replicas.iter().map(|one| (RegistryEntry::Replica(one.entry.clone()), 2)));
        let order = self.order.iter().cloned();
        facts.extend(order.map(|(order, revision)| (RegistryEntry::RolloutOrder(order), revision)));
        let record = self.record.iter().cloned();
        facts.extend(
            record.map(|(record, revision)| (RegistryEntry::RolloutRecord(record), revision)),
        );
        let seen = |(fact, revision)| DiscoveryEvent::EntrySeen { entry: fact, revision };
        events.extend(facts.into_iter().map(seen));
        events.push(DiscoveryEvent::ListEnded);
        self.discover(at, events);
    }

    fn discover(&mut self, at: usize, events: Vec<DiscoveryEvent>) {
        let (now_us, senders) = (self.fleet.now_us, self.scenario.ingress_nodes);
        let node = &mut self.nodes[at];
        for event in events {
            node.discovery.step(now_us, event);
        }
        if let Some(catalogue) = node.discovery.take_catalogue() {
            node.pool.update(now_us, &catalogue, senders);
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
        let gap = Exp::new(self.scenario.per_s).unwrap();
        let mut arrival_us = start_us;
        let mut trial_us = start_us;
        let mut tick_us = start_us;
        let trouble_us = self.ordered_us + self.rng.random_range(0..period_us * 7 / 10);
        let mut is_troubled = false;
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
            if !is_troubled && now_us >= trouble_us {
                is_troubled = true;
                self.inject_fault();
            }
            self.deliver_events();
            self.end_sends();
            while arrival_us <= now_us {
                self.arrive();
                arrival_us += (gap.sample(&mut self.rng) * 1e6) as u64;
            }
            if now_us >= trial_us {
                trial_us = now_us + REPORT_INTERVAL_US;
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

    /// Lets all nodes learn a fact that was just written.
    fn publish(&mut self, fact: RegistryEntry) {
        let revision = self.revision;
        let now_us = self.fleet.now_us;
        let is_down_until = self.store_down_until_us();
        for at in 0..self.nodes.len() {
            let late_us = self.rng.random_range(10_000..MAX_WATCH_DELAY_US);
            let seen = DiscoveryEvent::EntrySeen { entry: fact.clone(), revision };
            self.nodes[at].pending_events.push((is_down_until.max(now_us) + late_us, seen));
        }
    }

    /// Until when the store is down, if the scene has it down and it is now.
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
        let decider = (0..self.nodes.len())
            .find(|at| self.fleet.nodes[*at].rollout_nodes(now_us).rank == Some(0));
        let Some(at) = decider else { return };
        self.nodes[at].is_alive = false;
        self.fleet.offline.insert(at);
    }

    fn deliver_events(&mut self) {
        let now_us = self.fleet.now_us;
        for at in 0..self.nodes.len() {
            if !self.nodes[at].is_alive {
                continue;
            }
            let news = std::mem::take(&mut self.nodes[at].pending_events);
            let (due, later): (Vec<_>, Vec<_>) =
                news.into_iter().partition(|(at_us, _)| *at_us <= now_us);
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
        let Some(id) = pool.pick("desk", now_us, WORK_US as u64, tried) else { return };
        let send = pool.start_send(&id, now_us, WORK_US as u64, 2 * WORK_US as u64).unwrap();
        pool.count_in_trial(&id, send, is_first, route);
        let at = self.replicas.iter().position(|one| one.entry.id == id).unwrap();
        self.count_send(at);
        let (outcome, took_us) = self.simulate_run(at, route);
        self.replicas[at].running += 1;
        self.next_send_id += 1;
        let life = self.incarnations[node];
        let sent =
            SimulatedSend { node, incarnation: life, replica: at, send, route, outcome, is_first };
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

    /// How a replica answers, and how long it takes.
    fn simulate_run(&mut self, at: usize, route: u8) -> (SendOutcome, u64) {
        let since_us = self.fleet.now_us.saturating_sub(self.ordered_us);
        let is_new = self.is_new(at);
        let mut fails = self.replicas[at].failure_rate;
        let mut times = self.rng.random_range(0.6..1.5);
        if self.rng.random_bool(0.01) {
            times *= 5.0;
        }
        match self.scenario.behavior {
            VersionBehavior::Fails { share, from_us } if is_new && since_us >= from_us => {
                fails += share;
            }
            VersionBehavior::Slow { times: slower, from_us } if is_new && since_us >= from_us => {
                times *= slower;
            }
            VersionBehavior::FailsUnderLoad { share }
                if is_new && self.replicas[at].running > 0 =>
            {
                fails += share;
            }
            VersionBehavior::FailsOneRoute { share } if is_new && route == 0 => fails += share,
            _ => {}
        }
        let mut took_us = (WORK_US * times) as u64;
        if self.scenario.fault == Fault::ReplicaPauses {
            let phase = (self.fleet.now_us + self.replicas[at].pause_phase_us) % 4_500_000;
            took_us += 200_000_u64.saturating_sub(phase);
        }
        let is_failed = self.rng.random_bool(fails.min(1.0));
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
            let is_turned_away = self.scenario.fault == Fault::StoreRejectsNodes && at % 3 == 0;
            let is_away = is_turned_away || self.store_down_until_us() > 0;
            self.fleet.nodes[at].set_store_unavailable(is_away);
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
                        if !is_turned_away && self.store_down_until_us() == 0 {
                            self.write(record, expected_revision);
                        }
                    }
                }
            }
        }
    }

    fn write(&mut self, record: RolloutRecord, expected_revision: u64) {
        let known = self.record.as_ref().map_or(0, |(_, revision)| *revision);
        let is_lost = self.scenario.fault == Fault::StoreAnswersLost && self.rng.random_bool(0.3);
        if known != expected_revision || is_lost {
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

/// A scene with everything drawn from a seed.
pub fn random_scenario(seed: u64, is_bad: bool, policy: RolloutPolicy) -> Scenario {
    let mut rng = StdRng::seed_from_u64(seed);
    let period_ms = rng.random_range(8_000..20_000);
    let share = rng.random_range(0.25..0.6);
    let late_us = rng.random_range(2_000_000..period_ms * 450);
    let times = rng.random_range(3.0..6.0);
    let manner = match rng.random_range(0..6) {
        _ if !is_bad => VersionBehavior::Good,
        0 => VersionBehavior::Fails { share, from_us: 0 },
        1 => VersionBehavior::Fails { share, from_us: late_us },
        2 => VersionBehavior::Slow { times, from_us: 0 },
        3 => VersionBehavior::Slow { times, from_us: late_us },
        4 => VersionBehavior::FailsUnderLoad { share },
        _ => VersionBehavior::FailsOneRoute { share: share.max(0.4) },
    };
    let troubles = [
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
    let senders = rng.random_range(7..12);
    Scenario {
        nodes: senders + rng.random_range(0..40),
        ingress_nodes: senders,
        replicas: rng.random_range(2..7),
        per_s: [8.0, 20.0, 40.0, 80.0][rng.random_range(0..4)],
        period_ms,
        behavior: manner,
        fault: troubles[rng.random_range(0..troubles.len())],
        policy,
        seed,
    }
}

/// Names for a table.
pub fn behavior_name(manner: VersionBehavior) -> &'static str {
    match manner {
        VersionBehavior::Good => "good",
        VersionBehavior::Fails { from_us: 0, .. } => "fails at once",
        VersionBehavior::Fails { .. } => "fails later",
        VersionBehavior::Slow { from_us: 0, .. } => "slow at once",
        VersionBehavior::Slow { .. } => "slow later",
        VersionBehavior::FailsUnderLoad { .. } => "fails under load",
        VersionBehavior::FailsOneRoute { .. } => "fails on one route",
    }
}
