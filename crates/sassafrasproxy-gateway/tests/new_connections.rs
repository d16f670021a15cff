//! Tests of new connections to replicas.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::future::Future;
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use sassafrasproxy_gateway::{ConnectError, connect};
use socket2::SockRef;
use tokio::task::LocalSet;

/// A timeout far longer than any step of these tests takes, also on a busy machine.
const LONG_WAIT: Duration = Duration::from_secs(20);

/// Runs a test on one thread, as connections are driven by thread-local tasks.
fn run_on_one_thread(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, test);
}

/// Starts a replica that accepts connections and resets them.
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

/// Guards against a 502 for a non-idempotent request that another replica could have served.
///
/// A replica at its connection limit resets a connection right after it accepted it. A request that
/// was written at once counts as one that may have run and is not retried, so the reset must be
/// detected before anything is written.
#[test]
fn reset_is_detected_before_send() {
    run_on_one_thread(async {
        let address = start_resetting_replica();
        let error = connect(address, LONG_WAIT, LONG_WAIT).await.unwrap_err();
        assert!(matches!(error, ConnectError::Closed | ConnectError::Io(_)), "{error}");
        assert!(!error.is_process_gone(), "a reset counts as an ended process");
    });
}

/// Guards against a healthy connection that is refused: one that stays open must be accepted.
#[test]
fn quiet_connection_is_accepted() {
    run_on_one_thread(async {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let sender = connect(address, LONG_WAIT, Duration::from_millis(5)).await.unwrap();
        assert!(!sender.is_closed());
    });
}

/// Guards against a crash that is not recognized: no process listens at the address.
#[test]
fn closed_port_means_process_gone() {
    run_on_one_thread(async {
        let address = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
        assert!(connect(address, LONG_WAIT, LONG_WAIT).await.unwrap_err().is_process_gone());
    });
}
