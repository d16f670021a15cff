//! What nodes believe of each other while some are lost.

mod nodes;

use nodes::Fleet;
use sassafrasproxy_wire::MemberState;

/// The milliseconds until no live node sees any silent one as alive.
fn removal_time_ms(fleet: &mut Fleet, within_ms: u64) -> u64 {
    let from_us = fleet.now_us;
    loop {
        fleet.run_us(50_000);
        let passed_ms = (fleet.now_us - from_us) / 1_000;
        let silent: Vec<usize> = fleet.offline.iter().copied().collect();
        let is_named = |at: &usize| {
            silent.iter().any(|other| fleet.observed_state(*at, *other) == Some(MemberState::Alive))
        };
        let naming = fleet.online().iter().filter(|at| is_named(at)).count();
        if naming == 0 {
            return passed_ms;
        }
        assert!(passed_ms < within_ms, "{naming} nodes name lost ones after {passed_ms} ms");
    }
}

/// Guards against callers that are sent to a lost failure domain for long.
#[test]
fn lost_domain_is_removed() {
    for size in [30, 100, 300] {
        let mut fleet = Fleet::with_domains(size, 6, |_| 500);
        fleet.run_s(20);
        fleet.offline.extend((0..size).filter(|at| at % 6 == 1));
        let passed_ms = removal_time_ms(&mut fleet, 6_000);
        println!("{size} nodes: a lost failure domain is left out after {passed_ms} ms");
    }
}

/// The share of live nodes that a live node does not see as alive, over all of them.
fn false_removal_share(fleet: &Fleet) -> f64 {
    let live = fleet.online();
    let alive = |at: &usize| {
        let nodes = fleet.nodes[*at].directory_nodes();
        nodes.iter().filter(|node| node.state == MemberState::Alive).count()
    };
    let named: usize = live.iter().map(alive).sum();
    1.0 - named as f64 / (live.len() * live.len()) as f64
}

/// Guards against live nodes that callers are not sent to because datagrams get lost.
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
        println!("{size} nodes: {share:.4} of the live nodes are left out");
        assert!(share < 0.01, "{share} at {size}");
    }
}

/// Guards against views that differ for long after half of the fleet starts again at once.
#[test]
fn half_of_fleet_restarts() {
    for size in [8, 200] {
        let mut fleet = Fleet::new(size);
        fleet.run_s(20);
        for at in (0..size).filter(|at| at % 2 == 1) {
            fleet.restart(at, 1_000);
        }
        fleet.run_s(3);
        assert_eq!(fleet.node_count_range(), (size, size));
    }
}
