//! Sends requests to one upstream replica.

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

use crate::limited_body::{LimitedBodyError, read_limited};

/// The timeout of a status read or a cancellation.
const CONTROL_TIMEOUT: Duration = Duration::from_millis(300);

/// The timeout of a new connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// How long an answer is awaited beyond the deadline, so that the slot stays in use until the
/// request has certainly ended at the replica.
const DEADLINE_MARGIN: Duration = Duration::from_millis(250);

/// The maximum size of the body of an answer, in bytes.
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// The maximum size of a replica's status, in bytes.
const MAX_STATUS_BYTES: usize = 64 << 10;

/// The number of microseconds in a second.
const US_PER_S: u64 = 1_000_000;

/// A client of one replica.
///
/// Queries use separate connections, so that a cancellation or a status read never waits for them:
/// an HTTP/1.1 connection carries one request at a time.
#[derive(Debug, Clone)]
pub struct ReplicaClient {
    base_url: EcoString,
    max_idle_connections: usize,
    query_client: Client,
    control_client: Client,
}

/// One attempt at a replica.
#[derive(Debug, Clone)]
pub struct AttemptRequest {
    /// The id of the attempt, unique over all nodes.
    pub id: EcoString,
    /// The snapshot that the answer must come from.
    pub snapshot: SnapshotId,
    /// The deadline of the answer, by the node's clock.
    pub deadline_us: u64,
    /// The query to run.
    pub query: UpstreamQuery,
}

impl ReplicaClient {
    /// Creates a client for a replica's address that keeps at most `max_idle_connections` idle
    /// connections for queries.
    pub fn new(address: &str, max_idle_connections: usize) -> Self {
        Self {
            base_url: ecow::eco_format!("http://{address}"),
            max_idle_connections,
            query_client: build_client(max_idle_connections),
            control_client: build_client(1),
        }
    }

    /// Uses new connections from now on; requests on open connections continue there.
    pub fn retire_connections(&mut self) {
        self.query_client = build_client(self.max_idle_connections);
        self.control_client = build_client(1);
    }

    /// Sends a request and returns the report, with the answer's body if the answer is valid.
    ///
    /// The remaining time is computed here, directly before the send. This guards against a node
    /// that is paused between the decision to send and the send: when it resumes, it would
    /// otherwise run an outdated request.
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

    /// Sends a cancellation of a request; returns whether the replica confirmed it.
    pub async fn cancel(&self, id: &str) -> bool {
        let url = format!("{}/query/{id}", self.base_url);
        let sent = self.control_client.delete(url).timeout(CONTROL_TIMEOUT).send().await;
        sent.is_ok_and(|response| response.status().is_success())
    }

    /// Reads the replica's status.
    pub async fn status(&self) -> StatusReport {
        read_status(&self.control_client, &self.base_url).await
    }

    /// Reads the replica's status over a new connection.
    pub async fn probe(&self) -> StatusReport {
        read_status(&build_client(0), &self.base_url).await
    }
}

/// Builds an HTTP client that keeps at most `max_idle_connections` idle connections.
fn build_client(max_idle_connections: usize) -> Client {
    Client::builder()
        .no_proxy()
        .http1_only()
        .connect_timeout(CONNECT_TIMEOUT)
        .pool_max_idle_per_host(max_idle_connections)
        .tcp_nodelay(true)
        .build()
        .expect("a client without TLS always builds")
}

async fn read_status(client: &Client, base_url: &str) -> StatusReport {
    let sent = client.get(format!("{base_url}/status")).timeout(CONTROL_TIMEOUT).send().await;
    let response = match sent {
        Ok(response) => response,
        Err(error) if error.is_connect() => return StatusReport::Unreachable,
        Err(_) => return StatusReport::Unreadable,
    };
    let Ok(body) = read_limited(response, MAX_STATUS_BYTES).await else {
        return StatusReport::Unreadable;
    };
    match serde_json::from_slice::<UpstreamStatus>(&body) {
        Ok(status) => StatusReport::Read(status),
        Err(_) => StatusReport::Unreadable,
    }
}

/// Returns the result of an attempt that failed without a complete answer.
fn classify_error(error: &reqwest::Error) -> AttemptResult {
    if error.is_connect() {
        AttemptResult::ConnectFailed
    } else if error.is_timeout() {
        AttemptResult::TimedOut
    } else {
        AttemptResult::ConnectionLost
    }
}

/// Reads an answer; its body is read only if the answer belongs to the attempt and its snapshot.
async fn read_answer(
    request: &AttemptRequest,
    response: Response,
) -> (AttemptReport, Option<Body>) {
    let headers = response.headers();
    let header = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    let mut report = AttemptReport {
        result: AttemptResult::Answered,
        boot_id: header(BOOT_ID_HEADER).map(EcoString::from),
        is_draining: header(DRAINING_HEADER) == Some("true"),
    };
    let is_same_request = header(REQUEST_ID_HEADER) == Some(request.id.as_str());
    let snapshot = header(SNAPSHOT_HEADER).and_then(|value| value.parse::<SnapshotId>().ok());
    report.result = if response.status() != StatusCode::OK {
        classify_refusal(response.status(), headers)
    } else if !is_same_request || snapshot != Some(request.snapshot) {
        AttemptResult::Mismatched
    } else {
        AttemptResult::Answered
    };
    if report.result != AttemptResult::Answered {
        return (report, None);
    }
    let body = match read_limited(response, MAX_ANSWER_BYTES).await {
        Ok(bytes) => serde_json::from_slice::<Box<serde_json::value::RawValue>>(&bytes).ok(),
        Err(LimitedBodyError::Incomplete(error)) => {
            report.result = classify_error(&error);
            return (report, None);
        }
        Err(error @ LimitedBodyError::TooLarge { .. }) => {
            log::warn!(request:% = request.id, error:%; "gave up an answer that is too large");
            None
        }
    };
    if body.is_none() {
        report.result = AttemptResult::Malformed;
    }
    (report, body.map(Body::from))
}

/// Returns the result for a status other than 200.
///
/// Only status 409, 429 or 503 together with the header [`NOT_RUN_HEADER`] shows that the request
/// did not run; after any other answer it may have run.
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

/// Returns the retry delay that an upstream requests in whole or decimal seconds, or 0 if it
/// requests none.
fn retry_after_us(headers: &HeaderMap) -> u64 {
    let text = headers.get(RETRY_AFTER).and_then(|value| value.to_str().ok());
    let seconds = text.and_then(|text| text.parse::<f64>().ok()).unwrap_or(0.0);
    (seconds.max(0.0) * US_PER_S as f64) as u64
}

/// Returns the time from now to a deadline in milliseconds, rounded down so that no hop extends the
/// deadline.
pub fn remaining_ms(deadline_us: u64, now_us: u64) -> u64 {
    deadline_us.saturating_sub(now_us) / US_PER_MS
}
