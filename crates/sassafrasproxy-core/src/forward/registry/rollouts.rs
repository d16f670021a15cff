//! What a node knows of roll-outs, from the store or from peers.

use ecow::EcoString;
use indexmap::{IndexMap, IndexSet};

use crate::{
    CatalogueReplica, RegistryEntry, RegistryKey, RolloutOrder, RolloutPhase, RolloutRecord,
    RolloutState, ServiceVersions, TrialGrant, US_PER_MS, VersionReplicas, service_versions,
};

/// Where a node takes part in roll-outs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutParticipant {
    /// The node's name.
    pub node: EcoString,
}

/// The orders and records that a node knows.
///
/// Without a scope there are no roll-outs, and all versions of a service are alike.
#[derive(Debug, Default)]
pub struct RolloutEntries {
    participant: Option<RolloutParticipant>,
    orders: IndexMap<EcoString, Versioned<RolloutOrder>>,
    records: IndexMap<EcoString, Versioned<RolloutRecord>>,
    /// Orders that were stopped before their record says so.
    stopped_orders: IndexSet<u64>,
    /// How far this process followed the store when it first knew all of it.
    initial_revision: Option<u64>,
}

#[derive(Debug, Clone, PartialEq)]
struct Versioned<T> {
    value: T,
    revision: u64,
    is_listed: bool,
}

impl RolloutEntries {
    /// Knows nothing yet.
    pub fn new(participant: Option<RolloutParticipant>) -> Self {
        Self { participant, ..Self::default() }
    }

    /// Notes how far this node knows the store now; only the first time counts.
    pub fn record_initial_revision(&mut self, revision: u64) {
        self.initial_revision.get_or_insert(revision);
    }

    /// Takes an order in; returns whether it is news.
    pub fn apply_order(&mut self, order: RolloutOrder, revision: u64) -> bool {
        upsert_if_newer(&mut self.orders, order.service.clone(), order, revision)
    }

    /// Takes a record in; returns whether it is news.
    pub fn apply_record(&mut self, record: RolloutRecord, revision: u64) -> bool {
        upsert_if_newer(&mut self.records, record.service.clone(), record, revision)
    }

    /// Forgets an order that was taken back by a revision; returns whether it was known.
    pub fn remove_order(&mut self, service: &EcoString, revision: u64) -> bool {
        remove_if_older(&mut self.orders, service, revision)
    }

    /// Forgets a record; returns whether it was known.
    pub fn remove_record(&mut self, service: &EcoString, revision: u64) -> bool {
        remove_if_older(&mut self.records, service, revision)
    }

    /// Notes that an order was stopped; returns whether that is news.
    pub fn mark_stopped(&mut self, order_revision: u64) -> bool {
        self.stopped_orders.insert(order_revision)
    }

    /// Begins a list of the store.
    pub fn start_list(&mut self) {
        self.orders.values_mut().for_each(|known| known.is_listed = false);
        self.records.values_mut().for_each(|known| known.is_listed = false);
    }

    /// What the list did not name.
    pub fn unlisted(&self) -> Vec<RegistryKey> {
        let orders = self.orders.iter().filter(|(_, known)| !known.is_listed);
        let records = self.records.iter().filter(|(_, known)| !known.is_listed);
        let orders = orders.map(|(service, _)| RegistryKey::RolloutOrder(service.clone()));
        let records = records.map(|(service, _)| RegistryKey::RolloutRecord(service.clone()));
        orders.chain(records).collect()
    }

    /// All subjects that are known, each with its revision.
    pub fn keys(&self) -> impl Iterator<Item = (RegistryKey, u64)> {
        self.entries().map(|(fact, revision)| (fact.key(), revision))
    }

    /// All facts, each with its revision.
    pub fn entries(&self) -> impl Iterator<Item = (RegistryEntry, u64)> {
        let orders = self.orders.values();
        let orders =
            orders.map(|known| (RegistryEntry::RolloutOrder(known.value.clone()), known.revision));
        let records = self.records.values();
        let records = records
            .map(|known| (RegistryEntry::RolloutRecord(known.value.clone()), known.revision));
        orders.chain(records)
    }

    /// The order for a service.
    pub fn order(&self, service: &str) -> Option<&RolloutOrder> {
        self.orders.get(service).map(|known| &known.value)
    }

    /// The record of a service.
    pub fn record(&self, service: &str) -> Option<&RolloutRecord> {
        self.records.get(service).map(|known| &known.value)
    }

