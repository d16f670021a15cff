//! Estimates how much of a caller's timeout has elapsed before its request arrives, and the round
//! trip between callers and this node.

use std::collections::VecDeque;

use ecow::EcoString;
use indexmap::IndexMap;

use crate::US_PER_MS;

/// The number of recent requests on reused connections that are kept for each route.
const REUSED_WINDOW_LEN: usize = 32;

/// The longest time that a caller needs to ask the directory and connect, in milliseconds.
const MAX_SETUP_MS: u64 = 300;

/// The number of recent setup times from which the round trip is estimated.
const SETUP_WINDOW_LEN: usize = 256;

/// The divisor for the number of similar setup times that are needed for an estimate: at least one
/// in 40 of the known setup times must be similar.
const SUPPORT_DIVISOR: usize = 40;

/// The minimum number of similar setup times that are needed, however few are known.
const MIN_SUPPORT: usize = 3;

/// The minimum number of known setup times for the shortest similar ones to count as one round
/// trip.
///
/// Fewer setup times may contain none of a caller that only had to connect.
const MIN_SETUPS_FOR_ESTIMATE: usize = 12;

/// The range of the ratio between the setup times of three round trips and of two, including the
/// directory's processing time.
const THREE_TO_TWO_TRIPS_RATIO: std::ops::RangeInclusive<f64> = 1.4..=1.75;

/// The number of round trips of a caller that asks the directory first: one to connect to the
/// directory, one to ask it, and one to connect to this node.
const DIRECTORY_ROUND_TRIPS: u64 = 3;

/// The minimum setup time, in milliseconds; shorter times are the caller's own processing.
const MIN_SETUP_MS: u64 = 2;

/// The round trip between callers and nodes of one region that is assumed before any setup time is
/// known, in milliseconds.
const DEFAULT_ROUND_TRIP_MS: u64 = 6;

/// The remaining and the total time of a request's caller, from the request's head and its route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerDeadline {
    /// The time that the caller still waits, in milliseconds.
    pub deadline_ms: u64,
    /// The timeout of the route, in milliseconds.
    pub timeout_ms: u64,
    /// Whether the request is the first one of its connection.
    pub is_first_on_connection: bool,
}

/// Estimates from the deadlines that callers send how much of their timeout has elapsed.
///
/// A caller's timeout starts before its request is sent: the caller asks the directory, connects or
/// has tried another node, and the deadline in the request is the remaining time. A request on a
/// reused connection needs none of this, so its deadline is the total timeout of the route's
/// callers. Until such a request has arrived, the route's timeout is taken instead. On a new
/// connection, the difference between the total and the deadline is the setup time, and the
/// shortest setup takes one round trip.
#[derive(Debug, Clone, Default)]
pub struct CallerDelayEstimator {
    /// The deadlines of recent requests on reused connections, by route.
    reused_deadlines_ms: IndexMap<EcoString, VecDeque<u64>>,
    setup_times_ms: VecDeque<u64>,
}

impl CallerDelayEstimator {
    /// Records a request and returns how long before its arrival the caller's timeout started, in
    /// microseconds.
    pub fn record_request(&mut self, route: &EcoString, deadline: CallerDeadline) -> u64 {
        if !deadline.is_first_on_connection {
            let deadlines_ms = self.reused_deadlines_ms.entry(route.clone()).or_default();
            push_bounded(deadlines_ms, deadline.deadline_ms, REUSED_WINDOW_LEN);
        }
        let total_ms = self.total_time_ms(route).unwrap_or(deadline.timeout_ms);
        let elapsed_ms = total_ms.saturating_sub(deadline.deadline_ms);
        let is_setup =
            deadline.is_first_on_connection && (MIN_SETUP_MS..=MAX_SETUP_MS).contains(&elapsed_ms);
        if is_setup {
            push_bounded(&mut self.setup_times_ms, elapsed_ms, SETUP_WINDOW_LEN);
        }
        // Elapsed times longer than any setup count too: a caller that retries after a refusal has
        // used more of its timeout.
        let is_total_known =
            deadline.is_first_on_connection || self.reused_deadlines_ms.contains_key(route);
        if is_total_known && elapsed_ms < total_ms { elapsed_ms * US_PER_MS } else { 0 }
    }

    /// Returns the estimated round trip between callers and this node, in microseconds.
    pub fn round_trip_us(&self) -> u64 {
        round_trip_ms(sorted(&self.setup_times_ms)) * US_PER_MS
    }

    /// Returns the total timeout of a route's callers, in milliseconds: the median deadline on
    /// reused connections, which a few callers with a much longer timeout do not change.
    fn total_time_ms(&self, route: &EcoString) -> Option<u64> {
        let sorted = sorted(self.reused_deadlines_ms.get(route)?);
        sorted.get(sorted.len() / 2).copied()
    }
}

/// Returns the round trip that follows from sorted setup times, in milliseconds.
///
/// Callers need one round trip to connect, two if they also ask the directory on a reused
/// connection, and three if they connect to the directory as well. An estimate that is too short
/// costs more than one that is too long: it makes every answer late that waits until its soft
/// deadline, while a long one only leaves out the parts that arrive in the last milliseconds.
fn round_trip_ms(setups: Vec<u64>) -> u64 {
    let support = (setups.len() / SUPPORT_DIVISOR).max(MIN_SUPPORT);
    if let Some(shorter_ms) = shortest_supported_ms(&setups, support) {
        let min_longer_ms = shorter_ms as f64 * THREE_TO_TWO_TRIPS_RATIO.start();
        let first_longer = setups.partition_point(|setup| (*setup as f64) < min_longer_ms);
        if let Some(longer_setup_ms) = shortest_supported_ms(&setups[first_longer..], support) {
            let is_two_trips = THREE_TO_TWO_TRIPS_RATIO
                .contains(&(longer_setup_ms as f64 / shorter_ms as f64))
                && count_similar(&setups, longer_setup_ms) >= count_similar(&setups, shorter_ms);
            return if is_two_trips { longer_setup_ms - shorter_ms } else { shorter_ms };
        }
        if setups.len() >= MIN_SETUPS_FOR_ESTIMATE {
            return shorter_ms;
        }
    }
    let Some(&shortest_ms) = setups.first() else { return DEFAULT_ROUND_TRIP_MS };
    // The shortest of a few setup times may include asking the directory.
    shortest_ms.min(DEFAULT_ROUND_TRIP_MS).max(shortest_ms / DIRECTORY_ROUND_TRIPS)
}

/// Returns the shortest of the sorted times for which `support` times are within one millisecond.
fn shortest_supported_ms(sorted: &[u64], support: usize) -> Option<u64> {
    let is_similar = |window: &&[u64]| window[0] + 1 >= window[support - 1];
    sorted.windows(support).find(is_similar).map(|window| window[0])
}

/// Counts the times that are equal to `time_ms` or one millisecond longer.
fn count_similar(times_ms: &[u64], time_ms: u64) -> usize {
    times_ms.iter().filter(|one| (time_ms..=time_ms + 1).contains(one)).count()
}

fn push_bounded(values: &mut VecDeque<u64>, value: u64, max_len: usize) {
    if values.len() >= max_len {
        values.pop_front();
    }
    values.push_back(value);
}

fn sorted(values: &VecDeque<u64>) -> Vec<u64> {
    let mut sorted: Vec<u64> = values.iter().copied().collect();
    sorted.sort_unstable();
    sorted
}
