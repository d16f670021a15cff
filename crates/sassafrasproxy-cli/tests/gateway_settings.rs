//! Tests settings of a gateway that change while it runs.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod gateway;

use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use sassafrasproxy_platform_standin::query_directory;
use serde_json::json;

use crate::gateway::{Cluster, WAIT_TIMEOUT};

/// Returns the time for which the directory lets callers keep an address list, in seconds.
async fn address_keep_s(cluster: &Cluster) -> u64 {
    query_directory(cluster.gateways[0].directory_address(), "west").await.unwrap().ttl_s
}

async fn wait_for_address_keep(cluster: &Cluster, expected_s: u64) {
    let end = Instant::now() + WAIT_TIMEOUT;
    while address_keep_s(cluster).await != expected_s {
        assert!(
            Instant::now() < end,
            "the setting did not become active: {:#?}",
            cluster.gateways[0].log_lines()
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against a process that does not handle SIGHUP.
///
/// An operator changes the settings and sends SIGHUP. Without a handler the signal ends the
/// process, and all in-flight requests are lost.
#[tokio::test(flavor = "multi_thread")]
async fn sighup_reloads_settings() {
    let mut cluster = Cluster::start(1).await;
    assert_eq!(address_keep_s(&cluster).await, 1);
    cluster.gateways[0].change_setting("address_keep_ms", json!(3_000)).unwrap();
    cluster.gateways[0].signal(Signal::SIGHUP).unwrap();
    wait_for_address_keep(&cluster, 3).await;
    assert!(cluster.gateways[0].is_running().unwrap());
    assert_eq!(cluster.ask(0, "/desk/1").await.status, 200);
}

/// Guards against settings that are not reloaded when the platform rewrites the file without a
/// signal.
#[tokio::test(flavor = "multi_thread")]
async fn changed_file_reloads_settings() {
    let mut cluster = Cluster::start(1).await;
    cluster.gateways[0].change_setting("address_keep_ms", json!(4_000)).unwrap();
    wait_for_address_keep(&cluster, 4).await;
}

/// Guards against an invalid settings file that ends the process or replaces the active settings.
///
/// The log must say where the error is.
#[tokio::test(flavor = "multi_thread")]
async fn bad_file_keeps_settings() {
    let mut cluster = Cluster::start(1).await;
    cluster.gateways[0].corrupt_settings("name: [").unwrap();
    cluster.gateways[0].signal(Signal::SIGHUP).unwrap();
    let line = cluster.gateways[0]
        .wait_for_log_line("the settings file is invalid; keeping the active settings")
        .unwrap();
    assert!(line["problem"].as_str().unwrap().contains("gateway.yaml:1"), "{line}");
    assert!(cluster.gateways[0].is_running().unwrap());
    assert_eq!(address_keep_s(&cluster).await, 1);
}
