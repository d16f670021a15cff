//! Answering from many shards: when to stop waiting, and how parts become one answer.

/// The size of a record, in bytes.
pub const RECORD_BYTES: usize = 16;

/// What bounds one gathered answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GatherPlan {
    /// How many shards there are; at least 1.
    pub shards: usize,
    /// The least parts that make an answer; at least 1.
    pub min_parts: usize,
    /// Until when all parts are waited for, in microseconds.
    ///
    /// Callers are better served in time without the last parts than late with all of them.
    pub soft_deadline_us: u64,
    /// When the caller must have its final answer, in microseconds.
    pub end_us: u64,
}

/// What is kept of a latency goal for sending the answer, in microseconds: timers fire up to a
/// millisecond late.
const SEND_RESERVE_US: u64 = 1_500;

/// What is kept for each shard besides, in microseconds: parts that came at the same time are read
/// first.
const PART_RESERVE_US: u64 = 50;

/// The part of a latency goal that is kept besides.
///
/// A late answer helps its caller little, one without the last part nearly as much as a whole one: so
/// an answer does not wait until the last moment at which it may still come in time.
const GOAL_SLACK_DIVISOR: u64 = 25;

/// The part of the caller's round trip that is kept besides, as some of its answers take longer.
const ROUND_TRIP_SLACK_DIVISOR: u64 = 8;

impl GatherPlan {
    /// Until when all parts are waited for, in microseconds, so that a caller whose goal started
    /// at `start_us` and which is a round trip of `way_us` away gets the answer in time.
    pub fn soft_deadline_us(start_us: u64, goal_us: u64, round_trip_us: u64, shards: usize) -> u64 {
        let reserve_us =
            SEND_RESERVE_US + PART_RESERVE_US * shards as u64 + goal_us / GOAL_SLACK_DIVISOR;
        let way_us = round_trip_us + round_trip_us / ROUND_TRIP_SLACK_DIVISOR;
        (start_us + goal_us).saturating_sub(way_us + reserve_us)
    }

    /// The least parts for a coverage in 0 to 1.
    pub fn min_parts(shards: usize, min_coverage: f64) -> usize {
        // A coverage such as 0.75 of 20 must not become 16 by a rounding error.
        let least = (shards as f64 * min_coverage - 1e-9).ceil();
        (least.max(1.0) as usize).min(shards)
    }
}

/// What to do with the parts that are in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GatherStep {
    /// Answer with them.
    Answer,
    /// Wait for more, until a time at most.
    Wait {
        /// The time.
        until_us: u64,
    },
    /// Give up: too few are in, and too few can still come or the time is over.
    GiveUp,
}

/// What to do with `parts` in and `pending` still under way.
pub fn next_gather_step(
    now_us: u64,
    plan: &GatherPlan,
    parts: usize,
    pending: usize,
) -> GatherStep {
    if parts + pending < plan.min_parts {
        return GatherStep::GiveUp;
    }
    let is_enough = parts >= plan.min_parts;
    if pending == 0 || (is_enough && now_us >= plan.soft_deadline_us) {
        return GatherStep::Answer;
    }
    if now_us >= plan.end_us {
        return GatherStep::GiveUp;
    }
    let until_us = if is_enough { plan.soft_deadline_us.min(plan.end_us) } else { plan.end_us };
    GatherStep::Wait { until_us }
}

/// In how long so many shards can be asked that an answer is possible, in microseconds; `None`
/// if too few are there at all.
///
/// `usable_in_us` says in how long each shard has a replica that may get work. Guards against
/// queries that must fail: with three of twenty shards away and eighteen needed, seventeen
/// replicas would work for an answer that nobody gets.
pub fn min_parts_usable_in_us(usable_in_us: &[Option<u64>], min_parts: usize) -> Option<u64> {
    let mut times: Vec<u64> = usable_in_us.iter().copied().flatten().collect();
    times.sort_unstable();
    times.get(min_parts.saturating_sub(1)).copied()
}

/// The greatest records of all parts, greatest first; a part's remainder is no record.
///
/// Equal records all count. Selecting before sorting keeps the work near one pass over the
/// parts, as an answer holds a few of many records.
pub fn merge_records<'a>(parts: impl IntoIterator<Item = &'a [u8]>, top_k: usize) -> Vec<u8> {
    let mut records: Vec<&[u8; RECORD_BYTES]> =
        parts.into_iter().flat_map(|part| part.as_chunks::<RECORD_BYTES>().0).collect();
    if top_k < records.len() {
        records.select_nth_unstable_by(top_k, |a, b| b.cmp(a));
        records.truncate(top_k);
    }
    records.sort_unstable_by(|a, b| b.cmp(a));
    records.into_iter().flatten().copied().collect()
}
