//! Plays a request that crashes replicas on random fleets whose nodes start, are cut off and lose
//! the store, beside requests that lose replicas for other reasons.

use indexmap::IndexMap;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sassafrasproxy_core::{
    CrashReport, QuarantineDecision, QuarantineRecords, QuarantineWrite, ReportStep,
    RequestQuarantine,
};

/// The step of virtual time, in microseconds.
const STEP_US: u64 = 100_000;

/// The time that one fleet is played, in microseconds.
const DURATION_US: u64 = 300_000_000;

/// The time for which a node must have been undisturbed for the bound to hold, in microseconds.
const CONTACT_US: u64 = 4_000_000;

/// The maximum number of attempts that reach replicas after the third crash.
const MAX_LATER_ATTEMPTS: usize = 3;

/// The fingerprint of the request that crashes each replica.
const CRASHING: u64 = 1;

/// The number of innocent requests that callers repeat all the time.
const POPULAR_REQUESTS: u64 = 5;

/// The number of innocent requests per step.
const INNOCENT_PER_STEP: usize = 6;

struct Node {
    quarantine: RequestQuarantine,
    cut_until_us: u64,
    /// The time of the last start or end of a cut, in microseconds.
    disturbed_us: u64,
}

struct Store {
    records: QuarantineRecords,
    revision: u64,
    down_until_us: u64,
}

/// What the players of one seed have seen.
#[derive(Debug, Default)]
struct Outcome {
    crashes: usize,
    /// The time of the third crash, in microseconds.
    third_crash_us: Option<u64>,
    /// The attempts of nodes in touch after the third crash.
    later_attempts: usize,
    /// The refused requests that crash no replica.
    false_refusals: usize,
    /// The crash reports on requests that crash no replica.
    innocent_reports: usize,
}

struct Fleet {
    rng: StdRng,
    nodes: Vec<Node>,
    store: Store,
    now_us: u64,
    next_attempt: u64,
    /// The time until which replicas of a lost failure domain are found out, in microseconds.
    losing_until_us: u64,
    outcome: Outcome,
}

impl Fleet {
    fn new(seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let count = rng.random_range(2..=40);
        let node =
            || Node { quarantine: RequestQuarantine::default(), cut_until_us: 0, disturbed_us: 0 };
        let store = Store { records: IndexMap::new(), revision: 0, down_until_us: 0 };
        Self {
            rng,
            nodes: (0..count).map(|_| node()).collect(),
            store,
            now_us: 0,
            next_attempt: 0,
            losing_until_us: 0,
            outcome: Outcome::default(),
        }
    }

    fn play(mut self) -> Outcome {
        let mut next_repeat_us = 10_000_000;
        while self.now_us < DURATION_US {
            self.now_us += STEP_US;
            self.disturb();
            self.sync();
            for _ in 0..INNOCENT_PER_STEP {
                self.ask_innocent();
            }
            if self.now_us >= next_repeat_us {
                self.repeat_crashing();
                next_repeat_us = self.now_us + self.rng.random_range(100_000..8_000_000);
            }
        }
        self.outcome
    }

    /// Starts, cuts off or pauses nodes, stops the store, and loses failure domains, at random.
    fn disturb(&mut self) {
        let index = self.rng.random_range(0..self.nodes.len());
        let for_us = self.rng.random_range(1_000_000..20_000_000);
        match self.rng.random_range(0..200) {
            0 => self.restart(index),
            1 => (0..self.nodes.len()).for_each(|index| self.restart(index)),
            2..=4 => {
                self.nodes[index].cut_until_us = self.now_us + for_us;
                self.nodes[index].disturbed_us = self.now_us + for_us;
            }
            5 => {
                self.store.down_until_us = self.now_us + for_us / 4;
                let until_us = self.store.down_until_us;
                self.nodes.iter_mut().for_each(|node| node.disturbed_us = until_us);
            }
            6 | 7 => self.losing_until_us = self.now_us + 500_000,
            _ => {}
        }
    }

    fn restart(&mut self, index: usize) {
        let now_us = self.now_us;
        self.nodes[index] = Node {
            quarantine: RequestQuarantine::starting_at(now_us),
            cut_until_us: 0,
            disturbed_us: now_us,
        };
    }

    fn is_store_down(&self) -> bool {
        self.now_us < self.store.down_until_us
    }

    /// Lets nodes read the records, and write those that are due.
    fn sync(&mut self) {
        if self.is_store_down() {
            return;
        }
        let count = self.nodes.len() as u64;
        for node in &mut self.nodes {
            if self.now_us < node.cut_until_us {
                continue;
            }
            let (rng, spread_us) = (&mut self.rng, 100_000 * count);
            let random_delay_us = || rng.random_range(0..spread_us);
            node.quarantine.set_records(self.now_us, &self.store.records, random_delay_us);
            for write in node.quarantine.take_due_writes(self.now_us) {
                self.store.apply(write);
            }
        }
    }

    fn ask_innocent(&mut self) {
        let index = self.rng.random_range(0..self.nodes.len());
        let is_popular = self.rng.random_bool(0.7);
        let fingerprint = match is_popular {
            true => 2 + self.rng.random_range(0..POPULAR_REQUESTS),
            false => 1_000 + self.next_attempt,
        };
        let decision = self.nodes[index].quarantine.decide(self.now_us, fingerprint);
        if matches!(decision, QuarantineDecision::Refuse { .. }) {
            self.outcome.false_refusals += 1;
            return;
        }
        // A third of the replicas are in the lost failure domain.
        let is_lost = self.now_us < self.losing_until_us && self.rng.random_bool(1.0 / 3.0);
        if is_lost {
            self.outcome.innocent_reports += 1;
            self.report(index, fingerprint);
        } else if self.nodes[index].quarantine.record_answer(self.now_us, fingerprint) {
            self.announce_answer(index, fingerprint);
        }
    }

