//! Which route a request takes, and which service of a split.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use indexmap::IndexMap;
use proptest::prelude::*;
use sassafrasproxy_core::{RouteTable, WeightedRoundRobin};
use sassafrasproxy_wire::{Route, RouteTarget, WeightedService};

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        is_idempotent: true,
        timeout_ms: 1_000,
        goal_ms: 100,
        max_attempts: 2,
        priority: 1,
        target: RouteTarget::Service("s".into()),
    }
}

#[test]
fn longest_prefix() {
    let table = RouteTable::new([
        route("all", "a.example", "/"),
        route("deep", "a.example", "/x/y/"),
        route("flat", "a.example", "/x/"),
        route("other", "b.example", "/x/"),
    ]);
    let cases = [
        ("a.example", "/x/y/z", Some("deep")),
        ("a.example", "/x/y/", Some("deep")),
        ("a.example", "/x/y", Some("flat")),
        ("a.example", "/x", Some("all")),
        ("a.example", "/xy/z", Some("all")),
        ("b.example", "/x/y/z", Some("other")),
        ("b.example", "/y", None),
        ("c.example", "/x/", None),
    ];
    for (host, path, expected) in cases {
        let name = table.find_route(host, path).map(|route| route.name.as_str());
        assert_eq!(name, expected, "{host}{path}");
    }
}

proptest! {
    /// Operators shift a tenth of the requests to a new service. At every count, its share is met
    /// within one request, so that no span of the day is far off its weights.
    #[test]
    fn weights(weights in prop::collection::vec(0_u32..20, 1..6), spread in 0.0..1.0_f64) {
        let parts: Vec<WeightedService> = weights
            .iter()
            .enumerate()
            .map(|(at, weight)| WeightedService {
                service: ecow::eco_format!("s{at}"),
                weight: f64::from(*weight),
            })
            .collect();
        let total: u32 = weights.iter().sum();
        let mut chooser = WeightedRoundRobin::default();
        let mut counts = IndexMap::new();
        for count in 1..=200_u32 {
            let chosen = chooser.next(&parts, spread);
            prop_assert_eq!(chosen.is_some(), total > 0);
            let Some(service) = chosen else { return Ok(()) };
            *counts.entry(service).or_insert(0_u32) += 1;
            for part in &parts {
                let share = f64::from(count) * part.weight / f64::from(total);
                let got = f64::from(counts.get(&part.service).copied().unwrap_or(0));
                prop_assert!((got - share).abs() <= 2.0, "{got} of {share} after {count}");
            }
        }
    }
}
