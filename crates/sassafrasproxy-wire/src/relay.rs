//! Messages between an entry node and a relay, which asks replicas of its own failure domain.

use ecow::EcoString;
use serde::{Deserialize, Serialize};

/// What an entry sends to a relay.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum RelayRequest {
    /// Ask replicas.
    Call(RelayCall),
    /// The caller has left: stop.
    Cancel {
        /// The ask.
        id: u64,
    },
}

/// Asks a relay to send one request to several replicas.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RelayCall {
    /// Unique on its connection.
    pub id: u64,
    /// The caller's attempt id.
    pub attempt_id: EcoString,
    /// The route, for the relay's own latencies.
    pub route: EcoString,
    /// The method.
    pub method: EcoString,
    /// Path and query.
    pub uri: EcoString,
    /// The headers that go on.
    pub headers: Vec<(EcoString, Vec<u8>)>,
    /// The body.
    pub body: Vec<u8>,
    /// The time that remains, in microseconds.
    pub remaining_us: u64,
    /// The hash of what the request asks.
    pub fingerprint: u64,
    /// How many of the greatest records the answer needs.
    pub top_k: usize,
    /// The replicas.
    pub parts: Vec<RelayPart>,
}

/// One replica that a relay asks.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RelayPart {
    /// The shard's number in the entry's query.
    pub shard_index: usize,
    /// The replica's id; a relay that does not know it yet does not send.
    pub replica_id: EcoString,
}

/// What a relay answers: some parts of an ask that have ended.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RelayReply {
    /// The ask.
    pub id: u64,
    /// The parts; each part of an ask comes once.
    pub parts: Vec<RelayReplyPart>,
    /// The greatest records of all answered parts of this reply together.
    pub record_batch: Vec<u8>,
}

/// How one part ended.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RelayReplyPart {
    /// The shard's number in the entry's query.
    pub shard_index: usize,
    /// How it ended.
    pub outcome: RelayPartOutcome,
    /// What the replica said of its load.
    pub reported_load: Option<u32>,
}

/// How a relay's send ended.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum RelayPartOutcome {
    /// With an answer.
    Answered {
        /// The replica's signature.
        stamp: EcoString,
    },
    /// With the replica's own failure.
    Faulty,
    /// With the replica's word that it did not run the request.
    NotRun,
    /// Another replica has the address.
    Misdirected,
    /// Before anything was sent.
    Unsent,
    /// Without a usable answer.
    Lost,
    /// Without anything for as long as the send could wait.
    TimedOut,
}
