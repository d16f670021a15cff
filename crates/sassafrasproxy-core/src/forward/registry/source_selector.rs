//! Which nodes watch the store, and from whom the others learn.

use ecow::EcoString;
use indexmap::IndexMap;
use sassafrasproxy_wire::MemberState;

use crate::{Member, MemberTable};

/// How long a peer that could not be followed is passed over, in microseconds.
const FAILED_PEER_BACKOFF_US: u64 = 8_000_000;

/// How long a node that the store turned away is passed over, in microseconds.
const STORE_UNAVAILABLE_BACKOFF_US: u64 = 30_000_000;

/// How many peers are passed over at the most; then the one that failed first is tried again.
///
/// Bounds the nodes that take a watcher's place at the same time while the store itself fails.
const MAX_DEPRIORITIZED: usize = 8;

/// How many nodes learn from the same one.
const MAX_FOLLOWERS: usize = 16;

/// How many nodes may decide for all, so that the loss of some delays nothing for long.
const MAX_COORDINATORS: usize = 4;

/// Where a node learns what stands in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SyncSource {
    /// From the store.
    Store,
    /// From a peer that knows it.
    Peer {
        /// The peer's address.
        peer_address: EcoString,
    },
}

/// Where a node that has just started learns what stands in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BootstrapSource {
    /// From the store.
    Store,
    /// From a larger node of its failure domain.
    Peer {
        /// The peer's address.
        peer_address: EcoString,
    },
    /// It is not known yet.
    Undecided,
}

/// The order in which nodes watch the store.
///
/// All nodes that agree on the members agree on the order, so a fleet of any size has the same few
/// watchers. A node takes a watcher's place only if it found others before it unfit.
#[derive(Debug, Default)]
pub struct SourceSelector {
    /// By name; at most `MAX_PASSED_OVER`.
    deprioritized: IndexMap<EcoString, Deprioritization>,
}

#[derive(Debug, Clone, Copy)]
struct Deprioritization {
    until_us: u64,
    /// Whether it said itself that the store turns it away.
    is_store_unavailable: bool,
}

impl SourceSelector {
    /// Notes that a peer could not be followed.
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

    /// Notes whether the store turns a member away, by its own word.
    pub fn set_store_unavailable(&mut self, now_us: u64, node: &EcoString, is_away: bool) {
        if is_away {
            let until_us = now_us + STORE_UNAVAILABLE_BACKOFF_US;
            self.deprioritize(
                now_us,
                node.clone(),
                Deprioritization { until_us, is_store_unavailable: is_away },
            );
        } else if self.deprioritized.get(node).is_some_and(|known| known.is_store_unavailable) {
            self.deprioritized.shift_remove(node);
        }
    }

    /// Whether a peer could not be followed lately.
    pub fn has_recent_failure(&self, now_us: u64) -> bool {
        let mut known = self.deprioritized.values();
        known.any(|known| !known.is_store_unavailable && now_us < known.until_us)
    }

    /// Where this node learns what stands in the store.
    ///
    /// The first node of a failure domain learns from the store or from a watcher; the others form
    /// a tree below it, so that a change crosses to each failure domain once.
    pub fn sync_source(&self, now_us: u64, members: &MemberTable, watchers: usize) -> SyncSource {
        let order = self.ranked_members(now_us, members);
        let me = members.local_member();
        let is_watcher = order.iter().take(watchers).any(|member| member.node == me.node);
        if is_watcher || order.is_empty() {
            return SyncSource::Store;
        }
        let near: Vec<&Member> =
            order.iter().copied().filter(|one| one.domain_hash == me.domain_hash).collect();
        let place = near.iter().position(|member| member.node == me.node);
        let source = match place {
            Some(0) => order[(me.name_hash % watchers.min(order.len()) as u64) as usize],
            Some(place) => near[(place - 1) / MAX_FOLLOWERS],
            // This node is leaving: whoever is first serves it.
            None => near.first().copied().unwrap_or(order[0]),
        };
        SyncSource::Peer { peer_address: source.peer_address.clone() }
    }

    /// Whether this node is among the first of the order.
    pub fn is_ranked_within(&self, now_us: u64, members: &MemberTable, count: usize) -> bool {
        let me = &members.local_member().node;
        self.ranked_members(now_us, members).iter().take(count).any(|member| member.node == *me)
    }

    /// The nodes that decide for all what must be decided once, first the one whose turn it is.
    ///
    /// A node that the store turns away puts itself last, as others do: it could not write.
    pub fn coordinators<'a>(
        &self,
        now_us: u64,
        members: &'a MemberTable,
        is_away: bool,
    ) -> Vec<&'a Member> {
        let mut order = self.ranked_members(now_us, members);
        let me = &members.local_member().node;
        order.sort_by_key(|member| is_away && member.node == *me);
        order.truncate(MAX_COORDINATORS);
        order
    }

    /// The nodes that are alive, failure domains by turns, those passed over last.
    ///
    /// This node never passes itself over: while the store fails for all, the same few go on trying.
    fn ranked_members<'a>(&self, now_us: u64, members: &'a MemberTable) -> Vec<&'a Member> {
        let alive = members.present().filter(|member| member.state == MemberState::Alive);
        let is_unfit = |one: &Member| {
            self.deprioritized.get(&one.node).is_some_and(|known| now_us < known.until_us)
        };
        let mut sorted: Vec<(bool, &Member)> = alive.map(|one| (is_unfit(one), one)).collect();
        sorted.sort_by_cached_key(|(is_unfit, one)| (*is_unfit, one.name_hash, one.node.clone()));
        let mut in_domain: IndexMap<u64, usize> = IndexMap::new();
        let mut ranked = Vec::new();
        for (is_unfit, member) in sorted {
            let rank = in_domain.entry(member.domain_hash).or_default();
            ranked.push(((is_unfit, *rank), member));
            *rank += 1;
        }
        ranked.sort_by_key(|(rank, _)| *rank);
        ranked.into_iter().map(|(_, member)| member).collect()
    }

    fn deprioritize(&mut self, now_us: u64, node: EcoString, passed_over: Deprioritization) {
        self.deprioritized.retain(|_, known| now_us < known.until_us);
        self.deprioritized.insert(node, passed_over);
        if self.deprioritized.len() > MAX_DEPRIORITIZED {
            self.deprioritized.shift_remove_index(0);
        }
    }
}

/// Where a node finds one that is larger than itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LargerNode {
    /// In its own failure domain.
    SameDomain {
        /// The larger node's address.
        peer_address: EcoString,
    },
    /// In other failure domains only.
    OtherDomain,
    /// None is known.
    NotFound,
}

/// The larger node that this one starts from, so that only the larger ones list the store.
pub fn larger_node(members: &MemberTable) -> LargerNode {
    let me = members.local_member();
    let is_larger = |member: &&Member| {
        member.state == MemberState::Alive && member.cpu_millis >= 2 * me.cpu_millis
    };
    let larger: Vec<&Member> = members.present().filter(is_larger).collect();
    let near: Vec<&Member> =
        larger.iter().copied().filter(|one| one.domain_hash == me.domain_hash).collect();
    if near.is_empty() {
        return if larger.is_empty() { LargerNode::NotFound } else { LargerNode::OtherDomain };
    }
    // The small nodes of a failure domain share its large ones out.
    let choice = near[(me.name_hash % near.len() as u64) as usize];
    LargerNode::SameDomain { peer_address: choice.peer_address.clone() }
}
