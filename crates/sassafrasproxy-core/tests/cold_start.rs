//! Replicas that are cold, leaving, out or back.

mod scheduler_harness;

use sassafrasproxy_core::{AttemptReport, AttemptResult, SchedulerEvent, SubRequestId};
use sassafrasproxy_wire::UpstreamState;
use scheduler_harness::{MS, SchedulerHarness};

#[test]
fn ramp_needs_answers_and_time() {
    let mut bench = SchedulerHarness::cold();
    for _ in 0..50 {
        run_at(&mut bench, "a", 5);
    }
    assert_eq!(bench.limit("a"), 2, "by answers and time together");

    let mut bench = SchedulerHarness::cold();
    for _ in 0..50 {
        bench.submit();
        bench.answer_all();
    }
    assert_eq!(bench.limit("a"), 1, "good answers alone are not enough");
    bench.advance(2_000 * MS);
    assert_eq!(bench.limit("a"), 1, "time alone is not enough");
}

/// Runs requests on every replica, each for some milliseconds on one and for 5 on the others.
fn run_at(bench: &mut SchedulerHarness, slow: &str, slow_ms: u64) {
    let mut subs: Vec<_> = (0..5).map(|_| submit_unhedged(bench)).collect();
    bench.advance(5 * MS);
    // While limits are small some wait, and run when the others are done.
    subs.retain(|sub| {
        let replica =
            bench.open_attempts.values().find(|(_, key)| key == sub).map(|(at, _)| at.clone());
        let is_quick = replica.is_some_and(|at| at != slow);
        if is_quick {
            bench.end_first_attempt(*sub, AttemptResult::Answered);
        }
        !is_quick
    });
    bench.advance((slow_ms - 5) * MS);
    subs.into_iter().for_each(|sub| bench.end_first_attempt(sub, AttemptResult::Answered));
}

/// Submits a search that is not hedged.
fn submit_unhedged(bench: &mut SchedulerHarness) -> SubRequestId {
    let mut sub = bench.new_spec();
    sub.may_hedge = false;
    bench.submit_spec(sub)
}

// A back end falls over under full load while its caches are cold, and its status says "serving"
// from the first moment. It answers four times as slowly as the others until it is warm; until
// then it must not get a second slot.
#[test]
fn slow_while_cold() {
    let mut bench = SchedulerHarness::warm();
    *bench.boot_numbers.get_mut("a").unwrap() += 1;
    bench.report_status("a", UpstreamState::Serving);
    for _ in 0..200 {
        run_at(&mut bench, "a", 20);
    }
    assert_eq!(bench.limit("a"), 1);
    for _ in 0..100 {
        run_at(&mut bench, "a", 5);
    }
    assert_eq!(bench.limit("a"), 2);
}

#[test]
fn reported_cold() {
    let mut bench = SchedulerHarness::warm();
    bench.report_status("a", UpstreamState::Cold);
    for _ in 0..100 {
        run_at(&mut bench, "a", 5);
    }
    assert_eq!(bench.limit("a"), 1, "its own word holds it down");
    bench.report_status("a", UpstreamState::Serving);
    for _ in 0..100 {
        run_at(&mut bench, "a", 5);
    }
    assert_eq!(bench.limit("a"), 2);
}

// Nothing tells a cold back end from a warm one, and it falls over whenever it gets a second
// request. Each death must make the next try rarer.
#[test]
fn repeated_early_crashes() {
    let mut bench = SchedulerHarness::cold();
    let mut rounds = Vec::new();
    for _ in 0..6 {
        let mut count = 0;
        while bench.limit("a") == 1 {
            run_at(&mut bench, "a", 5);
            count += 1;
        }
        rounds.push(count);
        *bench.boot_numbers.get_mut("a").unwrap() += 1;
        bench.report_status("a", UpstreamState::Serving);
    }
    assert!(rounds[5] >= 2 * rounds[4] && rounds[4] > rounds[0], "{rounds:?}");
}

