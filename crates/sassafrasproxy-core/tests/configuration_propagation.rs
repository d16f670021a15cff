//! The spread of configurations, homes and holdings over many nodes.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod cluster;

use cluster::{Cluster, MS, services};
use ecow::EcoString;
use indexmap::IndexMap;
use sassafrasproxy_core::{ControlEffect, ControlEvent, ControlPolicy, HomeTable, Member};
use sassafrasproxy_wire::{GroupHoldings, Hlc, NodeHoldings, SnapshotHolding};

/// Returns how long it takes until every node that is up has the store's revision, in milliseconds.
fn convergence_ms(cluster: &mut Cluster, limit_ms: u64) -> u64 {
    let start_us = cluster.now_us;
    while cluster.now_us < start_us + limit_ms * MS {
        cluster.advance(10 * MS);
        let wanted = cluster.store.revision;
        let is_done =
            |(node, is_up): (usize, &bool)| !is_up || cluster.nodes[node].revision() == wanted;
        if cluster.is_up.iter().enumerate().all(is_done) {
            return (cluster.now_us - start_us) / MS;
        }
    }
    panic!("the revision is not active on all nodes after {limit_ms} ms");
}

#[test]
fn small_cluster() {
    let mut cluster = Cluster::start(8, 4, ControlPolicy::default());
    cluster.advance(3_000 * MS);
    cluster.publish(|configuration| configuration.services = services(50, 4));
    assert!(convergence_ms(&mut cluster, 2_000) < 2_000);
    let homes: IndexMap<_, _> = (*cluster.view(0).homes).clone();
    for node in 1..8 {
        assert_eq!(*cluster.view(node).homes, homes, "all agree on the homes");
    }
}

// Guards against a configuration that takes more than 8 s to be active on all nodes at the planned
// size, and against a read of the store by every node. `IN_FORCE_NODES=1000` with `--release` runs
// the planned size.
#[test]
fn large_cluster() {
    let count = std::env::var("IN_FORCE_NODES").map_or(120, |count| count.parse().unwrap());
    let mut cluster = Cluster::start(count, 18, ControlPolicy::default());
    cluster.publish(|configuration| configuration.services = services(10, 18));
    let has_all = |cluster: &Cluster, node| cluster.alive_seen_by(node) == count;
    while !(0..count).all(|node| has_all(&cluster, node)) {
        cluster.advance(1_000 * MS);
        assert!(cluster.now_us < 120_000 * MS, "all have joined");
    }
    println!("all joined after {} s", cluster.now_us / MS / 1_000);
    cluster.store_reads = 0;
    let before = (cluster.messages, cluster.bytes);
    cluster.publish(|configuration| configuration.services = services(20, 18));
    let took_ms = convergence_ms(&mut cluster, 8_000);
    let messages = cluster.messages - before.0;
    println!("{messages} heartbeats, {} bytes", cluster.bytes - before.1);
    println!("active on all nodes after {took_ms} ms, {} reads of the store", cluster.store_reads);
    assert!(cluster.store_reads <= 2 * 18, "{} reads", cluster.store_reads);
}

// Guards against homes in a failure domain that operators have taken out of service. No view may
// have one of the domain's nodes as a home.
#[test]
fn domain_out() {
    let mut cluster = Cluster::start(8, 4, ControlPolicy::default());
    cluster.advance(3_000 * MS);
    cluster.publish(|configuration| configuration.services = services(50, 4));
    convergence_ms(&mut cluster, 2_000);
    cluster.publish(|configuration| {
        configuration.domains_out.insert("domain-1".into());
    });
    assert!(convergence_ms(&mut cluster, 2_000) < 2_000);
    for node in 0..8 {
        let view = cluster.view(node);
        let is_out = |home: &EcoString| view.members[home].failure_domain == "domain-1";
        assert!(view.homes.values().all(|ranked| !is_out(&ranked[0])));
    }
}

