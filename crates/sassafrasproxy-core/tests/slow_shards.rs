//! Which shards a query asks while some have slow replicas only.

use sassafrasproxy_core::{AskPlan, Prospect, SlowProspect, plan_asks};

fn sound() -> Option<Prospect> {
    Some(Prospect { slow: None })
}

fn slow(room: f64) -> Option<Prospect> {
    Some(Prospect { slow: Some(SlowProspect { room, is_contested: false }) })
}

fn contested(room: f64) -> Option<Prospect> {
    Some(Prospect { slow: Some(SlowProspect { room, is_contested: true }) })
}

/// Enough shards are sound: the slow ones are asked all the same, since nobody needs them more.
#[test]
fn nobody_needs_them() {
    let prospects = [sound(), sound(), slow(-3.0), slow(0.0)];
    assert_eq!(plan_asks(&prospects, 2), AskPlan::default());
}

/// A query needs one of three slow shards. Asking all three would make each answer three times as
/// many as needed, all too late: it asks the one with the most room, and others give way.
#[test]
fn one_is_needed() {
    let prospects = [sound(), slow(-0.5), slow(0.5), slow(-1.0)];
    let plan = plan_asks(&prospects, 2);
    assert_eq!(plan.left_out, vec![1, 3]);
    let mut contested = plan.contested;
    contested.sort_unstable();
    assert_eq!(contested, vec![1, 2, 3]);
}

/// A query that can do without leaves a slow shard to others that need it, unless there is room.
#[test]
fn others_need_them() {
    let prospects = [sound(), sound(), contested(1.0), contested(2.0)];
    assert_eq!(plan_asks(&prospects, 2), AskPlan { left_out: vec![2], contested: vec![] });
}

/// The slow shards that are needed are far beyond what they bear, and their parts will be late:
/// nobody gives way for that.
#[test]
fn beyond_help() {
    let prospects = [sound(), slow(-3.0), slow(-2.5)];
    assert_eq!(plan_asks(&prospects, 2), AskPlan { left_out: vec![1], contested: vec![] });
}

/// Shards that cannot be asked at all count neither as slow nor as sound.
#[test]
fn some_are_away() {
    let prospects = [sound(), None, slow(0.0), slow(0.2)];
    assert_eq!(plan_asks(&prospects, 3).left_out, Vec::<usize>::new());
    assert_eq!(plan_asks(&prospects, 2).left_out, vec![2]);
    assert_eq!(plan_asks(&[None, None], 1), AskPlan::default());
}
