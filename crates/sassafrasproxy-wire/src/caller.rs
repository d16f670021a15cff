//! Messages between callers and nodes: queries, address lists and status.

use std::fmt::{self, Display, Formatter};

use ecow::EcoString;
use serde::{Deserialize, Serialize};

use crate::{Body, ShardId, SnapshotId};

/// The request header with the caller's request id.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// The request header with the time that remains until the deadline, in milliseconds.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";

/// The body of `POST /v1/query`.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QueryRequest {
    /// The services to query; at least one, and all of the same index.
    pub services: Vec<EcoString>,
    /// The kind of request, as the service files declare it.
    pub kind: EcoString,
    /// The opaque body that is sent to every shard.
    pub body: Body,
    /// The minimum fraction of shards that a useful answer covers, 0 to 1.
    #[serde(default)]
    pub min_coverage: f64,
}

/// The outcome of a request, as its caller sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The request was answered; the coverage lists the shards.
    Answered,
    /// The request ran on no upstream.
    NotRun,
    /// The request may have run on an upstream.
    Unknown,
    /// The answer covers fewer shards than the caller requires.
    Partial,
}

/// The shards that an answer covers and those that are missing.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Coverage {
    /// The shards whose results are in the answer.
    pub covered: Vec<ShardId>,
    /// The shards of the snapshot's layout whose results are missing, each with a reason.
    pub missing: Vec<MissingShard>,
    /// The fraction of all shards that are covered, 0 to 1.
    pub fraction: f64,
}

/// One shard that an answer does not cover.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct MissingShard {
    /// The shard's id.
    pub shard: ShardId,
    /// The reason why the shard is missing.
    pub reason: FailureReason,
}

/// The result of one shard.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct ShardResult {
    /// The shard's id.
    pub shard: ShardId,
    /// The upstream's answer, unchanged.
    pub body: Body,
}

/// The body of a 200 answer to a query.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct QueryAnswer {
    /// The id of the request that this answers.
    pub request_id: EcoString,
    /// The outcome; always [`Outcome::Answered`].
    pub outcome: Outcome,
    /// The index that was queried.
    pub index: EcoString,
    /// The snapshot that all results come from.
    pub snapshot: SnapshotId,
    /// The shards that the answer covers.
    pub coverage: Coverage,
    /// One result for each covered shard.
    pub results: Vec<ShardResult>,
}

/// The body of an answer to a query with another status than 200.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Refusal {
    /// The id of the request that this answers.
    pub request_id: EcoString,
    /// The outcome; never [`Outcome::Answered`].
    pub outcome: Outcome,
    /// The reason in machine-readable form.
    pub reason: FailureReason,
    /// The reason as text for people, with what to do about it.
    pub detail: EcoString,
    /// The retry delay in milliseconds; absent if a retry does not help.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// The shards that a partial answer would have covered.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub coverage: Option<Coverage>,
}

/// The reason why a request was refused or a shard is missing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FailureReason {
    /// The request could not be read.
    BadRequest,
    /// The body is larger than the node accepts.
    BodyTooLarge,
    /// A service is not in the configuration.
    UnknownService,
    /// A queried service does not declare the kind.
    UnknownKind,
    /// The services do not all belong to the same index.
    SeveralIndexes,
    /// A non-idempotent request has no request id.
    MissingRequestId,
    /// Another request with the same id is still running.
    DuplicateRequestId,
    /// The request key was used before by a request with another fingerprint.
    KeyReused,
    /// The request key was used before, and the outcome of that request is unknown or its answer is
    /// not stored.
    KeyUsed,
    /// The request key could not be claimed in time, so the request was not run.
    ClaimUnavailable,
    /// The node has no active configuration yet.
    NoConfiguration,
    /// No usable replica holds the shard.
    NoReplica,
    /// No replica holds the snapshot.
    NotHeld,
    /// The queue is full, or the request cannot complete before its deadline.
    Overloaded,
    /// The upstreams shed every attempt.
    Shed,
    /// The deadline has passed.
    DeadlineExceeded,
    /// The request is quarantined because upstreams crashed while they ran it.
    Quarantined,
    /// No connection to the upstream could be established.
    ConnectFailed,
    /// The connection to the upstream was lost.
    ConnectionLost,
    /// The upstream's answer belongs to another request, shard or snapshot.
    Mismatched,
    /// The upstream's answer could not be parsed.
    Malformed,
    /// The upstream answered with an error.
    UpstreamFailed,
    /// No home node of the shard could be reached.
    HomeUnreachable,
    /// The caller disconnected.
    CallerGone,
    /// The answer covers fewer shards than the caller requires.
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
    /// The addresses of ingress nodes, in the order to try them.
    pub addresses: Vec<IngressAddress>,
    /// The time for which callers may keep the list, in milliseconds.
    pub keep_ms: u64,
}

/// The address of one ingress node.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct IngressAddress {
    /// The address, as `ip:port`.
    pub address: EcoString,
    /// The failure domain of the node.
    pub failure_domain: EcoString,
}

/// The body of `GET /v1/status`.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct NodeStatus {
    /// The name of the node that answers.
    pub node: EcoString,
    /// The node's failure domain.
    pub failure_domain: EcoString,
    /// Whether the node is shutting down.
    pub leaving: bool,
    /// The revision of the active configuration; 0 if there is none.
    pub revision: u64,
    /// A newer revision that this node rejected, with the reason.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rejected_revision: Option<EcoString>,
    /// The failure domains that are out of service.
    pub domains_out: Vec<EcoString>,
    /// All members, this node included.
    pub members: Vec<MemberStatus>,
    /// All replica groups with their homes.
    pub homes: Vec<GroupStatus>,
    /// The replicas of the groups that this node is the home of.
    pub replicas: Vec<ReplicaStatus>,
}

/// One member in a node's status.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct MemberStatus {
    /// The member's name.
    pub node: EcoString,
    /// The address that callers connect to.
    pub address: EcoString,
    /// The member's failure domain.
    pub failure_domain: EcoString,
    /// `alive`, `suspect`, `leaving` or `dead`.
    pub state: EcoString,
    /// The configuration revision that the member last reported.
    pub revision: u64,
}

/// One replica group in a node's status.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct GroupStatus {
    /// The name of the group.
    pub group: EcoString,
    /// The home of the group; `None` if no node can be its home.
    pub home: Option<EcoString>,
    /// The snapshots that the group serves.
    pub snapshots: Vec<SnapshotId>,
}

/// One replica in its home's status.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct ReplicaStatus {
    /// The replica group that the replica belongs to.
    pub group: EcoString,
    /// The replica's address.
    pub address: EcoString,
    /// The replica's phase in the home's view.
    pub phase: EcoString,
    /// The current limit on the replica's sub-requests in flight.
    pub limit: u32,
    /// The number of sub-requests that it has in flight.
    pub in_flight: u32,
    /// The number of queued sub-requests of the whole group.
    pub queued: u32,
}
