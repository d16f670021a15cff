//! Requests that upstreams died under.

use indexmap::{IndexMap, IndexSet};

/// How many confirmed deaths quarantine a request.
const CRASHES_TO_QUARANTINE: u32 = 2;

/// How many fingerprints that did no harm are remembered.
const MAX_HARMLESS_ENTRIES: usize = 4_096;

/// Keeps apart the requests that may crash upstreams from those that are proven harmless.
///
/// Guards against one request that crashes each upstream that runs it and is sent again by its
/// caller: it shows as connections lost mid-request followed by another boot id. A request
/// that upstreams died under is tried alone, so that the second death can only be its own.
#[derive(Debug, Clone, Default)]
pub struct CrashSuspects {
    suspected: IndexMap<u64, CrashSuspicion>,
    quarantined_until_us: IndexMap<u64, u64>,
    harmless: IndexSet<u64>,
}

/// One request under suspicion.
#[derive(Debug, Clone, Copy)]
struct CrashSuspicion {
    crashes: u32,
    expires_us: u64,
}

/// What a confirmed death under a request means for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashVerdict {
    /// It may be tried again, alone.
    Suspected,
    /// It is refused from now on.
    Quarantined,
}

impl CrashSuspects {
    /// Whether a request is refused.
    pub fn is_quarantined(&self, fingerprint: u64, now_us: u64) -> bool {
        self.quarantined_until_us.get(&fingerprint).is_some_and(|until_us| *until_us > now_us)
    }

    /// Whether a request must be tried alone.
    pub fn is_suspect(&self, fingerprint: u64) -> bool {
        self.suspected.contains_key(&fingerprint)
    }

    /// Whether a request ran before and did no harm.
    pub fn is_known_harmless(&self, fingerprint: u64) -> bool {
        self.harmless.contains(&fingerprint)
    }

    /// Counts an upstream's confirmed death under a request.
    pub fn record_crash(&mut self, fingerprint: u64, now_us: u64, ttl_us: u64) -> CrashVerdict {
        self.harmless.swap_remove(&fingerprint);
        let expires_us = now_us + ttl_us;
        let suspicion =
            self.suspected.entry(fingerprint).or_insert(CrashSuspicion { crashes: 0, expires_us });
        suspicion.crashes += 1;
        suspicion.expires_us = expires_us;
        if suspicion.crashes < CRASHES_TO_QUARANTINE {
            return CrashVerdict::Suspected;
        }
        self.suspected.swap_remove(&fingerprint);
        self.quarantine(fingerprint, expires_us);
        CrashVerdict::Quarantined
    }

    /// Clears a request that was answered.
    pub fn mark_harmless(&mut self, fingerprint: u64) {
        self.suspected.swap_remove(&fingerprint);
        if self.harmless.len() >= MAX_HARMLESS_ENTRIES {
            self.harmless.swap_remove_index(0);
        }
        self.harmless.insert(fingerprint);
    }

    /// Refuses a request until a time.
    pub fn quarantine(&mut self, fingerprint: u64, until_us: u64) {
        let until = self.quarantined_until_us.entry(fingerprint).or_insert(until_us);
        *until = until_us.max(*until);
    }

    /// Forgets what has expired.
    pub fn expire(&mut self, now_us: u64) {
        self.suspected.retain(|_, suspicion| suspicion.expires_us > now_us);
        self.quarantined_until_us.retain(|_, until_us| *until_us > now_us);
    }
}
