//! Tests the membership of nodes and the roles that follow from it.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use indexmap::IndexSet;
use sassafrasproxy_core::{BootstrapSource, GossipPolicy, SyncSource};
use sassafrasproxy_wire::MemberState;

mod nodes;

use nodes::{Fleet, SECOND_US, node_index, peer_address};

#[test]
fn all_nodes_join() {
    let mut fleet = Fleet::new(8);
    fleet.run_s(4);
    for index in 0..8 {
        assert_eq!(fleet.nodes[index].node_count(), 8, "node {index}");
    }
}

/// Guards against a directory that lists a VM long after the VM lost power, so that callers are
/// still sent to it. No node may list the VM seven seconds after the loss; the test checks this
/// after five.
#[test]
fn failed_node_is_removed() {
    let mut fleet = Fleet::new(8);
    fleet.run_s(4);
    fleet.offline.insert(3);
    fleet.run_s(5);
    for index in (0..8).filter(|index| *index != 3) {
        assert_eq!(fleet.observed_state(index, 3), None, "seen by {index}");
    }
}

/// Guards against a live node that stays dead to its peers. A VM pauses for six seconds and is
/// declared dead; when it resumes, it must learn of this and refute it.
#[test]
fn resumed_node_refutes_death() {
    let mut fleet = Fleet::new(8);
    fleet.run_s(4);
    fleet.offline.insert(3);
    fleet.run_s(6);
    fleet.offline.clear();
    fleet.run_s(4);
    for index in 0..8 {
        assert_eq!(fleet.observed_state(index, 3), Some(MemberState::Alive), "seen by {index}");
    }
}

/// Guards against callers that are sent to a leaving node. When a node announces that it leaves,
/// all nodes must mark it as leaving at once.
#[test]
fn leaving_node_is_announced() {
    let mut fleet = Fleet::new(8);
    fleet.run_s(4);
    let sends = fleet.nodes[5].leave(fleet.now_us);
    fleet.deliver(5, sends);
    for index in 0..8 {
        assert_eq!(fleet.observed_state(index, 5), Some(MemberState::Leaving), "seen by {index}");
    }
}

/// The most advanced peer is the one that has synced furthest with the store. A node that has
/// itself synced furthest has none.
#[test]
fn most_advanced_peer_is_chosen() {
    let mut fleet = Fleet::new(3);
    fleet.nodes[0].set_store_revision(40);
    fleet.nodes[1].set_store_revision(44);
    fleet.run_s(4);
    assert_eq!(fleet.nodes[2].most_advanced_peer().unwrap(), peer_address(1));
    assert_eq!(fleet.nodes[0].most_advanced_peer().unwrap(), peer_address(1));
    assert_eq!(fleet.nodes[1].most_advanced_peer(), None);
}

/// Guards against too many watches, each of which costs a paid call at each change. Of sixty nodes,
/// four watch the store, one in each failure domain, and the others follow them.
#[test]
fn one_watcher_per_domain() {
    let mut fleet = Fleet::new(60);
    fleet.run_s(40);
    let watchers = fleet.watchers();
    assert_eq!(watchers.len(), 4, "{watchers:?}");
    for domain in 0..4 {
        assert_eq!(
            watchers.iter().filter(|index| **index % 4 == domain).count(),
            1,
            "{watchers:?}"
        );
    }
    for index in 0..60 {
        if let SyncSource::Peer { peer_address } = fleet.nodes[index].sync_source(fleet.now_us) {
            let watcher = node_index(&peer_address);
            assert!(watchers.contains(&watcher));
            // Otherwise each change would be sent across failure domains once for each node.
            assert_eq!(watcher % 4, index % 4, "in its own failure domain");
        }
    }
}

/// Guards against too many watches in a small fleet: each costs a paid call at each change. Of
/// eight nodes, four watch the store, one in each failure domain.
#[test]
fn small_fleet_has_four_watchers() {
    let mut fleet = Fleet::new(8);
    fleet.run_s(20);
    assert_eq!(fleet.watchers().len(), 4);
    let domains: IndexSet<usize> = fleet.watchers().into_iter().map(|index| index % 4).collect();
    assert_eq!(domains.len(), 4);
}

