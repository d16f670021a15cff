//! How many nodes read the store themselves, whatever the size of the fleet.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod nodes;

use indexmap::IndexSet;
use nodes::{Fleet, SECOND_US, node_index};
use sassafrasproxy_core::SyncSource;

/// The most nodes that may read the store while peers fail: in each of six failure domains as many
/// as watch it in calm.
const MAX_READERS: usize = 24;

/// Guards against calls to the store that grow with the fleet: watchers, registrations, and nodes
/// that leave a watcher in trouble.
#[test]
fn reader_count_is_bounded() {
    for size in [8, 200, 1_000] {
        let mut fleet = Fleet::with_domains(size, 6, |_| 500);
        fleet.run_s(10);
        assert_eq!(fleet.node_count_range(), (size, size));
        assert_eq!(fleet.watchers().len(), 4, "of {size} in calm");
        check_registrars(&fleet);
        check_tree(&fleet);
        check_sync_failures(&mut fleet);
    }
}

/// Whom a node follows, if it does not read the store.
fn sync_source(fleet: &Fleet, at: usize) -> Option<usize> {
    match fleet.nodes[at].sync_source(fleet.now_us) {
        SyncSource::Store => None,
        SyncSource::Peer { peer_address } => Some(node_index(&peer_address)),
    }
}

/// Eight nodes keep a registration in the store, in a fleet of any size.
fn check_registrars(fleet: &Fleet) {
    let is_registrar = |at: &usize| fleet.nodes[*at].should_register(fleet.now_us);
    let registrars = (0..fleet.nodes.len()).filter(is_registrar).count();
    assert_eq!(registrars, 8, "of {}", fleet.nodes.len());
}

/// Nodes do not follow each other in a circle, nor all the same one.
fn check_tree(fleet: &Fleet) {
    let size = fleet.nodes.len();
    let sources: Vec<Option<usize>> = (0..size).map(|at| sync_source(fleet, at)).collect();
    let mut followers = vec![0; size];
    for start in 0..size {
        let mut seen = IndexSet::new();
        let mut at = start;
        while let Some(next) = sources[at] {
            assert!(seen.insert(at), "a circle from {start}: {seen:?}");
            at = next;
        }
        assert!(seen.len() <= 5, "{start} of {size} is {} steps away", seen.len());
        if let Some(followed) = sources[start] {
            followers[followed] += 1;
        }
    }
    let most = followers.iter().max().unwrap();
    println!("{size} nodes: at most {most} follow the same one");
    assert!(*most <= 24, "{most} of {size} follow the same one");
}

/// Whoever is followed cannot tell more, again and again: few go to the store all the same.
fn check_sync_failures(fleet: &mut Fleet) {
    let size = fleet.nodes.len();
    for round in 0..10 {
        for at in 0..size {
            let Some(followed) = sync_source(fleet, at) else { continue };
            let address = nodes::peer_address(followed);
            fleet.nodes[at].record_sync_failure(fleet.now_us, &address);
        }
        fleet.now_us += SECOND_US / 4;
        let readers = fleet.watchers().len();
        assert!(readers <= MAX_READERS, "{readers} of {size} in round {round}");
    }
    println!("{size} nodes: {} read the store after ten failures", fleet.watchers().len());
}
