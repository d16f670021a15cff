//! Tests which client account a request belongs to.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use sassafrasproxy_core::{
    AccountTable, AnsweredPoll, Authentication, KeyFreshness, KeyLookup, KeyVerdict, LagCheck,
    StoreSyncPolicy,
};
use sassafrasproxy_wire::{ClientAccount, ClientAccounts, KeyHash, KeySalt, Route, RouteTarget};

fn route(is_open: bool) -> Route {
    Route {
        name: "route".into(),
        host: "a.example".into(),
        prefix: "/".into(),
        is_idempotent: true,
        timeout_ms: 1_000,
        goal_ms: 100,
        max_attempts: 2,
        priority: 1,
        is_open,
        target: RouteTarget::Service("s".into()),
    }
}

fn accounts(version: &[u8], accounts: &[(&str, &[&str])]) -> ClientAccounts {
    let salt = KeySalt::derive(version);
    let accounts = accounts.iter().map(|(name, keys)| {
        let account = ClientAccount {
            name: (*name).into(),
            key_hashes: keys.iter().map(|key| KeyHash::new(&salt, key)).collect(),
            priority: None,
            rate_limit: None,
        };
        (account.name.clone(), account)
    });
    ClientAccounts { salt, accounts: accounts.collect() }
}

/// Returns the name of the account for a key, `open` or `unknown`.
fn authenticate(table: &AccountTable, route: &Route, key: Option<&str>) -> String {
    match table.authenticate(route, key) {
        Authentication::Account(account) => account.name.to_string(),
        Authentication::Open => "open".into(),
        Authentication::UnknownKey => "unknown".into(),
    }
}

#[test]
fn key_names_account() {
    let table = AccountTable::new(&accounts(b"1", &[("yard", &["k1", "k2"]), ("desk", &["k3"])]));
    for (key, account) in
        [("k1", "yard"), ("k2", "yard"), ("k3", "desk"), ("k4", "unknown"), ("", "unknown")]
    {
        assert_eq!(authenticate(&table, &route(false), Some(key)), account, "{key}");
    }
    assert_eq!(authenticate(&table, &route(false), None), "unknown");
}

#[test]
fn open_route_needs_no_key() {
    let table = AccountTable::new(&accounts(b"1", &[("yard", &["k1"])]));
    for key in [None, Some("k1"), Some("other")] {
        assert_eq!(authenticate(&table, &route(true), key), "open");
    }
}

/// Guards against a key that was moved or removed and still works as before.
#[test]
fn next_version_moves_and_removes_keys() {
    let next = AccountTable::new(&accounts(b"2", &[("desk", &["k1"]), ("yard", &[])]));
    assert_eq!(authenticate(&next, &route(false), Some("k1")), "desk");
    assert_eq!(authenticate(&next, &route(false), Some("k2")), "unknown");
}

/// Guards against hashes of one version that tell keys of another, or of another fleet.
#[test]
fn hashes_depend_on_salt() {
    let hash = |version| KeyHash::new(&KeySalt::derive(version), "k1");
    assert_ne!(hash(b"1"), hash(b"2"));
}

const RELAXED: KeyFreshness = KeyFreshness { revoke_us: 5_000_000, is_strict: false };
const STRICT: KeyFreshness = KeyFreshness { revoke_us: 5_000_000, is_strict: true };

/// Guards against a 401 for a key that was added while this node was cut off, and against a removed
/// key that a strict node serves on.
#[test]
fn verdicts_by_age_of_view() {
    use KeyLookup::{Known, Unknown};
    use KeyVerdict::{Refuse, RetryIfKept, RetryIfNew, Serve};
    for (age_us, relaxed, strict) in [
        (Some(0), [Serve, Refuse], [Serve, Refuse]),
        (Some(5_000_000), [Serve, Refuse], [Serve, Refuse]),
        (Some(5_000_001), [Serve, RetryIfNew], [RetryIfKept, RetryIfNew]),
        (None, [Serve, RetryIfNew], [RetryIfKept, RetryIfNew]),
    ] {
        assert_eq!([Known, Unknown].map(|lookup| RELAXED.decide(lookup, age_us)), relaxed);
        assert_eq!([Known, Unknown].map(|lookup| STRICT.decide(lookup, age_us)), strict);
    }
}

