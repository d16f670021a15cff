//! The datagrams between nodes, and their form on the wire.

use ecow::EcoString;
use sassafrasproxy_wire::{MemberState, MemberUpdate};
use serde::{Deserialize, Serialize};

use crate::{CrashReport, Digests, Member, TrialReport};

/// The first byte of each datagram; raised with each change that older nodes cannot read.
const FORMAT: u8 = 2;

/// The largest datagram, in bytes: with its headers it fits the usual MTU of 1,500.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;

/// One datagram between nodes.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PeerDatagram {
    /// What it is for.
    pub kind: DatagramKind,
    /// Who sends it.
    pub sender: DatagramSender,
    /// A hash over the sender's members that are not dead, to notice a difference.
    pub members_hash: u64,
    /// The newest revision of the store that the sender has heard of.
    pub latest: LatestRevision,
    /// Whether the store turns the sender away.
    pub is_store_unavailable: bool,
    /// Deaths of replicas under requests that were reported lately.
    pub crash_reports: Vec<CrashReport>,
    /// Roll-outs that were stopped lately, by the store's revision of their orders.
    pub stopped_rollouts: Vec<u64>,
    /// What the sender has counted in trials of versions, for the node that decides.
    pub trial_reports: Vec<TrialReport>,
    /// Hashes over a part of the sender's members, while the two differ.
    pub digests: Option<Digests>,
    /// What the receiver may not know of members.
    pub updates: Vec<GossipUpdate>,
}

impl PeerDatagram {
    /// The bytes to send.
    pub fn encode(&self) -> Result<Vec<u8>, DatagramError> {
        postcard::to_extend(self, vec![FORMAT]).map_err(DatagramError::EncodeFailed)
    }

    /// Reads the bytes of a datagram.
    pub fn decode(bytes: &[u8]) -> Result<Self, DatagramError> {
        match bytes.split_first() {
            Some((&FORMAT, body)) => postcard::from_bytes(body).map_err(DatagramError::Malformed),
            Some((&format, _)) => Err(DatagramError::UnsupportedFormat { format }),
            None => Err(DatagramError::Empty),
        }
    }

    /// Adds news until the datagram is full.
    pub fn fill(&mut self, news: impl IntoIterator<Item = GossipUpdate>) {
        // The format's byte, and two for a longer count of news.
        let mut length = 3 + encoded_len(self);
        for one in news {
            length += encoded_len(&one);
            if length > MAX_DATAGRAM_BYTES {
                return;
            }
            self.updates.push(one);
        }
    }
}

/// Why a datagram cannot be read or written.
#[derive(Debug, thiserror::Error)]
pub enum DatagramError {
    /// It has no bytes.
    #[error("the datagram is empty; is another program using the port?")]
    Empty,
    /// It is of another version of the program, or of another program.
    #[error("the datagram has format {format}, not {FORMAT}; do all nodes run this version?")]
    UnsupportedFormat {
        /// The first byte.
        format: u8,
    },
    /// It begins like one of this version and is none.
    #[error("the datagram is damaged: {0}; the sender will try again")]
    Malformed(#[source] postcard::Error),
    /// It cannot be written.
    #[error("the datagram cannot be written: {0}; report this as a fault")]
    EncodeFailed(#[source] postcard::Error),
}

/// What a datagram is for, in the order of an exchange.
///
/// Nodes that agree on the members stop after the answer. Each later step is taken only while they
/// still differ, so an exchange has five datagrams at most.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum DatagramKind {
    /// Asks whether the receiver is alive.
    Probe,
    /// Answers a probe, with recent news if the two differ.
    Answer,
    /// Returns recent news, and digests.
    Compare,
    /// Returns what differs by the digests, and digests of its own.
    Differences,
    /// Returns what still differs.
    Rest,
    /// Tells something that cannot wait for a probe.
    Notice,
}

impl DatagramKind {
    /// Its name in metrics.
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

/// The sender of a datagram, as it sees itself.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct DatagramSender {
    /// Its name.
    pub node: EcoString,
    /// Raised only by itself.
    pub incarnation: u64,
    /// Its state.
    pub state: MemberState,
}

/// The newest revision of the store that anybody was heard to follow to.
///
/// Passed on with each datagram, as a node of a large fleet hears from each other one only now and
/// then: a node whose watch went silent must know within seconds that there is more.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LatestRevision {
    /// The revision.
    pub revision: u64,
    /// The peer address of a node that follows the store so far.
    pub peer_address: EcoString,
}

/// News on one member.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum GossipUpdate {
    /// Everything on a member that the receiver may not know.
    Full(CompactMember),
    /// The state of a member that the receiver knows.
    StateOnly {
        /// The hash of its name.
        name_hash: u64,
        /// Its incarnation.
        incarnation: u64,
        /// Its state.
        state: MemberState,
    },
}

impl GossipUpdate {
    /// Everything on a member.
    pub fn full(member: &Member) -> Self {
        Self::Full(CompactMember::new(&member.to_update()))
    }

    /// The state of a member.
    pub fn state_only(member: &Member) -> Self {
        Self::StateOnly {
            name_hash: member.name_hash,
            incarnation: member.incarnation,
            state: member.state,
        }
    }
}

/// A member whose addresses are shortened by what they share.
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
    /// Shortens a member.
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

    /// The member as it was.
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

/// A text that begins like another one.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
struct PrefixCompressed {
    /// How many characters they share.
    prefix_chars: u8,
    suffix: EcoString,
}

impl PrefixCompressed {
    fn new(text: &str, other: &str) -> Self {
        let pairs = text.chars().zip(other.chars()).take(usize::from(u8::MAX));
        let shared = pairs.take_while(|(one, two)| one == two).count();
        Self { prefix_chars: shared as u8, suffix: text.chars().skip(shared).collect() }
    }

    /// The text; what a damaged count claims beyond the other text is left out.
    fn expand(&self, other: &str) -> EcoString {
        other.chars().take(usize::from(self.prefix_chars)).chain(self.suffix.chars()).collect()
    }
}

/// The length of a value on the wire, in bytes; one that cannot be written fills any datagram.
fn encoded_len(value: &impl Serialize) -> usize {
    postcard::experimental::serialized_size(value).unwrap_or(MAX_DATAGRAM_BYTES)
}
