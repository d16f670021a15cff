//! Defines the datagrams that nodes exchange and their encoding on the wire.

use ecow::EcoString;
use sassafrasproxy_wire::{MemberState, MemberUpdate};
use serde::{Deserialize, Serialize};

use crate::{CrashReport, Digests, Member, TrialReport, WorkReport};

/// The format version in the first byte of each datagram.
///
/// Incremented with each change that older nodes cannot decode.
const FORMAT: u8 = 2;

/// The maximum size of a datagram, in bytes.
///
/// With its headers, a datagram of this size fits the usual MTU of 1,500 bytes.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;

/// A datagram from one node to another.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PeerDatagram {
    /// The purpose of the datagram.
    pub kind: DatagramKind,
    /// The node that sends the datagram.
    pub sender: DatagramSender,
    /// A hash over the sender's members that are not dead, by which the receiver detects that
    /// the two member tables differ.
    pub members_hash: u64,
    /// The latest revision of the store that, according to the sender, any node has synced to.
    pub latest: LatestRevision,
    /// Whether the store is unavailable to the sender.
    pub is_store_unavailable: bool,
    /// The work of requests on all ingress nodes, as far as the sender knows.
    ///
    /// Encoded after all other fields: nodes of builds without it ignore what follows them.
    #[serde(skip)]
    pub work: WorkReport,
    /// Requests that replicas have answered, so that crash reports on them no longer count.
    ///
    /// Encoded after `work`, for the same reason, and left out while empty.
    #[serde(skip)]
    pub answered_requests: Vec<AnsweredRequest>,
    /// Recent reports of replicas that crashed while they processed a request.
    pub crash_reports: Vec<CrashReport>,
    /// Rollouts that were stopped recently, each by the store's revision of its order.
    pub stopped_rollouts: Vec<u64>,
    /// The sender's counts from trials of versions, for the coordinator.
    pub trial_reports: Vec<TrialReport>,
    /// Hashes over a part of the sender's members; sent while the two member tables differ.
    pub digests: Option<Digests>,
    /// Updates on members that the receiver may not have received yet.
    pub updates: Vec<GossipUpdate>,
}

impl PeerDatagram {
    /// Encodes the datagram into the bytes to send.
    ///
    /// Fails with `DatagramError::EncodeFailed` if a field cannot be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, DatagramError> {
        let bytes = postcard::to_extend(self, vec![FORMAT]).map_err(DatagramError::EncodeFailed)?;
        let bytes = postcard::to_extend(&self.work, bytes).map_err(DatagramError::EncodeFailed)?;
        if self.answered_requests.is_empty() {
            return Ok(bytes);
        }
        postcard::to_extend(&self.answered_requests, bytes).map_err(DatagramError::EncodeFailed)
    }

    /// Decodes a datagram from the bytes that were received.
    ///
    /// Fails with `DatagramError::Empty`, `UnsupportedFormat` or `Malformed`.
    pub fn decode(bytes: &[u8]) -> Result<Self, DatagramError> {
        match bytes.split_first() {
            Some((&FORMAT, body)) => {
                let (mut datagram, rest): (Self, &[u8]) =
                    postcard::take_from_bytes(body).map_err(DatagramError::Malformed)?;
                if let Ok((work, rest)) = postcard::take_from_bytes(rest) {
                    datagram.work = work;
                    datagram.answered_requests = postcard::from_bytes(rest).unwrap_or_default();
                }
                Ok(datagram)
            }
            Some((&format, _)) => Err(DatagramError::UnsupportedFormat { format }),
            None => Err(DatagramError::Empty),
        }
    }

    /// Adds updates until the next one would exceed `MAX_DATAGRAM_BYTES`.
    pub fn fill(&mut self, updates: impl IntoIterator<Item = GossipUpdate>) {
        // One byte for the format, and two because the encoded count of updates may get longer.
        let mut length =
            3 + encoded_len(self) + encoded_len(&self.work) + encoded_len(&self.answered_requests);
        for update in updates {
            length += encoded_len(&update);
            if length > MAX_DATAGRAM_BYTES {
                return;
            }
            self.updates.push(update);
        }
    }
}

/// A request that a replica has answered although replicas crashed while they ran it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct AnsweredRequest {
    /// The fingerprint of the request.
    pub fingerprint: u64,
    /// A random number, so that a later answer is not taken for one that was passed on already.
    pub answer_id: u64,
}

