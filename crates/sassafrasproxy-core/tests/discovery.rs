//! Tests a node's view of the configuration, replicas and failure domains.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use sassafrasproxy_core::{
    Catalogue, Discovery, DiscoveryEvent, NodeRegistration, QuarantineRecord, RegistryEntry,
    RegistryKey,
};
use sassafrasproxy_wire::{MemberState, MemberUpdate, ReplicaEntry, RouteConfiguration};

fn replica_entry(id: &str) -> ReplicaEntry {
    ReplicaEntry {
        id: id.into(),
        born_ms: 1,
        sequence: 1,
        service: "s".into(),
        version: "v1".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        failure_domain: "west".into(),
        slots: 2,
        is_draining: false,
        cold_for_ms: 0,
    }
}

fn replica_seen(entry: ReplicaEntry, revision: u64) -> DiscoveryEvent {
    DiscoveryEvent::EntrySeen { entry: RegistryEntry::Replica(entry), revision }
}

fn configuration_seen(version: u64, revision: u64) -> DiscoveryEvent {
    let configuration = RouteConfiguration { version, ..RouteConfiguration::default() };
    DiscoveryEvent::EntrySeen { entry: RegistryEntry::Configuration(configuration), revision }
}

fn replica_removed(id: &str, revision: u64) -> DiscoveryEvent {
    DiscoveryEvent::EntryRemoved { key: RegistryKey::Replica(id.into()), revision }
}

/// Returns a discovery that has listed two replicas and configuration 5.
fn listed_discovery() -> Discovery {
    let mut discovery = Discovery::default();
    let events = [
        DiscoveryEvent::ListStarted { revision: 6 },
        configuration_seen(5, 3),
        replica_seen(replica_entry("a"), 4),
        replica_seen(replica_entry("b"), 5),
        DiscoveryEvent::ListEnded,
    ];
    events.into_iter().for_each(|event| discovery.step(0, event));
    discovery
}

fn eligible_ids(catalogue: &Catalogue) -> Vec<&str> {
    let replicas = catalogue.replicas.iter();
    replicas.filter(|(_, replica)| replica.is_eligible).map(|(id, _)| id.as_str()).collect()
}

/// Guards against serving routes that were removed, when a stale read, a lagging peer or a replayed
/// watch returns an older configuration.
#[test]
fn older_configuration_is_ignored() {
    let mut discovery = listed_discovery();
    for event in [
        configuration_seen(4, 9),
        DiscoveryEvent::EntryRemoved { key: RegistryKey::Configuration, revision: 9 },
        DiscoveryEvent::PeerEntries { entries: Vec::new(), revision: 20 },
    ] {
        discovery.step(1, event);
        assert_eq!(discovery.configuration_version(), 5);
    }
    discovery.step(1, configuration_seen(11, 21));
    assert_eq!(discovery.configuration_version(), 11);
}

/// A draining replica, and one whose entry is removed without draining, get no new work.
#[test]
fn draining_or_removed_replica_gets_no_work() {
    let mut discovery = listed_discovery();
    discovery.step(1, replica_seen(ReplicaEntry { is_draining: true, ..replica_entry("a") }, 6));
    assert_eq!(eligible_ids(&discovery.take_catalogue().unwrap()), ["b"]);
    discovery.step(1, replica_removed("b", 7));
    let catalogue = discovery.take_catalogue().unwrap();
    assert_eq!(eligible_ids(&catalogue), [""; 0]);
    assert!(!catalogue.replicas.contains_key("b"));
}

