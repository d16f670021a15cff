//! Who is there, by heartbeats over datagrams.

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
    for at in 0..8 {
        assert_eq!(fleet.nodes[at].node_count(), 8, "node {at}");
    }
}

/// A VM loses power. Callers would be sent to it for as long as the directory names it: within
/// seven seconds no node may.
#[test]
fn failed_node_is_removed() {
    let mut fleet = Fleet::new(8);
    fleet.run_s(4);
    fleet.offline.insert(3);
    fleet.run_s(5);
    for at in (0..8).filter(|at| *at != 3) {
        assert_eq!(fleet.observed_state(at, 3), None, "seen by {at}");
    }
}

/// A VM stands still for six seconds and wakes: it is thought dead, learns so and refutes it.
#[test]
fn resumed_node_refutes_death() {
    let mut fleet = Fleet::new(8);
    fleet.run_s(4);
    fleet.offline.insert(3);
    fleet.run_s(6);
    fleet.offline.clear();
    fleet.run_s(4);
    for at in 0..8 {
        assert_eq!(fleet.observed_state(at, 3), Some(MemberState::Alive), "seen by {at}");
    }
}

/// A node that leaves tells all at once: no directory names it from then on.
#[test]
fn leaving_node_is_announced() {
    let mut fleet = Fleet::new(8);
    fleet.run_s(4);
    let sends = fleet.nodes[5].leave(fleet.now_us);
    fleet.deliver(5, sends);
    for at in 0..8 {
        assert_eq!(fleet.observed_state(at, 5), Some(MemberState::Leaving), "seen by {at}");
    }
}

/// The peer that follows the store furthest is asked, and none that knows less.
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

/// Sixty nodes: four watch the store, one in each failure domain, and the others follow them.
/// Each watch is paid for at each change.
#[test]
fn one_watcher_per_domain() {
    let mut fleet = Fleet::new(60);
    fleet.run_s(40);
    let watchers = fleet.watchers();
    assert_eq!(watchers.len(), 4, "{watchers:?}");
    for domain in 0..4 {
        assert_eq!(watchers.iter().filter(|at| **at % 4 == domain).count(), 1, "{watchers:?}");
    }
    for at in 0..60 {
        if let SyncSource::Peer { peer_address } = fleet.nodes[at].sync_source(fleet.now_us) {
            let watcher = node_index(&peer_address);
            assert!(watchers.contains(&watcher));
            // Whatever changes would cross failure domains once for each node.
            assert_eq!(watcher % 4, at % 4, "in its own failure domain");
        }
    }
}

/// Eight nodes, each of whose watches would be paid for at each change: four watch the store, and
/// each of the others follows one of its own failure domain.
#[test]
fn small_fleet_has_four_watchers() {
    let mut fleet = Fleet::new(8);
    fleet.run_s(20);
    assert_eq!(fleet.watchers().len(), 4);
    let domains: IndexSet<usize> = fleet.watchers().into_iter().map(|at| at % 4).collect();
    assert_eq!(domains.len(), 4);
}

/// A watcher of eight nodes stands still, and then a replica leaves. The node that waits at the
/// watcher hears nothing from it, and would send to the replica for as long as that lasts: within
/// a second the other watchers' heartbeats must say that there is more to know, whoever it was.
#[test]
fn stalled_watcher_is_noticed() {
    for still in 0..8 {
        let mut fleet = Fleet::new(8);
        fleet.run_s(20);
        fleet.offline.insert(still);
        for watcher in fleet.watchers() {
            fleet.nodes[watcher].set_store_revision(100);
        }
        fleet.run_s(1);
        let followers = (0..8).filter(|at| *at != still && !fleet.watchers().contains(at));
        for follower in followers {
            assert!(
                fleet.nodes[follower].most_advanced_peer().is_some(),
                "{follower} with {still}"
            );
        }
    }
}

/// The store turns away or loses nodes until fewer are left than should watch: all that are left
/// watch themselves.
#[test]
fn all_remaining_nodes_watch() {
    let mut fleet = Fleet::new(8);
    fleet.run_s(20);
    fleet.offline.extend([0, 1, 2, 3, 4]);
    fleet.run_s(10);
    assert_eq!(fleet.watchers().len(), 3);
}

/// The store turns three of the watchers away, and one loses power. Others take their place, so
/// that nobody follows a node that learns nothing.
#[test]
fn failed_watchers_are_replaced() {
    let mut fleet = Fleet::new(60);
    fleet.run_s(40);
    let before: Vec<usize> = fleet.watchers().into_iter().collect();
    for at in &before[..3] {
        fleet.nodes[*at].set_store_unavailable(true);
    }
    fleet.offline.insert(before[3]);
    fleet.run_s(40);
    let after = fleet.watchers();
    assert_eq!(after.iter().filter(|at| !before[..4].contains(at)).count(), 4, "{after:?}");
}

/// Guards against a node that was restarted and asks itself, as its peers say that it knows most.
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

