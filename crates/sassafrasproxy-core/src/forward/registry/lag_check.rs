//! Decides when a call that waits for changes is aborted, because peers have changes that it lacks.

/// The interval at which a waiting call is compared with the peers' revisions, in microseconds.
const LAG_CHECK_INTERVAL_US: u64 = 500_000;

/// The number of consecutive comparisons that must find this node behind before a call is aborted.
///
/// Two nodes' watches return the same change at most 0.4 s apart, which is the pause after a
/// change: a node that only pauses can seem behind in one comparison, but not in two.
const LAG_CHECK_COUNT: u32 = 2;

/// The comparisons of this node's revision with the peers' while it waits for changes.
///
/// Guards against a stalled connection and a followed peer that is behind: the peers' heartbeats
/// announce the missed revision long before a call times out. The comparisons go on over calls that
/// bring no change, since a call may take less time than they do.
#[derive(Debug, Clone, Default)]
pub struct LagCheck {
    behind_count: u32,
    /// The time of the next comparison, in microseconds; `None` before the first call.
    next_check_us: Option<u64>,
}

impl LagCheck {
    /// Returns the time of the next comparison, in microseconds.
    ///
    /// Starts anew if it is long overdue, since no call has waited meanwhile.
    pub fn next_check_us(&mut self, now_us: u64) -> u64 {
        if self.next_check_us.is_some_and(|check_us| now_us > check_us + LAG_CHECK_INTERVAL_US) {
            self.restart();
        }
        *self.next_check_us.get_or_insert(now_us + LAG_CHECK_INTERVAL_US)
    }

    /// Records a comparison; returns whether the waiting call should be aborted.
    pub fn record(&mut self, now_us: u64, is_behind: bool) -> bool {
        self.next_check_us = Some(now_us + LAG_CHECK_INTERVAL_US);
        self.behind_count = if is_behind { self.behind_count + 1 } else { 0 };
        self.behind_count >= LAG_CHECK_COUNT
    }

    /// Starts anew after a call that brought changes or failed.
    pub fn restart(&mut self) {
        *self = Self::default();
    }
}
