//! Events of the time line that spans all processes.

use std::cmp::max;

use ecow::EcoString;
use serde::{Deserialize, Serialize};

use crate::{FailureReason, MemberState, Outcome, ShardId, SnapshotId};

/// A stamp of a hybrid logical clock: wall time that never runs backwards.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Hlc {
    /// The wall time in milliseconds since 1970, or a peer's if that was ahead.
    pub wall_ms: u64,
    /// Orders stamps within one millisecond.
    pub count: u32,
}

impl Hlc {
    /// The stamp after this one at a wall time.
    pub fn tick(self, wall_ms: u64) -> Self {
        if wall_ms > self.wall_ms {
            return Self { wall_ms, count: 0 };
        }
        Self { wall_ms: self.wall_ms, count: self.count.saturating_add(1) }
    }

    /// The stamp after this one and after one heard from a peer.
    pub fn merge(self, heard: Self, wall_ms: u64) -> Self {
        max(self, heard).tick(wall_ms)
    }
}

/// One event of the time line.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct TimelineEvent {
    /// When, in an order that respects messages between nodes.
    pub hlc: Hlc,
    /// The node's number for it; grows by one with each of its events.
    pub sequence: u64,
    /// The node.
    pub node: EcoString,
    /// Where it is.
    pub failure_domain: EcoString,
    /// The request that it belongs to.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request_id: Option<EcoString>,
    /// What happened.
    #[serde(flatten)]
    pub kind: TimelineEventKind,
}

/// What happened.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum TimelineEventKind {
    /// The node serves.
    NodeStarted,
    /// The node began its graceful shutdown.
    NodeLeaving,
    /// The node ended its graceful shutdown.
    NodeStopped,
    /// A member changed state in this node's view.
    MemberChanged {
        /// The member.
        member: EcoString,
        /// Its new state.
        state: MemberState,
    },
    /// A sub-request to a peer got no answer.
    PeerFailed {
        /// The peer.
        peer: EcoString,
        /// How it failed.
        error: EcoString,
        /// Whether the peer answers over a new connection.
        is_alive: bool,
    },
    /// A configuration came into force.
    RevisionInForce {
        /// The revision.
        revision: u64,
        /// Failure domains that are out.
        domains_out: Vec<EcoString>,
    },
    /// A newer configuration could not be taken; the old one stays.
    RevisionRejected {
        /// The revision.
        revision: u64,
        /// The reason.
        detail: EcoString,
    },
    /// This node became the home of a replica group.
    HomeGained {
        /// The group.
        group: EcoString,
    },
    /// This node is the home of a replica group no more.
    HomeLost {
        /// The group.
        group: EcoString,
        /// The new home.
        to: Option<EcoString>,
    },
    /// A group's state came from its old home.
    HandOverTaken {
        /// The group.
        group: EcoString,
        /// The old home.
        from: EcoString,
    },
    /// A replica's phase changed.
    ReplicaPhase {
        /// The replica.
        replica: EcoString,
        /// Its new phase.
        phase: EcoString,
        /// What it was noticed by.
        sign: EcoString,
    },
    /// A replica's limit changed.
    ReplicaLimit {
        /// The replica.
        replica: EcoString,
        /// Its new limit in flight.
        limit: u32,
    },
    /// Connections to a replica were given up because they were silent.
    ConnectionsCondemned {
        /// The replica.
        replica: EcoString,
    },
    /// A second try started before the first ended.
    Hedged {
        /// The shard.
        shard: ShardId,
        /// The replica of the second try.
        replica: EcoString,
    },
    /// A try is repeated on another replica.
    Retried {
        /// The shard.
        shard: ShardId,
        /// Why.
        reason: FailureReason,
    },
    /// An upstream died under a request.
    RequestSuspected {
        /// The fingerprint, in hexadecimal.
        fingerprint: EcoString,
    },
    /// A request is refused from now on because upstreams died under it.
    RequestQuarantined {
        /// The fingerprint, in hexadecimal.
        fingerprint: EcoString,
    },
    /// A query starts again on another snapshot.
    SnapshotChanged {
        /// The old one.
        from: SnapshotId,
        /// The new one.
        to: SnapshotId,
    },
    /// A query ended.
    QueryEnded {
        /// How.
        outcome: Outcome,
        /// The reason, unless it was answered in full.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        reason: Option<FailureReason>,
        /// Covered shards over all shards.
        fraction: f64,
        /// How long it took, in milliseconds.
        took_ms: u64,
    },
}
