//! New connections to replicas.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::future::Future;
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use sassafrasproxy_gateway::{ConnectError, connect};
use socket2::SockRef;
use tokio::task::LocalSet;

/// Far longer than anything here takes, also on a busy machine.
const LONG_WAIT: Duration = Duration::from_secs(20);

/// Runs a test of connections, which live in tasks of one thread.
fn run_on_one_thread(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, test);
}

/// A replica that takes connections and resets them.
fn start_resetting_replica() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        while let Ok((stream, _)) = listener.accept() {
            SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
        }
    });
    address
}

/// A replica is at its cap and resets an order's connection right after it took it. The order,
/// written on it at once, counts as one that may have run: its caller got a 502 and could not send
/// it again, though the sibling was free. The reset must show before anything is written.
#[test]
fn reset_is_detected_before_send() {
    run_on_one_thread(async {
        let address = start_resetting_replica();
        let error = connect(address, LONG_WAIT, LONG_WAIT).await.unwrap_err();
        assert!(matches!(error, ConnectError::Closed | ConnectError::Io(_)), "{error}");
        assert!(!error.is_process_gone(), "the replica lives");
    });
}

/// A connection that stays quiet is taken.
#[test]
fn quiet_connection_is_accepted() {
    run_on_one_thread(async {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let sender = connect(address, LONG_WAIT, Duration::from_millis(5)).await.unwrap();
        assert!(!sender.is_closed());
    });
}

/// The process is gone: nobody listens at its address.
#[test]
fn closed_port_means_process_gone() {
    run_on_one_thread(async {
        let address = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
        assert!(connect(address, LONG_WAIT, LONG_WAIT).await.unwrap_err().is_process_gone());
    });
}
