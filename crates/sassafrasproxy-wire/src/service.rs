//! The configuration that operators publish.

use ecow::EcoString;
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

/// The complete configuration at one revision.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Configuration {
    /// The revision; a node never changes from a higher to a lower one.
    pub revision: u64,
    /// The services by name.
    pub services: IndexMap<EcoString, ServiceSpec>,
    /// The failure domains that are out of service and get no new work.
    pub domains_out: IndexSet<EcoString>,
}

impl Configuration {
    /// Returns the failure domains that any service declares, in the order of first declaration.
    pub fn failure_domains(&self) -> IndexSet<&EcoString> {
        self.services.values().flat_map(|service| &service.failure_domains).collect()
    }
}

/// A service, as its service file declares it.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ServiceSpec {
    /// The service's name.
    pub service: EcoString,
    /// The index that its shards are part of.
    pub index: EcoString,
    /// The failure domains that the service declares for its replicas.
    pub failure_domains: Vec<EcoString>,
    /// The replicas of the service; at least one.
    pub upstreams: Vec<UpstreamSpec>,
    /// The limits of each replica.
    pub limits: ReplicaLimits,
    /// The deadline of a request that gives none, in milliseconds.
    pub deadline_ms: u64,
    /// The kinds of requests by name.
    pub kinds: IndexMap<EcoString, RequestKindSpec>,
}

/// One replica of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct UpstreamSpec {
    /// The address, as `ip:port`; unique over all services.
    pub address: EcoString,
    /// The failure domain of the replica; one of those that the service declares.
    pub failure_domain: EcoString,
    /// The shards that the replica may hold; at least one.
    pub shards: Vec<EcoString>,
}

/// The limits of each replica of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ReplicaLimits {
    /// The maximum number of sub-requests in flight; at least 1.
    pub slots: u32,
    /// The maximum number of open connections; at least `slots`.
    pub connections: u32,
    /// The maximum number of queued sub-requests at the group's home.
    pub queue: u32,
}

/// Whether requests of one kind may be repeated and hedged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RequestKindSpec {
    /// Whether running a request twice does no harm.
    pub idempotent: bool,
    /// Whether a request may be hedged, with a second attempt before the first has ended; only with
    /// `idempotent`.
    pub hedge: bool,
}

/// The head of a configuration: its only commit point in the platform's store.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ConfigurationHead {
    /// The revision; one more than that of the head that it replaced.
    pub revision: u64,
    /// The unique id of the publish operation; shows whether a write took effect when the store's
    /// answer was lost.
    pub publish_id: EcoString,
    /// The name of the publisher.
    pub published_by: EcoString,
    /// The failure domains that are out of service and get no new work.
    pub domains_out: IndexSet<EcoString>,
    /// The names of the chunks that hold the services, in order.
    pub chunks: Vec<EcoString>,
}
