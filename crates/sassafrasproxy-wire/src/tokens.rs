//! Messages between ingress nodes that exchange the tokens of client accounts.

use serde::{Deserialize, Serialize};

use crate::RateLimit;

/// A datagram of one ingress node to another about tokens of client accounts.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum TokenDatagram {
    /// Asks the receiver for tokens that it can spare.
    Ask {
        /// The id of the ask; unique for its sender, so that each answer counts once.
        id: u64,
        /// The tokens that the sender is short of, by account.
        wanted: Vec<TokenDemand>,
    },
    /// Gives tokens, which the sender has taken from its own buckets.
    Grant {
        /// The id of the ask.
        id: u64,
        /// The tokens given; an account of which the sender has none to spare has a count of 0.
        given: Vec<TokenCount>,
    },
}

/// A number of tokens of one account that the sender is short of.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct TokenDemand {
    /// The hash of the account's name.
    pub account_hash: u64,
    /// The tokens; above 0, with fractions.
    pub tokens: f64,
    /// The account's limit, for a receiver that does not keep the account.
    pub limit: RateLimit,
}

/// A number of tokens of one account.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct TokenCount {
    /// The hash of the account's name.
    pub account_hash: u64,
    /// The tokens; 0 or more, with fractions.
    pub tokens: f64,
}