    fn repeat_crashing(&mut self) {
        let index = self.rng.random_range(0..self.nodes.len());
        let (now_us, is_down) = (self.now_us, self.is_store_down());
        let is_cut = now_us < self.nodes[index].cut_until_us;
        let sends = match self.nodes[index].quarantine.decide(now_us, CRASHING) {
            QuarantineDecision::Send(_) => self.rng.random_range(1..=2),
            QuarantineDecision::SendTrial => 1,
            QuarantineDecision::ClaimTrial { record, expected_revision } => {
                let write = QuarantineWrite::Put { record: record.clone(), expected_revision };
                if is_down || is_cut || !self.store.apply(write) {
                    return;
                }
                self.nodes[index].quarantine.win_trial(&record);
                1
            }
            QuarantineDecision::Refuse { .. } => return,
        };
        let third_us = self.outcome.third_crash_us;
        let is_in_touch = now_us >= self.nodes[index].disturbed_us + CONTACT_US;
        if is_in_touch && third_us.is_some_and(|third_us| now_us > third_us) {
            self.outcome.later_attempts += 1;
        }
        for _ in 0..sends {
            self.outcome.crashes += 1;
            if self.outcome.crashes == 3 {
                self.outcome.third_crash_us = Some(now_us);
            }
            self.report(index, CRASHING);
        }
    }

    /// Adds a report of a node, and passes it on to all nodes that can be reached.
    fn report(&mut self, index: usize, fingerprint: u64) {
        self.next_attempt += 1;
        let report = CrashReport::new(fingerprint, &format!("a{}", self.next_attempt), "r");
        let now_us = self.now_us;
        let step = self.nodes[index].quarantine.add_report(now_us, report, 0);
        match step {
            ReportStep::Refuted { is_news: true } => self.announce_answer(index, fingerprint),
            ReportStep::Refuted { is_news: false } | ReportStep::Known => {}
            ReportStep::Counted(_) | ReportStep::Quarantined => {
                for peer in self.reachable_from(index) {
                    let delay_us = self.random_delay_us();
                    let quarantine = &mut self.nodes[peer].quarantine;
                    let step = quarantine.add_report(now_us, report, delay_us);
                    if step == (ReportStep::Refuted { is_news: true }) {
                        self.announce_answer(peer, fingerprint);
                    }
                }
            }
        }
    }

    fn announce_answer(&mut self, index: usize, fingerprint: u64) {
        for peer in self.reachable_from(index) {
            let delay_us = self.random_delay_us();
            self.nodes[peer].quarantine.record_peer_answer(self.now_us, fingerprint, delay_us);
        }
    }

    /// Returns a random time within which one of the nodes acts first.
    fn random_delay_us(&mut self) -> u64 {
        self.rng.random_range(0..100_000 * self.nodes.len() as u64)
    }

    fn reachable_from(&self, index: usize) -> Vec<usize> {
        let is_cut = |node: usize| self.now_us < self.nodes[node].cut_until_us;
        let peers = (0..self.nodes.len()).filter(|peer| *peer != index && !is_cut(*peer));
        if is_cut(index) { Vec::new() } else { peers.collect() }
    }
}

impl Store {
    /// Applies a write; returns whether its condition held.
    fn apply(&mut self, write: QuarantineWrite) -> bool {
        let (fingerprint, expected) = match &write {
            QuarantineWrite::Put { record, expected_revision } => {
                (record.fingerprint, *expected_revision)
            }
            QuarantineWrite::Remove { fingerprint, expected_revision } => {
                (*fingerprint, *expected_revision)
            }
        };
        let current = self.records.get(&fingerprint).map_or(0, |(_, revision)| *revision);
        if current != expected {
            return false;
        }
        self.revision += 1;
        match write {
            QuarantineWrite::Put { record, .. } => {
                self.records.insert(fingerprint, (record, self.revision));
            }
            QuarantineWrite::Remove { .. } => {
                self.records.shift_remove(&fingerprint);
            }
        }
        true
    }
}

/// Checks that few attempts reach replicas after the third crash.
fn assert_few_attempts(seed: u64) {
    let outcome = Fleet::new(seed).play();
    assert!(outcome.third_crash_us.is_some(), "seed {seed}: {outcome:?}");
    assert!(outcome.later_attempts <= MAX_LATER_ATTEMPTS, "seed {seed}: {outcome:?}");
}

/// Checks that no request is refused that merely ran beside crashes.
fn assert_innocent_served(seed: u64) {
    let outcome = Fleet::new(seed).play();
    assert!(outcome.innocent_reports > 0, "seed {seed}: {outcome:?}");
    assert_eq!(outcome.false_refusals, 0, "seed {seed}: {outcome:?}");
}

/// Guards against nodes that start, were cut off or lack the store and let the request in again.
#[test]
fn few_attempts_whatever_fails() {
    (1..=60).for_each(assert_few_attempts);
}

/// Guards against a fleet whose processes are all killed between single crashes, or start while the
/// store is down, so that nothing outlasts them.
#[test]
fn fleet_killed_between_crashes() {
    [458, 639].into_iter().for_each(assert_few_attempts);
}

/// Guards against the refusal of requests that merely ran while failure domains were lost.
#[test]
fn innocent_requests_are_served() {
    (1..=60).for_each(assert_innocent_served);
}

/// Guards against the refusal of a request that lost three replicas in a row by chance.
#[test]
fn innocent_requests_of_bad_luck() {
    [121, 298, 355, 366, 731, 758, 933].into_iter().for_each(assert_innocent_served);
}
