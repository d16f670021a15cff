//! Groups that change their home.

mod scheduler_harness;

use sassafrasproxy_core::{AttemptResult, SchedulerEvent};
use sassafrasproxy_wire::{SubOutcome, UpstreamState};
use scheduler_harness::{MS, SchedulerHarness};

// Two nodes each believe to be home for a few seconds. Upstreams with two slots would see four
// requests. A home that was told nothing adds one at most until views cannot differ any more.
#[test]
fn limit_one_until_views_agree() {
    let mut bench = SchedulerHarness::without_status();
    bench.step(SchedulerEvent::BecomeHome { view_skew_us: 3_000 * MS });
    for replica in ["a", "b", "c"] {
        bench.report_status(replica, UpstreamState::Serving);
    }
    for _ in 0..500 {
        for _ in 0..4 {
            bench.submit();
        }
        assert!(["a", "b", "c"].iter().all(|replica| bench.in_flight(replica) <= 1));
        bench.advance(5 * MS);
        bench.answer_all();
    }
    bench.advance(500 * MS);
    bench.warm_up();
}

#[test]
fn full_limit_after_hand_over() {
    let mut old = SchedulerHarness::warm();
    let running = old.submit();
    let replica = old.replica_of(running);
    old.step(SchedulerEvent::LoseHome { local_node: "vm-1".into() });
    let given = old.hand_overs.pop().unwrap();

    let mut new = SchedulerHarness::without_status();
    new.step(SchedulerEvent::BecomeHome { view_skew_us: 3_000 * MS });
    new.step(SchedulerEvent::HandOverReceived(given));
    for replica in ["a", "b", "c"] {
        new.report_status(replica, UpstreamState::Serving);
    }
    for _ in 0..8 {
        new.submit();
    }
    for name in ["a", "b", "c"] {
        let lent = u32::from(name == replica);
        assert_eq!(new.in_flight(name), 2 - lent, "what the old home uses stays free");
    }
    new.advance(99 * MS);
    assert_eq!(new.in_flight(&replica), 1, "until the old home's deadline");
}

// The hand-over comes before the new home has read any status. A query that is refused then as
// "not held", though the replica holds the snapshot, is thinner for a planned move.
#[test]
fn hand_over_before_status() {
    let mut old = SchedulerHarness::warm();
    old.step(SchedulerEvent::LoseHome { local_node: "vm-1".into() });
    let mut new = SchedulerHarness::without_status();
    new.step(SchedulerEvent::BecomeHome { view_skew_us: 3_000 * MS });
    new.step(SchedulerEvent::HandOverReceived(old.hand_overs.remove(0)));
    let key = new.submit();
    assert!(new.replies.is_empty(), "it waits for a status: {:?}", new.replies);
    for replica in ["a", "b", "c"] {
        new.report_status(replica, UpstreamState::Serving);
        assert_eq!((new.phase(replica).as_str(), new.limit(replica)), ("serving", 2));
    }
    new.end_first_attempt(key, AttemptResult::Answered);
    assert_eq!(new.replies[&key], SubOutcome::Answered);
}

// A failure domain goes out and homes move, with one usable replica left. The old home's last
// send there ends in milliseconds; queries at the new home must not wait for its deadline.
#[test]
fn slots_released_by_old_home() {
    let mut old = SchedulerHarness::warm();
    let running: Vec<_> = (0..6).map(|_| old.submit()).collect();
    old.step(SchedulerEvent::LoseHome { local_node: "vm-1".into() });
    let first = old.hand_overs.remove(0);
    for sub in running {
        old.end_first_attempt(sub, AttemptResult::Answered);
    }
    let last = old.hand_overs.pop().unwrap();

    // The two may come in either order.
    for order in [[&first, &last], [&last, &first]] {
        let mut new = SchedulerHarness::without_status();
        new.step(SchedulerEvent::BecomeHome { view_skew_us: 3_000 * MS });
        for replica in ["a", "b", "c"] {
            new.report_status(replica, UpstreamState::Serving);
        }
        for given in order {
            new.step(SchedulerEvent::HandOverReceived(given.clone()));
        }
        for _ in 0..8 {
            new.submit();
        }
        assert!(["a", "b", "c"].iter().all(|replica| new.in_flight(replica) == 2));
    }
}

// A planned move of a home must not lose or refuse what waits there.
#[test]
fn queue_returned_to_entry() {
    let mut bench = SchedulerHarness::warm();
    let keys: Vec<_> = (0..8).map(|_| bench.submit()).collect();
    bench.step(SchedulerEvent::LoseHome { local_node: "vm-1".into() });
    assert_eq!(bench.replies[&keys[7]], SubOutcome::NotHome { may_have_run: false });
    bench.answer_all();
    assert_eq!(bench.replies[&keys[0]], SubOutcome::Answered);
}

#[test]
fn fallback_keeps_limit_one() {
    let mut bench = SchedulerHarness::without_status();
    for replica in ["a", "b", "c"] {
        bench.report_status(replica, UpstreamState::Serving);
    }
    for _ in 0..200 {
        for _ in 0..4 {
            bench.submit();
        }
        assert!(["a", "b", "c"].iter().all(|replica| bench.in_flight(replica) <= 1));
        bench.advance(50 * MS);
        bench.answer_all();
    }
}
