//! The whole path of a gateway: routes, one replica, all shards, and what may be repeated.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod gateway;

use std::time::{Duration, Instant};

use sassafrasproxy_platform_standin::{Behavior, ask, ask_with, request};

use crate::gateway::{HOST, PATIENCE, SHARDS, System, fresh_id, record};

#[tokio::test(flavor = "multi_thread")]
async fn one_replica() {
    let system = System::start(1).await;
    let answer = system.ask(0, "/desk/7").await;
    assert_eq!(answer.status, 200);
    assert_eq!(&answer.body[..], b"found");
    assert!(answer.stamp().starts_with('d'));
    let sent = system.replica("da").arrivals();
    let left_ms = sent[0].left_ms.unwrap();
    assert!(left_ms <= 1_000, "more time handed on than the route has: {left_ms}");
    assert_eq!(sent[0].target, "da");
}

#[tokio::test(flavor = "multi_thread")]
async fn all_shards() {
    let system = System::start(1).await;
    let answer = system.ask(0, "/all/7").await;
    assert_eq!(answer.status, 200);
    let greatest: Vec<u8> = (0..3).flat_map(|at| record(200 + SHARDS as u8 - 1 - at)).collect();
    assert_eq!(&answer.body[..], greatest);
    assert_eq!(answer.part_stamps().len(), SHARDS);
    assert_eq!(answer.missing_parts(), Some(0));
}

/// Both replicas of a shard are gone. The answer comes without it and says so; callers do not
/// wait for their deadline.
#[tokio::test(flavor = "multi_thread")]
async fn shard_missing() {
    let system = System::start(1).await;
    for id in ["s2a", "s2b"] {
        system.store.unlist(id);
    }
    let answer = system.ask_until(0, "/all/7", |answer| answer.missing_parts() == Some(1)).await;
    assert_eq!(answer.status, 200);
    assert_eq!(answer.part_stamps().len(), SHARDS - 1);
}

/// Too few shards are there. The refusal comes at once, before replicas of the others work for
/// nothing, and says truly that nothing ran, and when to come back.
#[tokio::test(flavor = "multi_thread")]
async fn too_few_shards() {
    let system = System::start(1).await;
    for id in ["s1a", "s1b", "s2a", "s2b"] {
        system.store.unlist(id);
    }
    system.ask_until(0, "/all/7", |answer| answer.status != 200).await;
    let before = system.replica("s0a").runs().len();
    let answer = system.ask(0, "/all/7").await;
    assert_eq!(answer.status, 503);
    assert_eq!(system.replica("s0a").runs().len(), before, "work for nothing");
    assert!(answer.retry_after_s() > 0.0);
}

#[tokio::test(flavor = "multi_thread")]
async fn no_route() {
    let system = System::start(1).await;
    assert_eq!(system.ask(0, "/nowhere/7").await.status, 404);
    assert_eq!(system.ask(0, "/desk").await.status, 404);
}

/// A node that has just started and cannot read the store knows no route: it must not say that
/// there is none.
#[tokio::test(flavor = "multi_thread")]
async fn no_configuration() {
    let mut system = System::start(0).await;
    system.store.set_mode(sassafrasproxy_platform_standin::StoreMode::Refusing(503));
    let at = system.add_gateway();
    let answer = system.ask(at, "/desk/7").await;
    assert_eq!(answer.status, 503);
    assert!(answer.retry_after_s() > 0.0);
}

/// One replica answers with failures, sheds, or answers to another request: the sibling is
/// asked, and the caller notices nothing.
#[tokio::test(flavor = "multi_thread")]
async fn sibling_answers() {
    let system = System::start(1).await;
    for behavior in [Behavior::Failing, Behavior::Shedding, Behavior::Crossed] {
        system.replica("da").set(behavior.clone());
        for _ in 0..5 {
            let answer = system.ask(0, "/desk/7").await;
            assert_eq!(answer.status, 200, "{behavior:?}");
            assert!(answer.stamp().starts_with("db"), "{behavior:?}");
        }
    }
}

/// A replica runs an order and fails, or its answer is lost. The order must not be sent again,
/// and a refusal that says "not run" is given only where every replica said so.
#[tokio::test(flavor = "multi_thread")]
async fn runs_once() {
    let cases =
        [(Behavior::Failing, 500, 1), (Behavior::Crossed, 502, 1), (Behavior::Shedding, 503, 2)];
    for (behavior, status, sends) in cases {
        let system = System::start(1).await;
        let arrivals = || ["da", "db"].map(|id| system.replica(id).arrivals().len());
        let before: usize = arrivals().iter().sum();
        for id in ["da", "db"] {
            system.replica(id).set(behavior.clone());
        }
        let answer = system.ask(0, "/desk/order/7").await;
        assert_eq!(answer.status, status, "{behavior:?}");
        assert_eq!(arrivals().iter().sum::<usize>(), before + sends, "{behavior:?}");
    }
}

/// A caller leaves while its request runs: the replica must be told, and stops.
#[tokio::test(flavor = "multi_thread")]
async fn caller_leaves() {
    let system = System::start(1).await;
    for id in ["da", "db"] {
        system.replica(id).set(Behavior::Silent);
    }
    let attempt = fresh_id();
    let asked = ask(system.gateways[0].callers(), HOST, "/desk/7", &attempt, 20_000);
    let left = tokio::time::timeout(Duration::from_millis(200), asked).await;
    assert!(left.is_err(), "nothing answers");
    let end = Instant::now() + PATIENCE;
    while system.replica("da").abandoned() + system.replica("db").abandoned() == 0 {
        assert!(Instant::now() < end, "a replica still works for a caller that left");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Nothing answers: at the route's timeout the caller gets its final answer, which does not say
/// that the request has not run.
#[tokio::test(flavor = "multi_thread")]
async fn route_timeout() {
    let system = System::start(1).await;
    for id in ["da", "db"] {
        system.replica(id).set(Behavior::Silent);
    }
    let answer = ask(system.gateways[0].callers(), HOST, "/desk/7", &fresh_id(), 20_000).await;
    assert_eq!(answer.unwrap().status, 504);
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_requests() {
    let system = System::start(1).await;
    let address = system.gateways[0].callers();
    let without_id = request("GET", HOST, "/desk/7", None, Vec::new()).unwrap();
    assert_eq!(ask_with(address, without_id).await.unwrap().status, 400);
    let large = request("POST", HOST, "/desk/7", Some(&fresh_id()), vec![0; 70_000]).unwrap();
    assert_eq!(ask_with(address, large).await.unwrap().status, 413);
}
