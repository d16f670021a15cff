//! Which nodes callers are told to use.

use ecow::{EcoString, eco_format};
use indexmap::IndexMap;
use sassafrasproxy_wire::MemberState;

use crate::hash_name;

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
    /// The address where it relays requests to replicas near it; empty where it does not.
    pub relay_address: EcoString,
    /// How much of a core it has, in thousandths.
    pub cpu_millis: u32,
    /// Its state.
    pub state: MemberState,
}

/// The addresses to tell a caller, each node once.
///
/// Callers are sent to the larger VMs: the processor time of a query over many shards is longer than
/// its goal on a small one.
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
    let largest = max_cpu_millis(nodes);
    let is_large = |node: &&DirectoryNode| is_large(node, largest);
    let choose = |is_wanted: &dyn Fn(&&DirectoryNode) -> bool| {
        alive.iter().copied().filter(is_wanted).collect::<Vec<&DirectoryNode>>()
    };
    let choices = [
        choose(&|node| is_large(node) && is_own(node) && holds(node)),
        choose(&|node| is_large(node) && holds(node)),
        choose(&is_large),
        choose(&holds),
        choose(&|_| true),
    ];
    let chosen = choices.iter().find(|choice| choice.len() >= MIN_NODES).cloned();
    let chosen = chosen.unwrap_or_else(|| {
        let usable = [MemberState::Alive, MemberState::Suspect];
        nodes.iter().filter(|node| usable.contains(&node.state)).collect()
    });
    let elsewhere = other_domain_node(&chosen, &choices[1..], caller_domain);
    let chosen = chosen.into_iter().take(MAX_ADDRESSES - 1).chain(elsewhere);
    chosen.map(|node| node.address.clone()).collect()
}

/// A node of another failure domain, if all that are named are of one.
///
/// Callers keep an answer for seconds. If the domain is lost meanwhile, all that they know hang, and
/// they are served again only once they have asked again.
fn other_domain_node<'a>(
    chosen: &[&'a DirectoryNode],
    choices: &[Vec<&'a DirectoryNode>],
    caller_domain: Option<&str>,
) -> Option<&'a DirectoryNode> {
    let domain = &chosen.first()?.failure_domain;
    if chosen.iter().any(|node| node.failure_domain != *domain) {
        return None;
    }
    // Each failure domain's callers have another node, so that none serves all in need.
    let score = |node: &&DirectoryNode| {
        hash_name(&eco_format!("{} {}", caller_domain.unwrap_or_default(), node.address))
    };
    choices.iter().find_map(|choice| {
        let others = choice.iter().copied().filter(|node| node.failure_domain != *domain);
        others.max_by_key(score)
    })
}

/// How many nodes callers are sent to while nothing is wrong: the larger ones.
pub fn count_large_nodes(nodes: &[DirectoryNode]) -> usize {
    let largest = max_cpu_millis(nodes);
    nodes.iter().filter(|node| is_large(node, largest)).count()
}

/// Whether a node is one of the larger ones; half of the largest still counts.
fn is_large(node: &DirectoryNode, largest_millis: u32) -> bool {
    is_large_cpu(node.cpu_millis, largest_millis)
}

/// Whether so much of a core is much beside the most that any node has, both in thousandths.
pub fn is_large_cpu(cpu_millis: u32, largest_millis: u32) -> bool {
    2 * cpu_millis >= largest_millis
}

fn max_cpu_millis(nodes: &[DirectoryNode]) -> u32 {
    let alive = nodes.iter().filter(|node| node.state == MemberState::Alive);
    alive.map(|node| node.cpu_millis).max().unwrap_or(0)
}
