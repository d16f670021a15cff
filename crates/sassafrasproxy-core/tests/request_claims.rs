//! Claims of request keys, at any nodes and whatever the store does.
//!
//! The seed stands in `.cargo/config.toml`; `PROPTEST_RNG_SEED` and `PROPTEST_CASES` in the
//! environment widen the search.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::collections::BTreeMap;

use ecow::{EcoString, eco_format};
use indexmap::{IndexMap, IndexSet};
use proptest::prelude::*;
use sassafrasproxy_core::{
    ClaimBucket, ClaimEffect, ClaimEvent, ClaimId, ClaimPolicy, StoreCall, StoreResult,
};
use sassafrasproxy_wire::{ClaimAnswer, ClaimRequest, Ending, RecordRequest};

const MS: u64 = 1_000;
const EPOCH_MS: u64 = 10_000;

/// What the store does wrong with one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    /// No effect, and it fails.
    Lost,
    /// It takes effect, and its answer is lost.
    LostAnswer,
    /// It fails, and takes effect when the next call of that node comes.
    Delayed,
}

/// One node's bucket, with its clock's error.
struct Node {
    bucket: ClaimBucket,
    /// The call that runs, until a turn ends it.
    call: Option<StoreCall>,
    /// A write that was given up and takes effect late.
    delayed: Option<StoreCall>,
    skew_ms: u64,
    restarts: u32,
}

struct Simulation {
    now_ms: u64,
    store: BTreeMap<EcoString, EcoString>,
    nodes: Vec<Node>,
    /// Each ticket's node, token and key.
    pending_claims: IndexMap<(usize, ClaimId), (EcoString, EcoString)>,
    answers: IndexMap<EcoString, ClaimAnswer>,
    /// For each key, the tokens that were granted and whether each is known not to have run.
    grants: IndexMap<EcoString, IndexMap<EcoString, bool>>,
    next_ticket: u64,
    writes: u64,
}

impl Simulation {
    fn new(count: usize) -> Self {
        let mut world = Self {
            now_ms: EPOCH_MS * 100 + 1_000,
            store: BTreeMap::new(),
            nodes: Vec::new(),
            pending_claims: IndexMap::new(),
            answers: IndexMap::new(),
            grants: IndexMap::new(),
            next_ticket: 0,
            writes: 0,
        };
        for node in 0..count {
            // The second node's clock is ahead, so that epochs turn at different times.
            let skew_ms = node as u64 * 700;
            let bucket = new_bucket(node, 0, world.now_ms + skew_ms);
            world.nodes.push(Node { bucket, call: None, delayed: None, skew_ms, restarts: 0 });
        }
        world
    }

