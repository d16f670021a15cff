//! Moving a service to a new version of its replicas, with gateways as processes.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod gateway;

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use sassafrasproxy_platform_standin::{
    GatewayProcess, ReplicaMode, ReplicaStandIn, StoreMode, send_get,
};
use serde_json::json;

use crate::gateway::{Cluster, HOST, WAIT_TIMEOUT, unique_attempt_id};

/// How long the operators give a roll-out, in seconds: several times what its last steps need.
const PERIOD_S: f64 = 8.0;

/// The pause between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);

/// Two gateways, and two replicas of `desk` with a new version.
async fn start_with_new_version() -> Cluster {
    let mut system = Cluster::start(0).await;
    let rollouts = [("rollouts", json!({ "exposure_share": 0.1, "exposure_slack": 50 }))];
    for _ in 0..2 {
        system.add_gateway_with_settings(&rollouts);
    }
    for copy in ["a", "b"] {
        let replica = ReplicaStandIn::start(&format!("n{copy}"), "desk", "found anew");
        system.replicas.push(replica.with_version("v2"));
    }
    for at in 0..2 {
        system.ask_until(at, "/desk/1", |answer| answer.status == 200).await;
    }
    system
}

fn register_new_version(system: &Cluster) {
    for (id, domain) in [("na", "west"), ("nb", "east")] {
        system.replica(id).register(&system.store, domain, "ready");
    }
}

/// What callers got while a roll-out ran.
#[derive(Debug, Default)]
struct CallerResults {
    request_count: AtomicU64,
    failure_count: AtomicU64,
    is_done: AtomicBool,
    failures: Mutex<Vec<String>>,
}

