//! Replicas that are cold, that are leaving or out of service, and that return.

mod scheduler_harness;

use sassafrasproxy_core::{AttemptReport, AttemptResult, SchedulerEvent, SubRequestId};
use sassafrasproxy_wire::UpstreamState;
use scheduler_harness::{MS, SchedulerHarness};

#[test]
fn ramp_needs_answers_and_time() {
    let mut harness = SchedulerHarness::cold();
    for _ in 0..50 {
        run_at(&mut harness, "a", 5);
    }
    assert_eq!(harness.limit("a"), 2, "by answers and time together");

    let mut harness = SchedulerHarness::cold();
    for _ in 0..50 {
        harness.submit();
        harness.answer_all();
    }
    assert_eq!(harness.limit("a"), 1, "good answers alone are not enough");
    harness.advance(2_000 * MS);
    assert_eq!(harness.limit("a"), 1, "time alone is not enough");
}

/// Runs requests on all replicas, for `slow_ms` each on the replica `slow` and 5 ms on the others.
fn run_at(harness: &mut SchedulerHarness, slow: &str, slow_ms: u64) {
    let mut sub_requests: Vec<_> = (0..5).map(|_| submit_unhedged(harness)).collect();
    harness.advance(5 * MS);
    // While limits are small, some are queued and run after the others.
    sub_requests.retain(|sub_request| {
        let replica = harness
            .open_attempts
            .values()
            .find(|(_, id)| id == sub_request)
            .map(|(at, _)| at.clone());
        let is_quick = replica.is_some_and(|at| at != slow);
        if is_quick {
            harness.end_first_attempt(*sub_request, AttemptResult::Answered);
        }
        !is_quick
    });
    harness.advance((slow_ms - 5) * MS);
    sub_requests
        .into_iter()
        .for_each(|sub_request| harness.end_first_attempt(sub_request, AttemptResult::Answered));
}

/// Submits a search that is not hedged.
fn submit_unhedged(harness: &mut SchedulerHarness) -> SubRequestId {
    let mut spec = harness.new_spec();
    spec.may_hedge = false;
    harness.submit_spec(spec)
}

// An upstream fails under full load while its caches are cold, although its status reports
// "serving" at once. It answers four times as slowly as the others until it is warm; until then it
// must not get a second slot.
#[test]
fn slow_while_cold() {
    let mut harness = SchedulerHarness::warm();
    *harness.boot_numbers.get_mut("a").unwrap() += 1;
    harness.report_status("a", UpstreamState::Serving);
    for _ in 0..200 {
        run_at(&mut harness, "a", 20);
    }
    assert_eq!(harness.limit("a"), 1);
    for _ in 0..100 {
        run_at(&mut harness, "a", 5);
    }
    assert_eq!(harness.limit("a"), 2);
}

#[test]
fn reported_cold() {
    let mut harness = SchedulerHarness::warm();
    harness.report_status("a", UpstreamState::Cold);
    for _ in 0..100 {
        run_at(&mut harness, "a", 5);
    }
    assert_eq!(harness.limit("a"), 1, "a status of cold keeps the limit low");
    harness.report_status("a", UpstreamState::Serving);
    for _ in 0..100 {
        run_at(&mut harness, "a", 5);
    }
    assert_eq!(harness.limit("a"), 2);
}

// A cold upstream looks like a warm one and crashes whenever it gets a second concurrent request.
// Each crash must increase the number of answers required before the limit grows again.
#[test]
fn repeated_early_crashes() {
    let mut harness = SchedulerHarness::cold();
    let mut rounds = Vec::new();
    for _ in 0..6 {
        let mut count = 0;
        while harness.limit("a") == 1 {
            run_at(&mut harness, "a", 5);
            count += 1;
        }
        rounds.push(count);
        *harness.boot_numbers.get_mut("a").unwrap() += 1;
        harness.report_status("a", UpstreamState::Serving);
    }
    assert!(rounds[5] >= 2 * rounds[4] && rounds[4] > rounds[0], "{rounds:?}");
}

