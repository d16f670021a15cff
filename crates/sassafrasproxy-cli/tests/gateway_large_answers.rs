//! Tests sound answers of a size that takes several reads.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod gateway;

use sassafrasproxy_platform_standin::StoreStandIn;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::gateway::Cluster;

/// The size of the answers, in bytes.
const ANSWER_BYTES: usize = 1 << 20;

/// Starts a replica of the service `desk` that writes the head of each answer, and then the body.
async fn start_replica(store: &StoreStandIn, id: &str) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    store.put_replica(id, "desk", "west", listener.local_addr().unwrap());
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream));
        }
    });
}

async fn serve(mut stream: TcpStream) {
    stream.set_nodelay(true).unwrap();
    let body = vec![7; ANSWER_BYTES];
    let mut buffer = vec![0; 4_096];
    while let Ok(bytes @ 1..) = stream.read(&mut buffer).await {
        // The requests of the tests are small enough to come at once.
        let request = String::from_utf8_lossy(&buffer[..bytes]).to_lowercase();
        let attempt_id = request.lines().find_map(|line| line.strip_prefix("x-attempt-id:"));
        let head = format!(
            "HTTP/1.1 200 OK\r\nx-server-stamp: d.1\r\nx-attempt-id: {}\r\ncontent-length: {}\r\n\r\n",
            attempt_id.unwrap_or("").trim(),
            body.len()
        );
        if stream.write_all(head.as_bytes()).await.is_err() {
            return;
        }
        if stream.write_all(&body).await.is_err() {
            return;
        }
    }
}

/// Guards against sound answers that are given up, as they are read sooner than they are allowed.
#[tokio::test(flavor = "multi_thread")]
async fn body_after_head() {
    let cluster = Cluster::start(1).await;
    start_replica(&cluster.store, "dc").await;
    for id in ["da", "db"] {
        cluster.store.deregister_replica(id);
    }
    cluster.ask_until(0, "/desk/1", |answer| answer.body.len() == ANSWER_BYTES).await;
    let mut unserved = Vec::new();
    for request in 0..100 {
        let answer = cluster.ask(0, "/desk/1").await;
        if answer.status != 200 || answer.body.len() != ANSWER_BYTES {
            unserved.push((request, answer.status));
        }
    }
    assert!(unserved.is_empty(), "request, status: {unserved:?}");
}
