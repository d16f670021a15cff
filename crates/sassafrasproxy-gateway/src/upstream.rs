//! Sends one request to an upstream replica.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use ecow::EcoString;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::Full;
use sassafrasproxy_core::{ReportedLoad, SendId, SendOutcome, SendResult, US_PER_MS};
use sassafrasproxy_platform::{
    UpstreamHead, WorkTime, decode_upstream_head, write_upstream_headers,
};
use sassafrasproxy_wire::ReplicaEntry;
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::timeout;

use crate::answer_body::BodyError;
use crate::connection_pool::{ConnectError, connect};
use crate::crash_check::{CrashSign, check_for_crash};
use crate::http_connection::HttpConnection;
use crate::metrics::KindLabel;
use crate::request::CallerRequest;
use crate::traffic::TrafficState;

/// The timeout of a connection attempt.
///
/// Callers allow one second for their own connections; a replica that needs half of that counts
/// as unreachable.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// The time for which a new connection must stay open before it carries a non-idempotent request.
///
/// A replica over its connection limit resets a connection when it accepts it. The reset arrives a
/// few milliseconds plus the network delay between failure domains after the connect.
const RESET_DETECTION_TIME: Duration = Duration::from_millis(10);

/// The time for which a send waits for the answer past its deadline.
///
/// A replica answers at the deadline at the latest; the margin covers the network delay and a
/// short queue.
const ANSWER_MARGIN_US: u64 = 50_000;

/// The complete answer of a replica.
#[derive(Debug, Clone)]
pub struct UpstreamAnswer {
    /// The status.
    pub status: StatusCode,
    /// The headers as received.
    pub headers: HeaderMap,
    /// The decoded headers that concern the proxy.
    pub head: UpstreamHead,
    /// The body.
    pub body: Bytes,
}

/// The result of a send.
#[derive(Debug)]
pub enum UpstreamResult {
    /// The replica answered, with a success or a failure.
    Answered(UpstreamAnswer),
    /// The replica answered that it did not run the request.
    NotRun,
    /// Another replica answered at the address; it did not run the request.
    Misdirected,
    /// Nothing was sent.
    Unsent,
    /// The request may have run, but no usable answer arrived.
    Lost,
    /// The request may have run, but no answer arrived before the timeout.
    TimedOut,
}

impl UpstreamResult {
    /// Returns the result for the fetch.
    pub fn send_result(&self) -> SendResult {
        match self {
            Self::Answered(answer) if is_failure(answer.status) => SendResult::MayHaveRun,
            Self::Answered(_) => SendResult::Answered,
            Self::NotRun => SendResult::NotRun,
            Self::Misdirected | Self::Unsent => SendResult::Unsent,
            Self::Lost | Self::TimedOut => SendResult::MayHaveRun,
        }
    }

    /// Returns the load that the replica reported.
    pub fn reported_load(&self) -> Option<ReportedLoad> {
        let Self::Answered(answer) = self else { return None };
        let (running, queued) = answer.head.running_count.zip(answer.head.queued_count)?;
        let work_time_percent = match answer.head.work_time {
            WorkTime::Percent(percent) => Some(percent),
            WorkTime::Absent | WorkTime::Invalid => None,
        };
        Some(ReportedLoad { requests: running.saturating_add(queued), work_time_percent })
    }

    /// Returns the outcome for the replica.
    pub fn outcome(&self) -> SendOutcome {
        match self {
            Self::Answered(answer) if is_failure(answer.status) => SendOutcome::Faulty,
            Self::Answered(_) => SendOutcome::Answered,
            Self::NotRun => SendOutcome::Refused,
            Self::Misdirected => SendOutcome::Misdirected,
            Self::Unsent => SendOutcome::Unreachable,
            Self::Lost => SendOutcome::Lost,
            Self::TimedOut => SendOutcome::TimedOut,
        }
    }
}

/// Whether a status is a failure that a retry on another replica may avoid.
pub fn is_failure(status: StatusCode) -> bool {
    status.is_server_error()
}

/// The parameters of a send.
pub struct SendSpec {
    /// The caller's request.
    pub request: Rc<CallerRequest>,
    /// The name of the route, to record its latencies.
    pub route: EcoString,
    /// The replica.
    pub replica: Arc<ReplicaEntry>,
    /// The id of the send in the pool.
    pub send_id: SendId,
    /// The time at which the replica must stop, in microseconds of this node's clock.
    pub deadline_us: u64,
    /// Whether replicas of several services run the request at the same time.
    pub is_fan_out: bool,
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
}

