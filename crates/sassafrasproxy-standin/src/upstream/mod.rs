//! A stand-in for one upstream replica that can inject the faults of upstreams.

mod setup;

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use ecow::{EcoString, eco_format};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use indexmap::IndexMap;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, LogNormal};
use sassafrasproxy_wire::{
    BOOT_ID_HEADER, DEADLINE_HEADER, DRAINING_HEADER, HeldSnapshot, LOAD_HEADER, NOT_RUN_HEADER,
    REQUEST_ID_HEADER, SNAPSHOT_HEADER, SnapshotId, UpstreamQuery, UpstreamState, UpstreamStatus,
};
use serde_json::json;
use tokio::net::{TcpListener, TcpSocket};
use tokio::task::{AbortHandle, JoinSet};
use tokio_util::sync::CancellationToken;

pub use self::setup::*;

/// The spread of service times around their mean, as the sigma of a log-normal distribution.
const SERVICE_TIME_SIGMA: f64 = 0.25;

/// The number of connections that can wait to be accepted.
const ACCEPT_BACKLOG: u32 = 1_024;

type Answer = Response<Full<Bytes>>;

/// An upstream that runs in this process until it is dropped.
#[derive(Debug)]
pub struct UpstreamStandIn {
    address: SocketAddr,
    shared: Arc<Shared>,
    server: AbortHandle,
}

#[derive(Debug)]
struct Shared {
    setup: UpstreamSetup,
    state: Mutex<State>,
    /// The number of requests that hold a slot.
    running: AtomicU32,
    /// The maximum of `running` since it was last taken; requests that were refused because all
    /// slots were taken count too.
    max_running: AtomicU32,
    open_connections: AtomicU32,
    /// Ends the connections of the current process incarnation.
    crash_token: Mutex<CancellationToken>,
}

#[derive(Debug)]
struct State {
    rng: StdRng,
    boot_count: u32,
    /// The number of answers since the caches were last cold.
    answers_since_cold: u32,
    /// The downtime of a crash that `serve` hasn't handled yet, in milliseconds.
    down_ms: Option<u64>,
    is_draining_in_status: bool,
    is_draining_in_answers: bool,
    is_shedding: bool,
    stragglers: Option<Stragglers>,
    status_override: Option<UpstreamStatus>,
    sends_wrong_id: bool,
    truncates_answers: bool,
    snapshots: Vec<HeldSnapshot>,
    crash_on_text: Option<EcoString>,
    /// The started requests by attempt id.
    runs: IndexMap<EcoString, RunRecord>,
    /// The cancellations of running requests by attempt id.
    cancellations: IndexMap<EcoString, Cancellation>,
    /// Set to stall an open connection; one flag per connection.
    stall_flags: Vec<Arc<AtomicBool>>,
    crash_count: u32,
    service_times_ms: Vec<f32>,
}

impl UpstreamStandIn {
    /// Starts on a local address; port 0 takes any free port.
    ///
    /// Returns an error if it can't listen on the address.
    pub fn start(address: SocketAddr, setup: UpstreamSetup) -> std::io::Result<Self> {
        let listener = listen(address)?;
        let address = listener.local_addr()?;
        let state = State {
            rng: StdRng::seed_from_u64(setup.seed),
            boot_count: 1,
            answers_since_cold: setup.cold_start.map_or(0, |cold| cold.warm_up_answers),
            down_ms: None,
            is_draining_in_status: false,
            is_draining_in_answers: false,
            is_shedding: false,
            stragglers: setup.stragglers,
            status_override: None,
            sends_wrong_id: false,
            truncates_answers: false,
            snapshots: setup.snapshots.clone(),
            crash_on_text: None,
            runs: IndexMap::new(),
            cancellations: IndexMap::new(),
            stall_flags: Vec::new(),
            crash_count: 0,
            service_times_ms: Vec::new(),
        };
        let shared = Arc::new(Shared {
            setup,
            state: Mutex::new(state),
            running: AtomicU32::new(0),
            max_running: AtomicU32::new(0),
            open_connections: AtomicU32::new(0),
            crash_token: Mutex::default(),
        });
        let server = tokio::spawn(serve(shared.clone(), address, listener));
        Ok(Self { address, shared, server: server.abort_handle() })
    }

