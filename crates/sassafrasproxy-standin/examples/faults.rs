//! Measures the effects of faults and operator changes under load, on eight nodes in one process.

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

/// The number of nodes in the users' deployment.
const NODE_COUNT: usize = 8;

/// The failure domains of the measured cluster.
const FAILURE_DOMAINS: [&str; 4] = ["galway-1", "galway-2", "galway-3", "galway-4"];

/// The time for which a cluster is under load before it is measured, so that the concurrency
/// limits can grow.
const WARM_UP_TIME: Duration = Duration::from_secs(6);

#[tokio::main]
async fn main() -> Result<()> {
    let matches = Command::new("faults")
        .about("Measures the effects of faults and changes under load")
        .arg(
            Arg::new("scenario")
                .required(true)
                .help("The scenario to run: domain, silence, roll, poison, cold or claims"),
        )
        .arg(
            Arg::new("rounds")
                .long("rounds")
                .help("How often the fault is repeated; claims ignores it")
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
        _ => bail!("unknown scenario; see --help for the list"),
    }
}

/// Takes failure domains out of service and brings them back; measures the time from the
/// operator's command to the last or first new request in the domain.
async fn measure_domain_changes(rounds: usize) -> Result<()> {
    let cluster = Cluster::start(&cluster_setup(small_services(10), Tuning::default())).await?;
    let plan = load_plan(&cluster, 100.0, 5, rounds as u64 * 2 * OBSERVATION_TIME.as_secs() + 1);
    run_load(&cluster, &LoadPlan { duration: WARM_UP_TIME, ..plan.clone() }).await;
    let platform = PlatformClient::new(cluster.platform.url())?;
    let changes = async {
        let mut last_work_ms = Vec::new();
        let mut first_work_ms = Vec::new();
        for round in 0..rounds {
            let name: EcoString = FAILURE_DOMAINS[round % FAILURE_DOMAINS.len()].into();
            let upstreams = upstreams_in_domain(&cluster, &name);
            let start = Instant::now();
            publish_change(&platform, PublishRequest::DomainOut(name.clone())).await?;
            last_work_ms.push(time_runs_ms(&upstreams, start, false).await);
            let start = Instant::now();
            publish_change(&platform, PublishRequest::DomainIn(name)).await?;
            first_work_ms.push(time_runs_ms(&upstreams, start, true).await);
        }
        eyre::Ok((last_work_ms, first_work_ms))
    };
    let (report, changes) = tokio::join!(run_load(&cluster, &plan), changes);
    let (last_work_ms, first_work_ms) = changes?;
    println!("last new request after `domain out`: {}", format_quantiles(last_work_ms));
    println!("first new request after `domain in`: {}", format_quantiles(first_work_ms));
    println!("load during the changes: {report}");
    Ok(())
}

/// The time for which upstreams are observed after each change of a failure domain.
const OBSERVATION_TIME: Duration = Duration::from_secs(2);

/// Returns the time from `start` to the last new run, or to the first if `is_first`, in
/// milliseconds; 0 if there is none.
async fn time_runs_ms(upstreams: &[&UpstreamStandIn], start: Instant, is_first: bool) -> f64 {
    let count = || upstreams.iter().map(|upstream| upstream.run_count()).sum::<u64>();
    let (mut last_count, mut changed_after) = (count(), Duration::ZERO);
    while start.elapsed() < OBSERVATION_TIME {
        tokio::time::sleep(Duration::from_millis(1)).await;
        if count() == last_count || (is_first && changed_after > Duration::ZERO) {
            continue;
        }
        (last_count, changed_after) = (count(), start.elapsed());
    }
    changed_after.as_secs_f64() * 1_000.0
}

