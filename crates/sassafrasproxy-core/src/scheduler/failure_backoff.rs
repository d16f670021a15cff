//! Keeping work away from a replica whose answers are no good.

/// How many such answers in a row are the replica's fault: a single one may be its connection's.
const FAILURES_BEFORE_BACKOFF: u32 = 2;

/// How long a replica is avoided at first, in microseconds.
///
/// At ten searches a second, this and its doublings cost five second sends before the longest
/// pause is reached, half of what the extra budget saves up.
const INITIAL_BACKOFF_US: u64 = 100_000;

/// The longest it is avoided, in microseconds; a mended replica gets work again after this time.
const MAX_BACKOFF_US: u64 = 1_600_000;

/// Answers in a row that were not good: crossed, cut off, or failures.
///
/// Guards against a replica that fails at once and, never busy, is asked first for everything:
/// each of its failures takes a second send, the budget for these is spent in seconds, and from
/// then on callers get answers without its shard. Where one of three replicas crossed all answers,
/// 59 of 1,000 searches were answered before, and all now (`faulty_replicas`).
#[derive(Debug, Clone, Copy, Default)]
pub struct FailureBackoff {
    consecutive_failures: u32,
    backoff_until_us: u64,
}

impl FailureBackoff {
    /// Whether other replicas should be asked instead.
    pub fn is_backed_off(&self, now_us: u64) -> bool {
        now_us < self.backoff_until_us
    }

    /// When the replica is worth another try, if that is still to come.
    pub fn retry_at_us(&self, now_us: u64) -> Option<u64> {
        self.is_backed_off(now_us).then_some(self.backoff_until_us)
    }

    /// Takes an answer that was no good into account.
    ///
    /// Those that were under way when the pause began say nothing new.
    pub fn record_failure(&mut self, now_us: u64) {
        if self.is_backed_off(now_us) {
            return;
        }
        self.consecutive_failures += 1;
        if let Some(doublings) = self.consecutive_failures.checked_sub(FAILURES_BEFORE_BACKOFF) {
            let avoid_us = INITIAL_BACKOFF_US << doublings.min(4);
            self.backoff_until_us = now_us + avoid_us.min(MAX_BACKOFF_US);
        }
    }

    /// Ends the streak by a good answer.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }
}
