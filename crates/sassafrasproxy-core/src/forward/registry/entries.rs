//! What can be known from the store, and what of it changed lately.

use std::collections::VecDeque;

use ecow::EcoString;
use indexmap::IndexMap;
use sassafrasproxy_wire::{MemberUpdate, ReplicaEntry, RouteConfiguration};
use serde::{Deserialize, Serialize};

use crate::{RolloutOrder, RolloutRecord};

/// How many changes are remembered for peers: some times as many as a fleet's replicas, so that
/// a whole set of shards that comes and another that goes are still told as changes.
const MAX_LOGGED_CHANGES: usize = 2_048;

/// Something that stands in the store.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum RegistryEntry {
    /// The newest configuration.
    Configuration(RouteConfiguration),
    /// A failure domain is out.
    DomainOut(EcoString),
    /// A replica's entry.
    Replica(ReplicaEntry),
    /// A node's registration.
    Node(NodeRegistration),
    /// An order to move a service to another version.
    RolloutOrder(RolloutOrder),
    /// What the nodes have agreed on about such an order.
    RolloutRecord(RolloutRecord),
}

/// What a node registers, so that others find it.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct NodeRegistration {
    /// The node as a member.
    pub member: MemberUpdate,
    /// How many nodes it knew, so that one that starts does not take the fleet for small.
    #[serde(default)]
    pub node_count: u32,
}

/// What a fact is about.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum RegistryKey {
    /// The configuration.
    Configuration,
    /// Whether a failure domain is out.
    DomainOut(EcoString),
    /// A replica, by id.
    Replica(EcoString),
    /// A node, by name.
    Node(EcoString),
    /// The order to move a service to another version, by service.
    RolloutOrder(EcoString),
    /// What the nodes have agreed on about it, by service.
    RolloutRecord(EcoString),
}

impl RegistryEntry {
    /// What the fact is about.
    pub fn key(&self) -> RegistryKey {
        match self {
            Self::Configuration(_) => RegistryKey::Configuration,
            Self::DomainOut(domain) => RegistryKey::DomainOut(domain.clone()),
            Self::Replica(entry) => RegistryKey::Replica(entry.id.clone()),
            Self::Node(node) => RegistryKey::Node(node.member.node.clone()),
            Self::RolloutOrder(order) => RegistryKey::RolloutOrder(order.service.clone()),
            Self::RolloutRecord(record) => RegistryKey::RolloutRecord(record.service.clone()),
        }
    }
}

/// The subjects that changed lately, so that peers need not be told everything each time.
#[derive(Debug, Default)]
pub struct ChangeLog {
    /// Oldest first, by the store's revision of the change.
    changes: VecDeque<(u64, RegistryKey)>,
    /// The revision from which on the log is complete; `None` before the first list.
    complete_after_revision: Option<u64>,
}

/// What changed after a revision.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct RegistryChanges {
    /// Facts that came or changed, each with its revision.
    pub updated: Vec<(RegistryEntry, u64)>,
    /// Subjects that are gone, each with the revision of its removal.
    pub removed: Vec<(RegistryKey, u64)>,
}

impl ChangeLog {
    /// An empty log that is complete after a revision.
    pub fn starting_after(revision: u64) -> Self {
        Self { changes: VecDeque::new(), complete_after_revision: Some(revision) }
    }

    /// The subjects that changed after a revision, each with its last change; `None` if that is
    /// not remembered.
    pub fn keys_changed_after(&self, revision: u64) -> Option<IndexMap<&RegistryKey, u64>> {
        if self.complete_after_revision? > revision {
            return None;
        }
        let after = self.changes.iter().filter(|(at, _)| *at > revision);
        Some(after.map(|(at, subject)| (subject, *at)).collect())
    }

    /// Notes a change.
    pub fn record(&mut self, revision: u64, subject: RegistryKey) {
        if self.changes.len() >= MAX_LOGGED_CHANGES {
            let oldest = self.changes.pop_front().map(|(revision, _)| revision);
            self.complete_after_revision = self.complete_after_revision.max(oldest);
        }
        self.changes.push_back((revision, subject));
    }
}
