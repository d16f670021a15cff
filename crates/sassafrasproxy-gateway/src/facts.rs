//! Reading what stands in the store as facts.

use ecow::EcoString;
use sassafrasproxy_core::{DiscoveryEvent, Fact, NodeRegistration, Subject};
use sassafrasproxy_platform::{
    DecodeError, StoreChange, StoreItem, StoreKey, decode_configuration, decode_replica,
};

/// The event for a change that a watch brought; `None` for what concerns nobody here.
pub fn change_event(change: StoreChange) -> Option<DiscoveryEvent> {
    match change {
        StoreChange::Put(item) => item_event(item),
        StoreChange::Removed { key, revision } => {
            let subject = subject(StoreKey::parse(&key))?;
            Some(DiscoveryEvent::Gone { subject, revision })
        }
    }
}

/// The event for an item of a list or a watch; `None` for what concerns nobody here.
///
/// An item that cannot be read stands for nothing: its subject is gone, and one log line says
/// why. The others hold.
pub fn item_event(item: StoreItem) -> Option<DiscoveryEvent> {
    let revision = item.revision;
    let key = StoreKey::parse(&item.key);
    let fact = item.value.and_then(|value| fact(&key, &value));
    match fact {
        Ok(fact) => fact.map(|fact| DiscoveryEvent::Seen { fact, revision }),
        Err(error) => {
            log::warn!(revision, error:%; "an item of the store is ignored");
            Some(DiscoveryEvent::Gone { subject: subject(key)?, revision })
        }
    }
}

fn fact(key: &StoreKey, value: &[u8]) -> Result<Option<Fact>, DecodeError> {
    Ok(match key {
        StoreKey::Configuration => Some(Fact::Configuration(decode_configuration(value)?)),
        StoreKey::DomainOut(domain) => Some(Fact::DomainOut(domain.clone())),
        StoreKey::Replica(id) => Some(Fact::Replica(decode_replica(id, value)?)),
        StoreKey::Node(name) => registration(name, value).map(Fact::Node),
        StoreKey::Foreign => None,
    })
}

/// A node's registration, which this system writes itself.
fn registration(name: &EcoString, value: &[u8]) -> Option<NodeRegistration> {
    match serde_json::from_slice(value) {
        Ok(registration) => Some(registration),
        Err(error) => {
            log::warn!(node:% = name, error:%; "a registration cannot be read");
            None
        }
    }
}

fn subject(key: StoreKey) -> Option<Subject> {
    match key {
        StoreKey::Configuration => Some(Subject::Configuration),
        StoreKey::DomainOut(domain) => Some(Subject::DomainOut(domain)),
        StoreKey::Replica(id) => Some(Subject::Replica(id)),
        StoreKey::Node(name) => Some(Subject::Node(name)),
        StoreKey::Foreign => None,
    }
}
