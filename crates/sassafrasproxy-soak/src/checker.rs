//! Sends the callers' requests and checks their answers against what the replicas ran.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use sassafrasproxy_platform_standin::{CallerAnswer, PersistentCaller, ReplicaStandIn};

use crate::cluster::{Cluster, GatewayAddresses, SHARD_COUNT, shard_record};
use crate::keys::Key;

/// The deadline of a caller's request, in milliseconds; well beyond the route's timeout.
const CALLER_DEADLINE_MS: u64 = 2_000;

/// The time after which a caller gives up on an answer.
///
/// It exceeds the deadline, since a paused gateway holds the connection open without an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(4);

/// The results that callers have recorded so far.
#[derive(Debug, Clone, Default)]
pub struct CallerReport {
    /// The violations found in single answers.
    pub violations: Vec<String>,
    /// The number of requests that ended with each status; 0 stands for no answer.
    pub status_counts: IndexMap<u16, usize>,
}

/// Sends callers' requests and checks their answers; clones share one state.
#[derive(Clone, Default)]
pub struct Checker {
    state: Arc<State>,
}

#[derive(Default)]
struct State {
    is_stopped: AtomicBool,
    next_request: AtomicU64,
    report: Mutex<CallerReport>,
    /// The status of each order (a non-idempotent request) by attempt id; 0 stands for no answer.
    order_statuses: Mutex<IndexMap<String, u16>>,
    /// Whether all faults are cleared and only planned restarts of gateways happen.
    has_only_planned_restarts: AtomicBool,
    /// The number of the first request that was sent during the planned restarts.
    first_during_restarts: AtomicU64,
    /// The attempt ids of requests that were sent during the planned restarts and got no answer.
    unanswered_requests: Mutex<Vec<String>>,
}

impl Checker {
    /// Stops the callers after their current requests.
    pub fn stop(&self) {
        self.state.is_stopped.store(true, Ordering::Relaxed);
    }

    /// Marks the start of the phase in which only planned restarts of gateways happen.
    pub fn begin_planned_restarts(&self) {
        let next = self.state.next_request.load(Ordering::Relaxed);
        self.state.first_during_restarts.store(next, Ordering::Relaxed);
        self.state.has_only_planned_restarts.store(true, Ordering::Relaxed);
    }

    /// Returns the results that callers have recorded so far.
    pub fn report(&self) -> CallerReport {
        self.state.report.lock().unwrap().clone()
    }

    /// Sends requests to the gateways in turn until `stop` is called; every second caller reuses
    /// its connection until the gateway closes it.
    pub async fn run_caller(self, caller: usize, addresses: GatewayAddresses, pause: Duration) {
        let reuses_connection = caller % 2 == 1;
        let mut connection = PersistentCaller::default();
        while !self.state.is_stopped.load(Ordering::Relaxed) {
            let number = self.state.next_request.fetch_add(1, Ordering::Relaxed);
            let address = {
                let addresses = addresses.lock().unwrap();
                addresses[(number as usize + caller) % addresses.len()]
            };
            let attempt = format!("a{number}");
            let kind = ["all", "one", "order"][number as usize % 3];
            let path = format!("/{kind}/{number}");
            if !reuses_connection {
                connection = PersistentCaller::default();
            }
            let has_only_planned_restarts =
                self.state.has_only_planned_restarts.load(Ordering::Relaxed);
            let key = Key::of_request(number);
            let authorization = format!("Bearer {}", key.text());
            let headers = [("authorization", authorization.as_str())];
            let request = connection.send_get(
                address,
                "soak.example",
                &path,
                &attempt,
                CALLER_DEADLINE_MS,
                &headers,
            );
            let answer = tokio::time::timeout(ANSWER_TIMEOUT, request).await;
            let answer = answer.ok().and_then(Result::ok);
            if has_only_planned_restarts && answer.is_none() {
                self.state.unanswered_requests.lock().unwrap().push(attempt.clone());
            }
            self.record_answer(kind, key, attempt, answer.as_ref());
            tokio::time::sleep(pause).await;
        }
    }

    fn record_answer(&self, kind: &str, key: Key, attempt: String, answer: Option<&CallerAnswer>) {
        let status = answer.map_or(0, |answer| answer.status.as_u16());
        let mut report = self.state.report.lock().unwrap();
        *report.status_counts.entry(status).or_default() += 1;
        if kind == "order" {
            self.state.order_statuses.lock().unwrap().insert(attempt.clone(), status);
        }
        if status == 401 && key.is_permanent() {
            report.violations.push(format!("{attempt}: a key of an account was refused: {key:?}"));
        }
        let Some(answer) = answer.filter(|answer| answer.status == 200) else { return };
        let violation = match kind {
            "all" => check_merged_answer(answer),
            _ => check_single_answer(answer, &attempt),
        };
        report.violations.extend(violation.map(|violation| format!("{attempt}: {violation}")));
    }

