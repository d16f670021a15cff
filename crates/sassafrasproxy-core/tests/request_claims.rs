//! Claims of request keys on several nodes, while calls to the store fail or are delayed.
//!
//! The seed is set in `.cargo/config.toml`. Other values of `PROPTEST_RNG_SEED` and
//! `PROPTEST_CASES` in the environment widen the search.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::collections::BTreeMap;

use ecow::{EcoString, eco_format};
use indexmap::{IndexMap, IndexSet};
use proptest::prelude::*;
use sassafrasproxy_core::{
    ClaimBucket, ClaimEffect, ClaimEvent, ClaimId, ClaimPolicy, StoreCall, StoreResult,
};
use sassafrasproxy_wire::{ClaimAnswer, ClaimRequest, Ending, RecordEndingRequest};

/// One millisecond, in microseconds.
const MS: u64 = 1_000;
const EPOCH_MS: u64 = 10_000;

/// The fault of one store call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    /// The call has no effect and fails.
    Lost,
    /// The call takes effect, but its answer is lost.
    LostAnswer,
    /// The call fails, but takes effect when the node's next call ends.
    Delayed,
}

/// A node with its claim bucket.
struct Node {
    bucket: ClaimBucket,
    /// The call in flight, until an action ends it.
    call: Option<StoreCall>,
    /// A call that was reported as failed and takes effect late.
    delayed: Option<StoreCall>,
    /// The time by which the node's wall clock is ahead.
    skew_ms: u64,
    restarts: u32,
}

struct Simulation {
    now_ms: u64,
    store: BTreeMap<EcoString, EcoString>,
    nodes: Vec<Node>,
    /// The token and key of each claim that awaits an answer, by node and claim id.
    pending_claims: IndexMap<(usize, ClaimId), (EcoString, EcoString)>,
    answers: IndexMap<EcoString, ClaimAnswer>,
    /// For each key, the granted tokens and whether each is known not to have run.
    grants: IndexMap<EcoString, IndexMap<EcoString, bool>>,
    next_claim_number: u64,
    writes: u64,
}

impl Simulation {
    fn new(count: usize) -> Self {
        let mut simulation = Self {
            now_ms: EPOCH_MS * 100 + 1_000,
            store: BTreeMap::new(),
            nodes: Vec::new(),
            pending_claims: IndexMap::new(),
            answers: IndexMap::new(),
            grants: IndexMap::new(),
            next_claim_number: 0,
            writes: 0,
        };
        for node in 0..count {
            // The clocks differ, so that the nodes change epochs at different times.
            let skew_ms = node as u64 * 700;
            let bucket = new_bucket(node, 0, simulation.now_ms + skew_ms);
            simulation.nodes.push(Node { bucket, call: None, delayed: None, skew_ms, restarts: 0 });
        }
        simulation
    }

    fn step(&mut self, node: usize, event: ClaimEvent) {
        let now_us = self.now_ms * MS;
        let state = &mut self.nodes[node];
        for effect in state.bucket.step(now_us, self.now_ms + state.skew_ms, event) {
            match effect {
                ClaimEffect::Call(call) => {
                    let old = self.nodes[node].call.replace(call);
                    assert_eq!(old, None, "one call at a time");
                }
                ClaimEffect::Answer { claim_id, answer } => {
                    let (token, key) =
                        self.pending_claims.swap_remove(&(node, claim_id)).expect("answered once");
                    if answer == ClaimAnswer::Granted {
                        self.grant(&key, token.clone());
                    }
                    self.answers.insert(token, answer);
                }
                ClaimEffect::Purge { prefix } => {
                    self.store.retain(|key, _| !key.starts_with(prefix.as_str()));
                }
            }
        }
    }

    /// Records a grant; the key must be free.
    fn grant(&mut self, key: &EcoString, token: EcoString) {
        let grants = self.grants.entry(key.clone()).or_default();
        let running = grants.values().filter(|is_free| !**is_free).count();
        assert_eq!(running, 0, "key {key} was granted twice: {grants:?} and {token}");
        grants.insert(token, false);
    }

    fn claim(&mut self, node: usize, key: &str, fingerprint: u64) -> EcoString {
        self.next_claim_number += 1;
        let claim_id = ClaimId(self.next_claim_number);
        let token = eco_format!("token-{}", self.next_claim_number);
        self.pending_claims.insert((node, claim_id), (token.clone(), key.into()));
        let request = ClaimRequest { key: key.into(), token: token.clone(), fingerprint };
        self.step(node, ClaimEvent::Claim { claim_id, request });
        token
    }

    fn record(&mut self, node: usize, key: &str, token: &EcoString, ending: Ending) {
        if ending == Ending::NotRun {
            self.grants[key][token] = true;
        }
        let request = RecordEndingRequest { key: key.into(), token: token.clone(), ending };
        self.step(node, ClaimEvent::RecordEnding(request));
    }

