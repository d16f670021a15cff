//! Measures what faults and moves cost under load, on eight nodes in one process.

use std::time::{Duration, Instant};

use clap::{Arg, Command, value_parser};
use ecow::{EcoString, eco_format};
use eyre::{Result, bail};
use sassafrasproxy_config::{PublishOutcome, PublishRequest};
use sassafrasproxy_core::ControlPolicy;
use sassafrasproxy_node::{PlatformClient, Tuning, publish};
use sassafrasproxy_standin::{
    Cluster, ClusterSetup, ColdStart, LoadPlan, ServiceSetup, UpstreamFault, UpstreamStandIn,
    run_load, shard_names,
};
use sassafrasproxy_wire::HeldSnapshot;
use serde_json::json;
use tokio::task::JoinSet;

/// The nodes of today.
const NODE_COUNT: usize = 8;

/// The failure domains of the measured system.
const FAILURE_DOMAINS: [&str; 4] = ["galway-1", "galway-2", "galway-3", "galway-4"];

/// How long a fleet is loaded before it is measured, so that limits have grown.
const WARM_UP_TIME: Duration = Duration::from_secs(6);

#[tokio::main]
async fn main() -> Result<()> {
    let matches = Command::new("faults")
        .about("Measures faults and moves under load")
        .arg(
            Arg::new("scenario").required(true).help("domain, silence, roll, poison, cold, claims"),
        )
        .arg(
            Arg::new("rounds")
                .long("rounds")
                .help("How often the fault is repeated")
                .value_parser(value_parser!(usize))
                .default_value("20"),
        )
        .get_matches();
    let rounds = matches.get_one::<usize>("rounds").copied().unwrap_or(20);
    match matches.get_one::<String>("scenario").map_or("", String::as_str) {
        "domain" => measure_domain_changes(rounds).await,
        "silence" => measure_stalled_connections(rounds).await,
        "roll" => measure_snapshot_rolls(rounds).await,
        "poison" => measure_crashing_request(rounds).await,
        "cold" => measure_cold_starts(rounds).await,
        "claims" => measure_claims().await,
        _ => bail!("no such scenario; see --help"),
    }
}

/// Takes a failure domain out and in, and times its last new work from the operator's command.
async fn measure_domain_changes(rounds: usize) -> Result<()> {
    let fleet = Cluster::start(&cluster_setup(small_services(10), Tuning::default())).await?;
    let plan = load_plan(&fleet, 100.0, 5, rounds as u64 * 2 * OBSERVATION_TIME.as_secs() + 1);
    run_load(&fleet, &LoadPlan { duration: WARM_UP_TIME, ..plan.clone() }).await;
    let platform = PlatformClient::new(fleet.platform.url())?;
    let moves = async {
        let mut last_work_ms = Vec::new();
        let mut first_work_ms = Vec::new();
        for round in 0..rounds {
            let name: EcoString = FAILURE_DOMAINS[round % FAILURE_DOMAINS.len()].into();
            let upstreams = upstreams_in_domain(&fleet, &name);
            let start = Instant::now();
            publish_change(&platform, PublishRequest::DomainOut(name.clone())).await?;
            last_work_ms.push(time_runs_ms(&upstreams, start, false).await);
            let start = Instant::now();
            publish_change(&platform, PublishRequest::DomainIn(name)).await?;
            first_work_ms.push(time_runs_ms(&upstreams, start, true).await);
        }
        eyre::Ok((last_work_ms, first_work_ms))
    };
    let (report, moves) = tokio::join!(run_load(&fleet, &plan), moves);
    let (last_work_ms, first_work_ms) = moves?;
    println!("last new work after `domain out`: {}", format_quantiles(last_work_ms));
    println!("first new work after `domain in`: {}", format_quantiles(first_work_ms));
    println!("load meanwhile: {report}");
    Ok(())
}

/// How long each move of a failure domain is watched.
const OBSERVATION_TIME: Duration = Duration::from_secs(2);

/// The time from a start to the last new run, or to the first, in milliseconds.
async fn time_runs_ms(upstreams: &[&UpstreamStandIn], start: Instant, is_first: bool) -> f64 {
    let count = || upstreams.iter().map(|one| one.run_count()).sum::<u64>();
    let (mut known, mut changed) = (count(), Duration::ZERO);
    while start.elapsed() < OBSERVATION_TIME {
        tokio::time::sleep(Duration::from_millis(1)).await;
        if count() == known || (is_first && changed > Duration::ZERO) {
            continue;
        }
        (known, changed) = (count(), start.elapsed());
    }
    changed.as_secs_f64() * 1_000.0
}

