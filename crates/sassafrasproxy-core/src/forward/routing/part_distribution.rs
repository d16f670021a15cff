//! Distributes the sub-requests of one query among the nodes of a failure domain.

/// The maximum number of sub-requests that one core sends one after the other while other nodes can
/// take some of them.
const MAX_PARTS_PER_CORE: usize = 128;

/// Returns the number of parts of a query that each participating node requests.
///
/// Up to `nodes` nodes with `cpu_millis` thousandths of a core each take part; there is always at
/// least one entry, even if `nodes` is 0.
///
/// A query over very many shards needs this: one node would take longer to send all sub-requests
/// than a replica takes to answer. Few parts stay on one node, because each further node costs a
/// message and a merge.
pub fn distribute_parts(parts: usize, nodes: usize, cpu_millis: u32) -> Vec<usize> {
    let max_parts = (MAX_PARTS_PER_CORE * cpu_millis as usize / 1_000).max(1);
    let node_count = parts.div_ceil(max_parts).clamp(1, nodes.max(1));
    (0..node_count).map(|index| (parts + index) / node_count).rev().collect()
}
