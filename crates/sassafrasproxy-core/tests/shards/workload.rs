//! The input of a simulation (workload and faults) and its result.

use std::collections::BTreeMap;

use rand::RngExt;
use rand::rngs::StdRng;
use rand_distr::{Distribution, LogNormal};

/// A workload to simulate.
#[derive(Debug, Clone)]
pub struct Workload {
    pub seed: u64,
    pub nodes: usize,
    pub shards: usize,
    /// Replicas of each shard, each in another failure domain.
    pub replicas_per_shard: usize,
    pub slots: usize,
    /// The maximum number of requests that wait at a replica; it refuses further ones.
    pub queue_limit: usize,
    pub query_kinds: Vec<QueryKind>,
    pub seconds: u64,
    /// The interval between the starts of a replica's pauses, in microseconds; 0 for no pauses.
    pub pause_interval_us: u64,
    /// The length of a pause, in microseconds.
    pub pause_us: u64,
    /// The one-way delay between failure domains, in microseconds.
    pub cross_domain_us: u64,
    /// The round trip between callers and nodes, in microseconds; latency goals count from when a
    /// caller sends its query until it receives the answer.
    ///
    /// With 0, latency goals count from the query's arrival at a node until the node answers.
    pub caller_round_trip_us: u64,
    /// The faults of replicas, by shard and index of the replica within the shard.
    pub faults: BTreeMap<(usize, usize), Fault>,
}

/// A kind of query.
#[derive(Debug, Clone)]
pub struct QueryKind {
    /// Queries per second over all nodes.
    pub per_s: f64,
    /// The mean work of a part, in microseconds.
    pub work_us: f64,
    pub goal_us: u64,
    pub timeout_us: u64,
    pub min_coverage: f64,
}

/// A fault of a replica.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// Requests take this many times as long.
    Slow(f64),
    /// It refuses connections.
    Down,
    /// It accepts requests and never answers.
    Unresponsive,
    /// It runs requests, and resets the connections of this fraction of them instead of answering.
    Resets(f64),
}

/// The results of the queries of one kind.
#[derive(Debug, Clone, Default)]
pub struct Outcome {
    pub queries: usize,
    pub in_goal: usize,
    /// The sum of the squared coverages of the answers within the latency goal.
    pub score: f64,
    pub failed: usize,
    /// Sends beyond the first of each part.
    pub extra_sends: usize,
    pub sends: usize,
}

impl Outcome {
    /// Returns the mean score of a query, in 0 to 1.
    pub fn mean_score(&self) -> f64 {
        self.score / self.queries.max(1) as f64
    }
}

impl Workload {
    /// Draws the time that a replica takes for one part, including its pauses, in microseconds;
    /// `phase_us` is the time since one of its pauses began.
    pub fn draw_run_us(
        &self,
        rng: &mut StdRng,
        kind: &QueryKind,
        fault: Option<Fault>,
        phase_us: u64,
    ) -> u64 {
        let slowdown = match fault {
            Some(Fault::Slow(factor)) => factor,
            _ => 1.0,
        };
        let sigma: f64 = 0.35;
        let work = LogNormal::new(kind.work_us.ln() - sigma * sigma / 2.0, sigma).unwrap();
        let straggler_factor = if rng.random_bool(0.01) { 5.0 } else { 1.0 };
        let work_us = (work.sample(rng) * slowdown * straggler_factor) as u64;
        if self.pause_interval_us == 0 {
            return work_us;
        }
        let phase_us = phase_us % self.pause_interval_us;
        if phase_us < self.pause_us {
            return self.pause_us - phase_us + work_us;
        }
        let is_interrupted = self.pause_interval_us - phase_us < work_us;
        work_us + if is_interrupted { self.pause_us } else { 0 }
    }
}

/// Returns the users' workload on one index: 20 shards with two replicas of two slots each.
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
