//! The holdings that homes published for replica groups, and the selection of the effective ones.

use std::sync::Arc;

use ecow::EcoString;
use indexmap::IndexMap;
use sassafrasproxy_wire::{GroupHoldings, NodeHoldings};

/// The published holdings by home and group.
///
/// If several nodes published holdings for a group, those of its home in this node's view are
/// effective; the latest ones are effective only if that home published none. This guards against
/// a node that was the home only for a short time, before its table had any other member: its
/// holdings are later than those of the true home and would otherwise hide them permanently.
#[derive(Debug, Default)]
pub struct HoldingsTable {
    published_by_node: IndexMap<EcoString, IndexMap<EcoString, GroupHoldings>>,
    /// The effective holdings by group.
    effective: Arc<IndexMap<EcoString, GroupHoldings>>,
}

impl HoldingsTable {
    /// Returns the effective holdings by group.
    pub fn effective(&self) -> &Arc<IndexMap<EcoString, GroupHoldings>> {
        &self.effective
    }

    /// Merges a node's holdings; a full set replaces all that the node published before.
    pub fn merge_node(&mut self, received: NodeHoldings, home: impl Fn(&str) -> Option<EcoString>) {
        if received.is_whole {
            let previous = self.published_by_node.swap_remove(&received.node);
            for group in previous.into_iter().flat_map(IndexMap::into_keys) {
                self.reselect(&group, home(&group).as_ref());
            }
        }
        for holdings in received.groups {
            let group = holdings.group.clone();
            self.insert_if_newer(holdings);
            self.reselect(&group, home(&group).as_ref());
        }
    }

    /// Merges the holdings of one group, received from any node. Holdings that are not newer than
    /// the known ones of the same home are dropped.
    pub fn merge_group(&mut self, holdings: GroupHoldings, home: Option<&EcoString>) {
        let group = holdings.group.clone();
        self.insert_if_newer(holdings);
        self.reselect(&group, home);
    }

    /// Selects the effective holdings again after homes, members or groups have changed.
    pub fn reselect_all(
        &mut self,
        is_member: impl Fn(&str) -> bool,
        homes: &IndexMap<EcoString, Vec<EcoString>>,
    ) {
        self.published_by_node.retain(|node, _| is_member(node));
        for groups in self.published_by_node.values_mut() {
            groups.retain(|group, _| homes.contains_key(group));
        }
        Arc::make_mut(&mut self.effective).retain(|group, _| homes.contains_key(group));
        for (group, ranked) in homes {
            let effective_home = self.effective.get(group).map(|holdings| &holdings.home);
            if effective_home.is_none() || effective_home != ranked.first() {
                self.reselect(group, ranked.first());
            }
        }
    }

    fn insert_if_newer(&mut self, holdings: GroupHoldings) {
        let groups = self.published_by_node.entry(holdings.home.clone()).or_default();
        let known = groups.get(&holdings.group);
        if known.is_none_or(|known| known.made_at < holdings.made_at) {
            groups.insert(holdings.group.clone(), holdings);
        }
    }

    /// Selects the effective holdings of one group; the previous ones stay if none are known.
    fn reselect(&mut self, group: &EcoString, home: Option<&EcoString>) {
        let by_home = home.and_then(|home| self.published_by_node.get(home)?.get(group));
        let all = self.published_by_node.values().filter_map(|groups| groups.get(group));
        let Some(best) = by_home.or_else(|| all.max_by_key(|holdings| holdings.made_at)) else {
            return;
        };
        if self.effective.get(group) != Some(best) {
            let best = best.clone();
            Arc::make_mut(&mut self.effective).insert(group.clone(), best);
        }
    }
}
