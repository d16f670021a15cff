//! Keeps the rollout orders and records that a node has learned from the store or from peers.

use ecow::EcoString;
use indexmap::{IndexMap, IndexSet};

use super::versioned_entries::VersionedEntries;
use crate::{
    CatalogueReplica, RegistryEntry, RegistryKey, RolloutOrder, RolloutPhase, RolloutRecord,
    RolloutState, ServiceVersions, TrialGrant, US_PER_MS, VersionReplicas, service_versions,
};

/// A node that takes part in rollouts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutParticipant {
    /// The name of the node.
    pub node: EcoString,
}

/// The rollout orders and records that a node has received.
///
/// Without a participant, there are no rollouts and all versions of a service are treated the same.
#[derive(Debug, Default)]
pub struct RolloutEntries {
    participant: Option<RolloutParticipant>,
    orders: VersionedEntries<EcoString, RolloutOrder>,
    records: VersionedEntries<EcoString, RolloutRecord>,
    /// The store's revisions of orders that were stopped, possibly before their record shows it.
    stopped_orders: IndexSet<u64>,
    /// The store's revision of the first list that this process received, or of the first entries
    /// from a peer.
    initial_revision: Option<u64>,
}

impl RolloutEntries {
    /// Creates an empty state.
    pub fn new(participant: Option<RolloutParticipant>) -> Self {
        Self { participant, ..Self::default() }
    }

    /// Records the store's revision of a list or of a peer's entries; only the first call has an
    /// effect.
    pub fn record_initial_revision(&mut self, revision: u64) {
        self.initial_revision.get_or_insert(revision);
    }

    /// Applies an order; returns whether it is newer than the known one.
    pub fn apply_order(&mut self, order: RolloutOrder, revision: u64) -> bool {
        self.orders.upsert_if_newer(order.service.clone(), order, revision)
    }

    /// Applies a record; returns whether it is newer than the known one.
    pub fn apply_record(&mut self, record: RolloutRecord, revision: u64) -> bool {
        self.records.upsert_if_newer(record.service.clone(), record, revision)
    }

    /// Removes an order that was withdrawn at a revision; returns whether one was removed.
    pub fn remove_order(&mut self, service: &EcoString, revision: u64) -> bool {
        self.orders.remove_if_older(service, revision)
    }

    /// Removes a record that the store removed at a revision; returns whether one was removed.
    pub fn remove_record(&mut self, service: &EcoString, revision: u64) -> bool {
        self.records.remove_if_older(service, revision)
    }

    /// Records that an order was stopped; returns whether this was not recorded before.
    pub fn mark_stopped(&mut self, order_revision: u64) -> bool {
        self.stopped_orders.insert(order_revision)
    }

    /// Starts a list of the store: marks all entries as not listed.
    pub fn start_list(&mut self) {
        self.orders.start_list();
        self.records.start_list();
    }

    /// Returns the keys of the entries that the list did not contain.
    pub fn unlisted(&self) -> Vec<RegistryKey> {
        let orders = self.orders.unlisted().cloned().map(RegistryKey::RolloutOrder);
        let records = self.records.unlisted().cloned().map(RegistryKey::RolloutRecord);
        orders.chain(records).collect()
    }

    /// Returns the keys of all known entries, each with the entry's revision.
    pub fn keys(&self) -> impl Iterator<Item = (RegistryKey, u64)> {
        self.entries().map(|(entry, revision)| (entry.key(), revision))
    }

    /// Returns all known entries, each with its revision.
    pub fn entries(&self) -> impl Iterator<Item = (RegistryEntry, u64)> {
        let orders = self.orders.iter();
        let orders = orders
            .map(|(_, known)| (RegistryEntry::RolloutOrder(known.value.clone()), known.revision));
        let records = self.records.iter();
        let records = records
            .map(|(_, known)| (RegistryEntry::RolloutRecord(known.value.clone()), known.revision));
        orders.chain(records)
    }

    /// Returns the order for a service.
    pub fn order(&self, service: &str) -> Option<&RolloutOrder> {
        self.orders.get(service).map(|known| &known.value)
    }

    /// Returns the record of a service.
    pub fn record(&self, service: &str) -> Option<&RolloutRecord> {
        self.records.get(service).map(|known| &known.value)
    }

