//! Tests how a node follows the store by list and watch.

use sassafrasproxy_core::{StoreCallOutcome, StoreStep, StoreSync, StoreSyncPolicy};

/// The time after an outage in which a node must have caught up with the store.
const RECOVERY_MS: u64 = 4_000;

fn new_sync() -> StoreSync {
    StoreSync::new(StoreSyncPolicy::new(RECOVERY_MS), 7)
}

fn page(revision: u64, next_after_key: Option<&str>) -> StoreCallOutcome {
    StoreCallOutcome::Page { revision, next_after_key: next_after_key.map(Into::into) }
}

/// Guards against changes that are missed because they are made while later pages of a list are
/// read. The watch must start at the first page's revision.
#[test]
fn watch_starts_at_first_page() {
    let mut sync = new_sync();
    assert_eq!(sync.next_step(0), StoreStep::List { after_key: None });
    assert!(!sync.record_outcome(0, page(10, Some("k5"))));
    assert_eq!(sync.next_step(0), StoreStep::List { after_key: Some("k5".into()) });
    assert!(sync.record_outcome(0, page(14, None)));
    assert!(matches!(sync.next_step(0), StoreStep::Watch { after_revision: 10, .. }));
}

/// Guards against followers that continue to send to a replica that left. The replica is on the
/// first page of a list and leaves while the second page is read. A node that reported the second
/// page's revision as synced would never pass the removal on to its followers.
#[test]
fn synced_revision_while_paging() {
    let mut sync = new_sync();
    assert_eq!(sync.synced_revision(), 0);
    sync.record_outcome(0, page(10, Some("k5")));
    assert_eq!(sync.synced_revision(), 0);
    sync.record_outcome(0, page(14, None));
    assert_eq!(sync.synced_revision(), 10, "the change at 12 was not received yet");
    sync.record_outcome(0, StoreCallOutcome::WatchCompleted { revision: 15, has_changes: true });
    assert_eq!(sync.synced_revision(), 15);
}

/// A node that learned all entries from a peer continues with a watch after the peer's revision,
/// without a list.
#[test]
fn resume_without_list() {
    let mut sync = new_sync();
    sync.resume_from(40);
    assert_eq!(sync.synced_revision(), 40);
    assert!(matches!(sync.next_step(0), StoreStep::Watch { after_revision: 40, .. }));
}

/// Guards against a list that combines outdated pages with new ones. An interrupted list must
/// restart from its first page.
#[test]
fn failed_list_restarts() {
    let mut sync = new_sync();
    sync.record_outcome(0, page(10, Some("k5")));
    assert!(!sync.record_outcome(0, StoreCallOutcome::Failed));
    let StoreStep::Pause { until_us } = sync.next_step(0) else { panic!("no pause") };
    assert_eq!(sync.next_step(until_us), StoreStep::List { after_key: None });
}

/// Guards against changes that are missed because the store compacted its history. A new list must
/// follow.
#[test]
fn compacted_history_restarts_list() {
    let mut sync = new_sync();
    sync.record_outcome(0, page(10, None));
    sync.record_outcome(0, StoreCallOutcome::HistoryCompacted);
    assert_eq!(sync.next_step(0), StoreStep::List { after_key: None });
}

/// A failed watch resumes from its revision, after a backoff that grows up to a maximum.
#[test]
fn failed_watch_backs_off() {
    let policy = StoreSyncPolicy::new(RECOVERY_MS);
    let mut sync = new_sync();
    sync.record_outcome(0, page(10, None));
    let mut now_us = 0;
    for failure in 0..20 {
        sync.record_outcome(now_us, StoreCallOutcome::Failed);
        let StoreStep::Pause { until_us } = sync.next_step(now_us) else { panic!("no pause") };
        let pause_us = until_us - now_us;
        let most_us = (policy.initial_backoff_us << failure.min(8)).min(policy.max_backoff_us);
        assert!(pause_us >= most_us / 2 && pause_us <= most_us, "{pause_us} at {failure}");
        now_us = until_us;
    }
    assert!(matches!(sync.next_step(now_us), StoreStep::Watch { after_revision: 10, .. }));
    sync.record_outcome(
        now_us,
        StoreCallOutcome::WatchCompleted { revision: 12, has_changes: false },
    );
    assert!(matches!(sync.next_step(now_us), StoreStep::Watch { after_revision: 12, .. }));
}

/// Guards against a call for each change when many replicas register one after another. The next
/// watch must start after a delay, so that several changes share a call.
#[test]
fn changes_are_coalesced() {
    let mut sync = new_sync();
    sync.record_outcome(0, page(10, None));
    sync.record_outcome(0, StoreCallOutcome::WatchCompleted { revision: 11, has_changes: true });
    let delay_us = StoreSyncPolicy::new(RECOVERY_MS).coalesce_delay_us;
    assert_eq!(sync.next_step(0), StoreStep::Pause { until_us: delay_us });
    assert!(matches!(sync.next_step(delay_us), StoreStep::Watch { after_revision: 11, .. }));
}

