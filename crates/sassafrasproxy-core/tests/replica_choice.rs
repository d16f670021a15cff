//! Which replica a send goes to.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::sync::Arc;

use ecow::EcoString;
use indexmap::IndexMap;
use sassafrasproxy_core::{Catalogue, CatalogueReplica, PoolSettings, SendOutcome, UpstreamPool};
use sassafrasproxy_wire::{ReplicaEntry, RoutedService};

const EXPECTED_US: u64 = 8_000;
const PATIENCE_US: u64 = 15_000;

fn catalogue(ids: &[(&str, &str)], warmup: Option<f64>) -> Catalogue {
    let service = RoutedService {
        health_path: "/health".into(),
        max_connections: 64,
        warmup_ms: 3_000,
        warmup_per_s: warmup,
    };
    let replicas = ids.iter().map(|(id, domain)| {
        let entry = ReplicaEntry {
            id: (*id).into(),
            born_ms: 1,
            sequence: 1,
            service: "s".into(),
            version: "v1".into(),
            address: "127.0.0.1:1".parse().unwrap(),
            failure_domain: (*domain).into(),
            slots: 2,
            is_draining: false,
            cold_for_ms: if warmup.is_some() { 3_000 } else { 0 },
        };
        let replica = CatalogueReplica::eligible(entry, 0);
        ((*id).into(), replica)
    });
    Catalogue {
        version: 1,
        services: Arc::new(IndexMap::from([("s".into(), service)])),
        replicas: replicas.collect(),
        ..Catalogue::default()
    }
}

fn pool(ids: &[(&str, &str)], nodes: usize) -> UpstreamPool {
    let settings =
        PoolSettings { failure_domain: "west".into(), warmup_factor: 1.5, warmup_slack: 5.0 };
    let mut pool = UpstreamPool::new(settings);
    pool.update(0, &catalogue(ids, None), nodes);
    pool
}

fn pick(pool: &mut UpstreamPool, now_us: u64) -> Option<EcoString> {
    pool.pick("s", now_us, EXPECTED_US, &[])
}

/// Sends to a replica, and ends the send after a time.
fn complete_send(pool: &mut UpstreamPool, id: &str, now_us: u64, took_us: u64, end: SendOutcome) {
    let send = pool.start_send(id, now_us, EXPECTED_US, PATIENCE_US).unwrap();
    pool.finish_send(id, send, now_us + took_us, end, None);
}

#[test]
fn prefers_own_domain() {
    let mut pool = pool(&[("far", "east"), ("near", "west")], 8);
    for at in 0..10 {
        assert_eq!(pick(&mut pool, at).unwrap(), "near");
        complete_send(&mut pool, "near", at, EXPECTED_US, SendOutcome::Answered);
    }
}

/// A replica stands still for a tenth of a second. The first request that waits beyond its usual
/// time shows it, and new ones go to the sibling until it answers.
#[test]
fn stalled_replica() {
    let mut pool = pool(&[("near", "west"), ("far", "east")], 8);
    let send = pool.start_send("near", 0, EXPECTED_US, PATIENCE_US).unwrap();
    assert_eq!(pick(&mut pool, PATIENCE_US - 1).unwrap(), "near");
    assert_eq!(pick(&mut pool, PATIENCE_US).unwrap(), "far");
    pool.finish_send("near", send, 30_000, SendOutcome::Cancelled, None);
    assert_eq!(pick(&mut pool, 30_000).unwrap(), "near");
}

/// A replica works eight times as slowly for some seconds. It is left after a few answers, and
/// tried again within three seconds.
#[test]
fn slow_replica() {
    let mut pool = pool(&[("near", "west"), ("far", "east")], 8);
    let mut now_us = 0;
    for _ in 0..4 {
        complete_send(&mut pool, "near", now_us, 8 * EXPECTED_US, SendOutcome::Answered);
        now_us += 100_000;
    }
    assert_eq!(pick(&mut pool, now_us).unwrap(), "far");
    assert_eq!(pick(&mut pool, now_us + 3_000_000).unwrap(), "near");
}

