//! Holds a caller's request and computes its deadlines.

use bytes::Bytes;
use ecow::EcoString;
use http::{HeaderMap, Method, Uri};
use sassafrasproxy_core::{CrashReport, US_PER_MS};
use sassafrasproxy_platform::{CallerHead, is_forwarded};
use sassafrasproxy_wire::Route;

/// The divisor of the caller's waiting time that gives the answer reserve: the time reserved for the
/// answer to reach the caller.
const ANSWER_RESERVE_DIVISOR: u64 = 50;

/// The minimum answer reserve, in milliseconds.
const MIN_ANSWER_RESERVE_MS: u64 = 3;

/// A complete request of a caller.
#[derive(Debug)]
pub struct CallerRequest {
    /// The id of the caller attempt.
    pub attempt_id: EcoString,
    /// The HTTP method.
    pub method: Method,
    /// The path and query, unchanged.
    pub uri: Uri,
    /// The headers that are forwarded to replicas.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// The time at which the request arrived, in microseconds of this node's clock.
    pub arrived_us: u64,
    /// The time at which the caller stops waiting, in microseconds; `u64::MAX` if it gave no
    /// deadline.
    pub deadline_us: u64,
    /// The time from the caller's start of the request to its arrival, in microseconds.
    pub elapsed_before_arrival_us: u64,
    /// The hash of the request's host, method, path and body.
    pub fingerprint: u64,
}

impl CallerRequest {
    /// Creates a request that arrived at `now_us`.
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

    /// Returns the time at which the caller started the request, in microseconds.
    pub fn started_us(&self) -> u64 {
        self.arrived_us.saturating_sub(self.elapsed_before_arrival_us)
    }

    /// Returns the time at which the latency goal of the route ends, in microseconds.
    pub fn goal_deadline_us(&self, route: &Route) -> u64 {
        self.started_us().saturating_add(route.goal_ms * US_PER_MS)
    }

    /// Returns the time by which the final answer must be sent, in microseconds.
    ///
    /// This is the end of the route's timeout or the caller's deadline less the answer reserve,
    /// whichever is earlier.
    pub fn answer_deadline_us(&self, route: &Route) -> u64 {
        let timeout_us = self.arrived_us.saturating_add(route.timeout_ms * US_PER_MS);
        let wait_us = self.deadline_us.saturating_sub(self.arrived_us);
        let reserve_us = (wait_us / ANSWER_RESERVE_DIVISOR).max(MIN_ANSWER_RESERVE_MS * US_PER_MS);
        timeout_us.min(self.deadline_us.saturating_sub(reserve_us))
    }
}
