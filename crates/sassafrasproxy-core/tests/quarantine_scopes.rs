//! Tests which requests crash reports and answers count for: the same one, or those that share a part
//! with it.

use sassafrasproxy_core::{
    CrashReport, FingerprintedRequest, QuarantineDecision, ReportStep, RequestFingerprints,
    RequestQuarantine,
};

const SECOND_US: u64 = 1_000_000;

/// The time between repeats of the crashing request, in microseconds.
const REPEAT_US: u64 = 2_500_000;

/// The maximum number of repeats that replicas get.
const MAX_SENT: usize = 4;

fn query(query: &str) -> RequestFingerprints {
    query_of("", query)
}

fn query_of(account: &str, query: &str) -> RequestFingerprints {
    let (host, method, path, body) = ("shop.example", "GET", "/find/", b"");
    RequestFingerprints::new(&FingerprintedRequest { host, method, path, query, body, account })
}

/// A node and the number of the next attempt.
struct Node {
    quarantine: RequestQuarantine,
    attempt: usize,
}

impl Node {
    fn new() -> Self {
        Self { quarantine: RequestQuarantine::default(), attempt: 0 }
    }

    /// Decides on a request.
    fn is_sent(&mut self, now_us: u64, request: &RequestFingerprints) -> bool {
        let (_, decision) = self.quarantine.decide_on_request(now_us, request);
        matches!(decision, QuarantineDecision::Send(_))
    }

    /// Sends a request that crashes a replica, unless it is refused; returns whether it was sent.
    fn crash(&mut self, now_us: u64, request: &RequestFingerprints) -> bool {
        if !self.is_sent(now_us, request) {
            return false;
        }
        self.attempt += 1;
        let report = CrashReport::new(request.exact, &format!("a{}", self.attempt), "r1");
        self.quarantine.add_report(now_us, report, 0);
        for shared in &request.shared {
            self.quarantine.add_report(now_us, CrashReport::of_shared(*shared, request.exact), 0);
        }
        true
    }

    fn answer(&mut self, now_us: u64, request: &RequestFingerprints) {
        self.quarantine.record_request_answer(now_us, request);
    }
}

/// Guards against answers to other queries of the path that refute the reports on the one that
/// crashes replicas.
#[test]
fn sound_queries_refute_nothing() {
    let mut node = Node::new();
    let mut sent = 0;
    for step in 0..600 {
        let now_us = step * SECOND_US / 10;
        if now_us.is_multiple_of(REPEAT_US) {
            sent += usize::from(node.crash(now_us, &query("sku=666")));
        }
        let sound = query(&format!("sku={}", step % 7));
        assert!(node.is_sent(now_us, &sound), "a sound query was refused at {now_us}");
        node.answer(now_us, &sound);
    }
    assert!(sent <= MAX_SENT, "{sent} repeats reached replicas");
}

/// Guards against sound queries that are refused because another one of the path crashed replicas
/// while nothing else ran.
#[test]
fn crashing_query_alone_spares_others() {
    let mut node = Node::new();
    for repeat in 0..6 {
        node.crash(repeat * REPEAT_US, &query("sku=666&page=1"));
    }
    let now_us = 6 * REPEAT_US;
    assert!(!node.is_sent(now_us, &query("sku=666&page=1")));
    for sound in ["sku=1&page=1", "sku=2", "", "page=1"] {
        assert!(node.is_sent(now_us, &query(sound)), "{sound}");
    }
}

/// Guards against a caller whose request escapes with a parameter that is new in each repeat, beside
/// sound queries and without.
#[test]
fn changed_parameters_are_no_escape() {
    for has_sound in [true, false] {
        let mut node = Node::new();
        let mut sent = 0;
        for step in 0..300 {
            let now_us = step * SECOND_US / 10;
            if now_us.is_multiple_of(REPEAT_US) {
                sent += usize::from(node.crash(now_us, &query(&format!("sku=666&try={step}"))));
            }
            let sound = query(&format!("sku={}&try={step}", step % 7));
            if has_sound {
                assert!(node.is_sent(now_us, &sound), "a sound query was refused at {now_us}");
                node.answer(now_us, &sound);
            }
        }
        assert!(sent <= MAX_SENT, "{sent} repeats reached replicas, sound queries: {has_sound}");
    }
}

/// Guards against answers to one client account that refute crashes in the data of another, and
/// against crashes there that get the other refused.
#[test]
fn accounts_are_apart() {
    let mut node = Node::new();
    let mut sent = 0;
    for repeat in 0..12 {
        let now_us = repeat * REPEAT_US;
        sent += usize::from(node.crash(now_us, &query_of("north", "sku=1")));
        assert!(node.is_sent(now_us, &query_of("south", "sku=1")));
        node.answer(now_us, &query_of("south", "sku=1"));
    }
    assert!(sent <= MAX_SENT, "{sent} repeats reached replicas");
}

/// Guards against a request that crashes replicas for every account, and gets three for each.
#[test]
fn request_of_all_accounts_is_quarantined() {
    let mut node = Node::new();
    let accounts = (0..30).map(|account| query_of(&format!("account-{account}"), "sku=666"));
    let sent = accounts.zip(0..).filter(|(request, at)| node.crash(at * REPEAT_US, request));
    assert!(sent.count() <= MAX_SENT);
}

/// Guards against a path that is refused because many of its queries ran on replicas that ended
/// together.
#[test]
fn lost_replicas_spare_path() {
    let mut node = Node::new();
    for index in 0..20 {
        node.crash(index * SECOND_US / 40, &query(&format!("sku={index}&page=1")));
    }
    assert!(node.is_sent(SECOND_US, &query("sku=100&page=1")));
}

/// Guards against a node that forgets the quarantine of one of an earlier build during a release.
#[test]
fn reports_of_earlier_builds_count() {
    let mut node = Node::new();
    let path = CrashReport::fingerprint("shop.example", "GET", "/find/", b"");
    for attempt in 0..3 {
        let report = CrashReport::new(path, &format!("a{attempt}"), "r1");
        assert!(!report.is_shared());
        assert_ne!(node.quarantine.add_report(0, report, 0), ReportStep::Known);
    }
    assert!(!node.is_sent(0, &query("sku=666")));
    // A request that an earlier build passes on to a relay has that fingerprint for its exact one.
    let (host, method, body) = ("shop.example", "GET", b"");
    let request =
        FingerprintedRequest { host, method, path: "/find/", query: "", body, account: "" };
    assert_eq!(RequestFingerprints::with_exact(path, &request).all().collect::<Vec<_>>(), [path]);
}

/// Guards against fingerprints whose number a caller decides.
#[test]
fn parameters_are_bounded() {
    let many: Vec<String> = (0..1_000).map(|index| format!("p{index}=1")).collect();
    assert!(query(&many.join("&")).shared.len() < 10);
    assert_eq!(query("&&").shared.len(), 1);
}
