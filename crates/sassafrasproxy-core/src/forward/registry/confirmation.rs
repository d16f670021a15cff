//! Computes the time at which a poll for changes showed that a node's view was current.

/// A poll for changes that was answered, by the store or a followed peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnsweredPoll {
    /// The time at which the poll was sent, in microseconds.
    pub sent_us: u64,
    /// The time at which the answer was processed, in microseconds.
    pub answered_us: u64,
    /// The time for which the source waits for a change before it answers without one, in
    /// microseconds.
    pub wait_us: u64,
    /// Whether the answer contains changes, so that the source may have answered before the wait
    /// was over.
    pub has_changes: bool,
    /// The age of the source's own view when it answered, in microseconds; 0 for the store.
    pub source_age_us: u64,
}

impl AnsweredPoll {
    /// Returns a time at which the node's view was certainly current, in microseconds.
    ///
    /// Guards against an answer that is read late, because the process was paused or the network
    /// lost its packets: the time of its arrival says nothing, only the time of the call does.
    pub fn confirmed_us(&self) -> u64 {
        let waited_us = if self.has_changes { 0 } else { self.wait_us };
        (self.sent_us + waited_us).min(self.answered_us).saturating_sub(self.source_age_us)
    }
}
