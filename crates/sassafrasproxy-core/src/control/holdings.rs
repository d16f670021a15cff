//! What each home published of its groups, and which of it counts.

use std::sync::Arc;

use ecow::EcoString;
use indexmap::IndexMap;
use sassafrasproxy_wire::{GroupHoldings, NodeHoldings};

/// Publications by home and group.
///
/// Of several homes' words on one group, that of the home in this node's view counts, and only
/// without one the latest. Guards against a node that was home for a moment, while it knew
/// nobody else: what it published then is later than what the true home has to say, and would
/// hide that for good.
#[derive(Debug, Default)]
pub struct HoldingsTable {
    published_by_node: IndexMap<EcoString, IndexMap<EcoString, GroupHoldings>>,
    /// What counts, by group.
    effective: Arc<IndexMap<EcoString, GroupHoldings>>,
}

impl HoldingsTable {
    /// What counts, by group.
    pub fn effective(&self) -> &Arc<IndexMap<EcoString, GroupHoldings>> {
        &self.effective
    }

    /// Takes a node's publications in; a whole one replaces all that it published before.
    pub fn merge_node(&mut self, heard: NodeHoldings, home: impl Fn(&str) -> Option<EcoString>) {
        if heard.is_whole {
            let node = self.published_by_node.swap_remove(&heard.node);
            for group in node.into_iter().flat_map(IndexMap::into_keys) {
                self.reselect(&group, home(&group).as_ref());
            }
        }
        for holdings in heard.groups {
            let group = holdings.group.clone();
            self.insert_if_newer(holdings);
            self.reselect(&group, home(&group).as_ref());
        }
    }

    /// Takes one publication in, whoever passed it on; an older one of the same home is dropped.
    pub fn merge_group(&mut self, holdings: GroupHoldings, home: Option<&EcoString>) {
        let group = holdings.group.clone();
        self.insert_if_newer(holdings);
        self.reselect(&group, home);
    }

    /// Works out anew what counts, after homes, members or groups have changed.
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
            let counts = self.effective.get(group).map(|holdings| &holdings.home);
            if counts.is_none() || counts != ranked.first() {
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

    /// Works out what counts of one group; what counted stays while nothing better is known.
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
