//! Tests the rate limits of client accounts over all nodes.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod rate_limit_model;

use ecow::{EcoString, eco_format};
use proptest::prelude::*;
use sassafrasproxy_core::{OutgoingTokens, RateDecision, RateLimitPolicy, RateLimiter, TokenPeers};
use sassafrasproxy_wire::{RateLimit, TokenCount, TokenDatagram};

use crate::rate_limit_model::{
    DAY_OF_UNKNOWN_NODES, DAYS, SECOND_US, Scenario, SimulationResult, Way, bound, random_scenario,
    simulate,
};

/// The promised fraction of requests below the limit that are refused, on days with at most one
/// fault.
const MAX_FALSE_REFUSALS: f64 = 1.0 / 200.0;

/// The promised maximum time that a request waits for tokens, and by which timers are late.
const MAX_WAIT_US: u64 = 20_000 + 1_000;

const POLICY: RateLimitPolicy =
    RateLimitPolicy { window_us: 10 * SECOND_US, excess: 0.1, slack: 5.0 };

const LIMIT: RateLimit = RateLimit { rate_per_s: 10.0, burst: 20.0 };

/// Creates the limiter of one of several nodes that have run for a while.
fn limiter(index: usize, nodes: usize) -> RateLimiter {
    let mut limiter = RateLimiter::new(POLICY, index as u64, 0);
    let address = |node| eco_format!("10.0.0.{node}:7000");
    let peers = (0..nodes).filter(|node| *node != index).map(address).collect();
    limiter.set_peers(0, TokenPeers { peers, own: Some(address(index)) });
    limiter
}

/// Sends requests that do not wait until one is not admitted; returns the number admitted.
fn admit_all(limiter: &mut RateLimiter, now_us: u64, account: &EcoString) -> usize {
    (0..).find(|_| limiter.admit(now_us, account, LIMIT, false) != RateDecision::Admit).unwrap()
}

/// Guards against a grant that counts twice: its datagram comes twice, or after its lease.
#[test]
fn doubled_and_late_grants() {
    let account = EcoString::from("desk");
    let now_us = 60 * SECOND_US;
    for (late_us, tokens) in [(10_000, 5), (5 * SECOND_US, 0)] {
        let mut asking = limiter(0, 2);
        admit_all(&mut asking, now_us, &account);
        let asks = asking.tick(now_us);
        assert_eq!(asks.len(), 1);
        let TokenDatagram::Ask { id, wanted } = asks[0].datagram.clone() else { panic!("no ask") };
        let asked = wanted[0].tokens;
        let given = vec![TokenCount { account_hash: wanted[0].account_hash, tokens: 1_000.0 }];
        let grant = TokenDatagram::Grant { id, given };
        let mut count = 0;
        for _ in 0..2 {
            assert_eq!(asking.receive(now_us + late_us, "10.0.0.1:7000", &grant), None);
            count += (0..1_000)
                .filter(|_| {
                    asking.admit(now_us + 10_000, &account, LIMIT, true) == RateDecision::Admit
                })
                .count();
        }
        // Less than one token of its own is left.
        assert!((count as f64) < asked + 1.0, "{count} of {asked}");
        assert!(count >= tokens.min(asked.floor() as usize), "{count} of {asked}");
    }
}

/// Guards against a peer that grants tokens that it keeps.
#[test]
fn grants_are_deducted() {
    let account = EcoString::from("desk");
    let now_us = 60 * SECOND_US;
    let (mut asking, mut giving) = (limiter(0, 2), limiter(1, 2));
    let whole = admit_all(&mut limiter(1, 2), now_us, &account);
    admit_all(&mut asking, now_us, &account);
    let asks = asking.tick(now_us);
    let grant = giving.receive(now_us, "10.0.0.0:7000", &asks[0].datagram).unwrap();
    let TokenDatagram::Grant { given, .. } = &grant.datagram else { panic!("no grant") };
    let tokens = given[0].tokens;
    assert!(tokens >= 1.0, "{tokens}");
    let rest = admit_all(&mut giving, now_us, &account);
    assert!(rest as f64 <= whole as f64 + 1.0 - tokens, "{rest} of {whole} after {tokens}");
}

/// Simulates scenarios and checks what must hold whatever fails.
fn simulate_all(scenarios: impl IntoIterator<Item = Scenario>) -> SimulationResult {
    let mut sum = SimulationResult::default();
    for scenario in scenarios {
        let case = format!("seed {}, {} nodes, {}", scenario.seed, scenario.nodes, scenario.name);
        let result = simulate(scenario, Way::Exchange);
        assert!(result.max_bound_ratio <= 1.0, "{} of the bound: {case}", result.max_bound_ratio);
        assert!(result.max_wait_us <= MAX_WAIT_US, "{} us: {case}", result.max_wait_us);
        assert!(result.max_datagram_bytes <= 1_200, "{} bytes: {case}", result.max_datagram_bytes);
        sum.below_limit += result.below_limit;
        sum.false_refusals += result.false_refusals;
        sum.admitted += result.admitted;
    }
    sum
}

