//! The best that any sender could do for a load.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::{Fault, QueryKind, SAME_DOMAIN_US, Workload};

/// How many queries of each kind are drawn.
const QUERIES_PER_KIND: usize = 4_000;

/// The worth of each kind to a sender that knows how long every replica would take.
///
/// It asks all replicas of each shard at no cost, in queues of its own, and stops at the goal: no
/// sender earns more, and one that shares queues and pays for second sends earns less.
pub fn best_mean_scores(load: &Workload) -> Vec<f64> {
    let mut rng = StdRng::seed_from_u64(load.seed);
    let mut worth = |kind: &QueryKind| {
        let sum: f64 = (0..QUERIES_PER_KIND).map(|_| best_score(load, kind, &mut rng)).sum();
        sum / QUERIES_PER_KIND as f64
    };
    load.query_kinds.iter().map(&mut worth).collect()
}

/// The most that one query can earn.
fn best_score(load: &Workload, kind: &QueryKind, rng: &mut StdRng) -> f64 {
    let own_domain = rng.random_range(0..load.replicas_per_shard);
    let mut parts = 0;
    for shard in 0..load.shards {
        let times = (0..load.replicas_per_shard).filter_map(|copy| {
            let fault = load.faults.get(&(shard, copy)).copied();
            let phase_us = rng.random_range(0..load.pause_interval_us.max(1));
            let run_us = load.draw_run_us(rng, kind, fault, phase_us);
            let way_us = if copy == own_domain { SAME_DOMAIN_US } else { load.cross_domain_us };
            let is_away = matches!(fault, Some(Fault::Down | Fault::Unresponsive));
            (!is_away).then_some(run_us + 2 * way_us)
        });
        let best_us = times.min();
        parts += usize::from(
            best_us.is_some_and(|best_us| best_us + load.caller_round_trip_us <= kind.goal_us),
        );
    }
    let coverage = parts as f64 / load.shards as f64;
    if coverage + 1e-9 < kind.min_coverage { 0.0 } else { coverage * coverage }
}
