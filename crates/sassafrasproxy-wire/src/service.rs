//! The configuration that operators publish.

use ecow::EcoString;
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

/// Everything that is in force at one revision.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Configuration {
    /// The revision; a node never goes from a higher to a lower one.
    pub revision: u64,
    /// Services by name.
    pub services: IndexMap<EcoString, ServiceSpec>,
    /// Failure domains that get no new work.
    pub domains_out: IndexSet<EcoString>,
}

impl Configuration {
    /// The failure domains that any service declares, in order of first mention.
    pub fn failure_domains(&self) -> IndexSet<&EcoString> {
        self.services.values().flat_map(|service| &service.failure_domains).collect()
    }
}

/// One service, as its file declares it.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ServiceSpec {
    /// The service's name.
    pub service: EcoString,
    /// The index that its shards are part of.
    pub index: EcoString,
    /// The failure domains that its replicas live in.
    pub failure_domains: Vec<EcoString>,
    /// Its replicas; at least one.
    pub upstreams: Vec<UpstreamSpec>,
    /// Limits for each replica.
    pub limits: ReplicaLimits,
    /// The deadline of a request that names none, in milliseconds.
    pub deadline_ms: u64,
    /// The kinds of request by name.
    pub kinds: IndexMap<EcoString, RequestKindSpec>,
}

/// One replica of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct UpstreamSpec {
    /// `ip:port`; unique over all services.
    pub address: EcoString,
    /// Where it is; one of the service's failure domains.
    pub failure_domain: EcoString,
    /// The shards it may hold; at least one.
    pub shards: Vec<EcoString>,
}

/// What each replica of a service bears.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ReplicaLimits {
    /// Sub-requests in flight; at least 1.
    pub slots: u32,
    /// Open connections; at least `slots`.
    pub connections: u32,
    /// Sub-requests that may wait at the group's home.
    pub queue: u32,
}

/// How one kind of request may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RequestKindSpec {
    /// Whether running it twice does no harm.
    pub idempotent: bool,
    /// Whether a second try may start before the first ends; only with `idempotent`.
    pub hedge: bool,
}

/// The one commit point of the configuration, kept in the platform's store.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ConfigurationHead {
    /// The revision; one more than that of the head it replaced.
    pub revision: u64,
    /// Unique for each publishing, to recognise it when the store's answer was lost.
    pub publish_id: EcoString,
    /// Who published it.
    pub published_by: EcoString,
    /// Failure domains that get no new work.
    pub domains_out: IndexSet<EcoString>,
    /// The names of the chunks that hold the services, in order.
    pub chunks: Vec<EcoString>,
}
