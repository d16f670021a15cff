//! An open-loop load generator: queries are sent when they are due, whether or not earlier ones
//! have ended.

use std::fmt::{self, Display, Formatter};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use ecow::EcoString;
use hdrhistogram::Histogram;
use indexmap::IndexMap;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp};
use reqwest::{Client, StatusCode};
use sassafrasproxy_wire::{Coverage, FailureReason, QueryAnswer, REQUEST_ID_HEADER, Refusal};
use serde_json::json;
use tokio::task::JoinSet;

use crate::Cluster;

/// The highest latency that is recorded exactly, in microseconds; higher ones count as this.
const MAX_LATENCY_US: u64 = 120_000_000;

/// The load to generate.
#[derive(Debug, Clone)]
pub struct LoadPlan {
    /// The mean number of queries per second; arrivals form a Poisson process.
    pub rate_per_s: f64,
    /// The time during which queries are sent.
    pub duration: Duration,
    /// The services that queries choose from.
    pub services: Vec<EcoString>,
    /// The number of services that each query asks.
    pub services_per_query: usize,
    /// The kind of every request; each request has its own request id.
    pub kind: EcoString,
    /// The minimum coverage that each query accepts, from 0 to 1.
    pub min_coverage: f64,
    /// The seed of arrival times, services and ids.
    pub seed: u64,
}

/// The results of a load.
#[derive(Debug, Clone)]
pub struct LoadReport {
    /// The number of queries sent.
    pub sent: u64,
    /// The number of queries whose answers cover every shard.
    pub complete: u64,
    /// The number of queries whose answers miss some shards.
    pub partial: u64,
    /// The number of shards missing from answers, by reason.
    pub missing_shards: IndexMap<FailureReason, u64>,
    /// The number of refused queries, by outcome and reason.
    pub refusals: IndexMap<EcoString, u64>,
    /// The number of queries without a valid answer.
    pub failed: u64,
    /// The time from when a query was due until it ended, in microseconds.
    pub latency_us: Histogram<u64>,
    /// The number of shards requested by all queries that were answered or refused for coverage.
    pub requested_shards: u64,
    /// The number of requests that upstreams started.
    pub upstream_runs: u64,
    /// The maximum number of concurrent requests at any replica, by its number of slots.
    pub max_in_flight: IndexMap<u32, u32>,
}

/// The outcome of one query.
enum QueryOutcome {
    Answered { coverage: Coverage },
    Refused { reason: EcoString, shards: usize },
    Failed,
}

/// Sends a load to all nodes in turn and returns the results once all queries have ended.
///
/// A query's latency counts from when it was due, so that a late send counts too.
///
/// Panics if the plan's `rate_per_s` is not positive.
pub async fn run_load(cluster: &Cluster, plan: &LoadPlan) -> LoadReport {
    let runs_before = total_run_count(cluster);
    take_max_running_by_slots(cluster);
    let addresses: Vec<SocketAddr> =
        cluster.nodes.iter().map(sassafrasproxy_node::Node::address).collect();
    let client = Client::builder().no_proxy().pool_max_idle_per_host(256).build();
    let client = client.expect("building a client without TLS succeeds");
    let mut rng = StdRng::seed_from_u64(plan.seed);
    let intervals = Exp::new(plan.rate_per_s).expect("`rate_per_s` must be positive");
    let mut report = LoadReport::new();
    let mut queries = JoinSet::new();
    let start = Instant::now();
    let mut due_s = 0.0;
    loop {
        due_s += intervals.sample(&mut rng);
        let due = start + Duration::from_secs_f64(due_s);
        if due >= start + plan.duration {
            break;
        }
        let services: Vec<&EcoString> =
            plan.services.sample(&mut rng, plan.services_per_query).collect();
        let body = json!({
            "services": services,
            "kind": plan.kind,
            "body": { "text": format!("verse {}", rng.random::<u32>()) },
            "min_coverage": plan.min_coverage,
        });
        let address = addresses[report.sent as usize % addresses.len()];
        let id = format!("load-{:016x}", rng.random::<u64>());
        let request = client.post(format!("http://{address}/v1/query")).json(&body);
        let request = request.header(REQUEST_ID_HEADER, id);
        report.sent += 1;
        tokio::time::sleep_until(due.into()).await;
        queries.spawn(async move {
            let outcome = send_query(request).await;
            (outcome, due.elapsed())
        });
        while let Some(Ok((outcome, latency))) = queries.try_join_next() {
            report.record_query(outcome, latency);
        }
    }
    while let Some(joined) = queries.join_next().await {
        if let Ok((outcome, latency)) = joined {
            report.record_query(outcome, latency);
        }
    }
    report.upstream_runs = total_run_count(cluster) - runs_before;
    report.max_in_flight = take_max_running_by_slots(cluster);
    report
}

