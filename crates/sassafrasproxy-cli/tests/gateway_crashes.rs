//! Tests requests that crash the replicas that run them.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod gateway;

use std::time::Duration;

use sassafrasproxy_platform_standin::ReplicaMode;

use crate::gateway::Cluster;

/// Guards against a request that crashes one replica after another.
///
/// The request crashes each replica that runs it, and its caller sends it again, to three nodes in
/// turn. From the third crash on, no node may send it to a replica. Other requests for the same
/// service are served as soon as the replicas are back.
#[tokio::test(flavor = "multi_thread")]
async fn crashing_request_is_quarantined() {
    let cluster = Cluster::start(3).await;
    let runs = || {
        ["da", "db"].iter().map(|id| cluster.replica(id).started_attempt_ids().len()).sum::<usize>()
    };
    let before = runs();
    for attempt in 0..15 {
        for id in ["da", "db"] {
            cluster.replica(id).set_mode(ReplicaMode::Crashing);
        }
        let answer = cluster.ask(attempt % 3, "/desk/poison").await;
        assert_ne!(answer.status, 200);
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    let crashes = runs() - before;
    assert!(crashes <= 4, "{crashes} runs of the request");
    for id in ["da", "db"] {
        cluster.replica(id).set_mode(ReplicaMode::Answering(0));
    }
    for gateway in 0..3 {
        cluster.ask_until(gateway, "/desk/7", |answer| answer.status == 200).await;
        assert_eq!(cluster.ask(gateway, "/desk/poison").await.status, 503);
    }
}
