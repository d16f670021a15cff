//! Answers under upstream faults: one snapshot, true coverage, everyone's own answer.

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
    let system = Cluster::start(2).await;
    for node in &system.nodes {
        search_until_complete(node.address(), &SERVICES).await;
    }
    system
}

/// Sends one search with a text of its own and checks all that must hold of any answer.
async fn send_checked_search(node: SocketAddr, text: &str) -> Option<QueryAnswer> {
    let request = json!({ "services": SERVICES, "kind": "search", "body": { "text": text } });
    let answer = send_query(node, request.to_string(), &[]).await.ok()?;
    let shards: Vec<_> = answer.results.iter().map(|result| result.shard.clone()).collect();
    assert_eq!(shards, answer.coverage.covered, "the coverage is what is there");
    for result in &answer.results {
        let body: Value = serde_json::from_str(result.body.get()).unwrap();
        assert_eq!(body["echo"]["text"], text, "its own answer");
        assert_eq!(body["shard"], result.shard.shard.as_str());
        assert_eq!(body["snapshot"], answer.snapshot, "one snapshot");
    }
    Some(answer)
}

/// Sends searches for a while; returns how many were answered in full, and how many sent.
async fn send_checked_searches(node: SocketAddr, count: usize) -> (usize, usize) {
    let mut full = 0;
    for number in 0..count {
        if let Some(answer) = send_checked_search(node, &format!("verse {number}")).await {
            full += usize::from(answer.coverage.missing.is_empty());
        }
    }
    (full, count)
}

// Answers come crossed, cut off in the middle, shed, or not at all. Each must be repeated on
// another replica or be missing with a reason; none may reach a caller.
#[tokio::test(flavor = "multi_thread")]
async fn faulty_upstream_answers() {
    let faults: [(&str, UpstreamFault, UpstreamFault); 4] = [
        ("crossed", UpstreamFault::CrossAnswers(true), UpstreamFault::CrossAnswers(false)),
        ("truncated", UpstreamFault::Truncate(true), UpstreamFault::Truncate(false)),
        ("shed", UpstreamFault::Shed(true), UpstreamFault::Shed(false)),
        ("crash", UpstreamFault::Crash { down_ms: 200 }, UpstreamFault::TurnCold),
    ];
    for (name, on, off) in faults {
        let system = start_cluster().await;
        let node = system.nodes[0].address();
        system.upstreams[0].1.apply_fault(on);
        let (full, sent) = send_checked_searches(node, 40).await;
        println!("{name}: {full} of {sent} in full");
        assert!(full > 0, "{name}");
        system.upstreams[0].1.apply_fault(off);
        search_until_complete(node, &SERVICES).await;
    }
}

// One replica of a service answers every request with another request's id, for as long as it
// runs. Its sibling is sound, so callers must get whole answers: the budget for second sends,
// which covers the first few, must not be spent on that replica for good.
#[tokio::test(flavor = "multi_thread")]
async fn persistently_mismatched_answers() {
    let system = start_cluster().await;
    system.upstreams[0].1.apply_fault(UpstreamFault::CrossAnswers(true));
    let (full, sent) = send_checked_searches(system.nodes[0].address(), 300).await;
    println!("{full} of {sent} in full");
    assert!(full * 10 > sent * 9, "{full} of {sent}");
}

// Something in between forgets every open connection, under load. Nobody may wait for good.
#[tokio::test(flavor = "multi_thread")]
async fn stalled_connections() {
    let system = start_cluster().await;
    let node = system.nodes[0].address();
    send_checked_searches(node, 20).await;
    for (_, upstream) in &system.upstreams {
        upstream.apply_fault(UpstreamFault::SilenceConnections);
    }
    let (full, sent) = send_checked_searches(node, 20).await;
    assert_eq!(full, sent, "each was sent again on a new connection");
}

/// A snapshot with every shard of a layout.
fn complete_snapshot(id: u64, shards: usize) -> HeldSnapshot {
    HeldSnapshot { id, shards: shard_names(shards), layout: shard_names(shards) }
}

// Index versions change under queries: replicas take the new snapshot and drop the old one, one
// by one, while searches run. Every answer must come from one of the two.
#[tokio::test(flavor = "multi_thread")]
async fn rolling_snapshots() {
    let system = start_cluster().await;
    let shards = |service: &str| if service == "art-archive" { 2 } else { 1 };
    let node = system.nodes[1].address();
    let roll = async {
        for (service, upstream) in &system.upstreams {
            let both =
                vec![complete_snapshot(7, shards(service)), complete_snapshot(8, shards(service))];
            upstream.apply_fault(UpstreamFault::Hold(both));
            tokio::time::sleep(Duration::from_millis(150)).await;
        }
        // Statuses lag: the old one goes before everyone has read of the new one.
        for (service, upstream) in &system.upstreams {
            upstream.apply_fault(UpstreamFault::Hold(vec![complete_snapshot(8, shards(service))]));
            tokio::time::sleep(Duration::from_millis(150)).await;
        }
    };
    let ((full, sent), ()) = tokio::join!(send_checked_searches(node, 150), roll);
    println!("{full} of {sent} in full during the roll");
    let answer = search_until_complete(node, &SERVICES).await;
    assert_eq!(answer.snapshot, 8);
}

// A service is split from 2 shards into 4 under load. No range may be missing or doubled without
// being said: every answer covers one layout or names what is missing of it.
#[tokio::test(flavor = "multi_thread")]
async fn resharding() {
    let system = start_cluster().await;
    let node = system.nodes[0].address();
    let layouts = [2, 4];
    let split = async {
        for upstream in system.upstreams.iter().filter(|(name, _)| name == "art-archive") {
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

// One request crashes each upstream that runs it, and its caller sends it again and again through
// all nodes. At most two replicas may die, and others' searches go on.
#[tokio::test(flavor = "multi_thread")]
async fn poison_request() {
    let system = start_cluster().await;
    for (_, upstream) in &system.upstreams {
        upstream.apply_fault(UpstreamFault::CrashOn(Some("kill".into())));
    }
    let poison = json!({ "services": ["counter-desk"], "kind": "search", "body": "kill" });
    for number in 0..30 {
        let node = system.nodes[number % 2].address();
        let _ = send_query(node, poison.to_string(), &[]).await;
    }
    let deaths: u32 = system.upstreams.iter().map(|(_, upstream)| upstream.crash_count()).sum();
    assert!((1..=2).contains(&deaths), "{deaths} died");
    for node in &system.nodes {
        search_until_complete(node.address(), &SERVICES).await;
    }
}