/// Sends one query and reads its answer.
async fn send_query(request: reqwest::RequestBuilder) -> QueryOutcome {
    let Ok(response) = request.send().await else { return QueryOutcome::Failed };
    if response.status() == StatusCode::OK {
        let Ok(answer) = response.json::<QueryAnswer>().await else { return QueryOutcome::Failed };
        return QueryOutcome::Answered { coverage: answer.coverage };
    }
    let Ok(refusal) = response.json::<Refusal>().await else { return QueryOutcome::Failed };
    let coverage = refusal.coverage.unwrap_or_default();
    let reason = ecow::eco_format!("{:?}/{}", refusal.outcome, refusal.reason).to_lowercase();
    QueryOutcome::Refused { reason, shards: coverage.covered.len() + coverage.missing.len() }
}

impl LoadReport {
    fn new() -> Self {
        Self {
            sent: 0,
            complete: 0,
            partial: 0,
            missing_shards: IndexMap::new(),
            refusals: IndexMap::new(),
            failed: 0,
            latency_us: Histogram::new_with_bounds(1, MAX_LATENCY_US, 3)
                .expect("the bounds are constants that are valid"),
            requested_shards: 0,
            upstream_runs: 0,
            max_in_flight: IndexMap::new(),
        }
    }

    /// Returns the latency at a quantile, in milliseconds.
    pub fn latency_quantile_ms(&self, quantile: f64) -> f64 {
        self.latency_us.value_at_quantile(quantile) as f64 / 1_000.0
    }

    /// Returns the share of sent queries whose answers cover every shard, from 0 to 1.
    pub fn complete_share(&self) -> f64 {
        self.complete as f64 / self.sent.max(1) as f64
    }

    /// Returns the number of upstream runs per requested shard.
    pub fn runs_per_shard(&self) -> f64 {
        self.upstream_runs as f64 / self.requested_shards.max(1) as f64
    }

    fn record_query(&mut self, outcome: QueryOutcome, latency: Duration) {
        self.latency_us.saturating_record(latency.as_micros() as u64);
        match outcome {
            QueryOutcome::Answered { coverage } => {
                self.requested_shards += (coverage.covered.len() + coverage.missing.len()) as u64;
                if coverage.missing.is_empty() {
                    self.complete += 1;
                } else {
                    self.partial += 1;
                }
                for missing in coverage.missing {
                    *self.missing_shards.entry(missing.reason).or_default() += 1;
                }
            }
            QueryOutcome::Refused { reason, shards } => {
                self.requested_shards += shards as u64;
                *self.refusals.entry(reason).or_default() += 1;
            }
            QueryOutcome::Failed => self.failed += 1,
        }
    }
}

impl Display for LoadReport {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} sent, {} complete, {} partial {:?}",
            self.sent, self.complete, self.partial, self.missing_shards
        )?;
        write!(f, ", refused {:?}, {} failed", self.refusals, self.failed)?;
        write!(f, "; ms p50 {:.1}", self.latency_quantile_ms(0.5))?;
        write!(f, ", p95 {:.1}", self.latency_quantile_ms(0.95))?;
        write!(f, ", p99 {:.1}", self.latency_quantile_ms(0.99))?;
        write!(f, ", max {:.1}", self.latency_quantile_ms(1.0))?;
        write!(f, "; runs per requested shard {:.3}", self.runs_per_shard())?;
        write!(f, "; max in flight by slots {:?}", self.max_in_flight)
    }
}

fn total_run_count(cluster: &Cluster) -> u64 {
    cluster.upstreams.values().flatten().map(super::upstream::UpstreamStandIn::run_count).sum()
}

/// Returns and resets the maximum number of concurrent requests at any replica, by its number of
/// slots.
fn take_max_running_by_slots(cluster: &Cluster) -> IndexMap<u32, u32> {
    let mut max_running_by_slots = IndexMap::new();
    for upstream in cluster.upstreams.values().flatten() {
        let max_running = upstream.take_max_running();
        let max_for_slots = max_running_by_slots.entry(upstream.slots()).or_insert(0);
        *max_for_slots = max_running.max(*max_for_slots);
    }
    max_running_by_slots
}
