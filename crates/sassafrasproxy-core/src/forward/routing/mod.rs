//! Where to send: the route, its service, and which replica of it.
//!
//! A request's path picks a route and, of a split, a service. A query over shards leaves out those
//! that others need more (`plan_asks`). `UpstreamPool` then names the replica that will probably
//! answer first, by what this node has seen of each: distance, load, slowness, pauses and errors.

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
pub use self::pool::{PoolSettings, SendId, SendOutcome, ServiceForecast, UpstreamPool};
pub use self::preconnect::{PreconnectStep, Preconnector};
pub use self::route_table::RouteTable;
pub use self::shard_selection::{ShardSelection, select_shards};
pub use self::slot_budget::SlowForecast;
pub use self::weighted_round_robin::WeightedRoundRobin;