/// Guards against more requests in any window than the bound, on each kind of day: nodes that
/// restart, stop, are cut off, suspected or added, all nodes at once, lost datagrams, new limits.
#[test]
fn bound_holds_whatever_fails() {
    for (nth, day) in DAYS.into_iter().enumerate() {
        let scenarios = [(6, 1), (6, 100), (30, 10), (300, 1)];
        simulate_all(scenarios.into_iter().enumerate().map(|(index, (nodes, accounts))| {
            random_scenario((nth * 10 + index) as u64, nodes, accounts, day)
        }));
    }
}

/// Guards against two sets of earners after a restart: nodes that are cut off restart, see only
/// each other, and take the places of earners on the other side.
#[test]
fn restart_of_nodes_that_are_cut_off() {
    simulate_all([random_scenario(340, 30, 100, "long split")]);
    simulate_all((1..4).map(|seed| random_scenario(seed, 6, 10, "long split")));
}

/// Guards against more requests than the bound when nodes that are cut off restart and do not know
/// which nodes exist: they earn the whole rate of each account.
#[test]
fn restart_without_known_nodes() {
    simulate_all((1..=12).map(|seed| random_scenario(seed, 6, 10, DAY_OF_UNKNOWN_NODES)));
}

/// Checks the refusals of accounts below their limits on days with at most one fault.
fn check_refusals(nodes: usize, seeds: std::ops::Range<u64>) {
    for day in ["calm", "restart", "stop", "suspect", "added"] {
        let sum = simulate_all(seeds.clone().map(|seed| random_scenario(seed, nodes, 10, day)));
        let fraction = sum.false_refusals as f64 / sum.below_limit as f64;
        println!("{nodes} nodes, {day}: {fraction:.5}");
        assert!(fraction <= MAX_FALSE_REFUSALS, "{fraction} at {nodes} nodes, {day}");
    }
}

/// Guards against refusals of accounts below their limits whose callers use a few of six nodes.
#[test]
fn refusals_below_the_limit_at_6_nodes() {
    check_refusals(6, 1..6);
}

/// Guards against the same where most nodes earn no tokens of an account.
#[test]
fn refusals_below_the_limit_at_30_nodes() {
    check_refusals(30, 1..6);
}

/// Guards against the same where nearly all nodes borrow.
#[test]
fn refusals_below_the_limit_at_300_nodes() {
    check_refusals(300, 1..4);
}

/// Guards against a bound that is broken, or a limiter that admits nearly nothing, where neither
/// excess nor slack are allowed.
#[test]
fn no_excess_and_no_slack() {
    for day in DAYS {
        let mut scenario = random_scenario(7, 6, 10, day);
        scenario.policy.excess = 0.0;
        scenario.policy.slack = 0.0;
        let sum = simulate_all([scenario]);
        assert!(sum.admitted > 10_000, "{} admitted, {day}", sum.admitted);
    }
}

/// Guards against many small accounts that take the asks of each other.
#[test]
fn thousand_accounts() {
    let sum = simulate_all([random_scenario(3, 6, 1_000, "calm")]);
    assert!(sum.admitted > 10_000, "{}", sum.admitted);
}

/// Guards against memory that grows with the number of accounts ever seen, and against accounts
/// that are forgotten in favor of others and come back with a full bucket.
#[test]
fn forgotten_accounts() {
    let mut limiter = limiter(0, 1);
    let now_us = 60 * SECOND_US;
    let first = EcoString::from("first");
    let whole = admit_all(&mut limiter, now_us, &first);
    for index in 0..40_000 {
        let account = eco_format!("account-{index}");
        limiter.admit(now_us + index, &account, LIMIT, false);
    }
    assert!(limiter.usage(now_us + 40_000).len() <= 16_384);
    let again = admit_all(&mut limiter, now_us + 40_000, &first);
    assert_eq!(again, 0, "{whole} admitted before");
    let idle_us = now_us + 60 * SECOND_US;
    limiter.tick(idle_us);
    assert_eq!(limiter.usage(idle_us), Vec::new());
    assert_eq!(admit_all(&mut limiter, idle_us, &first), whole);
}

