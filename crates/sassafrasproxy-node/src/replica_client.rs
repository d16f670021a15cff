//! Requests to one upstream replica.

use std::time::Duration;

use ecow::EcoString;
use reqwest::header::{HeaderMap, RETRY_AFTER};
use reqwest::{Client, Response, StatusCode};
use sassafrasproxy_clock::Clock;
use sassafrasproxy_core::{AttemptReport, AttemptResult, StatusReport, US_PER_MS};
use sassafrasproxy_wire::{
    BOOT_ID_HEADER, Body, DEADLINE_HEADER, DRAINING_HEADER, NOT_RUN_HEADER, REQUEST_ID_HEADER,
    SNAPSHOT_HEADER, SnapshotId, UpstreamQuery, UpstreamStatus,
};

/// How long a status read or a cancellation may take.
const CONTROL_TIMEOUT: Duration = Duration::from_millis(300);

/// How long a new connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// What a request may take beyond its deadline, so that its slot is counted until it surely ended.
const DEADLINE_MARGIN: Duration = Duration::from_millis(250);

/// Microseconds in a second.
const US_PER_S: u64 = 1_000_000;

/// The connections to one replica.
///
/// Requests have connections of their own, so that a cancellation or a status read never waits
/// behind them; HTTP/1.1 carries one request at a time on each.
#[derive(Debug, Clone)]
pub struct ReplicaClient {
    base_url: EcoString,
    max_idle_connections: usize,
    query_client: Client,
    control_client: Client,
}

/// One send to a replica.
#[derive(Debug, Clone)]
pub struct AttemptRequest {
    /// Unique for each send, over all nodes.
    pub id: EcoString,
    /// The snapshot that the answer must come from.
    pub snapshot: SnapshotId,
    /// When the answer is wanted at the latest, by the node's clock.
    pub deadline_us: u64,
    /// What to ask.
    pub query: UpstreamQuery,
}

impl ReplicaClient {
    /// A replica by address, with the most idle connections to keep.
    pub fn new(address: &str, max_idle_connections: usize) -> Self {
        Self {
            base_url: ecow::eco_format!("http://{address}"),
            max_idle_connections,
            query_client: build_client(max_idle_connections),
            control_client: build_client(1),
        }
    }

    /// Leaves all open connections alone and uses new ones from now on.
    pub fn retire_connections(&mut self) {
        self.query_client = build_client(self.max_idle_connections);
        self.control_client = build_client(1);
    }

    /// Sends a request and returns the report with the answer's body, if it was good.
    ///
    /// The time left is read here, as late as can be. Guards against a node that was paused
    /// between the decision and the send: it would wake and run an old request.
    pub async fn send(
        &self,
        clock: &Clock,
        request: &AttemptRequest,
    ) -> (AttemptReport, Option<Body>) {
        let deadline_ms = remaining_ms(request.deadline_us, clock.now_us());
        if deadline_ms == 0 {
            return (AttemptResult::NotSent.into(), None);
        }
        let timeout = Duration::from_millis(deadline_ms) + DEADLINE_MARGIN;
        let sent = self
            .query_client
            .post(format!("{}/query", self.base_url))
            .header(REQUEST_ID_HEADER, request.id.as_str())
            .header(DEADLINE_HEADER, deadline_ms)
            .header(SNAPSHOT_HEADER, request.snapshot)
            .timeout(timeout)
            .json(&request.query)
            .send()
            .await;
        match sent {
            Ok(response) => read_answer(request, response).await,
            Err(error) => (classify_error(&error).into(), None),
        }
    }

    /// Tells the replica to stop a request; returns whether it confirmed that.
    pub async fn cancel(&self, id: &str) -> bool {
        let url = format!("{}/query/{id}", self.base_url);
        let sent = self.control_client.delete(url).timeout(CONTROL_TIMEOUT).send().await;
        sent.is_ok_and(|response| response.status().is_success())
    }

