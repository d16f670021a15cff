//! Tests that the views of the members converge after random faults.

mod nodes;

use nodes::Fleet;
use proptest::prelude::*;
use sassafrasproxy_core::PeerDatagram;

/// The seconds without faults after which all views must agree.
///
/// Long enough to detect a death and for a few exchanges; dead members need not be dropped yet.
const CONVERGENCE_S: u64 = 12;

/// A fault, or another step between faults, that is applied to a fleet.
#[derive(Debug, Clone)]
enum Fault {
    /// A node loses power.
    Crash(usize),
    /// A node returns, either restarted without its state or resumed with it.
    Return { node: usize, is_new: bool },
    /// A node announces that it leaves, and leaves.
    Leave(usize),
    /// The share of datagrams that are lost from now on, in hundredths.
    SetLossRate(u8),
    /// Time advances by a number of tenths of a second.
    Advance(u8),
}

fn any_fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        2 => (0..40_usize).prop_map(Fault::Crash),
        3 => (0..40_usize, any::<bool>()).prop_map(|(node, is_new)| Fault::Return { node, is_new }),
        1 => (0..40_usize).prop_map(Fault::Leave),
        1 => (0..40_u8).prop_map(Fault::SetLossRate),
        4 => (1..30_u8).prop_map(Fault::Advance),
    ]
}

fn apply(fleet: &mut Fleet, fault: Fault, incarnation: &mut u64) {
    let size = fleet.nodes.len();
    match fault {
        Fault::Crash(node) => {
            fleet.offline.insert(node % size);
        }
        Fault::Return { node, is_new } => {
            let node = node % size;
            if is_new {
                *incarnation += 1_000;
                fleet.restart(node, *incarnation);
            } else {
                fleet.offline.swap_remove(&node);
            }
        }
        Fault::Leave(node) => {
            let node = node % size;
            if !fleet.offline.contains(&node) {
                let sends = fleet.nodes[node].leave(fleet.now_us);
                fleet.deliver(node, sends);
                fleet.offline.insert(node);
            }
        }
        Fault::SetLossRate(hundredths) => fleet.loss_rate = f64::from(hundredths) / 100.0,
        Fault::Advance(tenths) => fleet.run_us(u64::from(tenths) * 100_000),
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(60))]

    /// Guards against views that never agree, or updates that are sent forever, after any faults.
    #[test]
    fn views_converge_after_faults(
        size in 2..40_usize,
        faults in prop::collection::vec(any_fault(), 0..25),
    ) {
        let mut fleet = Fleet::new(size);
        let mut incarnation = 1;
        for fault in faults {
            apply(&mut fleet, fault, &mut incarnation);
        }
        fleet.loss_rate = 0.0;
        // A node that left stays offline, because its process has ended.
        fleet.run_s(CONVERGENCE_S);
        let online = fleet.online();
        prop_assume!(!online.is_empty() && online.contains(&0));
        prop_assert_eq!(fleet.node_count_range(), (online.len(), online.len()));
        let hashes: Vec<u64> = online.iter().map(|i| fleet.nodes[*i].members_hash()).collect();
        prop_assert!(hashes.iter().all(|hash| *hash == hashes[0]), "{hashes:?}");
        fleet.max_datagram_bytes = 0;
        fleet.run_s(2);
        prop_assert!(fleet.max_datagram_bytes <= 300, "{} bytes at idle", fleet.max_datagram_bytes);
    }

    /// Guards against a malformed datagram that crashes the process.
    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let mut prefixed = vec![1];
        prefixed.extend(&bytes);
        let decoded = [PeerDatagram::decode(&bytes), PeerDatagram::decode(&prefixed)];
        for datagram in decoded.into_iter().flatten() {
            let mut fleet = Fleet::new(2);
            fleet.run_s(1);
            let now_us = fleet.now_us;
            fleet.nodes[0].receive(now_us, &nodes::peer_address(1), &datagram);
        }
    }
}
