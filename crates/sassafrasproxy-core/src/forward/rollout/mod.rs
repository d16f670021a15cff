//! Moves a service's traffic to a new version of its replicas, and back if the version is bad.
//!
//! An operator's order starts a trial: a few canary nodes, named in a record in the store, send a
//! bounded number of requests to the new version (`Trial`) and report the outcomes to the
//! coordinator (`TrialReport`). `TrialAnalysis` compares the versions; `RolloutCoordinator`
//! promotes the new version or rolls it back. `service_versions` returns the versions that a node
//! may use.

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
