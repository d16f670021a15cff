//! Whether a request that no replica can take at this moment waits or is refused.

/// The part of the time that an answer may take which a request may wait before it is sent.
///
/// A caller that is refused within this part still has time for a second attempt.
const MAX_WAIT_DIVISOR: u64 = 8;

/// What to do with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// Replicas can take it now.
    Admit,
    /// Replicas will be able to take it soon: look again then.
    Wait {
        /// The time.
        until_us: u64,
    },
    /// Refuse it, as it would wait too long here.
    Refuse,
}

/// What to do with a request that arrived at `arrived_us` and is to be answered until `end_us`.
///
/// `soonest_us` says in how long replicas can probably take it, `None` if nothing tells. Answers a
/// load under which replicas are busy for milliseconds: a refused caller has to connect again and
/// comes back later than the replicas are free, so the request waits here while it can still be
/// answered in time.
pub fn admit(now_us: u64, arrived_us: u64, end_us: u64, soonest_us: Option<u64>) -> Admission {
    let Some(soonest_us) = soonest_us else { return Admission::Refuse };
    if soonest_us == 0 {
        return Admission::Admit;
    }
    let longest_us = arrived_us + end_us.saturating_sub(arrived_us) / MAX_WAIT_DIVISOR;
    let until_us = now_us + soonest_us.max(crate::US_PER_MS);
    if until_us > longest_us {
        return Admission::Refuse;
    }
    Admission::Wait { until_us }
}