/// Guards against a node that asks one peer after the other that knows no more than itself, while
/// a change that it needs is known elsewhere.
#[test]
fn failed_sync_switches_to_advanced_peer() {
    let mut fleet = Fleet::new(60);
    fleet.run_s(20);
    let follower = (0..60).find(|at| !fleet.watchers().contains(at)).unwrap();
    // Nodes of another failure domain know of the change, those of its own do not.
    let informed: Vec<usize> = (0..60).filter(|at| at % 4 == (follower + 1) % 4).collect();
    for at in &informed {
        fleet.nodes[*at].set_store_revision(100);
    }
    fleet.run_s(2);
    let SyncSource::Peer { peer_address } = fleet.nodes[follower].sync_source(fleet.now_us) else {
        panic!("{follower} reads the store")
    };
    fleet.nodes[follower].record_sync_failure(fleet.now_us, &peer_address);
    let SyncSource::Peer { peer_address } = fleet.nodes[follower].sync_source(fleet.now_us) else {
        panic!("{follower} reads the store")
    };
    assert!(informed.contains(&node_index(&peer_address)), "{peer_address} knows no more");
}

/// A watch goes silent at one of sixty nodes while others learn that a replica leaves. It must
/// hear within two seconds that there is more to know: three or five seconds later the replica
/// may get nothing new. Each node hears directly from a few others a second only.
#[test]
fn latest_revision_spreads_quickly() {
    let mut fleet = Fleet::new(60);
    fleet.run_s(40);
    fleet.nodes[7].set_store_revision(100);
    fleet.run_s(2);
    let informed = fleet.nodes.iter().filter(|node| node.most_advanced_peer().is_some()).count();
    assert_eq!(informed, 59);
}

/// A failure domain of thirty nodes loses power. Callers are sent to its nodes for as long as the
/// directories name them: thirty deaths must travel as fast as one.
#[test]
fn lost_domain_is_removed() {
    let mut fleet = Fleet::new(120);
    fleet.run_s(60);
    fleet.offline.extend((0..120).filter(|at| at % 4 == 1));
    fleet.run_s(6);
    let named =
        |at: usize| (0..120).filter(|other| fleet.observed_state(at, *other).is_some()).count();
    let known: Vec<usize> = (0..120).filter(|at| at % 4 != 1).map(named).collect();
    let most = known.iter().max().unwrap();
    assert!(*most <= 93, "a node still names {} dead ones", most - 90);
}

/// Sixty-four nodes of which eight are large start at once. The small ones would each read the whole
/// store across failure domains; within two seconds most have heard of a large one nearby.
#[test]
fn small_nodes_bootstrap_from_large() {
    let mut fleet = Fleet::with_cpu(64, |at| if at < 8 { 500 } else { 120 });
    for at in 0..64 {
        let expected = if at < 8 { BootstrapSource::Store } else { BootstrapSource::Undecided };
        assert_eq!(fleet.nodes[at].bootstrap_source(0), expected);
    }
    fleet.run_s(2);
    let mut from_peers = 0;
    for at in 8..64 {
        match fleet.nodes[at].bootstrap_source(fleet.now_us) {
            BootstrapSource::Peer { peer_address } => {
                let peer = node_index(&peer_address);
                assert!(peer < 8 && peer % 4 == at % 4, "{at} starts from {peer}");
                from_peers += 1;
            }
            BootstrapSource::Undecided => {}
            BootstrapSource::Store => panic!("{at} reads the store"),
        }
    }
    assert!(from_peers >= 40, "{from_peers} of 56 start from a peer");
}

/// Small nodes only, or one that hears of nobody: they read the store before a second is over,
/// as there is nobody better to send callers to.
#[test]
fn bootstrap_without_large_nodes() {
    let mut fleet = Fleet::with_cpu(8, |_| 120);
    assert_eq!(fleet.nodes[3].bootstrap_source(0), BootstrapSource::Undecided);
    assert_eq!(fleet.nodes[3].bootstrap_source(SECOND_US), BootstrapSource::Store);
    fleet.run_s(1);
    assert!(
        (0..8).all(|at| fleet.nodes[at].bootstrap_source(fleet.now_us) == BootstrapSource::Store)
    );
}

/// The only large nodes are in another failure domain: a small one waits for four seconds, and then
/// reads the store.
#[test]
fn bootstrap_without_large_node_in_domain() {
    let mut fleet = Fleet::with_cpu(8, |at| if at % 4 == 0 { 500 } else { 120 });
    fleet.run_s(1);
    assert_eq!(fleet.nodes[3].bootstrap_source(fleet.now_us), BootstrapSource::Undecided);
    fleet.run_s(3);
    assert_eq!(fleet.nodes[3].bootstrap_source(fleet.now_us), BootstrapSource::Store);
}

/// A node starts a moment before its seeds do: it must not wait half a second to try them again.
#[test]
fn isolated_node_retries_seeds() {
    let mut fleet = Fleet::new(2);
    assert_eq!(fleet.nodes[1].tick_delay_us(0), 100_000);
    let tick_us = GossipPolicy::default().tick_interval_us;
    assert_eq!(fleet.nodes[1].tick_delay_us(SECOND_US), tick_us, "alone for long");
    fleet.run_s(1);
    assert_eq!(fleet.nodes[1].tick_delay_us(0), tick_us, "not alone any more");
}
