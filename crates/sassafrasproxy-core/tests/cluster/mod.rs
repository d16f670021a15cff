//! Control reducers that talk over a fake network in virtual time.

#![allow(dead_code, clippy::unwrap_used, reason = "each test file uses its part")]

use ecow::{EcoString, eco_format};
use indexmap::{IndexMap, IndexSet};
use sassafrasproxy_core::{ControlEffect, ControlEvent, ControlPlane, ControlPolicy, View};
use sassafrasproxy_wire::{
    Configuration, Heartbeat, Hlc, Limits, MemberState, MemberUpdate, ServiceSpec, UpstreamSpec,
};

pub const MS: u64 = 1_000;

/// How long a message takes.
const LATENCY_US: u64 = 2 * MS;

/// How long a probe waits for its answer.
const PROBE_TIMEOUT_US: u64 = 400 * MS;

/// Something that is due at a node.
#[derive(Debug, Clone)]
enum ScheduledEvent {
    Tick { node: usize },
    Probe { from: usize, to: usize, heartbeat: Heartbeat, sent_us: u64, is_indirect: bool },
    Answer { to: usize, heartbeat: Heartbeat },
    Failed { to: usize, peer: usize, sent_us: u64, is_indirect: bool },
    Configuration { to: usize, configuration: Configuration },
}

/// Nodes with a network between them that can be cut, and nodes that can be stopped or paused.
pub struct Cluster {
    pub now_us: u64,
    pub policy: ControlPolicy,
    pub nodes: Vec<ControlPlane>,
    pub is_up: Vec<bool>,
    /// Pairs that cannot talk, both ways.
    pub blocked_links: IndexSet<(usize, usize)>,
    /// When each node took each revision.
    pub revision_history: Vec<Vec<(u64, u64)>>,
    pub store: Configuration,
    pub is_store_up: bool,
    pub store_reads: u64,
    pub watching: Vec<bool>,
    pub messages: u64,
    pub bytes: u64,
    scheduled: std::collections::BTreeMap<(u64, u64), ScheduledEvent>,
    sequence: u64,
}

impl Cluster {
    /// Nodes that all know the first as their seed, over a number of failure domains.
    pub fn start(count: usize, domains: usize, policy: ControlPolicy) -> Self {
        let mut cluster = Self {
            now_us: 0,
            policy,
            nodes: Vec::new(),
            is_up: Vec::new(),
            blocked_links: IndexSet::new(),
            revision_history: Vec::new(),
            store: Configuration::default(),
            is_store_up: true,
            store_reads: 0,
            watching: Vec::new(),
            messages: 0,
            bytes: 0,
            scheduled: std::collections::BTreeMap::new(),
            sequence: 0,
        };
        for number in 0..count {
            cluster.join(number, domains);
        }
        cluster
    }

    pub fn join(&mut self, number: usize, domains: usize) {
        let me = MemberUpdate {
            node: node_name(number),
            peer_address: address(number),
            address: eco_format!("10.1.{}.{}:7001", number / 250, number % 250),
            failure_domain: eco_format!("domain-{}", number % domains),
            relay_address: EcoString::new(),
            cpu_millis: 0,
            state: MemberState::Alive,
            incarnation: 1_000 + self.now_us / MS,
        };
        let control = ControlPlane::new(&me, [address(0)], self.policy, number as u64, self.now_us);
        if number < self.nodes.len() {
            self.nodes[number] = control;
            self.is_up[number] = true;
        } else {
            self.nodes.push(control);
            self.is_up.push(true);
            self.revision_history.push(Vec::new());
            self.watching.push(false);
            // Ticks are spread, as those of processes that start at their own times are.
            let offset_us = number as u64 * 7_919 % self.policy.heartbeat_interval_us;
            self.schedule(offset_us, ScheduledEvent::Tick { node: number });
        }
    }

    /// Lets time pass.
    pub fn advance(&mut self, us: u64) {
        let end_us = self.now_us + us;
        while let Some(entry) = self.scheduled.first_entry() {
            if entry.key().0 > end_us {
                break;
            }
            self.now_us = entry.key().0;
            let due = entry.remove();
            self.handle(due);
        }
        self.now_us = end_us;
    }

