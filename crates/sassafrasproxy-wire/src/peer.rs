//! Messages between nodes, carried by JSON-RPC over one connection for each pair.

use ecow::EcoString;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{Body, ConfigurationHead, FailureReason, Hlc, ShardId, SnapshotId};

/// The method that asks a home to run a sub-request.
pub const SUB_REQUEST_METHOD: &str = "sub_request";
/// The method that gives up on a sub-request.
pub const CANCEL_METHOD: &str = "cancel";
/// The method that tells whether a connection still carries anything.
pub const PING_METHOD: &str = "ping";
/// The method that probes a member.
pub const PROBE_METHOD: &str = "probe";
/// The method that asks a member to probe another.
pub const INDIRECT_PROBE_METHOD: &str = "probe_for";
/// The method that reads a peer's configuration.
pub const CONFIGURATION_METHOD: &str = "configuration";
/// The method that reads the holdings that a peer published.
pub const HOLDINGS_METHOD: &str = "holdings";
/// The method that sends the holdings that a node published.
pub const PUSH_HOLDINGS_METHOD: &str = "push_holdings";
/// The method that hands a replica group's state to its new home.
pub const HAND_OVER_METHOD: &str = "hand_over";
/// The method that claims a request key.
pub const CLAIM_METHOD: &str = "claim";
/// The method that records what became of a claimed request.
pub const RECORD_ENDING_METHOD: &str = "record";
/// The method that tells that a request crashes upstreams.
pub const QUARANTINE_METHOD: &str = "quarantine";

/// One shard's part of a query, sent by the entry node to the shard's home.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct SubRequest {
    /// Unique over all nodes.
    pub id: EcoString,
    /// The caller's request id.
    pub request_id: EcoString,
    /// The shard.
    pub shard: ShardId,
    /// The snapshot that the answer must come from.
    pub snapshot: SnapshotId,
    /// The kind of request.
    pub kind: EcoString,
    /// The time that remains, in milliseconds.
    pub deadline_ms: u64,
    /// Whether the node is asked only because the first in rank failed.
    pub fallback: bool,
    /// Whether an earlier home passed it on; it is passed on once at most.
    pub forwarded: bool,
    /// The caller's body, unchanged.
    pub body: Body,
}

/// Gives up on a sub-request.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CancelRequest {
    /// The sub-request.
    pub id: EcoString,
    /// Its shard.
    pub shard: ShardId,
}

/// A home's answer to a sub-request.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct SubRequestReply {
    /// What came of it.
    pub outcome: SubRequestOutcome,
    /// The group's holdings, when the outcome says that the asker's are old.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub holdings: Option<GroupHoldings>,
    /// The upstream's answer, with [`SubOutcome::Answered`] only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub body: Option<Body>,
}

/// What came of a sub-request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SubRequestOutcome {
    /// The upstream answered for this request, shard and snapshot.
    Answered,
    /// It ran nowhere.
    NotRun {
        /// Why.
        reason: FailureReason,
        /// When to come back, in milliseconds; 0 when coming back does not help.
        retry_after_ms: u64,
    },
    /// It may have run.
    Unknown {
        /// Why.
        reason: FailureReason,
    },
    /// This node is not the shard's home, or not any more.
    NotHome {
        /// Whether it may have run here before the home moved.
        may_have_run: bool,
    },
}

impl SubRequestOutcome {
    /// The outcome of a sub-request that may have run elsewhere before: it proves less then.
    pub fn with_prior_run(self, may_have_run: bool) -> Self {
        match self {
            Self::NotRun { reason, .. } if may_have_run => Self::Unknown { reason },
            Self::NotHome { may_have_run: here } => {
                Self::NotHome { may_have_run: may_have_run || here }
            }
            outcome => outcome,
        }
    }
}

/// What a replica group can serve, as its home saw it last.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct GroupHoldings {
    /// The replica group.
    pub group: EcoString,
    /// The home that made this.
    pub home: EcoString,
    /// When it made this; of one home's the latest counts.
    pub made_at: Hlc,
    /// Snapshots that at least one usable replica holds, oldest first.
    pub snapshots: Vec<SnapshotHolding>,
}

