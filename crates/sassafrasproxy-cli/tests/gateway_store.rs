//! Tests how registry changes reach gateways.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod gateway;

use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use sassafrasproxy_platform_standin::{
    CallerAnswer, GatewayProcess, StoreEndpoint, StoreMode, query_directory,
};
use serde_json::Value;

use crate::gateway::{Cluster, WAIT_TIMEOUT, routes_with};

/// Returns the addresses that a gateway's directory lists.
async fn listed_addresses(cluster: &Cluster, gateway: usize) -> Vec<String> {
    query_directory(cluster.gateways[gateway].directory_address(), "west").await.unwrap().addresses
}

/// The time within which a configuration must be in force at nodes in touch.
const ACTIVE_WITHIN: Duration = Duration::from_secs(3);

/// Guards against a configuration that is late at a node whose followed peer takes its poll and never
/// answers, just when the configuration is published.
#[tokio::test(flavor = "multi_thread")]
async fn configuration_is_soon_beside_paused_peer() {
    let mut cluster = Cluster::start(8).await;
    wait_for_full_membership(&cluster).await;
    // Nodes choose the peer that they follow again at the end of each poll.
    tokio::time::sleep(Duration::from_secs(5)).await;
    let followed_peer = |gateway: &GatewayProcess| {
        let lines = gateway.log_lines();
        let line = lines.into_iter().rfind(|line| line["message"] == "syncing from a peer")?;
        line["peer"].as_str().map(str::to_owned)
    };
    let (follower, peer) =
        (0..8).find_map(|index| Some((index, followed_peer(&cluster.gateways[index])?))).unwrap();
    let peers = &cluster.gateways;
    let paused = peers.iter().find(|gateway| gateway.peers_address().to_string() == peer).unwrap();
    paused.signal(Signal::SIGSTOP).unwrap();
    cluster.publish(&routes_with("beside"));
    let published = Instant::now();
    cluster.ask_until(follower, "/beside/7", |answer| answer.status == 200).await;
    let took = published.elapsed();
    println!("in force at the follower after {took:?}");
    assert!(took < ACTIVE_WITHIN, "the follower has the configuration after {took:?}");
}

