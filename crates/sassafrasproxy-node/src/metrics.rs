//! Records metrics and sends them to a statsd server if the settings name one.

use std::net::{SocketAddr, UdpSocket};

use cadence::prelude::*;
use cadence::{BufferedUdpMetricSink, NopMetricSink, QueuingMetricSink, StatsdClient};
use sassafrasproxy_wire::{FailureReason, Outcome};

/// The prefix of every metric's name.
const METRIC_PREFIX: &str = "sassafrasproxy";

/// The node's metrics; docs/OPERATIONS.md lists them by name and unit.
#[derive(Debug)]
pub struct Metrics {
    client: StatsdClient,
}

impl Metrics {
    /// Creates metrics that are sent to a statsd server, or discarded without one.
    pub fn new(statsd: Option<SocketAddr>, node: &str) -> std::io::Result<Self> {
        let builder = match statsd {
            None => StatsdClient::builder(METRIC_PREFIX, NopMetricSink),
            Some(address) => {
                let socket = UdpSocket::bind(("0.0.0.0", 0))?;
                socket.set_nonblocking(true)?;
                let sink =
                    BufferedUdpMetricSink::from(address, socket).map_err(std::io::Error::other)?;
                StatsdClient::builder(METRIC_PREFIX, QueuingMetricSink::from(sink))
            }
        };
        Ok(Self { client: builder.with_tag("node", node).build() })
    }

    /// Records the end of a query: outcome, duration, coverage and the reason of a refusal.
    pub fn record_query_end(
        &self,
        outcome: Outcome,
        reason: Option<FailureReason>,
        took_ms: u64,
        fraction: f64,
    ) {
        let outcome = match outcome {
            Outcome::Answered => "answered",
            Outcome::NotRun => "not_run",
            Outcome::Unknown => "unknown",
            Outcome::Partial => "partial",
        };
        self.client.count_with_tags("queries", 1).with_tag("outcome", outcome).send();
        self.client.time_with_tags("query_ms", took_ms).send();
        self.client.gauge_with_tags("coverage_ratio", fraction).send();
        if let Some(reason) = reason {
            let reason = reason.to_string();
            self.client.count_with_tags("refusals", 1).with_tag("reason", &reason).send();
        }
    }

    /// Counts a sub-request that this node requests as ingress node.
    pub fn count_sub_request(&self) {
        self.client.count_with_tags("sub_requests", 1).send();
    }

    /// Counts an attempt that is sent to an upstream.
    pub fn count_upstream_send(&self) {
        self.client.count_with_tags("upstream_sends", 1).send();
    }

    /// Counts an extra attempt; `cause` is `hedge` or `retry`.
    pub fn count_extra_attempt(&self, cause: &'static str) {
        self.client.count_with_tags("extra_sub_requests", 1).with_tag("cause", cause).send();
    }
}
