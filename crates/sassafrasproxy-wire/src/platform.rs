//! The platform's key-value service and its list of VMs.

use ecow::EcoString;
use serde::{Deserialize, Serialize};

/// The largest value in bytes.
pub const MAX_KV_VALUE_BYTES: usize = 1_000_000;

/// One key with its value.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct KvItem {
    /// The key.
    pub key: EcoString,
    /// The value; `None` in a watch when the key was deleted.
    pub value: Option<EcoString>,
    /// The revision of the key's last change.
    pub revision: u64,
}

/// The answer to a read of one key.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct KvValue {
    /// The value.
    pub value: EcoString,
    /// The revision of its last change.
    pub revision: u64,
}

/// The answer to a write: the new revision, or at a conflict the one in place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct KvRevision {
    /// The revision.
    pub revision: u64,
}

/// The answer to a read of a prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct KvItems {
    /// The store's revision.
    pub revision: u64,
    /// The items, by key.
    pub items: Vec<KvItem>,
}

/// The answer to a watch; empty when the wait ended.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct KvChanges {
    /// The store's revision, to watch from.
    pub revision: u64,
    /// The changes, oldest first.
    pub changes: Vec<KvItem>,
}

/// The body that makes a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LeaseRequest {
    /// How long the lease lasts without renewal, in milliseconds.
    pub ttl_ms: u64,
}

/// The answer that names a lease.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LeaseId {
    /// The lease.
    pub id: EcoString,
}

/// One VM in the platform's list, which lags.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct VmEntry {
    /// `ip:port` of the process there.
    pub address: EcoString,
    /// Where it is.
    pub failure_domain: EcoString,
    /// Whether it is leaving.
    pub state: VmState,
}

/// The state of a VM in the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// In use.
    Live,
    /// About to be taken away.
    Leaving,
}
