//! The planned stop of a gateway.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod gateway;

use std::time::Duration;

use nix::sys::signal::Signal;
use sassafrasproxy_platform_standin::{Behavior, ask, ask_ready};

use crate::gateway::{HOST, System, fresh_id};

/// A node is told to stop while it serves. It is not ready from then on, callers are told to
/// move on, requests under way get their answers, and the process ends well by itself.
#[tokio::test(flavor = "multi_thread")]
async fn graceful_end() {
    let mut system = System::start(1).await;
    for id in ["da", "db"] {
        system.replica(id).set(Behavior::Answering(300));
    }
    let address = system.gateways[0].callers();
    let attempt = fresh_id();
    let slow = ask(address, HOST, "/desk/7", &attempt, 2_000);
    let told = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        system.gateways[0].signal(Signal::SIGTERM).unwrap();
        system.gateways[0].wait_for_line("the node is leaving").unwrap();
        assert!(!ask_ready(system.gateways[0].ready()).await.unwrap());
    };
    let (answer, ()) = tokio::join!(slow, told);
    let answer = answer.unwrap();
    assert_eq!(answer.status, 200);
    assert_eq!(answer.header("connection"), "close");
    assert!(system.gateways[0].wait().unwrap().success());
}

/// A node is told to stop. Whoever looks for the cause of a request's loss must find when it
/// stopped: the last lines, which wait for the next write, must not be lost with the process.
#[tokio::test(flavor = "multi_thread")]
async fn last_line() {
    let mut system = System::start(1).await;
    let address = system.gateways[0].callers();
    let ask_until_gone =
        async { while ask(address, HOST, "/desk/7", &fresh_id(), 2_000).await.is_ok() {} };
    system.gateways[0].signal(Signal::SIGTERM).unwrap();
    ask_until_gone.await;
    assert!(system.gateways[0].wait().unwrap().success());
    system.gateways[0].wait_for_line("the node has ended").unwrap();
}
