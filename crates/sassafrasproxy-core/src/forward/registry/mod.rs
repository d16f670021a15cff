//! Keeps track of the configuration, replicas and nodes, as learned from the store and from peers.
//!
//! `StoreSync` decides how to read entries from the store, and `Gossip` selects the peer from which
//! a node that does not watch the store gets them. `Discovery` applies the entries, holds replicas
//! through an outage of the store, and builds the catalogue on which requests are routed.

mod broadcast_queue;
mod catalogue;
mod confirmation;
mod datagram;
mod discovery;
mod entries;
mod gossip;
mod lag_check;
mod probe_tracker;
mod recent_updates;
mod registration_check;
mod rollouts;
mod source_selector;
mod store_outage;
mod store_sync;
mod versioned_entries;

pub use self::catalogue::{Catalogue, CatalogueReplica};
pub use self::confirmation::AnsweredPoll;
pub use self::datagram::{
    AnsweredRequest, CompactMember, DatagramError, DatagramKind, DatagramSender, GossipUpdate,
    LatestRevision, MAX_DATAGRAM_BYTES, PeerDatagram,
};
pub use self::discovery::{Discovery, DiscoveryEvent, DiscoveryLogEvent};
pub use self::entries::{NodeRegistration, RegistryChanges, RegistryEntry, RegistryKey};
pub use self::gossip::{Gossip, GossipPolicy, MemberLogEvent, OutgoingDatagram};
pub use self::lag_check::LagCheck;
pub use self::registration_check::RegistrationCheck;
pub use self::rollouts::RolloutParticipant;
pub use self::source_selector::{BootstrapSource, SyncSource};
pub use self::store_outage::{OutageChange, StoreOutage, StoreReadEnd};
pub use self::store_sync::{StoreCallOutcome, StoreStep, StoreSync, StoreSyncPolicy};
