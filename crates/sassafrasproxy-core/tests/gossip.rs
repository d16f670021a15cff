//! Who is there, by heartbeats over datagrams.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use indexmap::IndexSet;
use sassafrasproxy_core::{Follow, GossipPolicy, StartFrom};
use sassafrasproxy_wire::MemberState;

mod nodes;

use nodes::{Fleet, SECOND_US, index_of, peer_address};

#[test]
fn all_meet() {
    let mut fleet = Fleet::new(8);
    fleet.run(4);
    for at in 0..8 {
        assert_eq!(fleet.nodes[at].node_count(), 8, "node {at}");
    }
}

/// A VM loses power. Callers would be sent to it for as long as the directory names it: within
/// seven seconds no node may.
#[test]
fn death() {
    let mut fleet = Fleet::new(8);
    fleet.run(4);
    fleet.silent.insert(3);
    fleet.run(5);
    for at in (0..8).filter(|at| *at != 3) {
        assert_eq!(fleet.state(at, 3), None, "seen by {at}");
    }
}

/// A VM stands still for six seconds and wakes: it is thought dead, learns so and refutes it.
#[test]
fn wakes_again() {
    let mut fleet = Fleet::new(8);
    fleet.run(4);
    fleet.silent.insert(3);
    fleet.run(6);
    fleet.silent.clear();
    fleet.run(4);
    for at in 0..8 {
        assert_eq!(fleet.state(at, 3), Some(MemberState::Alive), "seen by {at}");
    }
}

/// A node that leaves tells all at once: no directory names it from then on.
#[test]
fn leaves() {
    let mut fleet = Fleet::new(8);
    fleet.run(4);
    let sends = fleet.nodes[5].leave(fleet.now_us);
    fleet.deliver(5, sends);
    for at in 0..8 {
        assert_eq!(fleet.state(at, 5), Some(MemberState::Leaving), "seen by {at}");
    }
}

/// The peer that follows the store furthest is asked, and none that knows less.
#[test]
fn best_informed() {
    let mut fleet = Fleet::new(3);
    fleet.nodes[0].set_progress(40);
    fleet.nodes[1].set_progress(44);
    fleet.run(4);
    assert_eq!(fleet.nodes[2].best_informed().unwrap(), peer_address(1));
    assert_eq!(fleet.nodes[0].best_informed().unwrap(), peer_address(1));
    assert_eq!(fleet.nodes[1].best_informed(), None);
}

/// Sixty nodes: four watch the store, one in each failure domain, and the others follow them.
/// Each watch is paid for at each change.
#[test]
fn few_watch() {
    let mut fleet = Fleet::new(60);
    fleet.run(40);
    let watchers = fleet.watchers();
    assert_eq!(watchers.len(), 4, "{watchers:?}");
    for domain in 0..4 {
        assert_eq!(watchers.iter().filter(|at| **at % 4 == domain).count(), 1, "{watchers:?}");
    }
    for at in 0..60 {
        if let Follow::Peer { peer_address } = fleet.nodes[at].follow(fleet.now_us) {
            let watcher = index_of(&peer_address);
            assert!(watchers.contains(&watcher));
            // Whatever changes would cross failure domains once for each node.
            assert_eq!(watcher % 4, at % 4, "in its own failure domain");
        }
    }
}

/// Eight nodes, each of whose watches would be paid for at each change: four watch the store, and
/// each of the others follows one of its own failure domain.
#[test]
fn small_fleet() {
    let mut fleet = Fleet::new(8);
    fleet.run(20);
    assert_eq!(fleet.watchers().len(), 4);
    let domains: IndexSet<usize> = fleet.watchers().into_iter().map(|at| at % 4).collect();
    assert_eq!(domains.len(), 4);
}

/// A watcher of eight nodes stands still, and then a replica leaves. The node that waits at the
/// watcher hears nothing from it, and would send to the replica for as long as that lasts: within
/// a second the other watchers' heartbeats must say that there is more to know, whoever it was.
#[test]
fn followed_node_stands_still() {
    for still in 0..8 {
        let mut fleet = Fleet::new(8);
        fleet.run(20);
        fleet.silent.insert(still);
        for watcher in fleet.watchers() {
            fleet.nodes[watcher].set_progress(100);
        }
        fleet.run(1);
        let followers = (0..8).filter(|at| *at != still && !fleet.watchers().contains(at));
        for follower in followers {
            assert!(fleet.nodes[follower].best_informed().is_some(), "{follower} with {still}");
        }
    }
}

/// The store turns away or loses nodes until fewer are left than should watch: all that are left
/// watch themselves.
#[test]
fn too_few_watchers() {
    let mut fleet = Fleet::new(8);
    fleet.run(20);
    fleet.silent.extend([0, 1, 2, 3, 4]);
    fleet.run(10);
    assert_eq!(fleet.watchers().len(), 3);
}

/// The store turns three of the watchers away, and one loses power. Others take their place, so
/// that nobody follows a node that learns nothing.
#[test]
fn watchers_fail() {
    let mut fleet = Fleet::new(60);
    fleet.run(40);
    let before: Vec<usize> = fleet.watchers().into_iter().collect();
    for at in &before[..3] {
        fleet.nodes[*at].set_store_away(true);
    }
    fleet.silent.insert(before[3]);
    fleet.run(40);
    let after = fleet.watchers();
    assert_eq!(after.iter().filter(|at| !before[..4].contains(at)).count(), 4, "{after:?}");
}