/// Asks both gateways by turns until the roll-out has the state, and some requests more.
async fn ask_until_state(system: &Cluster, state: &str) -> CallerResults {
    let served = Arc::new(CallerResults::default());
    let callers: Vec<_> = system.gateways.iter().map(GatewayProcess::callers_address).collect();
    let asking = served.clone();
    let task = tokio::spawn(async move {
        for at in (0..callers.len()).cycle() {
            if asking.is_done.load(Ordering::Relaxed) {
                return;
            }
            let answer = send_get(callers[at], HOST, "/desk/7", &unique_attempt_id(), 2_000).await;
            asking.request_count.fetch_add(1, Ordering::Relaxed);
            if !answer.as_ref().is_ok_and(|answer| answer.status == 200) {
                asking.failure_count.fetch_add(1, Ordering::Relaxed);
                asking.failures.lock().unwrap().push(format!("{answer:?}"));
            }
            tokio::time::sleep(REQUEST_INTERVAL).await;
        }
    });
    let end = Instant::now() + WAIT_TIMEOUT;
    let wanted = Some((state.to_owned(), "v2".to_owned()));
    while system.store.rollout_status("desk") != wanted {
        let status = system.store.rollout_status("desk");
        let lines = system.gateways[0].log_lines();
        assert!(Instant::now() < end, "never {state}, but {status:?}; log {lines:#?}");
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
    if state == "completed" {
        // The platform stops the old replicas at once.
        for id in ["da", "db"] {
            system.replica(id).set_mode(ReplicaMode::Failing);
            system.store.deregister_replica(id);
        }
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    served.is_done.store(true, Ordering::Relaxed);
    task.await.unwrap();
    Arc::into_inner(served).unwrap()
}

fn run_count(system: &Cluster, ids: [&str; 2]) -> usize {
    ids.iter().map(|id| system.replica(id).started_attempt_ids().len()).sum()
}

/// A good version is completed, and no caller notices.
#[tokio::test(flavor = "multi_thread")]
async fn good_version_completes() {
    let system = start_with_new_version().await;
    register_new_version(&system);
    system.store.order_rollout("desk", "v2", PERIOD_S);
    let served = ask_until_state(&system, "completed").await;
    assert_eq!(served.failure_count.into_inner(), 0, "{:?}", served.failures);
    let before = run_count(&system, ["da", "db"]);
    for at in 0..2 {
        let answer = system.ask(at, "/desk/7").await;
        assert_eq!(&answer.body[..], b"found anew");
    }
    assert_eq!(run_count(&system, ["da", "db"]), before, "the old version is used on");
}

/// A version that fails every second request: few reach it, and their callers are served by the old one.
#[tokio::test(flavor = "multi_thread")]
async fn bad_version_rolls_back() {
    let system = start_with_new_version().await;
    for id in ["na", "nb"] {
        system.replica(id).set_mode(ReplicaMode::FailingEveryNth(2));
    }
    register_new_version(&system);
    system.store.order_rollout("desk", "v2", PERIOD_S);
    let served = ask_until_state(&system, "rolled_back").await;
    assert_eq!(served.failure_count.into_inner(), 0, "{:?}", served.failures);
    let exposed = run_count(&system, ["na", "nb"]) as f64;
    assert!(exposed <= 50.0 + 0.1 * served.request_count.into_inner() as f64, "{exposed}");
    let before = run_count(&system, ["na", "nb"]);
    for at in 0..2 {
        system.ask(at, "/desk/7").await;
    }
    assert_eq!(run_count(&system, ["na", "nb"]), before, "the bad version is used on");
}

/// Replicas of a version that nobody ordered are listed: they get nothing.
#[tokio::test(flavor = "multi_thread")]
async fn version_without_order_gets_no_work() {
    let system = start_with_new_version().await;
    register_new_version(&system);
    system.gateways[0].wait_for_log_line("a replica is listed").unwrap();
    for _ in 0..20 {
        for at in 0..2 {
            assert_eq!(system.ask(at, "/desk/7").await.status, 200);
        }
    }
    assert_eq!(run_count(&system, ["na", "nb"]), 0);
}

/// The store stops answering in the middle of the trial of a bad version: it gets no more than it may.
#[tokio::test(flavor = "multi_thread")]
async fn store_outage_limits_exposure() {
    let system = start_with_new_version().await;
    register_new_version(&system);
    system.store.order_rollout("desk", "v2", PERIOD_S);
    let end = Instant::now() + WAIT_TIMEOUT;
    while run_count(&system, ["na", "nb"]) == 0 {
        assert!(Instant::now() < end, "the trial never began");
        system.ask(0, "/desk/7").await;
    }
    system.store.set_mode(StoreMode::Refusing(503));
    for id in ["na", "nb"] {
        system.replica(id).set_mode(ReplicaMode::Failing);
    }
    // No status can be written: callers are served all the while.
    for _ in 0..200 {
        for at in 0..2 {
            assert_eq!(system.ask(at, "/desk/7").await.status, 200);
        }
    }
    system.store.set_mode(StoreMode::Up);
    ask_until_state(&system, "rolled_back").await;
    assert!(run_count(&system, ["na", "nb"]) <= 50);
}

/// One of the two gateways dies in the middle of a trial: the other one ends it.
#[tokio::test(flavor = "multi_thread")]
async fn trial_survives_killed_node() {
    let mut system = start_with_new_version().await;
    for id in ["na", "nb"] {
        system.replica(id).set_mode(ReplicaMode::FailingEveryNth(3));
    }
    register_new_version(&system);
    system.store.order_rollout("desk", "v2", PERIOD_S);
    system.gateways[0].wait_for_log_line("a roll-out is at a step").unwrap();
    let killed = system.gateways.remove(1);
    killed.signal(Signal::SIGKILL).unwrap();
    let served = ask_until_state(&system, "rolled_back").await;
    assert_eq!(served.failure_count.into_inner(), 0, "{:?}", served.failures);
}

/// An order that cannot be read, one for a service that nobody knows and one that is taken back change
/// nothing for callers.
#[tokio::test(flavor = "multi_thread")]
async fn bad_orders_change_nothing() {
    let system = start_with_new_version().await;
    register_new_version(&system);
    system.store.corrupt_rollout_order("desk", br#"{"service":"desk","target_version":2}"#);
    system.gateways[0].wait_for_log_line("an item of the store is ignored").unwrap();
    assert_eq!(system.store.rollout_status("desk"), None);
    system.store.order_rollout("nowhere", "v2", PERIOD_S);
    let end = Instant::now() + WAIT_TIMEOUT;
    let unknown = "a roll-out is ordered for a service that nobody knows";
    while !system
        .gateways
        .iter()
        .any(|one| one.log_lines().iter().any(|at| at["message"] == unknown))
    {
        assert!(Instant::now() < end, "nobody says that the service is unknown");
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
    system.store.order_rollout("desk", "v2", 3_600.0);
    system.gateways[0].wait_for_log_line("a roll-out is at a step").unwrap();
    system.store.cancel_rollout("desk");
    ask_until_state(&system, "rolled_back").await;
    assert_eq!(&system.ask(0, "/desk/7").await.body[..], b"found");
}
