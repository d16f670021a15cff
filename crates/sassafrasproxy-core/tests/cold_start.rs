//! Replicas that are cold, leaving, out or back.

mod bench;

use bench::{Bench, MS};
use sassafrasproxy_core::{AttemptReport, AttemptResult, LaneEvent, SubKey};
use sassafrasproxy_wire::UpstreamState;

#[test]
fn slow_ramp() {
    let mut bench = Bench::cold();
    for _ in 0..50 {
        run_at(&mut bench, "a", 5);
    }
    assert_eq!(bench.limit("a"), 2, "by answers and time together");

    let mut bench = Bench::cold();
    for _ in 0..50 {
        bench.submit();
        bench.answer_all();
    }
    assert_eq!(bench.limit("a"), 1, "good answers alone are not enough");
    bench.pass(2_000 * MS);
    assert_eq!(bench.limit("a"), 1, "time alone is not enough");
}

/// Runs requests on every replica, each for some milliseconds on one and for 5 on the others.
fn run_at(bench: &mut Bench, slow: &str, slow_ms: u64) {
    let mut subs: Vec<_> = (0..5).map(|_| quiet_sub(bench)).collect();
    bench.pass(5 * MS);
    // While limits are small some wait, and run when the others are done.
    subs.retain(|sub| {
        let replica = bench.open.values().find(|(_, key)| key == sub).map(|(at, _)| at.clone());
        let is_quick = replica.is_some_and(|at| at != slow);
        if is_quick {
            bench.end_sub(*sub, AttemptResult::Answered);
        }
        !is_quick
    });
    bench.pass((slow_ms - 5) * MS);
    subs.into_iter().for_each(|sub| bench.end_sub(sub, AttemptResult::Answered));
}

/// Submits a search that is not hedged.
fn quiet_sub(bench: &mut Bench) -> SubKey {
    let mut sub = bench.sub();
    sub.may_hedge = false;
    bench.submit_sub(sub)
}

// A back end falls over under full load while its caches are cold, and its status says "serving"
// from the first moment. It answers four times as slowly as the others until it is warm; until
// then it must not get a second slot.
#[test]
fn slow_while_cold() {
    let mut bench = Bench::warm();
    *bench.boots.get_mut("a").unwrap() += 1;
    bench.status("a", UpstreamState::Serving);
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
fn says_cold() {
    let mut bench = Bench::warm();
    bench.status("a", UpstreamState::Cold);
    for _ in 0..100 {
        run_at(&mut bench, "a", 5);
    }
    assert_eq!(bench.limit("a"), 1, "its own word holds it down");
    bench.status("a", UpstreamState::Serving);
    for _ in 0..100 {
        run_at(&mut bench, "a", 5);
    }
    assert_eq!(bench.limit("a"), 2);
}

// Nothing tells a cold back end from a warm one, and it falls over whenever it gets a second
// request. Each death must make the next try rarer.
#[test]
fn rarer_setbacks() {
    let mut bench = Bench::cold();
    let mut rounds = Vec::new();
    for _ in 0..6 {
        let mut count = 0;
        while bench.limit("a") == 1 {
            run_at(&mut bench, "a", 5);
            count += 1;
        }
        rounds.push(count);
        *bench.boots.get_mut("a").unwrap() += 1;
        bench.status("a", UpstreamState::Serving);
    }
    assert!(rounds[5] >= 2 * rounds[4] && rounds[4] > rounds[0], "{rounds:?}");
}

// Back ends fall over under full load after a cold start, and turn cold without warning. Each
// sign alone must bring a replica's limit down to 1, whatever its status says.
#[test]
fn every_sign() {
    type Sign = fn(&mut Bench);
    let signs: [(&str, Sign); 5] = [
        ("boot id in an answer", |bench| {
            *bench.boots.get_mut("a").unwrap() += 1;
            let sub = bench.submit_at("a");
            bench.end_sub(sub, AttemptResult::Answered);
        }),
        ("boot id in the status", |bench| {
            *bench.boots.get_mut("a").unwrap() += 1;
            bench.status("a", UpstreamState::Serving);
        }),
        ("its own word", |bench| bench.status("a", UpstreamState::Cold)),
        ("refused, then accepted", |bench| {
            let sub = bench.submit_at("a");
            bench.end_sub(sub, AttemptResult::ConnectFailed);
            assert_eq!(bench.phase("a"), "down");
            bench.status("a", UpstreamState::Serving);
        }),
        ("latency", |bench| {
            for _ in 0..4 {
                let subs: Vec<_> = (0..6).map(|_| bench.submit()).collect();
                bench.pass(5 * MS);
                for sub in subs {
                    if bench.replica_of(sub) != "a" {
                        bench.end_sub(sub, AttemptResult::Answered);
                    }
                }
                bench.pass(25 * MS);
                bench.answer_all();
            }
        }),
    ];
    for (sign, show) in signs {
        let mut bench = Bench::warm();
        show(&mut bench);
        assert_eq!((bench.phase("a").as_str(), bench.limit("a")), ("cold", 1), "{sign}");
    }
}

// A lying status says "serving" the moment a process is up. It must raise no limit by itself.
#[test]
fn lying_status() {
    let mut bench = Bench::cold();
    for _ in 0..100 {
        bench.pass(500 * MS);
        bench.status("a", UpstreamState::Serving);
    }
    assert_eq!((bench.phase("a").as_str(), bench.limit("a")), ("cold", 1));
}

// An upstream that is leaving would get new work and lose it. Any one source is believed at
// once, and an old process's later "serving" is a stale report, not a return.
#[test]
fn every_leaving_source() {
    type Source = fn(&mut Bench);
    let sources: [(&str, Source); 4] = [
        ("status", |bench| bench.status("a", UpstreamState::Draining)),
        ("answer", |bench| {
            let sub = bench.submit_at("a");
            let attempt = bench.open_send(sub);
            bench.open.swap_remove(&attempt);
            let boot_id = Some("boot-1".into());
            let result = AttemptResult::Answered;
            let report = AttemptReport { result, boot_id, is_draining: true };
            bench.step(LaneEvent::Finished { attempt, report });
            bench.answer_all();
        }),
        ("VM list", |bench| {
            bench.configuration.leaving.insert("a".into());
            let configuration = bench.configuration.clone();
            bench.step(LaneEvent::Reconfigure(configuration));
        }),
        ("failure domain", |bench| {
            bench.configuration.domains_out.insert("domain-a".into());
            let configuration = bench.configuration.clone();
            bench.step(LaneEvent::Reconfigure(configuration));
        }),
    ];
    for (source, tell) in sources {
        let mut bench = Bench::warm();
        tell(&mut bench);
        bench.status("a", UpstreamState::Serving);
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
    let mut bench = Bench::warm();
    bench.configuration.domains_out.insert("domain-a".into());
    bench.step(LaneEvent::Reconfigure(bench.configuration.clone()));
    bench.configuration.domains_out.clear();
    bench.step(LaneEvent::Reconfigure(bench.configuration.clone()));
    assert_eq!((bench.phase("a").as_str(), bench.limit("a")), ("cold", 1));
    bench.warm_up();
}

#[test]
fn new_process_returns() {
    let mut bench = Bench::warm();
    bench.status("a", UpstreamState::Draining);
    *bench.boots.get_mut("a").unwrap() += 1;
    bench.status("a", UpstreamState::Serving);
    assert_eq!((bench.phase("a").as_str(), bench.limit("a")), ("cold", 1));
}
