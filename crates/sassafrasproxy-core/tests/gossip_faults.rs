//! Tests the views of the members while nodes fail, restart or lose datagrams.

mod nodes;

use nodes::Fleet;
use sassafrasproxy_wire::MemberState;

/// Returns the milliseconds until no online node sees any offline one as alive.
fn removal_time_ms(fleet: &mut Fleet, within_ms: u64) -> u64 {
    let from_us = fleet.now_us;
    loop {
        fleet.run_us(50_000);
        let elapsed_ms = (fleet.now_us - from_us) / 1_000;
        let offline: Vec<usize> = fleet.offline.iter().copied().collect();
        let lists_offline = |index: &usize| {
            offline
                .iter()
                .any(|other| fleet.observed_state(*index, *other) == Some(MemberState::Alive))
        };
        let listing = fleet.online().iter().filter(|index| lists_offline(index)).count();
        if listing == 0 {
            return elapsed_ms;
        }
        assert!(elapsed_ms < within_ms, "{listing} nodes list lost ones after {elapsed_ms} ms");
    }
}

/// Guards against callers that are sent to the nodes of a failure domain long after it was lost.
#[test]
fn lost_domain_is_removed() {
    for size in [30, 100, 300] {
        let mut fleet = Fleet::with_domains(size, 6, |_| 500);
        fleet.run_s(20);
        fleet.offline.extend((0..size).filter(|index| index % 6 == 1));
        let elapsed_ms = removal_time_ms(&mut fleet, 6_000);
        println!("{size} nodes: a lost failure domain is removed after {elapsed_ms} ms");
    }
}

/// Returns the share of online nodes that an online node does not see as alive, averaged over all
/// online nodes.
fn false_removal_share(fleet: &Fleet) -> f64 {
    let online = fleet.online();
    let alive = |index: &usize| {
        let nodes = fleet.nodes[*index].directory_nodes();
        nodes.iter().filter(|node| node.state == MemberState::Alive).count()
    };
    let listed: usize = online.iter().map(alive).sum();
    1.0 - listed as f64 / (online.len() * online.len()) as f64
}

/// Guards against live nodes that get no callers because datagrams are lost and peers suspect them.
#[test]
fn lossy_links_remove_no_live_nodes() {
    for size in [8, 200] {
        let mut fleet = Fleet::new(size);
        fleet.loss_rate = 0.1;
        fleet.run_s(10);
        let mut share = 0.0;
        for _ in 0..20 {
            fleet.run_s(1);
            share += false_removal_share(&fleet) / 20.0;
        }
        println!("{size} nodes: {share:.4} of the live nodes are missing");
        assert!(share < 0.01, "{share} at {size}");
    }
}

/// Guards against views that differ for long after half of the fleet restarts at once.
#[test]
fn half_of_fleet_restarts() {
    for size in [8, 200] {
        let mut fleet = Fleet::new(size);
        fleet.run_s(20);
        for index in (0..size).filter(|index| index % 2 == 1) {
            fleet.restart(index, 1_000);
        }
        fleet.run_s(3);
        assert_eq!(fleet.node_count_range(), (size, size));
    }
}
