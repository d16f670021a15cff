//! The snapshot that a query chooses, and the coverage and outcome that it reports.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::sync::Arc;

use ecow::EcoString;
use indexmap::{IndexMap, IndexSet};
use sassafrasproxy_core::{
    GroupTable, Query, QueryEffect, QueryEnd, QueryEvent, QueryPlan, QuerySpec, ShardRequestToken,
    View,
};
use sassafrasproxy_wire::{
    Configuration, FailureReason, GroupHoldings, Hlc, Outcome, ReplicaLimits, ServiceSpec,
    SnapshotHolding, SubRequestOutcome, UpstreamSpec,
};

/// The holdings of one group: snapshots with their layout and servable shards.
type HoldingsCase = &'static [(u64, &'static [&'static str], &'static [&'static str])];

/// The name of a case, its services, and the expected snapshot and fraction of the plan.
type PlanCase = (&'static str, &'static [(&'static str, HoldingsCase)], u64, f64);

fn names(names: &[&str]) -> Vec<EcoString> {
    names.iter().map(|name| (*name).into()).collect()
}

/// Returns a view with one service per entry, each with a single group named `service/s0`.
fn view(services: &[(&str, HoldingsCase)]) -> View {
    let mut configuration = Configuration { revision: 1, ..Configuration::default() };
    let mut holdings = IndexMap::new();
    let mut homes: IndexMap<EcoString, Vec<EcoString>> = IndexMap::new();
    for (number, (service, held)) in services.iter().enumerate() {
        let upstream = UpstreamSpec {
            address: ecow::eco_format!("127.0.0.1:{}", 7100 + number),
            failure_domain: "galway-1".into(),
            shards: names(&["s0", "s1", "s2", "s3", "s4", "s5"]),
        };
        let spec = ServiceSpec {
            service: (*service).into(),
            index: "catalogue".into(),
            failure_domains: names(&["galway-1"]),
            upstreams: vec![upstream],
            limits: ReplicaLimits { slots: 2, connections: 25, queue: 64 },
            deadline_ms: 90,
            kinds: IndexMap::new(),
        };
        configuration.services.insert(spec.service.clone(), spec);
        let group: EcoString = ecow::eco_format!("{service}/s0");
        let snapshots = held.iter().map(|(id, layout, servable)| SnapshotHolding {
            id: *id,
            layout: names(layout),
            servable: names(servable),
        });
        let made_at = Hlc::default();
        let holding = GroupHoldings {
            group: group.clone(),
            home: "vm-1".into(),
            made_at,
            snapshots: snapshots.collect(),
        };
        holdings.insert(group.clone(), holding);
        homes.insert(group, names(&["vm-1", "vm-2"]));
    }
    View {
        groups: Arc::new(GroupTable::new(&configuration)),
        configuration: Arc::new(configuration),
        holdings: Arc::new(holdings),
        homes: Arc::new(homes),
        ..View::default()
    }
}

fn plan_for(services: &[(&'static str, HoldingsCase)]) -> Option<QueryPlan> {
    let names: Vec<EcoString> = services.iter().map(|(service, _)| (*service).into()).collect();
    QueryPlan::new(&view(services), &names, &IndexSet::new())
}

#[test]
fn snapshot_choice() {
    let cases: [PlanCase; 5] = [
        ("newest", &[("a", &[(7, &["s0"], &["s0"]), (8, &["s0"], &["s0"])])], 8, 1.0),
        (
            "newest that all serve",
            &[
                ("a", &[(7, &["s0"], &["s0"]), (8, &["s0"], &["s0"])]),
                ("b", &[(7, &["s0"], &["s0"])]),
            ],
            7,
            1.0,
        ),
        (
            "newer one on half of the shards",
            &[("a", &[(7, &["s0", "s1"], &["s0", "s1"]), (8, &["s0", "s1"], &["s0"])])],
            7,
            1.0,
        ),
        (
            "most, if none serves all",
            &[
                ("a", &[(7, &["s0", "s1", "s2"], &["s0", "s1"]), (8, &["s0", "s1"], &["s0"])]),
                ("b", &[(8, &["s0"], &["s0"])]),
            ],
            8,
            2.0 / 3.0,
        ),
        (
            "repartition from 4 to 6 shards",
            &[(
                "a",
                &[
                    (7, &["s0", "s1", "s2", "s3"], &["s0", "s1", "s2", "s3"]),
                    (8, &["s0", "s1", "s2", "s3", "s4", "s5"], &["s0", "s1", "s2", "s3", "s4"]),
                ],
            )],
            7,
            1.0,
        ),
    ];
    for (name, services, snapshot, fraction) in cases {
        let plan = plan_for(services).unwrap();
        assert_eq!((plan.snapshot, plan.fraction()), (snapshot, fraction), "{name}");
    }
    assert_eq!(plan_for(&[("a", &[])]), None, "nothing known");
}

/// Runs a query whose shard requests are answered by a function of shard and snapshot.
fn run_query(
    view: &View,
    services: &[&str],
    is_idempotent: bool,
    mut answer: impl FnMut(&str, u64) -> SubRequestOutcome,
) -> QueryEnd {
    let spec = QuerySpec {
        services: names(services),
        is_idempotent,
        min_coverage: 0.0,
        soft_deadline_us: 90_000,
    };
    let mut query = Query::new(spec);
    let mut effects = query.step(0, QueryEvent::Start, view);
    let mut abandoned: IndexSet<ShardRequestToken> = IndexSet::new();
    while !effects.is_empty() {
        match effects.remove(0) {
            QueryEffect::RequestShard { token, shard, snapshot, .. }
                if !abandoned.contains(&token) =>
            {
                let outcome = answer(&shard.to_string(), snapshot);
                effects.extend(query.step(1, QueryEvent::Replied { token, outcome }, view));
            }
            QueryEffect::Abandon { token } => drop(abandoned.insert(token)),
            QueryEffect::Finish(end) => return end,
            QueryEffect::RequestShard { .. } | QueryEffect::RecordEvent(_) => {}
        }
    }
    panic!("the query did not end although every shard request was answered");
}

const BOTH_SNAPSHOTS_SERVED: HoldingsCase =
    &[(7, &["s0", "s1"], &["s0", "s1"]), (8, &["s0", "s1"], &["s0", "s1"])];

// Guards against an answer that mixes two snapshots. A replica drops snapshot 8 after the query has
// chosen it, so the query restarts on snapshot 7 and must return all shards of that one.
#[test]
fn restart_on_older_snapshot() {
    let view = view(&[("a", BOTH_SNAPSHOTS_SERVED)]);
    let not_held = SubRequestOutcome::NotRun { reason: FailureReason::NotHeld, retry_after_ms: 0 };
    let end = run_query(&view, &["a"], true, |shard, snapshot| {
        if (shard, snapshot) == ("a/s1", 8) { not_held } else { SubRequestOutcome::Answered }
    });
    assert_eq!((end.outcome, end.snapshot), (Outcome::Answered, Some(7)));
    assert_eq!(end.coverage.fraction, 1.0);
}

// Guards against a query that fails as a whole when one shard is not held in any snapshot. The
// shard must be reported as missing.
#[test]
fn no_alternative_snapshot() {
    let view = view(&[("a", BOTH_SNAPSHOTS_SERVED)]);
    let not_held = SubRequestOutcome::NotRun { reason: FailureReason::NotHeld, retry_after_ms: 0 };
    let end = run_query(&view, &["a"], true, |shard, _| {
        if shard == "a/s1" { not_held } else { SubRequestOutcome::Answered }
    });
    assert_eq!(end.coverage.fraction, 0.5);
    assert_eq!(end.coverage.missing[0].shard.to_string(), "a/s1");
}

#[test]
fn combined_outcomes() {
    let shed = SubRequestOutcome::NotRun { reason: FailureReason::Shed, retry_after_ms: 50 };
    let lost = SubRequestOutcome::Unknown { reason: FailureReason::ConnectionLost };
    let answered = SubRequestOutcome::Answered;
    let cases = [
        ("all answered", false, [answered, answered], Outcome::Answered),
        ("none ran", false, [shed, shed], Outcome::NotRun),
        ("one may have run", false, [shed, lost], Outcome::Unknown),
        ("one ran", false, [answered, shed], Outcome::Partial),
        ("search with a missing shard", true, [answered, lost], Outcome::Answered),
        ("search without any answer", true, [lost, shed], Outcome::Unknown),
    ];
    for (name, is_idempotent, outcomes, expected) in cases {
        let view = view(&[("a", &[(7, &["s0", "s1"], &["s0", "s1"])])]);
        let end = run_query(&view, &["a"], is_idempotent, |shard, _| {
            if shard == "a/s0" { outcomes[0] } else { outcomes[1] }
        });
        assert_eq!(end.outcome, expected, "{name}");
    }
}

// Guards against a non-idempotent request that runs twice. The home of a shard crashes while a
// request may be running there. Only an idempotent request may be sent to the next node.
#[test]
fn home_unreachable() {
    for (is_idempotent, expected) in [(false, Outcome::Unknown), (true, Outcome::Answered)] {
        let view = view(&[("a", &[(7, &["s0"], &["s0"])])]);
        let spec = QuerySpec {
            services: names(&["a"]),
            is_idempotent,
            min_coverage: 0.0,
            soft_deadline_us: 90_000,
        };
        let mut query = Query::new(spec);
        let first = query.step(0, QueryEvent::Start, &view);
        let QueryEffect::RequestShard { token, node, .. } = &first[0] else { panic!("{first:?}") };
        assert_eq!(node, "vm-1");
        let event =
            QueryEvent::Unreachable { token: *token, may_have_arrived: true, is_alive: false };
        let mut effects = query.step(1, event, &view);
        if let QueryEffect::RequestShard { token, node, is_fallback, .. } = effects[0].clone() {
            assert_eq!((node.as_str(), is_fallback), ("vm-2", true));
            let outcome = SubRequestOutcome::Answered;
            effects = query.step(2, QueryEvent::Replied { token, outcome }, &view);
        }
        let Some(QueryEffect::Finish(end)) = effects.last() else { panic!("{effects:?}") };
        assert_eq!(end.outcome, expected);
    }
}

// Guards against an answer that misses the caller's deadline because a shard is pending. The answer
// must be sent at the soft deadline and report that shard as missing.
#[test]
fn soft_deadline() {
    let view = view(&[("a", &[(7, &["s0", "s1"], &["s0", "s1"])])]);
    let spec = QuerySpec {
        services: names(&["a"]),
        is_idempotent: true,
        min_coverage: 0.0,
        soft_deadline_us: 90_000,
    };
    let mut query = Query::new(spec);
    let effects = query.step(0, QueryEvent::Start, &view);
    let QueryEffect::RequestShard { token, .. } = effects[0] else { panic!("{effects:?}") };
    query.step(1, QueryEvent::Replied { token, outcome: SubRequestOutcome::Answered }, &view);
    assert!(query.step(89_999, QueryEvent::Timer, &view).is_empty());
    let effects = query.step(90_000, QueryEvent::Timer, &view);
    let Some(QueryEffect::Finish(end)) = effects.last() else { panic!("{effects:?}") };
    assert_eq!((end.outcome, end.coverage.fraction), (Outcome::Answered, 0.5));
    assert_eq!(end.coverage.missing[0].reason, FailureReason::DeadlineExceeded);
}
