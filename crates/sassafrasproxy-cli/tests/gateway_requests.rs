//! Tests requests through a gateway: routing, single replicas, gathers, retries and idempotency.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod gateway;

use std::time::{Duration, Instant};

use sassafrasproxy_platform_standin::{ReplicaMode, build_request, send_get, send_request};

use crate::gateway::{Cluster, HOST, SHARD_COUNT, WAIT_TIMEOUT, record, unique_attempt_id};

#[tokio::test(flavor = "multi_thread")]
async fn single_replica_answers() {
    let cluster = Cluster::start(1).await;
    let answer = cluster.ask(0, "/desk/7").await;
    assert_eq!(answer.status, 200);
    assert_eq!(&answer.body[..], b"found");
    assert!(answer.stamp().starts_with('d'));
    let sent = cluster.replica("da").received_requests();
    let left_ms = sent[0].remaining_ms.unwrap();
    assert!(left_ms <= 1_000, "the replica got more time than the route's timeout: {left_ms}");
    assert_eq!(sent[0].target_replica_id, "da");
}

#[tokio::test(flavor = "multi_thread")]
async fn gather_merges_all_shards() {
    let cluster = Cluster::start(1).await;
    let answer = cluster.ask(0, "/all/7").await;
    assert_eq!(answer.status, 200);
    let top_records: Vec<u8> =
        (0..3).flat_map(|rank| record(200 + SHARD_COUNT as u8 - 1 - rank)).collect();
    assert_eq!(&answer.body[..], top_records);
    assert_eq!(answer.part_stamps().len(), SHARD_COUNT);
    assert_eq!(answer.missing_shard_count(), Some(0));
}

/// Guards against answers that hide a missing shard, or that come only at the deadline.
///
/// Both replicas of a shard are deregistered.
#[tokio::test(flavor = "multi_thread")]
async fn missing_shard_is_reported() {
    let cluster = Cluster::start(1).await;
    for id in ["s2a", "s2b"] {
        cluster.store.deregister_replica(id);
    }
    let answer =
        cluster.ask_until(0, "/all/7", |answer| answer.missing_shard_count() == Some(1)).await;
    assert_eq!(answer.status, 200);
    assert_eq!(answer.part_stamps().len(), SHARD_COUNT - 1);
}

/// Guards against replicas that work on a query that cannot reach its minimum coverage.
///
/// The replicas of too many shards are deregistered. The refusal must come at once, state
/// correctly that nothing ran, and carry a retry delay.
#[tokio::test(flavor = "multi_thread")]
async fn too_few_shards_are_refused() {
    let cluster = Cluster::start(1).await;
    for id in ["s1a", "s1b", "s2a", "s2b"] {
        cluster.store.deregister_replica(id);
    }
    cluster.ask_until(0, "/all/7", |answer| answer.status != 200).await;
    let before = cluster.replica("s0a").started_attempt_ids().len();
    let answer = cluster.ask(0, "/all/7").await;
    assert_eq!(answer.status, 503);
    assert_eq!(
        cluster.replica("s0a").started_attempt_ids().len(),
        before,
        "a replica ran a refused query"
    );
    assert!(answer.retry_after_s() > 0.0);
}

#[tokio::test(flavor = "multi_thread")]
async fn unknown_route_is_404() {
    let cluster = Cluster::start(1).await;
    assert_eq!(cluster.ask(0, "/nowhere/7").await.status, 404);
    assert_eq!(cluster.ask(0, "/desk").await.status, 404);
}

/// Guards against a 404 from a node that has no routes yet.
///
/// The node has just started and cannot read the store.
#[tokio::test(flavor = "multi_thread")]
async fn missing_configuration_is_503() {
    let mut cluster = Cluster::start(0).await;
    cluster.store.set_mode(sassafrasproxy_platform_standin::StoreMode::Refusing(503));
    let gateway = cluster.add_gateway();
    let answer = cluster.ask(gateway, "/desk/7").await;
    assert_eq!(answer.status, 503);
    assert!(answer.retry_after_s() > 0.0);
}