// Guards against a node that can't start while the store is unavailable. A VM is replaced, and the
// new one must get the configuration from its peers.
#[test]
fn join_without_store() {
    let mut cluster = Cluster::start(8, 4, ControlPolicy::default());
    cluster.publish(|configuration| configuration.services = services(10, 4));
    convergence_ms(&mut cluster, 5_000);
    cluster.is_store_up = false;
    cluster.is_up[5] = false;
    cluster.advance(5_000 * MS);
    cluster.join(5, 4);
    assert!(convergence_ms(&mut cluster, 5_000) < 5_000);
}

// Guards against an old configuration that arrives after a newer one, by a slow read of the store
// or from a lagging peer. Adopting it would bring back a failure domain that operators have taken
// out of service.
#[test]
fn old_revision() {
    let mut cluster = Cluster::start(2, 2, ControlPolicy::default());
    cluster.publish(|configuration| configuration.services = services(3, 2));
    let old = cluster.store.clone();
    convergence_ms(&mut cluster, 5_000);
    cluster.publish(|configuration| {
        configuration.domains_out.insert("domain-1".into());
    });
    convergence_ms(&mut cluster, 5_000);
    let effects = cluster.nodes[0].step(cluster.now_us, ControlEvent::ConfigurationReceived(old));
    assert!(effects.is_empty());
    assert_eq!(cluster.nodes[0].revision(), 2);
}

// Guards against an invalid configuration that replaces the active one or is reported repeatedly.
#[test]
fn rejected_revision() {
    let mut cluster = Cluster::start(1, 1, ControlPolicy::default());
    cluster.publish(|configuration| configuration.services = services(3, 1));
    convergence_ms(&mut cluster, 5_000);
    let rejected = |revision| ControlEvent::ConfigurationRejected { revision, detail: "x".into() };
    let node = &mut cluster.nodes[0];
    assert_eq!(node.step(cluster.now_us, rejected(2)).len(), 1, "the rejection is recorded once");
    assert!(node.step(cluster.now_us, rejected(2)).is_empty());
    assert_eq!((node.revision(), node.rejected_revision().map(|one| one.0)), (1, Some(2)));
}

// Guards against answers that permanently lack a home's shards. A node that has just started
// receives a home's holdings before it has the configuration, and drops those of unknown groups. It
// must not record their version, but pull them again.
#[test]
fn holdings_before_configuration() {
    let mut cluster = Cluster::start(2, 2, ControlPolicy::default());
    cluster.advance(2_000 * MS);
    let group = GroupHoldings {
        group: "service-0/s0".into(),
        home: cluster::node_name(1),
        made_at: Hlc { wall_ms: 1, count: 0 },
        snapshots: Vec::new(),
    };
    let holdings = NodeHoldings {
        node: cluster::node_name(1),
        version: 1,
        is_whole: true,
        groups: vec![group],
    };
    let now_us = cluster.now_us;
    let mut heartbeat = cluster.nodes[1].heartbeat(Hlc::default(), None);
    heartbeat.holdings_version = 1;
    let is_pull = |effect: &ControlEffect| matches!(effect, ControlEffect::PullHoldings { .. });
    let node = &mut cluster.nodes[0];
    node.step(now_us, ControlEvent::HoldingsReceived(holdings.clone()));
    let effects = node.step(now_us, ControlEvent::HeartbeatReceived(heartbeat.clone()));
    assert!(effects.iter().any(is_pull), "the holdings are pulled again");

    cluster.publish(|configuration| configuration.services = services(1, 2));
    convergence_ms(&mut cluster, 2_000);
    let node = &mut cluster.nodes[0];
    node.step(now_us, ControlEvent::HoldingsReceived(holdings));
    let effects = node.step(now_us, ControlEvent::HeartbeatReceived(heartbeat));
    assert!(!effects.iter().any(is_pull), "the version is recorded once the group is known");
    assert_eq!(node.view().holdings.len(), 1);
}

