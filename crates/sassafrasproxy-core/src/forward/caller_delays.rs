//! How much of a caller's time is gone before its request arrives.

use std::collections::VecDeque;

use ecow::EcoString;
use indexmap::IndexMap;

use crate::US_PER_MS;

/// How many requests of a route are looked at.
const WINDOW: usize = 64;

/// How many of them must name a deadline before it counts as the route's usual one.
///
/// Above the one in 25 callers that wait much longer than the others.
const USUAL_COUNT: usize = 6;

/// How many gaps below the usual deadline are looked at for the shortest one.
const GAP_WINDOW: usize = 128;

/// The gaps that can be a round trip, in milliseconds: below, it is the caller's own work; above,
/// it is an earlier attempt.
const ROUND_TRIP_MS: std::ops::RangeInclusive<u64> = 2..=40;

/// The round trip between callers and nodes before any is known, in milliseconds: the longer of
/// those that the users name.
const UNKNOWN_ROUND_TRIP_MS: u64 = 6;

/// Learns from the deadlines that callers send how much of their time is gone.
///
/// A caller's time starts before its request is sent: it asks the directory, connects, or has
/// tried elsewhere, and the deadline that it sends is what is left. Callers of one route start
/// with the same time, so what is missing from the usual deadline is gone. The shortest gap is
/// that of a caller that only had to connect: one round trip.
#[derive(Debug, Clone, Default)]
pub struct CallerDelays {
    routes: IndexMap<EcoString, VecDeque<u64>>,
    gaps: VecDeque<u64>,
}

impl CallerDelays {
    /// Notes a request's deadline; returns how long before it its caller's time started, in
    /// microseconds.
    pub fn note(&mut self, route: &EcoString, deadline_ms: u64) -> u64 {
        let seen = self.routes.entry(route.clone()).or_default();
        if seen.len() >= WINDOW {
            seen.pop_front();
        }
        seen.push_back(deadline_ms);
        let count = |value: u64| seen.iter().filter(|one| **one == value).count();
        let usual = seen.iter().copied().filter(|value| *value >= deadline_ms);
        let usual = usual.filter(|value| count(*value) >= USUAL_COUNT).max();
        let gap_ms = usual.unwrap_or(deadline_ms) - deadline_ms;
        if ROUND_TRIP_MS.contains(&gap_ms) {
            if self.gaps.len() >= GAP_WINDOW {
                self.gaps.pop_front();
            }
            self.gaps.push_back(gap_ms);
        }
        gap_ms * US_PER_MS
    }

    /// The round trip between callers and this node, in microseconds.
    pub fn round_trip_us(&self) -> u64 {
        self.gaps.iter().copied().min().unwrap_or(UNKNOWN_ROUND_TRIP_MS) * US_PER_MS
    }
}
