//! Client accounts: who callers are, by their keys, and what each account may ask.

use ecow::EcoString;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// The context that separates these key hashes from other uses of the same hash function.
const KEY_CONTEXT: &str = "sassafrasproxy client account key";

/// All client accounts of one configuration.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ClientAccounts {
    /// The salt of the key hashes; the same for all accounts of a configuration.
    pub salt: KeySalt,
    /// The accounts, by name.
    pub accounts: IndexMap<EcoString, ClientAccount>,
}

/// A client account: callers that share its keys, priority and rate limit.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ClientAccount {
    /// The account's name; unique in its configuration. Replicas are told it.
    pub name: EcoString,
    /// The hashes of the keys that callers of the account present.
    pub key_hashes: Vec<KeyHash>,
    /// The priority of the account's requests, which goes before that of the route; 0 is the most
    /// urgent and `None` leaves it to the route.
    pub priority: Option<u32>,
    /// The limit on the rate of the account's requests; `None` if there is no limit.
    pub rate_limit: Option<RateLimit>,
}

/// The limit on the rate of an account's requests to all nodes together.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct RateLimit {
    /// The requests per second; above 0.
    pub rate_per_s: f64,
    /// The requests that may come at once after a pause; 0 or more.
    pub burst: f64,
}

/// A salt for the hashes of keys.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct KeySalt([u8; 32]);

impl KeySalt {
    /// Derives a salt from the bytes of a configuration, so that each version has another one.
    pub fn derive(configuration: &[u8]) -> Self {
        Self(blake3::derive_key(KEY_CONTEXT, configuration))
    }
}

/// A keyed hash of an account's key; the key itself is not kept.
///
/// Comparison takes constant time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(from = "[u8; 32]", into = "[u8; 32]")]
pub struct KeyHash(blake3::Hash);

impl KeyHash {
    /// Hashes a key.
    pub fn new(salt: &KeySalt, key: &str) -> Self {
        Self(blake3::keyed_hash(&salt.0, key.as_bytes()))
    }
}

impl From<[u8; 32]> for KeyHash {
    fn from(bytes: [u8; 32]) -> Self {
        Self(bytes.into())
    }
}

impl From<KeyHash> for [u8; 32] {
    fn from(hash: KeyHash) -> Self {
        hash.0.into()
    }
}
