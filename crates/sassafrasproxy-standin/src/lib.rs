//! Stand-ins for the platform and for upstreams, and a load generator, for tests and measurements
//! only.

mod cluster;
mod load;
mod platform;
mod process;
mod upstream;

pub use self::cluster::{Cluster, ClusterSetup, ServiceSetup, shard_names};
pub use self::load::{LoadPlan, LoadReport, run_load};
pub use self::platform::{Outage, PlatformFaults, PlatformStandIn};
pub use self::process::{NodeProcess, run_command};
pub use self::upstream::{
    ColdStart, RunOutcome, RunRecord, Stragglers, UpstreamFault, UpstreamSetup, UpstreamStandIn,
};