/// Guards against a list that stops at a foreign or malformed item, or after its first page.
#[tokio::test(flavor = "multi_thread")]
async fn paged_list_skips_foreign_items() {
    let mut cluster = Cluster::start(0).await;
    cluster.store.corrupt_replica_entry("forged", b"\xff\xfe");
    cluster.store.corrupt_replica_entry("half", br#"{"service":"desk"}"#);
    cluster.store.put("somebody/else", b"x");
    cluster.store.set_page_size(3);
    let index = cluster.add_gateway();
    cluster.ask_until(index, "/all/7", |answer| answer.status == 200).await;
    assert_eq!(cluster.ask(index, "/desk/7").await.status, 200);
}

/// Guards against a node that cannot serve because the store refuses its calls from the start.
///
/// It must get the configuration and the replicas from a peer.
#[tokio::test(flavor = "multi_thread")]
async fn reads_entries_from_peers() {
    let mut cluster = Cluster::start(1).await;
    cluster.store.set_mode(StoreMode::Refusing(503));
    let index = cluster.add_gateway();
    cluster.ask_until(index, "/all/7", |answer| answer.status == 200).await;
    assert_eq!(cluster.ask(index, "/desk/7").await.status, 200);
    cluster.gateways[index].wait_for_log_line("pulled registry entries from a peer").unwrap();
}

/// Guards against a bootstrap across failure domains.
///
/// A small VM must bootstrap from a larger VM of its failure domain; one whose failure domain has
/// no larger VM must read the store.
#[tokio::test(flavor = "multi_thread")]
async fn small_node_starts_from_peer() {
    let mut cluster = Cluster::start(2).await;
    let small = cluster.add_gateway_with_cpu("west", 0.1);
    // No request yet: one that arrives before the bootstrap makes the node read the store.
    let from_peer = cluster.gateways[small].wait_for_log_line("bootstrapped from a peer").unwrap();
    cluster.ask_until(small, "/all/7", |answer| answer.status == 200).await;
    assert_eq!(from_peer["peer"], cluster.gateways[0].peers_address().to_string());
    let alone = cluster.add_gateway_with_cpu("north", 0.1);
    cluster.ask_until(alone, "/all/7", |answer| answer.status == 200).await;
    let lines = cluster.gateways[alone].log_lines();
    assert!(lines.iter().all(|line| line["message"] != "bootstrapped from a peer"));
    // Later changes must reach both nodes.
    cluster.publish(&routes_with("later"));
    for index in [small, alone] {
        cluster.ask_until(index, "/later/7", |answer| answer.status == 200).await;
    }
}

/// Guards against refused callers after all VMs have lost power and a small one restarts first.
///
/// It has no peers yet, so its directory lists the node itself and callers ask it. It must then read
/// the store at once instead of waiting for a larger peer.
#[tokio::test(flavor = "multi_thread")]
async fn small_node_reads_store_when_asked() {
    let mut cluster = Cluster::start(0).await;
    let small = cluster.add_gateway_with_cpu("west", 0.1);
    cluster.ask_until(small, "/all/7", |answer| answer.status == 200).await;
    cluster.gateways[small].wait_for_log_line("a caller asks before the store was read").unwrap();
}

/// Guards against a node that stays unregistered after the store's answers to its writes were lost.
///
/// The node must register again, and the directory of another node must list it.
#[tokio::test(flavor = "multi_thread")]
async fn registers_after_lost_answers() {
    let mut cluster = Cluster::start(1).await;
    cluster.store.set_mode(StoreMode::DroppingWriteAnswers);
    let index = cluster.add_gateway();
    cluster.store.set_mode(StoreMode::Up);
    let address = cluster.gateways[index].callers_address().to_string();
    let end = Instant::now() + WAIT_TIMEOUT;
    while !listed_addresses(&cluster, 0).await.contains(&address) {
        assert!(Instant::now() < end, "the directory never listed the new node");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Guards against a live node that is no longer listed after its registration was removed.
///
/// The directory must still list it, and it must register again.
#[tokio::test(flavor = "multi_thread")]
async fn registers_after_revocation() {
    let cluster = Cluster::start(2).await;
    let has_both = |addresses: Vec<String>| addresses.len() == 2;
    let end = Instant::now() + WAIT_TIMEOUT;
    while !has_both(listed_addresses(&cluster, 0).await) {
        assert!(Instant::now() < end, "the directory never listed both nodes");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    for key in cluster.store.keys("sassafrasproxy/nodes/") {
        cluster.store.remove(&key);
    }
    let end = Instant::now() + WAIT_TIMEOUT;
    while cluster.store.keys("sassafrasproxy/nodes/").len() < 2 {
        assert!(
            has_both(listed_addresses(&cluster, 1).await),
            "the directory no longer lists a live node"
        );
        assert!(Instant::now() < end, "a node did not register again");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Guards against new work for a replica that drains or whose entry was removed.
#[tokio::test(flavor = "multi_thread")]
async fn departed_replica_gets_no_work() {
    let cluster = Cluster::start(1).await;
    cluster.replica("da").register(&cluster.store, "west", "draining");
    let answered_by =
        |id: &'static str| move |answer: &CallerAnswer| answer.stamp().starts_with(id);
    tokio::time::sleep(Duration::from_millis(600)).await;
    let before = cluster.replica("da").received_requests().len();
    for _ in 0..20 {
        assert!(answered_by("db")(&cluster.ask(0, "/desk/7").await));
    }
    assert_eq!(
        cluster.replica("da").received_requests().len(),
        before,
        "new work for a replica that has left"
    );
    cluster.replica("da").register(&cluster.store, "west", "ready");
    cluster.store.deregister_replica("db");
    cluster.ask_until(0, "/desk/7", answered_by("da")).await;
}

/// Guards against requests to a failure domain that is out of service.
///
/// It must get requests again once it is brought back.
#[tokio::test(flavor = "multi_thread")]
async fn domain_out_gets_no_work() {
    let cluster = Cluster::start(1).await;
    cluster.store.take_domain_out("west");
    cluster.ask_until(0, "/desk/7", |answer| answer.stamp().starts_with("db")).await;
    cluster.store.take_domain_out("east");
    let answer = cluster.ask_until(0, "/desk/7", |answer| answer.status == 503).await;
    assert!(answer.retry_after_s() > 0.0);
    cluster.store.bring_domain_in("west");
    cluster.ask_until(0, "/desk/7", |answer| answer.stamp().starts_with("da")).await;
}

/// Guards against changes that do not reach the nodes that sync from a peer.
///
/// There are more nodes than watchers. A new configuration and a failure domain that is taken out
/// of service must reach all of them.
#[tokio::test(flavor = "multi_thread")]
async fn followers_receive_changes() {
    let mut cluster = Cluster::start(11).await;
    let is_follower = |cluster: &Cluster, index: usize| {
        let lines = cluster.gateways[index].log_lines();
        lines.iter().any(|line| line["message"] == "syncing from a peer")
    };
    let end = Instant::now() + WAIT_TIMEOUT;
    while (0..11).filter(|index| is_follower(&cluster, *index)).count() < 3 {
        assert!(Instant::now() < end, "no gateway follows a peer");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    cluster.publish(&routes_with("late"));
    cluster.store.take_domain_out("west");
    for index in 0..11 {
        cluster.ask_until(index, "/late/7", |answer| answer.status == 200).await;
        let is_east = |answer: &CallerAnswer| answer.stamp().starts_with("db");
        cluster.ask_until(index, "/late/7", is_east).await;
    }
}

/// Guards against a node that keeps using a replica whose entry was removed.
///
/// The store refuses the node's calls, and the peer that it follows crashes. If the node assumed
/// that the store is unavailable to all nodes, it would hold the replica until expired entries are
/// registered again; as it syncs from peers only, it would hold it forever.
#[tokio::test(flavor = "multi_thread")]
async fn refused_follower_sees_removal() {
    let refused = start_refused_node().await;
    assert_removed_replica_is_idle(&refused).await;
}

/// Guards against the same failure once the node follows another peer.
#[tokio::test(flavor = "multi_thread")]
async fn refused_follower_sees_removal_from_new_peer() {
    let refused = start_refused_node().await;
    let before = refused.gateways[refused.gateway_index].log_lines().len();
    let end = Instant::now() + WAIT_TIMEOUT;
    let follows = |line: &Value| line["message"] == "syncing from a peer";
    while !refused.gateways[refused.gateway_index].log_lines()[before..].iter().any(follows) {
        assert!(Instant::now() < end, "the node does not follow another peer");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert_removed_replica_is_idle(&refused).await;
}

/// A cluster with a node that the store refuses and whose followed peer has crashed.
struct RefusedNode {
    cluster: Cluster,
    /// The index of the refused node.
    gateway_index: usize,
    /// Keeps open the store endpoint that refuses the node's calls.
    _store_endpoint: StoreEndpoint,
}

impl std::ops::Deref for RefusedNode {
    type Target = Cluster;

    fn deref(&self) -> &Cluster {
        &self.cluster
    }
}

/// Waits until every gateway has logged the full number of members.
async fn wait_for_full_membership(cluster: &Cluster) {
    let all = cluster.gateways.len() as u64;
    let has_logged_all = |gateway: &GatewayProcess| {
        gateway.log_lines().iter().any(|line| line["members"].as_u64() == Some(all))
    };
    let end = Instant::now() + WAIT_TIMEOUT;
    while !cluster.gateways.iter().all(has_logged_all) {
        assert!(Instant::now() < end, "some gateways have not logged all members");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

async fn start_refused_node() -> RefusedNode {
    let mut cluster = Cluster::start(12).await;
    let endpoint = cluster.store.open_endpoint();
    let added: Vec<usize> =
        (0..4).map(|_| cluster.add_gateway_with_store(endpoint.address())).collect();
    // The followed peer changes while a node discovers the others, and is chosen again at the end
    // of each long poll of up to four seconds.
    wait_for_full_membership(&cluster).await;
    tokio::time::sleep(Duration::from_secs(5)).await;
    let last_sync_line = |cluster: &Cluster, index: usize| {
        let lines = cluster.gateways[index].log_lines();
        lines.into_iter().rfind(|line| line["message"] == "syncing from a peer")
    };
    let end = Instant::now() + WAIT_TIMEOUT;
    let (index, line) = loop {
        let found =
            added.iter().find_map(|index| Some((*index, last_sync_line(&cluster, *index)?)));
        if let Some(found) = found {
            break found;
        }
        assert!(Instant::now() < end, "no gateway follows a peer");
        tokio::time::sleep(Duration::from_millis(50)).await;
    };
    let peer = line["peer"].as_str().unwrap();
    endpoint.set_refusal_status(Some(503));
    let followed = cluster
        .gateways
        .iter()
        .find(|gateway| gateway.peers_address().to_string() == peer)
        .unwrap();
    followed.signal(Signal::SIGKILL).unwrap();
    cluster.gateways[index]
        .wait_for_log_line("sync from a peer failed; skipping the peer for a while")
        .unwrap();
    RefusedNode { cluster, gateway_index: index, _store_endpoint: endpoint }
}

/// Guards against a watcher that misses changes because the store refuses its calls.
#[tokio::test(flavor = "multi_thread")]
async fn refused_watcher_sees_removal() {
    // All nodes of such a small cluster watch the store.
    let mut cluster = Cluster::start(3).await;
    let endpoint = cluster.store.open_endpoint();
    let index = cluster.add_gateway_with_store(endpoint.address());
    wait_for_full_membership(&cluster).await;
    cluster.ask_until(index, "/desk/1", |answer| answer.status == 200).await;
    endpoint.set_refusal_status(Some(503));
    cluster.gateways[index].wait_for_log_line("the store is unavailable").unwrap();
    assert_removed_replica_is_idle(&RefusedNode {
        cluster,
        gateway_index: index,
        _store_endpoint: endpoint,
    })
    .await;
}

/// Removes a replica's entry and asserts that the refused node then sends nothing to the replica.
async fn assert_removed_replica_is_idle(refused: &RefusedNode) {
    refused.store.deregister_replica("da");
    // Longer than expired entries are held.
    tokio::time::sleep(Duration::from_secs(4)).await;
    let before = refused.replica("da").received_requests().len();
    for _ in 0..10 {
        assert_eq!(refused.ask(refused.gateway_index, "/desk/7").await.status, 200);
    }
    assert_eq!(
        refused.replica("da").received_requests().len(),
        before,
        "new work for a replica that has left"
    );
}
