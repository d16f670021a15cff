//! A stand-in for the platform, with store, leases, watches, VM list, call counts and faults.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use ecow::{EcoString, eco_format};
use indexmap::IndexMap;
use percent_encoding::percent_decode_str;
use poem::http::StatusCode;
use poem::listener::TcpAcceptor;
use poem::web::{Data, Json, Path, Query};
use poem::{
    Body, Endpoint, EndpointExt, IntoResponse, Request, Response, Route, Server, get, handler, post,
};
use sassafrasproxy_wire::{
    KvChanges, KvItem, KvItems, KvRevision, KvValue, LeaseId, LeaseRequest, MAX_KV_VALUE_BYTES,
    VmEntry,
};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio::task::AbortHandle;

/// The time for which a call hangs during an outage of kind `Hang`.
const HANG_TIME: Duration = Duration::from_secs(60);

/// The maximum number of changes kept for watches; the older half is dropped when it is reached.
const MAX_CHANGES: usize = 100_000;

/// A platform that runs in this process until it is dropped.
#[derive(Debug)]
pub struct PlatformStandIn {
    address: SocketAddr,
    state: Arc<State>,
    server: AbortHandle,
}

/// The active faults of the platform.
#[derive(Debug, Clone, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// The delay added to every call, in milliseconds.
    pub delay_ms: u64,
    /// The kind of outage, if the platform is unavailable.
    pub outage: Option<Outage>,
    /// The number of upcoming writes that take effect but are answered with 502, as if the answer
    /// were lost.
    pub lose_answers: u32,
    /// The maximum number of calls per second; 0 means no limit.
    pub calls_per_s: u32,
}

/// The effect of an outage on calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outage {
    /// Calls fail immediately.
    Fail,
    /// Calls hang for `HANG_TIME` before they are served.
    Hang,
}

#[derive(Debug)]
struct State {
    store: Mutex<Store>,
    /// Sends the store's revision to wake watches.
    revision_sender: watch::Sender<u64>,
}

#[derive(Debug, Default)]
struct Store {
    revision: u64,
    items: BTreeMap<EcoString, (EcoString, u64)>,
    changes: Vec<KvItem>,
    /// The leases by id.
    leases: IndexMap<EcoString, Lease>,
    vms: Vec<VmEntry>,
    faults: PlatformFaults,
    call_counts: IndexMap<&'static str, u64>,
    /// The start of the current second of the rate limit, and the calls in it.
    rate_window: Option<(Instant, u32)>,
}

#[derive(Debug)]
struct Lease {
    expires_at: Instant,
    ttl: Duration,
    /// The keys that are removed when the lease expires.
    keys: Vec<EcoString>,
}

impl PlatformStandIn {
    /// Starts on a local address; port 0 takes any free port.
    ///
    /// Returns an error if it can't listen on the address.
    pub fn start(address: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let state =
            Arc::new(State { store: Mutex::default(), revision_sender: watch::channel(0).0 });
        let acceptor = TcpAcceptor::from_std(listener)?;
        let routes = routes(state.clone());
        let server = tokio::spawn(async move {
            // The server runs until its task is aborted.
            let _ = Server::new_with_acceptor(acceptor).run(routes).await;
        });
        Ok(Self { address, state, server: server.abort_handle() })
    }

    /// Returns the base URL.
    pub fn url(&self) -> EcoString {
        eco_format!("http://{}", self.address)
    }

    /// Replaces the active faults.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.state.lock().faults = faults;
    }

    /// Sets the VM list.
    pub fn set_vms(&self, entries: Vec<VmEntry>) {
        self.state.lock().vms = entries;
    }

    /// Returns the number of calls so far by kind, including refused calls.
    pub fn call_counts(&self) -> IndexMap<&'static str, u64> {
        self.state.lock().call_counts.clone()
    }

    /// Returns the value of a key, unaffected by faults.
    pub fn value(&self, key: &str) -> Option<EcoString> {
        self.state.lock().items.get(key).map(|(value, _)| value.clone())
    }

    /// Returns the keys with a prefix, unaffected by faults.
    pub fn keys(&self, prefix: &str) -> Vec<EcoString> {
        let store = self.state.lock();
        store.items.keys().filter(|key| key.starts_with(prefix)).cloned().collect()
    }
}

impl Drop for PlatformStandIn {
    fn drop(&mut self) {
        self.server.abort();
    }
}

