//! Tests the graceful shutdown of a gateway.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod gateway;

use std::net::SocketAddr;
use std::time::Duration;

use nix::sys::signal::Signal;
use sassafrasproxy_platform_standin::{
    CallerAnswer, ReplicaMode, ReplicaStandIn, check_ready, send_get,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::gateway::{Cluster, HOST, routes, unique_attempt_id};

/// Guards against in-flight requests that are lost when a node is stopped by SIGTERM.
///
/// The node must report that it is not ready, answer in-flight requests with `connection: close`
/// and exit with success.
#[tokio::test(flavor = "multi_thread")]
async fn sigterm_drains_requests() {
    let mut cluster = Cluster::start(1).await;
    for id in ["da", "db"] {
        cluster.replica(id).set_mode(ReplicaMode::Answering(300));
    }
    let address = cluster.gateways[0].callers_address();
    let attempt = unique_attempt_id();
    let slow = send_get(address, HOST, "/desk/7", &attempt, 2_000);
    let shutdown = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        cluster.gateways[0].signal(Signal::SIGTERM).unwrap();
        cluster.gateways[0].wait_for_log_line("the node is leaving").unwrap();
        assert!(!check_ready(cluster.gateways[0].ready_address()).await.unwrap());
    };
    let (answer, ()) = tokio::join!(slow, shutdown);
    let answer = answer.unwrap();
    assert_eq!(answer.status, 200);
    assert_eq!(answer.header("connection"), "close");
    assert!(cluster.gateways[0].wait_for_exit().unwrap().success());
}

/// Guards against log lines that are lost at exit because they are still buffered.
///
/// The last lines say when a node stopped, which is needed to find the cause of a lost request.
#[tokio::test(flavor = "multi_thread")]
async fn last_log_line_is_written() {
    let mut cluster = Cluster::start(1).await;
    let address = cluster.gateways[0].callers_address();
    let ask_until_gone = async {
        while send_get(address, HOST, "/desk/7", &unique_attempt_id(), 2_000).await.is_ok() {}
    };
    cluster.gateways[0].signal(Signal::SIGTERM).unwrap();
    ask_until_gone.await;
    assert!(cluster.gateways[0].wait_for_exit().unwrap().success());
    cluster.gateways[0].wait_for_log_line("the node has ended").unwrap();
}

/// Guards against a request that is never answered because it arrives while a node shuts down.
///
/// The node reads the first bytes, closes its listener, and receives the rest a moment later. If
/// such a request does not count as in flight, the process exits after the request was sent to a
/// replica and before the answer.
#[tokio::test(flavor = "multi_thread")]
async fn partly_read_request_is_answered() {
    let mut cluster = Cluster::start(1).await;
    let address = cluster.gateways[0].callers_address();
    let mut caller = TcpStream::connect(address).await.unwrap();
    let request = format!(
        "GET /desk/7 HTTP/1.1\r\nhost: {HOST}\r\nx-attempt-id: {}\r\nx-deadline-ms: 2000\r\n\r\n",
        unique_attempt_id()
    );
    let (first, rest) = request.as_bytes().split_at(20);
    caller.write_all(first).await.unwrap();
    // The answer to a later request shows that the bytes were read.
    send_get(address, HOST, "/desk/7", &unique_attempt_id(), 2_000).await.unwrap();
    cluster.gateways[0].signal(Signal::SIGTERM).unwrap();
    while TcpStream::connect(address).await.is_ok() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    tokio::time::sleep(Duration::from_millis(150)).await;
    caller.write_all(rest).await.unwrap();
    let mut answer = Vec::new();
    caller.read_to_end(&mut answer).await.unwrap();
    let answer = String::from_utf8_lossy(&answer);
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(cluster.gateways[0].wait_for_exit().unwrap().success());
}

