//! Requests that upstreams died under.

use indexmap::{IndexMap, IndexSet};

/// How many confirmed deaths quarantine a request.
const DEATHS_TO_QUARANTINE: u32 = 2;

/// How many fingerprints that did no harm are remembered.
const PROVEN_CAPACITY: usize = 4_096;

/// Keeps apart the requests that may crash upstreams from those that are proven harmless.
///
/// Guards against one request that crashes each upstream that runs it and is sent again by its
/// caller: it shows as connections lost mid-request followed by another boot id. A request
/// that upstreams died under is tried alone, so that the second death can only be its own.
#[derive(Debug, Clone, Default)]
pub struct Suspects {
    deaths: IndexMap<u64, Suspicion>,
    quarantined: IndexMap<u64, u64>,
    proven: IndexSet<u64>,
}

/// One request under suspicion.
#[derive(Debug, Clone, Copy)]
struct Suspicion {
    deaths: u32,
    expires_us: u64,
}

/// What a confirmed death under a request means for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It may be tried again, alone.
    Suspected,
    /// It is refused from now on.
    Quarantined,
}

impl Suspects {
    /// Whether a request is refused.
    pub fn is_quarantined(&self, fingerprint: u64, now_us: u64) -> bool {
        self.quarantined.get(&fingerprint).is_some_and(|until_us| *until_us > now_us)
    }

    /// Whether a request must be tried alone.
    pub fn is_suspect(&self, fingerprint: u64) -> bool {
        self.deaths.contains_key(&fingerprint)
    }

    /// Whether a request ran before and did no harm.
    pub fn is_proven(&self, fingerprint: u64) -> bool {
        self.proven.contains(&fingerprint)
    }

    /// Counts an upstream's confirmed death under a request.
    pub fn count_death(&mut self, fingerprint: u64, now_us: u64, ttl_us: u64) -> Verdict {
        self.proven.swap_remove(&fingerprint);
        let expires_us = now_us + ttl_us;
        let suspicion =
            self.deaths.entry(fingerprint).or_insert(Suspicion { deaths: 0, expires_us });
        suspicion.deaths += 1;
        suspicion.expires_us = expires_us;
        if suspicion.deaths < DEATHS_TO_QUARANTINE {
            return Verdict::Suspected;
        }
        self.deaths.swap_remove(&fingerprint);
        self.quarantine(fingerprint, expires_us);
        Verdict::Quarantined
    }

    /// Clears a request that was answered.
    pub fn clear(&mut self, fingerprint: u64) {
        self.deaths.swap_remove(&fingerprint);
        if self.proven.len() >= PROVEN_CAPACITY {
            self.proven.swap_remove_index(0);
        }
        self.proven.insert(fingerprint);
    }

    /// Refuses a request until a time.
    pub fn quarantine(&mut self, fingerprint: u64, until_us: u64) {
        let until = self.quarantined.entry(fingerprint).or_insert(until_us);
        *until = until_us.max(*until);
    }

    /// Forgets what has expired.
    pub fn expire(&mut self, now_us: u64) {
        self.deaths.retain(|_, suspicion| suspicion.expires_us > now_us);
        self.quarantined.retain(|_, until_us| *until_us > now_us);
    }
}
