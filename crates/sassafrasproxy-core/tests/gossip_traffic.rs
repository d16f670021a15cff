//! Tests the network traffic of gossip at several fleet sizes.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod nodes;
mod rate_limit_model;

use nodes::Fleet;
use rate_limit_model::{DAYS, Way, random_scenario, simulate};
use sassafrasproxy_core::CrashReport;

/// The maximum number of bytes that a node may send in five idle seconds: 1 KB per second.
const MAX_IDLE_BYTES: usize = 5 * 1_024;

/// Guards against a startup in which each node contacts every other node, and against probes
/// that continue to carry updates that all nodes already have.
#[test]
fn startup_and_idle_traffic() {
    for (size, within_ms) in [(8, 3_000), (195, 3_000), (1_000, 10_000)] {
        let mut fleet = Fleet::with_domains(size, 6, |_| 500);
        while fleet.node_count_range().0 < size {
            fleet.run_us(100_000);
            assert!(
                fleet.now_us <= within_ms * 1_000,
                "{:?} of {size} known",
                fleet.node_count_range()
            );
        }
        let joined_ms = fleet.now_us / 1_000;
        fleet.run_s(5);
        let all = fleet.take_total_sent();
        let (bytes, datagrams) = (all.bytes / size, all.datagrams / size);
        println!("{size} nodes: {joined_ms} ms, {bytes} bytes and {datagrams} datagrams per node");
        println!("{size} nodes: {} bytes per node to other domains", all.cross_domain_bytes / size);
        assert!(fleet.max_datagram_bytes <= 1_200, "{} bytes", fleet.max_datagram_bytes);
        assert!(size > 195 || bytes <= 60_000, "{bytes} bytes per node");
        fleet.max_datagram_bytes = 0;
        fleet.run_s(5);
        let most = fleet.take_max_sent();
        println!("{size} nodes: {most:?} in 5 s, longest {}", fleet.max_datagram_bytes);
        assert!(fleet.max_datagram_bytes <= 300, "{} bytes at {size}", fleet.max_datagram_bytes);
        assert!(most.bytes <= MAX_IDLE_BYTES, "{most:?} at {size}");
    }
}

/// Guards against a restart of one node that every node reports to every other node.
#[test]
fn single_restart_traffic() {
    for size in [8, 200] {
        let mut fleet = Fleet::new(size);
        fleet.run_s(20);
        fleet.take_total_sent();
        fleet.run_s(10);
        let idle = fleet.take_total_sent();
        fleet.restart(5, 2);
        fleet.run_s(10);
        let all = fleet.take_total_sent();
        let more = all.bytes.saturating_sub(idle.bytes) / size;
        println!("{size} nodes: {more} bytes per node for a restart");
        assert_eq!(fleet.node_count_range(), (size, size));
        assert!(more <= 2_000, "{more} bytes per node at {size}");
    }
}

/// Guards against a rolling restart whose traffic per node grows with the fleet. The bytes that a
/// node sends for each node that leaves and returns may grow no faster than the logarithm of the
/// fleet's size.
#[test]
fn rolling_restart_traffic() {
    let mut smallest = None;
    for size in [50, 200, 800] {
        let mut fleet = Fleet::new(size);
        fleet.run_s(10);
        fleet.take_total_sent();
        fleet.run_s(18);
        let idle = fleet.take_total_sent();
        for round in 0..8 {
            let restarted: Vec<usize> = (0..5).map(|nth| 1 + round * 5 + nth).collect();
            for index in &restarted {
                let sends = fleet.nodes[*index].leave(fleet.now_us);
                fleet.deliver(*index, sends);
                fleet.offline.insert(*index);
            }
            fleet.run_us(500_000);
            for index in restarted {
                fleet.restart(index, 2 + round as u64);
            }
            fleet.run_us(500_000);
        }
        fleet.run_s(10);
        assert_eq!(fleet.node_count_range(), (size, size));
        let more = fleet.take_total_sent().bytes.saturating_sub(idle.bytes) / size / 40;
        println!("{size} nodes: {more} bytes per node for each restart");
        let doublings = f64::from(u32::try_from(size).unwrap()).log2();
        let rate = more as f64 / doublings;
        let most = *smallest.get_or_insert(rate);
        assert!(rate <= most, "{rate} of {most} bytes per node for each doubling at {size}");
    }
}

/// The maximum number of bytes that a node sends to pass on a crash report and an answer, whatever
/// the size of the fleet: 20 bytes each, in 24 datagrams.
const MAX_CRASH_NOTICE_BYTES: usize = 2 * 20 * 24;

/// Guards against notices of crashes and answers whose traffic per node grows with the fleet.
#[test]
fn crash_notice_traffic() {
    for size in [8, 200, 1_000] {
        let mut fleet = Fleet::with_domains(size, 6, |_| 500);
        fleet.run_s(20);
        fleet.take_total_sent();
        fleet.run_s(10);
        let idle = fleet.take_total_sent();
        let report = CrashReport::new(7, "a1", "r1");
        let now_us = fleet.now_us;
        let sends = fleet.nodes[3].report_crash(now_us, report);
        fleet.deliver(3, sends);
        let sends = fleet.nodes[4].announce_answer(now_us, 7);
        fleet.deliver(4, sends);
        fleet.run_s(10);
        let all = fleet.take_total_sent();
        let more = all.bytes.saturating_sub(idle.bytes) / size;
        println!("{size} nodes: {more} bytes per node for a crash report and an answer");
        assert!(more <= MAX_CRASH_NOTICE_BYTES, "{more} bytes per node at {size}");
        assert!(fleet.max_datagram_bytes <= 1_200, "{} bytes", fleet.max_datagram_bytes);
    }
}

/// The maximum number of token datagrams that a node may send in a second: asks, of which one is
/// allowed each 10 ms, and as many answers.
const MAX_TOKEN_DATAGRAMS_PER_S: u64 = 200;

/// Guards against token datagrams whose number at a node grows with the fleet, where the callers
/// of all accounts use all nodes and one account sends 8 times its limit.
#[test]
fn token_traffic() {
    for size in [8, 200, 1_000] {
        let mut scenario = random_scenario(2, size, 10, DAYS[0]);
        for account in &mut scenario.accounts {
            account.entries = size;
        }
        scenario.move_interval_us = None;
        scenario.duration_us = 10_000_000;
        let seconds = scenario.duration_us / 1_000_000;
        let result = simulate(scenario, Way::Exchange);
        let bytes = result.bytes as f64 / result.node_seconds;
        let most = result.max_node_datagrams / seconds;
        println!("{size} nodes: {bytes:.0} bytes a node and second, at most {most} datagrams");
        assert!(result.max_node_asks / seconds <= MAX_TOKEN_DATAGRAMS_PER_S / 2);
        assert!(most <= MAX_TOKEN_DATAGRAMS_PER_S, "{most} datagrams a second at {size}");
        assert!(result.max_datagram_bytes <= 1_200, "{}", result.max_datagram_bytes);
    }
}