/// One request in a hundred takes five times as long everywhere: that alone moves no work.
#[test]
fn single_straggler() {
    let mut pool = pool(&[("near", "west"), ("far", "east")], 8);
    complete_send(&mut pool, "near", 0, 5 * EXPECTED_US, SendOutcome::Answered);
    complete_send(&mut pool, "near", 60_000, EXPECTED_US, SendOutcome::Answered);
    assert_eq!(pick(&mut pool, 100_000).unwrap(), "near");
}

/// A process is down: its address refuses connections. It is left alone for a while that grows,
/// and gets work within 1.6 s of its return.
#[test]
fn unreachable_replica() {
    let mut pool = pool(&[("near", "west")], 8);
    let mut now_us = 0;
    for failure in 0..8 {
        complete_send(&mut pool, "near", now_us, 100, SendOutcome::Unreachable);
        now_us += 100;
        assert_eq!(pick(&mut pool, now_us), None, "after failure {failure}");
        assert!(pool.usable_in_us("s", now_us).unwrap() > 0);
        now_us += 1_600_000;
        assert!(pick(&mut pool, now_us).is_some(), "after failure {failure}");
    }
}

/// Replicas fail part of their requests while they look sound: the sibling gets more.
#[test]
fn failing_replica() {
    let mut pool = pool(&[("near", "west"), ("far", "east")], 8);
    for at in 0..4 {
        complete_send(&mut pool, "near", at * 1_000, 500, SendOutcome::Faulty);
    }
    assert_eq!(pick(&mut pool, 5_000).unwrap(), "far");
}

/// The replica's own word on its load counts what other nodes send there.
#[test]
fn reported_load() {
    let mut pool = pool(&[("near", "west"), ("far", "east")], 8);
    let send = pool.start_send("near", 0, EXPECTED_US, PATIENCE_US).unwrap();
    pool.finish_send("near", send, EXPECTED_US, SendOutcome::Answered, Some(9));
    assert_eq!(pick(&mut pool, EXPECTED_US).unwrap(), "far");
    assert_eq!(pick(&mut pool, EXPECTED_US + 100_000).unwrap(), "near", "old news");
}

/// Each node keeps to its share of the connections that a replica accepts from all.
#[test]
fn connection_share() {
    let mut pool = pool(&[("near", "west")], 16);
    for _ in 0..4 {
        assert!(pick(&mut pool, 0).is_some());
        pool.start_send("near", 0, EXPECTED_US, PATIENCE_US).unwrap();
    }
    assert_eq!(pick(&mut pool, 0), None, "four of sixty-four for each of sixteen nodes");
}

/// A replica has just started and bears twenty requests a second. All nodes want it at once; in
/// no second may it get more than 1.5 times that and 5.
#[test]
fn cold_start() {
    let nodes = 8;
    let settings =
        PoolSettings { failure_domain: "west".into(), warmup_factor: 1.5, warmup_slack: 5.0 };
    let catalogue = catalogue(&[("near", "west")], Some(20.0));
    let mut pools: Vec<UpstreamPool> =
        (0..nodes).map(|_| UpstreamPool::new(settings.clone())).collect();
    pools.iter_mut().for_each(|pool| pool.update(0, &catalogue, nodes));
    let mut sends = Vec::new();
    for now_us in (0..3_000_000).step_by(5_000) {
        for pool in &mut pools {
            if pool.pick("s", now_us, EXPECTED_US, &[]).is_some() {
                let send = pool.start_send("near", now_us, EXPECTED_US, PATIENCE_US).unwrap();
                pool.finish_send("near", send, now_us + 1, SendOutcome::Answered, None);
                sends.push(now_us);
            }
        }
    }
    for at in &sends {
        let count = sends.iter().filter(|other| (*at..*at + 1_000_000).contains(other)).count();
        assert!(count <= 35, "{count} in the second from {at}");
    }
    assert!(sends.len() >= 60, "only {} in three seconds", sends.len());
}

