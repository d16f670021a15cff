//! The view that the control thread publishes to the traffic thread.

use std::sync::Arc;

use sassafrasproxy_core::{Catalogue, DirectoryNode};

/// An immutable snapshot of the control state, replaced as a whole.
#[derive(Debug, Clone, Default)]
pub struct GatewayView {
    /// The configuration and the replicas.
    pub catalogue: Arc<Catalogue>,
    /// All nodes that are not dead, as the directory needs them.
    pub nodes: Arc<Vec<DirectoryNode>>,
    /// The number of nodes according to the registrations in the store.
    pub registered_node_count: usize,
}
