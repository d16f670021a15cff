//! Routes, which map opaque HTTP requests to services and set limits, and registry entries of
//! replicas.

use std::net::SocketAddr;

use ecow::EcoString;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::ClientAccounts;

/// One version of the operators' configuration of routes, services and caller limits.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct RouteConfiguration {
    /// The version; it grows with each change, in steps of any size, and is 0 before the first.
    pub version: u64,
    /// All routes, in no particular order.
    pub routes: Vec<Route>,
    /// The services that routes may target, by name.
    pub services: IndexMap<EcoString, RoutedService>,
    /// The limits on what callers may send.
    pub caller_limits: CallerLimits,
    /// The client accounts; `None` if requests need no key.
    pub accounts: Option<ClientAccounts>,
}

/// A route: the target and limits for requests with one host and path prefix.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Route {
    /// The route's name; unique in its configuration.
    pub name: EcoString,
    /// The value of the `Host` header that the route matches, without a port.
    pub host: EcoString,
    /// The path prefix that the route matches; begins and ends with a slash.
    pub prefix: EcoString,
    /// Whether requests are idempotent, so that one may run more than once.
    pub is_idempotent: bool,
    /// The longest time that a caller waits for an answer, in milliseconds.
    pub timeout_ms: u64,
    /// The latency goal, in milliseconds; a later answer is worth less to the caller.
    pub goal_ms: u64,
    /// The maximum number of replicas of a service that one caller attempt is sent to; at least 1.
    pub max_attempts: u32,
    /// The priority; 0 is the most urgent.
    pub priority: u32,
    /// Whether requests need no key where the configuration has client accounts.
    pub is_open: bool,
    /// The services that answer.
    pub target: RouteTarget,
}

/// The services that answer the requests of a route.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteTarget {
    /// One replica of a service.
    Service(EcoString),
    /// One replica of one of several services, which is chosen by weight; never empty.
    Split(Vec<WeightedService>),
    /// One replica of each of several services; their answers are merged.
    Gather(GatherTarget),
}

impl RouteTarget {
    /// Returns every service that the target names.
    pub fn services(&self) -> Vec<&EcoString> {
        match self {
            Self::Service(service) => vec![service],
            Self::Split(choices) => choices.iter().map(|choice| &choice.service).collect(),
            Self::Gather(gather) => gather.services.iter().collect(),
        }
    }
}

/// One service of a split.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct WeightedService {
    /// The service's name.
    pub service: EcoString,
    /// The weight relative to those of the other services; not negative.
    pub weight: f64,
}

/// A gather: a query over all shards of an index.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct GatherTarget {
    /// The services, one for each shard; never empty.
    pub services: Vec<EcoString>,
    /// The number of top records in the answer.
    pub top_k: usize,
    /// The minimum fraction of the shards that an answer covers, 0 to 1.
    pub min_coverage: f64,
}

/// The declaration of one service by the operators.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct RoutedService {
    /// The path of a replica's health check.
    pub health_path: EcoString,
    /// The maximum number of connections that a replica accepts from all nodes together.
    pub max_connections: u32,
    /// The time for which a replica is cold after its start, in milliseconds.
    pub warmup_ms: u64,
    /// The maximum rate of requests that a cold replica can handle, per second; `None` if no limit
    /// is declared.
    pub warmup_per_s: Option<f64>,
}

/// The limits on the size and time of callers' requests and connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CallerLimits {
    /// The maximum size of a request head, in bytes.
    pub header_bytes: usize,
    /// The maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// The timeout for the arrival of a request head, in milliseconds.
    pub header_timeout_ms: u64,
    /// The timeout of an idle connection, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for CallerLimits {
    /// Returns the limits until the first configuration arrives: common defaults of HTTP servers.
    fn default() -> Self {
        Self {
            header_bytes: 16_384,
            body_bytes: 1_048_576,
            header_timeout_ms: 5_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// A replica's own entry in the registry.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ReplicaEntry {
    /// The replica's id; it may be the same after a restart.
    pub id: EcoString,
    /// The start time, in milliseconds since 1970; distinguishes restarts with the same id.
    pub born_ms: u64,
    /// The sequence number of the entry; grows with each entry that the replica writes until it
    /// restarts.
    pub sequence: u64,
    /// The name of the replica's service.
    pub service: EcoString,
    /// The version of the replica's software.
    pub version: EcoString,
    /// The address that the replica listens on; another replica may listen there later.
    pub address: SocketAddr,
    /// The failure domain of the replica.
    pub failure_domain: EcoString,
    /// The number of requests that the replica runs concurrently; at least 1.
    pub slots: u32,
    /// Whether the replica is draining: it is about to stop and takes no new requests.
    pub is_draining: bool,
    /// The remaining time for which the replica is cold, in milliseconds from the time when the
    /// entry was written.
    pub cold_for_ms: u64,
}