/// A replica starts again under its old id: what was known of the old life does not count.
#[test]
fn restarted_replica() {
    let mut pool = pool(&[("near", "west")], 8);
    for at in 0..6 {
        complete_send(&mut pool, "near", at, 100, SendOutcome::Unreachable);
    }
    assert_eq!(pick(&mut pool, 200), None);
    let mut next = catalogue(&[("near", "west")], None);
    let entry = &next.replicas["near"].entry;
    next.replicas["near"].entry = Arc::new(ReplicaEntry { born_ms: 2, ..(**entry).clone() });
    pool.update(200, &next, 8);
    assert_eq!(pick(&mut pool, 200).unwrap(), "near");
}

/// 200 nodes, 8 of which callers are sent to, share a replica that takes 64 connections. The
/// others get a request now and then; if each kept its connection, the replica would be full of
/// idle ones, and reset those that requests need.
#[test]
fn idle_connections() {
    let few = pool(&[("a", "west")], 8);
    assert_eq!(few.max_idle_connections("a", 200, true), 8);
    assert_eq!(few.max_idle_connections("a", 200, false), 0);
    assert_eq!(few.max_idle_connections("a", 30, false), 2, "room for all");
    assert_eq!(few.max_idle_connections("gone", 30, true), 0);
}

/// Both replicas of a shard work four times as slowly, and the near one has no free slot by its
/// own word of a moment ago. The wait for one is four times as long as a sound replica's: queries
/// sent into it came late while the sibling had a slot free.
#[test]
fn queue_of_slow_replica() {
    let mut pool = pool(&[("near", "west"), ("far", "east")], 8);
    let mut now_us = 0;
    for _ in 0..30 {
        for id in ["near", "far"] {
            complete_send(&mut pool, id, now_us, 4 * EXPECTED_US, SendOutcome::Answered);
        }
        now_us += 10_000;
    }
    assert_eq!(pick(&mut pool, now_us).unwrap(), "near");
    let send = pool.start_send("near", now_us, EXPECTED_US, 10 * PATIENCE_US).unwrap();
    now_us += 4 * EXPECTED_US;
    pool.finish_send("near", send, now_us, SendOutcome::Answered, Some(2));
    assert_eq!(pick(&mut pool, now_us + 20_000).unwrap(), "far");
}

/// A replica is eight times slower for good. Eight nodes that each send it all they have would let
/// its queue grow until every answer is late: once it has been slow for longer than a pause, a node
/// has room for no more than its eighth of the two slots.
#[test]
fn persistently_slow_replica() {
    let mut pool = pool(&[("near", "west")], 8);
    let slow = |pool: &UpstreamPool, now_us| pool.forecast("s", now_us, EXPECTED_US).unwrap().slow;
    let took_us = 8 * EXPECTED_US;
    let mut now_us = 0;
    for _ in 0..3 {
        complete_send(&mut pool, "near", now_us, took_us, SendOutcome::Answered);
        now_us += took_us;
    }
    assert!(slow(&pool, now_us).is_none(), "a pause may last as long");
    complete_send(&mut pool, "near", now_us, took_us, SendOutcome::Answered);
    now_us += took_us;
    assert!(slow(&pool, now_us).unwrap().tokens < 0.0, "four sends in a quarter of a second");
    // A quarter of a slot does one send of 64 ms in 256 ms.
    let start_us = now_us;
    let mut sends = 0;
    while now_us < start_us + 2_000_000 {
        if slow(&pool, now_us).is_some_and(|slow| slow.tokens >= 1.0) {
            complete_send(&mut pool, "near", now_us, took_us, SendOutcome::Answered);
            sends += 1;
        }
        now_us += took_us;
    }
    assert!((5..=9).contains(&sends), "{sends} sends in two seconds");
    complete_send(&mut pool, "near", now_us, EXPECTED_US, SendOutcome::Answered);
    assert!(slow(&pool, now_us + EXPECTED_US).is_none(), "it is quick again");
}