fn poll(sent_us: u64, answered_us: u64, has_changes: bool, source_age_us: u64) -> AnsweredPoll {
    AnsweredPoll { sent_us, answered_us, wait_us: 1_000, has_changes, source_age_us }
}

/// Guards against a view that counts as current because an old answer was read late, after a pause of
/// the process or an outage of the network.
#[test]
fn late_answer_confirms_earlier_time() {
    assert_eq!(poll(10_000, 900_000, false, 0).confirmed_us(), 11_000);
    assert_eq!(poll(10_000, 900_000, true, 0).confirmed_us(), 10_000);
}

#[test]
fn confirmation_subtracts_age_of_source() {
    assert_eq!(poll(10_000, 10_900, false, 0).confirmed_us(), 10_900);
    assert_eq!(poll(10_000, 11_000, false, 700).confirmed_us(), 10_300);
    assert_eq!(poll(10_000, 11_000, true, 700).confirmed_us(), 9_300);
    assert_eq!(poll(10, 20, true, 700).confirmed_us(), 0);
}

/// Guards against nodes that are in touch and refuse keys, since their polls take longer than changed
/// keys may.
///
/// Three followers poll one another in a chain below a watcher of the store. Each call is answered
/// at the worst time: at its end, and for a strict node with a change.
#[test]
fn polls_keep_nodes_in_touch() {
    let delay_us = 20_000;
    let pause_us = StoreSyncPolicy::new(4_000).coalesce_delay_us;
    for (freshness, has_changes) in [(RELAXED, false), (STRICT, false), (STRICT, true)] {
        let mut source_age_us = 0;
        for depth in 0..4 {
            let wait_ms = match depth {
                0 => freshness.max_watch_wait_ms(),
                _ => freshness.max_poll_wait_ms(),
            };
            let wait_us = wait_ms * 1_000;
            let took_us = wait_us + delay_us;
            let poll = AnsweredPoll {
                sent_us: 60_000_000,
                answered_us: 60_000_000 + took_us,
                wait_us,
                has_changes,
                source_age_us,
            };
            let pause_us = if has_changes && depth == 0 { pause_us } else { 0 };
            let next_answer_us = poll.answered_us + pause_us + took_us;
            source_age_us = next_answer_us - poll.confirmed_us();
            assert!(freshness.is_in_touch(Some(source_age_us)), "{depth}: {source_age_us}");
        }
    }
}

/// Guards against a followed peer that is behind and is never given up, since each poll ends before
/// two comparisons with other peers.
#[test]
fn short_polls_notice_lag() {
    let poll_us = STRICT.max_poll_wait_ms() * 1_000;
    let mut lag_check = LagCheck::default();
    let mut now_us = 0;
    let is_noticed = (0..4).any(|_| {
        // Each poll ends without a change, before or after a comparison is due.
        let check_us = lag_check.next_check_us(now_us);
        now_us += poll_us;
        check_us <= now_us && lag_check.record(now_us, true)
    });
    assert!(is_noticed);
}

/// Guards against polls that are aborted although the node only paused after a change.
#[test]
fn changes_restart_lag_check() {
    let mut lag_check = LagCheck::default();
    for round in 0..4 {
        let now_us = lag_check.next_check_us(round * 1_000_000);
        assert!(!lag_check.record(now_us, true));
        lag_check.restart();
    }
}

/// Guards against a call that is aborted early, by comparisons from before a pause or from an earlier
/// time as a watcher.
#[test]
fn overdue_lag_check_starts_anew() {
    let mut lag_check = LagCheck::default();
    let first_us = lag_check.next_check_us(0);
    assert!(!lag_check.record(first_us, true));
    let later_us = 60_000_000;
    let next_us = lag_check.next_check_us(later_us);
    assert!(next_us > later_us);
    assert!(!lag_check.record(next_us, true));
}
