//! Messages between nodes, sent as JSON-RPC over one connection for each pair of nodes.

use ecow::EcoString;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{Body, ConfigurationHead, FailureReason, Hlc, ShardId, SnapshotId};

/// The method that asks a home to run a sub-request.
pub const SUB_REQUEST_METHOD: &str = "sub_request";
/// The method that cancels a sub-request.
pub const CANCEL_METHOD: &str = "cancel";
/// The method that checks whether a connection still works.
pub const PING_METHOD: &str = "ping";
/// The method that probes a member with a heartbeat.
pub const PROBE_METHOD: &str = "probe";
/// The method that asks a member to probe another member.
pub const INDIRECT_PROBE_METHOD: &str = "probe_for";
/// The method that reads a peer's configuration.
pub const CONFIGURATION_METHOD: &str = "configuration";
/// The method that reads the holdings that a peer has published.
pub const HOLDINGS_METHOD: &str = "holdings";
/// The method that sends a node's published holdings to a peer.
pub const PUSH_HOLDINGS_METHOD: &str = "push_holdings";
/// The method that sends a replica group's state to its new home.
pub const HAND_OVER_METHOD: &str = "hand_over";
/// The method that claims a request key.
pub const CLAIM_METHOD: &str = "claim";
/// The method that records the ending of a claimed request.
pub const RECORD_ENDING_METHOD: &str = "record";
/// The method that notifies a peer that a request crashes upstreams.
pub const QUARANTINE_METHOD: &str = "quarantine";

/// One shard's part of a query, sent by the ingress node to the shard's home.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct SubRequest {
    /// The id of the sub-request, unique over all nodes.
    pub id: EcoString,
    /// The caller's request id.
    pub request_id: EcoString,
    /// The shard to query.
    pub shard: ShardId,
    /// The snapshot that the answer must come from.
    pub snapshot: SnapshotId,
    /// The kind of request.
    pub kind: EcoString,
    /// The time that remains until the deadline, in milliseconds.
    pub deadline_ms: u64,
    /// Whether the receiver is a fallback that is asked because the home failed.
    pub fallback: bool,
    /// Whether a former home forwarded the sub-request; it is forwarded at most once.
    pub forwarded: bool,
    /// The caller's body, unchanged.
    pub body: Body,
}

/// A request to cancel a sub-request.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CancelRequest {
    /// The id of the sub-request.
    pub id: EcoString,
    /// The shard of the sub-request.
    pub shard: ShardId,
}

/// A home's answer to a sub-request.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct SubRequestReply {
    /// The outcome of the sub-request.
    pub outcome: SubRequestOutcome,
    /// The group's current holdings, if the outcome shows that the sender's copy is out of date.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub holdings: Option<GroupHoldings>,
    /// The upstream's answer; present only with [`SubRequestOutcome::Answered`].
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub body: Option<Body>,
}

/// The outcome of a sub-request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SubRequestOutcome {
    /// The upstream answered for the requested shard and snapshot.
    Answered,
    /// The sub-request did not run on any upstream.
    NotRun {
        /// The reason.
        reason: FailureReason,
        /// The retry delay in milliseconds; 0 if a retry does not help.
        retry_after_ms: u64,
    },
    /// The sub-request may have run.
    Unknown {
        /// The reason.
        reason: FailureReason,
    },
    /// This node is not, or is no longer, the shard's home.
    NotHome {
        /// Whether the sub-request may have run here before the home moved.
        may_have_run: bool,
    },
}

impl SubRequestOutcome {
    /// Returns the overall outcome of a sub-request that was sent elsewhere before.
    ///
    /// `may_have_run` is whether it may have run there. If so, [`Self::NotRun`] becomes
    /// [`Self::Unknown`], and [`Self::NotHome`] reports that it may have run.
    pub fn with_prior_run(self, may_have_run: bool) -> Self {
        match self {
            Self::NotRun { reason, .. } if may_have_run => Self::Unknown { reason },
            Self::NotHome { may_have_run: may_have_run_here } => {
                Self::NotHome { may_have_run: may_have_run || may_have_run_here }
            }
            outcome => outcome,
        }
    }
}

/// The snapshots and shards that a replica group can serve, in its home's last view.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct GroupHoldings {
    /// The name of the replica group.
    pub group: EcoString,
    /// The home that created this value.
    pub home: EcoString,
    /// The time of creation; the latest value of a home replaces its earlier ones.
    pub made_at: Hlc,
    /// The snapshots that at least one usable replica holds, oldest first.
    pub snapshots: Vec<SnapshotHolding>,
}

