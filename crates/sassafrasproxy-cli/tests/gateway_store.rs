//! Gateways while the store misbehaves.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod gateway;

use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use sassafrasproxy_platform_standin::{
    CallerAnswer, DeclaredRoute, DeclaredTarget, GatewayProcess, StoreEndpoint, StoreMode,
    query_directory,
};
use serde_json::Value;

use crate::gateway::{Cluster, WAIT_TIMEOUT, route, routes};

/// The addresses that a gateway's directory names.
async fn listed_addresses(system: &Cluster, gateway: usize) -> Vec<String> {
    query_directory(system.gateways[gateway].directory_address(), "west").await.unwrap().addresses
}

fn routes_with(name: &str) -> Vec<DeclaredRoute> {
    let mut routes = routes();
    let desk = DeclaredTarget::Service("desk".into());
    routes.push(route(name, &format!("/{name}/"), true, desk));
    routes
}

/// The store refuses, goes silent or forgets its history while callers ask. They are served all
/// the while, and what changed meanwhile is in force soon after its return.
#[tokio::test(flavor = "multi_thread")]
async fn serves_during_store_outages() {
    let mut system = Cluster::start(1).await;
    for (at, mode) in [StoreMode::Refusing(503), StoreMode::Refusing(429), StoreMode::Unresponsive]
        .into_iter()
        .enumerate()
    {
        system.store.set_mode(mode);
        let name = format!("new{at}");
        system.publish(&routes_with(&name));
        system.store.compact();
        for _ in 0..20 {
            assert_eq!(system.ask(0, "/desk/7").await.status, 200, "{mode:?}");
            assert_eq!(system.ask(0, "/all/7").await.status, 200, "{mode:?}");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        system.store.set_mode(StoreMode::Up);
        system.ask_until(0, &format!("/{name}/7"), |answer| answer.status == 200).await;
    }
}

/// Items come in pages, and somebody else's items stand between ours.
#[tokio::test(flavor = "multi_thread")]
async fn paged_list_skips_foreign_items() {
    let mut system = Cluster::start(0).await;
    system.store.corrupt_replica_entry("forged", b"\xff\xfe");
    system.store.corrupt_replica_entry("half", br#"{"service":"desk"}"#);
    system.store.put("somebody/else", b"x");
    system.store.set_page_size(3);
    let at = system.add_gateway();
    system.ask_until(at, "/all/7", |answer| answer.status == 200).await;
    assert_eq!(system.ask(at, "/desk/7").await.status, 200);
}

/// The store turns a node away, from its start on. It learns configuration and replicas from its
/// peers, and serves.
#[tokio::test(flavor = "multi_thread")]
async fn reads_entries_from_peers() {
    let mut system = Cluster::start(1).await;
    system.store.set_mode(StoreMode::Refusing(503));
    let at = system.add_gateway();
    system.ask_until(at, "/all/7", |answer| answer.status == 200).await;
    assert_eq!(system.ask(at, "/desk/7").await.status, 200);
    system.gateways[at].wait_for_log_line("facts learned from a peer").unwrap();
}

/// A small VM starts beside a large one of its failure domain: what stands in the store comes from
/// there, not across failure domains, and it serves. One whose domain has no larger VM reads it.
#[tokio::test(flavor = "multi_thread")]
async fn small_node_starts_from_peer() {
    let mut system = Cluster::start(2).await;
    let small = system.add_gateway_with_cpu("west", 0.1);
    // Asked before it has started, it would read the store.
    let from_peer =
        system.gateways[small].wait_for_log_line("the node starts from a peer").unwrap();
    system.ask_until(small, "/all/7", |answer| answer.status == 200).await;
    assert_eq!(from_peer["peer"], system.gateways[0].peers_address().to_string());
    let alone = system.add_gateway_with_cpu("north", 0.1);
    system.ask_until(alone, "/all/7", |answer| answer.status == 200).await;
    let lines = system.gateways[alone].log_lines();
    assert!(lines.iter().all(|line| line["message"] != "the node starts from a peer"));
    // What changes later reaches both.
    system.publish(&routes_with("later"));
    for at in [small, alone] {
        system.ask_until(at, "/later/7", |answer| answer.status == 200).await;
    }
}

/// All VMs lose power, and a small one is back first. It has met nobody, so its directory names
/// itself, and a caller asks it: it must read the store then, and not look around for larger ones
/// while callers are refused.
#[tokio::test(flavor = "multi_thread")]
async fn small_node_reads_store_when_asked() {
    let mut system = Cluster::start(0).await;
    let small = system.add_gateway_with_cpu("west", 0.1);
    system.ask_until(small, "/all/7", |answer| answer.status == 200).await;
    system.gateways[small].wait_for_log_line("a caller asks before the store was read").unwrap();
}

/// The store loses its answers to writes: the registration is made again, and others see it.
#[tokio::test(flavor = "multi_thread")]
async fn registers_after_lost_answers() {
    let mut system = Cluster::start(1).await;
    system.store.set_mode(StoreMode::DroppingWriteAnswers);
    let at = system.add_gateway();
    system.store.set_mode(StoreMode::Up);
    let address = system.gateways[at].callers_address().to_string();
    let end = Instant::now() + WAIT_TIMEOUT;
    while !listed_addresses(&system, 0).await.contains(&address) {
        assert!(Instant::now() < end, "never named");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// The store takes a node's registration away while it lives. It is still named to callers, and
/// registers again.
#[tokio::test(flavor = "multi_thread")]
async fn registers_after_revocation() {
    let system = Cluster::start(2).await;
    let both = |named: Vec<String>| named.len() == 2;
    let end = Instant::now() + WAIT_TIMEOUT;
    while !both(listed_addresses(&system, 0).await) {
        assert!(Instant::now() < end, "the nodes never met");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    for key in system.store.keys("sassafrasproxy/nodes/") {
        system.store.remove(&key);
    }
    let end = Instant::now() + WAIT_TIMEOUT;
    while system.store.keys("sassafrasproxy/nodes/").len() < 2 {
        assert!(both(listed_addresses(&system, 1).await), "a live node was dropped");
        assert!(Instant::now() < end, "never registered again");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// A replica leaves, by its word or without: it gets no new work.
#[tokio::test(flavor = "multi_thread")]
async fn departed_replica_gets_no_work() {
    let system = Cluster::start(1).await;
    system.replica("da").register(&system.store, "west", "draining");
    let answered_by =
        |id: &'static str| move |answer: &CallerAnswer| answer.stamp().starts_with(id);
    tokio::time::sleep(Duration::from_millis(600)).await;
    let before = system.replica("da").received_requests().len();
    for _ in 0..20 {
        assert!(answered_by("db")(&system.ask(0, "/desk/7").await));
    }
    assert_eq!(system.replica("da").received_requests().len(), before, "new work after it left");
    system.replica("da").register(&system.store, "west", "ready");
    system.store.deregister_replica("db");
    system.ask_until(0, "/desk/7", answered_by("da")).await;
}

/// Operators take a failure domain out and bring it back.
#[tokio::test(flavor = "multi_thread")]
async fn domain_out_gets_no_work() {
    let system = Cluster::start(1).await;
    system.store.take_domain_out("west");
    system.ask_until(0, "/desk/7", |answer| answer.stamp().starts_with("db")).await;
    system.store.take_domain_out("east");
    let answer = system.ask_until(0, "/desk/7", |answer| answer.status == 503).await;
    assert!(answer.retry_after_s() > 0.0);
    system.store.bring_domain_in("west");
    system.ask_until(0, "/desk/7", |answer| answer.stamp().starts_with("da")).await;
}

/// More nodes than watch the store: the others follow them, and a configuration, a replica that
/// leaves and a failure domain taken out reach all of them.
#[tokio::test(flavor = "multi_thread")]
async fn followers_receive_changes() {
    let mut system = Cluster::start(11).await;
    let is_follower = |system: &Cluster, at: usize| {
        let lines = system.gateways[at].log_lines();
        lines.iter().any(|line| line["message"] == "the node follows a peer")
    };
    let end = Instant::now() + WAIT_TIMEOUT;
    while (0..11).filter(|at| is_follower(&system, *at)).count() < 3 {
        assert!(Instant::now() < end, "nobody follows a peer");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    system.publish(&routes_with("late"));
    system.store.take_domain_out("west");
    for at in 0..11 {
        system.ask_until(at, "/late/7", |answer| answer.status == 200).await;
        let is_east = |answer: &CallerAnswer| answer.stamp().starts_with("db");
        system.ask_until(at, "/late/7", is_east).await;
    }
}

/// The store turns one node away, and the peer that it follows dies. A replica whose entry goes
/// then has left. A node that still took the store to be away for all would keep it until lapsed
/// entries are back, and as it learns of the store from peers only, for good.
#[tokio::test(flavor = "multi_thread")]
async fn refused_follower_sees_removal() {
    let system = start_refused_node().await;
    assert_removed_replica_is_idle(&system).await;
}

/// The same, once the node follows another peer.
#[tokio::test(flavor = "multi_thread")]
async fn refused_follower_sees_removal_from_new_peer() {
    let system = start_refused_node().await;
    let before = system.gateways[system.gateway_index].log_lines().len();
    let end = Instant::now() + WAIT_TIMEOUT;
    let follows = |line: &Value| line["message"] == "the node follows a peer";
    while !system.gateways[system.gateway_index].log_lines()[before..].iter().any(follows) {
        assert!(Instant::now() < end, "no other peer is followed");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert_removed_replica_is_idle(&system).await;
}

/// A system with a node that the store turns away, whose followed peer is dead.
struct RefusedNode {
    cluster: Cluster,
    /// The node.
    gateway_index: usize,
    /// Keeps the way to the store that is shut.
    _store_proxy: StoreEndpoint,
}

impl std::ops::Deref for RefusedNode {
    type Target = Cluster;

    fn deref(&self) -> &Cluster {
        &self.cluster
    }
}

/// Waits until every gateway has met all others.
async fn wait_for_full_membership(system: &Cluster) {
    let all = system.gateways.len() as u64;
    let has_met_all = |gateway: &GatewayProcess| {
        gateway.log_lines().iter().any(|line| line["members"].as_u64() == Some(all))
    };
    let end = Instant::now() + WAIT_TIMEOUT;
    while !system.gateways.iter().all(has_met_all) {
        assert!(Instant::now() < end, "some have not met all");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

async fn start_refused_node() -> RefusedNode {
    let mut system = Cluster::start(12).await;
    let door = system.store.open_endpoint();
    let added: Vec<usize> = (0..4).map(|_| system.add_gateway_with_store(door.address())).collect();
    // Whom a node follows changes while it meets the others, and is looked at again at the end of
    // each wait for news, four seconds long.
    wait_for_full_membership(&system).await;
    tokio::time::sleep(Duration::from_secs(5)).await;
    let follows = |system: &Cluster, at: usize| {
        let lines = system.gateways[at].log_lines();
        lines.into_iter().rfind(|line| line["message"] == "the node follows a peer")
    };
    let end = Instant::now() + WAIT_TIMEOUT;
    let (at, line) = loop {
        let found = added.iter().find_map(|at| Some((*at, follows(&system, *at)?)));
        if let Some(found) = found {
            break found;
        }
        assert!(Instant::now() < end, "nobody follows a peer");
        tokio::time::sleep(Duration::from_millis(50)).await;
    };
    let peer = line["peer"].as_str().unwrap();
    door.set_refusal_status(Some(503));
    let followed =
        system.gateways.iter().find(|gateway| gateway.peers_address().to_string() == peer).unwrap();
    followed.signal(Signal::SIGKILL).unwrap();
    system.gateways[at].wait_for_log_line("the peer is not followed for now").unwrap();
    RefusedNode { cluster: system, gateway_index: at, _store_proxy: door }
}

/// Guards against a watcher that the store turns away and that nobody tells what changes.
#[tokio::test(flavor = "multi_thread")]
async fn refused_watcher_sees_removal() {
    // So few that all watch the store.
    let mut system = Cluster::start(3).await;
    let door = system.store.open_endpoint();
    let at = system.add_gateway_with_store(door.address());
    wait_for_full_membership(&system).await;
    system.ask_until(at, "/desk/1", |answer| answer.status == 200).await;
    door.set_refusal_status(Some(503));
    system.gateways[at].wait_for_log_line("the store is lost").unwrap();
    assert_removed_replica_is_idle(&RefusedNode {
        cluster: system,
        gateway_index: at,
        _store_proxy: door,
    })
    .await;
}

/// Takes a replica's entry away: the node sends nothing to it once it could have heard of that.
async fn assert_removed_replica_is_idle(system: &RefusedNode) {
    system.store.deregister_replica("da");
    // Longer than lapsed entries may take to be back.
    tokio::time::sleep(Duration::from_secs(4)).await;
    let before = system.replica("da").received_requests().len();
    for _ in 0..10 {
        assert_eq!(system.ask(system.gateway_index, "/desk/7").await.status, 200);
    }
    assert_eq!(system.replica("da").received_requests().len(), before, "new work after it left");
}
