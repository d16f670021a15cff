//! The layout of a configuration in the platform's store.
//!
//! The head is the only commit point. Services are stored in chunks whose names depend on their
//! content, so a change rewrites only the chunks that differ, and a node reads only those. Taking
//! a failure domain out of service rewrites only the head.
//!
//! A chunk's name consists of the revision that wrote it and the hash of its text. While one
//! publisher deletes a chunk that it replaced, another may write the same content again. The
//! revision gives the two chunks different names, so the deletion does not remove a chunk that the
//! other publisher's head references.

use ecow::{EcoString, eco_format};
use indexmap::{IndexMap, IndexSet};
use sassafrasproxy_wire::{Configuration, ConfigurationHead, ServiceSpec};
use thiserror::Error;
use xxhash_rust::xxh3::{xxh3_64, xxh3_128};

use crate::check_configuration;

/// The store key of the configuration head.
pub const HEAD_KEY: &str = "configuration/head";

/// The target for the average chunk size, in bytes; far below the largest value that the store
/// accepts.
const TARGET_CHUNK_BYTES: usize = 65_536;

/// One chunk of services.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Chunk {
    /// The revision that wrote the chunk and the hash of its text, as `revision-hash`.
    pub name: EcoString,
    /// The services, as a JSON array.
    pub text: EcoString,
}

/// The reason why a configuration cannot be assembled from its head and chunks.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum AssembleError {
    /// A chunk that the head references is missing.
    #[error("chunk {name} of revision {revision} is missing; read the head again")]
    MissingChunk {
        /// The chunk's name.
        name: EcoString,
        /// The revision.
        revision: u64,
    },
    /// The text of a chunk does not match the hash in the chunk's name.
    #[error(
        "content of chunk {name} of revision {revision} does not match its name; read it again"
    )]
    WrongContent {
        /// The chunk's name.
        name: EcoString,
        /// The revision.
        revision: u64,
    },
    /// The head or a chunk is not valid JSON of the expected shape.
    #[error(
        "revision {revision} cannot be read: {detail}; update this node if the publisher is newer"
    )]
    Unreadable {
        /// The revision; 0 if the head itself cannot be read.
        revision: u64,
        /// The parser's error message.
        detail: EcoString,
    },
    /// The configuration breaks a rule that nodes rely on.
    #[error("revision {revision} is rejected: {detail}; publish a corrected configuration")]
    Refused {
        /// The revision.
        revision: u64,
        /// The rule that it breaks.
        detail: EcoString,
    },
}

impl AssembleError {
    /// Whether reading the same revision again gives the same error.
    pub fn is_permanent(&self) -> bool {
        matches!(self, Self::Unreadable { .. } | Self::Refused { .. })
    }
}

/// Returns the store key of a chunk.
pub fn chunk_key(name: &str) -> EcoString {
    eco_format!("configuration/chunk/{name}")
}

/// Splits services into chunks for a revision.
///
/// A service is assigned to a chunk by the hash of its name, so it stays in its chunk while other
/// services change. The number of chunks is a power of two that depends on the total size.
/// A chunk whose content hash is part of one of the `existing_names` gets that name.
pub fn chunk_services(
    services: &IndexMap<EcoString, ServiceSpec>,
    revision: u64,
    existing_names: &IndexSet<EcoString>,
) -> Vec<Chunk> {
    let total_bytes: usize = services.values().map(|service| to_json(service).len()).sum();
    let count = (total_bytes / TARGET_CHUNK_BYTES + 1).next_power_of_two();
    let mut buckets: Vec<Vec<&ServiceSpec>> = vec![Vec::new(); count];
    for (name, service) in services {
        buckets[xxh3_64(name.as_bytes()) as usize % count].push(service);
    }
    for bucket in &mut buckets {
        bucket.sort_unstable_by(|a, b| a.service.cmp(&b.service));
    }
    let non_empty = buckets.iter().filter(|bucket| !bucket.is_empty());
    let to_chunk = |text: EcoString| {
        let hash = hash_text(&text);
        let existing_name = existing_names.iter().find(|name| hash_from_name(name) == hash);
        let name = existing_name.cloned().unwrap_or_else(|| eco_format!("{revision}-{hash}"));
        Chunk { name, text }
    };
    non_empty.map(|bucket| to_chunk(to_json(bucket))).collect()
}

/// Parses the text of a configuration head.
///
/// Returns [`AssembleError::Unreadable`] with revision 0 if the text cannot be parsed.
pub fn parse_head(text: &str) -> Result<ConfigurationHead, AssembleError> {
    serde_json::from_str(text)
        .map_err(|error| AssembleError::Unreadable { revision: 0, detail: eco_format!("{error}") })
}

/// Assembles a configuration from its head and the texts of its chunks by name, and checks it.
///
/// Returns an error if a chunk is missing, damaged or unreadable, or if the configuration breaks a
/// rule of [`check_configuration`].
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
        let specs: Vec<ServiceSpec> = serde_json::from_str(text).map_err(|error| {
            AssembleError::Unreadable { revision, detail: eco_format!("{error}") }
        })?;
        services.extend(specs.into_iter().map(|service| (service.service.clone(), service)));
    }
    let configuration = Configuration { revision, services, domains_out: head.domains_out.clone() };
    check_configuration(&configuration)
        .map_err(|detail| AssembleError::Refused { revision, detail })?;
    Ok(configuration)
}

/// Returns the hash in a chunk's name, or an empty string if the name has none.
fn hash_from_name(name: &str) -> &str {
    name.split_once('-').map_or("", |(_, hash)| hash)
}

/// Returns the hash of a chunk's text, in hexadecimal.
fn hash_text(text: &str) -> EcoString {
    eco_format!("{:032x}", xxh3_128(text.as_bytes()))
}

/// Serializes a value as JSON.
pub(crate) fn to_json<T: serde::Serialize + ?Sized>(value: &T) -> EcoString {
    let text = serde_json::to_string(value).expect("configuration types always serialize");
    text.into()
}