    fn step(&mut self, node: usize, event: ClaimEvent) {
        let now_us = self.now_ms * MS;
        let one = &mut self.nodes[node];
        for effect in one.bucket.step(now_us, self.now_ms + one.skew_ms, event) {
            match effect {
                ClaimEffect::Call(call) => {
                    let old = self.nodes[node].call.replace(call);
                    assert_eq!(old, None, "one call at a time");
                }
                ClaimEffect::Answer { claim_id: ticket, answer } => {
                    let (token, key) =
                        self.pending_claims.swap_remove(&(node, ticket)).expect("answered once");
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

    /// Notes a grant; the key must be free.
    fn grant(&mut self, key: &EcoString, token: EcoString) {
        let grants = self.grants.entry(key.clone()).or_default();
        let running = grants.values().filter(|is_free| !**is_free).count();
        assert_eq!(running, 0, "key {key} was granted twice: {grants:?} and {token}");
        grants.insert(token, false);
    }

    fn claim(&mut self, node: usize, key: &str, fingerprint: u64) -> EcoString {
        self.next_ticket += 1;
        let ticket = ClaimId(self.next_ticket);
        let token = eco_format!("token-{}", self.next_ticket);
        self.pending_claims.insert((node, ticket), (token.clone(), key.into()));
        let request = ClaimRequest { key: key.into(), token: token.clone(), fingerprint };
        self.step(node, ClaimEvent::Claim { claim_id: ticket, request });
        token
    }

    fn record(&mut self, node: usize, key: &str, token: &EcoString, ending: Ending) {
        if ending == Ending::NotRun {
            self.grants[key][token] = true;
        }
        let request = RecordRequest { key: key.into(), token: token.clone(), ending };
        self.step(node, ClaimEvent::RecordEnding(request));
    }

    /// Ends the call that a node waits for.
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

    /// Kills a node; a write on its way may still take effect, now.
    fn kill(&mut self, node: usize, write_lands: bool) {
        let one = &mut self.nodes[node];
        one.restarts += 1;
        let (lives, wall_ms) = (one.restarts, self.now_ms + one.skew_ms);
        one.bucket = new_bucket(node, lives, wall_ms);
        let call = one.call.take();
        if let Some(call) = call.filter(|_| write_lands) {
            self.apply_call(&call);
        }
        self.pending_claims.retain(|(at, _), _| *at != node);
    }

    /// Lets every call end well until nothing waits.
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

fn new_bucket(node: usize, lives: u32, wall_ms: u64) -> ClaimBucket {
    let policy = ClaimPolicy { epoch_ms: EPOCH_MS, ..ClaimPolicy::default() };
    ClaimBucket::new(3, eco_format!("life-{node}-{lives}"), policy, wall_ms)
}

#[test]
fn one_grant_per_key() {
    let mut world = Simulation::new(2);
    let first = world.claim(0, "order-1", 1);
    let second = world.claim(1, "order-1", 1);
    world.settle();
    let answers = [&world.answers[&first], &world.answers[&second]];
    let granted = answers.iter().filter(|answer| ***answer == ClaimAnswer::Granted).count();
    assert_eq!(granted, 1, "{answers:?}");
}

#[test]
fn repeat_gets_recorded_answer() {
    let mut world = Simulation::new(2);
    let token = world.claim(0, "order-1", 1);
    world.settle();
    let text = Some("printed".into());
    world.record(0, "order-1", &token, Ending::Answered { text: text.clone() });
    world.settle();
    let repeat = world.claim(1, "order-1", 1);
    world.settle();
    let ending = Some(Ending::Answered { text });
    assert_eq!(world.answers[&repeat], ClaimAnswer::Held { fingerprint: 1, ending });
}

#[test]
fn key_free_after_not_run() {
    let mut world = Simulation::new(2);
    let token = world.claim(0, "order-1", 1);
    world.settle();
    world.record(0, "order-1", &token, Ending::NotRun);
    world.settle();
    let repeat = world.claim(1, "order-1", 1);
    world.settle();
    assert_eq!(world.answers[&repeat], ClaimAnswer::Granted);
}

// The store is away. Whoever orders must hear at once that nothing ran, not wait.
#[test]
fn store_unavailable() {
    let mut world = Simulation::new(1);
    let token = world.claim(0, "order-1", 1);
    world.end_call(0, Fault::Lost);
    assert_eq!(world.answers[&token], ClaimAnswer::Unavailable);
    let token = world.claim(0, "order-2", 1);
    assert_eq!(world.answers[&token], ClaimAnswer::Unavailable);
    world.settle();
    let token = world.claim(0, "order-1", 1);
    world.settle();
    assert_eq!(world.answers[&token], ClaimAnswer::Granted);
}

#[test]
fn claims_share_one_write() {
    let mut world = Simulation::new(1);
    world.claim(0, "warm-up", 1);
    world.settle();
    let before = world.writes;
    world.claim(0, "order-0", 1);
    let tokens: Vec<_> = (1..100).map(|n| world.claim(0, &format!("order-{n}"), 1)).collect();
    world.settle();
    assert!(tokens.iter().all(|token| world.answers[token] == ClaimAnswer::Granted));
    assert_eq!(world.writes - before, 2, "the first, and all that came while it ran");
}

// Clocks of two nodes differ at the turn of an epoch. A key that was claimed just before it on
// one must not be granted again by the other, which is already in the next epoch.
#[test]
fn epoch_change() {
    let mut world = Simulation::new(2);
    world.claim(0, "order-0", 1);
    world.claim(1, "order-0", 1);
    world.settle();
    world.now_ms = (world.now_ms / EPOCH_MS + 1) * EPOCH_MS - 300;
    let late = world.claim(0, "order-1", 1);
    let early = world.claim(1, "order-1", 1);
    world.settle();
    let answers = [&world.answers[&late], &world.answers[&early]];
    let granted = answers.iter().filter(|answer| ***answer == ClaimAnswer::Granted).count();
    assert_eq!(granted, 1, "{answers:?}");
}

/// One thing that happens.
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
            .prop_map(|(node, write_lands)| Action::Kill { node, write_applied: write_lands }),
        6 => prop_oneof![4 => 1..100_u64, 1 => 1_000..4_000_u64].prop_map(|ms| Action::Advance { ms }),
    ]
}

// Three nodes each believe to be the bucket's home. Callers send the same few orders again and
// again through all of them, while nodes are killed, answers of the store are lost or come late,
// and epochs turn. No order may be granted to a second run while the first may have run. Runs
// are kept within the two epochs for which a key is kept.
proptest! {
    #[test]
    fn conflicting_views(turns in prop::collection::vec(any_action(), 1..150)) {
        let mut world = Simulation::new(3);
        let start_ms = world.now_ms;
        let mut keys: IndexSet<EcoString> = IndexSet::new();
        for turn in turns {
            match turn {
                Action::Claim { node, key } => {
                    let key = eco_format!("order-{key}");
                    keys.insert(key.clone());
                    world.claim(node, &key, 1);
                }
                Action::EndCall { node, fault } => world.end_call(node, fault),
                Action::Record { node, key, ending } => {
                    let key = eco_format!("order-{key}");
                    let running = world.grants.get(&key).and_then(|grants| {
                        grants.iter().find(|(_, is_free)| !**is_free).map(|(token, _)| token)
                    });
                    if let Some(token) = running.cloned() {
                        world.record(node, &key, &token, ending);
                    }
                }
                Action::Kill { node, write_applied } => world.kill(node, write_applied),
                Action::Advance { ms } => {
                    world.now_ms = (world.now_ms + ms).min(start_ms + EPOCH_MS);
                    for node in 0..3 {
                        world.step(node, ClaimEvent::Timer);
                    }
                }
            }
        }
        world.settle();
        prop_assert!(world.pending_claims.is_empty(), "every claim is answered");
    }
}
