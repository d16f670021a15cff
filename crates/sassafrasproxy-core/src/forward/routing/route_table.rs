//! Finds the route of a request by host and path.

use std::sync::Arc;

use ecow::EcoString;
use indexmap::IndexMap;
use sassafrasproxy_wire::Route;

/// All routes of one configuration, by host and path prefix.
#[derive(Debug, Clone, Default)]
pub struct RouteTable {
    hosts: IndexMap<EcoString, IndexMap<EcoString, Arc<Route>>>,
}

impl RouteTable {
    /// Creates a table of routes; of two with the same host and prefix, the later one is used.
    pub fn new(routes: impl IntoIterator<Item = Route>) -> Self {
        let mut table = Self::default();
        for route in routes {
            let by_prefix = table.hosts.entry(route.host.clone()).or_default();
            by_prefix.insert(route.prefix.clone(), Arc::new(route));
        }
        table
    }

    /// Returns the route with the longest prefix of a path.
    ///
    /// Looks up one prefix for each slash of the path, so the time does not grow with the number of
    /// routes.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let by_prefix = self.hosts.get(host)?;
        let slashes = path.rmatch_indices('/').map(|(at, _)| at);
        slashes.into_iter().find_map(|at| by_prefix.get(&path[..=at]))
    }

    /// Returns the routes of a host.
    pub fn host_routes(&self, host: &str) -> impl Iterator<Item = &Arc<Route>> {
        self.hosts.get(host).into_iter().flat_map(IndexMap::values)
    }

    /// Returns all routes.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.hosts.values().flat_map(IndexMap::values)
    }
}