/// Guards against a draining replica that gets work again. An entry that the replica wrote a second
/// before it started to drain reaches the store late and makes it look ready. An entry after a
/// restart of the replica counts.
#[test]
fn late_entry_is_ignored() {
    let mut discovery = listed_discovery();
    let draining = ReplicaEntry { is_draining: true, sequence: 7, ..replica_entry("a") };
    discovery.step(1, replica_seen(draining, 6));
    discovery.step(1, replica_seen(ReplicaEntry { sequence: 6, ..replica_entry("a") }, 7));
    assert_eq!(eligible_ids(&discovery.take_catalogue().unwrap()), ["b"]);
    discovery.step(2, replica_removed("a", 8));
    discovery.step(2, replica_seen(ReplicaEntry { sequence: 5, ..replica_entry("a") }, 9));
    assert_eq!(eligible_ids(&discovery.take_catalogue().unwrap()), ["b"]);
    discovery.step(3, replica_seen(ReplicaEntry { born_ms: 2, ..replica_entry("a") }, 10));
    assert_eq!(eligible_ids(&discovery.take_catalogue().unwrap()), ["b", "a"]);
}

/// Guards against an old removal that deletes a newer entry, when pages of a list and a watch
/// overlap.
#[test]
fn old_removal_is_ignored() {
    let mut discovery = listed_discovery();
    discovery.step(1, replica_removed("a", 2));
    discovery.step(1, DiscoveryEvent::Tick);
    assert_eq!(eligible_ids(&discovery.take_catalogue().unwrap()), ["a", "b"]);
}

/// Guards against a replica that is kept although it left. After a gap in the history, a new list
/// does not contain the replica.
#[test]
fn unlisted_replica_is_removed() {
    let mut discovery = listed_discovery();
    for event in [
        DiscoveryEvent::ListStarted { revision: 6 },
        configuration_seen(5, 3),
        replica_seen(replica_entry("b"), 5),
        DiscoveryEvent::ListEnded,
    ] {
        discovery.step(1, event);
    }
    assert_eq!(eligible_ids(&discovery.take_catalogue().unwrap()), ["b"]);
}

/// Guards against rejecting callers for two seconds after an outage of the store. During a long
/// outage, live replicas cannot renew their entries, and the store reports all of them as removed
/// when it recovers. They must be held until they register again; one that does not register in
/// time is removed.
#[test]
fn expired_entries_are_held() {
    let mut discovery = listed_discovery();
    discovery.take_catalogue();
    discovery.step(10_000_000, DiscoveryEvent::StoreUnavailable);
    let recovered = DiscoveryEvent::StoreRecovered { hold_until_us: 22_200_000 };
    discovery.step(20_000_000, recovered);
    discovery.step(20_100_000, replica_removed("a", 8));
    discovery.step(20_100_000, replica_removed("b", 9));
    assert!(discovery.take_catalogue().is_none(), "no replica was removed");
    discovery.step(21_500_000, replica_seen(replica_entry("a"), 12));
    discovery.step(22_100_000, DiscoveryEvent::Tick);
    assert_eq!(eligible_ids(&discovery.take_catalogue().unwrap()), ["a", "b"]);
    discovery.step(22_300_000, DiscoveryEvent::Tick);
    assert_eq!(eligible_ids(&discovery.take_catalogue().unwrap()), ["a"]);
}

/// Guards against holding a replica that left. While the store is available, a removed entry means
/// that its replica left, so it is removed at once.
#[test]
fn removed_entry_is_not_held() {
    let mut discovery = listed_discovery();
    discovery.step(10_000_000, replica_removed("a", 8));
    assert_eq!(eligible_ids(&discovery.take_catalogue().unwrap()), ["b"]);
}

#[test]
fn domain_out_gets_no_work() {
    let mut discovery = listed_discovery();
    let entry = RegistryEntry::DomainOut("west".into());
    discovery.step(1, DiscoveryEvent::EntrySeen { entry, revision: 8 });
    assert_eq!(eligible_ids(&discovery.take_catalogue().unwrap()), [""; 0]);
    let key = RegistryKey::DomainOut("west".into());
    discovery.step(2, DiscoveryEvent::EntryRemoved { key, revision: 9 });
    assert_eq!(eligible_ids(&discovery.take_catalogue().unwrap()), ["a", "b"]);
}