    /// Ends a node's call in flight.
    fn end_call(&mut self, node: usize, fault: Fault) {
        if let Some(delayed) = self.nodes[node].delayed.take() {
            self.apply_call(&delayed);
        }
        let Some(call) = self.nodes[node].call.take() else { return };
        let result = match fault {
            Fault::None => self.apply_call(&call),
            Fault::Lost => StoreResult::Failed,
            Fault::LostAnswer => {
                self.apply_call(&call);
                StoreResult::Failed
            }
            Fault::Delayed => {
                self.nodes[node].delayed = Some(call);
                StoreResult::Failed
            }
        };
        self.step(node, ClaimEvent::CallFinished(result));
    }

    fn apply_call(&mut self, call: &StoreCall) -> StoreResult {
        match call {
            StoreCall::List { prefix } => {
                let items = self.store.iter().filter(|(key, _)| key.starts_with(prefix.as_str()));
                StoreResult::Listed(items.map(|(_, text)| text.clone()).collect())
            }
            StoreCall::Read { key } => match self.store.get(key) {
                Some(text) => StoreResult::Found(text.clone()),
                None => StoreResult::Absent,
            },
            StoreCall::Write { key, .. } if self.store.contains_key(key) => StoreResult::Conflict,
            StoreCall::Write { key, value: text } => {
                self.writes += 1;
                self.store.insert(key.clone(), text.clone());
                StoreResult::Written
            }
        }
    }

    /// Restarts a node with a new bucket; its call in flight may still take effect.
    fn kill(&mut self, node: usize, write_applied: bool) {
        let state = &mut self.nodes[node];
        state.restarts += 1;
        let (restarts, wall_ms) = (state.restarts, self.now_ms + state.skew_ms);
        state.bucket = new_bucket(node, restarts, wall_ms);
        let call = state.call.take();
        if let Some(call) = call.filter(|_| write_applied) {
            self.apply_call(&call);
        }
        self.pending_claims.retain(|(at, _), _| *at != node);
    }

    /// Lets calls succeed for long enough that no claim is pending.
    fn settle(&mut self) {
        for _ in 0..30 {
            self.now_ms += 60;
            for node in 0..self.nodes.len() {
                self.step(node, ClaimEvent::Timer);
                self.end_call(node, Fault::None);
            }
        }
    }
}

fn new_bucket(node: usize, restarts: u32, wall_ms: u64) -> ClaimBucket {
    let policy = ClaimPolicy { epoch_ms: EPOCH_MS, ..ClaimPolicy::default() };
    ClaimBucket::new(3, eco_format!("instance-{node}-{restarts}"), policy, wall_ms)
}

#[test]
fn one_grant_per_key() {
    let mut simulation = Simulation::new(2);
    let first = simulation.claim(0, "order-1", 1);
    let second = simulation.claim(1, "order-1", 1);
    simulation.settle();
    let answers = [&simulation.answers[&first], &simulation.answers[&second]];
    let granted = answers.iter().filter(|answer| ***answer == ClaimAnswer::Granted).count();
    assert_eq!(granted, 1, "{answers:?}");
}

#[test]
fn repeat_gets_recorded_answer() {
    let mut simulation = Simulation::new(2);
    let token = simulation.claim(0, "order-1", 1);
    simulation.settle();
    let text = Some("printed".into());
    simulation.record(0, "order-1", &token, Ending::Answered { text: text.clone() });
    simulation.settle();
    let repeat = simulation.claim(1, "order-1", 1);
    simulation.settle();
    let ending = Some(Ending::Answered { text });
    assert_eq!(simulation.answers[&repeat], ClaimAnswer::Held { fingerprint: 1, ending });
}

#[test]
fn key_free_after_not_run() {
    let mut simulation = Simulation::new(2);
    let token = simulation.claim(0, "order-1", 1);
    simulation.settle();
    simulation.record(0, "order-1", &token, Ending::NotRun);
    simulation.settle();
    let repeat = simulation.claim(1, "order-1", 1);
    simulation.settle();
    assert_eq!(simulation.answers[&repeat], ClaimAnswer::Granted);
}

// Guards against claims that wait while the store is unavailable. The caller must be told at once
// that nothing ran, and a later claim of the same key must be granted.
#[test]
fn store_unavailable() {
    let mut simulation = Simulation::new(1);
    let token = simulation.claim(0, "order-1", 1);
    simulation.end_call(0, Fault::Lost);
    assert_eq!(simulation.answers[&token], ClaimAnswer::Unavailable);
    let token = simulation.claim(0, "order-2", 1);
    assert_eq!(simulation.answers[&token], ClaimAnswer::Unavailable);
    simulation.settle();
    let token = simulation.claim(0, "order-1", 1);
    simulation.settle();
    assert_eq!(simulation.answers[&token], ClaimAnswer::Granted);
}

