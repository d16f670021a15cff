//! Backs off from a replica that gives bad answers several times in a row.

/// The number of bad answers in a row that starts a backoff; a single one may be caused by the
/// connection.
const FAILURES_BEFORE_BACKOFF: u32 = 2;

/// The first backoff, in microseconds; it doubles with each further bad answer.
///
/// At ten searches a second, a replica that always fails costs five retries before the longest
/// backoff is reached, half of what the budget for hedges and retries can hold.
const INITIAL_BACKOFF_US: u64 = 100_000;

/// The longest backoff, in microseconds; a repaired replica gets work again after this time.
const MAX_BACKOFF_US: u64 = 1_600_000;

/// Counts a replica's bad answers in a row (mismatched, malformed or failed) and the backoff that
/// they cause.
///
/// Guards against a replica that fails immediately and is therefore never busy and always
/// preferred: each failure needs a retry, the budget for retries is spent within seconds, and from
/// then on callers get answers without the replica's shard. If one of three replicas mismatches all
/// its answers and there is no backoff, only 59 of 1,000 searches are answered; with the backoff,
/// all are (test `faulty_replicas`).
#[derive(Debug, Clone, Copy, Default)]
pub struct FailureBackoff {
    consecutive_failures: u32,
    backoff_until_us: u64,
}

impl FailureBackoff {
    /// Whether other replicas are preferred to this one now.
    pub fn is_backed_off(&self, now_us: u64) -> bool {
        now_us < self.backoff_until_us
    }

    /// Returns the end of the backoff, if it lies in the future.
    pub fn retry_at_us(&self, now_us: u64) -> Option<u64> {
        self.is_backed_off(now_us).then_some(self.backoff_until_us)
    }

    /// Records a bad answer.
    ///
    /// Ignores it during a backoff: its attempt was usually in flight when the backoff began and
    /// shows nothing new.
    pub fn record_failure(&mut self, now_us: u64) {
        if self.is_backed_off(now_us) {
            return;
        }
        self.consecutive_failures += 1;
        if let Some(doublings) = self.consecutive_failures.checked_sub(FAILURES_BEFORE_BACKOFF) {
            let backoff_us = INITIAL_BACKOFF_US << doublings.min(4);
            self.backoff_until_us = now_us + backoff_us.min(MAX_BACKOFF_US);
        }
    }

    /// Records a good answer, which ends the backoff and resets the count.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }
}
