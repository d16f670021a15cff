//! The decision logic of a node, as pure reducers that take an event and the current time and
//! return effects.
//!
//! The crate reads no clock, does no I/O, uses no global random generator and has no mutable
//! statics. A run can therefore be replayed, and one test can simulate hundreds of nodes. Times
//! are microseconds of the node's monotonic clock unless a name says otherwise.

mod claims;
mod control;
mod forward;
mod homes;
mod query;
mod scheduler;
mod view;

pub use self::claims::{
    ClaimBucket, ClaimEffect, ClaimEvent, ClaimId, ClaimPolicy, StoreCall, StoreResult,
    claim_bucket_of,
};
pub use self::control::{
    ControlEffect, ControlEvent, ControlPlane, ControlPolicy, Digests, Member, MemberTable,
};
pub use self::forward::*;
pub use self::homes::{GroupTable, HomeTable, ReplicaGroup, hash_name};
pub use self::query::{
    Query, QueryEffect, QueryEnd, QueryEvent, QueryPlan, QuerySpec, ShardRequestToken,
};
pub use self::scheduler::{
    AttemptId, AttemptReport, AttemptResult, HedgeRetryBudget, LatencyWindow, ReplicaSpec,
    Scheduler, SchedulerConfiguration, SchedulerEffect, SchedulerEvent, SchedulerPolicy,
    StatusReport, SubRequestId, SubRequestSpec,
};
pub use self::view::View;

/// The number of microseconds in a millisecond.
pub const US_PER_MS: u64 = 1_000;
