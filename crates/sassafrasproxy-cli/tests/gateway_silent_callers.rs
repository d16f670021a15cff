//! Tests callers that send requests and do not read the answers.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod gateway;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use sassafrasproxy_platform_standin::ReplicaStandIn;
use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};

use crate::gateway::{Cluster, HOST, unique_attempt_id};

/// The size of an answer that takes more room than the buffers of a connection have, in bytes.
const LARGE_ANSWER_BYTES: usize = 3 << 20;

/// The number of callers whose answers together are more than a node may hold.
const SILENT_CALLERS: usize = 40;

/// The time within which a node notices that callers do not read.
const TIME_TO_NOTICE: Duration = Duration::from_secs(1);

/// The time for which a caller may be idle, as the configuration says.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Starts a gateway whose service `desk` has large answers.
async fn start_with_large_answers() -> (Cluster, ReplicaStandIn) {
    let cluster = Cluster::start(1).await;
    let replica = ReplicaStandIn::start("dc", "desk", vec![7; LARGE_ANSWER_BYTES]);
    replica.register(&cluster.store, "west", "ready");
    for id in ["da", "db"] {
        cluster.store.deregister_replica(id);
    }
    let is_large = |body: &[u8]| body.len() == LARGE_ANSWER_BYTES;
    cluster.ask_until(0, "/desk/1", |answer| is_large(&answer.body)).await;
    (cluster, replica)
}

/// Sends a request whose answer is not read.
async fn ask_silently(address: SocketAddr) -> TcpStream {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(4_096).unwrap();
    let mut stream = socket.connect(address).await.unwrap();
    let id = unique_attempt_id();
    let head = format!(
        "GET /desk/1 HTTP/1.1\r\nhost: {HOST}\r\nx-attempt-id: {id}\r\nx-deadline-ms: 2000\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    stream
}

/// Guards against callers that leave no room for the answers of others, as they do not read theirs.
#[tokio::test(flavor = "multi_thread")]
async fn silent_callers_leave_room() {
    let (cluster, _large) = start_with_large_answers().await;
    let address = cluster.gateways[0].callers_address();
    let mut silent = Vec::new();
    for _ in 0..SILENT_CALLERS {
        silent.push(ask_silently(address).await);
    }
    tokio::time::sleep(TIME_TO_NOTICE).await;
    let (mut unserved, mut queries) = (Vec::new(), 0);
    let begun = Instant::now();
    while begun.elapsed() < Duration::from_secs(3) {
        let answer = cluster.ask(0, "/all/7").await;
        queries += 1;
        if answer.status != 200 || answer.missing_shard_count() != Some(0) {
            unserved.push((begun.elapsed(), answer.status));
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert!(unserved.is_empty(), "{} of {queries}, the first {:?}", unserved.len(), unserved[0]);
}

/// Guards against callers that keep their answers in memory for as long as they like.
#[tokio::test(flavor = "multi_thread")]
async fn silent_caller_is_closed() {
    let (cluster, _large) = start_with_large_answers().await;
    let _silent = ask_silently(cluster.gateways[0].callers_address()).await;
    tokio::time::sleep(IDLE_TIMEOUT + TIME_TO_NOTICE).await;
    let is_closed = |line: &Value| {
        line["message"] == "closed the connection of a caller that does not read its answer"
    };
    assert!(cluster.gateways[0].log_lines().iter().any(is_closed));
}

/// Guards against an answer that is cut off because its caller reads it slowly.
#[tokio::test(flavor = "multi_thread")]
async fn slow_caller_gets_its_answer() {
    let (cluster, _large) = start_with_large_answers().await;
    let address = cluster.gateways[0].callers_address();
    let mut slow = ask_silently(address).await;
    let mut buffer = vec![0; LARGE_ANSWER_BYTES / 100];
    let mut received = slow.read(&mut buffer).await.unwrap();
    assert!(buffer.starts_with(b"HTTP/1.1 200"));
    let mut silent = Vec::new();
    for _ in 0..SILENT_CALLERS {
        silent.push(ask_silently(address).await);
    }
    while received < LARGE_ANSWER_BYTES {
        let bytes = slow.read(&mut buffer).await.unwrap();
        assert!(bytes > 0, "cut off after {received} bytes");
        received += bytes;
        cluster.ask(0, "/all/7").await;
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}
