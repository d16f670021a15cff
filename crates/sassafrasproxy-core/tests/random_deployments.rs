//! Calm plays of deployments that differ in every figure.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod shards;

use proptest::prelude::*;
use proptest::test_runner::TestRunner;

use crate::shards::{Outcome, QueryKind, Workload, best_mean_scores, default_workload, simulate};

/// How much of what the best sender earns may be lost on a calm day.
const MAX_SCORE_LOSS: f64 = 0.02;

/// The part of the replicas' slots that queries use on a calm day.
const UTILISATION: f64 = 0.12;

/// How many deployments are drawn: each takes some seconds.
const DEPLOYMENT_COUNT: u32 = 8;

/// How many queries of each kind are played at least, so that one of them is far below `MAX_LOSS`.
const MIN_QUERIES_PER_KIND: f64 = 500.0;

/// What a deployment is drawn from.
#[derive(Debug, Clone)]
struct Deployment {
    seed: u64,
    caller_round_trip_us: u64,
    cross_domain_us: u64,
    pause_us: u64,
    shards: usize,
    slots: usize,
    long_goal_us: u64,
}

fn deployments() -> impl Strategy<Value = Deployment> {
    let times = (1_000_u64..40_000, 300_u64..8_000, 40_000_u64..400_000, 60_000_u64..500_000);
    let sizes = (8_usize..60, 1_usize..8, any::<u64>());
    (times, sizes).prop_map(|((way_us, far_us, pause_us, left_us), (shards, slots, seed))| {
        // Callers far away do not ask for answers in a time that their way alone would use up.
        let long_goal_us = left_us + 2 * way_us;
        Deployment {
            seed,
            caller_round_trip_us: way_us,
            cross_domain_us: far_us,
            pause_us,
            shards,
            slots,
            long_goal_us,
        }
    })
}

/// A long and a short kind of query, whose work is small beside what their goals leave of the ways.
fn workload_of(figures: &Deployment) -> Workload {
    let short_goal_us = figures.long_goal_us / 2 + figures.caller_round_trip_us / 2;
    let left_us = |goal_us: u64| {
        goal_us.saturating_sub(figures.caller_round_trip_us + 4 * figures.cross_domain_us) as f64
    };
    let kind = |goal_us: u64, min_coverage| QueryKind {
        per_s: 0.0,
        work_us: left_us(goal_us).max(8_000.0) / 8.0,
        goal_us,
        timeout_us: 5 * goal_us,
        min_coverage,
    };
    let mut kinds = vec![kind(figures.long_goal_us, 0.89), kind(short_goal_us, 0.75)];
    let slots = (2 * figures.slots) as f64;
    for kind in &mut kinds {
        kind.per_s = (UTILISATION / 2.0 * slots / (kind.work_us / 1e6)).min(60.0);
    }
    let rarest_per_s = kinds.iter().map(|kind| kind.per_s).fold(f64::INFINITY, f64::min);
    Workload {
        query_kinds: kinds,
        seconds: (MIN_QUERIES_PER_KIND / rarest_per_s).ceil() as u64,
        shards: figures.shards,
        slots: figures.slots,
        caller_round_trip_us: figures.caller_round_trip_us,
        cross_domain_us: figures.cross_domain_us,
        pause_us: figures.pause_us,
        // A replica stands still for a 25th of the time, as in the deployments that are known.
        pause_interval_us: 25 * figures.pause_us,
        ..default_workload(figures.seed)
    }
}

/// Constants that hold the figures of one deployment show on the others: callers get late answers
/// on a calm day, or answers that leave out parts which would have come.
#[test]
fn without_faults() {
    let config = ProptestConfig {
        cases: DEPLOYMENT_COUNT,
        max_shrink_iters: 4,
        ..ProptestConfig::default()
    };
    let check = |figures: Deployment| {
        let load = workload_of(&figures);
        let best = best_mean_scores(&load);
        let worths: Vec<f64> = simulate(load).iter().map(Outcome::mean_score).collect();
        println!("{figures:?}: {worths:.3?} of {best:.3?}");
        for (worth, best) in worths.iter().zip(&best) {
            prop_assert!(*worth > best - MAX_SCORE_LOSS, "{worth:.3} of {best:.3}");
        }
        Ok(())
    };
    TestRunner::new(config).run(&deployments(), check).unwrap();
}