/// Silences every open upstream connection, and times the searches that meet it.
async fn measure_stalled_connections(rounds: usize) -> Result<()> {
    let fleet = Cluster::start(&cluster_setup(small_services(10), Tuning::default())).await?;
    let plan = load_plan(&fleet, 100.0, 5, 2);
    run_load(&fleet, &LoadPlan { duration: WARM_UP_TIME, ..plan.clone() }).await;
    let calm = run_load(&fleet, &plan).await;
    println!("calm:    {calm}");
    let silences = async {
        for _ in 0..rounds {
            for upstream in fleet.upstreams.values().flatten() {
                upstream.apply_fault(UpstreamFault::SilenceConnections);
            }
            tokio::time::sleep(Duration::from_secs(1)).await;
        }
    };
    let plan = LoadPlan { duration: Duration::from_secs(rounds as u64), ..plan };
    let (report, ()) = tokio::join!(run_load(&fleet, &plan), silences);
    println!("silenced every second: {report}");
    Ok(())
}

/// Rolls a new snapshot through the replicas one by one.
async fn measure_snapshot_rolls(rounds: usize) -> Result<()> {
    let services = small_services(10);
    let fleet = Cluster::start(&cluster_setup(services.clone(), Tuning::default())).await?;
    let plan = load_plan(&fleet, 100.0, 5, 5 * rounds as u64);
    run_load(&fleet, &LoadPlan { duration: WARM_UP_TIME, ..plan.clone() }).await;
    let rolls = async {
        let pause = Duration::from_millis(100);
        for round in 0..rounds as u64 {
            let (old, new) = (held_snapshot(7 + round), held_snapshot(8 + round));
            for upstream in fleet.upstreams.values().flatten() {
                upstream.apply_fault(UpstreamFault::Hold(vec![old.clone(), new.clone()]));
                tokio::time::sleep(pause).await;
            }
            for upstream in fleet.upstreams.values().flatten() {
                upstream.apply_fault(UpstreamFault::Hold(vec![new.clone()]));
                tokio::time::sleep(pause).await;
            }
        }
    };
    let (report, ()) = tokio::join!(run_load(&fleet, &plan), rolls);
    println!("during {rounds} rolls: {:.2} % in full; {report}", report.complete_share() * 100.0);
    Ok(())
}

fn held_snapshot(id: u64) -> HeldSnapshot {
    HeldSnapshot { id, shards: shard_names(1), layout: shard_names(1) }
}

