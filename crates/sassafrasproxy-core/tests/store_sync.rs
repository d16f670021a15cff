//! Following the store by list and watch.

use sassafrasproxy_core::{StoreCallOutcome, StoreStep, StoreSync, StoreSyncPolicy};

fn new_sync() -> StoreSync {
    StoreSync::new(StoreSyncPolicy::default(), 7)
}

fn page(revision: u64, next_after: Option<&str>) -> StoreCallOutcome {
    StoreCallOutcome::Page { revision, next_after_key: next_after.map(Into::into) }
}

/// Items change while later pages are read. The watch starts at the first page's revision, so
/// that no change falls between the pages.
#[test]
fn watch_starts_at_first_page() {
    let mut sync = new_sync();
    assert_eq!(sync.next_step(0), StoreStep::List { after_key: None });
    assert!(!sync.record_outcome(0, page(10, Some("k5"))));
    assert_eq!(sync.next_step(0), StoreStep::List { after_key: Some("k5".into()) });
    assert!(sync.record_outcome(0, page(14, None)));
    assert!(matches!(sync.next_step(0), StoreStep::Watch { after_revision: 10, .. }));
}

/// While the second page of a list is read, a replica of the first page leaves. A node that said
/// it knew everything up to the second page's revision would never tell its followers of that,
/// and they would go on sending to the replica.
#[test]
fn synced_revision_while_paging() {
    let mut sync = new_sync();
    assert_eq!(sync.synced_revision(), 0);
    sync.record_outcome(0, page(10, Some("k5")));
    assert_eq!(sync.synced_revision(), 0);
    sync.record_outcome(0, page(14, None));
    assert_eq!(sync.synced_revision(), 10, "the change at 12 is still to come");
    sync.record_outcome(0, StoreCallOutcome::WatchCompleted { revision: 15, has_changes: true });
    assert_eq!(sync.synced_revision(), 15);
}

/// A node that learned everything from a peer goes on by watching from there, without a list.
#[test]
fn resume_without_list() {
    let mut sync = new_sync();
    sync.resume_from(40);
    assert_eq!(sync.synced_revision(), 40);
    assert!(matches!(sync.next_step(0), StoreStep::Watch { after_revision: 40, .. }));
}

/// A list that broke off starts anew: its first pages are no longer the newest.
#[test]
fn failed_list_restarts() {
    let mut sync = new_sync();
    sync.record_outcome(0, page(10, Some("k5")));
    assert!(!sync.record_outcome(0, StoreCallOutcome::Failed));
    let StoreStep::Pause { until_us } = sync.next_step(0) else { panic!("no pause") };
    assert_eq!(sync.next_step(until_us), StoreStep::List { after_key: None });
}

/// The store forgets its history: what was missed comes by a new list.
#[test]
fn compacted_history_restarts_list() {
    let mut sync = new_sync();
    sync.record_outcome(0, page(10, None));
    sync.record_outcome(0, StoreCallOutcome::HistoryCompacted);
    assert_eq!(sync.next_step(0), StoreStep::List { after_key: None });
}

/// A watch that failed goes on from where it was, after pauses that grow to a bound.
#[test]
fn failed_watch_backs_off() {
    let policy = StoreSyncPolicy::default();
    let mut sync = new_sync();
    sync.record_outcome(0, page(10, None));
    let mut now_us = 0;
    for failure in 0..20 {
        sync.record_outcome(now_us, StoreCallOutcome::Failed);
        let StoreStep::Pause { until_us } = sync.next_step(now_us) else { panic!("no pause") };
        let pause_us = until_us - now_us;
        let most_us = (policy.min_backoff_us << failure.min(8)).min(policy.max_backoff_us);
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

/// Forty replicas register one after the other: their changes share some calls.
#[test]
fn changes_are_coalesced() {
    let mut sync = new_sync();
    sync.record_outcome(0, page(10, None));
    sync.record_outcome(0, StoreCallOutcome::WatchCompleted { revision: 11, has_changes: true });
    let gather_us = StoreSyncPolicy::default().coalesce_delay_us;
    assert_eq!(sync.next_step(0), StoreStep::Pause { until_us: gather_us });
    assert!(matches!(sync.next_step(gather_us), StoreStep::Watch { after_revision: 11, .. }));
}

/// The store takes all nodes' watches while it is down and never answers them. It is back two
/// seconds later and acknowledges a configuration, which must be in force five seconds later: by
/// then every node must have given the watch up, though neither its connection nor any peer shows
/// that something is wrong. With a wait of 10 s, callers of 64 nodes got the old routes for ten.
#[test]
fn hung_watch_times_out() {
    const BACK_MS: u64 = 1_700;
    const IN_FORCE_MS: u64 = 5_000;
    // What the gateway adds to the wait before it gives a call up.
    const CALL_LIMIT_MS: u64 = 1_500;
    let mut sync = new_sync();
    sync.record_outcome(0, page(10, None));
    let StoreStep::Watch { wait_ms, .. } = sync.next_step(0) else { panic!("no watch") };
    let noticed_ms = wait_ms + CALL_LIMIT_MS;
    sync.record_outcome(noticed_ms * 1_000, StoreCallOutcome::Failed);
    let StoreStep::Pause { until_us } = sync.next_step(noticed_ms * 1_000) else {
        panic!("no pause")
    };
    assert!(until_us < (BACK_MS + IN_FORCE_MS) * 1_000, "noticed after {noticed_ms} ms");
}

/// What a minute in which nothing changes costs a node that watches: 15 calls. Each is paid for,
/// and the store's rate grows more slowly than the fleet.
#[test]
fn idle_call_rate() {
    let mut sync = new_sync();
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
    assert!(calls <= 15, "{calls} calls");
}
