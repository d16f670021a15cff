//! Tracks requests that crash upstreams and quarantines them.

use indexmap::{IndexMap, IndexSet};

/// The number of confirmed crashes after which a request is quarantined.
const CRASHES_TO_QUARANTINE: u32 = 2;

/// The maximum number of fingerprints remembered as harmless.
const MAX_HARMLESS_ENTRIES: usize = 4_096;

/// Distinguishes requests that may crash upstreams from those that are known to be harmless.
///
/// Guards against one request that crashes each upstream that runs it and that its caller keeps
/// resending: connections are lost mid-request and the upstream returns with another boot id. A
/// crash suspect runs without other suspects, so that no other suspect can cause the second crash.
#[derive(Debug, Clone, Default)]
pub struct CrashSuspects {
    suspected: IndexMap<u64, CrashSuspicion>,
    quarantined_until_us: IndexMap<u64, u64>,
    harmless: IndexSet<u64>,
}

/// The confirmed crashes of upstreams that ran one crash suspect.
#[derive(Debug, Clone, Copy)]
struct CrashSuspicion {
    crashes: u32,
    expires_us: u64,
}

/// The consequence of a confirmed crash for the request that ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashVerdict {
    /// The request may run again, but not beside other suspects.
    Suspected,
    /// The request is refused from now on.
    Quarantined,
}

impl CrashSuspects {
    /// Whether a request is quarantined.
    pub fn is_quarantined(&self, fingerprint: u64, now_us: u64) -> bool {
        self.quarantined_until_us.get(&fingerprint).is_some_and(|until_us| *until_us > now_us)
    }

    /// Whether a request is a crash suspect.
    pub fn is_suspect(&self, fingerprint: u64) -> bool {
        self.suspected.contains_key(&fingerprint)
    }

    /// Whether a request was answered before without a confirmed crash since.
    pub fn is_known_harmless(&self, fingerprint: u64) -> bool {
        self.harmless.contains(&fingerprint)
    }

    /// Records a confirmed crash of an upstream that ran a request.
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

    /// Records that a request was answered: it is harmless and no longer a crash suspect.
    pub fn mark_harmless(&mut self, fingerprint: u64) {
        self.suspected.swap_remove(&fingerprint);
        if self.harmless.len() >= MAX_HARMLESS_ENTRIES {
            self.harmless.swap_remove_index(0);
        }
        self.harmless.insert(fingerprint);
    }

    /// Quarantines a request until a time; never shortens a quarantine.
    pub fn quarantine(&mut self, fingerprint: u64, until_us: u64) {
        let expires_us = self.quarantined_until_us.entry(fingerprint).or_insert(until_us);
        *expires_us = until_us.max(*expires_us);
    }

    /// Removes expired suspicions and quarantines.
    pub fn expire(&mut self, now_us: u64) {
        self.suspected.retain(|_, suspicion| suspicion.expires_us > now_us);
        self.quarantined_until_us.retain(|_, until_us| *until_us > now_us);
    }
}
