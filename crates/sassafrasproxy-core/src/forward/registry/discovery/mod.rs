//! Keeps a node's view of the configuration, replicas, registered nodes and rollouts, learned from
//! the store or from peers.

mod events;
mod known_replica;

use std::sync::Arc;

use ecow::EcoString;
use indexmap::{IndexMap, IndexSet};
use sassafrasproxy_wire::{ReplicaEntry, RouteConfiguration, RoutedService};

pub use self::events::{DiscoveryEvent, DiscoveryLogEvent};
use self::known_replica::{KnownReplica, cold_until_us};
use super::entries::ChangeLog;
use super::rollouts::{RolloutEntries, RolloutParticipant};
use super::versioned_entries::VersionedEntries;
use crate::{
    AccountTable, Catalogue, CatalogueReplica, NodeRegistration, QuarantineRecord,
    QuarantineRecords, RegistryChanges, RegistryEntry, RegistryKey, RolloutState, RouteTable,
};

/// A node's view of the entries of the store, which changes only by the events passed to `step`.
#[derive(Debug, Default)]
pub struct Discovery {
    configuration: Arc<RouteConfiguration>,
    routes: Arc<RouteTable>,
    services: Arc<IndexMap<EcoString, RoutedService>>,
    accounts: Option<Arc<AccountTable>>,
    replicas: IndexMap<EcoString, KnownReplica>,
    /// The start time and sequence of the newest entry seen of each replica, kept after removal.
    ///
    /// An older entry that reaches the store late would otherwise make a draining replica look
    /// ready again.
    newest_stamps: IndexMap<EcoString, (u64, u64)>,
    /// Failure domains that are out of service, each with the entry's revision and whether the
    /// last list contained it.
    domains_out: IndexMap<EcoString, (u64, bool)>,
    nodes: IndexMap<EcoString, NodeRegistration>,
    rollouts: RolloutEntries,
    quarantines: VersionedEntries<u64, QuarantineRecord>,
    /// The records of the last catalogue; `None` if they have changed since.
    published_quarantines: Option<Arc<QuarantineRecords>>,
    is_store_unavailable: bool,
    /// The time until which replicas whose entries are gone are held, in microseconds.
    hold_until_us: u64,
    log_events: Vec<DiscoveryLogEvent>,
    is_catalogue_stale: bool,
    change_log: ChangeLog,
}

impl Discovery {
    /// Creates an empty state; without a participant, there are no rollouts.
    pub fn new(participant: Option<RolloutParticipant>) -> Self {
        Self { rollouts: RolloutEntries::new(participant), ..Self::default() }
    }

    /// Applies an event.
    pub fn step(&mut self, now_us: u64, event: DiscoveryEvent) {
        match event {
            DiscoveryEvent::ListStarted { revision } => {
                self.rollouts.record_initial_revision(revision);
                self.change_log = ChangeLog::starting_after(revision);
                self.start_list();
            }
            DiscoveryEvent::EntrySeen { entry, revision } => {
                self.change_log.record(revision, entry.key());
                self.apply_entry(now_us, entry, revision);
            }
            DiscoveryEvent::EntryRemoved { key, revision } => {
                self.remove_entry(now_us, &key, revision);
                self.change_log.record(revision, key);
            }
            DiscoveryEvent::ListEnded => self.end_list(now_us),
            DiscoveryEvent::PeerEntries { entries, revision } => {
                self.rollouts.record_initial_revision(revision);
                self.change_log = ChangeLog::starting_after(revision);
                self.apply_peer_entries(now_us, entries, revision);
            }
            DiscoveryEvent::HoldUntil { until_us } => {
                self.hold_until_us = self.hold_until_us.max(until_us);
            }
            DiscoveryEvent::RolloutStopped { order_revision } => {
                if self.rollouts.mark_stopped(order_revision) {
                    self.log_events.push(DiscoveryLogEvent::RolloutStopped { order_revision });
                    self.is_catalogue_stale = true;
                }
            }
            DiscoveryEvent::PeerSyncStarted => self.is_store_unavailable = false,
            DiscoveryEvent::StoreUnavailable => self.is_store_unavailable = true,
            DiscoveryEvent::StoreRecovered { hold_until_us } => self.extend_holds(hold_until_us),
            DiscoveryEvent::Tick => self.remove_expired_holds(now_us),
        }
    }

