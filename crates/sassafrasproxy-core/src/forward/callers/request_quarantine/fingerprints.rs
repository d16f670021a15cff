//! Defines the hashes by which the quarantine knows a request.

use std::iter::once;

use xxhash_rust::xxh3::Xxh3;

/// The maximum number of query parameters of a request that get a hash of their own.
const MAX_PARAMETERS: usize = 8;

/// The hashes by which the quarantine knows a request.
///
/// Crash reports and answers count for the exact request, so that neither tells anything of another
/// query of the path or of another client account. A caller that changes a parameter or account with
/// each repeat sends a new request each time, though; such repeats are found by what they share.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestFingerprints {
    /// The hash of the host, method, path, query, body and client account.
    pub exact: u64,
    /// The hash of the host, method, path and body, and one of these with each query parameter.
    pub shared: Vec<u64>,
}

/// The parts of a request that its fingerprints are made of.
#[derive(Debug, Clone, Copy)]
pub struct FingerprintedRequest<'a> {
    /// The host.
    pub host: &'a str,
    /// The HTTP method.
    pub method: &'a str,
    /// The path.
    pub path: &'a str,
    /// The query, as sent; empty if there is none.
    pub query: &'a str,
    /// The body.
    pub body: &'a [u8],
    /// The name of the client account; empty if there is none.
    pub account: &'a str,
}

impl RequestFingerprints {
    /// Returns the fingerprints of a request.
    pub fn new(request: &FingerprintedRequest) -> Self {
        let exact =
            request.hash_with(&[b"exact", request.query.as_bytes(), request.account.as_bytes()]);
        Self::with_exact(exact, request)
    }

    /// Returns the fingerprints of a request whose exact hash another node has computed.
    pub fn with_exact(exact: u64, request: &FingerprintedRequest) -> Self {
        let parameters = request.query.split('&').filter(|parameter| !parameter.is_empty());
        let parameters = parameters.take(MAX_PARAMETERS);
        let parameters =
            parameters.map(|parameter| request.hash_with(&[b"parameter", parameter.as_bytes()]));
        let shared = once(request.hash_with(&[])).chain(parameters);
        // A node of an earlier build takes the hash of the path for the exact one.
        Self { exact, shared: shared.filter(|hash| *hash != exact).collect() }
    }

    /// Returns all hashes, the exact one first.
    pub fn all(&self) -> impl Iterator<Item = u64> {
        once(self.exact).chain(self.shared.iter().copied())
    }
}

impl FingerprintedRequest<'_> {
    /// Returns the hash of the host, method, path, body and further parts.
    ///
    /// Without further parts it is the only fingerprint that nodes of earlier builds know.
    fn hash_with(&self, further: &[&[u8]]) -> u64 {
        let common =
            [self.host.as_bytes(), self.method.as_bytes(), self.path.as_bytes(), self.body];
        hash_parts(common.into_iter().chain(further.iter().copied()))
    }
}

/// Returns a hash of parts that depends on where each of them ends.
pub fn hash_parts<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> u64 {
    let mut hash = Xxh3::new();
    for part in parts {
        hash.update(&part.len().to_le_bytes());
        hash.update(part);
    }
    hash.digest()
}
