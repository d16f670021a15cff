//! Tests the quarantine of requests that crash the replicas that run them.

use sassafrasproxy_core::{CrashReport, RequestQuarantine};

fn fingerprint(path: &str) -> u64 {
    CrashReport::fingerprint("shop.example", "GET", path, b"")
}

/// A caller repeats a request that crashes replicas, on three nodes in turn. Each node observes one
/// crash and receives reports of the others. After the third crash, all nodes refuse the request.
#[test]
fn reports_from_three_nodes() {
    let crashing = fingerprint("/x/1");
    let mut nodes =
        [RequestQuarantine::default(), RequestQuarantine::default(), RequestQuarantine::default()];
    for attempt in 0..3 {
        for node in &mut nodes {
            assert!(!node.is_quarantined(0, crashing), "refused before attempt {attempt}");
        }
        let report = CrashReport::new(crashing, &format!("a{attempt}"), "r1");
        for node in &mut nodes {
            assert!(node.add_report(0, report));
            assert!(!node.add_report(0, report), "the same crash was counted twice");
        }
    }
    for node in &mut nodes {
        assert!(node.is_quarantined(0, crashing));
        assert!(!node.is_quarantined(0, fingerprint("/x/2")), "another request");
        assert!(!node.is_quarantined(31_000_000, crashing), "the replicas may have been fixed");
    }
}

/// A failure domain is lost while a query runs on twenty of its replicas. The crashes count once,
/// or the query would be quarantined although it did not cause them.
#[test]
fn simultaneous_crashes() {
    let query = fingerprint("/all/1");
    let mut quarantine = RequestQuarantine::default();
    for _ in 0..20 {
        quarantine.add_report(0, CrashReport::new(query, "a1", ""));
    }
    assert!(!quarantine.is_quarantined(0, query));
}

#[test]
fn fingerprint_separates_fields() {
    let split = CrashReport::fingerprint("h", "GET", "/ab", b"c");
    assert_ne!(split, CrashReport::fingerprint("h", "GET", "/a", b"bc"));
}

/// Guards against a request that is let in again at full strength each time its reports expire.
#[test]
fn repeats_for_an_hour() {
    let crashing = fingerprint("/x/1");
    let mut quarantine = RequestQuarantine::default();
    let mut crashes = 0;
    for second in 0..3_600 {
        let now_us = second * 1_000_000;
        if !quarantine.is_quarantined(now_us, crashing) {
            crashes += 1;
            let report = CrashReport::new(crashing, &format!("a{second}"), "r1");
            quarantine.add_report(now_us, report);
        }
    }
    assert!(crashes - 3 <= 3, "{crashes} crashes, three of them before the quarantine");
}
