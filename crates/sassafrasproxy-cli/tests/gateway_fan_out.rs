//! Tests queries over so many shards that several nodes of a failure domain share the sends.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod gateway;

use nix::sys::signal::Signal;
use sassafrasproxy_platform_standin::{CallerAnswer, DeclaredTarget, ReplicaStandIn};

use crate::gateway::{Cluster, record, route, routes};

/// The number of shards of the wide route.
const WIDE_SHARD_COUNT: usize = 40;

/// Starts two gateways in one failure domain and one in another, and publishes a route over many
/// shards in the failure domain of the two.
async fn start_wide_route() -> Cluster {
    let mut cluster = Cluster::start(0).await;
    for domain in ["west", "east", "west"] {
        cluster.add_gateway_with_cpu(domain, 0.1);
    }
    let services: Vec<String> =
        (0..WIDE_SHARD_COUNT).map(|shard| format!("wide-{shard}")).collect();
    for (shard, service) in services.iter().enumerate() {
        let replica =
            ReplicaStandIn::start(&format!("w{shard}"), service, record(100 + shard as u8));
        replica.register(&cluster.store, "west", "ready");
        cluster.replicas.push(replica);
    }
    let target = DeclaredTarget::Gather { services, top_k: 3, min_coverage: 1.0 };
    let mut all_routes = routes();
    all_routes.push(route("r-wide", "/wide/", true, target));
    cluster.publish(&all_routes);
    for gateway in 0..3 {
        cluster.ask_until(gateway, "/wide/1", is_complete_answer).await;
    }
    cluster
}

fn is_complete_answer(answer: &CallerAnswer) -> bool {
    let top_records: Vec<u8> =
        (0..3).flat_map(|rank| record(99 + WIDE_SHARD_COUNT as u8 - rank)).collect();
    answer.status == 200
        && answer.part_stamps().len() == WIDE_SHARD_COUNT
        && answer.body[..] == top_records
}

/// Guards against parts that are lost or counted twice when another node makes some of the sends.
#[tokio::test(flavor = "multi_thread")]
async fn same_domain_nodes_share_sends() {
    let cluster = start_wide_route().await;
    let before = cluster.relayed_send_count(2).await;
    for _ in 0..10 {
        let answer = cluster.ask(0, "/wide/1").await;
        assert!(is_complete_answer(&answer), "{answer:?}");
    }
    assert!(
        cluster.relayed_send_count(2).await > before,
        "the other node of the failure domain sent nothing"
    );
}

/// Guards against queries that wait for a relay of the same failure domain that has been killed.
#[tokio::test(flavor = "multi_thread")]
async fn killed_relay_is_replaced() {
    let cluster = start_wide_route().await;
    cluster.gateways[2].signal(Signal::SIGKILL).unwrap();
    for _ in 0..10 {
        cluster.ask_until(0, "/wide/1", is_complete_answer).await;
    }
}
