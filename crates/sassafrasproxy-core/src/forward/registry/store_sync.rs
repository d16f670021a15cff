//! Following the store: list, watch, and list again.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Times of the loop that follows the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreSyncPolicy {
    /// How long a watch waits for a change, in milliseconds.
    ///
    /// Bounds how long a store that took the call and never answers it stays unnoticed: its
    /// connection still answers keep-alive probes, and if all watches hang no peer knows more.
    pub watch_timeout_ms: u64,
    /// How long after a change the next watch starts, so that changes share a call.
    ///
    /// Of the three seconds within which a change must be in force. Shorter than two comparisons
    /// with peers are apart, so that a node which pauses does not look cut off.
    pub coalesce_delay_us: u64,
    /// The pause after a first failure; doubles with each further one.
    pub min_backoff_us: u64,
    /// The longest pause after failures.
    ///
    /// With all nodes of a fleet this stays far below the store's rate of reads.
    pub max_backoff_us: u64,
}

impl Default for StoreSyncPolicy {
    fn default() -> Self {
        Self {
            watch_timeout_ms: 4_000,
            coalesce_delay_us: 400_000,
            min_backoff_us: 100_000,
            max_backoff_us: 800_000,
        }
    }
}

/// What to do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreStep {
    /// Read a page of the whole list; the first if no key is given.
    List {
        /// The last key of the page before.
        after_key: Option<ecow::EcoString>,
    },
    /// Wait for changes after a revision.
    Watch {
        /// The revision.
        after_revision: u64,
        /// How long to wait, in milliseconds.
        wait_ms: u64,
    },
    /// Do nothing until a time.
    Pause {
        /// The time.
        until_us: u64,
    },
}

/// How a call went.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreCallOutcome {
    /// A page of the list came.
    Page {
        /// The store's revision.
        revision: u64,
        /// The page's last key, if another page follows.
        next_after_key: Option<ecow::EcoString>,
    },
    /// A watch came back.
    WatchCompleted {
        /// The revision to go on from.
        revision: u64,
        /// Whether it brought changes.
        has_changes: bool,
    },
    /// The history is gone.
    HistoryCompacted,
    /// The call failed.
    Failed,
}

/// The state of the loop.
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
    /// The first page's revision is kept: what changes while later pages are read comes by watch.
    Listing {
        after_key: Option<ecow::EcoString>,
        first_revision: Option<u64>,
    },
    Watching {
        after_revision: u64,
    },
}

impl StoreSync {
    /// A loop that has read nothing yet.
    pub fn new(policy: StoreSyncPolicy, seed: u64) -> Self {
        Self {
            policy,
            rng: StdRng::seed_from_u64(seed),
            phase: Phase::Listing { after_key: None, first_revision: None },
            consecutive_failures: 0,
            pause_until_us: 0,
        }
    }

    /// What to do now.
    pub fn next_step(&self, now_us: u64) -> StoreStep {
        if now_us < self.pause_until_us {
            return StoreStep::Pause { until_us: self.pause_until_us };
        }
        match &self.phase {
            Phase::Listing { after_key, .. } => StoreStep::List { after_key: after_key.clone() },
            Phase::Watching { after_revision } => StoreStep::Watch {
                after_revision: *after_revision,
                wait_ms: self.policy.watch_timeout_ms,
            },
        }
    }

    /// Takes the end of a call in; returns whether a whole list has just been read.
    pub fn record_outcome(&mut self, now_us: u64, outcome: StoreCallOutcome) -> bool {
        match outcome {
            StoreCallOutcome::Page { revision, next_after_key: next_after } => {
                self.consecutive_failures = 0;
                return self.record_page(revision, next_after);
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
                // A list that broke off starts anew: its first page is no longer the newest.
                if matches!(self.phase, Phase::Listing { .. }) {
                    self.restart_list();
                }
                self.pause_until_us = now_us + self.backoff_us();
                self.consecutive_failures += 1;
            }
        }
        false
    }

    /// Up to which revision everything is known; 0 before the first list has ended.
    ///
    /// After a list of several pages this is the first page's: what changed while later pages
    /// were read comes by the watch only.
    pub fn synced_revision(&self) -> u64 {
        match self.phase {
            Phase::Listing { .. } => 0,
            Phase::Watching { after_revision } => after_revision,
        }
    }

    /// Goes on from a revision up to which everything was learned elsewhere, in place of a list.
    pub fn resume_from(&mut self, revision: u64) {
        self.phase = Phase::Watching { after_revision: revision };
    }

    /// Notes that everything up to a revision was learned elsewhere; 0 if nothing was.
    pub fn advance_to(&mut self, revision: u64) {
        if revision > self.synced_revision() {
            self.resume_from(revision);
        }
    }

    fn record_page(&mut self, revision: u64, next_after: Option<ecow::EcoString>) -> bool {
        let known = match &self.phase {
            Phase::Listing { first_revision, .. } => *first_revision,
            Phase::Watching { .. } => None,
        };
        let first = known.unwrap_or(revision);
        let is_last = next_after.is_none();
        self.phase = match next_after {
            None => Phase::Watching { after_revision: first },
            after_key => Phase::Listing { after_key, first_revision: Some(first) },
        };
        is_last
    }

    fn restart_list(&mut self) {
        self.phase = Phase::Listing { after_key: None, first_revision: None };
    }

    /// The pause after a failure, with jitter so that nodes do not come back all at once.
    fn backoff_us(&mut self) -> u64 {
        let doubled = self.policy.min_backoff_us << self.consecutive_failures.min(8);
        let pause_us = doubled.min(self.policy.max_backoff_us);
        self.rng.random_range(pause_us / 2..=pause_us)
    }
}