/// Guards against a lowered limit that is in force only when the tokens of the higher one are
/// used up.
#[test]
fn lowered_limit() {
    let mut limiter = limiter(0, 1);
    let account = EcoString::from("desk");
    let now_us = 60 * SECOND_US;
    assert_eq!(limiter.admit(now_us, &account, LIMIT, false), RateDecision::Admit);
    let low = RateLimit { rate_per_s: 0.5, burst: 1.0 };
    let admitted = (0..100)
        .filter(|_| limiter.admit(now_us, &account, low, false) == RateDecision::Admit)
        .count();
    assert!(admitted as f64 <= bound(&POLICY, low) - 5.0, "{admitted}");
}

/// Guards against a node without a share that admits requests by itself, and against one that
/// cannot borrow.
#[test]
fn node_that_is_no_ingress_node() {
    let mut other = RateLimiter::new(POLICY, 9, 0);
    let peers = TokenPeers { peers: vec!["10.0.0.0:7000".into()], own: None };
    other.set_peers(0, peers);
    let mut ingress = limiter(0, 1);
    let account = EcoString::from("desk");
    let now_us = 60 * SECOND_US;
    let decision = other.admit(now_us, &account, LIMIT, false);
    assert!(matches!(decision, RateDecision::Wait { .. }), "{decision:?}");
    assert_eq!(other.next_tick_us().map(|us| us <= now_us), Some(true));
    let asks = other.tick(now_us);
    assert_eq!(asks[0].address, "10.0.0.0:7000");
    let grant = ingress.receive(now_us, "10.0.0.9:7000", &asks[0].datagram).unwrap();
    assert_eq!(other.receive(now_us + 1_000, "10.0.0.0:7000", &grant.datagram), None);
    assert_eq!(other.admit(now_us + 1_000, &account, LIMIT, true), RateDecision::Admit);
}

/// Guards against requests that wait, and asks that are sent, for an account of which all peers
/// have just answered that they have no tokens.
#[test]
fn exhausted_account() {
    let account = EcoString::from("desk");
    let now_us = 60 * SECOND_US;
    let mut nodes: Vec<RateLimiter> = (0..4).map(|index| limiter(index, 4)).collect();
    for node in &mut nodes {
        for _ in 0..200 {
            node.admit(now_us, &account, LIMIT, false);
        }
    }
    for round in 0..4 {
        let at_us = now_us + round * 10_000;
        for ask in nodes[0].tick(at_us) {
            let index = ask.address.as_bytes()[7] - b'0';
            let answer = nodes[usize::from(index)].receive(at_us, "10.0.0.0:7000", &ask.datagram);
            nodes[0].receive(at_us, &ask.address, &answer.unwrap().datagram);
        }
    }
    let at_us = now_us + 60_000;
    admit_all(&mut nodes[0], at_us, &account);
    let decision = nodes[0].admit(at_us, &account, LIMIT, false);
    assert!(matches!(decision, RateDecision::Refuse { .. }), "{decision:?}");
    assert_eq!(nodes[0].tick(at_us), Vec::new());
}

/// Guards against callers that are refused together and told to come back together.
#[test]
fn retry_delays_are_spread() {
    let mut limiter = limiter(0, 1);
    let account = EcoString::from("desk");
    let now_us = 60 * SECOND_US;
    admit_all(&mut limiter, now_us, &account);
    let delays: Vec<u64> = (0..10)
        .map(|_| match limiter.admit(now_us, &account, LIMIT, false) {
            RateDecision::Refuse { retry_after_ms } => retry_after_ms,
            decision => panic!("{decision:?}"),
        })
        .collect();
    assert!(delays.is_sorted_by(|one, next| one < next), "{delays:?}");
    assert!(delays[9] >= 500 && delays[9] <= 5_000, "{delays:?}");
}

/// Guards against tokens that are given back to a bucket that was full in between.
#[test]
fn given_back_tokens() {
    let mut limiter = limiter(0, 1);
    let account = EcoString::from("desk");
    let now_us = 60 * SECOND_US;
    let whole = admit_all(&mut limiter, now_us, &account);
    limiter.give_back(now_us, &account);
    assert_eq!(admit_all(&mut limiter, now_us, &account), 1);
    let later_us = now_us + 60 * SECOND_US;
    limiter.give_back(later_us, &account);
    assert_eq!(admit_all(&mut limiter, later_us, &account), whole);
}

/// One step of a random sequence over four nodes.
#[derive(Debug, Clone)]
enum Step {
    Requests {
        node: usize,
        count: usize,
    },
    Tick {
        node: usize,
    },
    /// Delivers a datagram that is on its way, and leaves a copy if it comes twice.
    Deliver {
        nth: usize,
        again: bool,
    },
    Lose {
        nth: usize,
    },
    GiveBack {
        node: usize,
    },
    Restart {
        node: usize,
    },
    /// A node sees only some others.
    View {
        node: usize,
        seen: u8,
    },
    Pass {
        us: u64,
    },
}

