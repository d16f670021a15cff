//! Tests the connections that a node makes before a request needs them.

use sassafrasproxy_core::{PreconnectStep, Preconnector};

// All nodes lose power and restart. Replicas still hold the dead nodes' connections and reset new
// ones above their limit, while each node discovers members and replicas in hundreds of steps. If
// each step retried all connections, the resets would also hit the connections of requests, and
// answers would lack shards for seconds.
#[test]
fn replicas_at_connection_limit() {
    let mut preconnector = Preconnector::default();
    let id = "r-1".into();
    let mut attempts = 0;
    let mut total_backoff_us = 0;
    for _ in 0..500 {
        if !preconnector.try_begin(&id, 7) {
            continue;
        }
        attempts += 1;
        while let PreconnectStep::Retry { backoff_us } = preconnector.record_failure(&id, 7) {
            total_backoff_us += backoff_us;
            attempts += 1;
        }
    }
    assert_eq!(attempts, 5);
    assert!(
        total_backoff_us >= 3_000_000,
        "the attempts must outlast the dead nodes' connections: {total_backoff_us}"
    );
}

// A replica's only connection is in use whenever the catalogue changes. That must not cause another
// preconnect, because requests make the connections that they need.
#[test]
fn connects_once() {
    let mut preconnector = Preconnector::default();
    let id = "r-1".into();
    assert!(preconnector.try_begin(&id, 7));
    assert!((0..100).all(|_| !preconnector.try_begin(&id, 7)));
}

// A replica restarts with the same id and its connections are closed. Without another preconnect,
// the next query would have to wait for a new connection to that shard.
#[test]
fn restarted_replica() {
    let mut preconnector = Preconnector::default();
    let id = "r-1".into();
    assert!(preconnector.try_begin(&id, 7));
    assert!(preconnector.try_begin(&id, 8));
    assert_eq!(
        preconnector.record_failure(&id, 7),
        PreconnectStep::GiveUp,
        "the attempt belongs to the previous incarnation"
    );
    assert_eq!(preconnector.record_failure(&id, 8), PreconnectStep::Retry { backoff_us: 250_000 });
    preconnector.retain(|_| false);
    assert_eq!(
        preconnector.record_failure(&id, 8),
        PreconnectStep::GiveUp,
        "the replica is no longer known"
    );
    assert!(preconnector.try_begin(&id, 8), "the replica is known again");
}
