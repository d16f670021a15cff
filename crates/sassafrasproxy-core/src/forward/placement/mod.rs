//! Where to send: the route, its service, and which replica of it.
//!
//! A request's path picks a route and, of a split, a service. A query over shards leaves out those
//! that others need more (`plan_asks`). `UpstreamPool` then names the replica that will probably
//! answer first, by what this node has seen of each: distance, load, slowness, pauses and errors.

mod ask_plan;
mod connect_ahead;
mod fading;
mod pause_times;
mod pool;
mod routes;
mod slow_share;
mod split;
mod spread;

pub use self::ask_plan::{AskPlan, plan_asks};
pub use self::connect_ahead::{AheadStep, ConnectAhead};
pub use self::pool::{PoolSettings, Prospect, SendId, SendOutcome, UpstreamPool};
pub use self::routes::RouteTable;
pub use self::slow_share::SlowProspect;
pub use self::split::SplitChooser;
pub use self::spread::spread_parts;
