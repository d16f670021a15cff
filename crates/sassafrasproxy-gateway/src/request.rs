//! A caller's request, as it is served.

use bytes::Bytes;
use ecow::EcoString;
use http::{HeaderMap, Method, Uri};
use sassafrasproxy_core::{CrashReport, US_PER_MS};
use sassafrasproxy_platform::{CallerHead, is_forwarded};
use sassafrasproxy_wire::Route;

/// The part of a caller's time that is kept back for the answer's way.
const ANSWER_RESERVE_DIVISOR: u64 = 50;

/// The least that is kept back, in milliseconds.
const MIN_ANSWER_RESERVE_MS: u64 = 3;

/// A caller's request, read whole.
#[derive(Debug)]
pub struct CallerRequest {
    /// The id of the caller attempt.
    pub attempt_id: EcoString,
    /// The method.
    pub method: Method,
    /// Path and query, unchanged.
    pub uri: Uri,
    /// The headers that go on.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// When it was read, in microseconds.
    pub arrived_us: u64,
    /// When the caller stops waiting, in microseconds.
    pub deadline_us: u64,
    /// How long before the arrival the caller's time started, in microseconds.
    pub elapsed_before_arrival_us: u64,
    /// The hash of what the request asks.
    pub fingerprint: u64,
}

impl CallerRequest {
    /// A request as it was read at a time.
    pub fn new(
        head: CallerHead,
        parts: http::request::Parts,
        body: Bytes,
        now_us: u64,
        elapsed_before_arrival_us: u64,
    ) -> Self {
        let method = parts.method.as_str();
        let fingerprint = CrashReport::fingerprint(&head.host, method, parts.uri.path(), &body);
        let mut headers = parts.headers;
        let dropped: Vec<_> = headers.keys().filter(|name| !is_forwarded(name)).cloned().collect();
        for name in dropped {
            headers.remove(name);
        }
        let deadline_us = match head.deadline_ms {
            Some(deadline_ms) => now_us + deadline_ms * US_PER_MS,
            None => u64::MAX,
        };
        Self {
            attempt_id: head.attempt_id,
            method: parts.method,
            uri: parts.uri,
            headers,
            body,
            arrived_us: now_us,
            deadline_us,
            elapsed_before_arrival_us,
            fingerprint,
        }
    }

    /// When the caller's time started, in microseconds.
    pub fn started_us(&self) -> u64 {
        self.arrived_us.saturating_sub(self.elapsed_before_arrival_us)
    }

    /// When the route's latency goal is over, in microseconds.
    pub fn goal_deadline_us(&self, route: &Route) -> u64 {
        self.started_us().saturating_add(route.goal_ms * US_PER_MS)
    }

    /// When the caller must have its final answer on the way, in microseconds.
    pub fn answer_deadline_us(&self, route: &Route) -> u64 {
        let timeout_us = self.arrived_us.saturating_add(route.timeout_ms * US_PER_MS);
        let wait_us = self.deadline_us.saturating_sub(self.arrived_us);
        let back_us = (wait_us / ANSWER_RESERVE_DIVISOR).max(MIN_ANSWER_RESERVE_MS * US_PER_MS);
        timeout_us.min(self.deadline_us.saturating_sub(back_us))
    }
}
