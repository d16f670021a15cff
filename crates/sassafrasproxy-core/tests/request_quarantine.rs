//! Requests that crash the replicas that run them.

use sassafrasproxy_core::{CrashReport, RequestQuarantine};

fn fingerprint(path: &str) -> u64 {
    CrashReport::fingerprint("shop.example", "GET", path, b"")
}

/// A caller sends one request again and again, to three nodes in turn. Each node sees one death
/// of its own and hears of the others: from the third on, all refuse it.
#[test]
fn reports_from_three_nodes() {
    let poison = fingerprint("/x/1");
    let mut nodes =
        [RequestQuarantine::default(), RequestQuarantine::default(), RequestQuarantine::default()];
    for attempt in 0..3 {
        for node in &mut nodes {
            assert!(!node.is_quarantined(0, poison), "refused before attempt {attempt}");
        }
        let report = CrashReport::new(poison, &format!("a{attempt}"), "r1");
        for node in &mut nodes {
            assert!(node.add_report(0, report));
            assert!(!node.add_report(0, report), "the same death twice");
        }
    }
    for node in &mut nodes {
        assert!(node.is_quarantined(0, poison));
        assert!(!node.is_quarantined(0, fingerprint("/x/2")), "another request");
        assert!(!node.is_quarantined(31_000_000, poison), "replicas may have been mended");
    }
}

/// A failure domain goes down while a query runs on twenty of its replicas: that is one death.
#[test]
fn simultaneous_crashes() {
    let query = fingerprint("/all/1");
    let mut watch = RequestQuarantine::default();
    for _ in 0..20 {
        watch.add_report(0, CrashReport::new(query, "a1", ""));
    }
    assert!(!watch.is_quarantined(0, query));
}

#[test]
fn fingerprint_separates_fields() {
    let split = CrashReport::fingerprint("h", "GET", "/ab", b"c");
    assert_ne!(split, CrashReport::fingerprint("h", "GET", "/a", b"bc"));
}
