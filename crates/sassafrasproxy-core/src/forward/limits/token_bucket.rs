//! Holds this node's tokens of one account.

use crate::forward::limits::shares::TokenBudget;

/// The tokens of an account that this node has earned, and those that peers have granted to it.
///
/// Invariants: `tokens` is at most `capacity`, no lease is used after its end, and each token is in
/// one bucket or in one lease.
#[derive(Debug, Clone)]
pub(super) struct TokenBucket {
    /// The tokens earned; the only ones that are granted to peers.
    tokens: f64,
    capacity: f64,
    rate_per_us: f64,
    refilled_us: u64,
    /// The tokens taken for requests since the bucket was last full. Only so many can be given
    /// back: an earlier one would have overflowed.
    returnable: f64,
    leases: Vec<Lease>,
}

/// Tokens that a peer has granted.
#[derive(Debug, Clone, Copy)]
struct Lease {
    tokens: f64,
    expires_us: u64,
}

/// This node's part of a budget.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct BucketShare {
    pub rate_per_us: f64,
    pub capacity: f64,
    pub initial: f64,
}

impl BucketShare {
    /// Returns a part of a budget.
    pub(super) fn new(budget: &TokenBudget, part: f64) -> Self {
        Self {
            rate_per_us: budget.rate_per_us * part,
            capacity: budget.capacity * part,
            initial: budget.initial * part,
        }
    }
}

impl TokenBucket {
    /// Creates the bucket of an account that was not kept and has earned tokens since `since_us`;
    /// `has_initial` tells whether it held its part of the initial tokens then.
    pub(super) fn new(now_us: u64, since_us: u64, has_initial: bool, share: BucketShare) -> Self {
        let initial = if has_initial { share.initial } else { 0.0 };
        let earned = share.rate_per_us * now_us.saturating_sub(since_us) as f64;
        Self {
            tokens: (initial + earned).min(share.capacity),
            capacity: share.capacity,
            rate_per_us: share.rate_per_us,
            refilled_us: now_us,
            returnable: 0.0,
            leases: Vec::new(),
        }
    }

    /// Replaces this node's share. Nothing is earned for the time before `since_us`, in which the
    /// share may have been smaller.
    pub(super) fn set_share(&mut self, now_us: u64, since_us: u64, share: BucketShare) {
        self.refilled_us = self.refilled_us.max(since_us.min(now_us));
        self.rate_per_us = self.rate_per_us.min(share.rate_per_us);
        self.refill(now_us);
        self.rate_per_us = share.rate_per_us;
        self.capacity = share.capacity;
        self.tokens = self.tokens.min(share.capacity);
    }

    /// Adds what was earned and drops the leases that have ended.
    pub(super) fn refill(&mut self, now_us: u64) {
        let elapsed_us = now_us.saturating_sub(self.refilled_us) as f64;
        self.refilled_us = self.refilled_us.max(now_us);
        self.tokens += self.rate_per_us * elapsed_us;
        if self.tokens >= self.capacity {
            self.tokens = self.capacity;
            self.returnable = 0.0;
        }
        self.leases.retain(|lease| lease.expires_us > now_us);
    }

    /// Returns the tokens that can be used now.
    pub(super) fn available(&self) -> f64 {
        self.tokens + self.leases.iter().map(|lease| lease.tokens).sum::<f64>()
    }

    /// Takes a token if there is one.
    ///
    /// Uses first what would be lost first: earned tokens if the bucket is full, then the leases in
    /// the order of their ends.
    pub(super) fn take(&mut self) -> bool {
        const ONE: f64 = 1.0 - 1e-9;
        if self.available() < ONE {
            return false;
        }
        let mut missing = 1.0;
        if self.tokens >= self.capacity && !self.leases.is_empty() {
            self.take_earned(&mut missing);
        }
        self.leases.sort_by_key(|lease| lease.expires_us);
        for lease in &mut self.leases {
            let part = lease.tokens.min(missing);
            lease.tokens -= part;
            missing -= part;
        }
        self.leases.retain(|lease| lease.tokens > 0.0);
        self.take_earned(&mut missing);
        true
    }

    /// Takes a token if there are `kept` besides, or as many as the bucket holds besides.
    pub(super) fn take_above(&mut self, kept: f64) -> bool {
        let kept = kept.min(self.capacity - 1.0).max(0.0);
        self.available() >= 1.0 + kept && self.take()
    }

    fn take_earned(&mut self, missing: &mut f64) {
        let part = self.tokens.min(*missing);
        self.tokens -= part;
        self.returnable += part;
        *missing -= part;
    }

    /// Returns a token that was taken and not used.
    pub(super) fn give_back(&mut self) {
        let part = self.returnable.min(1.0).min(self.capacity - self.tokens).max(0.0);
        self.returnable -= part;
        self.tokens += part;
    }

    /// Takes up to `wanted` tokens for a peer, but leaves `kept`; returns what was taken.
    pub(super) fn grant(&mut self, wanted: f64, kept: f64) -> f64 {
        let given = wanted.min(self.tokens - kept).max(0.0);
        self.tokens -= given;
        given
    }

    /// Adds tokens that a peer has granted.
    pub(super) fn add_lease(&mut self, tokens: f64, expires_us: u64) {
        self.leases.push(Lease { tokens, expires_us });
    }

    /// Returns whether the bucket holds its capacity and no leases.
    pub(super) fn is_full(&self) -> bool {
        self.tokens >= self.capacity && self.leases.is_empty()
    }
}
