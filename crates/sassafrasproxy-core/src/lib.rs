//! The decisions of a node as pure reducers: events and the time go in, effects come out.
//!
//! Nothing here reads a clock, does I/O, draws global random numbers or keeps a static; so a run
//! can be replayed, and hundreds of nodes fit in one test. Times are microseconds of the node's
//! monotonic clock unless a name says otherwise.

mod claims;
mod control;
mod forward;
mod homes;
mod lane;
mod query;
mod view;

pub use self::claims::{
    ClaimBucket, ClaimEffect, ClaimEvent, ClaimPolicy, StoreCall, StoreResult, Ticket, bucket_of,
};
pub use self::control::{
    Control, ControlEffect, ControlEvent, ControlPolicy, Digests, Member, MemberTable,
};
pub use self::forward::*;
pub use self::homes::{GroupTable, HomeTable, ReplicaGroup, hash_name};
pub use self::lane::{
    AttemptId, AttemptReport, AttemptResult, ExtraBudget, Lane, LaneConfiguration, LaneEffect,
    LaneEvent, LanePolicy, LatencyWindow, ReplicaSpec, StatusReport, Sub, SubKey,
};
pub use self::query::{AskToken, Query, QueryEffect, QueryEnd, QueryEvent, QueryPlan, QuerySpec};
pub use self::view::View;

/// Microseconds in a millisecond.
pub const US_PER_MS: u64 = 1_000;
