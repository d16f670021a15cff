//! Events of the timeline that spans all processes.

use std::cmp::max;

use ecow::EcoString;
use serde::{Deserialize, Serialize};

use crate::{FailureReason, MemberState, Outcome, ShardId, SnapshotId};

/// A timestamp of a hybrid logical clock, which follows wall time but never goes backwards.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Hlc {
    /// The wall time, in milliseconds since 1970; a peer's wall time if that is ahead.
    pub wall_ms: u64,
    /// The count that orders timestamps within one millisecond.
    pub count: u32,
}

impl Hlc {
    /// Returns the timestamp that follows this one at a wall time.
    pub fn tick(self, wall_ms: u64) -> Self {
        if wall_ms > self.wall_ms {
            return Self { wall_ms, count: 0 };
        }
        Self { wall_ms: self.wall_ms, count: self.count.saturating_add(1) }
    }

    /// Returns the timestamp that follows both this one and one received from a peer.
    pub fn merge(self, received: Self, wall_ms: u64) -> Self {
        max(self, received).tick(wall_ms)
    }
}

/// An event of the timeline.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct TimelineEvent {
    /// The time of the event; an event that a message caused has a later time than its cause.
    pub hlc: Hlc,
    /// The sequence number; grows by one with each event of the node.
    pub sequence: u64,
    /// The name of the node.
    pub node: EcoString,
    /// The failure domain of the node.
    pub failure_domain: EcoString,
    /// The id of the request that the event belongs to, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request_id: Option<EcoString>,
    /// The kind of event.
    #[serde(flatten)]
    pub kind: TimelineEventKind,
}

/// The kind of a timeline event.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum TimelineEventKind {
    /// The node has started to serve.
    NodeStarted,
    /// The node has begun its graceful shutdown.
    NodeLeaving,
    /// The node has completed its graceful shutdown.
    NodeStopped,
    /// The state of a member has changed in this node's view.
    MemberChanged {
        /// The member's name.
        member: EcoString,
        /// The new state.
        state: MemberState,
    },
    /// A sub-request to a peer has failed without an answer.
    PeerFailed {
        /// The peer's name.
        peer: EcoString,
        /// The error.
        error: EcoString,
        /// Whether the peer answers over a new connection.
        is_alive: bool,
    },
    /// A configuration has become active.
    RevisionInForce {
        /// The revision.
        revision: u64,
        /// The failure domains that are out of service.
        domains_out: Vec<EcoString>,
    },
    /// A newer configuration was rejected; the old one stays active.
    RevisionRejected {
        /// The revision.
        revision: u64,
        /// The reason.
        detail: EcoString,
    },
    /// This node has become the home of a replica group.
    HomeGained {
        /// The group.
        group: EcoString,
    },
    /// This node is no longer the home of a replica group.
    HomeLost {
        /// The group.
        group: EcoString,
        /// The new home; `None` if there is none.
        to: Option<EcoString>,
    },
    /// This node has applied a group's state from its old home.
    HandOverTaken {
        /// The group.
        group: EcoString,
        /// The old home.
        from: EcoString,
    },
    /// The phase of a replica has changed.
    ReplicaPhase {
        /// The replica.
        replica: EcoString,
        /// The new phase.
        phase: EcoString,
        /// The observation that caused the change.
        sign: EcoString,
    },
    /// The concurrency limit of a replica has changed.
    ReplicaLimit {
        /// The replica.
        replica: EcoString,
        /// The new maximum number of sub-requests in flight.
        limit: u32,
    },
    /// Connections to a replica were closed because they had stalled.
    ConnectionsCondemned {
        /// The replica.
        replica: EcoString,
    },
    /// A sub-request was hedged: a second attempt started before the first ended.
    Hedged {
        /// The shard.
        shard: ShardId,
        /// The replica of the second attempt.
        replica: EcoString,
    },
    /// A sub-request is retried on another replica.
    Retried {
        /// The shard.
        shard: ShardId,
        /// The reason why the last attempt failed.
        reason: FailureReason,
    },
    /// An upstream crashed while it ran a request.
    RequestSuspected {
        /// The fingerprint of the request, in hexadecimal.
        fingerprint: EcoString,
    },
    /// A request is quarantined because upstreams crashed while they ran it.
    RequestQuarantined {
        /// The fingerprint of the request, in hexadecimal.
        fingerprint: EcoString,
    },
    /// A query restarts on another snapshot.
    SnapshotChanged {
        /// The old snapshot.
        from: SnapshotId,
        /// The new snapshot.
        to: SnapshotId,
    },
    /// A query has ended.
    QueryEnded {
        /// The outcome.
        outcome: Outcome,
        /// The reason; `None` if the query was answered in full.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        reason: Option<FailureReason>,
        /// The fraction of all shards that the answer covers, 0 to 1.
        fraction: f64,
        /// The duration of the query, in milliseconds.
        took_ms: u64,
    },
}