/// Sends one crashing request again and again through all nodes, under load.
async fn measure_crashing_request(rounds: usize) -> Result<()> {
    let fleet = Cluster::start(&cluster_setup(small_services(2), Tuning::default())).await?;
    let plan = load_plan(&fleet, 50.0, 1, 6);
    run_load(&fleet, &LoadPlan { duration: WARM_UP_TIME, ..plan.clone() }).await;
    for upstream in fleet.upstreams.values().flatten() {
        upstream.apply_fault(UpstreamFault::CrashOn(Some("kill".into())));
    }
    let body = json!({ "services": [plan.services[0]], "kind": "search", "body": "kill" });
    let client = reqwest::Client::builder().no_proxy().build()?;
    let sends = async {
        let mut sends = JoinSet::new();
        for round in 0..rounds {
            let url = format!("http://{}/v1/query", fleet.nodes[round % NODE_COUNT].address());
            sends.spawn(client.post(url).json(&body).send());
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        sends.join_all().await.len()
    };
    let (report, sent) = tokio::join!(run_load(&fleet, &plan), sends);
    let deaths: u32 = fleet.upstreams.values().flatten().map(UpstreamStandIn::crash_count).sum();
    println!("{sent} crashing requests killed {deaths} replicas; neighbours: {report}");
    Ok(())
}

/// Restarts replicas under load; one that is cold falls over when it runs two at once.
async fn measure_cold_starts(rounds: usize) -> Result<()> {
    let is_direct = ControlPolicy { bypasses_homes: true, ..ControlPolicy::default() };
    let direct = Tuning { control: is_direct, ..Tuning::default() };
    for (label, tuning) in [("homes", Tuning::default()), ("direct", direct)] {
        let cold = Some(ColdStart { slowdown_factor: 4.0, warm_up_answers: 20, max_in_flight: 1 });
        let services = small_services(2)
            .into_iter()
            .map(|one| ServiceSetup { cold_start: cold, ..one })
            .collect();
        let fleet = Cluster::start(&cluster_setup(services, tuning)).await?;
        let plan = load_plan(&fleet, 200.0, 1, rounds as u64 * 2);
        run_load(&fleet, &LoadPlan { duration: WARM_UP_TIME, ..plan.clone() }).await;
        let restarts = async {
            for round in 0..rounds {
                let upstreams: Vec<_> = fleet.upstreams.values().flatten().collect();
                let down_ms = 100;
                upstreams[round % upstreams.len()].apply_fault(UpstreamFault::Crash { down_ms });
                tokio::time::sleep(Duration::from_secs(2)).await;
            }
        };
        let (report, ()) = tokio::join!(run_load(&fleet, &plan), restarts);
        let deaths: u32 =
            fleet.upstreams.values().flatten().map(UpstreamStandIn::crash_count).sum();
        println!("{label}: {rounds} restarts, {} more deaths; {report}", deaths as usize - rounds);
    }
    Ok(())
}

/// Offers reorders at several rates and counts the store's writes.
async fn measure_claims() -> Result<()> {
    for rate in [20, 100, 400] {
        let services = small_services(20).into_iter();
        let quick = services.map(|one| ServiceSetup { deadline_ms: 1_000, ..one }).collect();
        let fleet = Cluster::start(&cluster_setup(quick, Tuning::default())).await?;
        let search = load_plan(&fleet, f64::from(rate), 1, 5);
        run_load(&fleet, &LoadPlan { duration: WARM_UP_TIME, ..search.clone() }).await;
        let baseline = run_load(&fleet, &search).await;
        let before = store_write_count(&fleet);
        let reorders = LoadPlan { kind: "reorder".into(), ..search };
        let report = run_load(&fleet, &reorders).await;
        tokio::time::sleep(Duration::from_secs(1)).await;
        let per_s = (store_write_count(&fleet) - before) as f64 / reorders.duration.as_secs_f64();
        println!("{rate}/s: {per_s:.0} store writes/s; searches: {baseline}");
        println!("{rate}/s: reorders: {report}");
    }
    Ok(())
}

fn store_write_count(fleet: &Cluster) -> u64 {
    fleet.platform.call_counts().get("write").copied().unwrap_or(0)
}

fn small_services(count: usize) -> Vec<ServiceSetup> {
    let service = |number| ServiceSetup {
        deadline_ms: 300,
        ..ServiceSetup::small(eco_format!("archive-{number}"), "catalogue")
    };
    (0..count).map(service).collect()
}

fn cluster_setup(services: Vec<ServiceSetup>, tuning: Tuning) -> ClusterSetup {
    let failure_domains = FAILURE_DOMAINS.map(Into::into).to_vec();
    ClusterSetup { node_count: NODE_COUNT, failure_domains, services, tuning, seed: 1 }
}

fn load_plan(
    fleet: &Cluster,
    rate_per_s: f64,
    services_per_query: usize,
    seconds: u64,
) -> LoadPlan {
    LoadPlan {
        rate_per_s,
        duration: Duration::from_secs(seconds),
        services: fleet.services.keys().cloned().collect(),
        services_per_query,
        kind: "search".into(),
        min_coverage: 0.0,
        seed: 1,
    }
}

/// The replicas in a failure domain.
fn upstreams_in_domain<'a>(fleet: &'a Cluster, domain: &str) -> Vec<&'a UpstreamStandIn> {
    let specs = fleet.services.values().flat_map(|service| &service.upstreams);
    let pairs = specs.zip(fleet.upstreams.values().flatten());
    pairs.filter(|(spec, _)| spec.failure_domain == domain).map(|(_, one)| one).collect()
}

async fn publish_change(platform: &PlatformClient, change: PublishRequest) -> Result<()> {
    match publish(platform, change, "operator".into(), |_| {}).await {
        PublishOutcome::Done { .. } => Ok(()),
        end => bail!("publishing ended as {end:?}"),
    }
}

/// The median, the 99th percentile and the most of some times.
fn format_quantiles(mut times_ms: Vec<f64>) -> String {
    times_ms.sort_by(f64::total_cmp);
    let at = |quantile: f64| times_ms[((times_ms.len() - 1) as f64 * quantile).round() as usize];
    let count = times_ms.len();
    format!("ms p50 {:.0}, p99 {:.0}, max {:.0} of {count}", at(0.5), at(0.99), at(1.0))
}
