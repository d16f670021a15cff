//! What is played: a load, what is wrong with its replicas, and what callers got.

use std::collections::BTreeMap;

use rand::RngExt;
use rand::rngs::StdRng;
use rand_distr::{Distribution, LogNormal};

/// What is played.
#[derive(Debug, Clone)]
pub struct Workload {
    pub seed: u64,
    pub nodes: usize,
    pub shards: usize,
    /// Replicas of each shard, in failure domains by turn.
    pub replicas_per_shard: usize,
    pub slots: usize,
    /// How many requests wait at a replica before it sheds.
    pub queue_limit: usize,
    pub query_kinds: Vec<QueryKind>,
    pub seconds: u64,
    /// How often, and for how long, each replica stands still, in microseconds.
    pub pause_interval_us: u64,
    pub pause_us: u64,
    /// One way between failure domains, in microseconds.
    pub cross_domain_us: u64,
    /// The round trip between callers and nodes, in microseconds; the goals of the kinds are theirs.
    ///
    /// With 0, the goals are what is left of them at the nodes.
    pub caller_round_trip_us: u64,
    /// What is wrong with replicas, by shard and copy.
    pub faults: BTreeMap<(usize, usize), Fault>,
}

/// A kind of query.
#[derive(Debug, Clone)]
pub struct QueryKind {
    /// Queries a second over all nodes.
    pub per_s: f64,
    /// The mean work of a part, in microseconds.
    pub work_us: f64,
    pub goal_us: u64,
    pub timeout_us: u64,
    pub min_coverage: f64,
}

/// What is wrong with a replica.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// Its work takes so many times as long.
    Slow(f64),
    /// It refuses connections.
    Down,
    /// It takes requests and never answers.
    Unresponsive,
    /// It runs requests, and resets the connections of this part of them instead of answering.
    Resets(f64),
}

/// What callers of one kind got.
#[derive(Debug, Clone, Default)]
pub struct Outcome {
    pub queries: usize,
    pub in_goal: usize,
    /// The credit in the goal: the square of the coverage, summed.
    pub score: f64,
    pub failed: usize,
    /// Sends beyond the first of each part.
    pub extra_sends: usize,
    pub sends: usize,
}

impl Outcome {
    /// The credit earned over the credit owed.
    pub fn mean_score(&self) -> f64 {
        self.score / self.queries.max(1) as f64
    }
}

impl Workload {
    /// How long a replica takes for one part, its pauses included; `phase_us` is the time since one
    /// of its pauses began.
    pub fn draw_run_us(
        &self,
        rng: &mut StdRng,
        kind: &QueryKind,
        fault: Option<Fault>,
        phase_us: u64,
    ) -> u64 {
        let slow = match fault {
            Some(Fault::Slow(times)) => times,
            _ => 1.0,
        };
        let sigma: f64 = 0.35;
        let work = LogNormal::new(kind.work_us.ln() - sigma * sigma / 2.0, sigma).unwrap();
        let tail = if rng.random_bool(0.01) { 5.0 } else { 1.0 };
        let work_us = (work.sample(rng) * slow * tail) as u64;
        if self.pause_interval_us == 0 {
            return work_us;
        }
        let phase_us = phase_us % self.pause_interval_us;
        if phase_us < self.pause_us {
            return self.pause_us - phase_us + work_us;
        }
        let is_paused = self.pause_interval_us - phase_us < work_us;
        work_us + if is_paused { self.pause_us } else { 0 }
    }
}

/// The users' load of today on one index: 20 shards of two replicas with two slots.
pub fn default_workload(seed: u64) -> Workload {
    Workload {
        seed,
        nodes: 8,
        shards: 20,
        replicas_per_shard: 2,
        slots: 2,
        queue_limit: 12,
        query_kinds: vec![
            QueryKind {
                per_s: 67.5,
                work_us: 11_000.0,
                goal_us: 88_000,
                timeout_us: 590_000,
                min_coverage: 0.89,
            },
            QueryKind {
                per_s: 22.5,
                work_us: 3_800.0,
                goal_us: 38_000,
                timeout_us: 290_000,
                min_coverage: 0.75,
            },
        ],
        seconds: 10,
        pause_interval_us: 3_000_000,
        pause_us: 120_000,
        cross_domain_us: 1_400,
        caller_round_trip_us: 0,
        faults: BTreeMap::new(),
    }
}
