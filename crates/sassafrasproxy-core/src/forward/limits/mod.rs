//! Decides how many requests of each client account this node admits, within limits that hold over
//! all nodes.

mod rate_limiter;
mod shares;
mod token_account;
mod token_bucket;
mod token_exchange;

pub use self::rate_limiter::{
    AccountUsage, OutgoingTokens, RateDecision, RateLimitPolicy, RateLimiter, TokenPeers,
};
