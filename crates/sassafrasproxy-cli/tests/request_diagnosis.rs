//! Tests that logs and metrics explain how a request ended, given its id.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod gateway;

use std::process::Command;

use sassafrasproxy_platform_standin::{ReplicaMode, send_get, send_request};

use crate::gateway::{Cluster, HOST, binary};

/// Guards against an answer with a missing shard that the logs do not explain. Both replicas of a
/// shard fail; given the request's id and the logs of all processes, `timeline` must name the
/// shard, a replica and the reason.
#[tokio::test(flavor = "multi_thread")]
async fn missing_shard() {
    let cluster = Cluster::start(2).await;
    for id in ["s2a", "s2b"] {
        cluster.replica(id).set_mode(ReplicaMode::Failing);
    }
    let answer =
        send_get(cluster.gateways[1].callers_address(), HOST, "/all/7", "complaint", 2_000).await;
    assert_eq!(answer.unwrap().missing_shard_count(), Some(1));
    cluster.gateways[1].wait_for_log_line("shards are left out").unwrap();
    let dir = tempfile::TempDir::new().unwrap();
    let files = cluster.gateways.iter().enumerate().map(|(at, gateway)| {
        let file = dir.path().join(format!("vm-{at}.log"));
        let lines: Vec<String> = gateway.log_lines().iter().map(ToString::to_string).collect();
        std::fs::write(&file, lines.join("\n")).unwrap();
        file
    });
    let files: Vec<_> = files.collect();
    let output = Command::new(binary())
        .args(["timeline", "--request", "complaint", "--logs"])
        .args(&files)
        .output()
        .unwrap();
    let timeline = String::from_utf8(output.stdout).unwrap();
    assert!(output.status.success(), "{timeline}");
    assert!(timeline.contains("shard-2: AllTried after s2"), "{timeline}");
    assert!(timeline.contains("a configuration is in force"), "{timeline}");
    assert!(!timeline.contains("a replica is listed           id=s0a"), "{timeline}");
}

/// Guards against a refusal that the log does not explain. None of a service's replicas is listed
/// any more, so a request for it is refused and does not run. The log must name the service and the
/// reason, since the route's name alone does not lead to the service.
#[tokio::test(flavor = "multi_thread")]
async fn refused_without_replica() {
    let cluster = Cluster::start(1).await;
    for id in ["da", "db"] {
        cluster.store.deregister_replica(id);
    }
    cluster.ask_until(0, "/desk/7", |answer| answer.status == 503).await;
    let line = cluster.gateways[0].wait_for_log_line("no replica is left to ask").unwrap();
    assert_eq!((&line["service"], &line["end"]), (&"desk".into(), &"NoReplica".into()), "{line}");
    assert_eq!((&line["last"], &line["may_have_run"]), (&"".into(), &false.into()), "{line}");
}

/// Checks that the metrics count how requests ended, and for what reason.
#[tokio::test(flavor = "multi_thread")]
async fn metrics() {
    let cluster = Cluster::start(1).await;
    cluster.ask(0, "/all/7").await;
    cluster.ask(0, "/nowhere/").await;
    let request = http::Request::get("/metrics").header("host", "h");
    let request = request.body(http_body_util::Full::default()).unwrap();
    let answer = send_request(cluster.gateways[0].metrics_address(), request).await.unwrap();
    let text = String::from_utf8(answer.body.to_vec()).unwrap();
    for expected in [
        "sassafrasproxy_answers_total{route=\"r-all\",status=\"200\"} 1",
        "sassafrasproxy_refusals_total{kind=\"no_route\"} 1",
        "sassafrasproxy_sends_total{kind=\"first\"}",
        "sassafrasproxy_latency_seconds_count{route=\"r-all\"} 1",
        "sassafrasproxy_configuration_version 3",
        "sassafrasproxy_open_replicas 10",
    ] {
        assert!(text.contains(expected), "no `{expected}` in {text}");
    }
}
