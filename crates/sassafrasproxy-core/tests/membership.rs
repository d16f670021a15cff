//! The members in every node's view after joins, crashes, pauses and partitions.

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

// Guards against a crash that a node does not detect. The crashed VM's groups need a new home
// within seconds in every node's view.
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

// Guards against homes that move twice because of a short pause. A VM is paused for less than the
// suspicion timeout, and must refute the suspicion before it is marked as dead.
#[test]
fn short_pause() {
    let mut cluster = start_cluster();
    cluster.is_up[3] = false;
    cluster.advance(900 * MS);
    cluster.is_up[3] = true;
    for _ in 0..40 {
        cluster.advance(100 * MS);
        let is_dead = |node| cluster.state_seen_by(node, 3) == Some(MemberState::Dead);
        assert!(!(0..NODES).any(is_dead), "marked as dead after a short pause");
    }
    assert!((0..NODES).all(|node| cluster.alive_seen_by(node) == NODES));
}

// Guards against a node that stays dead in others' tables. It is paused until it is marked as dead,
// and must refute that after it resumes.
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

// Guards against a suspicion that one broken link causes. Two nodes can't reach each other, but
// both reach all others, so the indirect probes must succeed.
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

// Guards against a partition that does not heal without an operator. Two halves of the cluster are
// separated until each has marked the other as dead, and must merge again once the links work.
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

// Guards against a leaving node that stays a home. Every view must move its groups to other nodes.
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

// Guards against a new VM that can't join because it has the name of a dead one. Other nodes still
// keep the dead member's entry.
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
