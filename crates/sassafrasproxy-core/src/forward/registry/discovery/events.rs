//! What discovery takes in, and what it says of it.

use ecow::EcoString;

use crate::{RegistryEntry, RegistryKey, RolloutPhase};

/// What discovery takes in.
#[derive(Debug, Clone, PartialEq)]
pub enum DiscoveryEvent {
    /// A list of everything begins, at a revision of the store.
    ListStarted {
        /// The revision.
        revision: u64,
    },
    /// A fact was listed or written.
    EntrySeen {
        /// The fact.
        entry: RegistryEntry,
        /// The store's revision of it.
        revision: u64,
    },
    /// A subject has no readable fact any more.
    EntryRemoved {
        /// The subject.
        key: RegistryKey,
        /// The store's revision of its removal.
        revision: u64,
    },
    /// The list ended: what it did not name is gone.
    ListEnded,
    /// A peer that follows the store further told all it knows.
    PeerEntries {
        /// Its facts, each with its revision in the store.
        entries: Vec<(RegistryEntry, u64)>,
        /// How far the peer follows the store.
        revision: u64,
    },
    /// A peer that follows the store says until when lapsed entries may come back.
    HoldUntil {
        /// The time.
        until_us: u64,
    },
    /// What follows comes from a peer that knows more of the store: the store serves somebody, so
    /// entries did not lapse for all. How long those that did may take, the peer says itself.
    PeerSyncStarted,
    /// A roll-out was stopped, by the store's revision of its order.
    RolloutStopped {
        /// The revision.
        order_revision: u64,
    },
    /// The store stopped answering.
    StoreUnavailable,
    /// The store answers again.
    StoreRecovered,
    /// Time has passed.
    Tick,
}

/// What discovery did that is worth a log line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DiscoveryLogEvent {
    /// A configuration came into force.
    ConfigurationActivated {
        /// Its version.
        version: u64,
    },
    /// An older configuration was left aside.
    OlderConfigurationIgnored {
        /// Its version.
        version: u64,
        /// The version in force.
        in_force: u64,
    },
    /// A replica came, or changed.
    ReplicaUpdated {
        /// Its id.
        id: EcoString,
        /// Whether it is about to leave.
        is_draining: bool,
    },
    /// A replica's entry is gone.
    ReplicaEntryRemoved {
        /// Its id.
        id: EcoString,
        /// Whether it is kept for a while because the store was away.
        is_held: bool,
    },
    /// An entry that a replica wrote before the one that is known was left aside.
    StaleEntryIgnored {
        /// The replica's id.
        id: EcoString,
    },
    /// A failure domain was taken out or brought back.
    DomainChanged {
        /// Its name.
        domain: EcoString,
        /// Whether it is out now.
        is_out: bool,
    },
    /// Operators order a roll-out, or take the order back.
    RolloutOrderChanged {
        /// The service.
        service: EcoString,
        /// The version to move to; `None` if the order is gone.
        target_version: Option<EcoString>,
    },
    /// A roll-out went a step on.
    RolloutAdvanced {
        /// The service.
        service: EcoString,
        /// The version to move to.
        target_version: EcoString,
        /// How far it is.
        phase: RolloutPhase,
    },
    /// A roll-out was stopped before the store says so.
    RolloutStopped {
        /// The store's revision of its order.
        order_revision: u64,
    },
}