impl SendSpec {
    /// Logs why the send failed, with its request and replica.
    fn log_failure(&self, error: &dyn std::fmt::Display) {
        let (request, replica) = (&self.request.attempt_id, &self.replica.id);
        log::info!(request:%, replica:%, error:%; "a send failed");
    }

    /// Logs and counts an answer that was given up because of its size.
    fn record_over_limit(
        &self,
        traffic: &TrafficState,
        limit: &'static str,
        error: &dyn std::fmt::Display,
    ) {
        let (request, replica) = (&self.request.attempt_id, &self.replica.id);
        log::warn!(
            request:%, replica:%, limit, error:%;
            "gave up an answer that is too large; its connection is closed"
        );
        traffic.metrics.answers_over_limit.get_or_create(&KindLabel::new(limit)).inc();
    }
}

/// The sends of one request.
///
/// If the caller disconnects, this is dropped with the request and aborts the sends. That closes
/// their connections, which makes the replicas stop.
#[derive(Debug, Default)]
pub struct SendTasks {
    tasks: Vec<AbortHandle>,
}

impl SendTasks {
    /// Adds a send.
    pub fn push(&mut self, task: AbortHandle) {
        self.tasks.push(task);
    }

    /// Lets the sends in progress continue after this is dropped.
    pub fn detach(&mut self) {
        self.tasks.clear();
    }
}

impl Drop for SendTasks {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

/// Starts a send in a task, which calls `on_result` at the end and returns the connection to the
/// pool.
///
/// The task outlives a request that is answered without it: closing its connection would make
/// the replica spend a slot on a new one.
pub fn start_send(
    traffic: &Rc<TrafficState>,
    spec: SendSpec,
    on_result: impl FnOnce(UpstreamResult) + 'static,
) -> AbortHandle {
    let traffic = traffic.clone();
    let task = spawn_local(async move {
        let guard = SendGuard::new(&traffic, spec.replica.id.clone(), spec.send_id);
        let started_us = traffic.clock.now_us();
        let result = run_send(&traffic, &spec).await;
        spec.request.progress.record_result(result.send_result());
        if result.send_result() == SendResult::Answered {
            traffic.record_latency(&spec.route, traffic.clock.now_us() - started_us);
        }
        if let UpstreamResult::Answered(_) = result {
            traffic.quarantine.record_answer(&spec.request.fingerprints);
        }
        guard.finish(result.outcome(), result.reported_load());
        on_result(result);
    });
    task.abort_handle()
}

/// Reports the outcome of a send to the pool, also if its task is aborted.
pub struct SendGuard {
    traffic: Rc<TrafficState>,
    replica: EcoString,
    send_id: SendId,
    outcome: SendOutcome,
    reported_load: Option<ReportedLoad>,
}

impl SendGuard {
    /// Returns the guard of a send, which counts as cancelled until it is finished.
    pub fn new(traffic: &Rc<TrafficState>, replica: EcoString, send_id: SendId) -> Self {
        let outcome = SendOutcome::Cancelled;
        Self { traffic: traffic.clone(), replica, send_id, outcome, reported_load: None }
    }

