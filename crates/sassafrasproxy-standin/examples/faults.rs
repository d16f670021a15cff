//! Measures what faults and moves cost under load, on eight nodes in one process.

use std::time::{Duration, Instant};

use clap::{Arg, Command, value_parser};
use ecow::{EcoString, eco_format};
use eyre::{Result, bail};
use sassafrasproxy_config::{Change, PublishEnd};
use sassafrasproxy_core::ControlPolicy;
use sassafrasproxy_node::{PlatformClient, Tuning, publish};
use sassafrasproxy_standin::{
    ColdStart, Fleet, FleetSetup, LoadPlan, ServiceSetup, UpstreamFault, UpstreamStandIn, run_load,
    shard_names,
};
use sassafrasproxy_wire::HeldSnapshot;
use serde_json::json;
use tokio::task::JoinSet;

/// The nodes of today.
const NODES: usize = 8;

/// The failure domains of the measured system.
const DOMAINS: [&str; 4] = ["galway-1", "galway-2", "galway-3", "galway-4"];

/// How long a fleet is loaded before it is measured, so that limits have grown.
const WARM_UP: Duration = Duration::from_secs(6);

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
        "domain" => domain(rounds).await,
        "silence" => silence(rounds).await,
        "roll" => roll(rounds).await,
        "poison" => poison(rounds).await,
        "cold" => cold(rounds).await,
        "claims" => claims().await,
        _ => bail!("no such scenario; see --help"),
    }
}

/// Takes a failure domain out and in, and times its last new work from the operator's command.
async fn domain(rounds: usize) -> Result<()> {
    let fleet = Fleet::start(&setup(services(10), Tuning::default())).await?;
    let plan = plan(&fleet, 100.0, 5, rounds as u64 * 2 * MOVE_TIME.as_secs() + 1);
    run_load(&fleet, &LoadPlan { duration: WARM_UP, ..plan.clone() }).await;
    let platform = PlatformClient::new(fleet.platform.url())?;
    let moves = async {
        let mut last_work_ms = Vec::new();
        let mut first_work_ms = Vec::new();
        for round in 0..rounds {
            let name: EcoString = DOMAINS[round % DOMAINS.len()].into();
            let upstreams = in_domain(&fleet, &name);
            let start = Instant::now();
            change(&platform, Change::DomainOut(name.clone())).await?;
            last_work_ms.push(watch_runs(&upstreams, start, false).await);
            let start = Instant::now();
            change(&platform, Change::DomainIn(name)).await?;
            first_work_ms.push(watch_runs(&upstreams, start, true).await);
        }
        eyre::Ok((last_work_ms, first_work_ms))
    };
    let (report, moves) = tokio::join!(run_load(&fleet, &plan), moves);
    let (last_work_ms, first_work_ms) = moves?;
    println!("last new work after `domain out`: {}", spread(last_work_ms));
    println!("first new work after `domain in`: {}", spread(first_work_ms));
    println!("load meanwhile: {report}");
    Ok(())
}

/// How long each move of a failure domain is watched.
const MOVE_TIME: Duration = Duration::from_secs(2);

/// The time from a start to the last new run, or to the first, in milliseconds.
async fn watch_runs(upstreams: &[&UpstreamStandIn], start: Instant, is_first: bool) -> f64 {
    let count = || upstreams.iter().map(|one| one.run_count()).sum::<u64>();
    let (mut known, mut changed) = (count(), Duration::ZERO);
    while start.elapsed() < MOVE_TIME {
        tokio::time::sleep(Duration::from_millis(1)).await;
        if count() == known || (is_first && changed > Duration::ZERO) {
            continue;
        }
        (known, changed) = (count(), start.elapsed());
    }
    changed.as_secs_f64() * 1_000.0
}

