//! Connections made before a request needs them.

use sassafrasproxy_core::{AheadStep, ConnectAhead};

// All nodes lose power and start again. Replicas still hold the dead nodes' connections, and reset
// new ones over their cap; meanwhile each node learns of members and replicas in hundreds of
// steps. Users saw seconds of answers without shards: every step tried for every connection
// again, and the resets kept requests' own connections out.
#[test]
fn over_caps() {
    let mut ahead = ConnectAhead::default();
    let id = "r-1".into();
    let mut tries = 0;
    let mut pauses_us = 0;
    for _ in 0..500 {
        if !ahead.begin(&id, 7) {
            continue;
        }
        tries += 1;
        while let AheadStep::Retry { pause_us } = ahead.note_failed(&id, 7) {
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
fn busy_connection() {
    let mut ahead = ConnectAhead::default();
    let id = "r-1".into();
    assert!(ahead.begin(&id, 7));
    assert!((0..100).all(|_| !ahead.begin(&id, 7)));
}

// A replica starts again under its id: its connections are gone, and the next query would pay
// for a new one on that shard.
#[test]
fn born_again() {
    let mut ahead = ConnectAhead::default();
    let id = "r-1".into();
    assert!(ahead.begin(&id, 7));
    assert!(ahead.begin(&id, 8));
    assert_eq!(ahead.note_failed(&id, 7), AheadStep::Leave, "of the life before");
    assert_eq!(ahead.note_failed(&id, 8), AheadStep::Retry { pause_us: 250_000 });
    ahead.retain(|_| false);
    assert_eq!(ahead.note_failed(&id, 8), AheadStep::Leave, "it is no more");
    assert!(ahead.begin(&id, 8), "it is back");
}
