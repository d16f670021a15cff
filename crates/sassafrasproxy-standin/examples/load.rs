//! Measures configurations in turn under the same load, so that they can be compared within one
//! run.

use std::time::Duration;

use clap::{Arg, Command, value_parser};
use ecow::{EcoString, eco_format};
use eyre::{Result, bail};
use indexmap::IndexMap;
use sassafrasproxy_core::ControlPolicy;
use sassafrasproxy_node::Tuning;
use sassafrasproxy_standin::{
    Cluster, ClusterSetup, LoadPlan, LoadReport, ServiceSetup, Stragglers, run_load,
};

/// The time for which a cluster is under load before it is measured, so that the concurrency
/// limits can grow.
const WARM_UP_TIME: Duration = Duration::from_secs(6);

/// The number of nodes in the users' deployment.
const NODE_COUNT: usize = 8;

/// A configuration to measure and its load.
struct Case {
    label: &'static str,
    setup: ClusterSetup,
    plan: LoadPlan,
}

#[tokio::main]
async fn main() -> Result<()> {
    let matches = Command::new("load")
        .about("Measures two configurations in one run")
        .arg(
            Arg::new("scenario")
                .required(true)
                .help("The scenario to run: hedging, overload or floor"),
        )
        .arg(number_arg("rate", "Queries per second"))
        .arg(
            number_arg("seconds", "How long each configuration is measured, in seconds")
                .default_value("10"),
        )
        .arg(number_arg("seed", "The seed of arrivals and service times").default_value("1"))
        .get_matches();
    let seconds = matches.get_one::<u64>("seconds").copied().unwrap_or(10);
    let seed = matches.get_one::<u64>("seed").copied().unwrap_or(1);
    let rate = matches.get_one::<u64>("rate").map(|rate| *rate as f64);
    let scenario = matches.get_one::<String>("scenario").map_or("", String::as_str);
    let mut cases = match scenario {
        "hedging" => hedging_cases(rate.unwrap_or(60.0), seed),
        "overload" => overload_cases(rate.unwrap_or(0.0), seed),
        "floor" => lower_bound_cases(rate.unwrap_or(60.0), seed),
        _ => bail!("unknown scenario; see --help for the list"),
    };
    println!("seed {seed}");
    for case in &mut cases {
        case.plan.duration = Duration::from_secs(seconds);
        let report = measure(case).await?;
        println!("{}: {report}", case.label);
    }
    Ok(())
}

/// Starts and warms up a cluster, and measures it under the case's load.
async fn measure(case: &Case) -> Result<LoadReport> {
    let cluster = Cluster::start(&case.setup).await?;
    let warm_up = LoadPlan {
        rate_per_s: case.plan.rate_per_s.min(100.0),
        duration: WARM_UP_TIME,
        ..case.plan.clone()
    };
    run_load(&cluster, &warm_up).await;
    cluster
        .upstreams
        .values()
        .flatten()
        .for_each(|upstream| drop(upstream.take_service_times_ms()));
    let report = run_load(&cluster, &case.plan).await;
    print_lower_bound(&cluster, &case.plan);
    print_events(&cluster).await?;
    Ok(report)
}

/// Prints the number of events of each kind on the timelines of all nodes, except `query_ended`.
async fn print_events(cluster: &Cluster) -> Result<()> {
    let mut counts: IndexMap<EcoString, u64> = IndexMap::new();
    for node in &cluster.nodes {
        let url = format!("http://{}/v1/timeline", node.address());
        let events: Vec<serde_json::Value> = reqwest::get(url).await?.json().await?;
        for event in events {
            let kind = event["event"].as_str().unwrap_or_default();
            *counts.entry(kind.into()).or_default() += 1;
        }
    }
    counts.shift_remove("query_ended");
    println!("  events: {counts:?}");
    Ok(())
}

