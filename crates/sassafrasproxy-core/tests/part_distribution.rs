//! Tests the distribution of a query's parts among nodes.

use sassafrasproxy_core::distribute_parts;

/// Guards against a node that sends hundreds of sub-requests one after the other while other nodes
/// are idle.
#[test]
fn many_parts() {
    assert_eq!(distribute_parts(43, 3, 125), [15, 14, 14]);
    assert_eq!(distribute_parts(400, 4, 500), [100; 4]);
    assert_eq!(distribute_parts(200, 50, 1_000), [100, 100]);
}

/// Guards against messages to other nodes that save no time.
#[test]
fn few_parts() {
    assert_eq!(distribute_parts(43, 3, 500), [43]);
    assert_eq!(distribute_parts(16, 3, 125), [16]);
    assert_eq!(distribute_parts(0, 3, 125), [0]);
}

/// Guards against parts that no node requests.
#[test]
fn all_parts_assigned() {
    for parts in 0..300 {
        for nodes in 0..20 {
            for cpu_millis in [0, 10, 120, 1_000] {
                let shares = distribute_parts(parts, nodes, cpu_millis);
                assert_eq!(shares.iter().sum::<usize>(), parts, "{parts} among {nodes}");
                assert!(shares.len() <= nodes.max(1));
            }
        }
    }
}
