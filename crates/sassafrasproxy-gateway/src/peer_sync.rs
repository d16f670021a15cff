//! Learning from a peer what the store would tell: in a large fleet always, and while the store
//! turns this node away.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use ecow::{EcoString, eco_format};
use eyre::{ensure, eyre};
use http::{Method, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use sassafrasproxy_core::{DiscoveryEvent, RegistryEntry, RegistryKey, SyncSource, US_PER_MS};
use sassafrasproxy_platform::StoreRequest;
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use crate::control::{CALL_TIMEOUT, ControlState};
use crate::http_client::PersistentClient;
use crate::store_follower::wait_until_behind;

/// Where a peer tells what it knows; raised with each change that older nodes cannot read.
const FACTS_PATH: &str = "/facts/2";

/// How long a node that follows a peer waits for news, in milliseconds.
///
/// As long as a watch of the store waits, and for the same reason.
const FOLLOW_WAIT_MS: u64 = 4_000;

/// How often a node that cannot reach the store looks for a peer that knows more.
///
/// A configuration must be in force within three seconds; a peer's heartbeat says within about
/// half a second that it has it, and one more look makes two.
const PULL_INTERVAL: Duration = Duration::from_millis(700);

/// How often a node looks whether the peer that it waits at is alive.
const LIVENESS_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// The pause after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Everything that a node knows from the store.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
struct PeerUpdate {
    /// How far it follows the store.
    revision: u64,
    /// The facts, each with its revision in the store; all, or those that changed.
    facts: Vec<(RegistryEntry, u64)>,
    /// With changes only: the subjects that are gone.
    removed: Vec<(RegistryKey, u64)>,
    /// Whether these are changes after the revision that was asked for.
    is_delta: bool,
    /// Whether the store turns the peer away.
    is_store_unavailable: bool,
    /// How much longer lapsed entries may come back, in milliseconds.
    expired_hold_ms: u64,
}

/// Tells peers what this node knows, for as long as the process runs.
pub async fn serve_facts(state: Rc<ControlState>, listener: TcpListener) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(error:%; "a peer's connection could not be accepted");
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let state = state.clone();
        spawn_local(async move {
            let service = service_fn(|request| handle_request(state.clone(), request));
            let connection = Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                log::debug!(error:%; "a peer's connection ended");
            }
        });
    }
}

/// Asks the best informed peer for its facts whenever the store is away.
pub async fn pull_facts(state: Rc<ControlState>) {
    loop {
        sleep(PULL_INTERVAL).await;
        if !state.is_store_unavailable() {
            continue;
        }
        let Some(peer) = state.gossip.borrow().most_advanced_peer() else { continue };
        match pull_update(&mut None, &peer, state.store_revision(), 0).await {
            Ok(facts) => {
                log::info!(peer:%, revision = facts.revision; "facts learned from a peer");
                apply_update(&state, facts);
            }
            Err(error) => {
                log::info!(peer:%, error:%; "a peer did not tell its facts");
                let now_us = state.clock.now_us();
                state.gossip.borrow_mut().record_sync_failure(now_us, &peer);
            }
        }
    }
}

/// The peer that this node follows in place of the store.
#[derive(Debug, Default)]
pub struct FollowedPeer {
    client: Option<(EcoString, PersistentClient)>,
}

impl FollowedPeer {
    /// Learns everything from a peer, waiting until it knows something; returns whether it did.
    pub async fn bootstrap(&mut self, state: &ControlState, peer_address: &EcoString) -> bool {
        let pulled = pull_update(&mut self.client, peer_address, 0, FOLLOW_WAIT_MS).await;
        let failure = match pulled {
            Ok(facts) if facts.revision > 0 => {
                log::info!(peer:% = peer_address, revision = facts.revision; "the node starts from a peer");
                apply_update(state, facts);
                return true;
            }
            Ok(_) => eyre!("it knows nothing yet"),
            Err(error) => error,
        };
        log::info!(peer:% = peer_address, error:% = failure; "the peer did not help to start");
        false
    }

    /// Learns changes from the peer that this node is to follow, if it is not to read the store.
    ///
    /// A peer that fails, or that knows less than others, is passed over for a while.
    pub async fn follow(&mut self, state: &ControlState) -> FollowResult {
        let follow = state.gossip.borrow().sync_source(state.clock.now_us());
        let SyncSource::Peer { peer_address } = follow else { return FollowResult::ReadStore };
        if self.client.as_ref().is_none_or(|(address, _)| *address != peer_address) {
            log::info!(peer:% = peer_address; "the node follows a peer");
        }
        let revision = state.store_revision();
        let pulled = tokio::select! {
            pulled = pull_update(&mut self.client, &peer_address, revision, FOLLOW_WAIT_MS) => pulled,
            error = wait_until_behind(state) => Err(error.into()),
            () = wait_until_not_alive(state, &peer_address) => Err(eyre!("it is not alive any more")),
        };
        let now_us = state.clock.now_us();
        match pulled {
            Ok(facts) => {
                if facts.is_store_unavailable {
                    state.gossip.borrow_mut().record_peer_store_unavailable(now_us, &peer_address);
                } else {
                    state.mark_store_available();
                }
                apply_update(state, facts);
                FollowResult::Updated
            }
            Err(error) => {
                log::info!(peer:% = peer_address, error:%; "the peer is not followed for now");
                self.client = None;
                state.gossip.borrow_mut().record_sync_failure(now_us, &peer_address);
                FollowResult::Failed
            }
        }
    }
}

