//! What callers ask, and what must hold of what they and the replicas see.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use sassafrasproxy_platform_standin::{CallerAnswer, PersistentCaller};

use crate::fleet::{Addresses, Fleet, SHARDS, record};

/// How long a caller waits, in milliseconds; well beyond the route's timeout.
const DEADLINE_MS: u64 = 2_000;

/// How long beyond that a caller keeps its connection open; a paused process holds it as long.
const PATIENCE: Duration = Duration::from_secs(4);

/// What callers saw so far.
#[derive(Debug, Clone, Default)]
pub struct Tally {
    /// Broken promises.
    pub broken: Vec<String>,
    /// How many requests ended with each status; 0 without an answer.
    pub answers: IndexMap<u16, usize>,
}

/// The callers' shared record.
#[derive(Clone, Default)]
pub struct Check {
    state: Arc<State>,
}

#[derive(Default)]
struct State {
    is_over: AtomicBool,
    next: AtomicU64,
    tally: Mutex<Tally>,
    /// Orders, with the status that each caller got.
    orders: Mutex<IndexMap<String, u16>>,
    /// Whether nothing is wrong but that gateways are stopped and started as planned.
    is_calm: AtomicBool,
    /// Requests of the calm time that ended without an answer.
    lost: Mutex<Vec<String>>,
}

impl Check {
    /// Ends the callers after their current requests.
    pub fn stop(&self) {
        self.state.is_over.store(true, Ordering::Relaxed);
    }

    /// From now on only planned stops and starts of gateways happen.
    pub fn begin_calm(&self) {
        self.state.is_calm.store(true, Ordering::Relaxed);
    }

    /// What callers saw.
    pub fn tally(&self) -> Tally {
        self.state.tally.lock().unwrap().clone()
    }

    /// Asks one gateway after the other until the soak ends; every second caller keeps its
    /// connection until the gateway ends it.
    pub async fn ask_on(self, caller: usize, addresses: Addresses, pause: Duration) {
        let is_keeping = caller % 2 == 1;
        let mut kept = PersistentCaller::default();
        while !self.state.is_over.load(Ordering::Relaxed) {
            let number = self.state.next.fetch_add(1, Ordering::Relaxed);
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
            let is_calm = self.state.is_calm.load(Ordering::Relaxed);
            let asked = kept.send_get(address, "soak.example", &path, &attempt, DEADLINE_MS);
            let answer = tokio::time::timeout(PATIENCE, asked).await;
            let answer = answer.ok().and_then(Result::ok);
            if is_calm && answer.is_none() {
                self.state.lost.lock().unwrap().push(attempt.clone());
            }
            self.note(kind, attempt, answer.as_ref());
            tokio::time::sleep(pause).await;
        }
    }

    fn note(&self, kind: &str, attempt: String, answer: Option<&CallerAnswer>) {
        let status = answer.map_or(0, |answer| answer.status.as_u16());
        let mut tally = self.state.tally.lock().unwrap();
        *tally.answers.entry(status).or_default() += 1;
        if kind == "order" {
            self.state.orders.lock().unwrap().insert(attempt.clone(), status);
        }
        let Some(answer) = answer.filter(|answer| answer.status == 200) else { return };
        let wrong = match kind {
            "all" => wrong_merge(answer),
            _ => wrong_single(answer, &attempt),
        };
        tally.broken.extend(wrong.map(|wrong| format!("{attempt}: {wrong}")));
    }

    /// Orders run once at most, what was refused as not run ran nowhere, and no request that
    /// reached a replica was lost by a planned stop.
    pub fn against_replicas(&self, fleet: &Fleet) -> Vec<String> {
        let mut runs: IndexMap<String, usize> = IndexMap::new();
        for replica in fleet.replicas.iter().chain(&fleet.bad_version) {
            for attempt in replica.started_attempt_ids() {
                *runs.entry(attempt).or_default() += 1;
            }
        }
        let orders = self.state.orders.lock().unwrap();
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
        for attempt in self.state.lost.lock().unwrap().iter() {
            if runs.contains_key(attempt) {
                broken.push(format!("{attempt}: a planned stop lost the answer"));
            }
        }
        broken
    }
}

/// A single answer is the replica's own, to this request.
fn wrong_single(answer: &CallerAnswer, attempt: &str) -> Option<String> {
    let is_own = answer.attempt_id() == attempt;
    let is_whole = answer.body == record(2 * SHARDS as u8);
    (!is_own || !is_whole).then(|| format!("not the replica's answer: {answer:?}"))
}

/// A merged answer names each part once, and holds the greatest records of just these parts.
fn wrong_merge(answer: &CallerAnswer) -> Option<String> {
    let stamps = answer.part_stamps();
    let shards: Option<IndexSet<u8>> = stamps.iter().map(|stamp| shard_of(stamp)).collect();
    let missing = answer.missing_shard_count()?;
    let Some(mut shards) = shards.filter(|shards| shards.len() == stamps.len()) else {
        return Some(format!("a shard that is no shard, or one twice: {stamps:?}"));
    };
    shards.sort();
    let greatest: Vec<u8> =
        shards.iter().rev().take(2).flat_map(|shard| record(2 * shard)).collect();
    if stamps.len() + missing != SHARDS || answer.body != greatest {
        return Some(format!("{stamps:?}, {missing} missing, with {:?}", answer.body));
    }
    None
}

/// The shard whose replica signed: `r5.17` is replica 5 of shard 2.
fn shard_of(stamp: &str) -> Option<u8> {
    let replica: u8 = stamp.strip_prefix('r')?.split('.').next()?.parse().ok()?;
    (replica < 2 * SHARDS as u8).then_some(replica / 2)
}