    /// Takes the log events since the last call.
    pub fn take_log_events(&mut self) -> Vec<DiscoveryLogEvent> {
        std::mem::take(&mut self.log_events)
    }

    /// Returns a new catalogue if anything in it changed since the last call.
    pub fn take_catalogue(&mut self) -> Option<Catalogue> {
        std::mem::take(&mut self.is_catalogue_stale).then(|| self.catalogue())
    }

    /// Returns the registered nodes.
    pub fn nodes(&self) -> impl Iterator<Item = &NodeRegistration> {
        self.nodes.values()
    }

    /// Whether the received entries contain a registration of a node.
    pub fn is_registered(&self, node: &str) -> bool {
        self.nodes.contains_key(node)
    }

    /// Returns the earliest end of a replica's hold, in microseconds; `None` if none is held.
    pub fn next_hold_expiry_us(&self) -> Option<u64> {
        self.replicas.values().filter_map(|replica| replica.held_until_us).min()
    }

    /// Returns the version of the active configuration.
    pub fn configuration_version(&self) -> u64 {
        self.configuration.version
    }

    /// Returns the changes after a revision; `None` if the change log does not go back that far.
    pub fn changes_after(&self, revision: u64) -> Option<RegistryChanges> {
        let mut changes = RegistryChanges { updated: Vec::new(), removed: Vec::new() };
        for (key, changed_at) in self.change_log.keys_changed_after(revision)? {
            match self.entry(key) {
                Some(entry) => changes.updated.push((entry, changed_at)),
                None => changes.removed.push((key.clone(), changed_at)),
            }
        }
        Some(changes)
    }

    /// Returns the current entry of a key; `None` if there is none or its replica is held.
    fn entry(&self, key: &RegistryKey) -> Option<RegistryEntry> {
        match key {
            RegistryKey::Configuration => {
                Some(RegistryEntry::Configuration((*self.configuration).clone()))
            }
            RegistryKey::DomainOut(domain) => {
                let is_out = self.domains_out.contains_key(domain);
                is_out.then(|| RegistryEntry::DomainOut(domain.clone()))
            }
            RegistryKey::Replica(id) => {
                let known = self.replicas.get(id).filter(|known| known.held_until_us.is_none())?;
                Some(RegistryEntry::Replica((*known.entry).clone()))
            }
            RegistryKey::Node(name) => self.nodes.get(name).cloned().map(RegistryEntry::Node),
            RegistryKey::RolloutOrder(service) => {
                self.rollouts.order(service).cloned().map(RegistryEntry::RolloutOrder)
            }
            RegistryKey::RolloutRecord(service) => {
                self.rollouts.record(service).cloned().map(RegistryEntry::RolloutRecord)
            }
            RegistryKey::Quarantine(fingerprint) => {
                let known = self.quarantines.get(fingerprint)?;
                Some(RegistryEntry::Quarantine(known.value.clone()))
            }
        }
    }

    /// Returns the states of all rollouts, for the coordinator.
    pub fn rollouts(&self) -> Vec<RolloutState> {
        let is_configured = |service: &str| self.services.contains_key(service);
        self.rollouts.rollout_states(&self.catalogue_replicas(), is_configured)
    }

    /// Returns the time until which replicas whose entries are gone are held, in microseconds.
    pub fn hold_until_us(&self) -> u64 {
        self.hold_until_us
    }

    /// Returns all known entries, for a peer that does not list the store.
    ///
    /// Each comes with its revision, except the configuration and registrations, which have 0.
    pub fn entries(&self) -> Vec<(RegistryEntry, u64)> {
        let mut entries = Vec::new();
        if self.configuration.version > 0 {
            entries.push((RegistryEntry::Configuration((*self.configuration).clone()), 0));
        }
        let domains_out = self.domains_out.iter();
        entries.extend(
            domains_out.map(|(domain, (revision, _))| {
                (RegistryEntry::DomainOut(domain.clone()), *revision)
            }),
        );
        let present = self.replicas.values().filter(|replica| replica.held_until_us.is_none());
        entries.extend(
            present.map(|replica| {
                (RegistryEntry::Replica((*replica.entry).clone()), replica.revision)
            }),
        );
        // A node that does not find its own registration registers again, at a cost of two calls to
        // the store.
        entries.extend(self.nodes.values().map(|node| (RegistryEntry::Node(node.clone()), 0)));
        entries.extend(self.rollouts.entries());
        entries.extend(
            self.quarantines
                .iter()
                .map(|(_, known)| (RegistryEntry::Quarantine(known.value.clone()), known.revision)),
        );
        entries
    }

