//! To which replicas connections are made before a request needs one.

use ecow::EcoString;
use indexmap::IndexMap;

/// The pause after a first failure, in microseconds; doubles with each further one.
///
/// A replica that has reached its cap drops connections as their idle times end, over seconds.
const INITIAL_BACKOFF_US: u64 = 250_000;

/// How often a connection is tried for before it is left to the first request that needs one:
/// five times, in some four seconds.
const MAX_ATTEMPTS: u32 = 5;

/// What is under way or done ahead of need, for each replica.
///
/// Guards against a storm after all nodes were lost at once: members and replicas are then learned
/// in hundreds of steps, and replicas that still hold the dead nodes' connections reset new ones
/// over their cap. Trying at each step for what was not there yet would keep them at their caps.
#[derive(Debug, Clone, Default)]
pub struct Preconnector {
    replicas: IndexMap<EcoString, PreconnectState>,
}

/// What was done for one replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct PreconnectState {
    /// When the replica's process started, in milliseconds since 1970; another one is a new start.
    born_ms: u64,
    /// Tries that have begun; none begins before the one before it has ended.
    attempts: u32,
}

/// What to do after a try has failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PreconnectStep {
    /// Try again after a pause.
    Retry {
        /// The pause, in microseconds.
        backoff_us: u64,
    },
    /// Leave it to the requests.
    GiveUp,
}

impl Preconnector {
    /// Whether to begin with a replica now; the caller then tries, and tells of failures.
    pub fn try_begin(&mut self, id: &EcoString, born_ms: u64) -> bool {
        if self.replicas.get(id).is_some_and(|ahead| ahead.born_ms == born_ms) {
            return false;
        }
        self.replicas.insert(id.clone(), PreconnectState { born_ms, attempts: 1 });
        true
    }

    /// Takes a failed try in.
    pub fn record_failure(&mut self, id: &str, born_ms: u64) -> PreconnectStep {
        let Some(ahead) = self.replicas.get_mut(id) else { return PreconnectStep::GiveUp };
        if ahead.born_ms != born_ms || ahead.attempts >= MAX_ATTEMPTS {
            return PreconnectStep::GiveUp;
        }
        let pause_us = INITIAL_BACKOFF_US << (ahead.attempts - 1);
        ahead.attempts += 1;
        PreconnectStep::Retry { backoff_us: pause_us }
    }

    /// Forgets replicas that are no more.
    pub fn retain(&mut self, mut is_known: impl FnMut(&EcoString) -> bool) {
        self.replicas.retain(|id, _| is_known(id));
    }
}
