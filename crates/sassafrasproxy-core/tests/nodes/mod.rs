//! Nodes that exchange datagrams in virtual time.

#![allow(dead_code, clippy::unwrap_used, reason = "each test file uses its part")]

use std::collections::VecDeque;

use ecow::{EcoString, eco_format};
use indexmap::IndexSet;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sassafrasproxy_core::{Gossip, GossipPolicy, OutgoingDatagram, PeerDatagram, SyncSource};
use sassafrasproxy_wire::{MemberState, MemberUpdate};

pub const SECOND_US: u64 = 1_000_000;

/// How finely time passes: the ticks of a node are no closer.
const STEP_US: u64 = 50_000;

/// What some nodes sent.
#[derive(Debug, Clone, Copy, Default)]
pub struct SentTraffic {
    pub datagrams: usize,
    pub bytes: usize,
    /// The bytes that went to another failure domain.
    pub cross_domain_bytes: usize,
}

/// A fleet whose nodes have the first as their seed.
pub struct Fleet {
    pub nodes: Vec<Gossip>,
    pub now_us: u64,
    /// Nodes that neither send nor hear.
    pub offline: IndexSet<usize>,
    /// What share of the datagrams is lost.
    pub loss_rate: f64,
    /// What each node sent.
    pub sent: Vec<SentTraffic>,
    /// The longest datagram, in bytes.
    pub max_datagram_bytes: usize,
    /// Datagrams about roll-outs that came, with the nodes that they came to.
    pub rollout_datagrams: Vec<(usize, PeerDatagram)>,
    domains: usize,
    next_ticks_us: Vec<u64>,
    rng: StdRng,
}

impl Fleet {
    /// Nodes of a whole core in four failure domains.
    pub fn new(count: usize) -> Self {
        Self::with_cpu(count, |_| 1_000)
    }

    /// Nodes that have so many thousandths of a core.
    pub fn with_cpu(count: usize, cpu_millis: impl Fn(usize) -> u32) -> Self {
        Self::with_domains(count, 4, cpu_millis)
    }

    /// Nodes in a number of failure domains.
    pub fn with_domains(count: usize, domains: usize, cpu_millis: impl Fn(usize) -> u32) -> Self {
        let mut fleet = Self {
            nodes: Vec::new(),
            now_us: 0,
            offline: IndexSet::new(),
            loss_rate: 0.0,
            sent: Vec::new(),
            max_datagram_bytes: 0,
            rollout_datagrams: Vec::new(),
            domains,
            next_ticks_us: Vec::new(),
            rng: StdRng::seed_from_u64(1),
        };
        for at in 0..count {
            fleet.nodes.push(fleet.new_node(at, cpu_millis(at), 1));
            fleet.sent.push(SentTraffic::default());
            fleet.next_ticks_us.push(0);
        }
        fleet
    }

    fn new_node(&self, at: usize, cpu_millis: u32, incarnation: u64) -> Gossip {
        let me = MemberUpdate {
            node: node_name(at),
            peer_address: peer_address(at),
            address: caller_address(at),
            failure_domain: eco_format!("domain-{}", at % self.domains),
            relay_address: eco_format!("10.1.{}.{}:7380", at / 256, at % 256),
            cpu_millis,
            state: MemberState::Alive,
            incarnation,
        };
        Gossip::new(
            &me,
            [peer_address(0)],
            GossipPolicy::default(),
            at as u64 + incarnation,
            self.now_us,
        )
    }

    /// Starts a node again that knows nothing of before.
    pub fn restart(&mut self, at: usize, incarnation: u64) {
        self.nodes[at] = self.new_node(at, 1_000, incarnation);
        self.next_ticks_us[at] = self.now_us;
        self.offline.swap_remove(&at);
    }

    pub fn run_s(&mut self, seconds: u64) {
        self.run_us(seconds * SECOND_US);
    }

    pub fn run_us(&mut self, time_us: u64) {
        let end_us = self.now_us + time_us;
        while self.now_us < end_us {
            self.now_us += STEP_US;
            for at in 0..self.nodes.len() {
                if self.now_us < self.next_ticks_us[at] || self.offline.contains(&at) {
                    continue;
                }
                let sends = self.nodes[at].tick(self.now_us);
                self.deliver(at, sends);
                self.next_ticks_us[at] = self.now_us + self.nodes[at].tick_delay_us(self.now_us);
            }
        }
    }

