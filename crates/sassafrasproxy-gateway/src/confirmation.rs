//! Shares with the traffic thread when this node's view was last known to be current.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use sassafrasproxy_config::GatewaySettings;
use sassafrasproxy_core::{KeyFreshness, US_PER_MS};

/// Returns the bounds on changed keys, if the settings have any.
pub fn key_freshness(settings: &GatewaySettings) -> Option<KeyFreshness> {
    settings.accounts.map(|accounts| KeyFreshness {
        revoke_us: accounts.revoke_ms * US_PER_MS,
        is_strict: accounts.revoke_strict,
    })
}

/// The time at which this node's view was last known to be current; clones share it.
///
/// Kept apart from the view, since most confirmations change nothing else.
#[derive(Debug, Clone, Default)]
pub struct ViewConfirmation {
    /// The time in microseconds of the process's clock; 0 if the view was never confirmed.
    confirmed_us: Arc<AtomicU64>,
}

impl ViewConfirmation {
    /// Records that the view was current at a time, in microseconds; an earlier time is ignored.
    ///
    /// The changes known by then must have been published to the traffic thread before.
    pub fn record(&self, confirmed_us: u64) {
        self.confirmed_us.fetch_max(confirmed_us, Ordering::Release);
    }

    /// Returns the time since the view was last known to be current, in microseconds; `None` if it
    /// never was.
    pub fn age_us(&self, now_us: u64) -> Option<u64> {
        let confirmed_us = self.confirmed_us.load(Ordering::Acquire);
        (confirmed_us > 0).then(|| now_us.saturating_sub(confirmed_us))
    }
}
