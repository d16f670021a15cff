//! Reading what stands in the store as facts.

use ecow::EcoString;
use sassafrasproxy_core::{DiscoveryEvent, RegistryEntry, RegistryKey, RolloutOrder};
use sassafrasproxy_platform::{
    DecodeError, StoreChange, StoreItem, StoreKey, decode_configuration, decode_replica,
    decode_rollout_order,
};
use serde::de::DeserializeOwned;

/// The event for a change that a watch brought; `None` for what concerns nobody here.
pub fn change_event(change: StoreChange) -> Option<DiscoveryEvent> {
    match change {
        StoreChange::Put(item) => item_event(item),
        StoreChange::Removed { key, revision } => {
            let subject = key_subject(StoreKey::parse(&key))?;
            Some(DiscoveryEvent::EntryRemoved { key: subject, revision })
        }
    }
}

/// The event for an item of a list or a watch; `None` for what concerns nobody here.
///
/// An item that cannot be read stands for nothing: its subject is gone, and one log line says
/// why. The others hold. An order of a roll-out that cannot be read changes nothing: the one before
/// it holds on.
pub fn item_event(item: StoreItem) -> Option<DiscoveryEvent> {
    let revision = item.revision;
    let key = StoreKey::parse(&item.key);
    let fact = item.value.and_then(|value| decode_entry(&key, &value));
    match fact {
        Ok(fact) => fact.map(|fact| DiscoveryEvent::EntrySeen { entry: fact, revision }),
        Err(error) => {
            log::warn!(revision, error:%; "an item of the store is ignored");
            if matches!(key, StoreKey::RolloutOrder(_)) {
                return None;
            }
            Some(DiscoveryEvent::EntryRemoved { key: key_subject(key)?, revision })
        }
    }
}

fn decode_entry(key: &StoreKey, value: &[u8]) -> Result<Option<RegistryEntry>, DecodeError> {
    Ok(match key {
        StoreKey::Configuration => Some(RegistryEntry::Configuration(decode_configuration(value)?)),
        StoreKey::DomainOut(domain) => Some(RegistryEntry::DomainOut(domain.clone())),
        StoreKey::Replica(id) => Some(RegistryEntry::Replica(decode_replica(id, value)?)),
        StoreKey::Node(name) => decode_own_record(name, value).map(RegistryEntry::Node),
        StoreKey::RolloutOrder(service) => {
            Some(RegistryEntry::RolloutOrder(decode_order(service, value)?))
        }
        StoreKey::RolloutRecord(service) => {
            decode_own_record(service, value).map(RegistryEntry::RolloutRecord)
        }
        StoreKey::Unrecognized => None,
    })
}

/// A node's registration or the record of a roll-out, which this system writes itself.
fn decode_own_record<T: DeserializeOwned>(name: &EcoString, value: &[u8]) -> Option<T> {
    match serde_json::from_slice(value) {
        Ok(fact) => Some(fact),
        Err(error) => {
            log::warn!(name:%, error:%; "what a node wrote cannot be read");
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

fn key_subject(key: StoreKey) -> Option<RegistryKey> {
    match key {
        StoreKey::Configuration => Some(RegistryKey::Configuration),
        StoreKey::DomainOut(domain) => Some(RegistryKey::DomainOut(domain)),
        StoreKey::Replica(id) => Some(RegistryKey::Replica(id)),
        StoreKey::Node(name) => Some(RegistryKey::Node(name)),
        StoreKey::RolloutOrder(service) => Some(RegistryKey::RolloutOrder(service)),
        StoreKey::RolloutRecord(service) => Some(RegistryKey::RolloutRecord(service)),
        StoreKey::Unrecognized => None,
    }
}