/// Guards against non-idempotent requests that a leaving node takes and cuts off before their
/// deadlines, so that their callers cannot know whether they ran.
#[tokio::test(flavor = "multi_thread")]
async fn late_orders_are_refused() {
    let mut cluster = Cluster::start(2).await;
    cluster.set_modes(ReplicaMode::Answering(600));
    let address = cluster.gateways[0].callers_address();
    cluster.gateways[0].signal(Signal::SIGTERM).unwrap();
    cluster.gateways[0].wait_for_log_line("the node is leaving").unwrap();
    let mut orders = Vec::new();
    while TcpStream::connect(address).await.is_ok() {
        let attempt_id = unique_attempt_id();
        orders.push((attempt_id.clone(), tokio::spawn(send_order(address, attempt_id))));
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert!(orders.len() > 5, "{} orders", orders.len());
    let mut refused = 0;
    for (attempt_id, answer) in orders {
        // Only an order whose connection was never accepted may end without an answer.
        let Ok(answer) = answer.await.unwrap() else {
            assert!(!has_reached_replica(&cluster, &attempt_id), "{attempt_id} was cut off");
            continue;
        };
        match answer.status.as_u16() {
            200 => {}
            503 => {
                refused += 1;
                assert!(!has_reached_replica(&cluster, &attempt_id), "{attempt_id} ran");
                assert_eq!(answer.retry_after_s(), 0.0, "another node can take it at once");
            }
            status => panic!("{attempt_id} got {status}"),
        }
    }
    assert!(refused > 0);
    assert!(cluster.gateways[0].wait_for_exit().unwrap().success());
    // The other node takes them.
    let other = cluster.gateways[1].callers_address();
    assert_eq!(send_order(other, unique_attempt_id()).await.unwrap().status, 200);
}

/// Guards against connections that end without an answer when the grace time is over: what ran may
/// have run, and what was not sent on has not.
#[tokio::test(flavor = "multi_thread")]
async fn end_of_grace_is_answered() {
    let mut cluster = Cluster::start(1).await;
    let mut routes = routes();
    routes.iter_mut().for_each(|route| route.timeout_ms = 10_000);
    cluster.publish(&routes);
    tokio::time::sleep(Duration::from_millis(500)).await;
    cluster.set_modes(ReplicaMode::Unresponsive);
    let address = cluster.gateways[0].callers_address();
    let ask = |path| {
        let attempt_id = unique_attempt_id();
        tokio::spawn(async move { send_get(address, HOST, path, &attempt_id, 8_000).await })
    };
    let sent = ["/desk/7", "/desk/order/7", "/all/7"].map(ask);
    let mut uploading = TcpStream::connect(address).await.unwrap();
    let head = format!(
        "POST /desk/7 HTTP/1.1\r\nhost: {HOST}\r\nx-attempt-id: {}\r\nx-deadline-ms: 8000\r\n\
         content-length: 9\r\n\r\nhalf",
        unique_attempt_id()
    );
    uploading.write_all(head.as_bytes()).await.unwrap();
    tokio::time::sleep(Duration::from_millis(300)).await;
    cluster.gateways[0].signal(Signal::SIGTERM).unwrap();
    for answer in sent {
        assert_eq!(answer.await.unwrap().unwrap().status, 502);
    }
    let mut answer = Vec::new();
    uploading.read_to_end(&mut answer).await.unwrap();
    let answer = String::from_utf8_lossy(&answer);
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(cluster.gateways[0].wait_for_exit().unwrap().success());
}

/// Guards against requests that are cut off when the settings file or the configuration changes, and
/// against a shutdown by the grace time of before.
#[tokio::test(flavor = "multi_thread")]
async fn changed_grace_counts() {
    let mut cluster = Cluster::start(1).await;
    cluster.set_modes(ReplicaMode::Answering(400));
    let address = cluster.gateways[0].callers_address();
    let in_flight: Vec<_> =
        (0..2).map(|_| tokio::spawn(send_order(address, unique_attempt_id()))).collect();
    tokio::time::sleep(Duration::from_millis(100)).await;
    cluster.gateways[0].change_setting("grace_ms", 5_000.into()).unwrap();
    cluster.gateways[0].signal(Signal::SIGHUP).unwrap();
    cluster.publish(&routes());
    cluster.gateways[0].wait_for_log_line("reloaded the settings").unwrap();
    for order in in_flight {
        assert_eq!(order.await.unwrap().unwrap().status, 200);
    }
    cluster.gateways[0].signal(Signal::SIGTERM).unwrap();
    cluster.gateways[0].wait_for_log_line("the node is leaving").unwrap();
    // The deadline of 1,000 ms is before the end of the new grace time, and after that of the old.
    let answer = send_order(address, unique_attempt_id()).await.unwrap();
    assert_eq!(answer.status, 200);
    assert!(cluster.gateways[0].wait_for_exit().unwrap().success());
}

async fn send_order(address: SocketAddr, attempt_id: String) -> eyre::Result<CallerAnswer> {
    send_get(address, HOST, "/desk/order/7", &attempt_id, 2_000).await
}

fn has_reached_replica(cluster: &Cluster, attempt_id: &str) -> bool {
    let received = cluster.replicas.iter().flat_map(ReplicaStandIn::received_requests);
    received.into_iter().any(|request| request.attempt_id == attempt_id)
}
