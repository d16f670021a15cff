//! Queries whose replicas are in another failure domain, asked by a relay there.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod gateway;

use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use sassafrasproxy_platform_standin::{CallerAnswer, ReplicaMode, send_get};

use crate::gateway::{Cluster, HOST, SHARD_COUNT, WAIT_TIMEOUT, record, unique_attempt_id};

/// Two gateways in two failure domains, and replicas in the second one's only.
async fn start_two_domains() -> Cluster {
    let system = Cluster::start(2).await;
    for shard in 0..SHARD_COUNT {
        system.store.deregister_replica(&format!("s{shard}a"));
    }
    system.ask_until(0, "/all/7", is_complete_answer).await;
    let end = Instant::now() + WAIT_TIMEOUT;
    while relayed_sends(&system).await == 0 {
        assert!(Instant::now() < end, "nothing was relayed");
        system.ask_until(0, "/all/7", is_complete_answer).await;
    }
    system
}

/// The greatest records of all shards.
fn is_complete_answer(answer: &CallerAnswer) -> bool {
    let greatest: Vec<u8> =
        (0..3).flat_map(|at| record(200 + SHARD_COUNT as u8 - 1 - at)).collect();
    answer.status == 200
        && answer.missing_shard_count() == Some(0)
        && answer.part_stamps().len() == SHARD_COUNT
        && answer.body[..] == greatest
}

/// How many sends the second gateway made for others.
async fn relayed_sends(system: &Cluster) -> u64 {
    system.relayed_send_count(1).await
}

#[tokio::test(flavor = "multi_thread")]
async fn relay_merges_parts() {
    let system = start_two_domains().await;
    let before = relayed_sends(&system).await;
    for _ in 0..10 {
        let answer = system.ask(0, "/all/7").await;
        assert!(is_complete_answer(&answer), "{answer:?}");
    }
    assert!(relayed_sends(&system).await >= before + 10 * SHARD_COUNT as u64);
}

/// One of the relayed parts fails: the others count, and the answer says that one is left out.
#[tokio::test(flavor = "multi_thread")]
async fn failed_part_is_reported() {
    let system = start_two_domains().await;
    for behavior in [ReplicaMode::Failing, ReplicaMode::Shedding, ReplicaMode::WrongAttemptId] {
        system.replica("s1b").set_mode(behavior.clone());
        let answer = system.ask(0, "/all/7").await;
        assert_eq!(answer.status, 200, "{behavior:?}");
        assert_eq!(answer.missing_shard_count(), Some(1), "{behavior:?}");
    }
}

/// The relay's process is killed: the entry asks the replicas itself.
#[tokio::test(flavor = "multi_thread")]
async fn killed_relay_is_bypassed() {
    let system = start_two_domains().await;
    system.gateways[1].signal(Signal::SIGKILL).unwrap();
    system.ask_until(0, "/all/7", is_complete_answer).await;
    for _ in 0..5 {
        let answer = system.ask(0, "/all/7").await;
        let lines = system.gateways[0].log_lines();
        assert!(
            is_complete_answer(&answer),
            "{answer:?}; log {:#?}",
            &lines[lines.len().saturating_sub(25)..]
        );
    }
}

/// The relay's VM stands still: its connection stays open and brings nothing. Callers get their
/// answers as soon as that has shown.
#[tokio::test(flavor = "multi_thread")]
async fn paused_relay_is_bypassed() {
    let system = start_two_domains().await;
    system.gateways[1].signal(Signal::SIGSTOP).unwrap();
    system.ask_until(0, "/all/7", is_complete_answer).await;
    system.gateways[1].signal(Signal::SIGCONT).unwrap();
    system.ask_until(0, "/all/7", is_complete_answer).await;
}

/// A caller leaves: the replicas that the relay asked must stop too.
#[tokio::test(flavor = "multi_thread")]
async fn caller_disconnect_cancels_relay() {
    let system = start_two_domains().await;
    system.replica("s1b").set_mode(ReplicaMode::Unresponsive);
    let attempt = unique_attempt_id();
    let asked = send_get(system.gateways[0].callers_address(), HOST, "/all/7", &attempt, 20_000);
    // The answer would come without that shard at its latency goal of 400 ms.
    assert!(tokio::time::timeout(Duration::from_millis(200), asked).await.is_err());
    let end = Instant::now() + WAIT_TIMEOUT;
    while system.replica("s1b").cancelled_count() == 0 {
        assert!(Instant::now() < end, "a replica still works for a caller that left");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}