fn step() -> impl Strategy<Value = Step> {
    let node = || 0..4_usize;
    prop_oneof![
        6 => (node(), 1..30_usize).prop_map(|(node, count)| Step::Requests { node, count }),
        6 => node().prop_map(|node| Step::Tick { node }),
        8 => (0..8_usize, any::<bool>()).prop_map(|(nth, again)| Step::Deliver { nth, again }),
        1 => (0..8_usize).prop_map(|nth| Step::Lose { nth }),
        1 => node().prop_map(|node| Step::GiveBack { node }),
        1 => node().prop_map(|node| Step::Restart { node }),
        1 => (node(), any::<u8>()).prop_map(|(node, seen)| Step::View { node, seen }),
        8 => (100..400_000_u64).prop_map(|us| Step::Pass { us }),
    ]
}

/// Four nodes that a random sequence drives.
struct Cluster {
    nodes: Vec<RateLimiter>,
    now_us: u64,
    on_the_way: Vec<(usize, OutgoingTokens)>,
    admitted_us: Vec<u64>,
    /// The nodes that have restarted.
    restarted: Vec<usize>,
}

impl Cluster {
    fn apply(&mut self, policy: RateLimitPolicy, limit: RateLimit, step: Step) {
        let account = EcoString::from("desk");
        let now_us = self.now_us;
        match step {
            Step::Requests { node, count } => {
                for _ in 0..count {
                    let decision = self.nodes[node].admit(now_us, &account, limit, false);
                    if decision == RateDecision::Admit {
                        self.admitted_us.push(now_us);
                    }
                }
            }
            Step::Tick { node } => {
                let asks = self.nodes[node].tick(now_us);
                self.on_the_way.extend(asks.into_iter().map(|ask| (node, ask)));
            }
            Step::Deliver { nth, again } if nth < self.on_the_way.len() => {
                let (from, outgoing) = match again {
                    true => self.on_the_way[nth].clone(),
                    false => self.on_the_way.remove(nth),
                };
                let to = usize::from(outgoing.address.as_bytes()[7] - b'0');
                let sender = eco_format!("10.0.0.{from}:7000");
                let answer = self.nodes[to].receive(now_us, &sender, &outgoing.datagram);
                self.on_the_way.extend(answer.map(|answer| (to, answer)));
            }
            Step::Lose { nth } if nth < self.on_the_way.len() => {
                self.on_the_way.remove(nth);
            }
            // The last request reached no replica.
            Step::GiveBack { node } if self.admitted_us.last() == Some(&now_us) => {
                self.nodes[node].give_back(now_us, &account);
                self.admitted_us.pop();
            }
            Step::Restart { node } if !self.restarted.contains(&node) => {
                self.restarted.push(node);
                self.nodes[node] = RateLimiter::new(policy, node as u64 + 10, now_us);
                self.see(node, u8::MAX);
            }
            Step::View { node, seen } => self.see(node, seen),
            Step::Pass { us } => self.now_us += us,
            _ => {}
        }
    }

    fn see(&mut self, node: usize, seen: u8) {
        let address = |index| eco_format!("10.0.0.{index}:7000");
        let is_seen = |index: &usize| *index != node && seen & (1 << index) != 0;
        let peers = (0..4).filter(is_seen).map(address).collect();
        self.nodes[node].set_peers(self.now_us, TokenPeers { peers, own: Some(address(node)) });
    }
}

proptest! {
    /// Guards against any order of requests, datagrams, views and restarts that admits more than
    /// the bound in a window.
    #[test]
    fn bound_holds_in_any_order(
        steps in prop::collection::vec(step(), 1..400),
        rate_per_s in 0.5..200.0_f64,
        burst in 0.0..50.0_f64,
        excess in prop_oneof![Just(0.0), 0.0..0.3_f64],
        slack in prop_oneof![Just(0.0), 0.0..30.0_f64],
    ) {
        let policy = RateLimitPolicy { window_us: 10 * SECOND_US, excess, slack };
        let limit = RateLimit { rate_per_s, burst };
        let nodes = (0..4).map(|index| RateLimiter::new(policy, index, 0)).collect();
        let mut cluster = Cluster {
            nodes,
            now_us: 0,
            on_the_way: Vec::new(),
            admitted_us: Vec::new(),
            restarted: Vec::new(),
        };
        (0..4).for_each(|node| cluster.see(node, u8::MAX));
        cluster.now_us = 20 * SECOND_US;
        for step in steps {
            cluster.apply(policy, limit, step);
        }
        let times = &cluster.admitted_us;
        for (first, start_us) in times.iter().enumerate() {
            let end = times.partition_point(|us| *us < start_us + policy.window_us);
            prop_assert!((end - first) as f64 <= bound(&policy, limit) + 1e-6);
        }
    }
}
