//! Decides when a query over many shards is answered, and merges the parts into one answer.

/// The size of a record, in bytes.
pub const RECORD_BYTES: usize = 16;

/// The limits of one gather.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GatherPlan {
    /// The number of shards; at least 1.
    pub shards: usize,
    /// The minimum number of parts in an answer; at least 1.
    pub min_parts: usize,
    /// The time until which the gather waits for all parts, in microseconds.
    ///
    /// An answer in time without the last parts serves callers better than a late one with all of
    /// them.
    pub soft_deadline_us: u64,
    /// The deadline of the answer, in microseconds.
    pub deadline_us: u64,
}

/// The part of a latency goal that is reserved for sending the answer, in microseconds; timers fire
/// up to a millisecond late.
const SEND_RESERVE_US: u64 = 1_500;

/// The additional reserve for each shard, in microseconds, because all parts that arrive at the
/// same time are read before the answer is sent.
const PART_RESERVE_US: u64 = 50;

/// The divisor of the latency goal that gives an additional reserve.
///
/// A late answer helps its caller little, and an answer without the last part helps nearly as much
/// as a complete one. So the gather does not wait until the last moment at which the answer may
/// still arrive in time.
const GOAL_SLACK_DIVISOR: u64 = 25;

/// The divisor of the caller round trip that gives an additional reserve, because some answers take
/// longer to reach their caller.
const ROUND_TRIP_SLACK_DIVISOR: u64 = 8;

impl GatherPlan {
    /// Returns the soft deadline, in microseconds, that lets the answer arrive in time at a caller
    /// whose latency goal started at `start_us` and whose round trip takes `round_trip_us`.
    pub fn soft_deadline_us(start_us: u64, goal_us: u64, round_trip_us: u64, shards: usize) -> u64 {
        let reserve_us =
            SEND_RESERVE_US + PART_RESERVE_US * shards as u64 + goal_us / GOAL_SLACK_DIVISOR;
        let answer_reserve_us = round_trip_us + round_trip_us / ROUND_TRIP_SLACK_DIVISOR;
        (start_us + goal_us).saturating_sub(answer_reserve_us + reserve_us)
    }

    /// Returns the minimum number of parts for a coverage from 0 to 1.
    pub fn min_parts(shards: usize, min_coverage: f64) -> usize {
        // Without the subtraction, a rounding error could turn a coverage of 0.75 of 20 into 16.
        let min_parts = (shards as f64 * min_coverage - 1e-9).ceil();
        (min_parts.max(1.0) as usize).min(shards)
    }
}

/// The next step of a gather.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GatherStep {
    /// Answer with the parts that have arrived.
    Answer,
    /// Wait for more parts, at most until the given time.
    Wait {
        /// The time in microseconds.
        until_us: u64,
    },
    /// Fail: too few parts have arrived, and too few can still arrive or the deadline has passed.
    GiveUp,
}

/// Returns the next step of a gather with `parts` parts received and `pending` still expected.
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
    if now_us >= plan.deadline_us {
        return GatherStep::GiveUp;
    }
    let until_us =
        if is_enough { plan.soft_deadline_us.min(plan.deadline_us) } else { plan.deadline_us };
    GatherStep::Wait { until_us }
}

/// Returns the time until `min_parts` shards are usable, in microseconds; `None` if too few shards
/// will become usable.
///
/// `usable_in_us` holds the time until each shard has a usable replica. Prevents queries that
/// cannot succeed from being started: with three of twenty shards unavailable and eighteen
/// required, seventeen replicas would work for an answer that is never sent.
pub fn min_parts_usable_in_us(usable_in_us: &[Option<u64>], min_parts: usize) -> Option<u64> {
    let mut times_us: Vec<u64> = usable_in_us.iter().copied().flatten().collect();
    times_us.sort_unstable();
    times_us.get(min_parts.saturating_sub(1)).copied()
}

/// Returns the `top_k` greatest records of all parts, concatenated in descending order.
///
/// Equal records are all kept. Bytes after the last complete record of a part are ignored.
/// Selecting before sorting keeps the work near one pass over the parts, as an answer holds few of
/// many records.
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