/// Guards against missed changes while the store is unavailable to this node. A replica leaves and
/// a new configuration is written; the entries of a peer that follows the store must bring both.
#[test]
fn peer_entries_replace_missing_store() {
    let mut discovery = listed_discovery();
    discovery.step(1, DiscoveryEvent::StoreUnavailable);
    let next = RouteConfiguration { version: 9, ..RouteConfiguration::default() };
    let entries = vec![
        (RegistryEntry::Configuration(next), 0),
        (RegistryEntry::Replica(replica_entry("b")), 5),
    ];
    discovery.step(2, DiscoveryEvent::PeerEntries { entries, revision: 12 });
    assert_eq!(discovery.configuration_version(), 9);
    assert_eq!(eligible_ids(&discovery.take_catalogue().unwrap()), ["b"]);
}

/// Guards against holding a replica that left. The store is unavailable to this node but serves its
/// peers, so a removed entry did not expire in an outage, and its replica must not be held for two
/// seconds.
#[test]
fn entry_is_not_held_while_peers_sync() {
    let mut discovery = listed_discovery();
    discovery.take_catalogue();
    discovery.step(10_000_000, DiscoveryEvent::StoreUnavailable);
    discovery.step(11_000_000, DiscoveryEvent::PeerSyncStarted);
    discovery.step(11_000_000, replica_removed("a", 8));
    assert_eq!(eligible_ids(&discovery.take_catalogue().unwrap()), ["b"]);
}

/// Guards against a lagging peer that removes entries it has not seen yet.
#[test]
fn lagging_peer_removes_nothing() {
    let mut discovery = listed_discovery();
    let entries = vec![(RegistryEntry::Replica(replica_entry("a")), 4)];
    discovery.step(2, DiscoveryEvent::PeerEntries { entries, revision: 4 });
    assert_eq!(eligible_ids(&discovery.take_catalogue().unwrap()), ["a", "b"]);
}

/// Guards against a catalogue that is rebuilt for each heartbeat of a cold replica. The heartbeats
/// report the remaining time of the cold start, but its end stays the same. Otherwise, when 405
/// replicas start at once, each of 64 nodes rebuilds its catalogue and logs a line four times for
/// each replica.
#[test]
fn cold_heartbeats_change_nothing() {
    let mut discovery = listed_discovery();
    discovery.take_catalogue();
    discovery.take_log_events();
    let heartbeat =
        |sequence, cold_for_ms| ReplicaEntry { sequence, cold_for_ms, ..replica_entry("c") };
    discovery.step(0, replica_seen(heartbeat(1, 3_000), 7));
    assert!(discovery.take_catalogue().is_some());
    assert_eq!(discovery.take_log_events().len(), 1);
    for (at_ms, sequence, cold_for_ms) in [(1_200, 2, 1_700), (2_300, 3, 600), (3_600, 4, 0)] {
        discovery.step(at_ms * 1_000, replica_seen(heartbeat(sequence, cold_for_ms), 7 + sequence));
        assert!(discovery.take_catalogue().is_none(), "heartbeat {sequence}");
        assert!(discovery.take_log_events().is_empty(), "heartbeat {sequence}");
    }
    discovery.step(5_000_000, replica_seen(heartbeat(5, 3_000), 12));
    assert!(discovery.take_catalogue().is_some(), "cold again");
    discovery.step(5_500_000, replica_seen(heartbeat(6, 0), 13));
    assert!(discovery.take_catalogue().is_some(), "warm earlier than reported");
    discovery.step(9_000_000, replica_seen(heartbeat(6, 0), 13));
    assert!(discovery.take_catalogue().is_none(), "listed again");
    let draining = ReplicaEntry { is_draining: true, ..heartbeat(7, 0) };
    discovery.step(9_500_000, replica_seen(draining, 14));
    assert!(discovery.take_catalogue().is_some(), "leaving");
}

