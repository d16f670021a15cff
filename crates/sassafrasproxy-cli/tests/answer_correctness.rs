//! Tests of answers under upstream faults: each must come from one snapshot, state its coverage
//! correctly and belong to its request.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use sassafrasproxy_standin::{UpstreamFault, shard_names};
use sassafrasproxy_wire::{HeldSnapshot, QueryAnswer};
use serde_json::{Value, json};
use support::{Cluster, search_until_complete, send_query};

const SERVICES: [&str; 2] = ["art-archive", "counter-desk"];

async fn start_cluster() -> Cluster {
    let cluster = Cluster::start(2).await;
    for node in &cluster.nodes {
        search_until_complete(node.address(), &SERVICES).await;
    }
    cluster
}

/// Sends one search with a given text and checks what must hold for every answer: its coverage,
/// its snapshot and that it belongs to this request. Returns `None` if the search is refused.
async fn send_checked_search(node: SocketAddr, text: &str) -> Option<QueryAnswer> {
    let request = json!({ "services": SERVICES, "kind": "search", "body": { "text": text } });
    let answer = send_query(node, request.to_string(), &[]).await.ok()?;
    let shards: Vec<_> = answer.results.iter().map(|result| result.shard.clone()).collect();
    assert_eq!(shards, answer.coverage.covered, "the coverage lists the shards of the results");
    for result in &answer.results {
        let body: Value = serde_json::from_str(result.body.get()).unwrap();
        assert_eq!(body["echo"]["text"], text, "the answer echoes this request");
        assert_eq!(body["shard"], result.shard.shard.as_str());
        assert_eq!(body["snapshot"], answer.snapshot, "all results are from one snapshot");
    }
    Some(answer)
}

/// Sends a number of searches; returns how many were answered in full, and how many were sent.
async fn send_checked_searches(node: SocketAddr, count: usize) -> (usize, usize) {
    let mut full = 0;
    for number in 0..count {
        if let Some(answer) = send_checked_search(node, &format!("verse {number}")).await {
            full += usize::from(answer.coverage.missing.is_empty());
        }
    }
    (full, count)
}

// Guards against faulty upstream answers that reach a caller: answers for another request,
// truncated ones, shed requests, and none at all after a crash. Each request must be repeated on
// another replica, or its shard be missing with a reason.
#[tokio::test(flavor = "multi_thread")]
async fn faulty_upstream_answers() {
    let faults: [(&str, UpstreamFault, UpstreamFault); 4] = [
        ("crossed", UpstreamFault::CrossAnswers(true), UpstreamFault::CrossAnswers(false)),
        ("truncated", UpstreamFault::Truncate(true), UpstreamFault::Truncate(false)),
        ("shed", UpstreamFault::Shed(true), UpstreamFault::Shed(false)),
        ("crash", UpstreamFault::Crash { down_ms: 200 }, UpstreamFault::TurnCold),
    ];
    for (name, on, off) in faults {
        let cluster = start_cluster().await;
        let node = cluster.nodes[0].address();
        cluster.upstreams[0].1.apply_fault(on);
        let (full, sent) = send_checked_searches(node, 40).await;
        println!("{name}: {full} of {sent} in full");
        assert!(full > 0, "{name}");
        cluster.upstreams[0].1.apply_fault(off);
        search_until_complete(node, &SERVICES).await;
    }
}

// Guards against a replica that permanently uses up the budget for hedges and retries. One replica
// answers every request with another request's id, for as long as it runs; the budget covers only
// the first few of these answers. The other replica is healthy, so callers must get complete
// answers.
#[tokio::test(flavor = "multi_thread")]
async fn persistently_mismatched_answers() {
    let cluster = start_cluster().await;
    cluster.upstreams[0].1.apply_fault(UpstreamFault::CrossAnswers(true));
    let (full, sent) = send_checked_searches(cluster.nodes[0].address(), 300).await;
    println!("{full} of {sent} in full");
    assert!(full * 10 > sent * 9, "{full} of {sent}");
}