/// Silences every open upstream connection, and times the searches that meet it.
async fn silence(rounds: usize) -> Result<()> {
    let fleet = Fleet::start(&setup(services(10), Tuning::default())).await?;
    let plan = plan(&fleet, 100.0, 5, 2);
    run_load(&fleet, &LoadPlan { duration: WARM_UP, ..plan.clone() }).await;
    let calm = run_load(&fleet, &plan).await;
    println!("calm:    {calm}");
    let silences = async {
        for _ in 0..rounds {
            for upstream in fleet.upstreams.values().flatten() {
                upstream.switch(UpstreamFault::SilenceConnections);
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
async fn roll(rounds: usize) -> Result<()> {
    let services = services(10);
    let fleet = Fleet::start(&setup(services.clone(), Tuning::default())).await?;
    let plan = plan(&fleet, 100.0, 5, 5 * rounds as u64);
    run_load(&fleet, &LoadPlan { duration: WARM_UP, ..plan.clone() }).await;
    let rolls = async {
        let pause = Duration::from_millis(100);
        for round in 0..rounds as u64 {
            let (old, new) = (held(7 + round), held(8 + round));
            for upstream in fleet.upstreams.values().flatten() {
                upstream.switch(UpstreamFault::Hold(vec![old.clone(), new.clone()]));
                tokio::time::sleep(pause).await;
            }
            for upstream in fleet.upstreams.values().flatten() {
                upstream.switch(UpstreamFault::Hold(vec![new.clone()]));
                tokio::time::sleep(pause).await;
            }
        }
    };
    let (report, ()) = tokio::join!(run_load(&fleet, &plan), rolls);
    println!("during {rounds} rolls: {:.2} % in full; {report}", report.full_share() * 100.0);
    Ok(())
}

fn held(id: u64) -> HeldSnapshot {
    HeldSnapshot { id, shards: shard_names(1), layout: shard_names(1) }
}

/// Sends one crashing request again and again through all nodes, under load.
async fn poison(rounds: usize) -> Result<()> {
    let fleet = Fleet::start(&setup(services(2), Tuning::default())).await?;
    let plan = plan(&fleet, 50.0, 1, 6);
    run_load(&fleet, &LoadPlan { duration: WARM_UP, ..plan.clone() }).await;
    for upstream in fleet.upstreams.values().flatten() {
        upstream.switch(UpstreamFault::CrashOn(Some("kill".into())));
    }
    let body = json!({ "services": [plan.services[0]], "kind": "search", "body": "kill" });
    let client = reqwest::Client::builder().no_proxy().build()?;
    let sends = async {
        let mut sends = JoinSet::new();
        for round in 0..rounds {
            let url = format!("http://{}/v1/query", fleet.nodes[round % NODES].address());
            sends.spawn(client.post(url).json(&body).send());
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        sends.join_all().await.len()
    };
    let (report, sent) = tokio::join!(run_load(&fleet, &plan), sends);
    let deaths: u32 = fleet.upstreams.values().flatten().map(UpstreamStandIn::deaths).sum();
    println!("{sent} crashing requests killed {deaths} replicas; neighbours: {report}");
    Ok(())
}

/// Restarts replicas under load; one that is cold falls over when it runs two at once.
async fn cold(rounds: usize) -> Result<()> {
    let is_direct = ControlPolicy { bypasses_homes: true, ..ControlPolicy::default() };
    let direct = Tuning { control: is_direct, ..Tuning::default() };
    for (label, tuning) in [("homes", Tuning::default()), ("direct", direct)] {
        let cold = Some(ColdStart { factor: 4.0, answers: 20, bears: 1 });
        let services = services(2).into_iter().map(|one| ServiceSetup { cold, ..one }).collect();
        let fleet = Fleet::start(&setup(services, tuning)).await?;
        let plan = plan(&fleet, 200.0, 1, rounds as u64 * 2);
        run_load(&fleet, &LoadPlan { duration: WARM_UP, ..plan.clone() }).await;
        let restarts = async {
            for round in 0..rounds {
                let upstreams: Vec<_> = fleet.upstreams.values().flatten().collect();
                let down_ms = 100;
                upstreams[round % upstreams.len()].switch(UpstreamFault::Crash { down_ms });
                tokio::time::sleep(Duration::from_secs(2)).await;
            }
        };
        let (report, ()) = tokio::join!(run_load(&fleet, &plan), restarts);
        let deaths: u32 = fleet.upstreams.values().flatten().map(UpstreamStandIn::deaths).sum();
        println!("{label}: {rounds} restarts, {} more deaths; {report}", deaths as usize - rounds);
    }
    Ok(())
}

/// Offers reorders at several rates and counts the store's writes.
async fn claims() -> Result<()> {
    for rate in [20, 100, 400] {
        let services = services(20).into_iter();
        let quick = services.map(|one| ServiceSetup { deadline_ms: 1_000, ..one }).collect();
        let fleet = Fleet::start(&setup(quick, Tuning::default())).await?;
        let search = plan(&fleet, f64::from(rate), 1, 5);
        run_load(&fleet, &LoadPlan { duration: WARM_UP, ..search.clone() }).await;
        let baseline = run_load(&fleet, &search).await;
        let before = writes(&fleet);
        let reorders = LoadPlan { kind: "reorder".into(), ..search };
        let report = run_load(&fleet, &reorders).await;
        tokio::time::sleep(Duration::from_secs(1)).await;
        let per_s = (writes(&fleet) - before) as f64 / reorders.duration.as_secs_f64();
        println!("{rate}/s: {per_s:.0} store writes/s; searches: {baseline}");
        println!("{rate}/s: reorders: {report}");
    }
    Ok(())
}

fn writes(fleet: &Fleet) -> u64 {
    fleet.platform.calls().get("write").copied().unwrap_or(0)
}

fn services(count: usize) -> Vec<ServiceSetup> {
    let service = |number| ServiceSetup {
        deadline_ms: 300,
        ..ServiceSetup::small(eco_format!("archive-{number}"), "catalogue")
    };
    (0..count).map(service).collect()
}

fn setup(services: Vec<ServiceSetup>, tuning: Tuning) -> FleetSetup {
    let failure_domains = DOMAINS.map(Into::into).to_vec();
    FleetSetup { nodes: NODES, failure_domains, services, tuning, seed: 1 }
}

fn plan(fleet: &Fleet, rate_per_s: f64, services_per_query: usize, seconds: u64) -> LoadPlan {
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
fn in_domain<'a>(fleet: &'a Fleet, domain: &str) -> Vec<&'a UpstreamStandIn> {
    let specs = fleet.services.values().flat_map(|service| &service.upstreams);
    let pairs = specs.zip(fleet.upstreams.values().flatten());
    pairs.filter(|(spec, _)| spec.failure_domain == domain).map(|(_, one)| one).collect()
}

async fn change(platform: &PlatformClient, change: Change) -> Result<()> {
    match publish(platform, change, "operator".into(), |_| {}).await {
        PublishEnd::Done { .. } => Ok(()),
        end => bail!("publishing ended as {end:?}"),
    }
}

/// The median, the 99th percentile and the most of some times.
fn spread(mut times_ms: Vec<f64>) -> String {
    times_ms.sort_by(f64::total_cmp);
    let at = |quantile: f64| times_ms[((times_ms.len() - 1) as f64 * quantile).round() as usize];
    let count = times_ms.len();
    format!("ms p50 {:.0}, p99 {:.0}, max {:.0} of {count}", at(0.5), at(0.99), at(1.0))
}
