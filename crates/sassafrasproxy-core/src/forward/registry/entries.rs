//! Defines the decoded entries of the store and a log of their recent changes.

use std::collections::VecDeque;

use ecow::EcoString;
use indexmap::IndexMap;
use sassafrasproxy_wire::{MemberUpdate, ReplicaEntry, RouteConfiguration};
use serde::{Deserialize, Serialize};

use crate::{QuarantineRecord, RolloutOrder, RolloutRecord};

/// The maximum number of changes kept for peers.
///
/// Several times the number of replicas in a fleet, so that peers need only the changes, not all
/// entries, even after one whole set of shards was replaced by another.
const MAX_LOGGED_CHANGES: usize = 2_048;

/// A decoded entry of the store.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum RegistryEntry {
    /// The latest configuration.
    Configuration(RouteConfiguration),
    /// The name of a failure domain that is out of service.
    DomainOut(EcoString),
    /// A replica's entry.
    Replica(ReplicaEntry),
    /// A node's registration.
    Node(NodeRegistration),
    /// An order to move a service to another version.
    RolloutOrder(RolloutOrder),
    /// The recorded progress of a rollout order, shared by all nodes.
    RolloutRecord(RolloutRecord),
    /// The record of a quarantined request, shared by all nodes.
    Quarantine(QuarantineRecord),
}

/// The registration by which other nodes find a node.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct NodeRegistration {
    /// The node as a member.
    pub member: MemberUpdate,
    /// The number of nodes that the node knew when it registered.
    ///
    /// A node that starts uses it so that it does not assume a small fleet.
    #[serde(default)]
    pub node_count: u32,
}

/// The key of a registry entry.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum RegistryKey {
    /// The configuration.
    Configuration,
    /// The entry that takes a failure domain out of service, by the domain's name.
    DomainOut(EcoString),
    /// A replica, by id.
    Replica(EcoString),
    /// A node, by name.
    Node(EcoString),
    /// The order to move a service to another version, by service.
    RolloutOrder(EcoString),
    /// The recorded progress of the service's rollout order, by service.
    RolloutRecord(EcoString),
    /// The record of a quarantined request, by fingerprint.
    Quarantine(u64),
}

impl RegistryEntry {
    /// Returns the key of the entry.
    pub fn key(&self) -> RegistryKey {
        match self {
            Self::Configuration(_) => RegistryKey::Configuration,
            Self::DomainOut(domain) => RegistryKey::DomainOut(domain.clone()),
            Self::Replica(entry) => RegistryKey::Replica(entry.id.clone()),
            Self::Node(node) => RegistryKey::Node(node.member.node.clone()),
            Self::RolloutOrder(order) => RegistryKey::RolloutOrder(order.service.clone()),
            Self::RolloutRecord(record) => RegistryKey::RolloutRecord(record.service.clone()),
            Self::Quarantine(record) => RegistryKey::Quarantine(record.fingerprint),
        }
    }
}

/// A log of recent changes, so that peers are sent only the changes instead of all entries.
#[derive(Debug, Default)]
pub struct ChangeLog {
    /// The changed keys, oldest first, each with the store's revision of the change.
    changes: VecDeque<(u64, RegistryKey)>,
    /// The revision after which the log is complete; `None` before the first list.
    complete_after_revision: Option<u64>,
}

/// The changes after a revision.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct RegistryChanges {
    /// Entries that were added or changed, each with its revision.
    pub updated: Vec<(RegistryEntry, u64)>,
    /// Keys whose entries are gone, each with the revision of the removal.
    pub removed: Vec<(RegistryKey, u64)>,
}

impl ChangeLog {
    /// Creates an empty log that is complete after a revision.
    pub fn starting_after(revision: u64) -> Self {
        Self { changes: VecDeque::new(), complete_after_revision: Some(revision) }
    }

    /// Returns the keys that changed after a revision, each with the revision of its last change;
    /// `None` if the log does not go back that far.
    pub fn keys_changed_after(&self, revision: u64) -> Option<IndexMap<&RegistryKey, u64>> {
        if self.complete_after_revision? > revision {
            return None;
        }
        let after = self.changes.iter().filter(|(changed_at, _)| *changed_at > revision);
        Some(after.map(|(changed_at, key)| (key, *changed_at)).collect())
    }

    /// Records a change.
    pub fn record(&mut self, revision: u64, key: RegistryKey) {
        if self.changes.len() >= MAX_LOGGED_CHANGES {
            let oldest = self.changes.pop_front().map(|(revision, _)| revision);
            self.complete_after_revision = self.complete_after_revision.max(oldest);
        }
        self.changes.push_back((revision, key));
    }
}
