//! The catalogue: the configuration and replicas that requests are routed by.

use std::sync::Arc;

use ecow::EcoString;
use indexmap::IndexMap;
use sassafrasproxy_wire::{CallerLimits, ReplicaEntry, RoutedService};

use crate::{AccountTable, QuarantineRecords, RouteTable, TrialGrant};

/// An immutable snapshot of the configuration and the usable replicas.
///
/// Each change replaces the snapshot as a whole.
#[derive(Debug, Clone, Default)]
pub struct Catalogue {
    /// The version of the active configuration; 0 before the first one is received.
    pub version: u64,
    /// The routes of the active configuration.
    pub routes: Arc<RouteTable>,
    /// The services of the active configuration, by name.
    pub services: Arc<IndexMap<EcoString, RoutedService>>,
    /// The limits on what callers may send.
    pub caller_limits: CallerLimits,
    /// The client accounts; `None` if requests need no key.
    pub accounts: Option<Arc<AccountTable>>,
    /// The known replicas, by id; those that may get new work are marked eligible.
    pub replicas: IndexMap<EcoString, CatalogueReplica>,
    /// The traffic that this node may send to versions on trial, by service.
    pub trial_grants: IndexMap<EcoString, TrialGrant>,
    /// The records of the quarantined requests.
    pub quarantines: Arc<QuarantineRecords>,
}

/// A replica in the catalogue.
#[derive(Debug, Clone, PartialEq)]
pub struct CatalogueReplica {
    /// The entry that the replica registered in the store.
    pub entry: Arc<ReplicaEntry>,
    /// The time at which this node received the entry, in microseconds of the node's clock.
    pub received_us: u64,
    /// Whether the replica may get new work.
    pub is_eligible: bool,
    /// Whether the replica's version is on trial, so that it gets only the work the trial allows.
    pub is_on_trial: bool,
}

impl CatalogueReplica {
    /// Creates a replica that may get any work.
    pub fn eligible(entry: ReplicaEntry, received_us: u64) -> Self {
        Self { entry: Arc::new(entry), received_us, is_eligible: true, is_on_trial: false }
    }
}
