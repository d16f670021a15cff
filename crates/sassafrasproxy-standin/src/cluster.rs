//! Runs a whole cluster in one process, for the demo, measurements and tests.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use ecow::{EcoString, eco_format};
use eyre::{Result, WrapErr, bail};
use indexmap::IndexMap;
use sassafrasproxy_config::{NodeSettings, PublishOutcome, PublishRequest};
use sassafrasproxy_node::{Node, PlatformClient, Tuning, publish};
use sassafrasproxy_wire::{
    HeldSnapshot, NodeStatus, ReplicaLimits, RequestKindSpec, ServiceSpec, UpstreamSpec,
};

use crate::{ColdStart, PlatformStandIn, Stragglers, UpstreamSetup, UpstreamStandIn};

/// The id of the first snapshot of every service.
const FIRST_SNAPSHOT_ID: u64 = 7;

/// The maximum time until a new cluster is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// The settings of a cluster.
#[derive(Debug, Clone)]
pub struct ClusterSetup {
    /// The number of nodes.
    pub node_count: usize,
    /// The failure domains; nodes and replicas are assigned to them in turn.
    pub failure_domains: Vec<EcoString>,
    /// The services to publish and their replicas to start.
    pub services: Vec<ServiceSetup>,
    /// The tuning of every node.
    pub tuning: Tuning,
    /// The seed of the upstreams' service times.
    pub seed: u64,
}

/// The settings of one service.
#[derive(Debug, Clone)]
pub struct ServiceSetup {
    /// The name of the service.
    pub name: EcoString,
    /// The index that the service belongs to.
    pub index: EcoString,
    /// The number of replicas; each holds every shard.
    pub replica_count: usize,
    /// The number of shards.
    pub shard_count: usize,
    /// The number of slots of each replica.
    pub slots: u32,
    /// The maximum number of open connections of each replica.
    pub max_connections: u32,
    /// The time that a new connection takes before it serves, in milliseconds.
    pub connect_ms: f64,
    /// The network round-trip time, in milliseconds.
    pub round_trip_ms: f64,
    /// The mean service time of a request, in milliseconds.
    pub mean_service_ms: f64,
    /// The behaviour of replicas after a restart, if they start cold.
    pub cold_start: Option<ColdStart>,
    /// The share of slow requests and their slowdown, if there are any.
    pub stragglers: Option<Stragglers>,
    /// The default deadline of a request, in milliseconds.
    pub deadline_ms: u64,
}

/// A cluster that runs in this process until it is dropped.
pub struct Cluster {
    /// The platform stand-in that the nodes use.
    pub platform: PlatformStandIn,
    /// The replicas by service.
    pub upstreams: IndexMap<EcoString, Vec<UpstreamStandIn>>,
    /// The nodes, in the order of their start.
    pub nodes: Vec<Node>,
    /// The services that `publish` publishes, by name.
    pub services: IndexMap<EcoString, ServiceSpec>,
}

impl ServiceSetup {
    /// Returns a small service as users run it: two replicas with two slots each.
    pub fn small(name: impl Into<EcoString>, index: &str) -> Self {
        Self {
            name: name.into(),
            index: index.into(),
            replica_count: 2,
            shard_count: 1,
            slots: 2,
            max_connections: 25,
            connect_ms: 6.0,
            round_trip_ms: 3.0,
            mean_service_ms: 4.0,
            cold_start: None,
            stragglers: None,
            deadline_ms: 90,
        }
    }

    /// Returns the content of the service's file, for replicas at `addresses`.
    pub fn service_spec(&self, addresses: &[SocketAddr], domains: &[EcoString]) -> ServiceSpec {
        let upstreams = addresses.iter().enumerate().map(|(index, address)| UpstreamSpec {
            address: eco_format!("{address}"),
            failure_domain: domains[index % domains.len()].clone(),
            shards: shard_names(self.shard_count),
        });
        let kinds = [
            ("search".into(), RequestKindSpec { idempotent: true, hedge: true }),
            ("reorder".into(), RequestKindSpec { idempotent: false, hedge: false }),
        ];
        ServiceSpec {
            service: self.name.clone(),
            index: self.index.clone(),
            failure_domains: domains.to_vec(),
            upstreams: upstreams.collect(),
            limits: ReplicaLimits {
                slots: self.slots,
                connections: self.max_connections,
                queue: 64,
            },
            deadline_ms: self.deadline_ms,
            kinds: kinds.into_iter().collect(),
        }
    }

    /// Returns the settings of one of the service's replicas.
    pub fn upstream_setup(&self, seed: u64) -> UpstreamSetup {
        let shards = shard_names(self.shard_count);
        UpstreamSetup {
            slots: self.slots,
            max_connections: self.max_connections,
            connect_ms: self.connect_ms,
            round_trip_ms: self.round_trip_ms,
            mean_service_ms: self.mean_service_ms,
            cold_start: self.cold_start,
            stragglers: self.stragglers,
            snapshots: vec![HeldSnapshot {
                id: FIRST_SNAPSHOT_ID,
                shards: shards.clone(),
                layout: shards,
            }],
            seed,
        }
    }
}

