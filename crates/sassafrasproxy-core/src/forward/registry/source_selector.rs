//! Selects the nodes that watch the store, and the peers that the other nodes follow.

use ecow::EcoString;
use indexmap::IndexMap;
use sassafrasproxy_wire::MemberState;

use crate::{Member, MemberTable};

/// The time for which a peer that could not be followed is ranked last, in microseconds.
const FAILED_PEER_BACKOFF_US: u64 = 8_000_000;

/// The time for which a node that reports the store as unavailable is ranked last, in microseconds.
const STORE_UNAVAILABLE_BACKOFF_US: u64 = 30_000_000;

/// The maximum number of deprioritized peers; above it, the one that failed first regains its rank.
///
/// Bounds the number of nodes that replace watchers at the same time while the store itself fails.
const MAX_DEPRIORITIZED: usize = 8;

/// The maximum number of nodes of a failure domain that follow the same node of that domain.
const MAX_FOLLOWERS: usize = 16;

/// The maximum number of nodes that may coordinate.
///
/// More than one, so that the loss of some causes no long delay.
const MAX_COORDINATORS: usize = 4;

/// The source from which a node learns the entries of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SyncSource {
    /// The store itself.
    Store,
    /// A peer that follows the store.
    Peer {
        /// The peer's address.
        peer_address: EcoString,
    },
}

/// The source from which a node that has just started learns the entries of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BootstrapSource {
    /// The store itself.
    Store,
    /// A larger node in the same failure domain.
    Peer {
        /// The peer's address.
        peer_address: EcoString,
    },
    /// Not decided yet; the node still looks for a larger one.
    Undecided,
}

/// Ranks the nodes for watching the store.
///
/// All nodes that agree on the members compute the same order, so a fleet of any size has the same
/// few watchers. Another node becomes a watcher only if it has deprioritized nodes that otherwise
/// rank above it.
#[derive(Debug, Default)]
pub struct SourceSelector {
    /// The deprioritized nodes, by name; at most `MAX_DEPRIORITIZED`.
    deprioritized: IndexMap<EcoString, Deprioritization>,
}

#[derive(Debug, Clone, Copy)]
struct Deprioritization {
    /// The time until which the node is ranked last, in microseconds.
    until_us: u64,
    /// Whether the node itself reported the store as unavailable.
    is_store_unavailable: bool,
}

impl SourceSelector {
    /// Records that a peer could not be followed, which ranks it last for a while.
    pub fn record_failure(&mut self, now_us: u64, node: EcoString) {
        self.deprioritize(
            now_us,
            node,
            Deprioritization {
                until_us: now_us + FAILED_PEER_BACKOFF_US,
                is_store_unavailable: false,
            },
        );
    }

    /// Records whether a member reports the store as unavailable.
    pub fn set_store_unavailable(&mut self, now_us: u64, node: &EcoString, is_unavailable: bool) {
        if is_unavailable {
            let until_us = now_us + STORE_UNAVAILABLE_BACKOFF_US;
            self.deprioritize(
                now_us,
                node.clone(),
                Deprioritization { until_us, is_store_unavailable: is_unavailable },
            );
        } else if self.deprioritized.get(node).is_some_and(|known| known.is_store_unavailable) {
            self.deprioritized.shift_remove(node);
        }
    }

    /// Whether a peer could not be followed recently.
    pub fn has_recent_failure(&self, now_us: u64) -> bool {
        let mut known = self.deprioritized.values();
        known.any(|known| !known.is_store_unavailable && now_us < known.until_us)
    }

    /// Returns the source from which this node learns the entries of the store.
    ///
    /// The first `watchers` nodes of the order watch the store.
    ///
    /// The first node of a failure domain follows the store or a watcher. The others form a tree
    /// below it, so that a change is sent into each failure domain only once.
    pub fn sync_source(&self, now_us: u64, members: &MemberTable, watchers: usize) -> SyncSource {
        let ranked = self.ranked_members(now_us, members);
        let me = members.local_member();
        let is_watcher = ranked.iter().take(watchers).any(|member| member.node == me.node);
        if is_watcher || ranked.is_empty() {
            return SyncSource::Store;
        }
        let same_domain: Vec<&Member> =
            ranked.iter().copied().filter(|member| member.domain_hash == me.domain_hash).collect();
        let position = same_domain.iter().position(|member| member.node == me.node);
        let source = match position {
            Some(0) => ranked[(me.name_hash % watchers.min(ranked.len()) as u64) as usize],
            Some(position) => same_domain[(position - 1) / MAX_FOLLOWERS],
            // This node is leaving and thus not ranked; it follows the first node.
            None => same_domain.first().copied().unwrap_or(ranked[0]),
        };
        SyncSource::Peer { peer_address: source.peer_address.clone() }
    }

