//! One send to an upstream replica.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use ecow::EcoString;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use sassafrasproxy_core::{CrashReport, SendId, SendOutcome, SendResult, US_PER_MS};
use sassafrasproxy_platform::{UpstreamHead, decode_upstream_head, write_upstream_headers};
use sassafrasproxy_wire::ReplicaEntry;
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::timeout;

use crate::connection_pool::{ConnectError, UpstreamConnection, connect};
use crate::metrics::KindLabel;
use crate::request::CallerRequest;
use crate::traffic::TrafficState;

/// The longest that a new connection may take.
///
/// Callers allow a second for theirs; a replica that takes half of that is as good as away.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// How long a new connection must stay quiet before it carries a request that may run once only.
///
/// A replica that is over its cap resets a connection when it would accept it: some milliseconds and
/// the way between failure domains later.
const RESET_DETECTION_TIME: Duration = Duration::from_millis(10);

/// How long past its deadline a replica's answer is waited for.
///
/// A replica answers at the deadline itself; this covers the way back and a short queue.
const ANSWER_MARGIN_US: u64 = 50_000;

/// A replica's whole answer.
#[derive(Debug, Clone)]
pub struct UpstreamAnswer {
    /// The status.
    pub status: StatusCode,
    /// The headers as they came.
    pub headers: HeaderMap,
    /// What the headers say of the exchange.
    pub head: UpstreamHead,
    /// The body.
    pub body: Bytes,
}

/// How a send ended.
#[derive(Debug)]
pub enum UpstreamResult {
    /// The replica answered for itself, with a success or a failure.
    Answered(UpstreamAnswer),
    /// The replica says that it did not run the request.
    NotRun,
    /// Another replica has the address; it did not run the request.
    Misdirected,
    /// Nothing was sent.
    Unsent,
    /// It may have run, and no usable answer came.
    Lost,
    /// It may have run, and nothing came for as long as it could wait.
    TimedOut,
}

impl UpstreamResult {
    /// What it means for the fetch.
    pub fn try_result(&self) -> SendResult {
        match self {
            Self::Answered(answer) if is_failure(answer.status) => SendResult::MayHaveRun,
            Self::Answered(_) => SendResult::Answered,
            Self::NotRun => SendResult::NotRun,
            Self::Misdirected | Self::Unsent => SendResult::Unsent,
            Self::Lost | Self::TimedOut => SendResult::MayHaveRun,
        }
    }

    /// What the replica said of its load: requests that it runs and queues.
    pub fn reported_load(&self) -> Option<u32> {
        let Self::Answered(answer) = self else { return None };
        answer
            .head
            .running_count
            .zip(answer.head.queued_count)
            .map(|(running, waiting)| running + waiting)
    }

    /// What it means for the replica.
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

/// Whether a replica's answer is a failure that another replica may not have.
pub fn is_failure(status: StatusCode) -> bool {
    status.is_server_error()
}

/// What a send needs.
pub struct SendSpec {
    /// The caller's request.
    pub request: Rc<CallerRequest>,
    /// The route, for its latencies.
    pub route: EcoString,
    /// The replica.
    pub replica: Arc<ReplicaEntry>,
    /// The send, as the pool knows it.
    pub send_id: SendId,
    /// When the replica stops, in microseconds.
    pub deadline_us: u64,
    /// Whether replicas of other services run the request at the same time.
    pub is_fan_out: bool,
    /// Whether running it twice does no harm.
    pub is_idempotent: bool,
}

impl SendSpec {
    /// Logs why a send brought nothing, with what it was.
    fn log_failure(&self, error: &dyn std::fmt::Display) {
        let (request, replica) = (&self.request.attempt_id, &self.replica.id);
        log::info!(request:%, replica:%, error:%; "a send failed");
    }
}

/// The sends of one request.
///
/// Dropped with the request when its caller leaves: then the replicas must stop too, which they
/// do when their connections close.
#[derive(Debug, Default)]
pub struct SendTasks {
    tasks: Vec<AbortHandle>,
}

impl SendTasks {
    /// Adds a send.
    pub fn push(&mut self, task: AbortHandle) {
        self.tasks.push(task);
    }

