//! Connections made before a request needs them.

use sassafrasproxy_core::{PreconnectStep, Preconnector};

// All nodes lose power and start again. Replicas still hold the dead nodes' connections, and reset
// new ones over their cap; meanwhile each node learns of members and replicas in hundreds of
// steps. Users saw seconds of answers without shards: every step tried for every connection
// again, and the resets kept requests' own connections out.
#[test]
fn replicas_at_connection_limit() {
    let mut ahead = Preconnector::default();
    let id = "r-1".into();
    let mut tries = 0;
    let mut pauses_us = 0;
    for _ in 0..500 {
        if !ahead.try_begin(&id, 7) {
            continue;
        }
        tries += 1;
        while let PreconnectStep::Retry { backoff_us: pause_us } = ahead.record_failure(&id, 7) {
            pauses_us += pause_us;
            tries += 1;
        }
    }
    assert_eq!(tries, 5);
    assert!(pauses_us >= 3_000_000, "spread over the time that dead connections stay: {pauses_us}");
}

// A replica's one connection is in use whenever something changes. That is no reason for another:
// requests make those they need.
#[test]
fn connects_once() {
    let mut ahead = Preconnector::default();
    let id = "r-1".into();
    assert!(ahead.try_begin(&id, 7));
    assert!((0..100).all(|_| !ahead.try_begin(&id, 7)));
}

// A replica starts again under its id: its connections are gone, and the next query would pay
// for a new one on that shard.
#[test]
fn restarted_replica() {
    let mut ahead = Preconnector::default();
    let id = "r-1".into();
    assert!(ahead.try_begin(&id, 7));
    assert!(ahead.try_begin(&id, 8));
    assert_eq!(ahead.record_failure(&id, 7), PreconnectStep::GiveUp, "of the life before");
    assert_eq!(ahead.record_failure(&id, 8), PreconnectStep::Retry { backoff_us: 250_000 });
    ahead.retain(|_| false);
    assert_eq!(ahead.record_failure(&id, 8), PreconnectStep::GiveUp, "it is no more");
    assert!(ahead.try_begin(&id, 8), "it is back");
}
