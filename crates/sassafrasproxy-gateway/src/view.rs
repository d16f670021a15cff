//! What the control thread publishes to the traffic thread.

use std::sync::Arc;

use sassafrasproxy_core::{Catalogue, DirectoryNode};

/// An immutable picture of the control state, replaced as a whole.
#[derive(Debug, Clone, Default)]
pub struct GatewayView {
    /// Configuration and replicas.
    pub catalogue: Arc<Catalogue>,
    /// All nodes that are not dead.
    pub nodes: Arc<Vec<DirectoryNode>>,
    /// How many nodes there are by the registrations in the store.
    pub registered_node_count: usize,
}
