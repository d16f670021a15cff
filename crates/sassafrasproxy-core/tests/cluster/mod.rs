//! A cluster of control reducers over a simulated network in virtual time.

#![allow(dead_code, clippy::unwrap_used, reason = "each test file uses its part")]

use ecow::{EcoString, eco_format};
use indexmap::{IndexMap, IndexSet};
use sassafrasproxy_core::{ControlEffect, ControlEvent, ControlPlane, ControlPolicy, View};
use sassafrasproxy_wire::{
    Configuration, Heartbeat, Hlc, MemberState, MemberUpdate, ReplicaLimits, ServiceSpec,
    UpstreamSpec,
};

/// One millisecond, in microseconds.
pub const MS: u64 = 1_000;

/// The latency of a message.
const LATENCY_US: u64 = 2 * MS;

/// The time after which a probe without an answer fails.
const PROBE_TIMEOUT_US: u64 = 400 * MS;

/// An event that is scheduled for a node.
#[derive(Debug, Clone)]
enum ScheduledEvent {
    Tick { node: usize },
    Probe { from: usize, to: usize, heartbeat: Heartbeat, sent_us: u64, is_indirect: bool },
    Answer { to: usize, heartbeat: Heartbeat },
    Failed { to: usize, peer: usize, sent_us: u64, is_indirect: bool },
    Configuration { to: usize, configuration: Configuration },
}

/// Nodes that can be stopped, restarted or paused, and a network that can be partitioned.
pub struct Cluster {
    pub now_us: u64,
    pub policy: ControlPolicy,
    pub nodes: Vec<ControlPlane>,
    pub is_up: Vec<bool>,
    /// Pairs of nodes that cannot reach each other; contains both directions.
    pub blocked_links: IndexSet<(usize, usize)>,
    /// The revisions that each node adopted, with the time of each.
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
    /// Starts nodes that have the first node as their seed, distributed over failure domains.
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

    /// Starts a node, or replaces one of the same number.
    pub fn join(&mut self, number: usize, domains: usize) {
        let local = MemberUpdate {
            node: node_name(number),
            peer_address: address(number),
            address: eco_format!("10.1.{}.{}:7001", number / 250, number % 250),
            failure_domain: eco_format!("domain-{}", number % domains),
            relay_address: EcoString::new(),
            cpu_millis: 0,
            state: MemberState::Alive,
            incarnation: 1_000 + self.now_us / MS,
        };
        let control =
            ControlPlane::new(&local, [address(0)], self.policy, number as u64, self.now_us);
        if number < self.nodes.len() {
            self.nodes[number] = control;
            self.is_up[number] = true;
        } else {
            self.nodes.push(control);
            self.is_up.push(true);
            self.revision_history.push(Vec::new());
            self.watching.push(false);
            // Processes start at different times, so their ticks are spread.
            let offset_us = number as u64 * 7_919 % self.policy.heartbeat_interval_us;
            self.schedule(offset_us, ScheduledEvent::Tick { node: number });
        }
    }

    /// Advances the time and handles the events that are due.
    pub fn advance(&mut self, us: u64) {
        let end_us = self.now_us + us;
        while let Some(entry) = self.scheduled.first_entry() {
            if entry.key().0 > end_us {
                break;
            }
            self.now_us = entry.key().0;
            let event = entry.remove();
            self.handle(event);
        }
        self.now_us = end_us;
    }

    /// Changes the store's configuration and publishes it as the next revision.
    pub fn publish(&mut self, change: impl FnOnce(&mut Configuration)) {
        change(&mut self.store);
        self.store.revision += 1;
        self.notify_watchers();
    }

    /// Blocks the links between two sets of nodes.
    pub fn partition(&mut self, left: &[usize], right: &[usize]) {
        for a in left {
            self.blocked_links.extend(right.iter().flat_map(|b| [(*a, *b), (*b, *a)]));
        }
    }

    pub fn view(&self, node: usize) -> View {
        self.nodes[node].view()
    }

    /// Returns the number of members that are alive in a node's view.
    pub fn alive_seen_by(&self, node: usize) -> usize {
        let members = self.nodes[node].members();
        members.present().filter(|member| member.state == MemberState::Alive).count()
    }

    /// Returns the state of a member in a node's view.
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

    fn handle(&mut self, event: ScheduledEvent) {
        match event {
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
                    let event = ScheduledEvent::Failed { to: from, peer: to, sent_us, is_indirect };
                    return self.schedule(at_us, event);
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
            ControlEffect::ProbeIndirectly { via_peer_addresses, peer_address } => {
                let to = node_index(&peer_address);
                let vias: Vec<usize> = via_peer_addresses.iter().map(node_index).collect();
                let via = vias
                    .into_iter()
                    .find(|via| self.can_reach(node, *via) && self.can_reach(*via, to));
                match via {
                    Some(via) => self.probe(via, to, true),
                    None => {
                        let (sent_us, at_us) = (self.now_us, self.now_us + PROBE_TIMEOUT_US);
                        let is_indirect = true;
                        let event =
                            ScheduledEvent::Failed { to: node, peer: to, sent_us, is_indirect };
                        self.schedule(at_us, event);
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
        let event = ScheduledEvent::Probe { from, to, heartbeat, sent_us, is_indirect };
        self.schedule(self.now_us + LATENCY_US, event);
    }

    fn record_message(&mut self, heartbeat: &Heartbeat) {
        self.messages += 1;
        self.bytes += serde_json::to_vec(heartbeat).unwrap().len() as u64;
    }

    fn can_reach(&self, a: usize, b: usize) -> bool {
        let is_known = b < self.nodes.len();
        is_known && self.is_up[a] && self.is_up[b] && !self.blocked_links.contains(&(a, b))
    }

    fn schedule(&mut self, at_us: u64, event: ScheduledEvent) {
        self.sequence += 1;
        self.scheduled.insert((at_us, self.sequence), event);
    }
}

/// Returns `groups` services, each with one group of two replicas.
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
            failure_domains: (0..domains).map(|domain| eco_format!("domain-{domain}")).collect(),
            upstreams: vec![upstream(0), upstream(1)],
            limits: ReplicaLimits { slots: 2, connections: 25, queue: 64 },
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
