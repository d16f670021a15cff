//! Keeping work away from a replica whose answers are no good.

/// How many such answers in a row are the replica's fault: a single one may be its connection's.
const FAULTS_TO_AVOID: u32 = 2;

/// How long a replica is avoided at first, in microseconds.
///
/// At ten searches a second, this and its doublings cost five second sends before the longest
/// pause is reached, half of what the extra budget saves up.
const FIRST_AVOID_US: u64 = 100_000;

/// The longest it is avoided, in microseconds; a mended replica gets work again after this time.
const MAX_AVOID_US: u64 = 1_600_000;

/// Answers in a row that were not good: crossed, cut off, or failures.
///
/// Guards against a replica that fails at once and, never busy, is asked first for everything:
/// each of its failures takes a second send, the budget for these is spent in seconds, and from
/// then on callers get answers without its shard. Where one of three replicas crossed all answers,
/// 59 of 1,000 searches were answered before, and all now (`faulty_replicas`).
#[derive(Debug, Clone, Copy, Default)]
pub struct FaultStreak {
    faults: u32,
    avoid_until_us: u64,
}

impl FaultStreak {
    /// Whether other replicas should be asked instead.
    pub fn is_avoided(&self, now_us: u64) -> bool {
        now_us < self.avoid_until_us
    }

    /// When the replica is worth another try, if that is still to come.
    pub fn retry_us(&self, now_us: u64) -> Option<u64> {
        self.is_avoided(now_us).then_some(self.avoid_until_us)
    }

    /// Takes an answer that was no good into account.
    ///
    /// Those that were under way when the pause began say nothing new.
    pub fn note_fault(&mut self, now_us: u64) {
        if self.is_avoided(now_us) {
            return;
        }
        self.faults += 1;
        if let Some(doublings) = self.faults.checked_sub(FAULTS_TO_AVOID) {
            let avoid_us = FIRST_AVOID_US << doublings.min(4);
            self.avoid_until_us = now_us + avoid_us.min(MAX_AVOID_US);
        }
    }

    /// Ends the streak by a good answer.
    pub fn note_good(&mut self) {
        *self = Self::default();
    }
}