    /// Publishes services or failure domains as the next revision.
    pub fn publish(&mut self, change: impl FnOnce(&mut Configuration)) {
        change(&mut self.store);
        self.store.revision += 1;
        self.notify_watchers();
    }

    /// Cuts two sets of nodes off from each other.
    pub fn partition(&mut self, left: &[usize], right: &[usize]) {
        for a in left {
            self.blocked_links.extend(right.iter().flat_map(|b| [(*a, *b), (*b, *a)]));
        }
    }

    pub fn view(&self, node: usize) -> View {
        self.nodes[node].view()
    }

    /// How many members a node counts that are neither dead nor suspected.
    pub fn alive_seen_by(&self, node: usize) -> usize {
        let members = self.nodes[node].members();
        members.present().filter(|member| member.state == MemberState::Alive).count()
    }

    /// The state of a member in a node's view.
    pub fn state_seen_by(&self, node: usize, member: usize) -> Option<MemberState> {
        self.nodes[node].members().member(&node_name(member)).map(|member| member.state)
    }

    fn notify_watchers(&mut self) {
        if !self.is_store_up {
            return;
        }
        for node in 0..self.nodes.len() {
            if self.watching[node] && self.is_up[node] {
                self.store_reads += 1;
                let configuration = self.store.clone();
                let at_us = self.now_us + LATENCY_US;
                self.schedule(at_us, ScheduledEvent::Configuration { to: node, configuration });
            }
        }
    }

    fn handle(&mut self, due: ScheduledEvent) {
        match due {
            ScheduledEvent::Tick { node } => {
                self.schedule(
                    self.now_us + self.policy.heartbeat_interval_us,
                    ScheduledEvent::Tick { node },
                );
                self.step(node, ControlEvent::Tick);
            }
            ScheduledEvent::Probe { from, to, heartbeat, sent_us, is_indirect } => {
                if !self.can_reach(from, to) {
                    let at_us = sent_us + PROBE_TIMEOUT_US;
                    let due = ScheduledEvent::Failed { to: from, peer: to, sent_us, is_indirect };
                    return self.schedule(at_us, due);
                }
                let answer = self.nodes[to].heartbeat(Hlc::default(), Some(&heartbeat));
                self.step(to, ControlEvent::HeartbeatReceived(heartbeat));
                self.record_message(&answer);
                let at_us = self.now_us + LATENCY_US;
                self.schedule(at_us, ScheduledEvent::Answer { to: from, heartbeat: answer });
            }
            ScheduledEvent::Answer { to, heartbeat } => {
                self.step(to, ControlEvent::HeartbeatReceived(heartbeat));
            }
            ScheduledEvent::Failed { to, peer, sent_us, is_indirect } => {
                let peer_address = address(peer);
                let event = ControlEvent::ProbeFailed { peer_address, sent_us, is_indirect };
                self.step(to, event);
            }
            ScheduledEvent::Configuration { to, configuration } => {
                self.step(to, ControlEvent::ConfigurationReceived(configuration));
            }
        }
    }

    fn step(&mut self, node: usize, event: ControlEvent) {
        if !self.is_up[node] {
            return;
        }
        let before = self.nodes[node].revision();
        for effect in self.nodes[node].step(self.now_us, event) {
            self.apply_effect(node, effect);
        }
        let after = self.nodes[node].revision();
        assert!(after >= before, "a revision never reverts");
        if after > before {
            self.revision_history[node].push((after, self.now_us));
        }
    }

