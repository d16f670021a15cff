//! The planned stop of a gateway.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod gateway;

use std::time::Duration;

use nix::sys::signal::Signal;
use sassafrasproxy_platform_standin::{ReplicaMode, check_ready, send_get};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::gateway::{Cluster, HOST, unique_attempt_id};

/// A node is told to stop while it serves. It is not ready from then on, callers are told to
/// move on, requests under way get their answers, and the process ends well by itself.
#[tokio::test(flavor = "multi_thread")]
async fn sigterm_drains_requests() {
    let mut system = Cluster::start(1).await;
    for id in ["da", "db"] {
        system.replica(id).set_mode(ReplicaMode::Answering(300));
    }
    let address = system.gateways[0].callers_address();
    let attempt = unique_attempt_id();
    let slow = send_get(address, HOST, "/desk/7", &attempt, 2_000);
    let told = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        system.gateways[0].signal(Signal::SIGTERM).unwrap();
        system.gateways[0].wait_for_log_line("the node is leaving").unwrap();
        assert!(!check_ready(system.gateways[0].ready_address()).await.unwrap());
    };
    let (answer, ()) = tokio::join!(slow, told);
    let answer = answer.unwrap();
    assert_eq!(answer.status, 200);
    assert_eq!(answer.header("connection"), "close");
    assert!(system.gateways[0].wait_for_exit().unwrap().success());
}

/// A node is told to stop. Whoever looks for the cause of a request's loss must find when it
/// stopped: the last lines, which wait for the next write, must not be lost with the process.
#[tokio::test(flavor = "multi_thread")]
async fn last_log_line_is_written() {
    let mut system = Cluster::start(1).await;
    let address = system.gateways[0].callers_address();
    let ask_until_gone = async {
        while send_get(address, HOST, "/desk/7", &unique_attempt_id(), 2_000).await.is_ok() {}
    };
    system.gateways[0].signal(Signal::SIGTERM).unwrap();
    ask_until_gone.await;
    assert!(system.gateways[0].wait_for_exit().unwrap().success());
    system.gateways[0].wait_for_log_line("the node has ended").unwrap();
}

/// A caller's request arrives just as a node that was told to stop closes its port: its first bytes
/// are read, the rest comes a moment later. The node counted no request under way and ended, and the
/// request was read, sent to a replica and never answered.
#[tokio::test(flavor = "multi_thread")]
async fn partly_read_request_is_answered() {
    let mut system = Cluster::start(1).await;
    let address = system.gateways[0].callers_address();
    let mut caller = TcpStream::connect(address).await.unwrap();
    let request = format!(
        "GET /desk/7 HTTP/1.1\r\nhost: {HOST}\r\nx-attempt-id: {}\r\nx-deadline-ms: 2000\r\n\r\n",
        unique_attempt_id()
    );
    let (first, rest) = request.as_bytes().split_at(20);
    caller.write_all(first).await.unwrap();
    // The answer to a later request shows that the bytes were read.
    send_get(address, HOST, "/desk/7", &unique_attempt_id(), 2_000).await.unwrap();
    system.gateways[0].signal(Signal::SIGTERM).unwrap();
    while TcpStream::connect(address).await.is_ok() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    tokio::time::sleep(Duration::from_millis(150)).await;
    caller.write_all(rest).await.unwrap();
    let mut answer = Vec::new();
    caller.read_to_end(&mut answer).await.unwrap();
    let answer = String::from_utf8_lossy(&answer);
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(system.gateways[0].wait_for_exit().unwrap().success());
}