/// What a replica group can serve of one snapshot.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SnapshotHolding {
    /// The snapshot.
    pub id: SnapshotId,
    /// Every shard of the service in this snapshot, sorted.
    pub layout: Vec<EcoString>,
    /// The group's shards that a usable replica holds, sorted.
    pub servable: Vec<EcoString>,
}

/// What one node says of itself or another.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct MemberUpdate {
    /// The member's name.
    pub node: EcoString,
    /// The address that peers use.
    pub peer_address: EcoString,
    /// The address that callers use.
    pub address: EcoString,
    /// Where it is.
    pub failure_domain: EcoString,
    /// The address where it relays requests to replicas near it; empty where it does not.
    #[serde(default)]
    pub relay_address: EcoString,
    /// How much of a core it has, in thousandths; 0 where it does not say.
    #[serde(default)]
    pub cpu_millis: u32,
    /// The member's state at this incarnation.
    pub state: MemberState,
    /// Raised only by the member itself, to refute a suspicion or to tell a restart.
    pub incarnation: u64,
}

/// The state of a member; of two at one incarnation the later in this list wins.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// Answers probes.
    Alive,
    /// Did not answer the last probes.
    Suspect,
    /// Shuts down and takes no new homes.
    Leaving,
    /// Gone.
    Dead,
}

/// A heartbeat, and its answer.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender, as it sees itself.
    pub from: MemberUpdate,
    /// The configuration revision that the sender has in force.
    pub revision: u64,
    /// How often the sender has published holdings.
    pub holdings_version: u64,
    /// A hash over the sender's members that are not dead, to notice a difference.
    pub members_hash: u64,
    /// Whether the sender has counted other members than its peers for long, and wants more news.
    #[serde(default, skip_serializing_if = "is_false")]
    pub wants_news: bool,
    /// News on members.
    pub updates: Vec<MemberUpdate>,
    /// The sender's hybrid logical clock.
    pub hlc: Hlc,
}

/// Whether a flag can be left out.
fn is_false(flag: &bool) -> bool {
    !flag
}

/// Asks a member to probe another on the asker's behalf.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct IndirectProbeRequest {
    /// The peer address to probe.
    pub peer_address: EcoString,
    /// The heartbeat to pass on.
    pub heartbeat: Heartbeat,
}

/// The holdings of every group that the answering node is the home of.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct NodeHoldings {
    /// The node.
    pub node: EcoString,
    /// Its count of publications, to compare with its heartbeats.
    pub version: u64,
    /// Whether these are all its groups, or only those of the last publication.
    pub is_whole: bool,
    /// The holdings.
    pub groups: Vec<GroupHoldings>,
}

/// Asks a peer for its configuration.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ConfigurationRequest {
    /// The names of chunks that the asker has and that need not be sent.
    pub have: Vec<EcoString>,
}

/// A peer's configuration, if it has one.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PeerConfiguration {
    /// Its head.
    pub head: Option<ConfigurationHead>,
    /// The texts of the chunks that the asker does not have, by name.
    pub chunks: IndexMap<EcoString, EcoString>,
}

/// A replica group's state, given by its old home to its new one.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HandOver {
    /// The replica group.
    pub group: EcoString,
    /// The old home.
    pub from: EcoString,
    /// 0 when the home moves; then one more each time that a send of the old home has ended.
    pub sequence: u64,
    /// Each replica's state.
    pub replicas: Vec<ReplicaHandOver>,
}

/// One replica's state in a hand-over.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ReplicaHandOver {
    /// The replica.
    pub address: EcoString,
    /// How many sub-requests it may have in flight.
    pub limit: u32,
    /// How many the old home still has in flight there.
    pub in_flight: u32,
    /// When the last of those ends at the latest, in milliseconds from now.
    pub busy_ms: u64,
    /// The process life that the limit was learned from.
    pub boot_id: Option<EcoString>,
}

/// The notice that a request crashes upstreams.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct QuarantineNotice {
    /// The fingerprint of kind and body.
    pub fingerprint: u64,
    /// How long the quarantine lasts from now, in milliseconds.
    pub ttl_ms: u64,
}
