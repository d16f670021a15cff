//! Tests queries whose replicas are in another failure domain and are reached through a relay there.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod gateway;

use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use sassafrasproxy_platform_standin::{
    CallerAnswer, DeclaredTarget, ReplicaMode, ReplicaStandIn, send_get,
};

use crate::gateway::{
    Cluster, HOST, SHARD_COUNT, WAIT_TIMEOUT, record, routes_with, unique_attempt_id,
};

/// Starts two gateways in two failure domains, with replicas only in the domain of the second.
async fn start_two_domains() -> Cluster {
    let cluster = Cluster::start(2).await;
    for shard in 0..SHARD_COUNT {
        cluster.store.deregister_replica(&format!("s{shard}a"));
    }
    cluster.ask_until(0, "/all/7", is_complete_answer).await;
    let end = Instant::now() + WAIT_TIMEOUT;
    while relayed_sends(&cluster).await == 0 {
        assert!(Instant::now() < end, "nothing was relayed");
        cluster.ask_until(0, "/all/7", is_complete_answer).await;
    }
    cluster
}

/// Publishes a configuration by which an answer has the parts of all shards, and waits until the
/// first gateway has it.
async fn publish_full_coverage(cluster: &mut Cluster) {
    let mut routes = routes_with("all-needed");
    for route in &mut routes {
        if let DeclaredTarget::Gather { min_coverage, .. } = &mut route.target {
            *min_coverage = 1.0;
        }
    }
    cluster.publish(&routes);
    cluster.ask_until(0, "/all-needed/1", |answer| answer.status == 200).await;
}

/// Whether an answer has the top records of all shards.
fn is_complete_answer(answer: &CallerAnswer) -> bool {
    let top_records: Vec<u8> =
        (0..3).flat_map(|rank| record(200 + SHARD_COUNT as u8 - 1 - rank)).collect();
    answer.status == 200
        && answer.missing_shard_count() == Some(0)
        && answer.part_stamps().len() == SHARD_COUNT
        && answer.body[..] == top_records
}

/// Sends a query to the first gateway, whose answer must be complete.
async fn ask_completely(cluster: &Cluster) {
    let answer = cluster.ask(0, "/all/7").await;
    let lines = cluster.gateways[0].log_lines();
    assert!(
        is_complete_answer(&answer),
        "{answer:?}; log {:#?}",
        &lines[lines.len().saturating_sub(25)..]
    );
}

/// Returns the number of sends that the second gateway made for others.
async fn relayed_sends(cluster: &Cluster) -> u64 {
    cluster.relayed_send_count(1).await
}

#[tokio::test(flavor = "multi_thread")]
async fn relay_merges_parts() {
    let cluster = start_two_domains().await;
    let before = relayed_sends(&cluster).await;
    for _ in 0..10 {
        let answer = cluster.ask(0, "/all/7").await;
        assert!(is_complete_answer(&answer), "{answer:?}");
    }
    assert!(relayed_sends(&cluster).await >= before + 10 * SHARD_COUNT as u64);
}

/// Guards against one failed relayed part that invalidates the others or is not reported as missing.
#[tokio::test(flavor = "multi_thread")]
async fn failed_part_is_reported() {
    let cluster = start_two_domains().await;
    for mode in [ReplicaMode::Failing, ReplicaMode::Shedding, ReplicaMode::WrongAttemptId] {
        cluster.replica("s1b").set_mode(mode.clone());
        let answer = cluster.ask(0, "/all/7").await;
        assert_eq!(answer.status, 200, "{mode:?}");
        assert_eq!(answer.missing_shard_count(), Some(1), "{mode:?}");
    }
}

/// Guards against lost parts when the relay is killed.
///
/// The gateway that the caller asked must then send to the replicas directly.
#[tokio::test(flavor = "multi_thread")]
async fn killed_relay_is_bypassed() {
    let cluster = start_two_domains().await;
    cluster.gateways[1].signal(Signal::SIGKILL).unwrap();
    cluster.ask_until(0, "/all/7", is_complete_answer).await;
    for _ in 0..5 {
        ask_completely(&cluster).await;
    }
}

/// Guards against queries that are refused each time a node tries again to reach a relay that is
/// gone.
#[tokio::test(flavor = "multi_thread")]
async fn gone_relay_costs_no_query() {
    let mut cluster = start_two_domains().await;
    cluster.gateways[1].signal(Signal::SIGKILL).unwrap();
    cluster.gateways[1].wait_for_exit().unwrap();
    for _ in 0..60 {
        ask_completely(&cluster).await;
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against parts that a leaving relay cuts off, as it waits for its own callers only.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_relay_ends_its_calls() {
    let mut cluster = start_two_domains().await;
    publish_full_coverage(&mut cluster).await;
    cluster.set_modes(ReplicaMode::Answering(700));
    let before = relayed_sends(&cluster).await;
    let address = cluster.gateways[0].callers_address();
    let attempt_id = unique_attempt_id();
    let query = send_get(address, HOST, "/all/7", &attempt_id, 2_000);
    let leave = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        assert!(relayed_sends(&cluster).await > before, "nothing was relayed");
        cluster.gateways[1].signal(Signal::SIGTERM).unwrap();
    };
    let (answer, ()) = tokio::join!(query, leave);
    let answer = answer.unwrap();
    assert!(is_complete_answer(&answer), "{answer:?}");
    let cancelled = cluster.replicas.iter().map(ReplicaStandIn::cancelled_count).sum::<usize>();
    assert_eq!(cancelled, 0, "sends that the relay cut off");
    assert!(cluster.gateways[1].wait_for_exit().unwrap().success());
}

/// Guards against queries that keep failing while a relay is paused.
///
/// The connection to a paused relay stays open but delivers no replies. Once the stall is detected,
/// answers are complete again.
#[tokio::test(flavor = "multi_thread")]
async fn paused_relay_is_bypassed() {
    let cluster = start_two_domains().await;
    cluster.gateways[1].signal(Signal::SIGSTOP).unwrap();
    cluster.ask_until(0, "/all/7", is_complete_answer).await;
    cluster.gateways[1].signal(Signal::SIGCONT).unwrap();
    cluster.ask_until(0, "/all/7", is_complete_answer).await;
}

/// Guards against replicas that keep working for a relay after the caller has disconnected.
#[tokio::test(flavor = "multi_thread")]
async fn caller_disconnect_cancels_relay() {
    let cluster = start_two_domains().await;
    cluster.replica("s1b").set_mode(ReplicaMode::Unresponsive);
    let attempt = unique_attempt_id();
    let request = send_get(cluster.gateways[0].callers_address(), HOST, "/all/7", &attempt, 20_000);
    // At the latency goal of 400 ms, the answer would come without that shard.
    assert!(tokio::time::timeout(Duration::from_millis(200), request).await.is_err());
    let end = Instant::now() + WAIT_TIMEOUT;
    while cluster.replica("s1b").cancelled_count() == 0 {
        assert!(Instant::now() < end, "a replica still works for a caller that disconnected");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}