// Guards against answers that permanently lack a group's shards. A node that knows no other member
// yet acts as the home of a group and publishes empty holdings. They are later than those of the
// true home, but must not replace them.
#[test]
fn short_lived_home() {
    let mut cluster = Cluster::start(8, 4, ControlPolicy::default());
    cluster.publish(|configuration| configuration.services = services(8, 4));
    convergence_ms(&mut cluster, 5_000);
    cluster.advance(2_000 * MS);
    let view = cluster.view(0);
    let (group, ranked) = view.homes.iter().find(|(_, ranked)| ranked[0] != "vm-0").unwrap();
    let holdings = |home: &EcoString, wall_ms, snapshots| NodeHoldings {
        node: home.clone(),
        version: 1,
        is_whole: true,
        groups: vec![GroupHoldings {
            group: group.clone(),
            home: home.clone(),
            made_at: Hlc { wall_ms, count: 0 },
            snapshots,
        }],
    };
    let held = vec![SnapshotHolding { id: 7, layout: Vec::new(), servable: Vec::new() }];
    let other = view.members.keys().find(|node| **node != ranked[0]).unwrap();
    let now_us = cluster.now_us;
    let node = &mut cluster.nodes[0];
    node.step(now_us, ControlEvent::HoldingsReceived(holdings(&ranked[0], 1, held.clone())));
    node.step(now_us, ControlEvent::HoldingsReceived(holdings(other, 2, Vec::new())));
    assert_eq!(node.view().holdings[group].snapshots, held);
}

// Guards against nodes that return to an older revision. Revisions follow each other quickly, and
// partitioned nodes receive them late. The cluster asserts at every step that no revision reverts.
#[test]
fn many_revisions() {
    let mut cluster = Cluster::start(8, 4, ControlPolicy::default());
    cluster.advance(2_000 * MS);
    for round in 0..40 {
        cluster.publish(|configuration| {
            configuration.services = services(1 + round % 5, 4);
        });
        if round % 7 == 3 {
            cluster.partition(&[round % 8], &[0, 1, 2, 3, 4, 5, 6, 7]);
        }
        cluster.advance((round as u64 * 37 % 300) * MS);
        if round % 7 == 6 {
            cluster.blocked_links.clear();
        }
    }
    cluster.blocked_links.clear();
    convergence_ms(&mut cluster, 10_000);
    for adopted in &cluster.revision_history {
        assert!(adopted.is_sorted_by(|a, b| a.0 < b.0), "one order everywhere");
    }
}

// Guards against a group that the incremental ranking leaves out. Homes are ranked again only for
// groups that a change affects, and a node that misses one would send queries to its former home.
#[test]
fn incremental_ranking() {
    let mut cluster = Cluster::start(12, 4, ControlPolicy::default());
    cluster.publish(|configuration| configuration.services = services(60, 4));
    cluster.advance(3_000 * MS);
    for round in 0..30_usize {
        let node = 1 + round * 5 % 11;
        match round % 3 {
            0 => cluster.is_up[node] = false,
            1 => cluster.join(node, 4),
            _ => drop(cluster.nodes[node].step(cluster.now_us, ControlEvent::Shutdown)),
        }
        cluster.advance(700 * MS);
        let view = cluster.view(0);
        let members: Vec<&Member> = view.members.values().collect();
        let mut full_ranking = HomeTable::default();
        full_ranking.rank_all(&view.groups, &members, &view.configuration.domains_out);
        assert_eq!(view.homes, *full_ranking.homes(), "round {round}");
    }
}

// Guards against homes that move without need. When a ninth node joins, only groups of which it
// becomes the home may move, which is about one in nine.
#[test]
fn minimal_home_moves() {
    let mut cluster = Cluster::start(8, 1, ControlPolicy::default());
    cluster.publish(|configuration| configuration.services = services(400, 1));
    cluster.advance(5_000 * MS);
    let before = (*cluster.view(0).homes).clone();
    cluster.join(8, 1);
    cluster.advance(5_000 * MS);
    let after = (*cluster.view(0).homes).clone();
    let moved: Vec<_> =
        before.iter().filter(|(group, ranked)| after[*group][0] != ranked[0]).collect();
    assert!(moved.iter().all(|(group, _)| after[*group][0] == cluster::node_name(8)));
    assert!((20..80).contains(&moved.len()), "{} of 400 moved", moved.len());
}
