//! Selects the route of a request, its service, and a replica of the service.
//!
//! Host and path determine the route, and a route with weighted services selects one of them in
//! turn. A query over shards excludes shards that other queries need more (`select_shards`).
//! `UpstreamPool` then picks the replica that will probably answer first, by its failure domain and
//! the load, slowness, pauses and errors that this node has observed.

mod decaying_mean;
mod part_distribution;
mod pause_estimator;
mod pool;
mod preconnect;
mod route_table;
mod shard_selection;
mod slot_budget;
mod weighted_round_robin;

pub use self::part_distribution::distribute_parts;
pub use self::pool::{
    PoolSettings, ReportedLoad, SendId, SendOutcome, ServiceForecast, UpstreamPool,
};
pub use self::preconnect::{PreconnectStep, Preconnector};
pub use self::route_table::RouteTable;
pub use self::shard_selection::{ShardSelection, select_shards};
pub use self::slot_budget::SlowForecast;
pub use self::weighted_round_robin::WeightedRoundRobin;
