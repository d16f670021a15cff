//! The node's part of the time line, kept in memory.

use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard, PoisonError};

use ecow::EcoString;
use log::{debug, info};
use sassafrasproxy_clock::wall_ms;
use sassafrasproxy_wire::{Event, EventKind, Hlc};

/// How many events a node keeps; VMs have no disks, and older ones are in the logs.
const CAPACITY: usize = 8_192;

/// The log target of time line events, whose messages are JSON already.
pub const TIMELINE_TARGET: &str = "timeline";

/// The node's events, oldest first.
#[derive(Debug)]
pub struct EventLog {
    node: EcoString,
    failure_domain: EcoString,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    hlc: Hlc,
    sequence: u64,
    events: VecDeque<Event>,
}

impl EventLog {
    /// An empty log.
    pub fn new(node: EcoString, failure_domain: EcoString) -> Self {
        Self { node, failure_domain, state: Mutex::default() }
    }

    /// Adds an event, and logs it.
    pub fn note(&self, request_id: Option<EcoString>, kind: EventKind) {
        let is_per_query = request_id.is_some();
        let mut state = self.lock();
        state.hlc = state.hlc.tick(wall_ms());
        state.sequence += 1;
        let event = Event {
            hlc: state.hlc,
            sequence: state.sequence,
            node: self.node.clone(),
            failure_domain: self.failure_domain.clone(),
            request_id,
            kind,
        };
        if state.events.len() >= CAPACITY {
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

    /// A new stamp of the hybrid logical clock.
    pub fn stamp(&self) -> Hlc {
        let mut state = self.lock();
        state.hlc = state.hlc.tick(wall_ms());
        state.hlc
    }

    /// Moves the hybrid logical clock past a stamp heard from a peer.
    pub fn hear(&self, heard: Hlc) {
        let mut state = self.lock();
        state.hlc = state.hlc.merge(heard, wall_ms());
    }

    /// The events with a sequence number above `after`, oldest first.
    pub fn after(&self, after: u64) -> Vec<Event> {
        self.lock().events.iter().filter(|event| event.sequence > after).cloned().collect()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
