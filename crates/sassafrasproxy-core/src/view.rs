//! What traffic threads see of the control state.

use std::sync::Arc;

use ecow::{EcoString, eco_format};
use indexmap::{IndexMap, IndexSet};
use sassafrasproxy_wire::{Configuration, GroupHoldings};

use crate::{GroupTable, Member, hash_name};

/// An immutable picture of the control state, replaced as a whole when anything changes.
#[derive(Debug, Clone, Default)]
pub struct View {
    /// This node's name.
    pub local_node: EcoString,
    /// Whether this node shuts down.
    pub leaving: bool,
    /// The configuration in force; revision 0 before the first.
    pub configuration: Arc<Configuration>,
    /// The configuration's replica groups.
    pub groups: Arc<GroupTable>,
    /// All members that are not dead, this node included, by name.
    pub members: Arc<IndexMap<EcoString, Member>>,
    /// The nodes to ask for each group, best first; at most [`View::RANKS`].
    pub homes: Arc<IndexMap<EcoString, Vec<EcoString>>>,
    /// What each group can serve, as its home published it.
    pub holdings: Arc<IndexMap<EcoString, GroupHoldings>>,
    /// Upstream addresses that the platform's VM list says are leaving.
    pub leaving_upstreams: Arc<IndexSet<EcoString>>,
}

impl View {
    /// How many nodes of each group's ranking are kept: the home and two to fall back to.
    pub const MAX_RANKED_NODES: usize = 3;

    /// The home of a group.
    pub fn home(&self, group: &str) -> Option<&EcoString> {
        self.homes.get(group)?.first()
    }

    /// The home of a bucket of claims: one of the members that may be homes.
    pub fn claim_bucket_home(&self, bucket: u32) -> Option<&EcoString> {
        let out = &self.configuration.domains_out;
        let score = |member: &&Member| {
            let is_in = !out.contains(&member.failure_domain);
            let hash = hash_name(&eco_format!("claims/{bucket}/{}", member.node));
            (member.may_be_home(), is_in, hash)
        };
        self.members.values().max_by_key(score).map(|member| &member.node)
    }

    /// Whether this node is the home of a group.
    pub fn is_home(&self, group: &str) -> bool {
        self.home(group) == Some(&self.local_node)
    }
}
