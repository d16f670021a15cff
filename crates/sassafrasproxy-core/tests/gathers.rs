//! Tests when a query over shards is answered, and how its parts are merged.

use proptest::prelude::*;
use sassafrasproxy_core::{
    GatherPlan, GatherStep, RECORD_BYTES, merge_records, min_parts_usable_in_us, next_gather_step,
};

const PLAN: GatherPlan =
    GatherPlan { shards: 20, min_parts: 18, soft_deadline_us: 70, deadline_us: 390 };

#[test]
fn gather_steps() {
    let wait = |until_us| GatherStep::Wait { until_us };
    let cases = [
        // now, parts, pending, step
        (0, 0, 20, wait(390)),
        (10, 18, 2, wait(70)),
        (70, 18, 2, GatherStep::Answer),
        (70, 17, 3, wait(390)),
        (200, 18, 2, GatherStep::Answer),
        (10, 20, 0, GatherStep::Answer),
        (10, 18, 0, GatherStep::Answer),
        // Too few parts can still arrive, so the gather fails at once.
        (10, 10, 7, GatherStep::GiveUp),
        (390, 17, 3, GatherStep::GiveUp),
    ];
    for (now_us, parts, pending, step) in cases {
        assert_eq!(next_gather_step(now_us, &PLAN, parts, pending), step, "{now_us} {parts}");
    }
}

/// Guards against an answer that arrives after the latency goal. The goal of 50 ms started 5 ms ago
/// at a caller with a round trip of 2 ms: the gather stops waiting some milliseconds before the
/// last moment, and sooner for a caller with a longer round trip.
#[test]
fn soft_deadlines() {
    let near_us = GatherPlan::soft_deadline_us(95_000, 50_000, 2_000, 20);
    assert!((135_000..143_000).contains(&near_us), "{near_us}");
    let far_us = GatherPlan::soft_deadline_us(95_000, 50_000, 16_000, 20);
    assert!(far_us < near_us - 14_000, "{far_us}");
    assert_eq!(
        GatherPlan::soft_deadline_us(0, 10_000, 16_000, 20),
        0,
        "the round trip alone exceeds the goal"
    );
}

/// Some shards are unavailable for a while, and one has no replica at all.
#[test]
fn usable_time_of_min_parts() {
    let shards = [Some(0), Some(90_000), None, Some(0), Some(40_000)];
    let cases = [(1, Some(0)), (2, Some(0)), (3, Some(40_000)), (4, Some(90_000)), (5, None)];
    for (min_parts, expected_us) in cases {
        assert_eq!(min_parts_usable_in_us(&shards, min_parts), expected_us, "{min_parts} parts");
    }
}

/// Guards against a rounding error that requires one part too many: 0.75 of 20 is 15, whatever the
/// last bit of the fraction is.
#[test]
fn min_parts_of_coverage() {
    let cases = [(20, 0.75, 15), (20, 0.89, 18), (30, 0.89, 27), (90, 0.95, 86), (3, 0.0, 1)];
    for (shards, coverage, parts) in cases {
        assert_eq!(GatherPlan::min_parts(shards, coverage), parts, "{shards} {coverage}");
    }
}

proptest! {
    /// The result holds the greatest records of all parts, including equal ones, and no incomplete
    /// record.
    #[test]
    fn merges_greatest_records(
        parts in prop::collection::vec(prop::collection::vec(0_u8..4, 0..100), 0..8),
        top_k in 0_usize..30,
    ) {
        let mut expected: Vec<&[u8]> =
            parts.iter().flat_map(|part| part.chunks_exact(RECORD_BYTES)).collect();
        expected.sort_by(|a, b| b.cmp(a));
        expected.truncate(top_k);
        let merged = merge_records(parts.iter().map(Vec::as_slice), top_k);
        prop_assert_eq!(merged, expected.concat());
    }
}
