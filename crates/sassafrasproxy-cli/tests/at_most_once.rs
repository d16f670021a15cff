//! Tests with separate processes that non-idempotent requests run at most once.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;
use sassafrasproxy_standin::{Outage, PlatformFaults, Stragglers, UpstreamFault};
use sassafrasproxy_wire::{FailureReason, Outcome, QueryAnswer, Refusal};
use serde_json::json;
use support::{Cluster, search_until_complete, send_query};
use tokio::task::JoinSet;

/// Sends a reorder, which is not idempotent, with a key as its request id.
async fn send_reorder(
    node: SocketAddr,
    key: &str,
    body: &str,
) -> Result<QueryAnswer, (u16, Refusal)> {
    let request = json!({ "services": ["counter-desk"], "kind": "reorder", "body": body });
    send_query(node, request.to_string(), &[("x-request-id", key)]).await
}

/// Returns the number of times that upstreams started to run each reorder, by its body.
fn run_counts(cluster: &Cluster) -> IndexMap<String, usize> {
    let mut counts = IndexMap::new();
    let runs = cluster.upstreams.iter().flat_map(|(_, upstream)| upstream.runs());
    for run in runs.filter(|run| run.kind == "reorder") {
        *counts.entry(run.body.to_string()).or_default() += 1;
    }
    counts
}

async fn start_cluster(node_count: usize) -> Cluster {
    let cluster = Cluster::start(node_count).await;
    for node in &cluster.nodes {
        search_until_complete(node.address(), &["counter-desk"]).await;
    }
    cluster
}

#[tokio::test(flavor = "multi_thread")]
async fn repeat_through_another_node() {
    let cluster = start_cluster(2).await;
    let (first, other) = (cluster.nodes[0].address(), cluster.nodes[1].address());
    let answer = send_reorder(first, "order-1", "100 cards").await.unwrap();
    let repeat = loop {
        // The outcome of the order is recorded just after its answer is sent.
        match send_reorder(other, "order-1", "100 cards").await {
            Ok(repeat) => break repeat,
            Err((_, refusal)) => assert_eq!(refusal.reason, FailureReason::KeyUsed),
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    };
    assert_eq!(repeat.results[0].body.get(), answer.results[0].body.get());
    let (status, refusal) = send_reorder(other, "order-1", "200 cards").await.unwrap_err();
    assert_eq!((status, refusal.reason), (409, FailureReason::KeyReused));
    assert_eq!(run_counts(&cluster).into_values().collect::<Vec<_>>(), [1]);
}

// Guards against an order that hangs or runs while the platform's store is unavailable. The answer
// must say at once that the order did not run, so that staff can retry it later.
#[tokio::test(flavor = "multi_thread")]
async fn store_unavailable() {
    let cluster = start_cluster(2).await;
    let node = cluster.nodes[0].address();
    send_reorder(node, "order-0", "0 cards").await.unwrap();
    let outage = Some(Outage::Fail);
    cluster.platform.set_faults(PlatformFaults { outage, ..PlatformFaults::default() });
    let (status, refusal) = send_reorder(node, "order-1", "1 cards").await.unwrap_err();
    assert_eq!((status, refusal.reason), (503, FailureReason::ClaimUnavailable));
    assert_eq!(refusal.outcome, Outcome::NotRun);
    assert!(refusal.retry_after_ms.is_some());
    search_until_complete(node, &["counter-desk"]).await;
    cluster.platform.set_faults(PlatformFaults::default());
    assert_eq!(run_counts(&cluster).len(), 1);
    while send_reorder(node, "order-1", "1 cards").await.is_err() {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert!(run_counts(&cluster).values().all(|count| *count == 1));
}

// Guards against a second run of an order whose ingress node is killed while the order runs. Staff
// send the order again through another node; a second print run would cost a day's paper.
#[tokio::test(flavor = "multi_thread")]
async fn killed_ingress_node() {
    let mut cluster = start_cluster(2).await;
    for (_, upstream) in &cluster.upstreams {
        let straggle = Stragglers { probability: 1.0, factor: 50.0 };
        upstream.apply_fault(UpstreamFault::Straggle(Some(straggle)));
    }
    let node = cluster.nodes[1].address();
    let request = json!({ "services": ["counter-desk"], "kind": "reorder", "body": "cards" });
    let client = reqwest::Client::builder().no_proxy().build().unwrap();
    let call = client.post(format!("http://{node}/v1/query")).header("x-request-id", "order-1");
    let call = tokio::spawn(call.body(request.to_string()).send());
    while run_counts(&cluster).is_empty() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    cluster.nodes[1].kill().unwrap();
    assert!(call.await.unwrap().is_err(), "the caller sees its connection end");
    for _ in 0..5 {
        let (_, refusal) =
            send_reorder(cluster.nodes[0].address(), "order-1", "cards").await.unwrap_err();
        assert_ne!(refusal.outcome, Outcome::NotRun, "it did run: {refusal:?}");
    }
    assert_eq!(run_counts(&cluster).into_values().collect::<Vec<_>>(), [1]);
}

// Guards against orders that run twice, and against answers for another order, when several faults
// coincide: the store's answers are lost, an upstream crashes and a node is paused. Meanwhile three
// callers repeat twenty orders through all nodes until each is answered. The upstreams' own records
// must show each order at most once, and every answer must belong to its order.
#[tokio::test(flavor = "multi_thread")]
async fn repeated_requests_under_faults() {
    let cluster = start_cluster(3).await;
    let nodes: Vec<SocketAddr> =
        cluster.nodes.iter().map(sassafrasproxy_standin::NodeProcess::address).collect();
    let mut callers = JoinSet::new();
    for caller in 0..3 {
        for order in 0..20 {
            let nodes = nodes.clone();
            callers.spawn(async move {
                let (key, body) = (format!("order-{order}"), format!("{order} cards"));
                for attempt in 0..12 {
                    let node = nodes[(caller + attempt) % nodes.len()];
                    if let Ok(answer) = send_reorder(node, &key, &body).await {
                        let echo = format!("\"echo\":\"{body}\"");
                        assert!(
                            answer.results[0].body.get().contains(&echo),
                            "answer to another order"
                        );
                        return true;
                    }
                    tokio::time::sleep(Duration::from_millis(40)).await;
                }
                false
            });
        }
    }
    for round in 0..6 {
        let faults = PlatformFaults { lose_answers: 3, ..PlatformFaults::default() };
        cluster.platform.set_faults(faults);
        if round == 1 {
            cluster.nodes[2].pause().unwrap();
        }
        if round == 2 {
            cluster.upstreams[2].1.apply_fault(UpstreamFault::Crash { down_ms: 100 });
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
        if round == 4 {
            cluster.nodes[2].resume().unwrap();
        }
    }
    let answered = callers.join_all().await.into_iter().filter(|is_answered| *is_answered).count();
    let runs = run_counts(&cluster);
    println!("{answered} of 60 answered, {} orders ran", runs.len());
    for (body, count) in &runs {
        assert_eq!(*count, 1, "{body} ran {count} times");
    }
    assert!(answered > 0);
}