/// Returns all routes; the faults apply to all but the route that sets them.
fn routes(state: Arc<State>) -> impl Endpoint {
    let fault_state = state.clone();
    let calls = Route::new()
        .at("/kv", get(list_keys))
        .at("/kv/:key", get(read_key).put(write_key).delete(delete_key))
        .at("/watch", get(watch_keys))
        .at("/leases", post(create_lease))
        .at("/leases/:id/renew", post(renew_lease))
        .at("/vms", get(list_vms))
        .data(state.clone())
        .around(move |endpoint, request| {
            let fault_state = fault_state.clone();
            async move { apply_faults(&fault_state, endpoint, request).await }
        });
    Route::new().at("/standin/faults", post(update_faults).data(state)).nest("/", calls)
}

/// Counts a call and applies the active faults to it.
async fn apply_faults<E: Endpoint>(
    state: &State,
    endpoint: Arc<E>,
    request: Request,
) -> poem::Result<Response> {
    let is_write = !matches!(*request.method(), poem::http::Method::GET);
    let is_watch = request.uri().path() == "/watch";
    let kind = if is_write {
        "write"
    } else if is_watch {
        "watch"
    } else {
        "read"
    };
    let (faults, exceeds_rate_limit) = state.lock().record_call(kind);
    tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
    match faults.outage {
        Some(Outage::Fail) => return Ok(StatusCode::SERVICE_UNAVAILABLE.into_response()),
        Some(Outage::Hang) => tokio::time::sleep(HANG_TIME).await,
        None => {}
    }
    if exceeds_rate_limit {
        return Ok(StatusCode::TOO_MANY_REQUESTS.into_response());
    }
    let response = endpoint.call(request).await?.into_response();
    if is_write && state.lock().take_lost_answer() {
        return Ok(StatusCode::BAD_GATEWAY.into_response());
    }
    Ok(response)
}

