//! Settings of a gateway that change while it runs.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod gateway;

use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use sassafrasproxy_platform_standin::ask_directory;
use serde_json::json;

use crate::gateway::{PATIENCE, System};

/// How long callers are told to keep an address list, in seconds.
async fn keep_s(system: &System) -> u64 {
    ask_directory(system.gateways[0].directory(), "west").await.unwrap().keep_s
}

async fn wait_for_keep(system: &System, expected_s: u64) {
    let end = Instant::now() + PATIENCE;
    while keep_s(system).await != expected_s {
        assert!(Instant::now() < end, "never in force: {:#?}", system.gateways[0].lines());
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// An operator changes the settings and sends SIGHUP while callers wait for answers. A process
/// that does not handle the signal is ended by it, and every open request is lost with it.
#[tokio::test(flavor = "multi_thread")]
async fn hangup() {
    let mut system = System::start(1).await;
    assert_eq!(keep_s(&system).await, 1);
    system.gateways[0].change_setting("address_keep_ms", json!(3_000)).unwrap();
    system.gateways[0].signal(Signal::SIGHUP).unwrap();
    wait_for_keep(&system, 3).await;
    assert!(system.gateways[0].is_running().unwrap());
    assert_eq!(system.ask(0, "/desk/1").await.status, 200);
}

/// The platform rewrites the settings without a signal.
#[tokio::test(flavor = "multi_thread")]
async fn no_signal() {
    let mut system = System::start(1).await;
    system.gateways[0].change_setting("address_keep_ms", json!(4_000)).unwrap();
    wait_for_keep(&system, 4).await;
}

/// A file that cannot be used leaves the settings in force, and the log says what to mend.
#[tokio::test(flavor = "multi_thread")]
async fn bad_file() {
    let mut system = System::start(1).await;
    system.gateways[0].spoil_settings("name: [").unwrap();
    system.gateways[0].signal(Signal::SIGHUP).unwrap();
    let line = system.gateways[0].wait_for_line("the settings in force stay").unwrap();
    assert!(line["problem"].as_str().unwrap().contains("gateway.yaml:1"), "{line}");
    assert!(system.gateways[0].is_running().unwrap());
    assert_eq!(keep_s(&system).await, 1);
}
