//! How long the requests of a route take, and when a second send is worth it.

use crate::LatencyWindow;

/// The quantile of a route's latencies after which a second send starts.
///
/// A tenth of the sends get a second one: half of what the budget allows at its usual ratio, so
/// that the other half is left for retries.
const HEDGE_QUANTILE: f64 = 0.9;

/// What that quantile is multiplied by, so that sends about to end are left alone.
const HEDGE_FACTOR: f64 = 1.2;

/// The least time before a second send, in microseconds: about a round trip and a short run.
const MIN_HEDGE_DELAY_US: u64 = 4_000;

/// The longest time before a second send, as a part of the latency goal.
///
/// Guards against many slow replicas at once: they raise the quantile, and second sends would
/// start too late to help just when they are needed. A query over shards must merge after its
/// last part; a single request may use half of its goal before the second send.
const MAX_SHARDS_HEDGE_FRACTION: f64 = 0.25;
const MAX_SINGLE_HEDGE_FRACTION: f64 = 0.5;

/// The part of the latency goal that stands for the usual time before any was measured.
const DEFAULT_LATENCY_DIVISOR: u64 = 8;

/// What the requests of a route ask.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fanout {
    /// One replica.
    Single,
    /// One replica of each of many shards.
    Shards,
}

/// The usual time of a route's sends, and when a second send may start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SendTiming {
    /// The median, in microseconds.
    pub expected_us: u64,
    /// How long after a send a second one may start, in microseconds.
    pub hedge_after_us: u64,
}

/// The latencies that the sends of one route showed.
#[derive(Debug, Clone, Default)]
pub struct RouteLatencies {
    latencies: LatencyWindow,
}

impl RouteLatencies {
    /// Notes how long an answer took.
    pub fn record(&mut self, took_us: u64) {
        self.latencies.record(took_us);
    }

    /// The times to plan a send with.
    pub fn send_timing(&self, goal_us: u64, fanout: Fanout) -> SendTiming {
        let unmeasured_us = goal_us / DEFAULT_LATENCY_DIVISOR;
        let expected_us = self.latencies.quantile_us(0.5).unwrap_or(unmeasured_us);
        let late_us = self.latencies.quantile_us(HEDGE_QUANTILE).unwrap_or(2 * unmeasured_us);
        let part = match fanout {
            Fanout::Single => MAX_SINGLE_HEDGE_FRACTION,
            Fanout::Shards => MAX_SHARDS_HEDGE_FRACTION,
        };
        let hedge_us = (late_us as f64 * HEDGE_FACTOR).min(goal_us as f64 * part);
        SendTiming { expected_us, hedge_after_us: (hedge_us as u64).max(MIN_HEDGE_DELAY_US) }
    }
}