// Upstreams fail under full load after a cold start and may become cold without notice. Each sign
// alone must reduce the replica's limit to 1, whatever its status reports.
#[test]
fn each_cold_sign() {
    type Sign = fn(&mut SchedulerHarness);
    let signs: [(&str, Sign); 5] = [
        ("boot id in an answer", |harness| {
            *harness.boot_numbers.get_mut("a").unwrap() += 1;
            let sub_request = harness.submit_to("a");
            harness.end_first_attempt(sub_request, AttemptResult::Answered);
        }),
        ("boot id in the status", |harness| {
            *harness.boot_numbers.get_mut("a").unwrap() += 1;
            harness.report_status("a", UpstreamState::Serving);
        }),
        ("cold status", |harness| harness.report_status("a", UpstreamState::Cold)),
        ("connection refused, then status read", |harness| {
            let sub_request = harness.submit_to("a");
            harness.end_first_attempt(sub_request, AttemptResult::ConnectFailed);
            assert_eq!(harness.phase("a"), "down");
            harness.report_status("a", UpstreamState::Serving);
        }),
        ("latency", |harness| {
            for _ in 0..4 {
                let sub_requests: Vec<_> = (0..6).map(|_| harness.submit()).collect();
                harness.advance(5 * MS);
                for sub_request in sub_requests {
                    if harness.replica_of(sub_request) != "a" {
                        harness.end_first_attempt(sub_request, AttemptResult::Answered);
                    }
                }
                harness.advance(25 * MS);
                harness.answer_all();
            }
        }),
    ];
    for (sign, apply) in signs {
        let mut harness = SchedulerHarness::warm();
        apply(&mut harness);
        assert_eq!((harness.phase("a").as_str(), harness.limit("a")), ("cold", 1), "{sign}");
    }
}

// A wrong status reports "serving" as soon as the process has started. A status alone must not
// raise a limit.
#[test]
fn false_serving_status() {
    let mut harness = SchedulerHarness::cold();
    for _ in 0..100 {
        harness.advance(500 * MS);
        harness.report_status("a", UpstreamState::Serving);
    }
    assert_eq!((harness.phase("a").as_str(), harness.limit("a")), ("cold", 1));
}

// An upstream that is leaving gets new work and loses it. Any one source that reports the leaving
// must stop new work at once, and a later "serving" of the same process is stale and must not undo
// it.
#[test]
fn each_leaving_source() {
    type Source = fn(&mut SchedulerHarness);
    let sources: [(&str, Source); 4] = [
        ("status", |harness| harness.report_status("a", UpstreamState::Draining)),
        ("answer", |harness| {
            let sub_request = harness.submit_to("a");
            let attempt = harness.first_open_attempt(sub_request);
            harness.open_attempts.swap_remove(&attempt);
            let boot_id = Some("boot-1".into());
            let result = AttemptResult::Answered;
            let report = AttemptReport { result, boot_id, is_draining: true };
            harness.step(SchedulerEvent::Finished { attempt, report });
            harness.answer_all();
        }),
        ("VM list", |harness| {
            harness.configuration.leaving_upstreams.insert("a".into());
            let configuration = harness.configuration.clone();
            harness.step(SchedulerEvent::Reconfigure(configuration));
        }),
        ("failure domain", |harness| {
            harness.configuration.domains_out.insert("domain-a".into());
            let configuration = harness.configuration.clone();
            harness.step(SchedulerEvent::Reconfigure(configuration));
        }),
    ];
    for (source, report) in sources {
        let mut harness = SchedulerHarness::warm();
        report(&mut harness);
        harness.report_status("a", UpstreamState::Serving);
        harness.attempts.clear();
        for _ in 0..8 {
            harness.submit();
        }
        let is_used = harness.attempts.iter().any(|(replica, _)| replica == "a");
        assert!(!is_used, "{source}: new work was sent");
        assert_eq!(harness.attempts.len(), 4, "{source}: the others get new work");
    }
}

#[test]
fn ramp_after_return() {
    let mut harness = SchedulerHarness::warm();
    harness.configuration.domains_out.insert("domain-a".into());
    harness.step(SchedulerEvent::Reconfigure(harness.configuration.clone()));
    harness.configuration.domains_out.clear();
    harness.step(SchedulerEvent::Reconfigure(harness.configuration.clone()));
    assert_eq!((harness.phase("a").as_str(), harness.limit("a")), ("cold", 1));
    harness.warm_up();
}

#[test]
fn new_process_returns() {
    let mut harness = SchedulerHarness::warm();
    harness.report_status("a", UpstreamState::Draining);
    *harness.boot_numbers.get_mut("a").unwrap() += 1;
    harness.report_status("a", UpstreamState::Serving);
    assert_eq!((harness.phase("a").as_str(), harness.limit("a")), ("cold", 1));
}
