//! Changes of a group's home.

mod scheduler_harness;

use sassafrasproxy_core::{AttemptResult, SchedulerEvent};
use sassafrasproxy_wire::{SubRequestOutcome, UpstreamState};
use scheduler_harness::{MS, SchedulerHarness};

// Two nodes both consider themselves home for a few seconds, so that upstreams with two slots could
// get four requests. A new home without a hand-over must add at most one request per replica until
// the nodes' views can no longer differ.
#[test]
fn limit_one_until_views_agree() {
    let mut harness = SchedulerHarness::without_status();
    harness.step(SchedulerEvent::BecomeHome { view_skew_us: 3_000 * MS });
    for replica in ["a", "b", "c"] {
        harness.report_status(replica, UpstreamState::Serving);
    }
    for _ in 0..500 {
        for _ in 0..4 {
            harness.submit();
        }
        assert!(["a", "b", "c"].iter().all(|replica| harness.in_flight(replica) <= 1));
        harness.advance(5 * MS);
        harness.answer_all();
    }
    harness.advance(500 * MS);
    harness.warm_up();
}

#[test]
fn full_limit_after_hand_over() {
    let mut old = SchedulerHarness::warm();
    let running = old.submit();
    let replica = old.replica_of(running);
    old.step(SchedulerEvent::LoseHome { local_node: "vm-1".into() });
    let hand_over = old.hand_overs.pop().unwrap();

    let mut new = SchedulerHarness::without_status();
    new.step(SchedulerEvent::BecomeHome { view_skew_us: 3_000 * MS });
    new.step(SchedulerEvent::HandOverReceived(hand_over));
    for replica in ["a", "b", "c"] {
        new.report_status(replica, UpstreamState::Serving);
    }
    for _ in 0..8 {
        new.submit();
    }
    for name in ["a", "b", "c"] {
        let reserved = u32::from(name == replica);
        assert_eq!(new.in_flight(name), 2 - reserved, "slots that the old home uses stay reserved");
    }
    new.advance(99 * MS);
    assert_eq!(new.in_flight(&replica), 1, "until the old home's deadline");
}

// A hand-over arrives before the new home has read any status. A query that it then refuses as "not
// held", although the replica holds the snapshot, lacks a shard because of a planned move.
#[test]
fn hand_over_before_status() {
    let mut old = SchedulerHarness::warm();
    old.step(SchedulerEvent::LoseHome { local_node: "vm-1".into() });
    let mut new = SchedulerHarness::without_status();
    new.step(SchedulerEvent::BecomeHome { view_skew_us: 3_000 * MS });
    new.step(SchedulerEvent::HandOverReceived(old.hand_overs.remove(0)));
    let id = new.submit();
    assert!(new.replies.is_empty(), "it waits for a status: {:?}", new.replies);
    for replica in ["a", "b", "c"] {
        new.report_status(replica, UpstreamState::Serving);
        assert_eq!((new.phase(replica).as_str(), new.limit(replica)), ("serving", 2));
    }
    new.end_first_attempt(id, AttemptResult::Answered);
    assert_eq!(new.replies[&id], SubRequestOutcome::Answered);
}

// A failure domain is taken out of service and homes move, with one usable replica left. The old
// home's last attempt there ends within milliseconds; queries at the new home must not wait for the
// attempt's deadline.
#[test]
fn slots_released_by_old_home() {
    let mut old = SchedulerHarness::warm();
    let running: Vec<_> = (0..6).map(|_| old.submit()).collect();
    old.step(SchedulerEvent::LoseHome { local_node: "vm-1".into() });
    let first = old.hand_overs.remove(0);
    for sub_request in running {
        old.end_first_attempt(sub_request, AttemptResult::Answered);
    }
    let last = old.hand_overs.pop().unwrap();

    // The hand-overs may arrive in either order.
    for order in [[&first, &last], [&last, &first]] {
        let mut new = SchedulerHarness::without_status();
        new.step(SchedulerEvent::BecomeHome { view_skew_us: 3_000 * MS });
        for replica in ["a", "b", "c"] {
            new.report_status(replica, UpstreamState::Serving);
        }
        for hand_over in order {
            new.step(SchedulerEvent::HandOverReceived(hand_over.clone()));
        }
        for _ in 0..8 {
            new.submit();
        }
        assert!(["a", "b", "c"].iter().all(|replica| new.in_flight(replica) == 2));
    }
}

// A planned move of a home must return the queued sub-requests, not lose or refuse them.
#[test]
fn queue_returned_to_ingress_node() {
    let mut harness = SchedulerHarness::warm();
    let ids: Vec<_> = (0..8).map(|_| harness.submit()).collect();
    harness.step(SchedulerEvent::LoseHome { local_node: "vm-1".into() });
    assert_eq!(harness.replies[&ids[7]], SubRequestOutcome::NotHome { may_have_run: false });
    harness.answer_all();
    assert_eq!(harness.replies[&ids[0]], SubRequestOutcome::Answered);
}

#[test]
fn fallback_keeps_limit_one() {
    let mut harness = SchedulerHarness::without_status();
    for replica in ["a", "b", "c"] {
        harness.report_status(replica, UpstreamState::Serving);
    }
    for _ in 0..200 {
        for _ in 0..4 {
            harness.submit();
        }
        assert!(["a", "b", "c"].iter().all(|replica| harness.in_flight(replica) <= 1));
        harness.advance(50 * MS);
        harness.answer_all();
    }
}