    /// Records the outcome, and the load that the replica reported.
    pub fn finish(mut self, outcome: SendOutcome, reported_load: Option<ReportedLoad>) {
        self.outcome = outcome;
        self.reported_load = reported_load;
    }
}

impl Drop for SendGuard {
    fn drop(&mut self) {
        let kind = match self.outcome {
            SendOutcome::Answered => "answered",
            SendOutcome::Faulty => "faulty",
            SendOutcome::Refused => "refused",
            SendOutcome::Lost => "lost",
            SendOutcome::TimedOut => "silent",
            SendOutcome::Unreachable => "unreachable",
            SendOutcome::Misdirected => "misdirected",
            SendOutcome::Cancelled => "cancelled",
        };
        self.traffic.metrics.send_ends.get_or_create(&KindLabel::new(kind)).inc();
        let now_us = self.traffic.clock.now_us();
        let mut pool = self.traffic.pool.borrow_mut();
        pool.finish_send(&self.replica, self.send_id, now_us, self.outcome, self.reported_load);
    }
}

async fn run_send(traffic: &Rc<TrafficState>, spec: &SendSpec) -> UpstreamResult {
    let id = &spec.replica.id;
    let sender = match ready_connection(traffic, spec).await {
        Ok(sender) => sender,
        Err(error) => {
            spec.log_failure(&format_args!("failed to connect: {error}"));
            return UpstreamResult::Unsent;
        }
    };
    let now_us = traffic.clock.now_us();
    let left_us = spec.deadline_us.saturating_sub(now_us);
    if left_us < US_PER_MS {
        traffic.return_connection(id, sender, None);
        return UpstreamResult::Unsent;
    }
    let limit = Duration::from_micros(left_us + ANSWER_MARGIN_US);
    match timeout(limit, send_request(traffic, spec, sender, left_us / US_PER_MS)).await {
        Ok(result) => result,
        Err(_) => {
            spec.log_failure(&format_args!("no answer within {limit:?}"));
            traffic.connections.borrow_mut().drop_idle(id);
            check_for_crash(traffic, spec, CrashSign::Silence);
            UpstreamResult::TimedOut
        }
    }
}

/// Returns a connection that is ready for a request: an idle one, or else a new one.
async fn ready_connection(
    traffic: &TrafficState,
    spec: &SendSpec,
) -> Result<HttpConnection, ConnectError> {
    loop {
        let now_us = traffic.clock.now_us();
        let idle = traffic.connections.borrow_mut().take(&spec.replica.id, now_us);
        let Some(mut sender) = idle else { break };
        if sender.ready().await.is_ok() {
            return Ok(sender);
        }
    }
    let left = Duration::from_micros(spec.deadline_us.saturating_sub(traffic.clock.now_us()));
    let quiet = if spec.is_idempotent { Duration::ZERO } else { RESET_DETECTION_TIME };
    connect(spec.replica.address, left.min(CONNECT_TIMEOUT), quiet).await
}

/// Sends the request and reads the whole answer.
async fn send_request(
    traffic: &Rc<TrafficState>,
    spec: &SendSpec,
    mut sender: HttpConnection,
    left_ms: u64,
) -> UpstreamResult {
    let (request, id) = (&spec.request, &spec.replica.id);
    let mut upstream = Request::new(Full::new(request.body.clone()));
    *upstream.method_mut() = request.method.clone();
    *upstream.uri_mut() = request.uri.clone();
    *upstream.headers_mut() = request.headers.clone();
    write_upstream_headers(upstream.headers_mut(), id, left_ms);
    request.mark_sent();
    let max_body_bytes = traffic.answer_store.limits().max_answer_bytes;
    let response = match sender.send(upstream, max_body_bytes).await {
        Ok(response) => response,
        Err(error) => {
            // The error holds the request if none of it was written to the connection.
            let is_unsent = error.message().is_some();
            spec.log_failure(error.error());
            if is_unsent {
                return UpstreamResult::Unsent;
            }
            if sender.is_over_limit() {
                spec.record_over_limit(traffic, "head", &format_args!("{}", error.error()));
                return UpstreamResult::Lost;
            }
            check_for_crash(traffic, spec, CrashSign::BrokenConnection);
            return UpstreamResult::Lost;
        }
    };
    let (parts, body) = response.into_parts();
    let body = match traffic.answer_store.read(body).await {
        Ok(body) => body,
        Err(error) => {
            spec.log_failure(&error);
            // Returning closes the connection.
            match error {
                BodyError::TooLarge { .. } => spec.record_over_limit(traffic, "body", &error),
                BodyError::NoRoom { .. } => spec.record_over_limit(traffic, "in_flight", &error),
                BodyError::Broken(_) if sender.is_over_limit() => {
                    spec.record_over_limit(traffic, "framing", &error);
                }
                BodyError::Broken(_) => {
                    check_for_crash(traffic, spec, CrashSign::BrokenConnection);
                }
            }
            return UpstreamResult::Lost;
        }
    };
    let head = decode_upstream_head(parts.status, &parts.headers);
    if head.work_time == WorkTime::Invalid {
        traffic.metrics.invalid_work_times.inc();
    }
    // A late answer to an earlier request: the connection stays one answer behind, so it is not
    // reused.
    if head.attempt_id.as_ref().is_some_and(|echoed| *echoed != request.attempt_id) {
        spec.log_failure(&"the answer echoes the id of another attempt");
        return UpstreamResult::Lost;
    }
    if !head.is_closing {
        traffic.return_connection(id, sender, head.keep_alive_ms);
    }
    if head.is_misdirected {
        return UpstreamResult::Misdirected;
    }
    if head.is_not_run {
        return UpstreamResult::NotRun;
    }
    if head.stamp.is_none() {
        spec.log_failure(&"the answer has no replica stamp");
        return UpstreamResult::Lost;
    }
    UpstreamResult::Answered(UpstreamAnswer {
        status: parts.status,
        headers: parts.headers,
        head,
        body,
    })
}
