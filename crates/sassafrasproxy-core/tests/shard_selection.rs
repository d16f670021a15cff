//! Tests which shards a query asks while some shards have only slow replicas.

use sassafrasproxy_core::{ServiceForecast, ShardSelection, SlowForecast, select_shards};

fn healthy() -> Option<ServiceForecast> {
    Some(ServiceForecast { slow: None })
}

fn slow_with_tokens(tokens: f64) -> Option<ServiceForecast> {
    Some(ServiceForecast { slow: Some(SlowForecast { tokens, is_reserved: false }) })
}

fn reserved_with_tokens(tokens: f64) -> Option<ServiceForecast> {
    Some(ServiceForecast { slow: Some(SlowForecast { tokens, is_reserved: true }) })
}

/// Enough shards are healthy and no query needs a slow one. The slow shards are asked as well,
/// since that harms no other query.
#[test]
fn no_slow_shard_needed() {
    let forecasts = [healthy(), healthy(), slow_with_tokens(-3.0), slow_with_tokens(0.0)];
    assert_eq!(select_shards(&forecasts, 2), ShardSelection::default());
}

/// A query needs one of three slow shards. If it asked all three, each shard would receive three
/// times as many sub-requests as needed, and all parts would be late. It asks the one with the most
/// tokens, and the slow shards are reserved.
#[test]
fn one_slow_shard_needed() {
    let forecasts =
        [healthy(), slow_with_tokens(-0.5), slow_with_tokens(0.5), slow_with_tokens(-1.0)];
    let selection = select_shards(&forecasts, 2);
    assert_eq!(selection.excluded, vec![1, 3]);
    let mut reserved = selection.reserved;
    reserved.sort_unstable();
    assert_eq!(reserved, vec![1, 2, 3]);
}

/// Other queries need the slow shards, and this one does not. It excludes a slow shard unless there
/// are enough tokens.
#[test]
fn reserved_by_other_queries() {
    let forecasts = [healthy(), healthy(), reserved_with_tokens(1.0), reserved_with_tokens(2.0)];
    assert_eq!(
        select_shards(&forecasts, 2),
        ShardSelection { excluded: vec![2], reserved: vec![] }
    );
}

/// The needed slow shards are so overloaded that their parts will be late in any case. They are not
/// reserved, since that would only take parts from other queries.
#[test]
fn needed_shards_overloaded() {
    let forecasts = [healthy(), slow_with_tokens(-3.0), slow_with_tokens(-2.5)];
    assert_eq!(
        select_shards(&forecasts, 2),
        ShardSelection { excluded: vec![1], reserved: vec![] }
    );
}

/// Shards that cannot be asked count neither as slow nor as healthy. Otherwise a query would
/// exclude shards that it needs.
#[test]
fn unavailable_shards() {
    let forecasts = [healthy(), None, slow_with_tokens(0.0), slow_with_tokens(0.2)];
    assert_eq!(select_shards(&forecasts, 3).excluded, Vec::<usize>::new());
    assert_eq!(select_shards(&forecasts, 2).excluded, vec![2]);
    assert_eq!(select_shards(&[None, None], 1), ShardSelection::default());
}
