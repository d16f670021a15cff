//! Which nodes callers are told to use.

use ecow::EcoString;
use indexmap::IndexMap;
use sassafrasproxy_wire::MemberState;

/// The most addresses in one answer.
const MAX_ADDRESSES: usize = 64;

/// The least nodes that an answer names before it looks beyond the best failure domains.
///
/// One node alone would take a whole failure domain's callers down with it.
const MIN_NODES: usize = 2;

/// A node as the directory sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DirectoryNode {
    /// The address that callers use.
    pub address: EcoString,
    /// Where it is.
    pub failure_domain: EcoString,
    /// Its state.
    pub state: MemberState,
}

/// The addresses to tell a caller, each node once.
///
/// A merged query takes one request over the caller's path and one for each shard over the
/// node's. So callers go to nodes in the failure domains that hold replicas, their own first:
/// `replica_counts` gives the replicas of each. Suspected nodes are named only where no others
/// are left, leaving and dead ones never.
pub fn directory_addresses(
    nodes: &[DirectoryNode],
    replica_counts: &IndexMap<EcoString, usize>,
    caller_domain: Option<&str>,
) -> Vec<EcoString> {
    let most = replica_counts.values().copied().max().unwrap_or(0);
    let holds = |node: &&DirectoryNode| {
        // A failure domain counts as holding replicas with half as many as the fullest.
        let count = replica_counts.get(&node.failure_domain).copied().unwrap_or(0);
        count > 0 && 2 * count >= most
    };
    let is_own = |node: &&DirectoryNode| Some(node.failure_domain.as_str()) == caller_domain;
    let alive: Vec<&DirectoryNode> =
        nodes.iter().filter(|node| node.state == MemberState::Alive).collect();
    let choices: [Vec<&DirectoryNode>; 3] = [
        alive.iter().copied().filter(|node| is_own(node) && holds(node)).collect(),
        alive.iter().copied().filter(holds).collect(),
        alive.clone(),
    ];
    let chosen = choices.into_iter().find(|choice| choice.len() >= MIN_NODES);
    let chosen = chosen.unwrap_or_else(|| {
        let usable = [MemberState::Alive, MemberState::Suspect];
        nodes.iter().filter(|node| usable.contains(&node.state)).collect()
    });
    chosen.into_iter().take(MAX_ADDRESSES).map(|node| node.address.clone()).collect()
}
