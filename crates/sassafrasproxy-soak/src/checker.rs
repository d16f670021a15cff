//! What callers ask, and what must hold of what they and the replicas see.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use sassafrasproxy_platform_standin::{CallerAnswer, PersistentCaller};

use crate::cluster::{Cluster, GatewayAddresses, SHARD_COUNT, shard_record};

/// How long a caller waits, in milliseconds; well beyond the route's timeout.
const CALLER_DEADLINE_MS: u64 = 2_000;

/// How long beyond that a caller keeps its connection open; a paused process holds it as long.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(4);

/// What callers saw so far.
#[derive(Debug, Clone, Default)]
pub struct CallerReport {
    /// Broken promises.
    pub violations: Vec<String>,
    /// How many requests ended with each status; 0 without an answer.
    pub status_counts: IndexMap<u16, usize>,
}

/// The callers' shared record.
#[derive(Clone, Default)]
pub struct Checker {
    state: Arc<State>,
}

#[derive(Default)]
struct State {
    is_stopped: AtomicBool,
    next_request: AtomicU64,
    report: Mutex<CallerReport>,
    /// Orders, with the status that each caller got.
    order_statuses: Mutex<IndexMap<String, u16>>,
    /// Whether nothing is wrong but that gateways are stopped and started as planned.
    has_only_planned_restarts: AtomicBool,
    /// Requests of the calm time that ended without an answer.
    unanswered_requests: Mutex<Vec<String>>,
}

impl Checker {
    /// Ends the callers after their current requests.
    pub fn stop(&self) {
        self.state.is_stopped.store(true, Ordering::Relaxed);
    }

    /// From now on only planned stops and starts of gateways happen.
    pub fn begin_planned_restarts(&self) {
        self.state.has_only_planned_restarts.store(true, Ordering::Relaxed);
    }

    /// What callers saw.
    pub fn report(&self) -> CallerReport {
        self.state.report.lock().unwrap().clone()
    }

    /// Asks one gateway after the other until the soak ends; every second caller keeps its
    /// connection until the gateway ends it.
    pub async fn run_caller(self, caller: usize, addresses: GatewayAddresses, pause: Duration) {
        let is_keeping = caller % 2 == 1;
        let mut kept = PersistentCaller::default();
        while !self.state.is_stopped.load(Ordering::Relaxed) {
            let number = self.state.next_request.fetch_add(1, Ordering::Relaxed);
            let address = {
                let addresses = addresses.lock().unwrap();
                addresses[(number as usize + caller) % addresses.len()]
            };
            let attempt = format!("a{number}");
            let kind = ["all", "one", "order"][number as usize % 3];
            let path = format!("/{kind}/{number}");
            if !is_keeping {
                kept = PersistentCaller::default();
            }
            let is_calm = self.state.has_only_planned_restarts.load(Ordering::Relaxed);
            let asked = kept.send_get(address, "soak.example", &path, &attempt, CALLER_DEADLINE_MS);
            let answer = tokio::time::timeout(ANSWER_TIMEOUT, asked).await;
            let answer = answer.ok().and_then(Result::ok);
            if is_calm && answer.is_none() {
                self.state.unanswered_requests.lock().unwrap().push(attempt.clone());
            }
            self.record_answer(kind, attempt, answer.as_ref());
            tokio::time::sleep(pause).await;
        }
    }

    fn record_answer(&self, kind: &str, attempt: String, answer: Option<&CallerAnswer>) {
        let status = answer.map_or(0, |answer| answer.status.as_u16());
        let mut tally = self.state.report.lock().unwrap();
        *tally.status_counts.entry(status).or_default() += 1;
        if kind == "order" {
            self.state.order_statuses.lock().unwrap().insert(attempt.clone(), status);
        }
        let Some(answer) = answer.filter(|answer| answer.status == 200) else { return };
        let wrong = match kind {
            "all" => check_merged_answer(answer),
            _ => check_single_answer(answer, &attempt),
        };
        tally.violations.extend(wrong.map(|wrong| format!("{attempt}: {wrong}")));
    }

    /// Orders run once at most, what was refused as not run ran nowhere, and no request that
    /// reached a replica was lost by a planned stop.
    pub fn check_replicas(&self, fleet: &Cluster) -> Vec<String> {
        let mut runs: IndexMap<String, usize> = IndexMap::new();
        for replica in fleet.replicas.iter().chain(&fleet.failing_version_replicas) {
            for attempt in replica.started_attempt_ids() {
                *runs.entry(attempt).or_default() += 1;
            }
        }
        let orders = self.state.order_statuses.lock().unwrap();
        let mut broken = Vec::new();
        for (attempt, status) in orders.iter() {
            let count = runs.get(attempt).copied().unwrap_or(0);
            if count > 1 {
                broken.push(format!("{attempt}: an order ran {count} times"));
            }
            if *status == 503 && count > 0 {
                broken.push(format!("{attempt}: an order that was refused as not run has run"));
            }
        }
        for attempt in self.state.unanswered_requests.lock().unwrap().iter() {
            if runs.contains_key(attempt) {
                broken.push(format!("{attempt}: a planned stop lost the answer"));
            }
        }
        broken
    }
}

/// A single answer is the replica's own, to this request.
fn check_single_answer(answer: &CallerAnswer, attempt: &str) -> Option<String> {
    let is_own = answer.attempt_id() == attempt;
    let is_whole = answer.body == shard_record(2 * SHARD_COUNT as u8);
    (!is_own || !is_whole).then(|| format!("not the replica's answer: {answer:?}"))
}

/// A merged answer names each part once, and holds the greatest records of just these parts.
fn check_merged_answer(answer: &CallerAnswer) -> Option<String> {
    let stamps = answer.part_stamps();
    let shards: Option<IndexSet<u8>> = stamps.iter().map(|stamp| shard_of_stamp(stamp)).collect();
    let missing = answer.missing_shard_count()?;
    let Some(mut shards) = shards.filter(|shards| shards.len() == stamps.len()) else {
        return Some(format!("a shard that is no shard, or one twice: {stamps:?}"));
    };
    shards.sort();
    let greatest: Vec<u8> =
        shards.iter().rev().take(2).flat_map(|shard| shard_record(2 * shard)).collect();
    if stamps.len() + missing != SHARD_COUNT || answer.body != greatest {
        return Some(format!("{stamps:?}, {missing} missing, with {:?}", answer.body));
    }
    None
}

/// The shard whose replica signed: `r5.17` is replica 5 of shard 2.
fn shard_of_stamp(stamp: &str) -> Option<u8> {
    let replica: u8 = stamp.strip_prefix('r')?.split('.').next()?.parse().ok()?;
    (replica < 2 * SHARD_COUNT as u8).then_some(replica / 2)
}
