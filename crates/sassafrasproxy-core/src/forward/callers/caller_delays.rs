//! How much of a caller's time is gone before its request arrives.

use std::collections::VecDeque;

use ecow::EcoString;
use indexmap::IndexMap;

use crate::US_PER_MS;

/// How many requests of a route on kept connections are looked at.
const REUSED_WINDOW_LEN: usize = 32;

/// The longest that a caller takes to ask the directory and connect, in milliseconds.
const MAX_SETUP_MS: u64 = 300;

/// How many setup times are looked at for the shortest one.
const SETUP_WINDOW_LEN: usize = 256;

/// One in so many setup times, or more, must be about as short to count as a round trip.
const SUPPORT_DIVISOR: usize = 40;

/// How many must be about as short, however few are known.
const MIN_SUPPORT: usize = 3;

/// From how many setup times on a round trip is believed: with fewer, none may be a caller's that only
/// had to connect.
const MIN_SETUPS_FOR_ESTIMATE: usize = 12;

/// How much longer three round trips are than two, with the directory's own time.
const THREE_TO_TWO_TRIPS_RATIO: std::ops::RangeInclusive<f64> = 1.4..=1.75;

/// How many round trips a caller takes that asks the directory and connects: to connect there, to
/// ask, and to connect here.
const DIRECTORY_ROUND_TRIPS: u64 = 3;

/// The least setup time, in milliseconds: below, it is the caller's own work.
const MIN_SETUP_MS: u64 = 2;

/// The round trip between callers and nodes of one region, in milliseconds, while nothing is known.
const DEFAULT_ROUND_TRIP_MS: u64 = 6;

/// What a request's head says of its caller's time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerDeadline {
    /// How long the caller still waits, in milliseconds.
    pub deadline_ms: u64,
    /// How long the route lets callers wait, in milliseconds.
    pub timeout_ms: u64,
    /// Whether the request is the first one of its connection.
    pub is_first_on_connection: bool,
}

/// Learns from the deadlines that callers send how much of their time is gone.
///
/// A caller's time starts before its request is sent: it asks the directory, connects, or has
/// tried elsewhere, and the deadline that it sends is what is left. On a kept connection none of
/// this is needed, so these requests tell the whole time of a route's callers; before any came, it is
/// taken for the route's. What is missing from it on a new connection is the setup time, and the
/// shortest setup is one round trip.
#[derive(Debug, Clone, Default)]
pub struct CallerDelayEstimator {
    /// The deadlines of requests on kept connections, by route.
    reused_deadlines_ms: IndexMap<EcoString, VecDeque<u64>>,
    setup_times_ms: VecDeque<u64>,
}

impl CallerDelayEstimator {
    /// Notes a request; returns how long before it its caller's time started, in microseconds.
    pub fn record_request(&mut self, route: &EcoString, time: CallerDeadline) -> u64 {
        if !time.is_first_on_connection {
            let kept = self.reused_deadlines_ms.entry(route.clone()).or_default();
            push_bounded(kept, time.deadline_ms, REUSED_WINDOW_LEN);
        }
        let whole_ms = self.total_time_ms(route).unwrap_or(time.timeout_ms);
        let gone_ms = whole_ms.saturating_sub(time.deadline_ms);
        let is_setup =
            time.is_first_on_connection && (MIN_SETUP_MS..=MAX_SETUP_MS).contains(&gone_ms);
        if is_setup {
            push_bounded(&mut self.setup_times_ms, gone_ms, SETUP_WINDOW_LEN);
        }
        // More than any setup takes is no sign of lost time: the caller waits less than others.
        let is_late = time.is_first_on_connection || self.reused_deadlines_ms.contains_key(route);
        if is_late && gone_ms < whole_ms { gone_ms * US_PER_MS } else { 0 }
    }

    /// The round trip between callers and this node, in microseconds.
    pub fn round_trip_us(&self) -> u64 {
        round_trip_ms(sorted(&self.setup_times_ms)) * US_PER_MS
    }

    /// The time that callers of a route have in all: that of most on kept connections.
    ///
    /// Guards against the few that wait much longer than the others.
    fn total_time_ms(&self, route: &EcoString) -> Option<u64> {
        let sorted = sorted(self.reused_deadlines_ms.get(route)?);
        sorted.get(sorted.len() / 2).copied()
    }
}

/// The round trip that sorted setup times tell of.
///
/// Callers need one round trip to connect, two if they ask the directory on a kept connection, and three
/// if they connect to it, too. Too short an estimate costs more than too long a one: it makes every
/// answer late that waits until its stop time, where too long a one leaves out what comes in the last
/// milliseconds.
fn round_trip_ms(setups: Vec<u64>) -> u64 {
    let support = (setups.len() / SUPPORT_DIVISOR).max(MIN_SUPPORT);
    if let Some(usual_ms) = shortest_supported_ms(&setups, support) {
        let longer_ms = usual_ms as f64 * THREE_TO_TWO_TRIPS_RATIO.start();
        let longer = setups.partition_point(|setup| (*setup as f64) < longer_ms);
        if let Some(next_ms) = shortest_supported_ms(&setups[longer..], support) {
            let is_two = THREE_TO_TWO_TRIPS_RATIO.contains(&(next_ms as f64 / usual_ms as f64))
                && count_similar(&setups, next_ms) >= count_similar(&setups, usual_ms);
            return if is_two { next_ms - usual_ms } else { usual_ms };
        }
        if setups.len() >= MIN_SETUPS_FOR_ESTIMATE {
            return usual_ms;
        }
    }
    let Some(&shortest_ms) = setups.first() else { return DEFAULT_ROUND_TRIP_MS };
    // The shortest of few may be a caller's that asked the directory as well.
    shortest_ms.min(DEFAULT_ROUND_TRIP_MS).max(shortest_ms / DIRECTORY_ROUND_TRIPS)
}

/// The shortest of sorted times that so many have, give or take a millisecond.
fn shortest_supported_ms(sorted: &[u64], support: usize) -> Option<u64> {
    let is_alike = |few: &&[u64]| few[0] + 1 >= few[support - 1];
    sorted.windows(support).find(is_alike).map(|few| few[0])
}

/// How many times are about as long.
fn count_similar(times_ms: &[u64], time_ms: u64) -> usize {
    times_ms.iter().filter(|one| (time_ms..=time_ms + 1).contains(one)).count()
}

fn push_bounded(values: &mut VecDeque<u64>, value: u64, most: usize) {
    if values.len() >= most {
        values.pop_front();
    }
    values.push_back(value);
}

fn sorted(values: &VecDeque<u64>) -> Vec<u64> {
    let mut sorted: Vec<u64> = values.iter().copied().collect();
    sorted.sort_unstable();
    sorted
}