impl Cluster {
    /// Starts the platform, upstreams and nodes, publishes the services, and waits until every node
    /// reports all members, and snapshots for every replica group.
    ///
    /// Returns an error if a part can't be started, the services can't be published, or the cluster
    /// isn't ready after `READY_TIMEOUT`.
    pub async fn start(setup: &ClusterSetup) -> Result<Self> {
        let platform = PlatformStandIn::start(any_loopback_port())?;
        let mut upstreams = IndexMap::new();
        let mut services = IndexMap::new();
        for (number, service) in setup.services.iter().enumerate() {
            let start = |replica: usize| {
                let seed = setup.seed + (number * 100 + replica) as u64;
                UpstreamStandIn::start(any_loopback_port(), service.upstream_setup(seed))
            };
            let replicas =
                (0..service.replica_count).map(start).collect::<std::io::Result<Vec<_>>>()?;
            let addresses: Vec<SocketAddr> =
                replicas.iter().map(UpstreamStandIn::address).collect();
            let spec = service.service_spec(&addresses, &setup.failure_domains);
            services.insert(service.name.clone(), spec);
            upstreams.insert(service.name.clone(), replicas);
        }
        let mut cluster = Self { platform, upstreams, nodes: Vec::new(), services };
        cluster.publish().await?;
        for number in 0..setup.node_count {
            cluster.add_node(number, setup)?;
        }
        cluster.wait_until_ready().await?;
        Ok(cluster)
    }

    /// Publishes the current `services` and returns their revision.
    ///
    /// Returns an error if the platform doesn't accept them.
    pub async fn publish(&self) -> Result<u64> {
        let platform = PlatformClient::new(self.platform.url())?;
        let change = PublishRequest::ReplaceServices {
            services: self.services.clone(),
            expected_revision: None,
        };
        match publish(&platform, change, "fleet".into(), |_| {}).await {
            PublishOutcome::Done { revision } | PublishOutcome::Unchanged { revision } => {
                Ok(revision)
            }
            outcome => bail!("the services were not published: {outcome:?}"),
        }
    }

    /// Starts another node, which joins through the first node, if there is one.
    ///
    /// Returns an error if its settings are invalid or it can't be started.
    pub fn add_node(&mut self, number: usize, setup: &ClusterSetup) -> Result<()> {
        let domain = &setup.failure_domains[number % setup.failure_domains.len()];
        let seeds = match self.nodes.first() {
            Some(first) => format!("seeds: [\"{}\"]", first.peer_address()),
            None => String::new(),
        };
        let text = format!(
            "name: vm-{number}\nfailure_domain: {domain}\nlisten: 127.0.0.1:0\n\
             peer_listen: 127.0.0.1:0\nplatform: {}\naddress_keep_ms: 500\n{seeds}\n",
            self.platform.url(),
        );
        let file = Path::new("fleet.yaml").display().to_string();
        let settings = NodeSettings::parse(&file, &text)?;
        self.nodes.push(Node::start(settings, setup.tuning)?);
        Ok(())
    }

    /// Returns the status of a node, or an error if it doesn't answer with a valid one.
    pub async fn status(&self, node: usize) -> Result<NodeStatus> {
        let url = format!("http://{}/v1/status", self.nodes[node].address());
        Ok(reqwest::get(url).await?.json().await?)
    }

    /// Waits until every node is ready; fails after `READY_TIMEOUT`.
    async fn wait_until_ready(&self) -> Result<()> {
        let readiness = async {
            for node in 0..self.nodes.len() {
                while !self.is_ready(node).await.unwrap_or(false) {
                    tokio::time::sleep(Duration::from_millis(50)).await;
                }
            }
        };
        tokio::time::timeout(READY_TIMEOUT, readiness)
            .await
            .wrap_err("the cluster was not ready in time; check the nodes' logs and status")
    }

    /// Returns whether a node reports all members, and snapshots for every replica group.
    async fn is_ready(&self, node: usize) -> Result<bool> {
        let status = self.status(node).await?;
        let has_snapshots = status.homes.iter().all(|home| !home.snapshots.is_empty());
        let has_homes = !status.homes.is_empty() || self.services.is_empty();
        Ok(has_snapshots && has_homes && status.members.len() == self.nodes.len())
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for node in &self.nodes {
            node.stop();
        }
    }
}

/// Returns the names of `count` shards.
pub fn shard_names(count: usize) -> Vec<EcoString> {
    (0..count).map(|number| eco_format!("s{number}")).collect()
}

/// Returns a loopback address with port 0, for any free port.
fn any_loopback_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