    /// Returns the address that the upstream listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Applies a fault.
    pub fn apply_fault(&self, fault: UpstreamFault) {
        self.shared.apply_fault(fault);
    }

    /// Returns every request that the upstream started, oldest first.
    pub fn runs(&self) -> Vec<RunRecord> {
        self.shared.lock().runs.values().cloned().collect()
    }

    /// Returns the maximum number of concurrent requests since the last call.
    pub fn take_max_running(&self) -> u32 {
        self.shared.max_running.swap(self.shared.running.load(Ordering::Relaxed), Ordering::Relaxed)
    }

    /// Returns the number of requests that the upstream started.
    pub fn run_count(&self) -> u64 {
        self.shared.lock().runs.len() as u64
    }

    /// Returns the number of slots.
    pub fn slots(&self) -> u32 {
        self.shared.setup.slots
    }

    /// Returns the number of requests that hold a slot now.
    pub fn running(&self) -> u32 {
        self.shared.running.load(Ordering::Relaxed)
    }

    /// Returns the number of crashes.
    pub fn crash_count(&self) -> u32 {
        self.shared.lock().crash_count
    }

    /// Returns the service times drawn since the last call, in milliseconds.
    pub fn take_service_times_ms(&self) -> Vec<f32> {
        std::mem::take(&mut self.shared.lock().service_times_ms)
    }
}

impl Drop for UpstreamStandIn {
    fn drop(&mut self) {
        self.server.abort();
    }
}

/// Listens on an address that the previous process incarnation may have used just before.
fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(ACCEPT_BACKLOG)
}

/// Serves connections until a crash, restarts after the downtime, and repeats.
async fn serve(shared: Arc<Shared>, address: SocketAddr, first: TcpListener) {
    let mut listener = Some(first);
    loop {
        let crash_token = shared.crash_token.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let mut connections = JoinSet::new();
        if let Some(listener) = listener.take() {
            tokio::select! {
                () = crash_token.cancelled() => {}
                () = accept_connections(&shared, listener, &mut connections) => {}
            }
        }
        connections.shutdown().await;
        let down_ms = shared.lock().down_ms.take().unwrap_or(0);
        tokio::time::sleep(Duration::from_millis(down_ms)).await;
        shared.restart();
        listener = listen(address).ok();
    }
}

