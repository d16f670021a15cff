//! Tests rollouts of a service to a new version, with gateways as processes.

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

use crate::gateway::{Cluster, HOST, SHARD_COUNT, WAIT_TIMEOUT, unique_attempt_id};

/// The period of a rollout order, in seconds: several times the time that its last phases need.
const PERIOD_S: f64 = 8.0;

/// The time within which a bad version must be stopped.
const STOPPED_WITHIN: Duration = Duration::from_secs(5);

/// The pause between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);

/// Starts two gateways, and two unregistered replicas of `desk` with a new version.
async fn start_with_new_version() -> Cluster {
    let mut cluster = Cluster::start(0).await;
    let rollouts = [("rollouts", json!({ "exposure_share": 0.1, "exposure_slack": 50 }))];
    for _ in 0..2 {
        cluster.add_gateway_with_settings(&rollouts);
    }
    for copy in ["a", "b"] {
        let replica = ReplicaStandIn::start(&format!("n{copy}"), "desk", "found anew");
        cluster.replicas.push(replica.with_version("v2"));
    }
    for index in 0..2 {
        cluster.ask_until(index, "/desk/1", |answer| answer.status == 200).await;
    }
    cluster
}

fn register_new_version(cluster: &Cluster) {
    for (id, domain) in [("na", "west"), ("nb", "east")] {
        cluster.replica(id).register(&cluster.store, domain, "ready");
    }
}

/// The results of the requests during a rollout.
#[derive(Debug, Default)]
struct CallerResults {
    request_count: AtomicU64,
    failure_count: AtomicU64,
    is_done: AtomicBool,
    failures: Mutex<Vec<String>>,
}