#[test]
fn claims_share_one_write() {
    let mut simulation = Simulation::new(1);
    simulation.claim(0, "warm-up", 1);
    simulation.settle();
    let before = simulation.writes;
    simulation.claim(0, "order-0", 1);
    let tokens: Vec<_> = (1..100).map(|n| simulation.claim(0, &format!("order-{n}"), 1)).collect();
    simulation.settle();
    assert!(tokens.iter().all(|token| simulation.answers[token] == ClaimAnswer::Granted));
    assert_eq!(
        simulation.writes - before,
        2,
        "one write for the first claim, one for all that arrived meanwhile"
    );
}

// Guards against two grants of one key when an epoch changes. The clocks of two nodes differ, so
// one node claims the key in the old epoch and the other in the next.
#[test]
fn epoch_change() {
    let mut simulation = Simulation::new(2);
    simulation.claim(0, "order-0", 1);
    simulation.claim(1, "order-0", 1);
    simulation.settle();
    simulation.now_ms = (simulation.now_ms / EPOCH_MS + 1) * EPOCH_MS - 300;
    let late = simulation.claim(0, "order-1", 1);
    let early = simulation.claim(1, "order-1", 1);
    simulation.settle();
    let answers = [&simulation.answers[&late], &simulation.answers[&early]];
    let granted = answers.iter().filter(|answer| ***answer == ClaimAnswer::Granted).count();
    assert_eq!(granted, 1, "{answers:?}");
}

/// One action on the simulation.
#[derive(Debug, Clone)]
enum Action {
    Claim { node: usize, key: u8 },
    EndCall { node: usize, fault: Fault },
    Record { node: usize, key: u8, ending: Ending },
    Kill { node: usize, write_applied: bool },
    Advance { ms: u64 },
}

fn any_action() -> impl Strategy<Value = Action> {
    let fault = prop_oneof![
        8 => Just(Fault::None),
        1 => Just(Fault::Lost),
        1 => Just(Fault::LostAnswer),
        1 => Just(Fault::Delayed),
    ];
    let ending = prop_oneof![
        Just(Ending::NotRun),
        Just(Ending::Unknown),
        Just(Ending::Answered { text: None }),
    ];
    let node = 0..3_usize;
    let key = 0..4_u8;
    prop_oneof![
        6 => (node.clone(), key.clone()).prop_map(|(node, key)| Action::Claim { node, key }),
        12 => (node.clone(), fault).prop_map(|(node, fault)| Action::EndCall { node, fault }),
        2 => (node.clone(), key, ending)
            .prop_map(|(node, key, ending)| Action::Record { node, key, ending }),
        1 => (node, any::<bool>())
            .prop_map(|(node, write_applied)| Action::Kill { node, write_applied }),
        6 => prop_oneof![4 => 1..100_u64, 1 => 1_000..4_000_u64].prop_map(|ms| Action::Advance { ms }),
    ]
}

// Guards against a second grant of a key while the first request may have run. Three nodes each
// act as the bucket's home, and the same few keys are claimed repeatedly on all of them. Meanwhile
// nodes restart, store calls fail, lose their answers or take effect late, and epochs change. The
// simulated time stays within the two epochs for which a key is kept.
proptest! {
    #[test]
    fn conflicting_views(actions in prop::collection::vec(any_action(), 1..150)) {
        let mut simulation = Simulation::new(3);
        let start_ms = simulation.now_ms;
        let mut keys: IndexSet<EcoString> = IndexSet::new();
        for action in actions {
            match action {
                Action::Claim { node, key } => {
                    let key = eco_format!("order-{key}");
                    keys.insert(key.clone());
                    simulation.claim(node, &key, 1);
                }
                Action::EndCall { node, fault } => simulation.end_call(node, fault),
                Action::Record { node, key, ending } => {
                    let key = eco_format!("order-{key}");
                    let running = simulation.grants.get(&key).and_then(|grants| {
                        grants.iter().find(|(_, is_free)| !**is_free).map(|(token, _)| token)
                    });
                    if let Some(token) = running.cloned() {
                        simulation.record(node, &key, &token, ending);
                    }
                }
                Action::Kill { node, write_applied } => simulation.kill(node, write_applied),
                Action::Advance { ms } => {
                    simulation.now_ms = (simulation.now_ms + ms).min(start_ms + EPOCH_MS);
                    for node in 0..3 {
                        simulation.step(node, ClaimEvent::Timer);
                    }
                }
            }
        }
        simulation.settle();
        prop_assert!(simulation.pending_claims.is_empty(), "every claim is answered");
    }
}