    fn apply_effect(&mut self, node: usize, effect: ControlEffect) {
        match effect {
            ControlEffect::Probe { peer_address } => {
                self.probe(node, node_index(&peer_address), false);
            }
            ControlEffect::ProbeIndirectly { via_peer_addresses: vias, peer_address } => {
                let to = node_index(&peer_address);
                let vias: Vec<usize> = vias.iter().map(node_index).collect();
                let via = vias
                    .into_iter()
                    .find(|via| self.can_reach(node, *via) && self.can_reach(*via, to));
                match via {
                    Some(via) => self.probe(via, to, true),
                    None => {
                        let (sent_us, at_us) = (self.now_us, self.now_us + PROBE_TIMEOUT_US);
                        let is_indirect = true;
                        let due =
                            ScheduledEvent::Failed { to: node, peer: to, sent_us, is_indirect };
                        self.schedule(at_us, due);
                    }
                }
            }
            ControlEffect::PullConfiguration { peer_address } => {
                let peer = node_index(&peer_address);
                if self.can_reach(node, peer) {
                    let configuration = (*self.nodes[peer].view().configuration).clone();
                    let at_us = self.now_us + 2 * LATENCY_US;
                    self.schedule(at_us, ScheduledEvent::Configuration { to: node, configuration });
                }
            }
            ControlEffect::WatchStore { is_on } => {
                self.watching[node] = is_on;
                if is_on && self.is_store_up && self.store.revision > 0 {
                    self.read_store(node);
                }
            }
            ControlEffect::ReadStore => {
                if self.is_store_up && self.store.revision > 0 {
                    self.read_store(node);
                }
            }
            ControlEffect::PullHoldings { .. }
            | ControlEffect::PushHoldings { .. }
            | ControlEffect::ReadVmList
            | ControlEffect::PublishView
            | ControlEffect::RecordEvent(_) => {}
        }
    }

    fn read_store(&mut self, node: usize) {
        self.store_reads += 1;
        let configuration = self.store.clone();
        self.schedule(
            self.now_us + LATENCY_US,
            ScheduledEvent::Configuration { to: node, configuration },
        );
    }

    fn probe(&mut self, from: usize, to: usize, is_indirect: bool) {
        let heartbeat = self.nodes[from].heartbeat(Hlc::default(), None);
        self.record_message(&heartbeat);
        let sent_us = self.now_us;
        let due = ScheduledEvent::Probe { from, to, heartbeat, sent_us, is_indirect };
        self.schedule(self.now_us + LATENCY_US, due);
    }

    fn record_message(&mut self, heartbeat: &Heartbeat) {
        self.messages += 1;
        self.bytes += serde_json::to_vec(heartbeat).unwrap().len() as u64;
    }

    fn can_reach(&self, a: usize, b: usize) -> bool {
        let is_known = b < self.nodes.len();
        is_known && self.is_up[a] && self.is_up[b] && !self.blocked_links.contains(&(a, b))
    }

    fn schedule(&mut self, at_us: u64, due: ScheduledEvent) {
        self.sequence += 1;
        self.scheduled.insert((at_us, self.sequence), due);
    }
}

/// A configuration with one service of a number of groups, two replicas each.
pub fn services(groups: usize, domains: usize) -> IndexMap<EcoString, ServiceSpec> {
    let service = |number: usize| {
        let upstream = |replica: usize| UpstreamSpec {
            address: eco_format!("10.2.{}.{}:{}", number / 250, number % 250, 7100 + replica),
            failure_domain: eco_format!("domain-{}", (number + replica) % domains),
            shards: vec!["s0".into()],
        };
        let name: EcoString = eco_format!("service-{number}");
        let spec = ServiceSpec {
            service: name.clone(),
            index: "catalogue".into(),
            failure_domains: (0..domains).map(|one| eco_format!("domain-{one}")).collect(),
            upstreams: vec![upstream(0), upstream(1)],
            limits: Limits { slots: 2, connections: 25, queue: 64 },
            deadline_ms: 90,
            kinds: IndexMap::new(),
        };
        (name, spec)
    };
    (0..groups).map(service).collect()
}

pub fn node_name(number: usize) -> EcoString {
    eco_format!("vm-{number}")
}

fn address(number: usize) -> EcoString {
    eco_format!("10.0.{}.{}:7002", number / 250, number % 250)
}

fn node_index(address: &EcoString) -> usize {
    let octets: Vec<usize> = address.split([':', '.']).map(|part| part.parse().unwrap()).collect();
    octets[2] * 250 + octets[3]
}
