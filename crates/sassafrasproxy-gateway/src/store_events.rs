//! Decodes items and changes of the store into discovery events.

use ecow::EcoString;
use sassafrasproxy_core::{
    DiscoveryEvent, QuarantineRecord, RegistryEntry, RegistryKey, RolloutOrder,
};
use sassafrasproxy_platform::{
    DecodeError, StoreChange, StoreItem, StoreKey, decode_configuration, decode_replica,
    decode_rollout_order,
};
use serde::de::DeserializeOwned;

/// Returns the event for a change from a watch, or `None` if it does not concern this node.
pub fn change_event(change: StoreChange) -> Option<DiscoveryEvent> {
    match change {
        StoreChange::Put(item) => item_event(item),
        StoreChange::Removed { key, revision } => {
            let key = registry_key(StoreKey::parse(&key))?;
            Some(DiscoveryEvent::EntryRemoved { key, revision })
        }
    }
}

/// Returns the event for an item of a list or a watch, or `None` if it does not concern this node.
///
/// An item that cannot be decoded counts as removed, and one log line gives the reason; other items
/// are not affected. A rollout order that cannot be decoded is ignored instead: the previous order
/// stays active.
pub fn item_event(item: StoreItem) -> Option<DiscoveryEvent> {
    let revision = item.revision;
    let key = StoreKey::parse(&item.key);
    let entry = item.value.and_then(|value| decode_entry(&key, &value));
    match entry {
        Ok(entry) => entry.map(|entry| DiscoveryEvent::EntrySeen { entry, revision }),
        Err(error) => {
            log::warn!(revision, error:%; "ignored a store item that cannot be decoded");
            if matches!(key, StoreKey::RolloutOrder(_)) {
                return None;
            }
            Some(DiscoveryEvent::EntryRemoved { key: registry_key(key)?, revision })
        }
    }
}

fn decode_entry(key: &StoreKey, value: &[u8]) -> Result<Option<RegistryEntry>, DecodeError> {
    Ok(match key {
        StoreKey::Configuration => Some(RegistryEntry::Configuration(decode_configuration(value)?)),
        StoreKey::DomainOut(domain) => Some(RegistryEntry::DomainOut(domain.clone())),
        StoreKey::Replica(id) => Some(RegistryEntry::Replica(decode_replica(id, value)?)),
        StoreKey::Node(name) => decode_node_record(name, value).map(RegistryEntry::Node),
        StoreKey::RolloutOrder(service) => {
            Some(RegistryEntry::RolloutOrder(decode_order(service, value)?))
        }
        StoreKey::RolloutRecord(service) => {
            decode_node_record(service, value).map(RegistryEntry::RolloutRecord)
        }
        StoreKey::QuarantineRecord(fingerprint) => {
            let name = ecow::eco_format!("{fingerprint:016x}");
            let record = decode_node_record::<QuarantineRecord>(&name, value);
            // A record under another request's key would never be found again.
            let record = record.filter(|record| record.fingerprint == *fingerprint);
            record.map(RegistryEntry::Quarantine)
        }
        StoreKey::Unrecognized => None,
    })
}

/// Decodes an entry that nodes write themselves: a node registration, a rollout record or a
/// quarantine record.
///
/// Returns `None` for one that cannot be decoded.
fn decode_node_record<T: DeserializeOwned>(name: &EcoString, value: &[u8]) -> Option<T> {
    match serde_json::from_slice(value) {
        Ok(record) => Some(record),
        Err(error) => {
            log::warn!(
                name:%, error:%;
                "ignored an entry of a node that cannot be decoded"
            );
            None
        }
    }
}

fn decode_order(service: &EcoString, value: &[u8]) -> Result<RolloutOrder, DecodeError> {
    let decoded = decode_rollout_order(service, value)?;
    Ok(RolloutOrder {
        service: service.clone(),
        target_version: decoded.target_version,
        period_ms: decoded.period_ms,
    })
}

fn registry_key(key: StoreKey) -> Option<RegistryKey> {
    match key {
        StoreKey::Configuration => Some(RegistryKey::Configuration),
        StoreKey::DomainOut(domain) => Some(RegistryKey::DomainOut(domain)),
        StoreKey::Replica(id) => Some(RegistryKey::Replica(id)),
        StoreKey::Node(name) => Some(RegistryKey::Node(name)),
        StoreKey::RolloutOrder(service) => Some(RegistryKey::RolloutOrder(service)),
        StoreKey::RolloutRecord(service) => Some(RegistryKey::RolloutRecord(service)),
        StoreKey::QuarantineRecord(fingerprint) => Some(RegistryKey::Quarantine(fingerprint)),
        StoreKey::Unrecognized => None,
    }
}
