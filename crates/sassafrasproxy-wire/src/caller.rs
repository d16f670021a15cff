//! What callers send to a node and what they get back.

use std::fmt::{self, Display, Formatter};

use ecow::EcoString;
use serde::{Deserialize, Serialize};

use crate::{Body, ShardId, SnapshotId};

/// The header with the request id.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// The header with the time that remains, in milliseconds.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";

/// The body of `POST /v1/query`.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QueryRequest {
    /// The services to ask; all of one index and at least one.
    pub services: Vec<EcoString>,
    /// The kind of request, as the service files declare it.
    pub kind: EcoString,
    /// The opaque body that every shard gets.
    pub body: Body,
    /// The least fraction of shards, 0 to 1, that makes a useful answer.
    #[serde(default)]
    pub min_coverage: f64,
}

/// The outcome of a request, as its caller sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The request was answered; the coverage says how far.
    Answered,
    /// The request ran on no upstream.
    NotRun,
    /// The request may have run.
    Unknown,
    /// The answer covers less than the caller asked for.
    Partial,
}

/// Which shards an answer covers.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Coverage {
    /// The shards whose results are in the answer.
    pub covered: Vec<ShardId>,
    /// The shards of the snapshot's layout that are not, with a reason each.
    pub missing: Vec<MissingShard>,
    /// Covered shards over all shards, 0 to 1.
    pub fraction: f64,
}

/// One shard that an answer does not cover.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct MissingShard {
    /// The shard.
    pub shard: ShardId,
    /// Why it is missing.
    pub reason: FailureReason,
}

/// The result of one shard.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct ShardResult {
    /// The shard.
    pub shard: ShardId,
    /// The upstream's answer, unchanged.
    pub body: Body,
}

/// The body of a 200 answer to a query.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct QueryAnswer {
    /// The request that this answers.
    pub request_id: EcoString,
    /// Always [`Outcome::Answered`].
    pub outcome: Outcome,
    /// The index that was asked.
    pub index: EcoString,
    /// The one snapshot that every result comes from.
    pub snapshot: SnapshotId,
    /// What the answer covers.
    pub coverage: Coverage,
    /// One result for each covered shard.
    pub results: Vec<ShardResult>,
}

/// The body of any answer to a query that is not a 200.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Refusal {
    /// The request that this answers.
    pub request_id: EcoString,
    /// Never [`Outcome::Answered`].
    pub outcome: Outcome,
    /// The reason, for programs.
    pub reason: FailureReason,
    /// The reason, for people, with what to do.
    pub detail: EcoString,
    /// When to come back, in milliseconds, for a refusal that may pass.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// What a partial answer would have covered.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub coverage: Option<Coverage>,
}

/// Why a request was refused or a shard is missing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FailureReason {
    /// The request could not be read.
    BadRequest,
    /// The body is larger than the node reads.
    BodyTooLarge,
    /// A service is not in the configuration.
    UnknownService,
    /// The kind is not declared by every service asked.
    UnknownKind,
    /// The services belong to several indexes.
    SeveralIndexes,
    /// A non-idempotent request came without a request id.
    MissingRequestId,
    /// The request id is in use by another request that is running.
    DuplicateRequestId,
    /// The request key was used before with another body.
    KeyReused,
    /// The request key was used before and its outcome is not known.
    KeyUsed,
    /// The request's claim could not be written, so it was not run.
    ClaimUnavailable,
    /// No configuration is in force yet.
    NoConfiguration,
    /// No replica that may be used holds the shard.
    NoReplica,
    /// No replica holds the snapshot.
    NotHeld,
    /// The queue is full or the work could not end in time.
    Overloaded,
    /// Every try was shed by the upstream.
    Shed,
    /// The time ran out.
    DeadlineExceeded,
    /// The request is quarantined because upstreams died under it.
    Quarantined,
    /// No connection to the upstream could be made.
    ConnectFailed,
    /// The connection to the upstream was lost.
    ConnectionLost,
    /// The upstream's answer belongs to another request, shard or snapshot.
    Mismatched,
    /// The upstream's answer could not be read.
    Malformed,
    /// The upstream answered with a failure.
    UpstreamFailed,
    /// No home node of the shard could be reached.
    HomeUnreachable,
    /// The caller went away.
    CallerGone,
    /// The answer covers less than was asked.
    BelowMinCoverage,
}

impl Display for FailureReason {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        self.serialize(f)
    }
}

/// The body of `GET /v1/addresses`.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AddressList {
    /// Entry addresses in the order to try them.
    pub addresses: Vec<IngressAddress>,
    /// How long the list may be kept, in milliseconds.
    pub keep_ms: u64,
}

/// One address that callers may use.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct IngressAddress {
    /// `ip:port`.
    pub address: EcoString,
    /// Where the node is.
    pub failure_domain: EcoString,
}

/// The body of `GET /v1/status`.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct NodeStatus {
    /// The node that answers.
    pub node: EcoString,
    /// Its failure domain.
    pub failure_domain: EcoString,
    /// Whether it is shutting down.
    pub leaving: bool,
    /// The revision in force, 0 for none.
    pub revision: u64,
    /// A newer revision that this node could not take, with the reason.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rejected_revision: Option<EcoString>,
    /// Failure domains that are out.
    pub domains_out: Vec<EcoString>,
    /// All members, this node included.
    pub members: Vec<MemberStatus>,
    /// Each replica group and its home.
    pub homes: Vec<GroupStatus>,
    /// Replicas of the groups that this node is the home of.
    pub replicas: Vec<ReplicaStatus>,
}

/// One member in a node's status.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct MemberStatus {
    /// The member's name.
    pub node: EcoString,
    /// The address that callers use.
    pub address: EcoString,
    /// Where it is.
    pub failure_domain: EcoString,
    /// `alive`, `suspect`, `leaving` or `dead`.
    pub state: EcoString,
    /// The configuration revision it last reported.
    pub revision: u64,
}

/// One replica group in a node's status.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct GroupStatus {
    /// The group.
    pub group: EcoString,
    /// Its home, if any node may be.
    pub home: Option<EcoString>,
    /// Snapshots that the group serves.
    pub snapshots: Vec<SnapshotId>,
}

/// One replica in its home's status.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct ReplicaStatus {
    /// The replica's group.
    pub group: EcoString,
    /// The replica's address.
    pub address: EcoString,
    /// The phase that the home sees it in.
    pub phase: EcoString,
    /// How many sub-requests it may have in flight now.
    pub limit: u32,
    /// How many it has.
    pub in_flight: u32,
    /// Sub-requests of the group that wait.
    pub queued: u32,
}
