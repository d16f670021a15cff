//! Messages between an ingress node and a relay.
//!
//! A relay is a node that sends a request to several replicas of its own failure domain on behalf
//! of the ingress node and merges their answers.

use ecow::EcoString;
use serde::{Deserialize, Serialize};

/// A message from an ingress node to a relay.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum RelayRequest {
    /// Sends a request to replicas.
    Call(RelayCall),
    /// Cancels a relay call whose replies are no longer needed.
    Cancel {
        /// The id of the relay call.
        id: u64,
    },
}

/// A request to a relay to send one caller request to several replicas.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RelayCall {
    /// The id of the relay call; unique on its connection.
    pub id: u64,
    /// The caller's attempt id.
    pub attempt_id: EcoString,
    /// The name of the route; the relay records its own latencies for each route.
    pub route: EcoString,
    /// The HTTP method.
    pub method: EcoString,
    /// The path and query of the request.
    pub uri: EcoString,
    /// The headers to forward.
    pub headers: Vec<(EcoString, Vec<u8>)>,
    /// The request body.
    pub body: Vec<u8>,
    /// The time that remains until the deadline, in microseconds.
    pub remaining_us: u64,
    /// The exact fingerprint of the request: a hash of its host, method, path, query, body and client
    /// account. A node of an earlier build leaves out the query and the account.
    pub fingerprint: u64,
    /// The number of top records that the answer needs.
    pub top_k: usize,
    /// The replicas to send the request to.
    pub parts: Vec<RelayPart>,
}

/// One replica that a relay sends the request to.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RelayPart {
    /// The index of the shard in the ingress node's query.
    pub shard_index: usize,
    /// The replica's id; a part is [`RelayPartOutcome::Unsent`] if the relay has no entry of the
    /// replica yet.
    pub replica_id: EcoString,
}

/// An answer of a relay, with some parts of a relay call that have ended.
///
/// A frame holds it and then a [`RelayReplyTrailer`], which older nodes neither write nor read.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RelayReply {
    /// The id of the relay call.
    pub id: u64,
    /// The parts that have ended; each part of a relay call is reported once.
    pub parts: Vec<RelayReplyPart>,
    /// The record batch with the top records of all answered parts of this reply.
    pub record_batch: Vec<u8>,
}

/// The result of one part of a relay call.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RelayReplyPart {
    /// The index of the shard in the ingress node's query.
    pub shard_index: usize,
    /// The outcome of the part.
    pub outcome: RelayPartOutcome,
    /// The number of running and queued requests that the replica reported, if it did.
    pub reported_load: Option<u32>,
    /// The time that work takes on the replica's VM in percent of the usual time, if the replica
    /// reported it; carried in the [`RelayReplyTrailer`].
    #[serde(skip)]
    pub work_time_percent: Option<u32>,
}

/// What a frame holds after a [`RelayReply`].
///
/// A node of an older version ignores bytes after the reply, and a newer one takes a frame without
/// a trailer, or one that it cannot decode, as one that reports nothing.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RelayReplyTrailer {
    /// The `work_time_percent` of each part, in the order of the parts; 0 if it was not reported.
    pub work_time_percents: Vec<u32>,
}

impl RelayReply {
    /// Returns the trailer of the reply's frame.
    pub fn trailer(&self) -> RelayReplyTrailer {
        let percents = self.parts.iter().map(|part| part.work_time_percent.unwrap_or(0));
        RelayReplyTrailer { work_time_percents: percents.collect() }
    }

    /// Completes a decoded reply with the trailer of its frame.
    pub fn apply_trailer(&mut self, trailer: &RelayReplyTrailer) {
        for (part, percent) in self.parts.iter_mut().zip(&trailer.work_time_percents) {
            part.work_time_percent = (*percent > 0).then_some(*percent);
        }
    }
}

/// The outcome of a relay's attempt at one replica.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum RelayPartOutcome {
    /// The replica answered successfully.
    Answered {
        /// The stamp that the replica put on its answer.
        stamp: EcoString,
    },
    /// The replica answered with a status other than success.
    Faulty,
    /// The replica answered that it did not run the request.
    NotRun,
    /// Another replica answered at the address; it did not run the request.
    Misdirected,
    /// Nothing was sent to the replica.
    Unsent,
    /// The request may have run, but no usable answer arrived; an answer without a stamp is not
    /// usable.
    Lost,
    /// The request may have run, but no answer arrived before the timeout.
    TimedOut,
}