/// Guards against callers that get the failure of one replica while another is healthy.
///
/// One replica fails, sheds load, or answers with the id of another attempt.
#[tokio::test(flavor = "multi_thread")]
async fn retries_on_other_replica() {
    let cluster = Cluster::start(1).await;
    for mode in [ReplicaMode::Failing, ReplicaMode::Shedding, ReplicaMode::WrongAttemptId] {
        cluster.replica("da").set_mode(mode.clone());
        for _ in 0..5 {
            let answer = cluster.ask(0, "/desk/7").await;
            assert_eq!(answer.status, 200, "{mode:?}");
            assert!(answer.stamp().starts_with("db"), "{mode:?}");
        }
    }
}

/// Guards against a non-idempotent request that runs twice, and against a false "not run".
///
/// A replica runs the request and fails, or its answer is lost. The request must not be sent again,
/// and the refusal says "not run" only if every replica said so.
#[tokio::test(flavor = "multi_thread")]
async fn non_idempotent_runs_once() {
    let cases = [
        (ReplicaMode::Failing, 500, 1),
        (ReplicaMode::WrongAttemptId, 502, 1),
        (ReplicaMode::Shedding, 503, 2),
    ];
    for (mode, status, sends) in cases {
        let cluster = Cluster::start(1).await;
        let arrivals = || ["da", "db"].map(|id| cluster.replica(id).received_requests().len());
        let before: usize = arrivals().iter().sum();
        for id in ["da", "db"] {
            cluster.replica(id).set_mode(mode.clone());
        }
        let answer = cluster.ask(0, "/desk/order/7").await;
        assert_eq!(answer.status, status, "{mode:?}");
        assert_eq!(arrivals().iter().sum::<usize>(), before + sends, "{mode:?}");
    }
}

/// Guards against replicas that keep working after the caller has disconnected.
#[tokio::test(flavor = "multi_thread")]
async fn caller_disconnect_cancels_send() {
    let cluster = Cluster::start(1).await;
    for id in ["da", "db"] {
        cluster.replica(id).set_mode(ReplicaMode::Unresponsive);
    }
    let attempt = unique_attempt_id();
    let request =
        send_get(cluster.gateways[0].callers_address(), HOST, "/desk/7", &attempt, 20_000);
    let result = tokio::time::timeout(Duration::from_millis(200), request).await;
    assert!(result.is_err(), "an unresponsive replica answered");
    let end = Instant::now() + WAIT_TIMEOUT;
    while cluster.replica("da").cancelled_count() + cluster.replica("db").cancelled_count() == 0 {
        assert!(Instant::now() < end, "a replica still works for a caller that disconnected");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Guards against a false "not run", or no answer at all, when no replica answers.
///
/// At the timeout of the route, the caller gets a 504.
#[tokio::test(flavor = "multi_thread")]
async fn route_timeout_is_504() {
    let cluster = Cluster::start(1).await;
    for id in ["da", "db"] {
        cluster.replica(id).set_mode(ReplicaMode::Unresponsive);
    }
    let answer = send_get(
        cluster.gateways[0].callers_address(),
        HOST,
        "/desk/7",
        &unique_attempt_id(),
        20_000,
    )
    .await;
    assert_eq!(answer.unwrap().status, 504);
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_requests_are_refused() {
    let cluster = Cluster::start(1).await;
    let address = cluster.gateways[0].callers_address();
    let without_id = build_request("GET", HOST, "/desk/7", None, Vec::new()).unwrap();
    assert_eq!(send_request(address, without_id).await.unwrap().status, 400);
    let large = build_request("POST", HOST, "/desk/7", Some(&unique_attempt_id()), vec![0; 70_000])
        .unwrap();
    assert_eq!(send_request(address, large).await.unwrap().status, 413);
}