/// Sends requests to the gateways in turn until the rollout reaches a state, and for another 500 ms.
async fn ask_until_state(cluster: &Cluster, state: &str) -> CallerResults {
    let results = Arc::new(CallerResults::default());
    let callers: Vec<_> = cluster.gateways.iter().map(GatewayProcess::callers_address).collect();
    let task_results = results.clone();
    let task = tokio::spawn(async move {
        for index in (0..callers.len()).cycle() {
            if task_results.is_done.load(Ordering::Relaxed) {
                return;
            }
            let answer =
                send_get(callers[index], HOST, "/desk/7", &unique_attempt_id(), 2_000).await;
            task_results.request_count.fetch_add(1, Ordering::Relaxed);
            if !answer.as_ref().is_ok_and(|answer| answer.status == 200) {
                task_results.failure_count.fetch_add(1, Ordering::Relaxed);
                task_results.failures.lock().unwrap().push(format!("{answer:?}"));
            }
            tokio::time::sleep(REQUEST_INTERVAL).await;
        }
    });
    let end = Instant::now() + WAIT_TIMEOUT;
    let wanted = Some((state.to_owned(), "v2".to_owned()));
    while cluster.store.rollout_status("desk") != wanted {
        let status = cluster.store.rollout_status("desk");
        let lines = cluster.gateways[0].log_lines();
        assert!(Instant::now() < end, "the rollout is not {state}, but {status:?}; log {lines:#?}");
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
    if state == "completed" {
        // The platform stops the old replicas at once.
        for id in ["da", "db"] {
            cluster.replica(id).set_mode(ReplicaMode::Failing);
            cluster.store.deregister_replica(id);
        }
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    results.is_done.store(true, Ordering::Relaxed);
    task.await.unwrap();
    Arc::into_inner(results).unwrap()
}

fn run_count(cluster: &Cluster, ids: [&str; 2]) -> usize {
    ids.iter().map(|id| cluster.replica(id).started_attempt_ids().len()).sum()
}

/// Guards against failed requests during the rollout of a good version, and against use of the old
/// version after it has completed.
#[tokio::test(flavor = "multi_thread")]
async fn good_version_completes() {
    let cluster = start_with_new_version().await;
    register_new_version(&cluster);
    cluster.store.order_rollout("desk", "v2", PERIOD_S);
    let results = ask_until_state(&cluster, "completed").await;
    assert_eq!(results.failure_count.into_inner(), 0, "{:?}", results.failures);
    let before = run_count(&cluster, ["da", "db"]);
    for index in 0..2 {
        let answer = cluster.ask(index, "/desk/7").await;
        assert_eq!(&answer.body[..], b"found anew");
    }
    assert_eq!(run_count(&cluster, ["da", "db"]), before, "the old version still gets requests");
}

/// Guards against a version that fails every second request.
///
/// It must get no more requests than the exposure limit allows, callers must be served by the old
/// version, and the rollout must be rolled back.
#[tokio::test(flavor = "multi_thread")]
async fn bad_version_rolls_back() {
    let cluster = start_with_new_version().await;
    for id in ["na", "nb"] {
        cluster.replica(id).set_mode(ReplicaMode::FailingEveryNth(2));
    }
    register_new_version(&cluster);
    cluster.store.order_rollout("desk", "v2", PERIOD_S);
    let results = ask_until_state(&cluster, "rolled_back").await;
    assert_eq!(results.failure_count.into_inner(), 0, "{:?}", results.failures);
    let exposed = run_count(&cluster, ["na", "nb"]) as f64;
    assert!(exposed <= 50.0 + 0.1 * results.request_count.into_inner() as f64, "{exposed}");
    let before = run_count(&cluster, ["na", "nb"]);
    for index in 0..2 {
        cluster.ask(index, "/desk/7").await;
    }
    assert_eq!(run_count(&cluster, ["na", "nb"]), before, "the bad version still gets requests");
}

/// Guards against requests to replicas of a version without a rollout order.
#[tokio::test(flavor = "multi_thread")]
async fn version_without_order_gets_no_work() {
    let cluster = start_with_new_version().await;
    register_new_version(&cluster);
    cluster.gateways[0].wait_for_log_line("a replica is listed").unwrap();
    for _ in 0..20 {
        for index in 0..2 {
            assert_eq!(cluster.ask(index, "/desk/7").await.status, 200);
        }
    }
    assert_eq!(run_count(&cluster, ["na", "nb"]), 0);
}

/// Guards against excess exposure when the store stops answering during the trial of a bad version.
#[tokio::test(flavor = "multi_thread")]
async fn store_outage_limits_exposure() {
    let cluster = start_with_new_version().await;
    register_new_version(&cluster);
    cluster.store.order_rollout("desk", "v2", PERIOD_S);
    let end = Instant::now() + WAIT_TIMEOUT;
    while run_count(&cluster, ["na", "nb"]) == 0 {
        assert!(Instant::now() < end, "the trial did not start");
        cluster.ask(0, "/desk/7").await;
    }
    cluster.store.set_mode(StoreMode::Refusing(503));
    for id in ["na", "nb"] {
        cluster.replica(id).set_mode(ReplicaMode::Failing);
    }
    // No status can be written now, but callers must still be served.
    for _ in 0..200 {
        for index in 0..2 {
            assert_eq!(cluster.ask(index, "/desk/7").await.status, 200);
        }
    }
    cluster.store.set_mode(StoreMode::Up);
    ask_until_state(&cluster, "rolled_back").await;
    assert!(run_count(&cluster, ["na", "nb"]) <= 50);
}

/// Guards against a bad version that is stopped late, as the coordinator waits for its writes for other
/// rollouts, one after another, while the store is silent.
#[tokio::test(flavor = "multi_thread")]
async fn hung_writes_delay_no_stop() {
    let mut cluster = start_with_new_version().await;
    register_new_version(&cluster);
    for shard in 0..SHARD_COUNT {
        let replica = ReplicaStandIn::start(&format!("v{shard}"), &format!("shard-{shard}"), "");
        cluster.replicas.push(replica.with_version("v2"));
        cluster.replica(&format!("v{shard}")).register(&cluster.store, "west", "ready");
    }
    cluster.store.order_rollout("desk", "v2", PERIOD_S);
    let end = Instant::now() + WAIT_TIMEOUT;
    while run_count(&cluster, ["na", "nb"]) == 0 {
        assert!(Instant::now() < end, "the trial did not start");
        cluster.ask(0, "/desk/7").await;
    }
    for shard in 0..SHARD_COUNT {
        cluster.store.order_rollout(&format!("shard-{shard}"), "v2", PERIOD_S);
    }
    let last_shard = format!("shard-{}", SHARD_COUNT - 1);
    let has_line = |gateway: &GatewayProcess, message: &str, service: &str| {
        let lines = gateway.log_lines();
        lines.iter().any(|line| line["message"] == message && line["service"] == service)
    };
    while !has_line(&cluster.gateways[0], "a rollout order changed", &last_shard) {
        assert!(Instant::now() < end, "the orders were not seen");
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    cluster.store.set_mode(StoreMode::Unresponsive);
    for id in ["na", "nb"] {
        cluster.replica(id).set_mode(ReplicaMode::Failing);
    }
    let failing = Instant::now();
    let is_stopped = |gateway: &GatewayProcess| {
        gateway.log_lines().iter().any(|line| line["message"] == "a rollout was stopped")
    };
    while !cluster.gateways.iter().any(is_stopped) {
        assert!(failing.elapsed() < STOPPED_WITHIN, "the version is still on trial");
        for index in 0..2 {
            assert_eq!(cluster.ask(index, "/desk/7").await.status, 200);
        }
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
    println!("stopped after {:?}", failing.elapsed());
}

/// Guards against a trial that does not end after one of the two gateways has crashed.
#[tokio::test(flavor = "multi_thread")]
async fn trial_survives_killed_node() {
    let mut cluster = start_with_new_version().await;
    for id in ["na", "nb"] {
        cluster.replica(id).set_mode(ReplicaMode::FailingEveryNth(3));
    }
    register_new_version(&cluster);
    cluster.store.order_rollout("desk", "v2", PERIOD_S);
    cluster.gateways[0].wait_for_log_line("a rollout record has a new phase").unwrap();
    let killed = cluster.gateways.remove(1);
    killed.signal(Signal::SIGKILL).unwrap();
    let results = ask_until_state(&cluster, "rolled_back").await;
    assert_eq!(results.failure_count.into_inner(), 0, "{:?}", results.failures);
}

/// Guards against effects on callers of an order that cannot be decoded, of one for an unknown
/// service and of one that is cancelled.
#[tokio::test(flavor = "multi_thread")]
async fn bad_orders_change_nothing() {
    let cluster = start_with_new_version().await;
    register_new_version(&cluster);
    cluster.store.corrupt_rollout_order("desk", br#"{"service":"desk","target_version":2}"#);
    cluster.gateways[0].wait_for_log_line("ignored a store item that cannot be decoded").unwrap();
    assert_eq!(cluster.store.rollout_status("desk"), None);
    cluster.store.order_rollout("nowhere", "v2", PERIOD_S);
    let end = Instant::now() + WAIT_TIMEOUT;
    let unknown = "a rollout order names an unknown service";
    while !cluster
        .gateways
        .iter()
        .any(|gateway| gateway.log_lines().iter().any(|line| line["message"] == unknown))
    {
        assert!(Instant::now() < end, "no gateway logged that the service is unknown");
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
    cluster.store.order_rollout("desk", "v2", 3_600.0);
    cluster.gateways[0].wait_for_log_line("a rollout record has a new phase").unwrap();
    cluster.store.cancel_rollout("desk");
    ask_until_state(&cluster, "rolled_back").await;
    assert_eq!(&cluster.ask(0, "/desk/7").await.body[..], b"found");
}
