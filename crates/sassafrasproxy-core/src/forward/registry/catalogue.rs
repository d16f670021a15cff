//! Everything that traffic needs to know of configuration and replicas.

use std::sync::Arc;

use ecow::EcoString;
use indexmap::IndexMap;
use sassafrasproxy_wire::{CallerLimits, ReplicaEntry, RoutedService};

use crate::{RouteTable, TrialGrant};

/// Everything that traffic needs to know, replaced as a whole.
#[derive(Debug, Clone, Default)]
pub struct Catalogue {
    /// The version of the configuration; 0 before the first.
    pub version: u64,
    /// The configuration's routes.
    pub routes: Arc<RouteTable>,
    /// The configuration's services.
    pub services: Arc<IndexMap<EcoString, RoutedService>>,
    /// What callers may send.
    pub caller_limits: CallerLimits,
    /// The replicas that may be used, by id.
    pub replicas: IndexMap<EcoString, CatalogueReplica>,
    /// What this node may send to versions on trial, by service.
    pub trial_grants: IndexMap<EcoString, TrialGrant>,
}

/// One replica of the catalogue.
#[derive(Debug, Clone, PartialEq)]
pub struct CatalogueReplica {
    /// Its entry.
    pub entry: Arc<ReplicaEntry>,
    /// When this node took the entry in, in microseconds of the node's clock.
    pub received_us: u64,
    /// Whether it may get new work.
    pub is_eligible: bool,
    /// Whether that is only what the trial of its version allows.
    pub is_on_trial: bool,
}

impl CatalogueReplica {
    /// A replica that may get any work.
    pub fn eligible(entry: ReplicaEntry, received_us: u64) -> Self {
        Self { entry: Arc::new(entry), received_us, is_eligible: true, is_on_trial: false }
    }
}
