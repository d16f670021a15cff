//! Identifiers and other types that several interfaces share.

use std::fmt::{self, Display, Formatter};
use std::str::FromStr;
use std::sync::Arc;

use ecow::EcoString;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use thiserror::Error;

/// An opaque JSON body that is forwarded byte for byte.
pub type Body = Arc<RawValue>;

/// The number of an index snapshot; a higher number is newer.
pub type SnapshotId = u64;

/// The maximum length of a request id, in bytes.
pub const MAX_REQUEST_ID_BYTES: usize = 128;

/// The id of one shard of a service, written `service/shard`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct ShardId {
    /// The service's name; never empty and without a slash.
    pub service: EcoString,
    /// The shard's name within the service; never empty.
    pub shard: EcoString,
}

impl ShardId {
    /// Creates the id of a shard of a service.
    pub fn new(service: impl Into<EcoString>, shard: impl Into<EcoString>) -> Self {
        Self { service: service.into(), shard: shard.into() }
    }
}

impl Display for ShardId {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.service, self.shard)
    }
}

impl FromStr for ShardId {
    type Err = ShardIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let Some((service, shard)) = text.split_once('/') else {
            return Err(ShardIdError { text: text.into() });
        };
        if service.is_empty() || shard.is_empty() {
            return Err(ShardIdError { text: text.into() });
        }
        Ok(Self::new(service, shard))
    }
}

impl TryFrom<String> for ShardId {
    type Error = ShardIdError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<ShardId> for String {
    fn from(id: ShardId) -> Self {
        id.to_string()
    }
}

/// The error for a text that is not a shard id.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("`{text}` is not a shard id; write it as `service/shard`")]
pub struct ShardIdError {
    /// The invalid text.
    pub text: EcoString,
}