// Guards against requests that wait forever on stalled connections. Something between node and
// upstream, such as a firewall, silently drops every open connection under load, so that no answer
// and no error arrives.
#[tokio::test(flavor = "multi_thread")]
async fn stalled_connections() {
    let cluster = start_cluster().await;
    let node = cluster.nodes[0].address();
    send_checked_searches(node, 20).await;
    for (_, upstream) in &cluster.upstreams {
        upstream.apply_fault(UpstreamFault::SilenceConnections);
    }
    let (full, sent) = send_checked_searches(node, 20).await;
    assert_eq!(full, sent, "each was sent again on a new connection");
}

/// Returns a snapshot that holds every shard of its layout.
fn complete_snapshot(id: u64, shards: usize) -> HeldSnapshot {
    HeldSnapshot { id, shards: shard_names(shards), layout: shard_names(shards) }
}

// Guards against answers that mix snapshots. While searches run, replicas load the new snapshot and
// drop the old one, one replica after another. Every answer must come from one of the two.
#[tokio::test(flavor = "multi_thread")]
async fn rolling_snapshots() {
    let cluster = start_cluster().await;
    let shards = |service: &str| if service == "art-archive" { 2 } else { 1 };
    let node = cluster.nodes[1].address();
    let roll = async {
        for (service, upstream) in &cluster.upstreams {
            let both =
                vec![complete_snapshot(7, shards(service)), complete_snapshot(8, shards(service))];
            upstream.apply_fault(UpstreamFault::Hold(both));
            tokio::time::sleep(Duration::from_millis(150)).await;
        }
        // Statuses lag, so a replica may drop the old snapshot before every node knows the new one.
        for (service, upstream) in &cluster.upstreams {
            upstream.apply_fault(UpstreamFault::Hold(vec![complete_snapshot(8, shards(service))]));
            tokio::time::sleep(Duration::from_millis(150)).await;
        }
    };
    let ((full, sent), ()) = tokio::join!(send_checked_searches(node, 150), roll);
    println!("{full} of {sent} in full during the roll");
    let answer = search_until_complete(node, &SERVICES).await;
    assert_eq!(answer.snapshot, 8);
}

// Guards against answers that omit or duplicate a key range without saying so while a service is
// split from 2 shards into 4 under load. Every answer must cover one layout, or name the shards of
// it that are missing.
#[tokio::test(flavor = "multi_thread")]
async fn resharding() {
    let cluster = start_cluster().await;
    let node = cluster.nodes[0].address();
    let layouts = [2, 4];
    let split = async {
        for upstream in cluster.upstreams.iter().filter(|(name, _)| name == "art-archive") {
            upstream.1.apply_fault(UpstreamFault::Hold(vec![
                complete_snapshot(7, 2),
                complete_snapshot(8, 4),
            ]));
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
    };
    let check = async {
        for number in 0..80 {
            let Some(answer) = send_checked_search(node, &format!("verse {number}")).await else {
                continue;
            };
            let missing = answer.coverage.missing.iter().map(|missing| &missing.shard);
            let named = answer.coverage.covered.iter().chain(missing);
            let count = named.filter(|shard| shard.service == "art-archive").count();
            let expected = layouts[usize::from(answer.snapshot == 8)];
            assert_eq!(count, expected, "the layout of snapshot {}", answer.snapshot);
        }
    };
    tokio::join!(check, split);
    let answer = search_until_complete(node, &["art-archive"]).await;
    assert_eq!((answer.snapshot, answer.results.len()), (8, 4));
}

// Guards against a request that crashes every upstream that runs it, while its caller repeats it
// through all nodes. At most two replicas may crash, and other searches must still be answered.
#[tokio::test(flavor = "multi_thread")]
async fn poison_request() {
    let cluster = start_cluster().await;
    for (_, upstream) in &cluster.upstreams {
        upstream.apply_fault(UpstreamFault::CrashOn(Some("kill".into())));
    }
    let poison = json!({ "services": ["counter-desk"], "kind": "search", "body": "kill" });
    for number in 0..30 {
        let node = cluster.nodes[number % 2].address();
        let _ = send_query(node, poison.to_string(), &[]).await;
    }
    let crash_count: u32 =
        cluster.upstreams.iter().map(|(_, upstream)| upstream.crash_count()).sum();
    assert!((1..=2).contains(&crash_count), "{crash_count} crashed");
    for node in &cluster.nodes {
        search_until_complete(node.address(), &SERVICES).await;
    }
}
