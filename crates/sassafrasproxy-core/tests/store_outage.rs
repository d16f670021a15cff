//! Tests how a node tells an outage of the store from its reads.

use sassafrasproxy_core::{OutageChange, StoreOutage, StoreReadEnd};

/// The time after an outage in which a node must have caught up with the store.
const RECOVERY_US: u64 = 4_000_000;

fn new_outage() -> StoreOutage {
    StoreOutage::new(RECOVERY_US)
}

/// Returns the end of the holds after an outage whose last failed read was sent at `sent_us`, ended at
/// `failed_us` and was followed by an answer at `answered_us`.
fn hold_until_us(end: StoreReadEnd, sent_us: u64, failed_us: u64, answered_us: u64) -> u64 {
    let mut outage = new_outage();
    assert_eq!(outage.record(sent_us, failed_us, end), OutageChange::Started);
    assert!(outage.is_unavailable());
    let change = outage.record(failed_us, answered_us, StoreReadEnd::Answered);
    let OutageChange::Ended { hold_until_us } = change else { panic!("{change:?}") };
    assert!(!outage.is_unavailable());
    hold_until_us
}

/// Guards against requests without replicas after an outage in which all entries expired: replicas
/// need two seconds to register again.
#[test]
fn holds_last_until_replicas_registered() {
    let refused = hold_until_us(StoreReadEnd::Refused, 10_000_000, 10_010_000, 10_800_000);
    assert_eq!(refused, 13_000_000);
    let unanswered = hold_until_us(StoreReadEnd::NoAnswer, 10_000_000, 11_300_000, 11_400_000);
    assert_eq!(unanswered, 13_600_000);
}

/// Guards against work for a replica that left before an outage and is held as if its entry had
/// expired. The outage may have ended just after the call that was not answered began.
#[test]
fn holds_end_before_nodes_are_caught_up() {
    for answered_us in [12_000_000, 12_100_000, 13_000_000, 15_000_000] {
        let until_us = hold_until_us(StoreReadEnd::NoAnswer, 10_000_000, 12_000_000, answered_us);
        assert!(until_us < 10_000_000 + RECOVERY_US, "{until_us} us");
    }
}

/// A node that follows a peer which reaches the store has no outage to end.
#[test]
fn peer_contact_ends_outage() {
    let mut outage = new_outage();
    outage.record(0, 1, StoreReadEnd::Refused);
    outage.record_peer_contact();
    assert!(!outage.is_unavailable());
    assert_eq!(outage.record(1, 2, StoreReadEnd::Answered), OutageChange::None);
}

/// Guards against holds that go on for as long as the store cuts watches and answers the calls after
/// them.
#[test]
fn cut_watches_make_no_outage() {
    let mut outage = new_outage();
    for cut in 0..20 {
        let cut_us = cut * 700_000;
        let change = outage.record(cut_us, cut_us + 500_000, StoreReadEnd::BrokenOff);
        assert_eq!(change, OutageChange::None);
        let change = outage.record(cut_us + 550_000, cut_us + 560_000, StoreReadEnd::Answered);
        assert_eq!(change, OutageChange::None);
    }
}

/// Guards against a node that never asks its peers, as each of its calls to the store breaks off.
#[test]
fn calls_that_all_break_off_make_outage() {
    let mut outage = new_outage();
    let changes = [0, 100_000, 250_000]
        .map(|sent_us| outage.record(sent_us, sent_us + 1_000, StoreReadEnd::BrokenOff));
    assert_eq!(changes, [OutageChange::None, OutageChange::None, OutageChange::Started]);
    assert!(outage.is_unavailable());
}
