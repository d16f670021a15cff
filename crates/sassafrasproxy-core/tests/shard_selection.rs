//! Which shards a query asks while some have slow replicas only.

use sassafrasproxy_core::{ServiceForecast, ShardSelection, SlowForecast, select_shards};

fn healthy() -> Option<ServiceForecast> {
    Some(ServiceForecast { slow: None })
}

fn slow_with_tokens(room: f64) -> Option<ServiceForecast> {
    Some(ServiceForecast { slow: Some(SlowForecast { tokens: room, is_reserved: false }) })
}

fn reserved_with_tokens(room: f64) -> Option<ServiceForecast> {
    Some(ServiceForecast { slow: Some(SlowForecast { tokens: room, is_reserved: true }) })
}

/// Enough shards are sound: the slow ones are asked all the same, since nobody needs them more.
#[test]
fn no_slow_shard_needed() {
    let prospects = [healthy(), healthy(), slow_with_tokens(-3.0), slow_with_tokens(0.0)];
    assert_eq!(select_shards(&prospects, 2), ShardSelection::default());
}

/// A query needs one of three slow shards. Asking all three would make each answer three times as
/// many as needed, all too late: it asks the one with the most room, and others give way.
#[test]
fn one_slow_shard_needed() {
    let prospects =
        [healthy(), slow_with_tokens(-0.5), slow_with_tokens(0.5), slow_with_tokens(-1.0)];
    let plan = select_shards(&prospects, 2);
    assert_eq!(plan.skipped, vec![1, 3]);
    let mut contested = plan.reserved;
    contested.sort_unstable();
    assert_eq!(contested, vec![1, 2, 3]);
}

/// A query that can do without leaves a slow shard to others that need it, unless there is room.
#[test]
fn reserved_by_other_queries() {
    let prospects = [healthy(), healthy(), reserved_with_tokens(1.0), reserved_with_tokens(2.0)];
    assert_eq!(select_shards(&prospects, 2), ShardSelection { skipped: vec![2], reserved: vec![] });
}

/// The slow shards that are needed are far beyond what they bear, and their parts will be late:
/// nobody gives way for that.
#[test]
fn needed_shards_overloaded() {
    let prospects = [healthy(), slow_with_tokens(-3.0), slow_with_tokens(-2.5)];
    assert_eq!(select_shards(&prospects, 2), ShardSelection { skipped: vec![1], reserved: vec![] });
}

/// Shards that cannot be asked at all count neither as slow nor as sound.
#[test]
fn unavailable_shards() {
    let prospects = [healthy(), None, slow_with_tokens(0.0), slow_with_tokens(0.2)];
    assert_eq!(select_shards(&prospects, 3).skipped, Vec::<usize>::new());
    assert_eq!(select_shards(&prospects, 2).skipped, vec![2]);
    assert_eq!(select_shards(&[None, None], 1), ShardSelection::default());
}