/// The shards of one snapshot that a replica group can serve.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SnapshotHolding {
    /// The id of the snapshot.
    pub id: SnapshotId,
    /// Every shard of the service in this snapshot, sorted.
    pub layout: Vec<EcoString>,
    /// The shards of the group that a usable replica holds, sorted.
    pub servable: Vec<EcoString>,
}

/// A gossip update on one member: the sender itself or another.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct MemberUpdate {
    /// The member's name.
    pub node: EcoString,
    /// The address that peers connect to.
    pub peer_address: EcoString,
    /// The address that callers connect to.
    pub address: EcoString,
    /// The member's failure domain.
    pub failure_domain: EcoString,
    /// The address on which the member accepts relay calls for replicas near it; empty if it does
    /// not relay.
    #[serde(default)]
    pub relay_address: EcoString,
    /// The member's CPU share, in thousandths of a core; 0 if it is unknown.
    #[serde(default)]
    pub cpu_millis: u32,
    /// The member's state at this incarnation.
    pub state: MemberState,
    /// The member's incarnation; only the member itself raises it, to refute a suspicion or to
    /// announce a restart.
    pub incarnation: u64,
}

/// The state of a member; of two states at the same incarnation, the later in this list wins.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// The member answers probes.
    Alive,
    /// The member did not answer the last probes.
    Suspect,
    /// The member is shutting down and becomes home of no further groups.
    Leaving,
    /// The member has stopped or is considered lost.
    Dead,
}

/// A heartbeat; the answer to it has the same form.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender's own member update.
    pub from: MemberUpdate,
    /// The revision of the sender's active configuration.
    pub revision: u64,
    /// The number of times that the sender has published holdings.
    pub holdings_version: u64,
    /// The hash of all members that the sender does not consider dead; shows whether the members
    /// that two nodes list differ.
    pub members_hash: u64,
    /// Whether `members_hash` has differed from the peers' for a long time, so that the sender asks
    /// for more updates.
    #[serde(default, skip_serializing_if = "is_false")]
    pub wants_news: bool,
    /// Updates on members.
    pub updates: Vec<MemberUpdate>,
    /// The sender's hybrid logical clock.
    pub hlc: Hlc,
}

/// Whether a flag is unset and can be omitted.
fn is_false(flag: &bool) -> bool {
    !flag
}

/// A request to a member to probe another member on behalf of the sender.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct IndirectProbeRequest {
    /// The peer address of the member to probe.
    pub peer_address: EcoString,
    /// The heartbeat to forward.
    pub heartbeat: Heartbeat,
}

/// The holdings of groups that a node is the home of.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct NodeHoldings {
    /// The name of the node.
    pub node: EcoString,
    /// The number of times that the node has published holdings, as in its heartbeats.
    pub version: u64,
    /// Whether these are all groups of the node, or only those of its last publication.
    pub is_whole: bool,
    /// The holdings of each group.
    pub groups: Vec<GroupHoldings>,
}

/// A request for a peer's configuration.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ConfigurationRequest {
    /// The names of the chunks that the sender already has; they need not be sent.
    pub have: Vec<EcoString>,
}

/// The answer with a peer's configuration.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PeerConfiguration {
    /// The configuration head; `None` if the peer has no configuration.
    pub head: Option<ConfigurationHead>,
    /// The texts of the chunks that the requesting node does not have, by name.
    pub chunks: IndexMap<EcoString, EcoString>,
}

/// A replica group's state, sent by its old home to its new home.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HandOver {
    /// The name of the replica group.
    pub group: EcoString,
    /// The name of the old home.
    pub from: EcoString,
    /// The sequence number: 0 for the hand-over when the home moves, and one more for each further
    /// hand-over, which the old home sends when one of its attempts has ended.
    pub sequence: u64,
    /// The state of each replica.
    pub replicas: Vec<ReplicaHandOver>,
}

/// One replica's state in a hand-over.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ReplicaHandOver {
    /// The replica's address.
    pub address: EcoString,
    /// The limit on sub-requests in flight at the replica.
    pub limit: u32,
    /// The number of sub-requests that the old home still has in flight at the replica.
    pub in_flight: u32,
    /// The maximum time until the last of them ends, in milliseconds from now.
    pub busy_ms: u64,
    /// The boot id of the upstream process for which the limit was learned; `None` if it is
    /// unknown.
    pub boot_id: Option<EcoString>,
}

/// A notice that a request crashes upstreams.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct QuarantineNotice {
    /// The fingerprint of the request's kind and body.
    pub fingerprint: u64,
    /// The remaining time of the quarantine, in milliseconds from now.
    pub ttl_ms: u64,
}