    /// Returns the peer address of one of the first `watchers` other nodes of the order; `None` if
    /// no other node is alive.
    ///
    /// The node's name decides which, so that nodes without access to the store spread over them.
    pub fn alternative_source(
        &self,
        now_us: u64,
        members: &MemberTable,
        watchers: usize,
    ) -> Option<EcoString> {
        let me = members.local_member();
        let ranked = self.ranked_members(now_us, members);
        let others = ranked.into_iter().filter(|member| member.node != me.node);
        let others: Vec<&Member> = others.take(watchers).collect();
        let index = (me.name_hash % others.len().max(1) as u64) as usize;
        others.get(index).map(|member| member.peer_address.clone())
    }

    /// Whether this node is among the first `count` nodes of the order.
    pub fn is_ranked_within(&self, now_us: u64, members: &MemberTable, count: usize) -> bool {
        let me = &members.local_member().node;
        self.ranked_members(now_us, members).iter().take(count).any(|member| member.node == *me)
    }

    /// Returns the nodes that may coordinate decisions for the whole fleet, the current coordinator
    /// first.
    ///
    /// A node to which the store is unavailable ranks itself last, as its peers do, because it
    /// cannot write to the store.
    pub fn coordinators<'a>(
        &self,
        now_us: u64,
        members: &'a MemberTable,
        is_store_unavailable: bool,
    ) -> Vec<&'a Member> {
        let mut ranked = self.ranked_members(now_us, members);
        let me = &members.local_member().node;
        ranked.sort_by_key(|member| is_store_unavailable && member.node == *me);
        ranked.truncate(MAX_COORDINATORS);
        ranked
    }

    /// Returns the nodes that are alive, alternating between failure domains; deprioritized nodes
    /// come last.
    ///
    /// A node never deprioritizes itself, so while the store fails for all nodes, the same few
    /// nodes continue to try.
    fn ranked_members<'a>(&self, now_us: u64, members: &'a MemberTable) -> Vec<&'a Member> {
        let alive = members.present().filter(|member| member.state == MemberState::Alive);
        let is_deprioritized = |member: &Member| {
            self.deprioritized.get(&member.node).is_some_and(|known| now_us < known.until_us)
        };
        let mut sorted: Vec<(bool, &Member)> =
            alive.map(|member| (is_deprioritized(member), member)).collect();
        sorted.sort_by_cached_key(|(is_deprioritized, member)| {
            (*is_deprioritized, member.name_hash, member.node.clone())
        });
        let mut ranks_by_domain: IndexMap<u64, usize> = IndexMap::new();
        let mut ranked = Vec::new();
        for (is_deprioritized, member) in sorted {
            let rank = ranks_by_domain.entry(member.domain_hash).or_default();
            ranked.push(((is_deprioritized, *rank), member));
            *rank += 1;
        }
        ranked.sort_by_key(|(rank, _)| *rank);
        ranked.into_iter().map(|(_, member)| member).collect()
    }

    fn deprioritize(&mut self, now_us: u64, node: EcoString, deprioritization: Deprioritization) {
        self.deprioritized.retain(|_, known| now_us < known.until_us);
        self.deprioritized.insert(node, deprioritization);
        if self.deprioritized.len() > MAX_DEPRIORITIZED {
            self.deprioritized.shift_remove_index(0);
        }
    }
}

/// The result of a search for a larger node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LargerNode {
    /// A larger node is in the same failure domain.
    SameDomain {
        /// The larger node's address.
        peer_address: EcoString,
    },
    /// Larger nodes are known in other failure domains only.
    OtherDomain,
    /// No larger node is known.
    NotFound,
}

/// Searches the members for a larger node that this node can bootstrap from.
///
/// A larger node has at least twice the CPU. Small nodes bootstrap from it, so that only the large
/// ones list the store.
pub fn larger_node(members: &MemberTable) -> LargerNode {
    let me = members.local_member();
    let is_larger = |member: &&Member| {
        member.state == MemberState::Alive && member.cpu_millis >= 2 * me.cpu_millis
    };
    let larger: Vec<&Member> = members.present().filter(is_larger).collect();
    let same_domain: Vec<&Member> =
        larger.iter().copied().filter(|member| member.domain_hash == me.domain_hash).collect();
    if same_domain.is_empty() {
        return if larger.is_empty() { LargerNode::NotFound } else { LargerNode::OtherDomain };
    }
    // The name's hash spreads the small nodes of a failure domain over its large ones.
    let choice = same_domain[(me.name_hash % same_domain.len() as u64) as usize];
    LargerNode::SameDomain { peer_address: choice.peer_address.clone() }
}