// Back ends fall over under full load after a cold start, and turn cold without warning. Each
// sign alone must bring a replica's limit down to 1, whatever its status says.
#[test]
fn each_cold_sign() {
    type Sign = fn(&mut SchedulerHarness);
    let signs: [(&str, Sign); 5] = [
        ("boot id in an answer", |bench| {
            *bench.boot_numbers.get_mut("a").unwrap() += 1;
            let sub = bench.submit_to("a");
            bench.end_first_attempt(sub, AttemptResult::Answered);
        }),
        ("boot id in the status", |bench| {
            *bench.boot_numbers.get_mut("a").unwrap() += 1;
            bench.report_status("a", UpstreamState::Serving);
        }),
        ("its own word", |bench| bench.report_status("a", UpstreamState::Cold)),
        ("refused, then accepted", |bench| {
            let sub = bench.submit_to("a");
            bench.end_first_attempt(sub, AttemptResult::ConnectFailed);
            assert_eq!(bench.phase("a"), "down");
            bench.report_status("a", UpstreamState::Serving);
        }),
        ("latency", |bench| {
            for _ in 0..4 {
                let subs: Vec<_> = (0..6).map(|_| bench.submit()).collect();
                bench.advance(5 * MS);
                for sub in subs {
                    if bench.replica_of(sub) != "a" {
                        bench.end_first_attempt(sub, AttemptResult::Answered);
                    }
                }
                bench.advance(25 * MS);
                bench.answer_all();
            }
        }),
    ];
    for (sign, show) in signs {
        let mut bench = SchedulerHarness::warm();
        show(&mut bench);
        assert_eq!((bench.phase("a").as_str(), bench.limit("a")), ("cold", 1), "{sign}");
    }
}

// A lying status says "serving" the moment a process is up. It must raise no limit by itself.
#[test]
fn false_serving_status() {
    let mut bench = SchedulerHarness::cold();
    for _ in 0..100 {
        bench.advance(500 * MS);
        bench.report_status("a", UpstreamState::Serving);
    }
    assert_eq!((bench.phase("a").as_str(), bench.limit("a")), ("cold", 1));
}

// An upstream that is leaving would get new work and lose it. Any one source is believed at
// once, and an old process's later "serving" is a stale report, not a return.
#[test]
fn each_leaving_source() {
    type Source = fn(&mut SchedulerHarness);
    let sources: [(&str, Source); 4] = [
        ("status", |bench| bench.report_status("a", UpstreamState::Draining)),
        ("answer", |bench| {
            let sub = bench.submit_to("a");
            let attempt = bench.first_open_attempt(sub);
            bench.open_attempts.swap_remove(&attempt);
            let boot_id = Some("boot-1".into());
            let result = AttemptResult::Answered;
            let report = AttemptReport { result, boot_id, is_draining: true };
            bench.step(SchedulerEvent::Finished { attempt, report });
            bench.answer_all();
        }),
        ("VM list", |bench| {
            bench.configuration.leaving_upstreams.insert("a".into());
            let configuration = bench.configuration.clone();
            bench.step(SchedulerEvent::Reconfigure(configuration));
        }),
        ("failure domain", |bench| {
            bench.configuration.domains_out.insert("domain-a".into());
            let configuration = bench.configuration.clone();
            bench.step(SchedulerEvent::Reconfigure(configuration));
        }),
    ];
    for (source, tell) in sources {
        let mut bench = SchedulerHarness::warm();
        tell(&mut bench);
        bench.report_status("a", UpstreamState::Serving);
        bench.sends.clear();
        for _ in 0..8 {
            bench.submit();
        }
        let is_used = bench.sends.iter().any(|(replica, _)| replica == "a");
        assert!(!is_used, "{source}: new work was sent");
        assert_eq!(bench.sends.len(), 4, "{source}: the others work on");
    }
}

#[test]
fn ramp_after_return() {
    let mut bench = SchedulerHarness::warm();
    bench.configuration.domains_out.insert("domain-a".into());
    bench.step(SchedulerEvent::Reconfigure(bench.configuration.clone()));
    bench.configuration.domains_out.clear();
    bench.step(SchedulerEvent::Reconfigure(bench.configuration.clone()));
    assert_eq!((bench.phase("a").as_str(), bench.limit("a")), ("cold", 1));
    bench.warm_up();
}

#[test]
fn new_process_returns() {
    let mut bench = SchedulerHarness::warm();
    bench.report_status("a", UpstreamState::Draining);
    *bench.boot_numbers.get_mut("a").unwrap() += 1;
    bench.report_status("a", UpstreamState::Serving);
    assert_eq!((bench.phase("a").as_str(), bench.limit("a")), ("cold", 1));
}