/// An error from encoding or decoding a datagram.
#[derive(Debug, thiserror::Error)]
pub enum DatagramError {
    /// The datagram has no bytes.
    #[error("the datagram is empty; check that no other program sends to the peer port")]
    Empty,
    /// The datagram comes from another version of this program, or from another program.
    #[error(
        "the datagram has format {format}, but this node reads format {FORMAT}; \
         check that all nodes run the same version"
    )]
    UnsupportedFormat {
        /// The format in the first byte.
        format: u8,
    },
    /// The first byte is this version's format, but the rest cannot be decoded.
    #[error("the datagram is malformed and was dropped: {0}; the sender will retry")]
    Malformed(#[source] postcard::Error),
    /// The datagram cannot be encoded.
    #[error("the datagram cannot be encoded: {0}; report this as a bug")]
    EncodeFailed(#[source] postcard::Error),
}

/// The purpose of a datagram, in the order of an exchange.
///
/// Two nodes whose member tables agree stop after the answer. Each later step is taken only while
/// the tables still differ, so an exchange has at most five datagrams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum DatagramKind {
    /// Asks whether the receiver is alive.
    Probe,
    /// Answers a probe; carries recent updates if the two member tables differ.
    Answer,
    /// Answers with recent updates and digests.
    Compare,
    /// Answers with the members whose digests differ, and with the sender's own digests.
    Differences,
    /// Answers with the members that still differ.
    Rest,
    /// Sends an update that cannot wait for the next probe.
    Notice,
}

impl DatagramKind {
    /// Returns the name of the kind in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Probe => "probe",
            Self::Answer => "answer",
            Self::Compare => "compare",
            Self::Differences => "differences",
            Self::Rest => "rest",
            Self::Notice => "notice",
        }
    }
}

/// The sender of a datagram, as it describes itself.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct DatagramSender {
    /// The name of the node.
    pub node: EcoString,
    /// The node's incarnation, which only the node itself increments.
    pub incarnation: u64,
    /// The node's state.
    pub state: MemberState,
}

/// The latest revision of the store that any node is known to have synced to.
///
/// Each datagram carries it, so that a node whose watch has stalled detects within seconds that it
/// is behind, although in a large fleet it rarely receives a datagram from any one peer.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LatestRevision {
    /// The store's revision.
    pub revision: u64,
    /// The peer address of a node that has synced to this revision.
    pub peer_address: EcoString,
}

/// An update on one member.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum GossipUpdate {
    /// The full record of a member that the receiver may not know.
    Full(CompactMember),
    /// Only the state of a member, which the receiver is expected to know.
    StateOnly {
        /// The hash of the member's name.
        name_hash: u64,
        /// The member's incarnation.
        incarnation: u64,
        /// The member's state.
        state: MemberState,
    },
}

impl GossipUpdate {
    /// Creates an update with the full record of a member.
    pub fn full(member: &Member) -> Self {
        Self::Full(CompactMember::new(&member.to_update()))
    }

    /// Creates an update with only the state of a member.
    pub fn state_only(member: &Member) -> Self {
        Self::StateOnly {
            name_hash: member.name_hash,
            incarnation: member.incarnation,
            state: member.state,
        }
    }
}

/// The record of a member, in which addresses omit the prefix shared with the peer address.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CompactMember {
    node: EcoString,
    failure_domain: EcoString,
    peer_address: EcoString,
    address: PrefixCompressed,
    relay_address: PrefixCompressed,
    cpu_millis: u32,
    state: MemberState,
    incarnation: u64,
}

impl CompactMember {
    /// Compresses the record of a member.
    pub fn new(update: &MemberUpdate) -> Self {
        Self {
            node: update.node.clone(),
            failure_domain: update.failure_domain.clone(),
            peer_address: update.peer_address.clone(),
            address: PrefixCompressed::new(&update.address, &update.peer_address),
            relay_address: PrefixCompressed::new(&update.relay_address, &update.peer_address),
            cpu_millis: update.cpu_millis,
            state: update.state,
            incarnation: update.incarnation,
        }
    }

    /// Returns the uncompressed record.
    pub fn to_update(&self) -> MemberUpdate {
        MemberUpdate {
            node: self.node.clone(),
            peer_address: self.peer_address.clone(),
            address: self.address.expand(&self.peer_address),
            failure_domain: self.failure_domain.clone(),
            relay_address: self.relay_address.expand(&self.peer_address),
            cpu_millis: self.cpu_millis,
            state: self.state,
            incarnation: self.incarnation,
        }
    }
}

/// A text without the prefix that it shares with a reference text.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
struct PrefixCompressed {
    /// The number of leading characters shared with the reference text.
    prefix_chars: u8,
    suffix: EcoString,
}

impl PrefixCompressed {
    fn new(text: &str, reference: &str) -> Self {
        let pairs = text.chars().zip(reference.chars()).take(usize::from(u8::MAX));
        let shared = pairs.take_while(|(left, right)| left == right).count();
        Self { prefix_chars: shared as u8, suffix: text.chars().skip(shared).collect() }
    }

    /// Restores the text.
    ///
    /// A malformed count that exceeds the length of the reference text is cut to that length.
    fn expand(&self, reference: &str) -> EcoString {
        reference.chars().take(usize::from(self.prefix_chars)).chain(self.suffix.chars()).collect()
    }
}

/// Returns the length of an encoded value, in bytes.
///
/// A value that cannot be encoded counts as `MAX_DATAGRAM_BYTES`, so that it fits no datagram.
fn encoded_len(value: &impl Serialize) -> usize {
    postcard::experimental::serialized_size(value).unwrap_or(MAX_DATAGRAM_BYTES)
}