    /// Restricts the eligible replicas to the versions in use and on trial, and returns the traffic
    /// that this node may send to versions on trial, by service.
    pub fn restrict_replicas(
        &self,
        replicas: &mut IndexMap<EcoString, CatalogueReplica>,
    ) -> IndexMap<EcoString, TrialGrant> {
        let Some(participant) = &self.participant else { return IndexMap::new() };
        let versions = self.versions(replicas);
        for replica in replicas.values_mut() {
            let Some(versions) = versions.get(&replica.entry.service) else { continue };
            let is_version =
                |version: &Option<EcoString>| version.as_ref() == Some(&replica.entry.version);
            replica.is_on_trial = !is_version(&versions.in_use) && is_version(&versions.on_trial);
            replica.is_eligible &= replica.is_on_trial || is_version(&versions.in_use);
        }
        let grants = self.records.iter();
        grants
            .filter_map(|(service, known)| {
                Some((service.clone(), self.grant(participant, &known.value)?))
            })
            .collect()
    }

    /// Returns the states of all rollouts, for the coordinator.
    ///
    /// `replicas` are those of the catalogue before `restrict_replicas`.
    pub fn rollout_states(
        &self,
        replicas: &IndexMap<EcoString, CatalogueReplica>,
        is_configured: impl Fn(&str) -> bool,
    ) -> Vec<RolloutState> {
        if self.participant.is_none() || (self.orders.is_empty() && self.records.is_empty()) {
            return Vec::new();
        }
        let services: IndexSet<&EcoString> = self
            .orders
            .iter()
            .map(|(service, _)| service)
            .chain(self.records.iter().map(|(service, _)| service))
            .collect();
        let states = services.into_iter().map(|service| {
            let of_service = replicas.values().filter(|replica| replica.entry.service == *service);
            let listed =
                of_service.clone().map(|replica| (&replica.entry.version, replica.entry.born_ms));
            let mut eligible: IndexMap<EcoString, VersionReplicas> = IndexMap::new();
            for replica in of_service.filter(|replica| replica.is_eligible) {
                let of_version = eligible.entry(replica.entry.version.clone()).or_default();
                of_version.count += 1;
                of_version.slots += replica.entry.slots;
            }
            let record = self.records.get(service);
            let versions = self.versions_of(service, listed.clone());
            RolloutState {
                service: service.clone(),
                order: self.orders.get(service).map(|known| (known.value.clone(), known.revision)),
                record: record.map(|known| (known.value.clone(), known.revision)),
                in_use: versions.in_use,
                versions: eligible,
                is_known: listed.count() > 0 || is_configured(service),
                is_stopped: record.is_some_and(|known| self.is_stopped(&known.value)),
            }
        });
        states.collect()
    }

    /// Returns the versions in use and on trial of the services that have a record or more than one
    /// version.
    fn versions(
        &self,
        replicas: &IndexMap<EcoString, CatalogueReplica>,
    ) -> IndexMap<EcoString, ServiceVersions> {
        let mut first_versions: IndexMap<&EcoString, &EcoString> = IndexMap::new();
        let mut services: IndexSet<&EcoString> =
            self.records.iter().map(|(service, _)| service).collect();
        for replica in replicas.values() {
            let (service, version) = (&replica.entry.service, &replica.entry.version);
            if *first_versions.entry(service).or_insert(version) != version {
                services.insert(service);
            }
        }
        let versions = services.into_iter().map(|service| {
            let of_service = replicas.values().filter(|replica| replica.entry.service == *service);
            let listed = of_service.map(|replica| (&replica.entry.version, replica.entry.born_ms));
            (service.clone(), self.versions_of(service, listed))
        });
        versions.collect()
    }

    fn versions_of<'a>(
        &self,
        service: &str,
        listed: impl Iterator<Item = (&'a EcoString, u64)> + Clone,
    ) -> ServiceVersions {
        let record = self.record(service);
        service_versions(record, record.is_some_and(|record| self.is_stopped(record)), listed)
    }

    fn is_stopped(&self, record: &RolloutRecord) -> bool {
        self.stopped_orders.contains(&record.order_revision)
    }

    /// Returns the traffic that this node may send to the version on trial.
    ///
    /// Returns `None` if the node is not a canary of the rollout, or if the rollout is stopped or
    /// neither in its trial nor promoted.
    fn grant(
        &self,
        participant: &RolloutParticipant,
        record: &RolloutRecord,
    ) -> Option<TrialGrant> {
        let is_running = matches!(record.phase, RolloutPhase::Trial | RolloutPhase::Promoted);
        if !is_running || self.is_stopped(record) || !record.canaries.contains(&participant.node) {
            return None;
        }
        // If the order is older than this process, the node may already have used its permits
        // before a restart. It then gets none, but still reports so that the coordinator does not
        // wait for it.
        let is_entitled =
            self.initial_revision.is_some_and(|initial| initial < record.order_revision);
        Some(TrialGrant {
            version: record.target_version.clone(),
            order_revision: record.order_revision,
            permits: if is_entitled { record.permits_each } else { 0 },
            ratio: if is_entitled { record.request_share } else { 0.0 },
            spread_us: record.spread_ms * US_PER_MS,
        })
    }
}