    /// Lets the sends that are still under way end by themselves.
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

/// Starts a send in a task of its own, which tells its end and keeps the connection.
///
/// The task outlives a request that is answered without it: closing its connection would make
/// the replica spend a slot on a new one.
pub fn start_send(
    traffic: &Rc<TrafficState>,
    spec: SendSpec,
    tell: impl FnOnce(UpstreamResult) + 'static,
) -> AbortHandle {
    let traffic = traffic.clone();
    let task = spawn_local(async move {
        let noted = SendGuard::new(&traffic, spec.replica.id.clone(), spec.send_id);
        let started_us = traffic.clock.now_us();
        let end = run_send(&traffic, &spec).await;
        if end.try_result() == SendResult::Answered {
            traffic.record_latency(&spec.route, traffic.clock.now_us() - started_us);
        }
        noted.finish(end.outcome(), end.reported_load());
        tell(end);
    });
    task.abort_handle()
}

/// Tells the pool how a send ended, also when its task is aborted.
pub struct SendGuard {
    traffic: Rc<TrafficState>,
    replica: EcoString,
    send_id: SendId,
    outcome: SendOutcome,
    reported_load: Option<u32>,
}

impl SendGuard {
    /// A send that counts as cancelled until its end is known.
    pub fn new(traffic: &Rc<TrafficState>, replica: EcoString, send_id: SendId) -> Self {
        let outcome = SendOutcome::Cancelled;
        Self { traffic: traffic.clone(), replica, send_id, outcome, reported_load: None }
    }

    /// Notes the end, and the replica's word on its load.
    pub fn finish(mut self, outcome: SendOutcome, reported: Option<u32>) {
        self.outcome = outcome;
        self.reported_load = reported;
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
            spec.log_failure(&format_args!("no connection: {error}"));
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
        Ok(end) => end,
        Err(_) => {
            spec.log_failure(&format_args!("silent for {limit:?}"));
            traffic.connections.borrow_mut().drop_idle(id);
            UpstreamResult::TimedOut
        }
    }
}

/// Finds out whether a replica whose connection broke off under a request has died.
///
/// An answer that is lost on its way breaks a connection off, too, but then the replica takes
/// new ones. Where several replicas run the request at once, their deaths count as one.
fn check_for_crash(traffic: &Rc<TrafficState>, spec: &SendSpec) {
    let replica = if spec.is_fan_out { "" } else { spec.replica.id.as_str() };
    let report = CrashReport::new(spec.request.fingerprint, &spec.request.attempt_id, replica);
    let (traffic, address) = (traffic.clone(), spec.replica.address);
    let (request, replica) = (spec.request.attempt_id.clone(), spec.replica.id.clone());
    spawn_local(async move {
        let connected = connect(address, CONNECT_TIMEOUT, Duration::ZERO).await;
        if let Err(error) = connected
            && error.is_process_gone()
        {
            log::warn!(request:%, replica:%, error:%; "a replica died under a request");
            traffic.record_crash(report);
        }
    });
}

/// A connection that can take a request now: a kept one, or a new one.
async fn ready_connection(
    traffic: &TrafficState,
    spec: &SendSpec,
) -> Result<UpstreamConnection, ConnectError> {
    loop {
        let now_us = traffic.clock.now_us();
        let kept = traffic.connections.borrow_mut().take(&spec.replica.id, now_us);
        let Some(mut sender) = kept else { break };
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
    mut sender: UpstreamConnection,
    left_ms: u64,
) -> UpstreamResult {
    let (request, id) = (&spec.request, &spec.replica.id);
    let mut upstream = Request::new(Full::new(request.body.clone()));
    *upstream.method_mut() = request.method.clone();
    *upstream.uri_mut() = request.uri.clone();
    *upstream.headers_mut() = request.headers.clone();
    write_upstream_headers(upstream.headers_mut(), id, left_ms);
    let response = match sender.try_send_request(upstream).await {
        Ok(response) => response,
        Err(error) => {
            let is_unsent = error.message().is_some();
            spec.log_failure(error.error());
            if is_unsent {
                return UpstreamResult::Unsent;
            }
            check_for_crash(traffic, spec);
            return UpstreamResult::Lost;
        }
    };
    let (parts, body) = response.into_parts();
    let body = match body.collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) => {
            spec.log_failure(&format_args!("the answer broke off: {error}"));
            return UpstreamResult::Lost;
        }
    };
    let head = decode_upstream_head(parts.status, &parts.headers);
    // An answer to an earlier request that came late: the connection is off by one for good.
    if head.attempt_id.as_ref().is_some_and(|echoed| *echoed != request.attempt_id) {
        spec.log_failure(&"the answer belongs to another request");
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
        spec.log_failure(&"an answer without a signature");
        return UpstreamResult::Lost;
    }
    UpstreamResult::Answered(UpstreamAnswer {
        status: parts.status,
        headers: parts.headers,
        head,
        body,
    })
}