    /// Returns the records of the quarantined requests.
    pub fn quarantines(&mut self) -> Arc<QuarantineRecords> {
        let records = self.quarantines.iter();
        let records = records
            .map(|(fingerprint, known)| (*fingerprint, (known.value.clone(), known.revision)));
        let published = &mut self.published_quarantines;
        published.get_or_insert_with(|| Arc::new(records.collect())).clone()
    }

    fn catalogue(&mut self) -> Catalogue {
        let mut replicas = self.catalogue_replicas();
        let trial_grants = self.rollouts.restrict_replicas(&mut replicas);
        Catalogue {
            version: self.configuration.version,
            routes: self.routes.clone(),
            services: self.services.clone(),
            caller_limits: self.configuration.caller_limits,
            accounts: self.accounts.clone(),
            replicas,
            trial_grants,
            quarantines: self.quarantines(),
        }
    }

    /// Returns the known replicas for the catalogue, before rollouts restrict them.
    fn catalogue_replicas(&self) -> IndexMap<EcoString, CatalogueReplica> {
        let replicas = self.replicas.iter().map(|(id, known)| {
            let is_out = self.domains_out.contains_key(&known.entry.failure_domain);
            let replica = CatalogueReplica {
                entry: known.entry.clone(),
                received_us: known.received_us,
                is_eligible: !is_out && !known.entry.is_draining,
                is_on_trial: false,
            };
            (id.clone(), replica)
        });
        replicas.collect()
    }

    /// Extends the holds when the store recovers, so that held replicas can register again in time.
    fn extend_holds(&mut self, hold_until_us: u64) {
        if !std::mem::take(&mut self.is_store_unavailable) {
            return;
        }
        self.hold_until_us = hold_until_us;
        for replica in self.replicas.values_mut() {
            replica.held_until_us = replica.held_until_us.map(|_| self.hold_until_us);
        }
    }

    fn start_list(&mut self) {
        self.replicas.values_mut().for_each(|replica| replica.is_listed = false);
        self.domains_out.values_mut().for_each(|(_, is_listed)| *is_listed = false);
        self.nodes.clear();
        self.rollouts.start_list();
        self.quarantines.start_list();
    }

    fn end_list(&mut self, now_us: u64) {
        let domains = self.domains_out.iter().filter(|(_, (_, is_listed))| !is_listed);
        let domains: Vec<EcoString> = domains.map(|(domain, _)| domain.clone()).collect();
        for domain in domains {
            self.bring_domain_back(&domain);
        }
        let missing = self.replicas.iter().filter(|(_, replica)| !replica.is_listed);
        let missing: Vec<EcoString> = missing.map(|(id, _)| id.clone()).collect();
        for id in missing {
            self.remove_or_hold_replica(now_us, &id);
        }
        let quarantines = self.quarantines.unlisted().copied().map(RegistryKey::Quarantine);
        let unlisted: Vec<RegistryKey> =
            self.rollouts.unlisted().into_iter().chain(quarantines).collect();
        for key in unlisted {
            self.remove_entry(now_us, &key, u64::MAX);
        }
    }

    /// Applies a peer's entries, and removes what the peer does not list.
    ///
    /// Only entries that are older than the peer's revision are removed; the peer may not have seen
    /// newer ones yet.
    fn apply_peer_entries(
        &mut self,
        now_us: u64,
        entries: Vec<(RegistryEntry, u64)>,
        revision: u64,
    ) {
        let listed: IndexSet<RegistryKey> = entries.iter().map(|(entry, _)| entry.key()).collect();
        for (entry, revision) in entries {
            self.apply_entry(now_us, entry, revision);
        }
        let is_removed = |key: RegistryKey, known_revision: u64| {
            known_revision < revision && !listed.contains(&key)
        };
        let domains = self.domains_out.iter();
        let brought_back: Vec<EcoString> = domains
            .filter(|(domain, (known_revision, _))| {
                is_removed(RegistryKey::DomainOut((*domain).clone()), *known_revision)
            })
            .map(|(domain, _)| domain.clone())
            .collect();
        let replicas = self.replicas.iter();
        let removed: Vec<EcoString> = replicas
            .filter(|(id, known)| is_removed(RegistryKey::Replica((*id).clone()), known.revision))
            .map(|(id, _)| id.clone())
            .collect();
        for domain in brought_back {
            self.bring_domain_back(&domain);
        }
        for id in removed {
            self.remove_replica(id);
        }
        let quarantines = self.quarantines.iter();
        let quarantines = quarantines
            .map(|(fingerprint, known)| (RegistryKey::Quarantine(*fingerprint), known.revision));
        let keys: Vec<(RegistryKey, u64)> = self.rollouts.keys().chain(quarantines).collect();
        for (key, known_revision) in keys {
            if is_removed(key.clone(), known_revision) {
                self.remove_entry(now_us, &key, revision);
            }
        }
    }

