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
    /// The highest node count that a registration in the store reports, or the number of
    /// registrations if that is greater.
    pub registered_node_count: usize,
}
