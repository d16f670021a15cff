//! When to send, send again, stop waiting and answer.
//!
//! `Fetch` takes one service from its first send to its answer, with a hedge after the time that
//! `RouteTimes` learned and retries, both from the budget that all nodes share. A query over shards
//! has one fetch for each; its plan says when to answer with the parts that are in.

mod fetch;
mod gather;
mod retry_budget;
mod route_latencies;

pub use self::fetch::{
    Fetch, FetchFailure, FetchFailureReason, FetchPlan, FetchStep, SendCause, SendResult,
};
pub use self::gather::{
    GatherPlan, GatherStep, RECORD_BYTES, merge_records, min_parts_usable_in_us, next_gather_step,
};
pub use self::retry_budget::{RetryBudget, RetryBudgetPolicy, budget_shares};
pub use self::route_latencies::{Fanout, RouteLatencies, SendTiming};