/// Guards against a node that was restarted and asks itself, as its peers say that it knows most.
#[test]
fn asks_no_earlier_life() {
    let mut fleet = Fleet::new(3);
    fleet.nodes[1].set_progress(100);
    fleet.run(3);
    fleet.restart(1, 2);
    fleet.nodes[0].set_progress(60);
    fleet.run(3);
    assert_ne!(fleet.nodes[1].best_informed(), Some(peer_address(1)));
    fleet.nodes[2].set_progress(120);
    fleet.run(3);
    assert_eq!(fleet.nodes[1].best_informed(), Some(peer_address(2)));
}

/// Guards against a node that asks one peer after the other that knows no more than itself, while
/// a change that it needs is known elsewhere.
#[test]
fn asks_who_knows_more() {
    let mut fleet = Fleet::new(60);
    fleet.run(20);
    let follower = (0..60).find(|at| !fleet.watchers().contains(at)).unwrap();
    // Nodes of another failure domain know of the change, those of its own do not.
    let informed: Vec<usize> = (0..60).filter(|at| at % 4 == (follower + 1) % 4).collect();
    for at in &informed {
        fleet.nodes[*at].set_progress(100);
    }
    fleet.run(2);
    let Follow::Peer { peer_address } = fleet.nodes[follower].follow(fleet.now_us) else {
        panic!("{follower} reads the store")
    };
    fleet.nodes[follower].note_not_followed(fleet.now_us, &peer_address);
    let Follow::Peer { peer_address } = fleet.nodes[follower].follow(fleet.now_us) else {
        panic!("{follower} reads the store")
    };
    assert!(informed.contains(&index_of(&peer_address)), "{peer_address} knows no more");
}

/// A watch goes silent at one of sixty nodes while others learn that a replica leaves. It must
/// hear within two seconds that there is more to know: three or five seconds later the replica
/// may get nothing new. Each node hears directly from a few others a second only.
#[test]
fn news_of_news() {
    let mut fleet = Fleet::new(60);
    fleet.run(40);
    fleet.nodes[7].set_progress(100);
    fleet.run(2);
    let informed = fleet.nodes.iter().filter(|node| node.best_informed().is_some()).count();
    assert_eq!(informed, 59);
}

/// A failure domain of thirty nodes loses power. Callers are sent to its nodes for as long as the
/// directories name them: thirty deaths must travel as fast as one.
#[test]
fn domain_lost() {
    let mut fleet = Fleet::new(120);
    fleet.run(60);
    fleet.silent.extend((0..120).filter(|at| at % 4 == 1));
    fleet.run(6);
    let named = |at: usize| (0..120).filter(|other| fleet.state(at, *other).is_some()).count();
    let known: Vec<usize> = (0..120).filter(|at| at % 4 != 1).map(named).collect();
    let most = known.iter().max().unwrap();
    assert!(*most <= 93, "a node still names {} dead ones", most - 90);
}

/// Sixty-four nodes of which eight are large start at once. The small ones would each read the whole
/// store across failure domains; within two seconds most have heard of a large one nearby.
#[test]
fn small_ones_start() {
    let mut fleet = Fleet::sized(64, |at| if at < 8 { 500 } else { 120 });
    for at in 0..64 {
        let expected = if at < 8 { StartFrom::Store } else { StartFrom::LookAround };
        assert_eq!(fleet.nodes[at].start_from(0), expected);
    }
    fleet.run(2);
    let mut from_peers = 0;
    for at in 8..64 {
        match fleet.nodes[at].start_from(fleet.now_us) {
            StartFrom::Peer { peer_address } => {
                let peer = index_of(&peer_address);
                assert!(peer < 8 && peer % 4 == at % 4, "{at} starts from {peer}");
                from_peers += 1;
            }
            StartFrom::LookAround => {}
            StartFrom::Store => panic!("{at} reads the store"),
        }
    }
    assert!(from_peers >= 40, "{from_peers} of 56 start from a peer");
}

/// Small nodes only, or one that hears of nobody: they read the store before a second is over,
/// as there is nobody better to send callers to.
#[test]
fn all_are_small() {
    let mut fleet = Fleet::sized(8, |_| 120);
    assert_eq!(fleet.nodes[3].start_from(0), StartFrom::LookAround);
    assert_eq!(fleet.nodes[3].start_from(SECOND_US), StartFrom::Store);
    fleet.run(1);
    assert!((0..8).all(|at| fleet.nodes[at].start_from(fleet.now_us) == StartFrom::Store));
}

/// The only large nodes are in another failure domain: a small one waits for four seconds, and then
/// reads the store.
#[test]
fn no_large_one_nearby() {
    let mut fleet = Fleet::sized(8, |at| if at % 4 == 0 { 500 } else { 120 });
    fleet.run(1);
    assert_eq!(fleet.nodes[3].start_from(fleet.now_us), StartFrom::LookAround);
    fleet.run(3);
    assert_eq!(fleet.nodes[3].start_from(fleet.now_us), StartFrom::Store);
}

/// A node starts a moment before its seeds do: it must not wait half a second to try them again.
#[test]
fn seeds_start_later() {
    let mut fleet = Fleet::new(2);
    assert_eq!(fleet.nodes[1].tick_in_us(0), 100_000);
    let tick_us = GossipPolicy::default().tick_us;
    assert_eq!(fleet.nodes[1].tick_in_us(SECOND_US), tick_us, "alone for long");
    fleet.run(1);
    assert_eq!(fleet.nodes[1].tick_in_us(0), tick_us, "not alone any more");
}