    /// Reads the replica's status.
    pub async fn status(&self) -> StatusReport {
        read_status(&self.control_client, &self.base_url).await
    }

    /// Reads the replica's status over a connection of its own.
    pub async fn probe(&self) -> StatusReport {
        read_status(&build_client(0), &self.base_url).await
    }
}

/// A client that keeps a number of idle connections.
fn build_client(idle: usize) -> Client {
    Client::builder()
        .no_proxy()
        .http1_only()
        .connect_timeout(CONNECT_TIMEOUT)
        .pool_max_idle_per_host(idle)
        .tcp_nodelay(true)
        .build()
        .expect("a client without TLS always builds")
}

async fn read_status(client: &Client, base: &str) -> StatusReport {
    let sent = client.get(format!("{base}/status")).timeout(CONTROL_TIMEOUT).send().await;
    let response = match sent {
        Ok(response) => response,
        Err(error) if error.is_connect() => return StatusReport::Unreachable,
        Err(_) => return StatusReport::Unreadable,
    };
    match response.json::<UpstreamStatus>().await {
        Ok(status) => StatusReport::Read(status),
        Err(_) => StatusReport::Unreadable,
    }
}

/// Sorts a failed send out.
fn classify_error(error: &reqwest::Error) -> AttemptResult {
    if error.is_connect() {
        AttemptResult::ConnectFailed
    } else if error.is_timeout() {
        AttemptResult::TimedOut
    } else {
        AttemptResult::ConnectionLost
    }
}

/// Checks that an answer belongs to the send before its body is taken.
async fn read_answer(
    request: &AttemptRequest,
    response: Response,
) -> (AttemptReport, Option<Body>) {
    let headers = response.headers();
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    let mut report = AttemptReport {
        result: AttemptResult::Answered,
        boot_id: text(BOOT_ID_HEADER).map(EcoString::from),
        is_draining: text(DRAINING_HEADER) == Some("true"),
    };
    let is_ours = text(REQUEST_ID_HEADER) == Some(request.id.as_str());
    let snapshot = text(SNAPSHOT_HEADER).and_then(|value| value.parse::<SnapshotId>().ok());
    report.result = if response.status() != StatusCode::OK {
        classify_refusal(response.status(), headers)
    } else if !is_ours || snapshot != Some(request.snapshot) {
        AttemptResult::Mismatched
    } else {
        AttemptResult::Answered
    };
    if report.result != AttemptResult::Answered {
        return (report, None);
    }
    let body = match response.bytes().await {
        Ok(bytes) => serde_json::from_slice::<Box<serde_json::value::RawValue>>(&bytes).ok(),
        Err(error) => {
            report.result = classify_error(&error);
            return (report, None);
        }
    };
    if body.is_none() {
        report.result = AttemptResult::Malformed;
    }
    (report, body.map(Body::from))
}

/// Sorts a refusal out; without the upstream's word that it did not run, it may have.
fn classify_refusal(status: StatusCode, headers: &HeaderMap) -> AttemptResult {
    let is_not_run = headers.get(NOT_RUN_HEADER).is_some_and(|value| value == "true");
    match status {
        StatusCode::CONFLICT if is_not_run => AttemptResult::NotHeld,
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE if is_not_run => {
            AttemptResult::Shed { retry_after_us: retry_after_us(headers) }
        }
        _ => AttemptResult::Failed,
    }
}

/// The pause that an upstream asks for, in whole or decimal seconds.
fn retry_after_us(headers: &HeaderMap) -> u64 {
    let text = headers.get(RETRY_AFTER).and_then(|value| value.to_str().ok());
    let seconds = text.and_then(|text| text.parse::<f64>().ok()).unwrap_or(0.0);
    (seconds.max(0.0) * US_PER_S as f64) as u64
}

/// The time from now to a deadline in milliseconds, rounded down so that no hop adds any.
pub fn remaining_ms(deadline_us: u64, now_us: u64) -> u64 {
    deadline_us.saturating_sub(now_us) / US_PER_MS
}