    /// Returns the violations of three rules: an order runs at most once, an order that was refused
    /// as not run ran on no replica, and no request that reached a replica during a planned
    /// restart stays without an answer.
    pub fn check_replicas(&self, cluster: &Cluster) -> Vec<String> {
        let mut runs: IndexMap<String, usize> = IndexMap::new();
        for replica in cluster.replicas.iter().chain(&cluster.failing_version_replicas) {
            for attempt in replica.started_attempt_ids() {
                *runs.entry(attempt).or_default() += 1;
            }
        }
        let orders = self.state.order_statuses.lock().unwrap();
        let mut violations = Vec::new();
        for (attempt, status) in orders.iter() {
            let count = runs.get(attempt).copied().unwrap_or(0);
            if count > 1 {
                violations.push(format!(
                    "{attempt}: the order ran {count} times; it may run at most once"
                ));
            }
            if *status == 503 && count > 0 {
                violations.push(format!(
                    "{attempt}: the order ran although it was refused with 503 as not run"
                ));
            }
        }
        for attempt in self.state.unanswered_requests.lock().unwrap().iter() {
            if runs.contains_key(attempt) {
                violations.push(format!(
                    "{attempt}: a replica ran the request during planned restarts, \
                     but the caller got no answer"
                ));
            }
        }
        violations.extend(self.check_accounts(cluster));
        violations
    }

    /// Returns the violations of three rules: a replica is told an account that has the caller's key
    /// in some configuration, it never gets the key, and no request runs long after its key was
    /// removed.
    fn check_accounts(&self, cluster: &Cluster) -> Vec<String> {
        let first_during_restarts = self.state.first_during_restarts.load(Ordering::Relaxed);
        let replicas = cluster.replicas.iter().chain(&cluster.failing_version_replicas);
        let mut violations = Vec::new();
        for request in replicas.flat_map(ReplicaStandIn::received_requests) {
            let number = request.attempt_id.strip_prefix('a').and_then(|id| id.parse().ok());
            // Health checks have no number.
            let Some(number) = number else { continue };
            let key = Key::of_request(number);
            let is_removed = key == Key::Removed && number >= first_during_restarts;
            let [account] = &request.accounts[..] else {
                violations.push(format!("{request:?}: not one account"));
                continue;
            };
            if !key.accounts().contains(&account.as_str()) || is_removed {
                violations.push(format!("{request:?}: ran for the wrong account, key {key:?}"));
            }
            if !request.credentials.is_empty() {
                violations.push(format!("{request:?}: the key reached a replica"));
            }
        }
        violations
    }
}

/// Returns a violation unless an answer carries this request's id and the replica's whole record.
fn check_single_answer(answer: &CallerAnswer, attempt: &str) -> Option<String> {
    let is_own = answer.attempt_id() == attempt;
    let is_whole = answer.body == shard_record(2 * SHARD_COUNT as u8);
    (!is_own || !is_whole)
        .then(|| format!("the answer belongs to another request or has a wrong body: {answer:?}"))
}

/// Returns a violation unless a merged answer names each part once and holds the top records of
/// exactly these parts.
fn check_merged_answer(answer: &CallerAnswer) -> Option<String> {
    let stamps = answer.part_stamps();
    let shards: Option<IndexSet<u8>> = stamps.iter().map(|stamp| shard_of_stamp(stamp)).collect();
    let Some(missing) = answer.missing_shard_count() else {
        return Some(format!("no count of the missing parts: {:?}", answer.headers));
    };
    let Some(mut shards) = shards.filter(|shards| shards.len() == stamps.len()) else {
        return Some(format!(
            "the part stamps name an unknown shard, or one shard twice: {stamps:?}"
        ));
    };
    shards.sort();
    let expected_body: Vec<u8> =
        shards.iter().rev().take(2).flat_map(|shard| shard_record(2 * shard)).collect();
    if stamps.len() + missing != SHARD_COUNT || answer.body != expected_body {
        return Some(format!(
            "wrong shard count or body: parts {stamps:?}, {missing} missing, body {:?}",
            answer.body
        ));
    }
    None
}

/// Returns the shard of the replica that a part stamp names: `r5.17` is replica 5, of shard 2.
fn shard_of_stamp(stamp: &str) -> Option<u8> {
    let replica: u8 = stamp.strip_prefix('r')?.split('.').next()?.parse().ok()?;
    (replica < 2 * SHARD_COUNT as u8).then_some(replica / 2)
}
