//! Messages of the platform's key-value store and of its VM list.

use ecow::EcoString;
use serde::{Deserialize, Serialize};

/// The maximum size of a value in the store, in bytes.
pub const MAX_KV_VALUE_BYTES: usize = 1_000_000;

/// A key with its value.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct KvItem {
    /// The key.
    pub key: EcoString,
    /// The value; `None` in a watch if the key was deleted.
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

/// The answer to a write: the new revision, or after a conflict the current one.
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

/// The answer to a watch, which is a long poll; it has no changes if the wait timed out.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct KvChanges {
    /// The store's revision, from which to continue the watch.
    pub revision: u64,
    /// The changes, oldest first.
    pub changes: Vec<KvItem>,
}

/// The body of a request for a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LeaseRequest {
    /// The time after which the lease expires unless it is renewed, in milliseconds.
    pub ttl_ms: u64,
}

/// The answer with the id of a new lease.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LeaseId {
    /// The lease's id.
    pub id: EcoString,
}

/// One VM in the platform's list; the list may be out of date.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct VmEntry {
    /// The address of the process on the VM, as `ip:port`.
    pub address: EcoString,
    /// The failure domain of the VM.
    pub failure_domain: EcoString,
    /// The state of the VM.
    pub state: VmState,
}

/// The state of a VM in the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// The VM is in use.
    Live,
    /// The VM is about to be removed.
    Leaving,
}
