//! Keeps the node's timeline events in memory and logs them.

use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard, PoisonError};

use ecow::EcoString;
use log::{debug, info};
use sassafrasproxy_clock::unix_time_ms;
use sassafrasproxy_wire::{Hlc, TimelineEvent, TimelineEventKind};

/// The maximum number of events in memory. VMs have no disks; older events are in the logs.
const MAX_EVENTS: usize = 8_192;

/// The log target of timeline events, whose messages are already JSON.
pub const TIMELINE_TARGET: &str = "timeline";

/// The node's timeline events, oldest first.
#[derive(Debug)]
pub struct EventLog {
    node: EcoString,
    failure_domain: EcoString,
    state: Mutex<EventLogState>,
}

#[derive(Debug, Default)]
struct EventLogState {
    hlc: Hlc,
    sequence: u64,
    events: VecDeque<TimelineEvent>,
}

impl EventLog {
    /// Creates an empty event log.
    pub fn new(node: EcoString, failure_domain: EcoString) -> Self {
        Self { node, failure_domain, state: Mutex::default() }
    }

    /// Records an event and logs it, at debug level if it belongs to a request.
    ///
    /// If the log is full, the oldest event is dropped.
    pub fn record(&self, request_id: Option<EcoString>, kind: TimelineEventKind) {
        let is_per_query = request_id.is_some();
        let mut state = self.lock();
        state.hlc = state.hlc.tick(unix_time_ms());
        state.sequence += 1;
        let event = TimelineEvent {
            hlc: state.hlc,
            sequence: state.sequence,
            node: self.node.clone(),
            failure_domain: self.failure_domain.clone(),
            request_id,
            kind,
        };
        if state.events.len() >= MAX_EVENTS {
            state.events.pop_front();
        }
        state.events.push_back(event.clone());
        drop(state);
        let text = || serde_json::to_string(&event).unwrap_or_default();
        if is_per_query {
            debug!(target: TIMELINE_TARGET, "{}", text());
        } else {
            info!(target: TIMELINE_TARGET, "{}", text());
        }
    }

    /// Advances the hybrid logical clock and returns its timestamp.
    pub fn next_hlc(&self) -> Hlc {
        let mut state = self.lock();
        state.hlc = state.hlc.tick(unix_time_ms());
        state.hlc
    }

    /// Advances the hybrid logical clock past a timestamp received from a peer.
    pub fn merge_hlc(&self, received: Hlc) {
        let mut state = self.lock();
        state.hlc = state.hlc.merge(received, unix_time_ms());
    }

    /// Returns the events with a sequence number above `after`, oldest first.
    pub fn events_after(&self, after: u64) -> Vec<TimelineEvent> {
        self.lock().events.iter().filter(|event| event.sequence > after).cloned().collect()
    }

    fn lock(&self) -> MutexGuard<'_, EventLogState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
