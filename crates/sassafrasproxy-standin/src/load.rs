//! An open-loop load generator.

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

/// The longest latency told apart, in microseconds.
const MAX_LATENCY_US: u64 = 120_000_000;

/// What load to offer.
#[derive(Debug, Clone)]
pub struct LoadPlan {
    /// Queries a second.
    pub rate_per_s: f64,
    /// How long.
    pub duration: Duration,
    /// The services to choose from.
    pub services: Vec<EcoString>,
    /// How many of them each query asks.
    pub services_per_query: usize,
    /// The kind of request; each gets a request id of its own.
    pub kind: EcoString,
    /// The least coverage that each query asks for.
    pub min_coverage: f64,
    /// The seed of arrivals and choices.
    pub seed: u64,
}

/// What came of a load.
#[derive(Debug, Clone)]
pub struct LoadReport {
    /// Queries sent.
    pub sent: u64,
    /// Queries answered, by whether they cover everything.
    pub complete: u64,
    /// Queries answered with some shards missing.
    pub partial: u64,
    /// Shards that were missing from answers, by reason.
    pub missing_shards: IndexMap<FailureReason, u64>,
    /// Refusals by reason.
    pub refusals: IndexMap<EcoString, u64>,
    /// Queries that got no readable answer.
    pub failed: u64,
    /// From the time that the query was due to its whole answer, in microseconds.
    pub latency_us: Histogram<u64>,
    /// Shards asked for over all queries that were answered or refused for coverage.
    pub requested_shards: u64,
    /// Requests that upstreams began to run.
    pub upstream_runs: u64,
    /// The most requests that any replica saw at once, by its slots.
    pub max_in_flight: IndexMap<u32, u32>,
}

/// How one query ended.
enum QueryOutcome {
    Answered { coverage: Coverage },
    Refused { reason: EcoString, shards: usize },
    Failed,
}

/// Offers a load to all nodes in turn; a query's latency counts from when it was due.
pub async fn run_load(fleet: &Cluster, plan: &LoadPlan) -> LoadReport {
    let runs_before = total_run_count(fleet);
    take_max_running_by_slots(fleet);
    let addresses: Vec<SocketAddr> =
        fleet.nodes.iter().map(sassafrasproxy_node::Node::address).collect();
    let client = Client::builder().no_proxy().pool_max_idle_per_host(256).build();
    let client = client.expect("a client without TLS always builds");
    let mut rng = StdRng::seed_from_u64(plan.seed);
    let gaps = Exp::new(plan.rate_per_s).expect("the rate is positive");
    let mut report = LoadReport::new();
    let mut queries = JoinSet::new();
    let start = Instant::now();
    let mut due_s = 0.0;
    loop {
        due_s += gaps.sample(&mut rng);
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
            let ended = send_query(request).await;
            (ended, due.elapsed())
        });
        while let Some(Ok((ended, took))) = queries.try_join_next() {
            report.record_query(ended, took);
        }
    }
    while let Some(ended) = queries.join_next().await {
        if let Ok((ended, took)) = ended {
            report.record_query(ended, took);
        }
    }
    report.upstream_runs = total_run_count(fleet) - runs_before;
    report.max_in_flight = take_max_running_by_slots(fleet);
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

    /// The latency at a quantile, in milliseconds.
    pub fn latency_quantile_ms(&self, quantile: f64) -> f64 {
        self.latency_us.value_at_quantile(quantile) as f64 / 1_000.0
    }

    /// The share of queries that were answered in full, 0 to 1.
    pub fn complete_share(&self) -> f64 {
        self.complete as f64 / self.sent.max(1) as f64
    }

    /// Runs in upstreams for each shard asked.
    pub fn runs_per_shard(&self) -> f64 {
        self.upstream_runs as f64 / self.requested_shards.max(1) as f64
    }

    fn record_query(&mut self, ended: QueryOutcome, took: Duration) {
        self.latency_us.saturating_record(took.as_micros() as u64);
        match ended {
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
            "{} sent, {} full, {} thin {:?}",
            self.sent, self.complete, self.partial, self.missing_shards
        )?;
        write!(f, ", refused {:?}, {} failed", self.refusals, self.failed)?;
        write!(f, "; ms p50 {:.1}", self.latency_quantile_ms(0.5))?;
        write!(f, ", p95 {:.1}", self.latency_quantile_ms(0.95))?;
        write!(f, ", p99 {:.1}", self.latency_quantile_ms(0.99))?;
        write!(f, ", max {:.1}", self.latency_quantile_ms(1.0))?;
        write!(f, "; runs per shard asked {:.3}", self.runs_per_shard())?;
        write!(f, "; most in flight by slots {:?}", self.max_in_flight)
    }
}

fn total_run_count(fleet: &Cluster) -> u64 {
    fleet.upstreams.values().flatten().map(super::upstream::UpstreamStandIn::run_count).sum()
}

/// The most that any replica saw at once, by its slots.
fn take_max_running_by_slots(fleet: &Cluster) -> IndexMap<u32, u32> {
    let mut most = IndexMap::new();
    for upstream in fleet.upstreams.values().flatten() {
        let running = upstream.take_max_running();
        let entry = most.entry(upstream.slots()).or_insert(0);
        *entry = running.max(*entry);
    }
    most
}