/// Guards against a node that sends to a replica after the replica left. One of eight nodes pauses,
/// and a node that follows it receives no changes from it. Whichever node pauses, the datagrams of
/// the other watchers must show within a second that a newer revision exists.
#[test]
fn stalled_watcher_is_noticed() {
    for paused in 0..8 {
        let mut fleet = Fleet::new(8);
        fleet.run_s(20);
        fleet.offline.insert(paused);
        for watcher in fleet.watchers() {
            fleet.nodes[watcher].set_store_revision(100);
        }
        fleet.run_s(1);
        let followers =
            (0..8).filter(|index| *index != paused && !fleet.watchers().contains(index));
        for follower in followers {
            assert!(
                fleet.nodes[follower].most_advanced_peer().is_some(),
                "follower {follower} with {paused} paused"
            );
        }
    }
}

/// Guards against nodes without a sync source after losses. Nodes are lost until fewer are left
/// than should watch the store; all remaining nodes must watch it themselves.
#[test]
fn all_remaining_nodes_watch() {
    let mut fleet = Fleet::new(8);
    fleet.run_s(20);
    fleet.offline.extend([0, 1, 2, 3, 4]);
    fleet.run_s(10);
    assert_eq!(fleet.watchers().len(), 3);
}

/// Guards against nodes that follow a watcher without access to the store. The store becomes
/// unavailable to three of the watchers and one loses power; other nodes must replace them.
#[test]
fn failed_watchers_are_replaced() {
    let mut fleet = Fleet::new(60);
    fleet.run_s(40);
    let before: Vec<usize> = fleet.watchers().into_iter().collect();
    for index in &before[..3] {
        fleet.nodes[*index].set_store_unavailable(true);
    }
    fleet.offline.insert(before[3]);
    fleet.run_s(40);
    let after = fleet.watchers();
    assert_eq!(after.iter().filter(|index| !before[..4].contains(index)).count(), 4, "{after:?}");
}

/// Guards against a restarted node that asks itself for changes, because its peers still pass on
/// the revision from before its restart as the latest.
#[test]
fn restarted_node_does_not_ask_itself() {
    let mut fleet = Fleet::new(3);
    fleet.nodes[1].set_store_revision(100);
    fleet.run_s(3);
    fleet.restart(1, 2);
    fleet.nodes[0].set_store_revision(60);
    fleet.run_s(3);
    assert_ne!(fleet.nodes[1].most_advanced_peer(), Some(peer_address(1)));
    fleet.nodes[2].set_store_revision(120);
    fleet.run_s(3);
    assert_eq!(fleet.nodes[1].most_advanced_peer(), Some(peer_address(2)));
}

/// Guards against a node that asks one peer after another without learning anything new, while a
/// change that it needs is known to nodes of another failure domain.
#[test]
fn failed_sync_switches_to_advanced_peer() {
    let mut fleet = Fleet::new(60);
    fleet.run_s(20);
    let follower = (0..60).find(|index| !fleet.watchers().contains(index)).unwrap();
    // The nodes of one other failure domain have the change; those in the follower's own do not.
    let informed: Vec<usize> = (0..60).filter(|index| index % 4 == (follower + 1) % 4).collect();
    for index in &informed {
        fleet.nodes[*index].set_store_revision(100);
    }
    fleet.run_s(2);
    let SyncSource::Peer { peer_address } = fleet.nodes[follower].sync_source(fleet.now_us) else {
        panic!("{follower} reads the store")
    };
    fleet.nodes[follower].record_sync_failure(fleet.now_us, &peer_address);
    let SyncSource::Peer { peer_address } = fleet.nodes[follower].sync_source(fleet.now_us) else {
        panic!("{follower} reads the store")
    };
    assert!(informed.contains(&node_index(&peer_address)), "{peer_address} has no newer revision");
}

/// Guards against a node that sends to a replica long after the replica left, because its watch has
/// stalled. Each node receives datagrams from only a few others per second, but the latest revision
/// must spread to all sixty nodes within two seconds: the replica may get nothing new three or
/// five seconds later.
#[test]
fn latest_revision_spreads_quickly() {
    let mut fleet = Fleet::new(60);
    fleet.run_s(40);
    fleet.nodes[7].set_store_revision(100);
    fleet.run_s(2);
    let informed = fleet.nodes.iter().filter(|node| node.most_advanced_peer().is_some()).count();
    assert_eq!(informed, 59);
}

