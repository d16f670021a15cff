//! Which shards a query asks while some have slow replicas only.

use crate::{ServiceForecast, SlowForecast};

/// How many sends a node must have saved up for a slow replica before it makes one that a query can
/// do without; the last is kept for a query that needs it.
const MIN_SPARE_TOKENS: f64 = 1.5;

/// How many sends beyond its share a node may have made to the slow replicas that a query needs for
/// others to leave them to it.
///
/// Beyond it the parts that it needs come late whoever gives way: then nobody does.
const MIN_NEEDED_TOKENS: f64 = -2.0;

/// How a query goes about shards that have slow replicas only.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ShardSelection {
    /// The shards that it leaves out.
    pub skipped: Vec<usize>,
    /// The shards with slow replicas, if the query needs one of them: other queries had better
    /// leave their slots to it.
    pub reserved: Vec<usize>,
}

/// Decides which shards of a query are left out, for it and others to be answered in time.
///
/// `prospects` has what each shard probably brings, `None` where none can be asked now. While
/// no query needs a slow replica for its least coverage, all are asked: then a part that comes in
/// time is won, and one that is late costs nobody anything. Where queries do need one, their parts
/// are shared out, as a replica that gets all of them answers none in time.
pub fn select_shards(prospects: &[Option<ServiceForecast>], min_parts: usize) -> ShardSelection {
    let askable = prospects.iter().flatten().count();
    let mut slow: Vec<(usize, SlowForecast)> = prospects
        .iter()
        .enumerate()
        .filter_map(|(at, prospect)| Some((at, prospect.as_ref()?.slow?)))
        .collect();
    let needed = min_parts.saturating_sub(askable - slow.len());
    // The one with the most room first, so that a node's queries take turns at slow replicas.
    slow.sort_by(|(_, a), (_, b)| b.tokens.total_cmp(&a.tokens));
    let can_wait =
        |slow: &SlowForecast| slow.tokens < MIN_SPARE_TOKENS && (needed > 0 || slow.is_reserved);
    let rest = slow.iter().skip(needed);
    let left_out = rest.filter(|(_, slow)| can_wait(slow)).map(|(at, _)| *at).collect();
    let last_needed = needed.checked_sub(1).and_then(|last| slow.get(last));
    let is_bearable = last_needed.is_some_and(|(_, slow)| slow.tokens >= MIN_NEEDED_TOKENS);
    let contested = match is_bearable {
        true => slow.iter().map(|(at, _)| *at).collect(),
        false => Vec::new(),
    };
    ShardSelection { skipped: left_out, reserved: contested }
}
