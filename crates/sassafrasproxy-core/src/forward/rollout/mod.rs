//! Moving a service's traffic to a new version of its replicas, and back if the version is bad.
//!
//! An operator's order starts a trial: a few nodes, named in a record in the store, send a bounded
//! number of requests to the new version (`Trial`) and tell the decider what came back
//! (`TrialReport`). `VersionJudge` compares the versions; `RolloutDecider` promotes the new version
//! or rolls it back. `service_versions` says which version a node may use at each moment.

mod coordinator;
mod order;
mod report_throttle;
mod trial;
mod trial_analysis;
mod versions;

pub use self::coordinator::{
    RolloutCoordinator, RolloutEffect, RolloutLogEvent, RolloutNodes, RolloutPolicy, RolloutState,
    VersionReplicas,
};
pub use self::order::{RolloutOrder, RolloutPhase, RolloutRecord};
pub use self::report_throttle::ReportThrottle;
pub use self::trial::{
    RouteClass, Trial, TrialCount, TrialGrant, TrialOutcome, TrialReport, route_class,
};
pub use self::trial_analysis::{TrialAnalysis, TrialVerdict};
pub use self::versions::{ServiceVersions, service_versions};
