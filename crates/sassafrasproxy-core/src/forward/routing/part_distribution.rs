//! How the parts of one query are shared out among the nodes of a failure domain.

/// How many parts of a query a whole core sends one after the other while others could help it.
const MAX_PARTS_PER_CORE: usize = 128;

/// How many parts each of some nodes sends, which have so much of a core each; the first is the one
/// that sends in any case.
///
/// Answers queries over so many shards that sending to them takes a node longer than a replica
/// takes to answer. Few parts stay together, as each further node costs a message and a merge.
pub fn distribute_parts(parts: usize, nodes: usize, cpu_millis: u32) -> Vec<usize> {
    let most = (MAX_PARTS_PER_CORE * cpu_millis as usize / 1_000).max(1);
    let count = parts.div_ceil(most).clamp(1, nodes.max(1));
    (0..count).map(|nth| (parts + nth) / count).rev().collect()
}
