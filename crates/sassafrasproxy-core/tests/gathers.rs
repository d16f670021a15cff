//! When a query over shards is answered, and with what.

use proptest::prelude::*;
use sassafrasproxy_core::{
    GatherPlan, GatherStep, RECORD_BYTES, merge_records, min_parts_usable_in_us, next_gather_step,
};

const PLAN: GatherPlan =
    GatherPlan { shards: 20, min_parts: 18, soft_deadline_us: 70, end_us: 390 };

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
        // Too few can still come: the caller hears so at once.
        (10, 10, 7, GatherStep::GiveUp),
        (390, 17, 3, GatherStep::GiveUp),
    ];
    for (now_us, parts, pending, step) in cases {
        assert_eq!(next_gather_step(now_us, &PLAN, parts, pending), step, "{now_us} {parts}");
    }
}

/// Callers that wait 50 ms and are 2 ms away, of which 5 ms are gone: the answer leaves some
/// milliseconds before the last moment, sooner for callers that are farther away.
#[test]
fn soft_deadlines() {
    let near_us = GatherPlan::soft_deadline_us(95_000, 50_000, 2_000, 20);
    assert!((135_000..143_000).contains(&near_us), "{near_us}");
    let far_us = GatherPlan::soft_deadline_us(95_000, 50_000, 16_000, 20);
    assert!(far_us < near_us - 14_000, "{far_us}");
    assert_eq!(GatherPlan::soft_deadline_us(0, 10_000, 16_000, 20), 0, "no time is left at all");
}

/// Some shards are away for a while, and one has no replica at all.
#[test]
fn usable_time_of_min_parts() {
    let shards = [Some(0), Some(90_000), None, Some(0), Some(40_000)];
    let cases = [(1, Some(0)), (2, Some(0)), (3, Some(40_000)), (4, Some(90_000)), (5, None)];
    for (min_parts, expected_us) in cases {
        assert_eq!(min_parts_usable_in_us(&shards, min_parts), expected_us, "{min_parts} parts");
    }
}

/// 0.75 of 20 is 15, whatever the fraction's last bit is.
#[test]
fn min_parts_of_coverage() {
    let cases = [(20, 0.75, 15), (20, 0.89, 18), (30, 0.89, 27), (90, 0.95, 86), (3, 0.0, 1)];
    for (shards, coverage, parts) in cases {
        assert_eq!(GatherPlan::min_parts(shards, coverage), parts, "{shards} {coverage}");
    }
}

proptest! {
    /// The greatest records of all parts, equal ones too, and no remainder of a part.
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