    fn apply_entry(&mut self, now_us: u64, entry: RegistryEntry, revision: u64) {
        match entry {
            RegistryEntry::Configuration(configuration) => self.apply_configuration(configuration),
            RegistryEntry::DomainOut(domain) => self.take_domain_out(domain, revision),
            RegistryEntry::Replica(entry) => self.apply_replica(now_us, entry, revision),
            RegistryEntry::Node(node) => {
                self.nodes.insert(node.member.node.clone(), node);
            }
            RegistryEntry::RolloutOrder(order) => {
                let (service, target) = (order.service.clone(), order.target_version.clone());
                if self.rollouts.apply_order(order, revision) {
                    let target_version = Some(target);
                    self.log_events
                        .push(DiscoveryLogEvent::RolloutOrderChanged { service, target_version });
                    self.is_catalogue_stale = true;
                }
            }
            RegistryEntry::RolloutRecord(record) => {
                let log_event = DiscoveryLogEvent::RolloutAdvanced {
                    service: record.service.clone(),
                    target_version: record.target_version.clone(),
                    phase: record.phase,
                };
                if self.rollouts.apply_record(record, revision) {
                    self.log_events.push(log_event);
                    self.is_catalogue_stale = true;
                }
            }
            RegistryEntry::Quarantine(record) => {
                let (fingerprint, trials) = (record.fingerprint, record.trials);
                let is_quarantined = record.is_quarantined;
                if self.quarantines.upsert_if_newer(fingerprint, record, revision) {
                    self.log_events.push(DiscoveryLogEvent::QuarantineRecorded {
                        fingerprint,
                        is_quarantined,
                        trials,
                    });
                    self.published_quarantines = None;
                    self.is_catalogue_stale = true;
                }
            }
        }
    }

    /// Activates a configuration if it is newer than the active one.
    fn apply_configuration(&mut self, configuration: RouteConfiguration) {
        let (version, in_force) = (configuration.version, self.configuration.version);
        if version <= in_force {
            if version < in_force {
                self.log_events.push(DiscoveryLogEvent::OlderConfigurationIgnored {
                    version,
                    active_version: in_force,
                });
            }
            return;
        }
        self.routes = Arc::new(RouteTable::new(configuration.routes.iter().cloned()));
        self.services = Arc::new(configuration.services.clone());
        self.accounts =
            configuration.accounts.as_ref().map(|accounts| Arc::new(AccountTable::new(accounts)));
        self.configuration = Arc::new(configuration);
        self.log_events.push(DiscoveryLogEvent::ConfigurationActivated { version });
        self.is_catalogue_stale = true;
    }

    fn take_domain_out(&mut self, domain: EcoString, revision: u64) {
        let is_new = self.domains_out.insert(domain.clone(), (revision, true)).is_none();
        if is_new {
            self.log_events.push(DiscoveryLogEvent::DomainChanged { domain, is_out: true });
            self.is_catalogue_stale = true;
        }
    }

    fn bring_domain_back(&mut self, domain: &EcoString) {
        if self.domains_out.shift_remove(domain).is_some() {
            self.log_events
                .push(DiscoveryLogEvent::DomainChanged { domain: domain.clone(), is_out: false });
            self.is_catalogue_stale = true;
        }
    }