/// Prints a lower bound of the queries' p99 latency: the p99 of the slowest service time among as
/// many sub-requests as a query has.
fn print_lower_bound(cluster: &Cluster, plan: &LoadPlan) {
    let mut times: Vec<f32> = cluster
        .upstreams
        .values()
        .flatten()
        .flat_map(sassafrasproxy_standin::UpstreamStandIn::take_service_times_ms)
        .collect();
    if times.is_empty() {
        return;
    }
    times.sort_by(f32::total_cmp);
    // The 99th percentile of the maximum of n times is the 0.99^(1/n) quantile of a single time.
    let quantile = 0.99_f64.powf(1.0 / plan.services_per_query as f64);
    let index = ((times.len() as f64 * quantile) as usize).min(times.len() - 1);
    println!(
        "  lower bound: p99 of the slowest of {}: {:.1} ms of service time",
        plan.services_per_query, times[index]
    );
}

/// Queries over 50 shards, without and with hedges; 1 % of sub-requests take 20 times longer.
fn hedging_cases(rate_per_s: f64, seed: u64) -> Vec<Case> {
    let stragglers = Some(Stragglers { probability: 0.01, factor: 20.0 });
    let services = small_services(50, stragglers, 500);
    [("without hedges", 0.0), ("with hedges", 0.05)]
        .map(|(label, budget_fraction)| {
            let tuning = Tuning { budget_fraction, ..Tuning::default() };
            new_case(label, services.clone(), tuning, rate_per_s, 50, seed)
        })
        .into()
}

/// Twice the load that upstreams can serve, through homes and sent by every node directly.
fn overload_cases(rate_per_s: f64, seed: u64) -> Vec<Case> {
    let slow = |service| ServiceSetup { mean_service_ms: 20.0, ..service };
    let services: Vec<ServiceSetup> = small_services(2, None, 300).into_iter().map(slow).collect();
    // Each query asks one service and holds a slot from the send until the answer arrives.
    let capacities = services.iter().map(|service| {
        let slots = service.replica_count as f64 * f64::from(service.slots);
        slots * 1_000.0 / (service.mean_service_ms + service.round_trip_ms)
    });
    let rate_per_s = if rate_per_s > 0.0 { rate_per_s } else { 2.0 * capacities.sum::<f64>() };
    let direct = ControlPolicy { bypasses_homes: true, ..ControlPolicy::default() };
    [("homes", Tuning::default()), ("direct", Tuning { control: direct, ..Tuning::default() })]
        .map(|(label, tuning)| new_case(label, services.clone(), tuning, rate_per_s, 1, seed))
        .into()
}

/// Queries over 50 shards without stragglers, to compare with the lower bound of service times.
fn lower_bound_cases(rate_per_s: f64, seed: u64) -> Vec<Case> {
    let services = small_services(50, None, 500);
    vec![new_case("homes", services, Tuning::default(), rate_per_s, 50, seed)]
}

fn new_case(
    label: &'static str,
    services: Vec<ServiceSetup>,
    tuning: Tuning,
    rate_per_s: f64,
    services_per_query: usize,
    seed: u64,
) -> Case {
    let plan = LoadPlan {
        rate_per_s,
        duration: Duration::ZERO,
        services: services.iter().map(|service| service.name.clone()).collect(),
        services_per_query,
        kind: "search".into(),
        min_coverage: 0.0,
        seed,
    };
    let domains = ["galway-1", "galway-2", "galway-3", "galway-4"];
    let setup = ClusterSetup {
        node_count: NODE_COUNT,
        failure_domains: domains.map(Into::into).to_vec(),
        services,
        tuning,
        seed,
    };
    Case { label, setup, plan }
}

fn small_services(
    count: usize,
    stragglers: Option<Stragglers>,
    deadline_ms: u64,
) -> Vec<ServiceSetup> {
    let service = |number| ServiceSetup {
        stragglers,
        deadline_ms,
        ..ServiceSetup::small(eco_format!("archive-{number}"), "catalogue")
    };
    (0..count).map(service).collect()
}

fn number_arg(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).help(help).value_parser(value_parser!(u64))
}