    pub fn deliver(&mut self, from: usize, sends: Vec<OutgoingDatagram>) {
        let mut queue: VecDeque<(usize, OutgoingDatagram)> =
            sends.into_iter().map(|send| (from, send)).collect();
        while let Some((from, send)) = queue.pop_front() {
            let to = node_index(&send.peer_address);
            self.record_sent(from, to, &send);
            let is_lost = self.loss_rate > 0.0 && self.rng.random_bool(self.loss_rate);
            if is_lost || self.offline.contains(&to) {
                continue;
            }
            if !send.datagram.trial_reports.is_empty() || !send.datagram.stopped_rollouts.is_empty()
            {
                self.rollout_datagrams.push((to, send.datagram.clone()));
            }
            let sends = self.nodes[to].receive(self.now_us, &peer_address(from), &send.datagram);
            queue.extend(sends.into_iter().map(|send| (to, send)));
        }
    }

    fn record_sent(&mut self, from: usize, to: usize, send: &OutgoingDatagram) {
        let length = send.datagram.encode().unwrap().len();
        let is_far = from % self.domains != to % self.domains;
        self.sent[from].cross_domain_bytes += if is_far { length } else { 0 };
        self.max_datagram_bytes = self.max_datagram_bytes.max(length);
        self.sent[from].datagrams += 1;
        self.sent[from].bytes += length;
    }

    /// What the busiest node sent since the last call.
    pub fn take_max_sent(&mut self) -> SentTraffic {
        let most = self.sent.iter().max_by_key(|sent| sent.bytes).copied().unwrap_or_default();
        self.sent.fill(SentTraffic::default());
        most
    }

    /// What all nodes sent since the last call.
    pub fn take_total_sent(&mut self) -> SentTraffic {
        let bytes = self.sent.iter().map(|sent| sent.bytes).sum();
        let far_bytes = self.sent.iter().map(|sent| sent.cross_domain_bytes).sum();
        let datagrams = self.sent.iter().map(|sent| sent.datagrams).sum();
        self.sent.fill(SentTraffic::default());
        SentTraffic { datagrams, bytes, cross_domain_bytes: far_bytes }
    }

    /// The nodes that are not silent.
    pub fn online(&self) -> Vec<usize> {
        (0..self.nodes.len()).filter(|at| !self.offline.contains(at)).collect()
    }

    /// The least and the most nodes that any live node counts.
    pub fn node_count_range(&self) -> (usize, usize) {
        let counts: Vec<usize> =
            self.online().into_iter().map(|at| self.nodes[at].node_count()).collect();
        (*counts.iter().min().unwrap(), *counts.iter().max().unwrap())
    }

    /// The nodes that follow the store themselves.
    pub fn watchers(&self) -> IndexSet<usize> {
        let is_watcher = |at: &usize| self.nodes[*at].sync_source(self.now_us) == SyncSource::Store;
        self.online().into_iter().filter(is_watcher).collect()
    }

    /// The state in which a node sees another.
    pub fn observed_state(&self, at: usize, other: usize) -> Option<MemberState> {
        let address = caller_address(other);
        let nodes = self.nodes[at].directory_nodes();
        nodes.iter().find(|node| node.address == address).map(|node| node.state)
    }
}

pub fn node_name(at: usize) -> EcoString {
    eco_format!("edge-east-quay-{at}")
}

fn caller_address(at: usize) -> EcoString {
    eco_format!("10.1.{}.{}:8104", at / 256, at % 256)
}

/// The peer address of a node.
pub fn peer_address(at: usize) -> EcoString {
    eco_format!("10.1.{}.{}:8106", at / 256, at % 256)
}

/// The node that has a peer address.
pub fn node_index(peer_address: &str) -> usize {
    let (host, _) = peer_address.split_once(':').unwrap();
    let parts: Vec<usize> = host.split('.').map(|part| part.parse().unwrap()).collect();
    parts[2] * 256 + parts[3]
}
