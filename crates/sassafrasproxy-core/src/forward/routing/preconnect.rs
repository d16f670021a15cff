//! Decides to which replicas a node preconnects, before a request needs a connection.

use ecow::EcoString;
use indexmap::IndexMap;

/// The backoff after the first failed attempt, in microseconds; doubles with each further failure.
///
/// A replica at its connection limit closes connections as their idle timeouts end, over seconds.
const INITIAL_BACKOFF_US: u64 = 250_000;

/// The maximum number of connection attempts, which take about four seconds; afterwards the first
/// request that needs a connection makes it.
const MAX_ATTEMPTS: u32 = 5;

/// Tracks the preconnect attempts to each replica.
///
/// Prevents a storm of connection attempts after all nodes were lost at once. Nodes then discover
/// members and replicas in hundreds of steps, and replicas that still hold the dead nodes'
/// connections reset new ones above their connection limit. If each step retried every missing
/// connection, the replicas would stay at their limits.
#[derive(Debug, Clone, Default)]
pub struct Preconnector {
    replicas: IndexMap<EcoString, PreconnectState>,
}

/// The preconnect attempts to one replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct PreconnectState {
    /// When the replica's process started, in milliseconds since 1970; a different value means that
    /// the replica has restarted.
    born_ms: u64,
    /// The number of attempts that have begun; at most one is in flight.
    attempts: u32,
}

/// The next step after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PreconnectStep {
    /// Retry after a backoff.
    Retry {
        /// The backoff, in microseconds.
        backoff_us: u64,
    },
    /// Stop; the next request that needs a connection makes it.
    GiveUp,
}

impl Preconnector {
    /// Returns whether to start preconnecting to a replica now. If so, the calling code makes the
    /// attempt and reports a failure with `record_failure`.
    pub fn try_begin(&mut self, id: &EcoString, born_ms: u64) -> bool {
        if self.replicas.get(id).is_some_and(|state| state.born_ms == born_ms) {
            return false;
        }
        self.replicas.insert(id.clone(), PreconnectState { born_ms, attempts: 1 });
        true
    }

    /// Records a failed attempt and returns the next step.
    pub fn record_failure(&mut self, id: &str, born_ms: u64) -> PreconnectStep {
        let Some(state) = self.replicas.get_mut(id) else { return PreconnectStep::GiveUp };
        if state.born_ms != born_ms || state.attempts >= MAX_ATTEMPTS {
            return PreconnectStep::GiveUp;
        }
        let backoff_us = INITIAL_BACKOFF_US << (state.attempts - 1);
        state.attempts += 1;
        PreconnectStep::Retry { backoff_us }
    }

    /// Removes the replicas that are no longer known.
    pub fn retain(&mut self, mut is_known: impl FnMut(&EcoString) -> bool) {
        self.replicas.retain(|id, _| is_known(id));
    }
}