/// Accepts and serves connections during one process incarnation.
async fn accept_connections(
    shared: &Arc<Shared>,
    listener: TcpListener,
    connections: &mut JoinSet<()>,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        while connections.try_join_next().is_some() {}
        if shared.open_connections.load(Ordering::Relaxed) >= shared.setup.max_connections {
            continue;
        }
        let _ = stream.set_nodelay(true);
        let shared = shared.clone();
        connections.spawn(async move {
            let _open = CountGuard::increment(shared.clone(), |shared| &shared.open_connections);
            tokio::time::sleep(duration_from_ms(shared.setup.connect_ms)).await;
            let is_stalled = Arc::new(AtomicBool::new(false));
            shared.lock().stall_flags.push(is_stalled.clone());
            let service = service_fn(|request| {
                let (shared, is_stalled) = (shared.clone(), is_stalled.clone());
                async move {
                    Ok::<Answer, Infallible>(serve_request(&shared, &is_stalled, request).await)
                }
            });
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

/// Serves one request; never returns if its connection is stalled.
async fn serve_request(
    shared: &Arc<Shared>,
    is_stalled: &AtomicBool,
    request: Request<Incoming>,
) -> Answer {
    tokio::time::sleep(duration_from_ms(shared.setup.round_trip_ms / 2.0)).await;
    if is_stalled.load(Ordering::Relaxed) {
        return std::future::pending().await;
    }
    let mut answer = route_request(shared, request).await;
    shared.add_headers(&mut answer);
    tokio::time::sleep(duration_from_ms(shared.setup.round_trip_ms / 2.0)).await;
    if is_stalled.load(Ordering::Relaxed) {
        return std::future::pending().await;
    }
    answer
}

async fn route_request(shared: &Arc<Shared>, request: Request<Incoming>) -> Answer {
    let path = request.uri().path().to_owned();
    match (request.method().clone(), path.as_str()) {
        (Method::POST, "/query") => handle_query(shared, request).await,
        (Method::GET, "/status") => shared.status_answer(),
        (Method::POST, "/standin/fault") => handle_fault_request(shared, request).await,
        (Method::DELETE, path) => shared.cancel_run(path.trim_start_matches("/query/")).await,
        _ => empty_answer(StatusCode::NOT_FOUND),
    }
}

/// Applies a fault that was sent over HTTP.
async fn handle_fault_request(shared: &Arc<Shared>, request: Request<Incoming>) -> Answer {
    let body = request.into_body().collect().await.map(http_body_util::Collected::to_bytes);
    let fault = body.ok().and_then(|body| serde_json::from_slice::<UpstreamFault>(&body).ok());
    let Some(fault) = fault else { return empty_answer(StatusCode::BAD_REQUEST) };
    shared.apply_fault(fault);
    empty_answer(StatusCode::OK)
}

/// Runs a query until it is answered, cancelled or past its deadline.
async fn handle_query(shared: &Arc<Shared>, request: Request<Incoming>) -> Answer {
    let header = |name: &str| {
        request.headers().get(name).and_then(|value| value.to_str().ok()).unwrap_or("").to_owned()
    };
    let id = EcoString::from(header(REQUEST_ID_HEADER));
    let snapshot: SnapshotId = header(SNAPSHOT_HEADER).parse().unwrap_or(0);
    let deadline_ms: u64 = header(DEADLINE_HEADER).parse().unwrap_or(u64::from(u32::MAX));
    let body = request.into_body().collect().await.map(http_body_util::Collected::to_bytes);
    let query = body.ok().and_then(|body| serde_json::from_slice::<UpstreamQuery>(&body).ok());
    let Some(query) = query else { return empty_answer(StatusCode::BAD_REQUEST) };
    if !shared.holds_shard(snapshot, &query.shard) {
        return not_run_answer(StatusCode::CONFLICT, &id);
    }
    let Some(slot) = shared.acquire_slot() else {
        return not_run_answer(StatusCode::TOO_MANY_REQUESTS, &id);
    };
    let (service_ms, cancellation) = shared.start_run(&id, snapshot, &query);
    let outcome = tokio::select! {
        () = tokio::time::sleep(duration_from_ms(service_ms)) => RunOutcome::Answered,
        () = tokio::time::sleep(Duration::from_millis(deadline_ms)) => RunOutcome::DeadlineExceeded,
        () = cancellation.requested.cancelled() => RunOutcome::Cancelled,
    };
    drop(slot);
    cancellation.completed.cancel();
    shared.finish_run(&id, outcome);
    if outcome != RunOutcome::Answered {
        return empty_answer(StatusCode::GATEWAY_TIMEOUT);
    }
    shared.query_answer(&id, snapshot, &query)
}

impl Shared {
    fn apply_fault(self: &Arc<Self>, fault: UpstreamFault) {
        let mut state = self.lock();
        match fault {
            UpstreamFault::Crash { down_ms } => {
                drop(state);
                self.crash(down_ms);
            }
            UpstreamFault::TurnCold => state.answers_since_cold = 0,
            UpstreamFault::SilenceConnections => {
                for is_stalled in state.stall_flags.drain(..) {
                    is_stalled.store(true, Ordering::Relaxed);
                }
            }
            UpstreamFault::Drain { in_status, in_answers } => {
                state.is_draining_in_status = in_status;
                state.is_draining_in_answers = in_answers;
            }
            UpstreamFault::Shed(sheds) => state.is_shedding = sheds,
            UpstreamFault::Straggle(stragglers) => state.stragglers = stragglers,
            UpstreamFault::LieInStatus(status) => state.status_override = status,
            UpstreamFault::CrossAnswers(crosses) => state.sends_wrong_id = crosses,
            UpstreamFault::Truncate(truncates) => state.truncates_answers = truncates,
            UpstreamFault::Hold(snapshots) => state.snapshots = snapshots,
            UpstreamFault::CrashOn(text) => state.crash_on_text = text,
        }
    }

    /// Ends this process incarnation and closes every connection.
    fn crash(&self, down_ms: u64) {
        let mut state = self.lock();
        state.down_ms = Some(down_ms);
        state.crash_count += 1;
        state.cancellations.clear();
        for run in state.runs.values_mut() {
            run.outcome.get_or_insert(RunOutcome::Crashed);
        }
        drop(state);
        self.crash_token.lock().unwrap_or_else(PoisonError::into_inner).cancel();
    }

    /// Starts a new process incarnation with cold caches.
    fn restart(&self) {
        *self.crash_token.lock().unwrap_or_else(PoisonError::into_inner) = CancellationToken::new();
        let mut state = self.lock();
        state.boot_count += 1;
        state.answers_since_cold = 0;
        state.stall_flags.clear();
    }

    /// Acquires a slot, unless all slots are taken or the upstream sheds requests.
    fn acquire_slot(self: &Arc<Self>) -> Option<CountGuard> {
        if self.lock().is_shedding {
            return None;
        }
        let slot = CountGuard::increment(self.clone(), |shared| &shared.running);
        let running = self.running.load(Ordering::Relaxed);
        self.max_running.fetch_max(running, Ordering::Relaxed);
        (running <= self.setup.slots).then_some(slot)
    }

    /// Records that a request runs; returns its service time in milliseconds and its cancellation.
    ///
    /// The request may crash the process.
    fn start_run(
        &self,
        id: &EcoString,
        snapshot: SnapshotId,
        query: &UpstreamQuery,
    ) -> (f64, Cancellation) {
        let mut state = self.lock();
        let cancellation = Cancellation::default();
        let body: EcoString = query.body.get().into();
        let has_crash_text =
            state.crash_on_text.as_ref().is_some_and(|text| body.contains(text.as_str()));
        let run = RunRecord {
            attempt_id: id.clone(),
            kind: query.kind.clone(),
            shard: query.shard.clone(),
            snapshot,
            body,
            outcome: None,
        };
        state.runs.insert(id.clone(), run);
        state.cancellations.insert(id.clone(), cancellation.clone());
        let mut service_ms = state.draw_service_ms(self.setup.mean_service_ms);
        let cold =
            self.setup.cold_start.filter(|cold| state.answers_since_cold < cold.warm_up_answers);
        let running = self.running.load(Ordering::Relaxed);
        drop(state);
        if let Some(cold) = cold {
            service_ms *= cold.slowdown_factor;
        }
        if has_crash_text || cold.is_some_and(|cold| running > cold.max_in_flight) {
            self.crash(if has_crash_text { 100 } else { 500 });
        }
        (service_ms, cancellation)
    }

    fn finish_run(&self, id: &EcoString, outcome: RunOutcome) {
        let mut state = self.lock();
        state.cancellations.swap_remove(id);
        if outcome == RunOutcome::Answered {
            state.answers_since_cold += 1;
        }
        if let Some(run) = state.runs.get_mut(id) {
            run.outcome = Some(outcome);
        }
    }

    fn query_answer(&self, id: &EcoString, snapshot: SnapshotId, query: &UpstreamQuery) -> Answer {
        let state = self.lock();
        let text = json!({ "shard": query.shard, "snapshot": snapshot, "echo": query.body });
        let mut text = text.to_string();
        if state.truncates_answers {
            text.truncate(text.len() / 2);
        }
        let id = if state.sends_wrong_id { eco_format!("not-{id}") } else { id.clone() };
        let mut answer = Response::new(Full::from(text));
        set_header(&mut answer, REQUEST_ID_HEADER, &id);
        set_header(&mut answer, SNAPSHOT_HEADER, &snapshot.to_string());
        answer
    }

    fn status_answer(&self) -> Answer {
        let state = self.lock();
        let is_cold = self
            .setup
            .cold_start
            .is_some_and(|cold| state.answers_since_cold < cold.warm_up_answers);
        let status = state.status_override.clone().unwrap_or_else(|| UpstreamStatus {
            boot_id: state.boot_id(),
            state: match (state.is_draining_in_status, is_cold) {
                (true, _) => UpstreamState::Draining,
                (_, true) => UpstreamState::Cold,
                _ => UpstreamState::Serving,
            },
            load: self.running.load(Ordering::Relaxed),
            slots: self.setup.slots,
            snapshots: state.snapshots.clone(),
        });
        Response::new(Full::from(serde_json::to_vec(&status).unwrap_or_default()))
    }

    /// Cancels a request and answers once its slot is free.
    async fn cancel_run(&self, id: &str) -> Answer {
        let cancellation = self.lock().cancellations.get(id).cloned();
        if let Some(cancellation) = cancellation {
            cancellation.requested.cancel();
            cancellation.completed.cancelled().await;
        }
        empty_answer(StatusCode::OK)
    }

    fn holds_shard(&self, snapshot: SnapshotId, shard: &str) -> bool {
        let state = self.lock();
        let mut held = state.snapshots.iter().filter(|held| held.id == snapshot);
        held.any(|held| held.shards.iter().any(|name| name == shard))
    }

    fn add_headers(&self, answer: &mut Answer) {
        let state = self.lock();
        set_header(answer, BOOT_ID_HEADER, &state.boot_id());
        set_header(answer, LOAD_HEADER, &self.running.load(Ordering::Relaxed).to_string());
        if state.is_draining_in_answers {
            set_header(answer, DRAINING_HEADER, "true");
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn boot_id(&self) -> EcoString {
        eco_format!("boot-{}", self.boot_count)
    }

    /// Draws a service time around a mean, both in milliseconds.
    fn draw_service_ms(&mut self, mean_ms: f64) -> f64 {
        let mu = mean_ms.max(0.001).ln() - SERVICE_TIME_SIGMA * SERVICE_TIME_SIGMA / 2.0;
        let sampled_ms = LogNormal::new(mu, SERVICE_TIME_SIGMA)
            .map(|distribution| distribution.sample(&mut self.rng));
        let mut service_ms = sampled_ms.unwrap_or(mean_ms);
        if let Some(stragglers) = self.stragglers
            && self.rng.random_bool(stragglers.probability)
        {
            service_ms *= stragglers.factor;
        }
        self.service_times_ms.push(service_ms as f32);
        service_ms
    }
}

/// The tokens to cancel a running request.
#[derive(Debug, Clone, Default)]
struct Cancellation {
    requested: CancellationToken,
    /// Cancelled once the request has ended and its slot is free.
    completed: CancellationToken,
}

/// An increment of a counter that is undone on drop.
struct CountGuard {
    shared: Arc<Shared>,
    counter: fn(&Shared) -> &AtomicU32,
}

impl CountGuard {
    fn increment(shared: Arc<Shared>, counter: fn(&Shared) -> &AtomicU32) -> Self {
        counter(&shared).fetch_add(1, Ordering::Relaxed);
        Self { shared, counter }
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        (self.counter)(&self.shared).fetch_sub(1, Ordering::Relaxed);
    }
}

fn duration_from_ms(ms: f64) -> Duration {
    Duration::from_secs_f64(ms / 1_000.0)
}

fn empty_answer(status: StatusCode) -> Answer {
    let mut answer = Response::new(Full::default());
    *answer.status_mut() = status;
    answer
}

/// Returns a refusal which states that the request did not run.
fn not_run_answer(status: StatusCode, id: &str) -> Answer {
    let mut answer = empty_answer(status);
    set_header(&mut answer, NOT_RUN_HEADER, "true");
    set_header(&mut answer, REQUEST_ID_HEADER, id);
    answer
}

fn set_header(answer: &mut Answer, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        answer.headers_mut().insert(name, value);
    }
}
