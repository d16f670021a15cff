//! Selects the shards that a query asks while some shards have only slow replicas.

use crate::{ServiceForecast, SlowForecast};

/// The minimum number of tokens for a send to a slow replica that the query does not need; one
/// token is kept for a query that needs the replica.
const MIN_SPARE_TOKENS: f64 = 1.5;

/// The minimum number of tokens for the slow replicas that a query needs to be reserved; negative
/// because the node may have sent more than its share.
///
/// Below it, the needed parts arrive late even if other queries leave the replicas to this one.
const MIN_NEEDED_TOKENS: f64 = -2.0;

/// The shards with only slow replicas that a query excludes or reserves, by index.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ShardSelection {
    /// The excluded shards, which the query does not ask.
    pub excluded: Vec<usize>,
    /// All shards with only slow replicas, if the query needs at least one of them and can get its
    /// parts in time; other queries should leave their slots to it.
    pub reserved: Vec<usize>,
}

/// Selects the shards that a query excludes, so that it and other queries are answered in time.
///
/// `forecasts` has an entry for each shard, `None` if the shard has no replica that can be asked
/// now. While no query needs a slow replica for its minimum coverage, all shards are asked: a part
/// in time improves the answer, and a late part harms no other query. If queries need slow
/// replicas, each asks only some of them, because a replica that receives all the sub-requests
/// answers none in time.
pub fn select_shards(forecasts: &[Option<ServiceForecast>], min_parts: usize) -> ShardSelection {
    let available = forecasts.iter().flatten().count();
    let mut slow: Vec<(usize, SlowForecast)> = forecasts
        .iter()
        .enumerate()
        .filter_map(|(shard, forecast)| Some((shard, forecast.as_ref()?.slow?)))
        .collect();
    let needed_slow = min_parts.saturating_sub(available - slow.len());
    // The replica with the most tokens comes first, so that a node's queries take turns at the slow
    // replicas.
    slow.sort_by(|(_, a), (_, b)| b.tokens.total_cmp(&a.tokens));
    let can_exclude = |slow: &SlowForecast| {
        slow.tokens < MIN_SPARE_TOKENS && (needed_slow > 0 || slow.is_reserved)
    };
    let not_needed = slow.iter().skip(needed_slow);
    let skipped =
        not_needed.filter(|(_, slow)| can_exclude(slow)).map(|(shard, _)| *shard).collect();
    let last_needed = needed_slow.checked_sub(1).and_then(|last| slow.get(last));
    let can_be_in_time = last_needed.is_some_and(|(_, slow)| slow.tokens >= MIN_NEEDED_TOKENS);
    let reserved = match can_be_in_time {
        true => slow.iter().map(|(shard, _)| *shard).collect(),
        false => Vec::new(),
    };
    ShardSelection { excluded: skipped, reserved }
}