/// Stalls every open upstream connection once a second and measures searches meanwhile.
async fn measure_stalled_connections(rounds: usize) -> Result<()> {
    let cluster = Cluster::start(&cluster_setup(small_services(10), Tuning::default())).await?;
    let plan = load_plan(&cluster, 100.0, 5, 2);
    run_load(&cluster, &LoadPlan { duration: WARM_UP_TIME, ..plan.clone() }).await;
    let baseline = run_load(&cluster, &plan).await;
    println!("without stalls: {baseline}");
    let stalls = async {
        for _ in 0..rounds {
            for upstream in cluster.upstreams.values().flatten() {
                upstream.apply_fault(UpstreamFault::SilenceConnections);
            }
            tokio::time::sleep(Duration::from_secs(1)).await;
        }
    };
    let plan = LoadPlan { duration: Duration::from_secs(rounds as u64), ..plan };
    let (report, ()) = tokio::join!(run_load(&cluster, &plan), stalls);
    println!("connections stalled every second: {report}");
    Ok(())
}

/// Adds a new snapshot to the replicas one by one, then removes the old one from each, and measures
/// searches meanwhile.
async fn measure_snapshot_rolls(rounds: usize) -> Result<()> {
    let services = small_services(10);
    let cluster = Cluster::start(&cluster_setup(services.clone(), Tuning::default())).await?;
    let plan = load_plan(&cluster, 100.0, 5, 5 * rounds as u64);
    run_load(&cluster, &LoadPlan { duration: WARM_UP_TIME, ..plan.clone() }).await;
    let rolls = async {
        let pause = Duration::from_millis(100);
        for round in 0..rounds as u64 {
            // The replicas start with snapshot 7.
            let (old, new) = (held_snapshot(7 + round), held_snapshot(8 + round));
            for upstream in cluster.upstreams.values().flatten() {
                upstream.apply_fault(UpstreamFault::Hold(vec![old.clone(), new.clone()]));
                tokio::time::sleep(pause).await;
            }
            for upstream in cluster.upstreams.values().flatten() {
                upstream.apply_fault(UpstreamFault::Hold(vec![new.clone()]));
                tokio::time::sleep(pause).await;
            }
        }
    };
    let (report, ()) = tokio::join!(run_load(&cluster, &plan), rolls);
    println!(
        "during {rounds} snapshot rolls: {:.2} % complete; {report}",
        report.complete_share() * 100.0
    );
    Ok(())
}

fn held_snapshot(id: u64) -> HeldSnapshot {
    HeldSnapshot { id, shards: shard_names(1), layout: shard_names(1) }
}