/// Guards against directories that list the nodes of a lost failure domain, so that callers are
/// still sent to them. Thirty deaths must spread as fast as one.
#[test]
fn lost_domain_is_removed() {
    let mut fleet = Fleet::new(120);
    fleet.run_s(60);
    fleet.offline.extend((0..120).filter(|index| index % 4 == 1));
    fleet.run_s(6);
    let listed_count = |index: usize| {
        (0..120).filter(|other| fleet.observed_state(index, *other).is_some()).count()
    };
    let counts: Vec<usize> = (0..120).filter(|index| index % 4 != 1).map(listed_count).collect();
    let most = counts.iter().max().unwrap();
    assert!(*most <= 93, "a node still lists {} dead ones", most - 90);
}

/// Guards against small nodes that each read the whole store across failure domains at their start.
/// Of sixty-four nodes that start at once, eight are large. Within two seconds, most small nodes
/// must know a large node in their failure domain to bootstrap from.
#[test]
fn small_nodes_bootstrap_from_large() {
    let mut fleet = Fleet::with_cpu(64, |index| if index < 8 { 500 } else { 120 });
    for index in 0..64 {
        let expected = if index < 8 { BootstrapSource::Store } else { BootstrapSource::Undecided };
        assert_eq!(fleet.nodes[index].bootstrap_source(0), expected);
    }
    fleet.run_s(2);
    let mut from_peers = 0;
    for index in 8..64 {
        match fleet.nodes[index].bootstrap_source(fleet.now_us) {
            BootstrapSource::Peer { peer_address } => {
                let peer = node_index(&peer_address);
                assert!(peer < 8 && peer % 4 == index % 4, "{index} bootstraps from {peer}");
                from_peers += 1;
            }
            BootstrapSource::Undecided => {}
            BootstrapSource::Store => panic!("{index} reads the store"),
        }
    }
    assert!(from_peers >= 40, "{from_peers} of 56 bootstrap from a peer");
}

/// Guards against small nodes that wait for a large one although there is none, while callers can be
/// sent only to small nodes. In a fleet of small nodes only, each node must read the store within a
/// second, with or without other members.
#[test]
fn bootstrap_without_large_nodes() {
    let mut fleet = Fleet::with_cpu(8, |_| 120);
    assert_eq!(fleet.nodes[3].bootstrap_source(0), BootstrapSource::Undecided);
    assert_eq!(fleet.nodes[3].bootstrap_source(SECOND_US), BootstrapSource::Store);
    fleet.run_s(1);
    assert!(
        (0..8).all(
            |index| fleet.nodes[index].bootstrap_source(fleet.now_us) == BootstrapSource::Store
        )
    );
}

/// Guards against a small node that waits forever if the only large nodes are in another failure
/// domain. It must wait for four seconds and then read the store.
#[test]
fn bootstrap_without_large_node_in_domain() {
    let mut fleet = Fleet::with_cpu(8, |index| if index % 4 == 0 { 500 } else { 120 });
    fleet.run_s(1);
    assert_eq!(fleet.nodes[3].bootstrap_source(fleet.now_us), BootstrapSource::Undecided);
    fleet.run_s(3);
    assert_eq!(fleet.nodes[3].bootstrap_source(fleet.now_us), BootstrapSource::Store);
}

/// Guards against a slow join of a node that starts just before its seeds do: it must not wait half
/// a second before it probes them again.
#[test]
fn isolated_node_retries_seeds() {
    let mut fleet = Fleet::new(2);
    assert_eq!(fleet.nodes[1].tick_delay_us(0), 100_000);
    let tick_us = GossipPolicy::default().tick_interval_us;
    assert_eq!(fleet.nodes[1].tick_delay_us(SECOND_US), tick_us, "alone for a long time");
    fleet.run_s(1);
    assert_eq!(fleet.nodes[1].tick_delay_us(0), tick_us, "no longer alone");
}