#[handler]
fn read_key(Data(state): Data<&Arc<State>>, Path(key): Path<String>) -> Response {
    let mut store = state.lock();
    store.expire_leases();
    match store.items.get(&*decode_key(&key)) {
        Some((value, revision)) => {
            Json(KvValue { value: value.clone(), revision: *revision }).into_response()
        }
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

#[handler]
async fn write_key(
    Data(state): Data<&Arc<State>>,
    Path(key): Path<String>,
    Query(params): Query<WriteParams>,
    body: Body,
) -> Response {
    let Ok(value) = body.into_string().await else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    if value.len() > MAX_KV_VALUE_BYTES {
        return StatusCode::PAYLOAD_TOO_LARGE.into_response();
    }
    state.apply_write(decode_key(&key), Some(value.into()), &params)
}

#[handler]
fn delete_key(
    Data(state): Data<&Arc<State>>,
    Path(key): Path<String>,
    Query(params): Query<WriteParams>,
) -> Response {
    state.apply_write(decode_key(&key), None, &params)
}

#[handler]
fn list_keys(Data(state): Data<&Arc<State>>, Query(params): Query<PrefixParams>) -> Json<KvItems> {
    let mut store = state.lock();
    store.expire_leases();
    let items = store.items.iter().filter(|(key, _)| key.starts_with(params.prefix.as_str()));
    let items = items.map(|(key, (value, revision))| KvItem {
        key: key.clone(),
        value: Some(value.clone()),
        revision: *revision,
    });
    Json(KvItems { revision: store.revision, items: items.collect() })
}

#[handler]
async fn watch_keys(
    Data(state): Data<&Arc<State>>,
    Query(params): Query<WatchParams>,
) -> Json<KvChanges> {
    let mut changed = state.revision_sender.subscribe();
    let end = tokio::time::Instant::now() + Duration::from_millis(params.wait_ms);
    loop {
        changed.borrow_and_update();
        let found = state.lock().changes_after(&params.prefix, params.after);
        if !found.changes.is_empty() {
            return Json(found);
        }
        if tokio::time::timeout_at(end, changed.changed()).await.is_err() {
            return Json(found);
        }
    }
}

#[handler]
fn create_lease(
    Data(state): Data<&Arc<State>>,
    Json(request): Json<LeaseRequest>,
) -> Json<LeaseId> {
    let mut store = state.lock();
    let id = eco_format!("lease-{}", store.leases.len() + 1);
    let ttl = Duration::from_millis(request.ttl_ms);
    store
        .leases
        .insert(id.clone(), Lease { expires_at: Instant::now() + ttl, ttl, keys: Vec::new() });
    Json(LeaseId { id })
}

#[handler]
fn renew_lease(Data(state): Data<&Arc<State>>, Path(id): Path<String>) -> StatusCode {
    let mut store = state.lock();
    store.expire_leases();
    match store.leases.get_mut(id.as_str()) {
        Some(lease) if lease.expires_at > Instant::now() => {
            lease.expires_at = Instant::now() + lease.ttl;
            StatusCode::OK
        }
        _ => StatusCode::NOT_FOUND,
    }
}

#[handler]
fn list_vms(Data(state): Data<&Arc<State>>) -> Json<Vec<VmEntry>> {
    Json(state.lock().vms.clone())
}

#[handler]
fn update_faults(Data(state): Data<&Arc<State>>, Json(faults): Json<PlatformFaults>) {
    state.lock().faults = faults;
}

#[derive(Debug, Deserialize)]
struct WriteParams {
    expect: Option<u64>,
    lease: Option<EcoString>,
}

#[derive(Debug, Deserialize)]
struct PrefixParams {
    prefix: EcoString,
}

#[derive(Debug, Deserialize)]
struct WatchParams {
    prefix: EcoString,
    after: u64,
    wait_ms: u64,
}

impl State {
    /// Writes or removes a key if its revision is the expected one, and wakes watches.
    fn apply_write(
        &self,
        key: EcoString,
        value: Option<EcoString>,
        params: &WriteParams,
    ) -> Response {
        let mut store = self.lock();
        store.expire_leases();
        let current_revision = store.items.get(&key).map_or(0, |(_, revision)| *revision);
        if params.expect.is_some_and(|expect| expect != current_revision) {
            let conflict = Json(KvRevision { revision: current_revision });
            return (StatusCode::CONFLICT, conflict).into_response();
        }
        let lease = params.lease.as_ref().and_then(|id| store.leases.get_mut(id));
        if let Some(lease) = lease {
            lease.keys.push(key.clone());
        }
        let revision = store.put(key, value);
        self.revision_sender.send_replace(revision);
        Json(KvRevision { revision }).into_response()
    }

    fn lock(&self) -> MutexGuard<'_, Store> {
        self.store.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Store {
    /// Counts a call; returns the active faults and whether the call exceeds the rate limit.
    fn record_call(&mut self, kind: &'static str) -> (PlatformFaults, bool) {
        *self.call_counts.entry(kind).or_default() += 1;
        let now = Instant::now();
        let (start, count) = match self.rate_window {
            Some((start, count)) if now < start + Duration::from_secs(1) => (start, count + 1),
            _ => (now, 1),
        };
        self.rate_window = Some((start, count));
        let limit = self.faults.calls_per_s;
        (self.faults.clone(), limit > 0 && count > limit)
    }

    /// Returns whether the answer to a write is lost, and decrements the remaining number.
    fn take_lost_answer(&mut self) -> bool {
        let is_lost = self.faults.lose_answers > 0;
        self.faults.lose_answers = self.faults.lose_answers.saturating_sub(1);
        is_lost
    }

    fn put(&mut self, key: EcoString, value: Option<EcoString>) -> u64 {
        self.revision += 1;
        match &value {
            Some(value) => self.items.insert(key.clone(), (value.clone(), self.revision)),
            None => self.items.remove(&key),
        };
        if self.changes.len() >= MAX_CHANGES {
            self.changes.drain(..MAX_CHANGES / 2);
        }
        self.changes.push(KvItem { key, value, revision: self.revision });
        self.revision
    }

    fn changes_after(&self, prefix: &str, after: u64) -> KvChanges {
        let is_new = |item: &&KvItem| item.revision > after && item.key.starts_with(prefix);
        let changes = self.changes.iter().filter(is_new).cloned().collect();
        KvChanges { revision: self.revision, changes }
    }

    /// Removes the keys of expired leases.
    fn expire_leases(&mut self) {
        let now = Instant::now();
        let expired: Vec<EcoString> = self
            .leases
            .values_mut()
            .filter(|lease| lease.expires_at <= now)
            .flat_map(|lease| std::mem::take(&mut lease.keys))
            .collect();
        for key in expired {
            self.put(key, None);
        }
    }
}

/// Decodes the percent-encoding of a key in a path.
fn decode_key(key: &str) -> EcoString {
    percent_decode_str(key).decode_utf8_lossy().as_ref().into()
}
