//! Following the store by list and watch.

use sassafrasproxy_core::{StoreOutcome, StoreStep, StoreSync, StoreSyncPolicy};

fn sync() -> StoreSync {
    StoreSync::new(StoreSyncPolicy::default(), 7)
}

fn page(revision: u64, next_after: Option<&str>) -> StoreOutcome {
    StoreOutcome::Page { revision, next_after: next_after.map(Into::into) }
}

/// Items change while later pages are read. The watch starts at the first page's revision, so
/// that no change falls between the pages.
#[test]
fn pages() {
    let mut sync = sync();
    assert_eq!(sync.next(0), StoreStep::List { after_key: None });
    assert!(!sync.note(0, page(10, Some("k5"))));
    assert_eq!(sync.next(0), StoreStep::List { after_key: Some("k5".into()) });
    assert!(sync.note(0, page(14, None)));
    assert!(matches!(sync.next(0), StoreStep::Watch { after_revision: 10, .. }));
}

/// While the second page of a list is read, a replica of the first page leaves. A node that said
/// it knew everything up to the second page's revision would never tell its followers of that,
/// and they would go on sending to the replica.
#[test]
fn known_while_paging() {
    let mut sync = sync();
    assert_eq!(sync.known_revision(), 0);
    sync.note(0, page(10, Some("k5")));
    assert_eq!(sync.known_revision(), 0);
    sync.note(0, page(14, None));
    assert_eq!(sync.known_revision(), 10, "the change at 12 is still to come");
    sync.note(0, StoreOutcome::Watched { revision: 15, has_changes: true });
    assert_eq!(sync.known_revision(), 15);
}

/// A node that learned everything from a peer goes on by watching from there, without a list.
#[test]
fn started_elsewhere() {
    let mut sync = sync();
    sync.start_at(40);
    assert_eq!(sync.known_revision(), 40);
    assert!(matches!(sync.next(0), StoreStep::Watch { after_revision: 40, .. }));
}

/// A list that broke off starts anew: its first pages are no longer the newest.
#[test]
fn broken_list() {
    let mut sync = sync();
    sync.note(0, page(10, Some("k5")));
    assert!(!sync.note(0, StoreOutcome::Failed));
    let StoreStep::Pause { until_us } = sync.next(0) else { panic!("no pause") };
    assert_eq!(sync.next(until_us), StoreStep::List { after_key: None });
}

/// The store forgets its history: what was missed comes by a new list.
#[test]
fn history_gone() {
    let mut sync = sync();
    sync.note(0, page(10, None));
    sync.note(0, StoreOutcome::HistoryGone);
    assert_eq!(sync.next(0), StoreStep::List { after_key: None });
}

/// A watch that failed goes on from where it was, after pauses that grow to a bound.
#[test]
fn failing_watch() {
    let policy = StoreSyncPolicy::default();
    let mut sync = sync();
    sync.note(0, page(10, None));
    let mut now_us = 0;
    for failure in 0..20 {
        sync.note(now_us, StoreOutcome::Failed);
        let StoreStep::Pause { until_us } = sync.next(now_us) else { panic!("no pause") };
        let pause_us = until_us - now_us;
        let most_us = (policy.min_pause_us << failure.min(8)).min(policy.max_pause_us);
        assert!(pause_us >= most_us / 2 && pause_us <= most_us, "{pause_us} at {failure}");
        now_us = until_us;
    }
    assert!(matches!(sync.next(now_us), StoreStep::Watch { after_revision: 10, .. }));
    sync.note(now_us, StoreOutcome::Watched { revision: 12, has_changes: false });
    assert!(matches!(sync.next(now_us), StoreStep::Watch { after_revision: 12, .. }));
}

/// Forty replicas register one after the other: their changes share some calls.
#[test]
fn changes_share_calls() {
    let mut sync = sync();
    sync.note(0, page(10, None));
    sync.note(0, StoreOutcome::Watched { revision: 11, has_changes: true });
    let gather_us = StoreSyncPolicy::default().gather_us;
    assert_eq!(sync.next(0), StoreStep::Pause { until_us: gather_us });
    assert!(matches!(sync.next(gather_us), StoreStep::Watch { after_revision: 11, .. }));
}

/// The store takes all nodes' watches while it is down and never answers them. It is back two
/// seconds later and acknowledges a configuration, which must be in force five seconds later: by
/// then every node must have given the watch up, though neither its connection nor any peer shows
/// that something is wrong. With a wait of 10 s, callers of 64 nodes got the old routes for ten.
#[test]
fn hung_watch() {
    const BACK_MS: u64 = 1_700;
    const IN_FORCE_MS: u64 = 5_000;
    // What the gateway adds to the wait before it gives a call up.
    const CALL_LIMIT_MS: u64 = 1_500;
    let mut sync = sync();
    sync.note(0, page(10, None));
    let StoreStep::Watch { wait_ms, .. } = sync.next(0) else { panic!("no watch") };
    let noticed_ms = wait_ms + CALL_LIMIT_MS;
    sync.note(noticed_ms * 1_000, StoreOutcome::Failed);
    let StoreStep::Pause { until_us } = sync.next(noticed_ms * 1_000) else { panic!("no pause") };
    assert!(until_us < (BACK_MS + IN_FORCE_MS) * 1_000, "noticed after {noticed_ms} ms");
}

/// What a minute in which nothing changes costs a node that watches: 15 calls. Each is paid for,
/// and the store's rate grows more slowly than the fleet.
#[test]
fn calm_minute() {
    let mut sync = sync();
    sync.note(0, page(10, None));
    let mut now_ms = 0;
    let mut calls = 0;
    while now_ms < 60_000 {
        let StoreStep::Watch { wait_ms, .. } = sync.next(now_ms * 1_000) else { panic!("a pause") };
        now_ms += wait_ms;
        calls += 1;
        sync.note(now_ms * 1_000, StoreOutcome::Watched { revision: 10, has_changes: false });
    }
    assert!(calls <= 15, "{calls} calls");
}
