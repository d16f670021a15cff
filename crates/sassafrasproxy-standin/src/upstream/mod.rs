//! A stand-in for one upstream replica, with the faults that upstreams have.

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
const SERVICE_SIGMA: f64 = 0.25;

/// How many connections wait to be accepted.
const BACKLOG: u32 = 1_024;

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
    /// Requests that hold a slot.
    running: AtomicU32,
    most_running: AtomicU32,
    connections: AtomicU32,
    /// Ends the connections of the current process life.
    death: Mutex<CancellationToken>,
}

#[derive(Debug)]
struct State {
    rng: StdRng,
    boots: u32,
    /// Answers since the caches were cold.
    warm_answers: u32,
    /// While the process is away.
    down_ms: Option<u64>,
    drains_in_status: bool,
    drains_in_answers: bool,
    sheds: bool,
    straggle: Option<Straggle>,
    lie: Option<UpstreamStatus>,
    crosses: bool,
    truncates: bool,
    snapshots: Vec<HeldSnapshot>,
    crash_on: Option<EcoString>,
    runs: IndexMap<EcoString, Run>,
    cancels: IndexMap<EcoString, Cancel>,
    silences: Vec<Arc<AtomicBool>>,
    deaths: u32,
    service_ms: Vec<f32>,
}

impl UpstreamStandIn {
    /// Starts on an address of this machine; port 0 takes any free port.
    pub fn start(address: SocketAddr, setup: UpstreamSetup) -> std::io::Result<Self> {
        let listener = listen(address)?;
        let address = listener.local_addr()?;
        let state = State {
            rng: StdRng::seed_from_u64(setup.seed),
            boots: 1,
            warm_answers: setup.cold.map_or(0, |cold| cold.answers),
            down_ms: None,
            drains_in_status: false,
            drains_in_answers: false,
            sheds: false,
            straggle: setup.straggle,
            lie: None,
            crosses: false,
            truncates: false,
            snapshots: setup.snapshots.clone(),
            crash_on: None,
            runs: IndexMap::new(),
            cancels: IndexMap::new(),
            silences: Vec::new(),
            deaths: 0,
            service_ms: Vec::new(),
        };
        let shared = Arc::new(Shared {
            setup,
            state: Mutex::new(state),
            running: AtomicU32::new(0),
            most_running: AtomicU32::new(0),
            connections: AtomicU32::new(0),
            death: Mutex::default(),
        });
        let server = tokio::spawn(serve(shared.clone(), address, listener));
        Ok(Self { address, shared, server: server.abort_handle() })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Switches a fault.
    pub fn switch(&self, fault: UpstreamFault) {
        self.shared.switch(fault);
    }

    /// Every request that it began to run, oldest first.
    pub fn runs(&self) -> Vec<Run> {
        self.shared.lock().runs.values().cloned().collect()
    }

    /// The most requests that ran at once since the last call.
    pub fn take_most_running(&self) -> u32 {
        self.shared
            .most_running
            .swap(self.shared.running.load(Ordering::Relaxed), Ordering::Relaxed)
    }

    /// How many requests it began to run.
    pub fn run_count(&self) -> u64 {
        self.shared.lock().runs.len() as u64
    }

    /// Its slots.
    pub fn slots(&self) -> u32 {
        self.shared.setup.slots
    }

    /// Requests that hold a slot now.
    pub fn running(&self) -> u32 {
        self.shared.running.load(Ordering::Relaxed)
    }

    /// How often its process died.
    pub fn deaths(&self) -> u32 {
        self.shared.lock().deaths
    }

    /// The service times drawn since the last call, in milliseconds.
    pub fn take_service_ms(&self) -> Vec<f32> {
        std::mem::take(&mut self.shared.lock().service_ms)
    }
}

impl Drop for UpstreamStandIn {
    fn drop(&mut self) {
        self.server.abort();
    }
}

/// Listens at an address that an earlier life may have used just before.
fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Lives, dies and lives again.
async fn serve(shared: Arc<Shared>, address: SocketAddr, first: TcpListener) {
    let mut listener = Some(first);
    loop {
        let death = shared.death.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let mut connections = JoinSet::new();
        if let Some(listener) = listener.take() {
            tokio::select! {
                () = death.cancelled() => {}
                () = accept(&shared, listener, &mut connections) => {}
            }
        }
        connections.shutdown().await;
        let down_ms = shared.lock().down_ms.take().unwrap_or(0);
        tokio::time::sleep(Duration::from_millis(down_ms)).await;
        shared.start_again();
        listener = listen(address).ok();
    }
}

/// Accepts connections for one life.
async fn accept(shared: &Arc<Shared>, listener: TcpListener, connections: &mut JoinSet<()>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        while connections.try_join_next().is_some() {}
        if shared.connections.load(Ordering::Relaxed) >= shared.setup.connections {
            continue;
        }
        let _ = stream.set_nodelay(true);
        let shared = shared.clone();
        connections.spawn(async move {
            let _open = Count::enter(shared.clone(), |shared| &shared.connections);
            tokio::time::sleep(ms(shared.setup.connect_ms)).await;
            let silence = Arc::new(AtomicBool::new(false));
            shared.lock().silences.push(silence.clone());
            let service = service_fn(|request| {
                let (shared, silence) = (shared.clone(), silence.clone());
                async move { Ok::<Answer, Infallible>(carry(&shared, &silence, request).await) }
            });
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

/// Serves one request, unless its connection is silent.
async fn carry(shared: &Arc<Shared>, silence: &AtomicBool, request: Request<Incoming>) -> Answer {
    tokio::time::sleep(ms(shared.setup.round_trip_ms / 2.0)).await;
    if silence.load(Ordering::Relaxed) {
        return std::future::pending().await;
    }
    let mut answer = handle(shared, request).await;
    shared.add_headers(&mut answer);
    tokio::time::sleep(ms(shared.setup.round_trip_ms / 2.0)).await;
    if silence.load(Ordering::Relaxed) {
        return std::future::pending().await;
    }
    answer
}

async fn handle(shared: &Arc<Shared>, request: Request<Incoming>) -> Answer {
    let path = request.uri().path().to_owned();
    match (request.method().clone(), path.as_str()) {
        (Method::POST, "/query") => query(shared, request).await,
        (Method::GET, "/status") => shared.status(),
        (Method::POST, "/standin/fault") => switch(shared, request).await,
        (Method::DELETE, path) => shared.cancel(path.trim_start_matches("/query/")).await,
        _ => plain(StatusCode::NOT_FOUND),
    }
}

/// Switches a fault that came over HTTP.
async fn switch(shared: &Arc<Shared>, request: Request<Incoming>) -> Answer {
    let body = request.into_body().collect().await.map(http_body_util::Collected::to_bytes);
    let fault = body.ok().and_then(|body| serde_json::from_slice::<UpstreamFault>(&body).ok());
    let Some(fault) = fault else { return plain(StatusCode::BAD_REQUEST) };
    shared.switch(fault);
    plain(StatusCode::OK)
}

/// Runs a query.
async fn query(shared: &Arc<Shared>, request: Request<Incoming>) -> Answer {
    let header = |name: &str| {
        request.headers().get(name).and_then(|value| value.to_str().ok()).unwrap_or("").to_owned()
    };
    let id = EcoString::from(header(REQUEST_ID_HEADER));
    let snapshot: SnapshotId = header(SNAPSHOT_HEADER).parse().unwrap_or(0);
    let deadline_ms: u64 = header(DEADLINE_HEADER).parse().unwrap_or(u64::from(u32::MAX));
    let body = request.into_body().collect().await.map(http_body_util::Collected::to_bytes);
    let query = body.ok().and_then(|body| serde_json::from_slice::<UpstreamQuery>(&body).ok());
    let Some(query) = query else { return plain(StatusCode::BAD_REQUEST) };
    if !shared.holds(snapshot, &query.shard) {
        return not_run(StatusCode::CONFLICT, &id);
    }
    let Some(slot) = shared.enter() else { return not_run(StatusCode::TOO_MANY_REQUESTS, &id) };
    let (service_ms, cancel) = shared.begin(&id, snapshot, &query);
    let end = tokio::select! {
        () = tokio::time::sleep(ms(service_ms)) => RunEnd::Answered,
        () = tokio::time::sleep(Duration::from_millis(deadline_ms)) => RunEnd::Overdue,
        () = cancel.wanted.cancelled() => RunEnd::Cancelled,
    };
    drop(slot);
    cancel.done.cancel();
    shared.end(&id, end);
    if end != RunEnd::Answered {
        return plain(StatusCode::GATEWAY_TIMEOUT);
    }
    shared.answer(&id, snapshot, &query)
}

impl Shared {
    fn switch(self: &Arc<Self>, fault: UpstreamFault) {
        let mut state = self.lock();
        match fault {
            UpstreamFault::Crash { down_ms } => {
                drop(state);
                self.die(down_ms);
            }
            UpstreamFault::TurnCold => state.warm_answers = 0,
            UpstreamFault::SilenceConnections => {
                for silence in state.silences.drain(..) {
                    silence.store(true, Ordering::Relaxed);
                }
            }
            UpstreamFault::Drain { in_status, in_answers } => {
                state.drains_in_status = in_status;
                state.drains_in_answers = in_answers;
            }
            UpstreamFault::Shed(sheds) => state.sheds = sheds,
            UpstreamFault::Straggle(straggle) => state.straggle = straggle,
            UpstreamFault::LieInStatus(lie) => state.lie = lie,
            UpstreamFault::CrossAnswers(crosses) => state.crosses = crosses,
            UpstreamFault::Truncate(truncates) => state.truncates = truncates,
            UpstreamFault::Hold(snapshots) => state.snapshots = snapshots,
            UpstreamFault::CrashOn(text) => state.crash_on = text,
        }
    }

    /// Ends this process life; every connection is cut.
    fn die(&self, down_ms: u64) {
        let mut state = self.lock();
        state.down_ms = Some(down_ms);
        state.deaths += 1;
        state.cancels.clear();
        for run in state.runs.values_mut() {
            run.end.get_or_insert(RunEnd::Died);
        }
        drop(state);
        self.death.lock().unwrap_or_else(PoisonError::into_inner).cancel();
    }

    /// Begins a new process life, with cold caches.
    fn start_again(&self) {
        *self.death.lock().unwrap_or_else(PoisonError::into_inner) = CancellationToken::new();
        let mut state = self.lock();
        state.boots += 1;
        state.warm_answers = 0;
        state.silences.clear();
    }

    /// Takes a slot, if there is one.
    fn enter(self: &Arc<Self>) -> Option<Count> {
        if self.lock().sheds {
            return None;
        }
        let slot = Count::enter(self.clone(), |shared| &shared.running);
        let running = self.running.load(Ordering::Relaxed);
        self.most_running.fetch_max(running, Ordering::Relaxed);
        (running <= self.setup.slots).then_some(slot)
    }

    /// Notes that a request runs and draws how long it takes; it may kill the process.
    fn begin(&self, id: &EcoString, snapshot: SnapshotId, query: &UpstreamQuery) -> (f64, Cancel) {
        let mut state = self.lock();
        let cancel = Cancel::default();
        let body: EcoString = query.body.get().into();
        let is_deadly = state.crash_on.as_ref().is_some_and(|text| body.contains(text.as_str()));
        let run = Run {
            id: id.clone(),
            kind: query.kind.clone(),
            shard: query.shard.clone(),
            snapshot,
            body,
            end: None,
        };
        state.runs.insert(id.clone(), run);
        state.cancels.insert(id.clone(), cancel.clone());
        let mut service_ms = state.draw_ms(self.setup.service_ms);
        let cold = self.setup.cold.filter(|cold| state.warm_answers < cold.answers);
        let running = self.running.load(Ordering::Relaxed);
        drop(state);
        if let Some(cold) = cold {
            service_ms *= cold.factor;
        }
        if is_deadly || cold.is_some_and(|cold| running > cold.bears) {
            self.die(if is_deadly { 100 } else { 500 });
        }
        (service_ms, cancel)
    }

    fn end(&self, id: &EcoString, end: RunEnd) {
        let mut state = self.lock();
        state.cancels.swap_remove(id);
        if end == RunEnd::Answered {
            state.warm_answers += 1;
        }
        if let Some(run) = state.runs.get_mut(id) {
            run.end = Some(end);
        }
    }

    fn answer(&self, id: &EcoString, snapshot: SnapshotId, query: &UpstreamQuery) -> Answer {
        let state = self.lock();
        let text = json!({ "shard": query.shard, "snapshot": snapshot, "echo": query.body });
        let mut text = text.to_string();
        if state.truncates {
            text.truncate(text.len() / 2);
        }
        let id = if state.crosses { eco_format!("not-{id}") } else { id.clone() };
        let mut answer = Response::new(Full::from(text));
        set(&mut answer, REQUEST_ID_HEADER, &id);
        set(&mut answer, SNAPSHOT_HEADER, &snapshot.to_string());
        answer
    }

    fn status(&self) -> Answer {
        let state = self.lock();
        let is_cold = self.setup.cold.is_some_and(|cold| state.warm_answers < cold.answers);
        let status = state.lie.clone().unwrap_or_else(|| UpstreamStatus {
            boot_id: state.boot_id(),
            state: match (state.drains_in_status, is_cold) {
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

    /// Cancels a request and confirms it once its slot is free.
    async fn cancel(&self, id: &str) -> Answer {
        let cancel = self.lock().cancels.get(id).cloned();
        if let Some(cancel) = cancel {
            cancel.wanted.cancel();
            cancel.done.cancelled().await;
        }
        plain(StatusCode::OK)
    }

    fn holds(&self, snapshot: SnapshotId, shard: &str) -> bool {
        let state = self.lock();
        let mut held = state.snapshots.iter().filter(|held| held.id == snapshot);
        held.any(|held| held.shards.iter().any(|name| name == shard))
    }

    fn add_headers(&self, answer: &mut Answer) {
        let state = self.lock();
        set(answer, BOOT_ID_HEADER, &state.boot_id());
        set(answer, LOAD_HEADER, &self.running.load(Ordering::Relaxed).to_string());
        if state.drains_in_answers {
            set(answer, DRAINING_HEADER, "true");
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn boot_id(&self) -> EcoString {
        eco_format!("boot-{}", self.boots)
    }

    /// Draws a service time in milliseconds.
    fn draw_ms(&mut self, mean_ms: f64) -> f64 {
        let mu = mean_ms.max(0.001).ln() - SERVICE_SIGMA * SERVICE_SIGMA / 2.0;
        let spread = LogNormal::new(mu, SERVICE_SIGMA).map(|spread| spread.sample(&mut self.rng));
        let mut service_ms = spread.unwrap_or(mean_ms);
        if let Some(straggle) = self.straggle
            && self.rng.random_bool(straggle.probability)
        {
            service_ms *= straggle.factor;
        }
        self.service_ms.push(service_ms as f32);
        service_ms
    }
}

/// How a running request is cancelled.
#[derive(Debug, Clone, Default)]
struct Cancel {
    wanted: CancellationToken,
    /// When its slot is free again.
    done: CancellationToken,
}

/// A place in a counter, given back when dropped.
struct Count {
    shared: Arc<Shared>,
    counter: fn(&Shared) -> &AtomicU32,
}

impl Count {
    fn enter(shared: Arc<Shared>, counter: fn(&Shared) -> &AtomicU32) -> Self {
        counter(&shared).fetch_add(1, Ordering::Relaxed);
        Self { shared, counter }
    }
}

impl Drop for Count {
    fn drop(&mut self) {
        (self.counter)(&self.shared).fetch_sub(1, Ordering::Relaxed);
    }
}

fn ms(ms: f64) -> Duration {
    Duration::from_secs_f64(ms / 1_000.0)
}

fn plain(status: StatusCode) -> Answer {
    let mut answer = Response::new(Full::default());
    *answer.status_mut() = status;
    answer
}

/// A refusal that proves that the request did not run.
fn not_run(status: StatusCode, id: &str) -> Answer {
    let mut answer = plain(status);
    set(&mut answer, NOT_RUN_HEADER, "true");
    set(&mut answer, REQUEST_ID_HEADER, id);
    answer
}

fn set(answer: &mut Answer, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        answer.headers_mut().insert(name, value);
    }
}