/// Sends a request that crashes replicas repeatedly through all nodes, under load.
async fn measure_crashing_request(rounds: usize) -> Result<()> {
    let cluster = Cluster::start(&cluster_setup(small_services(2), Tuning::default())).await?;
    let plan = load_plan(&cluster, 50.0, 1, 6);
    run_load(&cluster, &LoadPlan { duration: WARM_UP_TIME, ..plan.clone() }).await;
    for upstream in cluster.upstreams.values().flatten() {
        upstream.apply_fault(UpstreamFault::CrashOn(Some("kill".into())));
    }
    let body = json!({ "services": [plan.services[0]], "kind": "search", "body": "kill" });
    let client = reqwest::Client::builder().no_proxy().build()?;
    let sends = async {
        let mut sends = JoinSet::new();
        for round in 0..rounds {
            let url = format!("http://{}/v1/query", cluster.nodes[round % NODE_COUNT].address());
            sends.spawn(client.post(url).json(&body).send());
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        sends.join_all().await.len()
    };
    let (report, sent) = tokio::join!(run_load(&cluster, &plan), sends);
    let crashes: u32 = cluster.upstreams.values().flatten().map(UpstreamStandIn::crash_count).sum();
    println!("{sent} crashing requests caused {crashes} replica crashes; other requests: {report}");
    Ok(())
}

/// Restarts replicas under load, with requests sent through homes and by every node directly; a
/// cold replica crashes when it runs two requests at once.
async fn measure_cold_starts(rounds: usize) -> Result<()> {
    let direct_policy = ControlPolicy { bypasses_homes: true, ..ControlPolicy::default() };
    let direct = Tuning { control: direct_policy, ..Tuning::default() };
    for (label, tuning) in [("homes", Tuning::default()), ("direct", direct)] {
        let cold = Some(ColdStart { slowdown_factor: 4.0, warm_up_answers: 20, max_in_flight: 1 });
        let services = small_services(2)
            .into_iter()
            .map(|service| ServiceSetup { cold_start: cold, ..service })
            .collect();
        let cluster = Cluster::start(&cluster_setup(services, tuning)).await?;
        let plan = load_plan(&cluster, 200.0, 1, rounds as u64 * 2);
        run_load(&cluster, &LoadPlan { duration: WARM_UP_TIME, ..plan.clone() }).await;
        let restarts = async {
            for round in 0..rounds {
                let upstreams: Vec<_> = cluster.upstreams.values().flatten().collect();
                let down_ms = 100;
                upstreams[round % upstreams.len()].apply_fault(UpstreamFault::Crash { down_ms });
                tokio::time::sleep(Duration::from_secs(2)).await;
            }
        };
        let (report, ()) = tokio::join!(run_load(&cluster, &plan), restarts);
        let crashes: u32 =
            cluster.upstreams.values().flatten().map(UpstreamStandIn::crash_count).sum();
        println!(
            "{label}: {rounds} restarts, {} further crashes; {report}",
            crashes as usize - rounds
        );
    }
    Ok(())
}

/// Sends non-idempotent reorders at several rates and measures the store's write rate.
async fn measure_claims() -> Result<()> {
    for rate in [20, 100, 400] {
        let services = small_services(20).into_iter();
        let services =
            services.map(|service| ServiceSetup { deadline_ms: 1_000, ..service }).collect();
        let cluster = Cluster::start(&cluster_setup(services, Tuning::default())).await?;
        let search_plan = load_plan(&cluster, f64::from(rate), 1, 5);
        run_load(&cluster, &LoadPlan { duration: WARM_UP_TIME, ..search_plan.clone() }).await;
        let baseline = run_load(&cluster, &search_plan).await;
        let before = store_write_count(&cluster);
        let reorder_plan = LoadPlan { kind: "reorder".into(), ..search_plan };
        let report = run_load(&cluster, &reorder_plan).await;
        tokio::time::sleep(Duration::from_secs(1)).await;
        let per_s =
            (store_write_count(&cluster) - before) as f64 / reorder_plan.duration.as_secs_f64();
        println!("{rate}/s: {per_s:.0} store writes/s; searches: {baseline}");
        println!("{rate}/s: reorders: {report}");
    }
    Ok(())
}

fn store_write_count(cluster: &Cluster) -> u64 {
    cluster.platform.call_counts().get("write").copied().unwrap_or(0)
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
    cluster: &Cluster,
    rate_per_s: f64,
    services_per_query: usize,
    seconds: u64,
) -> LoadPlan {
    LoadPlan {
        rate_per_s,
        duration: Duration::from_secs(seconds),
        services: cluster.services.keys().cloned().collect(),
        services_per_query,
        kind: "search".into(),
        min_coverage: 0.0,
        seed: 1,
    }
}

/// Returns the replicas in a failure domain.
fn upstreams_in_domain<'a>(cluster: &'a Cluster, domain: &str) -> Vec<&'a UpstreamStandIn> {
    let specs = cluster.services.values().flat_map(|service| &service.upstreams);
    let pairs = specs.zip(cluster.upstreams.values().flatten());
    pairs.filter(|(spec, _)| spec.failure_domain == domain).map(|(_, upstream)| upstream).collect()
}

async fn publish_change(platform: &PlatformClient, change: PublishRequest) -> Result<()> {
    match publish(platform, change, "operator".into(), |_| {}).await {
        PublishOutcome::Done { .. } => Ok(()),
        outcome => bail!("the change was not published: {outcome:?}"),
    }
}

/// Formats the median, the 99th percentile and the maximum of some times.
fn format_quantiles(mut times_ms: Vec<f64>) -> String {
    times_ms.sort_by(f64::total_cmp);
    let at = |quantile: f64| times_ms[((times_ms.len() - 1) as f64 * quantile).round() as usize];
    let count = times_ms.len();
    format!("ms p50 {:.0}, p99 {:.0}, max {:.0} of {count}", at(0.5), at(0.99), at(1.0))
}
