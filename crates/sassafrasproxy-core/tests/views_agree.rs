//! Views of the members under drawn faults.

mod nodes;

use nodes::Fleet;
use proptest::prelude::*;
use sassafrasproxy_core::PeerDatagram;

/// The seconds of calm after which all views must agree: a death, its forgetting by none, and some
/// exchanges.
const AGREE_S: u64 = 12;

/// Something that happens to a fleet.
#[derive(Debug, Clone)]
enum Fault {
    /// A node loses power.
    Silence(usize),
    /// A node is back, with or without what it knew.
    Return { node: usize, is_new: bool },
    /// A node leaves as planned.
    Leave(usize),
    /// A share of the datagrams is lost from now on, in hundredths.
    Loss(u8),
    /// Time passes, in tenths of a second.
    Pass(u8),
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        2 => (0..40_usize).prop_map(Fault::Silence),
        3 => (0..40_usize, any::<bool>()).prop_map(|(node, is_new)| Fault::Return { node, is_new }),
        1 => (0..40_usize).prop_map(Fault::Leave),
        1 => (0..40_u8).prop_map(Fault::Loss),
        4 => (1..30_u8).prop_map(Fault::Pass),
    ]
}

fn apply(fleet: &mut Fleet, fault: Fault, incarnation: &mut u64) {
    let size = fleet.nodes.len();
    match fault {
        Fault::Silence(node) => {
            fleet.silent.insert(node % size);
        }
        Fault::Return { node, is_new } => {
            let node = node % size;
            if is_new {
                *incarnation += 1_000;
                fleet.restart(node, *incarnation);
            } else {
                fleet.silent.swap_remove(&node);
            }
        }
        Fault::Leave(node) => {
            let node = node % size;
            if !fleet.silent.contains(&node) {
                let sends = fleet.nodes[node].leave(fleet.now_us);
                fleet.deliver(node, sends);
                fleet.silent.insert(node);
            }
        }
        Fault::Loss(hundredths) => fleet.loss = f64::from(hundredths) / 100.0,
        Fault::Pass(tenths) => fleet.run_us(u64::from(tenths) * 100_000),
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(60))]

    /// Guards against views that stay apart, or news that never end, after any faults.
    #[test]
    fn after_any_faults(
        size in 2..40_usize,
        faults in prop::collection::vec(fault(), 0..25),
    ) {
        let mut fleet = Fleet::new(size);
        let mut incarnation = 1;
        for fault in faults {
            apply(&mut fleet, fault, &mut incarnation);
        }
        fleet.loss = 0.0;
        // A node that left stays away; its process has ended.
        fleet.run(AGREE_S);
        let live = fleet.live();
        prop_assume!(!live.is_empty() && live.contains(&0));
        prop_assert_eq!(fleet.counts(), (live.len(), live.len()));
        let hashes: Vec<u64> = live.iter().map(|at| fleet.nodes[*at].members_hash()).collect();
        prop_assert!(hashes.iter().all(|hash| *hash == hashes[0]), "{hashes:?}");
        fleet.longest = 0;
        fleet.run(2);
        prop_assert!(fleet.longest <= 300, "{} bytes in calm", fleet.longest);
    }

    /// Guards against a damaged datagram that ends the process.
    #[test]
    fn any_bytes(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let mut marked = vec![1];
        marked.extend(&bytes);
        let read = [PeerDatagram::decode(&bytes), PeerDatagram::decode(&marked)];
        for datagram in read.into_iter().flatten() {
            let mut fleet = Fleet::new(2);
            fleet.run(1);
            let now_us = fleet.now_us;
            fleet.nodes[0].hear(now_us, &nodes::peer_address(1), &datagram);
        }
    }
}
