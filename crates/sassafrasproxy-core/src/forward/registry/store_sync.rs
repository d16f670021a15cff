//! Decides how a node follows the store: by a list, then by watches, and by a new list if needed.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::US_PER_MS;

/// The maximum time beyond its wait for which the answer to a watch is awaited, in milliseconds.
const MAX_WATCH_TIMEOUT_MS: u64 = 1_500;

/// The timeouts and delays of the loop that follows the store.
///
/// A store that is silent takes a call and may never answer it, also once it is back, and nothing but
/// the time shows that. An outage can begin and end at any moment of a call. So the wait and the
/// timeout of each watch, the pause after it and the next call together take less than the time in
/// which a node must have caught up with the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreSyncPolicy {
    /// The time for which a watch waits for a change, in milliseconds.
    pub watch_wait_ms: u64,
    /// The time for which a watch waits for a change after a failed call, in milliseconds.
    ///
    /// Short, so that an answer soon shows that the store is back.
    pub retry_wait_ms: u64,
    /// The time beyond its wait for which the answer to a watch is awaited, in milliseconds.
    pub watch_timeout_ms: u64,
    /// The delay between a change and the start of the next watch, in microseconds.
    ///
    /// The delay lets changes share a call. It counts towards the three seconds within which a
    /// change must be active, and it is shorter than the interval between two comparisons with
    /// peers, so that a node that pauses does not look disconnected.
    pub coalesce_delay_us: u64,
    /// The longest pause after a first failure, in microseconds.
    ///
    /// Doubles with each further failure in a row, up to `max_backoff_us`.
    pub initial_backoff_us: u64,
    /// The maximum pause after a failure, in microseconds.
    ///
    /// Even if all nodes of a fleet retry at this interval, they stay far below the store's rate
    /// limit for reads.
    pub max_backoff_us: u64,
}

impl StoreSyncPolicy {
    /// Creates the policy of a node that must have caught up with the store `recovery_ms` after any
    /// outage.
    ///
    /// A watch that hangs takes half of that time at most. The rest is for the pause and the call
    /// after it, for the followers of this node, and for replicas to register again.
    pub fn new(recovery_ms: u64) -> Self {
        Self {
            watch_wait_ms: recovery_ms / 4,
            retry_wait_ms: recovery_ms / 16,
            watch_timeout_ms: (recovery_ms / 4).min(MAX_WATCH_TIMEOUT_MS),
            coalesce_delay_us: 400_000,
            initial_backoff_us: 100_000,
            max_backoff_us: 800_000.min(recovery_ms * US_PER_MS / 4),
        }
    }
}

/// The next step of the loop that follows the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreStep {
    /// Reads a page of the whole list; the first page if no key is given.
    List {
        /// The last key of the previous page.
        after_key: Option<ecow::EcoString>,
    },
    /// Waits for changes after a revision.
    Watch {
        /// The revision.
        after_revision: u64,
        /// The maximum time to wait, in milliseconds.
        wait_ms: u64,
        /// The time beyond the wait after which the call has failed, in milliseconds.
        timeout_ms: u64,
    },
    /// Does nothing until a time.
    Pause {
        /// The time, in microseconds.
        until_us: u64,
    },
}

/// The outcome of a call to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreCallOutcome {
    /// A page of the list was received.
    Page {
        /// The store's revision.
        revision: u64,
        /// The last key of the page; `None` if no other page follows.
        next_after_key: Option<ecow::EcoString>,
    },
    /// A watch ended, by a change or by its timeout.
    WatchCompleted {
        /// The revision to continue from.
        revision: u64,
        /// Whether the watch returned changes.
        has_changes: bool,
    },
    /// The store has compacted the history that the watch needs.
    HistoryCompacted,
    /// The call failed.
    Failed,
}

