//! How a configuration is laid out in the platform's store.
//!
//! The head is the one commit point. Services stand in chunks that are named by their content, so
//! that a change rewrites, and a node reads, only the chunks that differ; taking a failure domain
//! out rewrites the head alone.
//!
//! A chunk's name is the revision that wrote it and the hash of its text. Guards against a
//! publisher that removes what it replaced while another writes the same content again: the two
//! have different names, so a name that any head can still come to use is never removed.

use ecow::{EcoString, eco_format};
use indexmap::{IndexMap, IndexSet};
use sassafrasproxy_wire::{Configuration, ConfigurationHead, ServiceSpec};
use thiserror::Error;
use xxhash_rust::xxh3::{xxh3_64, xxh3_128};

use crate::check_configuration;

/// The key of the head.
pub const HEAD_KEY: &str = "configuration/head";

/// The size that chunks are laid out for, in bytes; far below the store's largest value.
const TARGET_CHUNK_BYTES: usize = 65_536;

/// One chunk of services.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Chunk {
    /// The revision that wrote it and the hash of its text.
    pub name: EcoString,
    /// The services as JSON.
    pub text: EcoString,
}

/// The error of a configuration that cannot be put together.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum AssembleError {
    /// A chunk that the head names was not given.
    #[error("chunk {name} of revision {revision} is missing; read the head again")]
    MissingChunk {
        /// The chunk.
        name: EcoString,
        /// The revision.
        revision: u64,
    },
    /// A chunk's text is not what its name says.
    #[error("chunk {name} of revision {revision} has other content than its name says")]
    WrongContent {
        /// The chunk.
        name: EcoString,
        /// The revision.
        revision: u64,
    },
    /// A text cannot be read.
    #[error("revision {revision} cannot be read: {detail}; is a publisher newer than this node?")]
    Unreadable {
        /// The revision.
        revision: u64,
        /// What the parser says.
        detail: EcoString,
    },
    /// The configuration is not one that a node can run.
    #[error("revision {revision} is refused: {detail}; publish a corrected one")]
    Refused {
        /// The revision.
        revision: u64,
        /// What is wrong.
        detail: EcoString,
    },
}

impl AssembleError {
    /// Whether reading the same revision again cannot help.
    pub fn is_permanent(&self) -> bool {
        matches!(self, Self::Unreadable { .. } | Self::Refused { .. })
    }
}

/// The key of a chunk.
pub fn chunk_key(name: &str) -> EcoString {
    eco_format!("configuration/chunk/{name}")
}

/// Lays services out in chunks for a revision; a service stays in its chunk while others change.
///
/// A chunk whose content stands among the `known` names keeps that name.
pub fn chunk_services(
    services: &IndexMap<EcoString, ServiceSpec>,
    revision: u64,
    known: &IndexSet<EcoString>,
) -> Vec<Chunk> {
    let total: usize = services.values().map(|service| to_json(service).len()).sum();
    let count = (total / TARGET_CHUNK_BYTES + 1).next_power_of_two();
    let mut buckets: Vec<Vec<&ServiceSpec>> = vec![Vec::new(); count];
    for (name, service) in services {
        buckets[xxh3_64(name.as_bytes()) as usize % count].push(service);
    }
    for bucket in &mut buckets {
        bucket.sort_unstable_by(|a, b| a.service.cmp(&b.service));
    }
    let filled = buckets.iter().filter(|bucket| !bucket.is_empty());
    let name_text = |text: EcoString| {
        let hash = hash_text(&text);
        let known = known.iter().find(|name| hash_from_name(name) == hash);
        let name = known.cloned().unwrap_or_else(|| eco_format!("{revision}-{hash}"));
        Chunk { name, text }
    };
    filled.map(|bucket| name_text(to_json(bucket))).collect()
}

/// Reads the head's text.
pub fn parse_head(text: &str) -> Result<ConfigurationHead, AssembleError> {
    serde_json::from_str(text)
        .map_err(|error| AssembleError::Unreadable { revision: 0, detail: eco_format!("{error}") })
}

/// Puts a configuration together and checks that a node can run it.
pub fn assemble_configuration(
    head: &ConfigurationHead,
    chunks: &IndexMap<EcoString, EcoString>,
) -> Result<Configuration, AssembleError> {
    let revision = head.revision;
    let mut services = IndexMap::new();
    for name in &head.chunks {
        let Some(text) = chunks.get(name) else {
            return Err(AssembleError::MissingChunk { name: name.clone(), revision });
        };
        if hash_text(text) != hash_from_name(name) {
            return Err(AssembleError::WrongContent { name: name.clone(), revision });
        }
        let part: Vec<ServiceSpec> = serde_json::from_str(text).map_err(|error| {
            AssembleError::Unreadable { revision, detail: eco_format!("{error}") }
        })?;
        services.extend(part.into_iter().map(|service| (service.service.clone(), service)));
    }
    let configuration = Configuration { revision, services, domains_out: head.domains_out.clone() };
    check_configuration(&configuration)
        .map_err(|detail| AssembleError::Refused { revision, detail })?;
    Ok(configuration)
}

/// The hash in a chunk's name.
fn hash_from_name(name: &str) -> &str {
    name.split_once('-').map_or("", |(_, hash)| hash)
}

/// The hash of a chunk's text.
fn hash_text(text: &str) -> EcoString {
    eco_format!("{:032x}", xxh3_128(text.as_bytes()))
}

/// Writes a value as JSON.
pub(crate) fn to_json<T: serde::Serialize + ?Sized>(value: &T) -> EcoString {
    let text = serde_json::to_string(value).expect("configuration types always serialize");
    text.into()
}