/// Guards against callers that get outdated routes because all watches hang. The store accepts all
/// nodes' watches while it is down and never answers them. It recovers 1.7 s after the watches
/// start and acknowledges a configuration, which must be active five seconds later. By then each
/// node must have timed out its watch, although neither its connection nor any peer shows a
/// failure. With a watch timeout of 10 s, callers of 64 nodes get the old routes for ten seconds.
#[test]
fn hung_watch_times_out() {
    const RECOVERED_MS: u64 = 1_700;
    const ACTIVATION_LIMIT_MS: u64 = 5_000;
    let mut sync = new_sync();
    sync.record_outcome(0, page(10, None));
    let StoreStep::Watch { wait_ms, timeout_ms, .. } = sync.next_step(0) else {
        panic!("no watch")
    };
    let detected_ms = wait_ms + timeout_ms;
    sync.record_outcome(detected_ms * 1_000, StoreCallOutcome::Failed);
    let StoreStep::Pause { until_us } = sync.next_step(detected_ms * 1_000) else {
        panic!("no pause")
    };
    assert!(
        until_us < (RECOVERED_MS + ACTIVATION_LIMIT_MS) * 1_000,
        "detected after {detected_ms} ms"
    );
}

/// Guards against more calls while nothing changes than it takes to catch up in time after an outage:
/// each call is paid for, and the store's rate limit grows more slowly than the fleet.
#[test]
fn idle_call_rate() {
    for (recovery_ms, max_calls) in [(16_000, 15), (RECOVERY_MS, 60)] {
        let mut sync = StoreSync::new(StoreSyncPolicy::new(recovery_ms), 7);
        sync.record_outcome(0, page(10, None));
        let mut now_ms = 0;
        let mut calls = 0;
        while now_ms < 60_000 {
            let StoreStep::Watch { wait_ms, .. } = sync.next_step(now_ms * 1_000) else {
                panic!("a pause")
            };
            now_ms += wait_ms;
            calls += 1;
            sync.record_outcome(
                now_ms * 1_000,
                StoreCallOutcome::WatchCompleted { revision: 10, has_changes: false },
            );
        }
        assert!(calls <= max_calls, "{calls} calls in a minute, {recovery_ms} ms to catch up");
    }
}

/// Guards against a configuration that is late after an outage of the store, which took calls and
/// never answers them: a call that begins during the outage must be given up, and the next one begin,
/// within the time after which nodes count as in touch again.
#[test]
fn calls_of_outage_end_soon() {
    const IN_TOUCH_AFTER_US: u64 = 4_000_000;
    let assert_soon = |sync: &mut StoreSync, now_us: u64, what: &str| {
        let StoreStep::Watch { wait_ms, timeout_ms, .. } = sync.next_step(now_us) else {
            panic!("no watch")
        };
        let failed_us = now_us + (wait_ms + timeout_ms) * 1_000;
        sync.record_outcome(failed_us, StoreCallOutcome::Failed);
        let StoreStep::Pause { until_us } = sync.next_step(failed_us) else { panic!("no pause") };
        // The outage ends just after the call began.
        assert!(until_us - now_us < IN_TOUCH_AFTER_US, "{what}: {} us", until_us - now_us);
        until_us
    };
    let mut watcher = new_sync();
    watcher.record_outcome(0, page(10, None));
    watcher.record_outcome(0, StoreCallOutcome::Failed);
    let mut now_us = 1_000_000;
    for failure in 1..8 {
        now_us = assert_soon(&mut watcher, now_us, &format!("after {failure} failures"));
    }
    // A node that takes over from watchers has followed a peer until now.
    let mut follower = new_sync();
    follower.record_outcome(0, page(10, None));
    follower.advance_to(12);
    assert_soon(&mut follower, 1_000_000, "the first call of a new watcher");
}

/// Guards against a configuration that is late after an outage that begins at another moment: just
/// after an answer, while a watch waits that the store then forgets, or after any other call.
#[test]
fn hung_call_ends_soon_in_any_state() {
    // A slow store's answer, and the way to the nodes that follow this one.
    const REST_US: u64 = 1_000_000;
    let unchanged = StoreCallOutcome::WatchCompleted { revision: 12, has_changes: false };
    let changed = StoreCallOutcome::WatchCompleted { revision: 12, has_changes: true };
    let compacted = [StoreCallOutcome::HistoryCompacted, page(20, None)];
    let histories = [
        vec![page(10, None)],
        vec![page(10, None), unchanged.clone()],
        vec![page(10, None), changed.clone()],
        vec![page(10, None), changed.clone(), unchanged.clone(), unchanged],
        [vec![page(10, None), changed.clone()], compacted.to_vec()].concat(),
        vec![page(10, None), StoreCallOutcome::Failed, changed],
        vec![page(10, None), StoreCallOutcome::Failed],
        [vec![page(10, None)], vec![StoreCallOutcome::Failed; 9]].concat(),
    ];
    for recovery_ms in [2_000, RECOVERY_MS, 60_000] {
        for history in &histories {
            let mut sync = StoreSync::new(StoreSyncPolicy::new(recovery_ms), 7);
            let mut now_us = 0;
            for outcome in history {
                sync.record_outcome(now_us, outcome.clone());
                if let StoreStep::Pause { until_us } = sync.next_step(now_us) {
                    now_us = until_us;
                }
            }
            let StoreStep::Watch { wait_ms, timeout_ms, .. } = sync.next_step(now_us) else {
                panic!("no watch after {history:?}")
            };
            let failed_us = now_us + (wait_ms + timeout_ms) * 1_000;
            sync.record_outcome(failed_us, StoreCallOutcome::Failed);
            let StoreStep::Pause { until_us } = sync.next_step(failed_us) else {
                panic!("no pause")
            };
            let hung_us = until_us - now_us;
            let limit_us = recovery_ms * 1_000 - REST_US.min(recovery_ms * 250);
            assert!(hung_us <= limit_us, "{hung_us} us of {limit_us} after {history:?}");
        }
    }
}