    fn apply_replica(&mut self, now_us: u64, entry: ReplicaEntry, revision: u64) {
        let id = entry.id.clone();
        let stamp = (entry.born_ms, entry.sequence);
        let newest = self.newest_stamps.entry(id.clone()).or_insert(stamp);
        if stamp < *newest {
            self.log_events.push(DiscoveryLogEvent::StaleEntryIgnored { id });
            return;
        }
        *newest = stamp;
        if let Some(known) = self.replicas.get_mut(&id) {
            if revision < known.revision {
                return;
            }
            let was_held = known.held_until_us.take().is_some();
            known.is_listed = true;
            known.revision = revision;
            if !was_held && *known.entry == entry {
                return;
            }
            if !was_held && known.is_unchanged_by(now_us, &entry) {
                known.entry = Arc::new(entry);
                known.received_us = now_us;
                return;
            }
        }
        self.log_events.push(DiscoveryLogEvent::ReplicaUpdated {
            id: id.clone(),
            is_draining: entry.is_draining,
        });
        let known = KnownReplica {
            cold_until_us: cold_until_us(now_us, &entry),
            entry: Arc::new(entry),
            revision,
            received_us: now_us,
            is_listed: true,
            held_until_us: None,
        };
        self.replicas.insert(id, known);
        self.is_catalogue_stale = true;
    }

    fn remove_entry(&mut self, now_us: u64, key: &RegistryKey, revision: u64) {
        match key {
            // The active configuration stays: it never reverts to an older one or to none.
            RegistryKey::Configuration => {}
            RegistryKey::DomainOut(domain) => {
                if self.domains_out.get(domain).is_some_and(|(known, _)| revision >= *known) {
                    self.bring_domain_back(domain);
                }
            }
            RegistryKey::Replica(id) => {
                if self.replicas.get(id).is_some_and(|known| revision >= known.revision) {
                    self.remove_or_hold_replica(now_us, id);
                }
            }
            RegistryKey::Node(node) => {
                self.nodes.shift_remove(node);
            }
            RegistryKey::RolloutOrder(service) => {
                if self.rollouts.remove_order(service, revision) {
                    let service = service.clone();
                    let target_version = None;
                    self.log_events
                        .push(DiscoveryLogEvent::RolloutOrderChanged { service, target_version });
                    self.is_catalogue_stale = true;
                }
            }
            RegistryKey::RolloutRecord(service) => {
                self.is_catalogue_stale |= self.rollouts.remove_record(service, revision);
            }
            RegistryKey::Quarantine(fingerprint) => {
                if self.quarantines.remove_if_older(fingerprint, revision) {
                    let fingerprint = *fingerprint;
                    self.log_events.push(DiscoveryLogEvent::QuarantineRemoved { fingerprint });
                    self.published_quarantines = None;
                    self.is_catalogue_stale = true;
                }
            }
        }
    }

    /// Removes a replica, or holds it if its entry may have expired in an outage of the store.
    ///
    /// During an outage, live replicas cannot renew their entries, so all entries are gone when the
    /// store recovers. Removing these replicas would reject every request for the two seconds until
    /// they have registered again.
    fn remove_or_hold_replica(&mut self, now_us: u64, id: &EcoString) {
        let Some(known) = self.replicas.get_mut(id) else { return };
        let is_held =
            (self.is_store_unavailable || now_us < self.hold_until_us) && !known.entry.is_draining;
        if known.held_until_us.is_some() {
            return;
        }
        if !is_held {
            return self.remove_replica(id.clone());
        }
        known.held_until_us = Some(self.hold_until_us.max(now_us));
        self.log_events.push(DiscoveryLogEvent::ReplicaEntryRemoved { id: id.clone(), is_held });
    }

    fn remove_replica(&mut self, id: EcoString) {
        self.replicas.shift_remove(&id);
        self.log_events.push(DiscoveryLogEvent::ReplicaEntryRemoved { id, is_held: false });
        self.is_catalogue_stale = true;
    }

    /// Removes held replicas that did not register again in time.
    fn remove_expired_holds(&mut self, now_us: u64) {
        if self.is_store_unavailable {
            return;
        }
        let is_expired = |replica: &KnownReplica| {
            replica.held_until_us.is_some_and(|until_us| until_us <= now_us)
        };
        let expired = self.replicas.iter().filter(|(_, replica)| is_expired(replica));
        let ids: Vec<EcoString> = expired.map(|(id, _)| id.clone()).collect();
        for id in ids {
            self.remove_replica(id);
        }
    }
}