/// The state of the loop that follows the store.
#[derive(Debug)]
pub struct StoreSync {
    policy: StoreSyncPolicy,
    rng: StdRng,
    phase: Phase,
    consecutive_failures: u32,
    pause_until_us: u64,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Phase {
    /// Reads the list.
    ///
    /// Keeps the first page's revision, because the watch must return the changes made while later
    /// pages are read.
    Listing { after_key: Option<ecow::EcoString>, first_revision: Option<u64> },
    /// Watches for changes after a revision.
    Watching { after_revision: u64 },
}

impl StoreSync {
    /// Creates a loop that starts with a list; `seed` seeds the jitter of the backoff.
    pub fn new(policy: StoreSyncPolicy, seed: u64) -> Self {
        Self {
            policy,
            rng: StdRng::seed_from_u64(seed),
            phase: Phase::Listing { after_key: None, first_revision: None },
            consecutive_failures: 0,
            pause_until_us: 0,
        }
    }

    /// Returns the next step.
    pub fn next_step(&self, now_us: u64) -> StoreStep {
        if now_us < self.pause_until_us {
            return StoreStep::Pause { until_us: self.pause_until_us };
        }
        match &self.phase {
            Phase::Listing { after_key, .. } => StoreStep::List { after_key: after_key.clone() },
            Phase::Watching { after_revision } => StoreStep::Watch {
                after_revision: *after_revision,
                wait_ms: match self.consecutive_failures {
                    0 => self.policy.watch_wait_ms,
                    _ => self.policy.retry_wait_ms,
                },
                timeout_ms: self.policy.watch_timeout_ms,
            },
        }
    }

    /// Records the outcome of a call; returns whether it completed a list.
    pub fn record_outcome(&mut self, now_us: u64, outcome: StoreCallOutcome) -> bool {
        match outcome {
            StoreCallOutcome::Page { revision, next_after_key } => {
                self.consecutive_failures = 0;
                return self.record_page(revision, next_after_key);
            }
            StoreCallOutcome::WatchCompleted { revision, has_changes } => {
                self.consecutive_failures = 0;
                self.phase = Phase::Watching { after_revision: revision };
                if has_changes {
                    self.pause_until_us = now_us + self.policy.coalesce_delay_us;
                }
            }
            StoreCallOutcome::HistoryCompacted => self.restart_list(),
            StoreCallOutcome::Failed => {
                // An interrupted list restarts from its first page, which may be outdated by now.
                if matches!(self.phase, Phase::Listing { .. }) {
                    self.restart_list();
                }
                self.pause_until_us = now_us + self.backoff_us();
                self.consecutive_failures += 1;
            }
        }
        false
    }

    /// Returns the revision up to which all entries are known; 0 before the first list has ended.
    ///
    /// After a list of several pages, this is the revision of the first page, because changes made
    /// while later pages were read arrive only with the watch.
    pub fn synced_revision(&self) -> u64 {
        match self.phase {
            Phase::Listing { .. } => 0,
            Phase::Watching { after_revision } => after_revision,
        }
    }

    /// Continues with a watch after a revision up to which all entries were learned from a peer,
    /// without a list.
    pub fn resume_from(&mut self, revision: u64) {
        self.phase = Phase::Watching { after_revision: revision };
    }

    /// Records that all entries up to a revision were learned from a peer; 0 if none were.
    pub fn advance_to(&mut self, revision: u64) {
        if revision > self.synced_revision() {
            self.resume_from(revision);
        }
    }

    fn record_page(&mut self, revision: u64, next_after_key: Option<ecow::EcoString>) -> bool {
        let known = match &self.phase {
            Phase::Listing { first_revision, .. } => *first_revision,
            Phase::Watching { .. } => None,
        };
        let first_revision = known.unwrap_or(revision);
        let is_last = next_after_key.is_none();
        self.phase = match next_after_key {
            None => Phase::Watching { after_revision: first_revision },
            after_key => Phase::Listing { after_key, first_revision: Some(first_revision) },
        };
        is_last
    }

    fn restart_list(&mut self) {
        self.phase = Phase::Listing { after_key: None, first_revision: None };
    }

    /// Returns the pause after a failure, in microseconds.
    ///
    /// Jitter prevents all nodes from retrying at once.
    fn backoff_us(&mut self) -> u64 {
        let doubled = self.policy.initial_backoff_us << self.consecutive_failures.min(8);
        let max_pause_us = doubled.min(self.policy.max_backoff_us);
        self.rng.random_range(max_pause_us / 2..=max_pause_us)
    }
}