/// Ends when a peer is suspected, leaves or is gone: a call to it may hang for seconds.
async fn wait_until_not_alive(state: &ControlState, peer_address: &str) {
    while state.gossip.borrow().is_alive(peer_address) {
        sleep(LIVENESS_CHECK_INTERVAL).await;
    }
}

/// How an attempt to follow a peer ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FollowResult {
    /// The peer told what it knows.
    Updated,
    /// The peer did not help; another may.
    Failed,
    /// This node is to read the store itself.
    ReadStore,
}

/// Reads from a peer what it knows beyond a revision, waiting for news if there are none.
async fn pull_update(
    client: &mut Option<(EcoString, PersistentClient)>,
    peer: &str,
    revision: u64,
    wait_ms: u64,
) -> eyre::Result<PeerUpdate> {
    let kept = client.take().filter(|(address, _)| address == peer);
    let (address, mut kept) = match kept {
        Some(kept) => kept,
        None => (peer.into(), PersistentClient::new(peer.parse()?)),
    };
    let path = eco_format!("{FACTS_PATH}?after={revision}&wait_ms={wait_ms}");
    let call = StoreRequest { method: Method::GET, path, body: Bytes::new() };
    let limit = CALL_TIMEOUT + Duration::from_millis(wait_ms);
    let (status, body) = kept.call(call, limit).await?;
    ensure!(status == StatusCode::OK, "status {status}");
    *client = Some((address, kept));
    Ok(postcard::from_bytes(&body)?)
}

/// Takes what a peer told in.
fn apply_update(state: &ControlState, told: PeerUpdate) {
    let hold_until_us = state.clock.now_us() + told.expired_hold_ms * US_PER_MS;
    // Also from a peer that has it from others: whoever read the store says how long entries
    // that lapsed may take, and that is passed on.
    state.apply_events([DiscoveryEvent::PeerSyncStarted]);
    let revision = told.revision;
    let hold =
        (told.expired_hold_ms > 0).then_some(DiscoveryEvent::HoldUntil { until_us: hold_until_us });
    if !told.is_delta {
        let whole = DiscoveryEvent::PeerEntries { entries: told.facts, revision: told.revision };
        state.apply_events(hold.into_iter().chain([whole]));
        return state.advance_revision(revision);
    }
    let seen = |(fact, revision)| DiscoveryEvent::EntrySeen { entry: fact, revision };
    let gone = |(subject, revision)| DiscoveryEvent::EntryRemoved { key: subject, revision };
    let changes = told.facts.into_iter().map(seen).chain(told.removed.into_iter().map(gone));
    state.apply_events(hold.into_iter().chain(changes));
    state.advance_revision(revision);
}

async fn handle_request(
    state: Rc<ControlState>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let mut answer = Response::new(Full::default());
    if request.uri().path() != FACTS_PATH {
        *answer.status_mut() = StatusCode::NOT_FOUND;
        return Ok(answer);
    }
    let (after, wait_ms) = parse_query(request.uri().query().unwrap_or(""));
    let wait = Duration::from_millis(wait_ms.min(FOLLOW_WAIT_MS));
    // The end of the wait is an answer too: it shows that this node is alive.
    let _ = timeout(wait, state.wait_past_revision(after)).await;
    let facts = build_update(&state, after);
    match postcard::to_stdvec(&facts) {
        Ok(body) => {
            state.count_facts_answer(facts.is_delta, body.len());
            *answer.body_mut() = Full::from(body);
        }
        Err(error) => {
            log::error!(error:%; "the facts cannot be written");
            *answer.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
        }
    }
    Ok(answer)
}

/// The revision and the wait that a peer asks for.
fn parse_query(query: &str) -> (u64, u64) {
    let number = |name: &str| {
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let value = pairs.find(|(key, _)| *key == name).map(|(_, value)| value);
        // A peer of another version may ask for less: then it is told everything at once.
        value.and_then(|value| value.parse().ok()).unwrap_or(0)
    };
    (number("after"), number("wait_ms"))
}

/// What a peer that knows everything up to a revision must be told.
fn build_update(state: &ControlState, after: u64) -> PeerUpdate {
    let discovery = state.discovery.borrow();
    let hold_us = discovery.hold_until_us().saturating_sub(state.clock.now_us());
    let changes = discovery.changes_after(after);
    let is_change = changes.is_some();
    let (facts, gone) = match changes {
        Some(changes) => (changes.updated, changes.removed),
        None => (discovery.entries(), Vec::new()),
    };
    PeerUpdate {
        revision: state.store_revision(),
        facts,
        removed: gone,
        is_delta: is_change,
        is_store_unavailable: state.is_store_unavailable(),
        expired_hold_ms: hold_us / US_PER_MS,
    }
}
