//! Measures the latencies of a route's attempts, and derives the hedge delay from them.

use crate::LatencyWindow;

/// The quantile of a route's latencies from which the hedge delay is computed.
///
/// About a tenth of the attempts are hedged, which takes half of the retry budget at its usual
/// ratio and leaves the other half for retries.
const HEDGE_QUANTILE: f64 = 0.9;

/// The factor by which that quantile is multiplied, so that attempts that are about to end are not
/// hedged.
const HEDGE_FACTOR: f64 = 1.2;

/// The minimum hedge delay, in microseconds: about a round trip and a short run of a request.
const MIN_HEDGE_DELAY_US: u64 = 4_000;

/// The maximum hedge delay of a query over shards, as a fraction of the latency goal.
///
/// If many replicas are slow at once, they raise the quantile. Without a maximum, hedges would
/// start too late to help just when they are needed. A query over shards must still merge its parts
/// after the last one has arrived.
const MAX_SHARDS_HEDGE_FRACTION: f64 = 0.25;

/// The maximum hedge delay of a request to a single replica, as a fraction of the latency goal; it
/// may use half of the goal before the hedge.
const MAX_SINGLE_HEDGE_FRACTION: f64 = 0.5;

/// The divisor of the latency goal that gives the expected latency until enough latencies are
/// measured; the quantile for the hedge delay is then assumed to be twice the expected latency.
const DEFAULT_LATENCY_DIVISOR: u64 = 8;

/// The replicas that a request of a route is sent to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fanout {
    /// One replica.
    Single,
    /// One replica of each of many shards.
    Shards,
}

/// The expected time of a route's attempts, and the hedge delay.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SendTiming {
    /// The median latency, in microseconds.
    pub expected_us: u64,
    /// The time after an attempt at which a hedge may start, in microseconds.
    pub hedge_after_us: u64,
}

/// The measured latencies of one route's attempts.
#[derive(Debug, Clone, Default)]
pub struct RouteLatencies {
    latencies: LatencyWindow,
}

impl RouteLatencies {
    /// Records the latency of an answer, in microseconds.
    pub fn record(&mut self, took_us: u64) {
        self.latencies.record(took_us);
    }

    /// Returns the expected time and the hedge delay for a route with the given latency goal.
    pub fn send_timing(&self, goal_us: u64, fanout: Fanout) -> SendTiming {
        let default_us = goal_us / DEFAULT_LATENCY_DIVISOR;
        let expected_us = self.latencies.quantile_us(0.5).unwrap_or(default_us);
        let quantile_us = self.latencies.quantile_us(HEDGE_QUANTILE).unwrap_or(2 * default_us);
        let max_fraction = match fanout {
            Fanout::Single => MAX_SINGLE_HEDGE_FRACTION,
            Fanout::Shards => MAX_SHARDS_HEDGE_FRACTION,
        };
        let hedge_us = (quantile_us as f64 * HEDGE_FACTOR).min(goal_us as f64 * max_fraction);
        SendTiming { expected_us, hedge_after_us: (hedge_us as u64).max(MIN_HEDGE_DELAY_US) }
    }
}
