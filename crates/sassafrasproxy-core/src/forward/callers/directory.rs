//! Selects the nodes that the directory names to callers.

use ecow::{EcoString, eco_format};
use indexmap::IndexMap;
use sassafrasproxy_wire::MemberState;

use crate::hash_name;

/// The maximum number of addresses in one answer.
const MAX_ADDRESSES: usize = 64;

/// The minimum number of nodes for a selection to be used instead of the next wider one.
///
/// If an answer named one node only, its loss would cut off all callers of a failure domain.
const MIN_NODES: usize = 2;

/// A node and the properties by which the directory selects it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DirectoryNode {
    /// The address that callers use.
    pub address: EcoString,
    /// The failure domain in which the node runs.
    pub failure_domain: EcoString,
    /// The address where the node relays requests to replicas of its failure domain; empty if it
    /// relays none.
    pub relay_address: EcoString,
    /// The processor time of the node, in thousandths of a core.
    pub cpu_millis: u32,
    /// The membership state of the node.
    pub state: MemberState,
    /// Whether callers are normally sent to the node; set by `mark_ingress_nodes`.
    pub is_ingress: bool,
}

/// Returns the addresses that the directory names to a caller, each node once.
///
/// Callers are sent to the ingress nodes; see `mark_ingress_nodes`. The answer names all of them in
/// the caller's failure domain and one elsewhere, and stays the same while these nodes do, so that
/// callers keep their connections.
///
/// A gather sends one request between caller and node and one between node and replica for each
/// shard. So callers are sent to nodes in the failure domains that hold replicas, and to their own
/// domain first. `replica_counts` is the number of replicas by failure domain. Suspected nodes are
/// named only if no alive node is left; leaving and dead nodes are never named.
pub fn directory_addresses(
    nodes: &[DirectoryNode],
    replica_counts: &IndexMap<EcoString, usize>,
    caller_domain: Option<&str>,
) -> Vec<EcoString> {
    let max_count = replica_counts.values().copied().max().unwrap_or(0);
    let holds_replicas = |node: &&DirectoryNode| {
        // A failure domain counts if it holds at least half as many replicas as the largest one.
        let count = replica_counts.get(&node.failure_domain).copied().unwrap_or(0);
        count > 0 && 2 * count >= max_count
    };
    let is_own_domain = |node: &&DirectoryNode| Some(node.failure_domain.as_str()) == caller_domain;
    let alive: Vec<&DirectoryNode> =
        nodes.iter().filter(|node| node.state == MemberState::Alive).collect();
    let is_ingress = |node: &&DirectoryNode| node.is_ingress;
    let choose = |is_wanted: &dyn Fn(&&DirectoryNode) -> bool| {
        alive.iter().copied().filter(is_wanted).collect::<Vec<&DirectoryNode>>()
    };
    let choices = [
        choose(&|node| is_ingress(node) && is_own_domain(node) && holds_replicas(node)),
        choose(&|node| is_ingress(node) && holds_replicas(node)),
        choose(&is_ingress),
        choose(&holds_replicas),
        choose(&|_| true),
    ];
    let chosen = choices.iter().find(|choice| choice.len() >= MIN_NODES).cloned();
    let chosen = chosen.unwrap_or_else(|| {
        let usable = [MemberState::Alive, MemberState::Suspect];
        nodes.iter().filter(|node| usable.contains(&node.state)).collect()
    });
    let other_domain = other_domain_node(&chosen, &choices[1..], caller_domain);
    let chosen = chosen.into_iter().take(MAX_ADDRESSES - 1).chain(other_domain);
    chosen.map(|node| node.address.clone()).collect()
}

/// Returns a node of another failure domain if all chosen nodes are in one domain.
///
/// Callers keep an answer for seconds. If the domain is lost in that time, requests to all named
/// nodes hang, and without a node elsewhere callers are not served until they ask the directory
/// again.
fn other_domain_node<'a>(
    chosen: &[&'a DirectoryNode],
    choices: &[Vec<&'a DirectoryNode>],
    caller_domain: Option<&str>,
) -> Option<&'a DirectoryNode> {
    let domain = &chosen.first()?.failure_domain;
    if chosen.iter().any(|node| node.failure_domain != *domain) {
        return None;
    }
    // A rendezvous hash gives callers of each failure domain a different node, so that no single
    // node serves them all.
    let score = |node: &&DirectoryNode| {
        hash_name(&eco_format!("{} {}", caller_domain.unwrap_or_default(), node.address))
    };
    choices.iter().find_map(|choice| {
        let others = choice.iter().copied().filter(|node| node.failure_domain != *domain);
        others.max_by_key(score)
    })
}
