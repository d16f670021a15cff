//! Defines the input events of discovery and the log events that it returns.

use ecow::EcoString;

use crate::{RegistryEntry, RegistryKey, RolloutPhase};

/// An input of discovery.
#[derive(Debug, Clone, PartialEq)]
pub enum DiscoveryEvent {
    /// A list of the whole store starts.
    ListStarted {
        /// The store's revision at the start of the list.
        revision: u64,
    },
    /// An entry was listed or written.
    EntrySeen {
        /// The entry.
        entry: RegistryEntry,
        /// The store's revision of the entry.
        revision: u64,
    },
    /// The entry of a key was removed, or can no longer be decoded.
    EntryRemoved {
        /// The key.
        key: RegistryKey,
        /// The store's revision of the removal.
        revision: u64,
    },
    /// The list ended; entries that were not listed are gone.
    ListEnded,
    /// A peer that has synced further with the store sent all its entries.
    PeerEntries {
        /// The peer's entries, each with its revision in the store.
        entries: Vec<(RegistryEntry, u64)>,
        /// The revision of the store up to which the peer has synced.
        revision: u64,
    },
    /// A peer that follows the store reports until when replicas whose entries expired are held.
    HoldUntil {
        /// The time, in microseconds of this node's clock.
        until_us: u64,
    },
    /// The events that follow come from a peer that has synced further with the store.
    ///
    /// The store thus serves at least one node, so a missing entry does not count as expired in an
    /// outage. If entries did expire, the peer sends `HoldUntil`.
    PeerSyncStarted,
    /// A rollout was stopped.
    RolloutStopped {
        /// The store's revision of the rollout's order.
        order_revision: u64,
    },
    /// The store stopped answering.
    StoreUnavailable,
    /// The store answers again.
    StoreRecovered {
        /// The time until which replicas whose entries are gone are held, in microseconds.
        hold_until_us: u64,
    },
    /// Time has passed.
    Tick,
}

/// A change in discovery that is logged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DiscoveryLogEvent {
    /// A configuration became active.
    ConfigurationActivated {
        /// The version of the configuration.
        version: u64,
    },
    /// A configuration older than the active one was ignored.
    OlderConfigurationIgnored {
        /// The version of the ignored configuration.
        version: u64,
        /// The version of the active configuration.
        active_version: u64,
    },
    /// A replica was added or changed.
    ReplicaUpdated {
        /// The replica's id.
        id: EcoString,
        /// Whether the replica is draining.
        is_draining: bool,
    },
    /// A replica's entry was removed.
    ReplicaEntryRemoved {
        /// The replica's id.
        id: EcoString,
        /// Whether the replica is held because the store is or was recently unavailable.
        is_held: bool,
    },
    /// A replica's entry was ignored because the replica wrote it before the known one.
    StaleEntryIgnored {
        /// The replica's id.
        id: EcoString,
    },
    /// A failure domain was taken out of service or brought back.
    DomainChanged {
        /// The name of the failure domain.
        domain: EcoString,
        /// Whether the failure domain is now out of service.
        is_out: bool,
    },
    /// Operators ordered a rollout or withdrew the order.
    RolloutOrderChanged {
        /// The service.
        service: EcoString,
        /// The version to move to; `None` if the order was withdrawn.
        target_version: Option<EcoString>,
    },
    /// A rollout changed its phase.
    RolloutAdvanced {
        /// The service.
        service: EcoString,
        /// The version to move to.
        target_version: EcoString,
        /// The phase of the rollout.
        phase: RolloutPhase,
    },
    /// A request that crashes replicas was recorded, or got a trial.
    QuarantineRecorded {
        /// The fingerprint of the request.
        fingerprint: u64,
        /// Whether the request is quarantined, rather than suspected only.
        is_quarantined: bool,
        /// The number of trials that nodes have started.
        trials: usize,
    },
    /// The record of a request that crashed replicas was removed.
    QuarantineRemoved {
        /// The fingerprint of the request.
        fingerprint: u64,
    },
    /// A rollout was stopped before the store recorded it.
    RolloutStopped {
        /// The store's revision of the rollout's order.
        order_revision: u64,
    },
}
