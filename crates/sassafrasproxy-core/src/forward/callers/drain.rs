//! Decides which requests a leaving node still takes.

/// The fraction of the grace time in which a leaving node accepts connections.
///
/// By the end of that time most callers have asked the directory again; the others get a refused
/// connection and use another node at once.
const ACCEPT_FRACTION: f64 = 0.55;

/// The fraction of the grace time after which a leaving node gives up in-flight requests.
const ANSWER_FRACTION: f64 = 0.93;

/// The number of usual request times that must be left for an idempotent request.
///
/// Leaves time for a second attempt.
const MIN_REQUEST_TIMES: u64 = 2;

/// The shutdown of a node, from the signal to leave to the end of its process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Drain {
    /// The time until which the node accepts connections, in microseconds.
    pub accept_until_us: u64,
    /// The time at which the node gives up what is in flight, in microseconds; not before
    /// `accept_until_us`.
    pub answer_until_us: u64,
    /// The time at which the process is killed, in microseconds; not before `answer_until_us`.
    pub end_us: u64,
}

/// What a leaving node must know of a request to decide on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DrainRequest {
    /// The time by which the request must be answered, in microseconds.
    pub deadline_us: u64,
    /// The usual time of such a request, in microseconds.
    pub expected_us: u64,
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
}

/// Whether a leaving node takes a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DrainDecision {
    /// The request is served.
    Serve,
    /// The request is refused before it is sent to a replica.
    Refuse,
}

impl Drain {
    /// Creates the shutdown of a node that is told to leave now and has the grace time for it.
    pub fn start(now_us: u64, grace_us: u64) -> Self {
        let after = |fraction: f64| now_us.saturating_add((grace_us as f64 * fraction) as u64);
        Self {
            accept_until_us: after(ACCEPT_FRACTION),
            answer_until_us: after(ANSWER_FRACTION),
            end_us: now_us.saturating_add(grace_us),
        }
    }

    /// Decides whether the node can still answer a request.
    ///
    /// A non-idempotent request is taken only if its deadline passes before the node gives up, as its
    /// caller could neither know whether it has run nor send it again. An idempotent one is taken if
    /// it usually ends in time.
    pub fn decide(&self, now_us: u64, request: DrainRequest) -> DrainDecision {
        let ends_us = match request.is_idempotent {
            true => request
                .deadline_us
                .min(now_us.saturating_add(request.expected_us.saturating_mul(MIN_REQUEST_TIMES))),
            false => request.deadline_us,
        };
        if ends_us <= self.answer_until_us { DrainDecision::Serve } else { DrainDecision::Refuse }
    }
}
