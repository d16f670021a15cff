//! Tests that the number of nodes that read the store is bounded at any fleet size.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod nodes;

use indexmap::IndexSet;
use nodes::{Fleet, SECOND_US, node_index};
use sassafrasproxy_core::SyncSource;

/// The maximum number of nodes that may read the store while peers fail: four in each of six
/// failure domains.
const MAX_READERS: usize = 24;

/// Guards against calls to the store whose number grows with the fleet: those of watchers, of nodes
/// that register, and of nodes that stop following a failed watcher.
#[test]
fn reader_count_is_bounded() {
    for size in [8, 200, 1_000] {
        let mut fleet = Fleet::with_domains(size, 6, |_| 500);
        fleet.run_s(10);
        assert_eq!(fleet.node_count_range(), (size, size));
        assert_eq!(fleet.watchers().len(), 4, "of {size} without failures");
        check_registrars(&fleet);
        check_tree(&fleet);
        check_sync_failures(&mut fleet);
    }
}

/// Returns the node that a node follows; `None` if it reads the store.
fn sync_source(fleet: &Fleet, index: usize) -> Option<usize> {
    match fleet.nodes[index].sync_source(fleet.now_us) {
        SyncSource::Store => None,
        SyncSource::Peer { peer_address } => Some(node_index(&peer_address)),
    }
}

/// Checks that eight nodes keep a registration in the store, at any fleet size.
fn check_registrars(fleet: &Fleet) {
    let is_registrar = |index: &usize| fleet.nodes[*index].should_register(fleet.now_us);
    let registrars = (0..fleet.nodes.len()).filter(is_registrar).count();
    assert_eq!(registrars, 8, "of {}", fleet.nodes.len());
}

/// Checks that nodes do not follow each other in a cycle, and that no node has too many followers.
fn check_tree(fleet: &Fleet) {
    let size = fleet.nodes.len();
    let sources: Vec<Option<usize>> = (0..size).map(|index| sync_source(fleet, index)).collect();
    let mut followers = vec![0; size];
    for start in 0..size {
        let mut seen = IndexSet::new();
        let mut index = start;
        while let Some(next) = sources[index] {
            assert!(seen.insert(index), "a cycle from {start}: {seen:?}");
            index = next;
        }
        assert!(seen.len() <= 5, "{start} of {size} is {} steps away", seen.len());
        if let Some(followed) = sources[start] {
            followers[followed] += 1;
        }
    }
    let most = followers.iter().max().unwrap();
    println!("{size} nodes: at most {most} follow the same node");
    assert!(*most <= 24, "{most} of {size} follow the same node");
}

/// Checks that few nodes switch to the store even if the followed peers fail repeatedly.
fn check_sync_failures(fleet: &mut Fleet) {
    let size = fleet.nodes.len();
    for round in 0..10 {
        for index in 0..size {
            let Some(followed) = sync_source(fleet, index) else { continue };
            let address = nodes::peer_address(followed);
            fleet.nodes[index].record_sync_failure(fleet.now_us, &address);
        }
        fleet.now_us += SECOND_US / 4;
        let readers = fleet.watchers().len();
        assert!(readers <= MAX_READERS, "{readers} of {size} in round {round}");
    }
    println!("{size} nodes: {} read the store after ten failures", fleet.watchers().len());
}