    /// Leaves open what each service's versions allow, and returns what this node may send to those
    /// on trial.
    pub fn restrict_replicas(
        &self,
        replicas: &mut IndexMap<EcoString, CatalogueReplica>,
    ) -> IndexMap<EcoString, TrialGrant> {
        let Some(scope) = &self.participant else { return IndexMap::new() };
        let versions = self.versions(replicas);
        for replica in replicas.values_mut() {
            let Some(versions) = versions.get(&replica.entry.service) else { continue };
            let is_version = |one: &Option<EcoString>| one.as_ref() == Some(&replica.entry.version);
            replica.is_on_trial = !is_version(&versions.in_use) && is_version(&versions.on_trial);
            replica.is_eligible &= replica.is_on_trial || is_version(&versions.in_use);
        }
        let grants = self.records.iter();
        grants
            .filter_map(|(service, known)| {
                Some((service.clone(), self.grant(scope, &known.value)?))
            })
            .collect()
    }

    /// All roll-outs, for the decider; `replicas` are those of the catalogue before any restriction.
    pub fn rollout_states(
        &self,
        replicas: &IndexMap<EcoString, CatalogueReplica>,
        is_configured: impl Fn(&str) -> bool,
    ) -> Vec<RolloutState> {
        if self.participant.is_none() || (self.orders.is_empty() && self.records.is_empty()) {
            return Vec::new();
        }
        let services: IndexSet<&EcoString> =
            self.orders.keys().chain(self.records.keys()).collect();
        let states = services.into_iter().map(|service| {
            let of_service = replicas.values().filter(|one| one.entry.service == *service);
            let listed = of_service.clone().map(|one| (&one.entry.version, one.entry.born_ms));
            let mut open: IndexMap<EcoString, VersionReplicas> = IndexMap::new();
            for replica in of_service.filter(|replica| replica.is_eligible) {
                let of_version = open.entry(replica.entry.version.clone()).or_default();
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
                versions: open,
                is_known: listed.count() > 0 || is_configured(service),
                is_stopped: record.is_some_and(|known| self.is_stopped(&known.value)),
            }
        });
        states.collect()
    }

    /// The versions of the services that have a record or several versions.
    fn versions(
        &self,
        replicas: &IndexMap<EcoString, CatalogueReplica>,
    ) -> IndexMap<EcoString, ServiceVersions> {
        let mut first: IndexMap<&EcoString, &EcoString> = IndexMap::new();
        let mut concerned: IndexSet<&EcoString> = self.records.keys().collect();
        for replica in replicas.values() {
            let (service, version) = (&replica.entry.service, &replica.entry.version);
            if *first.entry(service).or_insert(version) != version {
                concerned.insert(service);
            }
        }
        let versions = concerned.into_iter().map(|service| {
            let of_service = replicas.values().filter(|one| one.entry.service == *service);
            let listed = of_service.map(|one| (&one.entry.version, one.entry.born_ms));
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

    /// What this node may send to the version on trial; `None` if it has no part in the trial.
    fn grant(&self, scope: &RolloutParticipant, record: &RolloutRecord) -> Option<TrialGrant> {
        let is_running = matches!(record.phase, RolloutPhase::Trial | RolloutPhase::Promoted);
        if !is_running || self.is_stopped(record) || !record.canaries.contains(&scope.node) {
            return None;
        }
        // A life of this node before may have used the permits of an order that is older than this
        // one; the process still reports, so that nobody waits for it.
        let is_entitled = self.initial_revision.is_some_and(|first| first < record.order_revision);
        Some(TrialGrant {
            version: record.target_version.clone(),
            order_revision: record.order_revision,
            permits: if is_entitled { record.permits_each } else { 0 },
            ratio: if is_entitled { record.request_share } else { 0.0 },
            spread_us: record.spread_ms * US_PER_MS,
        })
    }
}

fn upsert_if_newer<T: PartialEq>(
    facts: &mut IndexMap<EcoString, Versioned<T>>,
    service: EcoString,
    fact: T,
    revision: u64,
) -> bool {
    if let Some(known) = facts.get_mut(&service)
        && revision <= known.revision
    {
        known.is_listed = true;
        return false;
    }
    facts.insert(service, Versioned { value: fact, revision, is_listed: true });
    true
}

fn remove_if_older<T>(
    facts: &mut IndexMap<EcoString, Versioned<T>>,
    service: &EcoString,
    revision: u64,
) -> bool {
    let is_older = facts.get(service).is_some_and(|known| known.revision <= revision);
    is_older && facts.shift_remove(service).is_some()
}
