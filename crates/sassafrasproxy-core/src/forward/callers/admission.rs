//! Decides whether a request that no replica can take now waits or is refused.

/// The divisor of the time between a request's arrival and its deadline that gives its maximum
/// wait.
///
/// A caller that is refused within an eighth of that time can still make a second attempt.
const MAX_WAIT_DIVISOR: u64 = 8;

/// The decision on a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// Send the request now: replicas can take it.
    Admit,
    /// Decide again later: replicas can probably take the request soon.
    Wait {
        /// The time of the next decision, in microseconds.
        until_us: u64,
    },
    /// Refuse the request: it would wait too long on this node.
    Refuse,
}

/// Decides whether a request that arrived at `arrived_us` and has its deadline at `deadline_us` is
/// sent, waits or is refused.
///
/// `usable_in_us` is the time until replicas can probably take the request, 0 if they can now and
/// `None` if it is unknown. When replicas are busy for a few milliseconds, waiting on this node is
/// faster than a refusal: a refused caller has to connect again and retries only after the replicas
/// have become free. So the request waits as long as it can still be answered in time.
pub fn admit(
    now_us: u64,
    arrived_us: u64,
    deadline_us: u64,
    usable_in_us: Option<u64>,
) -> Admission {
    let Some(usable_in_us) = usable_in_us else { return Admission::Refuse };
    if usable_in_us == 0 {
        return Admission::Admit;
    }
    let max_until_us = arrived_us + deadline_us.saturating_sub(arrived_us) / MAX_WAIT_DIVISOR;
    let until_us = now_us + usable_in_us.max(crate::US_PER_MS);
    if until_us > max_until_us {
        return Admission::Refuse;
    }
    Admission::Wait { until_us }
}
