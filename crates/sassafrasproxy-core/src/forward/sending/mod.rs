//! Decides when to make an attempt, hedge, retry, stop waiting and answer.
//!
//! `Fetch` takes a request to one service from its first attempt to its answer. It hedges after the
//! delay that `RouteLatencies` computes, and retries; both spend the `RetryBudget`, which limits
//! the extra attempts of all nodes together. A query over shards has one fetch for each shard; its
//! `GatherPlan` determines when to answer with the parts that have arrived. `AnswerMemory` bounds
//! what the answers of all requests take together; `StalledDeliveries` names those that their callers
//! leave there.

mod answer_memory;
mod fetch;
mod gather;
mod retry_budget;
mod route_latencies;
mod stalled_deliveries;

pub use self::answer_memory::{AnswerId, AnswerLimits, AnswerMemory, AnswerRoom};
pub use self::fetch::{
    Fetch, FetchFailure, FetchFailureReason, FetchPlan, FetchStep, SendCause, SendResult,
};
pub use self::gather::{
    GatherPlan, GatherStep, RECORD_BYTES, merge_records, min_parts_usable_in_us, next_gather_step,
};
pub use self::retry_budget::{RetryBudget, RetryBudgetPolicy, budget_shares};
pub use self::route_latencies::{Fanout, RouteLatencies, SendTiming};
pub use self::stalled_deliveries::{DeliveryId, StalledDeliveries};
