//! Tests datagrams that are malformed or come from another version.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod gateway;

use std::net::UdpSocket;

use crate::gateway::Cluster;

/// Guards against a node that crashes, or drops its peers, after a malformed datagram or one of
/// another version.
#[tokio::test(flavor = "multi_thread")]
async fn malformed_datagrams_are_ignored() {
    let cluster = Cluster::start(2).await;
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let peer_address = cluster.gateways[0].peers_address();
    let older_version = br#"{"is_reply":false,"heartbeat":{}}"#.to_vec();
    for bytes in [older_version, vec![1, 255, 255, 255], vec![200; 1_200], vec![1; 9_000]] {
        socket.send_to(&bytes, peer_address).unwrap();
    }
    cluster.gateways[0].wait_for_log_line("ignored a datagram that cannot be decoded").unwrap();
    for _ in 0..5 {
        assert_eq!(cluster.ask(0, "/desk/1").await.status, 200);
        assert_eq!(cluster.ask(0, "/all/1").await.status, 200);
    }
}
