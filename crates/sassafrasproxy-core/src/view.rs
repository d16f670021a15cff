//! The view of the control state that traffic threads use.

use std::sync::Arc;

use ecow::{EcoString, eco_format};
use indexmap::{IndexMap, IndexSet};
use sassafrasproxy_wire::{Configuration, GroupHoldings};

use crate::{GroupTable, Member, hash_name};

/// An immutable snapshot of the control state, replaced as a whole when anything changes.
#[derive(Debug, Clone, Default)]
pub struct View {
    /// This node's name.
    pub local_node: EcoString,
    /// Whether this node is shutting down.
    pub leaving: bool,
    /// The active configuration; has revision 0 until the first is received.
    pub configuration: Arc<Configuration>,
    /// The configuration's replica groups.
    pub groups: Arc<GroupTable>,
    /// All members that are not dead, including this node, by name.
    pub members: Arc<IndexMap<EcoString, Member>>,
    /// The nodes to ask for each group, best first; at most [`View::MAX_RANKED_NODES`].
    pub homes: Arc<IndexMap<EcoString, Vec<EcoString>>>,
    /// The holdings of each group, as published by its home.
    pub holdings: Arc<IndexMap<EcoString, GroupHoldings>>,
    /// The addresses of VMs that are leaving according to the platform's VM list.
    pub leaving_upstreams: Arc<IndexSet<EcoString>>,
}

impl View {
    /// The number of ranked nodes kept for each group: the home and two fallback nodes.
    pub const MAX_RANKED_NODES: usize = 3;

    /// Returns the home of a group.
    pub fn home(&self, group: &str) -> Option<&EcoString> {
        self.homes.get(group)?.first()
    }

    /// Returns the home of a claim bucket.
    ///
    /// Members that may be homes are preferred, then those whose failure domain is in service.
    pub fn claim_bucket_home(&self, bucket: u32) -> Option<&EcoString> {
        let domains_out = &self.configuration.domains_out;
        let score = |member: &&Member| {
            let is_domain_available = !domains_out.contains(&member.failure_domain);
            let hash = hash_name(&eco_format!("claims/{bucket}/{}", member.node));
            (member.may_be_home(), is_domain_available, hash)
        };
        self.members.values().max_by_key(score).map(|member| &member.node)
    }

    /// Whether this node is the home of a group.
    pub fn is_home(&self, group: &str) -> bool {
        self.home(group) == Some(&self.local_node)
    }
}
