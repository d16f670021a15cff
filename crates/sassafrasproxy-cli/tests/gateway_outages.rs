//! Tests gateways during and after outages of the store, and while it cuts watches.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod gateway;

use std::time::{Duration, Instant};

use sassafrasproxy_platform_standin::{FaultProxy, ReplicaMode, StoreMode};

use crate::gateway::{Cluster, WAIT_TIMEOUT, routes_with};

/// The time after an outage from which nodes count as in touch with the store again.
const IN_TOUCH_AFTER: Duration = Duration::from_secs(4);

/// The time for which a replica that leaves goes on serving.
const DRAIN_TIME: Duration = Duration::from_secs(3);

/// Guards against failed requests during a store outage, and against changes that are missed after
/// it.
///
/// The store refuses calls or stops answering, and compacts its history meanwhile. Callers must be
/// served throughout, and a configuration that was published meanwhile must become active after the
/// recovery.
#[tokio::test(flavor = "multi_thread")]
async fn serves_during_store_outages() {
    let mut cluster = Cluster::start(1).await;
    for (index, mode) in
        [StoreMode::Refusing(503), StoreMode::Refusing(429), StoreMode::Unresponsive]
            .into_iter()
            .enumerate()
    {
        cluster.store.set_mode(mode);
        let name = format!("new{index}");
        cluster.publish(&routes_with(&name));
        cluster.store.compact();
        for _ in 0..20 {
            assert_eq!(cluster.ask(0, "/desk/7").await.status, 200, "{mode:?}");
            assert_eq!(cluster.ask(0, "/all/7").await.status, 200, "{mode:?}");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        cluster.store.set_mode(StoreMode::Up);
        cluster.ask_until(0, &format!("/{name}/7"), |answer| answer.status == 200).await;
    }
}

/// Guards against a configuration that is late after an outage, as a node goes on waiting for a call
/// that the silent store has taken.
#[tokio::test(flavor = "multi_thread")]
async fn configuration_is_soon_after_silent_outage() {
    let mut cluster = Cluster::start(2).await;
    cluster.publish(&routes_with("before"));
    for gateway in 0..2 {
        cluster.ask_until(gateway, "/before/7", |answer| answer.status == 200).await;
    }
    // The next watches begin, and are in flight when the store falls silent.
    tokio::time::sleep(Duration::from_millis(600)).await;
    cluster.store.set_mode(StoreMode::Unresponsive);
    tokio::time::sleep(Duration::from_secs(6)).await;
    cluster.store.set_mode(StoreMode::Up);
    cluster.publish(&routes_with("after"));
    let back = Instant::now();
    for gateway in 0..2 {
        cluster.ask_until(gateway, "/after/7", |answer| answer.status == 200).await;
        let took = back.elapsed();
        assert!(took < IN_TOUCH_AFTER, "gateway {gateway} after {took:?}");
    }
}

/// Guards against a configuration that is late after a short outage that begins just after the store
/// has answered, or in which the store forgets the watches that wait.
#[tokio::test(flavor = "multi_thread")]
async fn configuration_is_soon_after_short_outage() {
    let mut cluster = Cluster::start(7).await;
    let phases = [
        (50, 800, false),
        (50, 1_200, false),
        (300, 1_200, false),
        (600, 600, true),
        (1_500, 600, true),
    ];
    let mut late = Vec::new();
    for (pause_ms, outage_ms, is_forgetful) in phases {
        // The last configuration and the outage before it are over.
        tokio::time::sleep(IN_TOUCH_AFTER).await;
        let name = format!("before-{}", cluster.version);
        cluster.publish(&routes_with(&name));
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        cluster.store.set_mode(StoreMode::Unresponsive);
        if is_forgetful {
            cluster.store.forget_watches();
        }
        tokio::time::sleep(Duration::from_millis(outage_ms)).await;
        cluster.store.set_mode(StoreMode::Up);
        let name = format!("after-{}", cluster.version);
        cluster.publish(&routes_with(&name));
        let back = Instant::now();
        for gateway in 0..cluster.gateways.len() {
            cluster.ask_until(gateway, &format!("/{name}/7"), |answer| answer.status == 200).await;
        }
        let took = back.elapsed();
        println!("{pause_ms} ms, {outage_ms} ms, forgetful {is_forgetful}: {took:?}");
        if took >= IN_TOUCH_AFTER {
            late.push((pause_ms, outage_ms, is_forgetful, took));
        }
    }
    assert!(late.is_empty(), "pause, outage, whether forgetful, in force after: {late:?}");
}

/// Guards against starting nodes that find no peers after an outage in which leases ended, as the
/// nodes that run register again only when they renew their leases.
#[tokio::test(flavor = "multi_thread")]
async fn registers_soon_after_outage() {
    const PREFIX: &str = "sassafrasproxy/nodes/";
    let cluster = Cluster::start(2).await;
    let end = Instant::now() + WAIT_TIMEOUT;
    while cluster.store.keys(PREFIX).len() < 2 {
        assert!(Instant::now() < end, "the nodes never registered");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    cluster.store.set_mode(StoreMode::Unresponsive);
    for key in cluster.store.keys(PREFIX) {
        cluster.store.remove(&key);
    }
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    cluster.store.set_mode(StoreMode::Up);
    let back = Instant::now();
    while cluster.store.keys(PREFIX).len() < 2 {
        assert!(back.elapsed() < IN_TOUCH_AFTER, "a node is not registered");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against work for a replica that left just before a short outage, in which the removal of its
/// entry is not read, and after which it is held as if its entry had expired.
#[tokio::test(flavor = "multi_thread")]
async fn replica_departed_before_outage_gets_no_work() {
    let mut cluster = Cluster::start(2).await;
    tokio::time::sleep(IN_TOUCH_AFTER).await;
    cluster.publish(&routes_with("before"));
    tokio::time::sleep(Duration::from_millis(100)).await;
    cluster.store.deregister_replica("db");
    cluster.store.set_mode(StoreMode::Unresponsive);
    // The next watch begins just before the store is back.
    tokio::time::sleep(Duration::from_millis(450)).await;
    cluster.store.set_mode(StoreMode::Up);
    tokio::time::sleep(IN_TOUCH_AFTER).await;
    let before = cluster.replica("db").received_requests().len();
    let end = Instant::now() + Duration::from_secs(2);
    while Instant::now() < end {
        for gateway in 0..2 {
            assert_eq!(cluster.ask(gateway, "/desk/7").await.status, 200);
        }
    }
    let late = cluster.replica("db").received_requests().len() - before;
    assert_eq!(late, 0, "requests later than {IN_TOUCH_AFTER:?} after the outage");
}

/// Guards against work for a replica whose entry was removed between two watches that the store cut,
/// which do not make an outage.
#[tokio::test(flavor = "multi_thread")]
async fn departed_replica_gets_no_work_between_cuts() {
    let mut cluster = Cluster::start(0).await;
    let proxy = FaultProxy::start(cluster.store.address());
    let gateway = cluster.add_gateway_with_store(proxy.address());
    cluster.ask_until(gateway, "/desk/1", |answer| answer.status == 200).await;
    // The registration of the gateway is the last change.
    tokio::time::sleep(Duration::from_secs(2)).await;
    proxy.reset_open_connections();
    tokio::time::sleep(Duration::from_millis(4_800)).await;
    cluster.store.deregister_replica("db");
    let removed = Instant::now();
    tokio::time::sleep(Duration::from_millis(800)).await;
    proxy.reset_open_connections();
    tokio::time::sleep(DRAIN_TIME.saturating_sub(removed.elapsed())).await;
    let before = cluster.replica("db").received_requests().len();
    let end = Instant::now() + Duration::from_secs(2);
    while Instant::now() < end {
        assert_eq!(cluster.ask(gateway, "/desk/7").await.status, 200);
    }
    let late = cluster.replica("db").received_requests().len() - before;
    assert_eq!(late, 0, "requests later than {DRAIN_TIME:?} after the removal");
}

/// Guards against work for a replica whose entry was removed while the store cuts one watch after
/// another, each of which would hold the replica for longer.
#[tokio::test(flavor = "multi_thread")]
async fn departed_replica_gets_no_work_while_cuts_go_on() {
    let mut cluster = Cluster::start(0).await;
    let proxy = FaultProxy::start(cluster.store.address());
    let gateway = cluster.add_gateway_with_store(proxy.address());
    cluster.ask_until(gateway, "/desk/1", |answer| answer.status == 200).await;
    let (mut removed, mut late) = (None, 0);
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(10) {
        proxy.reset_open_connections();
        if removed.is_none() && start.elapsed() > Duration::from_secs(3) {
            cluster.store.deregister_replica("db");
            removed = Some(Instant::now());
        }
        let next_cut = Instant::now() + Duration::from_millis(700);
        while Instant::now() < next_cut {
            let before = cluster.replica("db").received_requests().len();
            let is_departed = removed.is_some_and(|removed| removed.elapsed() > DRAIN_TIME);
            assert_eq!(cluster.ask(gateway, "/desk/7").await.status, 200);
            if is_departed {
                late += cluster.replica("db").received_requests().len() - before;
            }
        }
    }
    assert_eq!(late, 0, "requests later than {DRAIN_TIME:?} after the removal");
}

/// Guards against a record of a crashing request that is late after an outage, so that nodes that
/// start then send the request to replicas again.
#[tokio::test(flavor = "multi_thread")]
async fn quarantines_are_recorded_soon_after_outage() {
    let cluster = Cluster::start(3).await;
    cluster.set_modes(ReplicaMode::CrashingOn("poison"));
    let mut late = Vec::new();
    for (index, path) in ["/desk/poison-1", "/desk/poison-2"].into_iter().enumerate() {
        cluster.store.set_mode(StoreMode::Unresponsive);
        // The replicas that crashed before are back.
        tokio::time::sleep(Duration::from_millis(1_200)).await;
        for gateway in 0..2 {
            assert_ne!(cluster.ask(gateway, path).await.status, 200);
        }
        tokio::time::sleep(Duration::from_millis(400 * index as u64)).await;
        cluster.store.set_mode(StoreMode::Up);
        let back = Instant::now();
        while cluster.store.keys("sassafrasproxy/quarantine/").len() <= index {
            assert!(back.elapsed() < WAIT_TIMEOUT, "no record of {path}");
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        let took = back.elapsed();
        println!("{path} recorded after {took:?}");
        if took >= IN_TOUCH_AFTER {
            late.push((path, took));
        }
    }
    assert!(late.is_empty(), "path, recorded after: {late:?}");
}
