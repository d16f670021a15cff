//! Who is a member, in every node's view.

mod cluster;

use cluster::{Cluster, MS, node_name, services};
use sassafrasproxy_core::{ControlEvent, ControlPolicy};
use sassafrasproxy_wire::MemberState;

const NODES: usize = 8;

fn start_cluster() -> Cluster {
    let mut cluster = Cluster::start(NODES, 4, ControlPolicy::default());
    cluster.advance(3_000 * MS);
    for node in 0..NODES {
        assert_eq!(cluster.alive_seen_by(node), NODES);
    }
    cluster
}

#[test]
fn all_join() {
    start_cluster();
}

// A VM fails. Its groups need a new home within seconds, in every node's view.
#[test]
fn crash_detected() {
    let mut cluster = start_cluster();
    cluster.is_up[3] = false;
    let skew_us = ControlPolicy::default().view_skew_us();
    cluster.advance(skew_us + 1_000 * MS);
    for node in (0..NODES).filter(|node| *node != 3) {
        assert_eq!(cluster.state_seen_by(node, 3), Some(MemberState::Dead), "seen by {node}");
    }
}

// A VM is paused for less than a suspicion lasts. Its groups would move twice if it were given
// up at once; it must refute and stay.
#[test]
fn short_pause() {
    let mut cluster = start_cluster();
    cluster.is_up[3] = false;
    cluster.advance(900 * MS);
    cluster.is_up[3] = true;
    for _ in 0..40 {
        cluster.advance(100 * MS);
        let is_dead = |node| cluster.state_seen_by(node, 3) == Some(MemberState::Dead);
        assert!(!(0..NODES).any(is_dead), "given up after a short pause");
    }
    assert!((0..NODES).all(|node| cluster.alive_seen_by(node) == NODES));
}

#[test]
fn long_pause() {
    let mut cluster = start_cluster();
    cluster.is_up[3] = false;
    cluster.advance(10_000 * MS);
    assert_eq!(cluster.state_seen_by(0, 3), Some(MemberState::Dead));
    cluster.is_up[3] = true;
    cluster.advance(10_000 * MS);
    for node in 0..NODES {
        assert_eq!(cluster.alive_seen_by(node), NODES, "seen by {node}");
    }
}

// One path between two nodes is lost. Both are well and reach all others, so neither may be
// even suspected; the indirect probes must clear them.
#[test]
fn one_broken_link() {
    let mut cluster = start_cluster();
    cluster.partition(&[2], &[5]);
    for _ in 0..100 {
        cluster.advance(100 * MS);
        for node in 0..NODES {
            assert_eq!(cluster.alive_seen_by(node), NODES, "seen by {node}");
        }
    }
}

// Regions lose each other for a while and find each other again, without an operator.
#[test]
fn partition_heals() {
    let mut cluster = start_cluster();
    cluster.partition(&[0, 1, 2, 3], &[4, 5, 6, 7]);
    cluster.advance(120_000 * MS);
    assert_eq!((cluster.alive_seen_by(0), cluster.alive_seen_by(7)), (4, 4));
    cluster.blocked_links.clear();
    cluster.advance(20_000 * MS);
    for node in 0..NODES {
        assert_eq!(cluster.alive_seen_by(node), NODES, "seen by {node}");
    }
}

#[test]
fn graceful_leave() {
    let mut cluster = start_cluster();
    cluster.publish(|configuration| configuration.services = services(50, 4));
    cluster.advance(3_000 * MS);
    assert!(cluster.view(0).homes.values().any(|ranked| ranked[0] == node_name(3)));
    cluster.nodes[3].step(cluster.now_us, ControlEvent::Shutdown);
    cluster.advance(3_000 * MS);
    for node in 0..NODES {
        assert_eq!(cluster.state_seen_by(node, 3), Some(MemberState::Leaving));
        assert!(cluster.view(node).homes.values().all(|ranked| ranked[0] != node_name(3)));
    }
}

// A VM is replaced by one of the same name. What others remember of the old one must not keep
// the new one out.
#[test]
fn replaced_node_same_name() {
    let mut cluster = start_cluster();
    cluster.is_up[3] = false;
    cluster.advance(10_000 * MS);
    cluster.join(3, 4);
    cluster.advance(5_000 * MS);
    for node in 0..NODES {
        assert_eq!(cluster.alive_seen_by(node), NODES, "seen by {node}");
    }
}