/// Guards against nodes that register twice. A node that bootstraps from a peer after it registered
/// must find its registration among the peer's entries. Otherwise, in a fleet of 64, 56 nodes
/// register twice, which costs 224 calls to the store.
#[test]
fn peer_entries_include_registrations() {
    let member = MemberUpdate {
        node: "vm-1".into(),
        peer_address: "127.0.0.1:2".into(),
        address: "127.0.0.1:3".into(),
        failure_domain: "west".into(),
        relay_address: Default::default(),
        cpu_millis: 120,
        state: MemberState::Alive,
        incarnation: 1,
    };
    let mut peer = listed_discovery();
    let entry = RegistryEntry::Node(NodeRegistration { member, node_count: 1 });
    peer.step(1, DiscoveryEvent::EntrySeen { entry, revision: 7 });
    let mut discovery = Discovery::default();
    discovery.step(2, DiscoveryEvent::PeerEntries { entries: peer.entries(), revision: 7 });
    assert!(discovery.is_registered("vm-1"));
}

fn quarantine_seen(trials: usize, revision: u64) -> DiscoveryEvent {
    let record =
        QuarantineRecord { fingerprint: 7, is_quarantined: true, crash_ids: vec![1, 2, 3], trials };
    DiscoveryEvent::EntrySeen { entry: RegistryEntry::Quarantine(record), revision }
}

/// Returns the trials of the quarantined request; `None` if there is no record of it.
fn recorded_trials(discovery: &mut Discovery) -> Option<usize> {
    discovery.quarantines().get(&7).map(|(record, _)| record.trials)
}

/// Guards against a record of a quarantine that is missed, comes back after its removal, or goes
/// back to an older one, so that a request that crashes replicas is let in again.
#[test]
fn quarantine_follows_store() {
    let mut discovery = listed_discovery();
    discovery.take_catalogue();
    discovery.step(0, quarantine_seen(0, 8));
    let catalogue = discovery.take_catalogue().unwrap();
    assert!(catalogue.quarantines.contains_key(&7));
    discovery.step(0, quarantine_seen(1, 9));
    discovery.step(0, quarantine_seen(0, 8));
    assert_eq!(recorded_trials(&mut discovery), Some(1));
    let removed =
        |revision| DiscoveryEvent::EntryRemoved { key: RegistryKey::Quarantine(7), revision };
    discovery.step(0, removed(8));
    assert_eq!(recorded_trials(&mut discovery), Some(1), "removed before it was written again");
    discovery.step(0, removed(10));
    assert_eq!(recorded_trials(&mut discovery), None);
    discovery.step(0, quarantine_seen(1, 11));
    discovery.step(0, DiscoveryEvent::ListStarted { revision: 12 });
    assert_eq!(recorded_trials(&mut discovery), Some(1), "the list has not come to it");
    discovery.step(0, DiscoveryEvent::ListEnded);
    assert_eq!(recorded_trials(&mut discovery), None);
}

/// Guards against a node that starts from a peer, or follows one, and is not told of a quarantine.
#[test]
fn peers_pass_quarantines_on() {
    let mut peer = listed_discovery();
    peer.step(0, quarantine_seen(0, 8));
    let changes = peer.changes_after(7).unwrap();
    assert!(changes.updated.iter().any(|(entry, _)| entry.key() == RegistryKey::Quarantine(7)));
    let mut started = Discovery::default();
    started.step(0, DiscoveryEvent::PeerEntries { entries: peer.entries(), revision: 8 });
    assert_eq!(recorded_trials(&mut started), Some(0));
    peer.step(0, DiscoveryEvent::EntryRemoved { key: RegistryKey::Quarantine(7), revision: 9 });
    let changes = peer.changes_after(8).unwrap();
    assert_eq!(changes.removed, [(RegistryKey::Quarantine(7), 9)]);
    started.step(0, DiscoveryEvent::PeerEntries { entries: peer.entries(), revision: 9 });
    assert_eq!(recorded_trials(&mut started), None);
}
