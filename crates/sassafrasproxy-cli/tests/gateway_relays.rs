//! Queries whose replicas are in another failure domain, asked by a relay there.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod gateway;

use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use sassafrasproxy_platform_standin::{Behavior, CallerAnswer, ask};

use crate::gateway::{HOST, PATIENCE, SHARDS, System, fresh_id, record};

/// Two gateways in two failure domains, and replicas in the second one's only.
async fn start() -> System {
    let system = System::start(2).await;
    for shard in 0..SHARDS {
        system.store.unlist(&format!("s{shard}a"));
    }
    system.ask_until(0, "/all/7", is_whole).await;
    let end = Instant::now() + PATIENCE;
    while relayed(&system).await == 0 {
        assert!(Instant::now() < end, "nothing was relayed");
        system.ask_until(0, "/all/7", is_whole).await;
    }
    system
}

/// The greatest records of all shards.
fn is_whole(answer: &CallerAnswer) -> bool {
    let greatest: Vec<u8> = (0..3).flat_map(|at| record(200 + SHARDS as u8 - 1 - at)).collect();
    answer.status == 200
        && answer.missing_parts() == Some(0)
        && answer.part_stamps().len() == SHARDS
        && answer.body[..] == greatest
}

/// How many sends the second gateway made for others.
async fn relayed(system: &System) -> u64 {
    system.relayed(1).await
}

#[tokio::test(flavor = "multi_thread")]
async fn merged() {
    let system = start().await;
    let before = relayed(&system).await;
    for _ in 0..10 {
        let answer = system.ask(0, "/all/7").await;
        assert!(is_whole(&answer), "{answer:?}");
    }
    assert!(relayed(&system).await >= before + 10 * SHARDS as u64);
}

/// One of the relayed parts fails: the others count, and the answer says that one is left out.
#[tokio::test(flavor = "multi_thread")]
async fn one_part_fails() {
    let system = start().await;
    for behavior in [Behavior::Failing, Behavior::Shedding, Behavior::Crossed] {
        system.replica("s1b").set(behavior.clone());
        let answer = system.ask(0, "/all/7").await;
        assert_eq!(answer.status, 200, "{behavior:?}");
        assert_eq!(answer.missing_parts(), Some(1), "{behavior:?}");
    }
}

/// The relay's process is killed: the entry asks the replicas itself.
#[tokio::test(flavor = "multi_thread")]
async fn relay_killed() {
    let system = start().await;
    system.gateways[1].signal(Signal::SIGKILL).unwrap();
    system.ask_until(0, "/all/7", is_whole).await;
    for _ in 0..5 {
        let answer = system.ask(0, "/all/7").await;
        let lines = system.gateways[0].lines();
        assert!(
            is_whole(&answer),
            "{answer:?}; log {:#?}",
            &lines[lines.len().saturating_sub(25)..]
        );
    }
}

/// The relay's VM stands still: its connection stays open and brings nothing. Callers get their
/// answers as soon as that has shown.
#[tokio::test(flavor = "multi_thread")]
async fn relay_paused() {
    let system = start().await;
    system.gateways[1].signal(Signal::SIGSTOP).unwrap();
    system.ask_until(0, "/all/7", is_whole).await;
    system.gateways[1].signal(Signal::SIGCONT).unwrap();
    system.ask_until(0, "/all/7", is_whole).await;
}

/// A caller leaves: the replicas that the relay asked must stop too.
#[tokio::test(flavor = "multi_thread")]
async fn caller_leaves() {
    let system = start().await;
    system.replica("s1b").set(Behavior::Silent);
    let attempt = fresh_id();
    let asked = ask(system.gateways[0].callers(), HOST, "/all/7", &attempt, 20_000);
    // The answer would come without that shard at its latency goal of 400 ms.
    assert!(tokio::time::timeout(Duration::from_millis(200), asked).await.is_err());
    let end = Instant::now() + PATIENCE;
    while system.replica("s1b").abandoned() == 0 {
        assert!(Instant::now() < end, "a replica still works for a caller that left");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}
