//! Syncs registry entries between nodes.
//!
//! In a large fleet most nodes always sync from a peer instead of the store; any node does so while
//! the store is unavailable to it.

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
use sassafrasproxy_core::{
    AnsweredPoll, DiscoveryEvent, KeyFreshness, LagCheck, RegistryEntry, RegistryKey, SyncSource,
    US_PER_MS,
};
use sassafrasproxy_platform::StoreRequest;
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use crate::confirmation::key_freshness;
use crate::control::{CALL_TIMEOUT, ControlState};
use crate::http_client::PersistentClient;
use crate::store_follower::wait_until_behind;

/// The path where a peer serves its registry entries.
///
/// The number is raised with each format change that older nodes cannot decode.
const PEER_SYNC_PATH: &str = "/facts/3";

/// The maximum wait of a long poll at a followed peer, in milliseconds.
///
/// Equal to the timeout of a store watch, for the same reason: it bounds how long a peer that
/// accepts the call but never answers goes unnoticed.
const FOLLOW_WAIT_MS: u64 = 4_000;

/// The interval at which a node without access to the store looks for a peer with a newer revision.
///
/// A configuration must be active within three seconds. A peer's heartbeat announces it within
/// about half a second, and with one more check the total is two seconds.
const PULL_INTERVAL: Duration = Duration::from_millis(700);

/// The interval at which a node checks whether the peer it polls is still alive.
const LIVENESS_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// The delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// An update from a peer: all registry entries, or the changes after a revision.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
struct PeerUpdate {
    /// The store revision that the peer has applied.
    revision: u64,
    /// All entries, or the changed ones if `is_delta`; each with its store revision.
    entries: Vec<(RegistryEntry, u64)>,
    /// The keys of removed entries, each with its store revision; empty unless `is_delta`.
    removed: Vec<(RegistryKey, u64)>,
    /// Whether this holds only the changes after the requested revision.
    is_delta: bool,
    /// Whether the store is unavailable to the peer.
    is_store_unavailable: bool,
    /// The remaining time in which expired entries may be registered again, in milliseconds.
    expired_hold_ms: u64,
    /// The time since the peer's own view was last known to be current, in milliseconds, rounded up;
    /// `None` if it never was.
    unconfirmed_ms: Option<u64>,
}

/// A peer's update, and the poll that it answers.
struct PulledUpdate {
    update: PeerUpdate,
    /// The revision after which changes were requested.
    after: u64,
    /// The time at which the poll was sent, in microseconds.
    sent_us: u64,
    /// The time that the peer had to wait for changes, in microseconds.
    wait_us: u64,
}

/// Serves registry entries to peers for as long as the process runs.
pub async fn serve_updates(state: Rc<ControlState>, listener: TcpListener) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(error:%; "cannot accept a peer's connection; retrying");
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

/// Pulls registry entries from the peer with the latest revision while the store is unavailable.
pub async fn pull_during_outage(state: Rc<ControlState>) {
    loop {
        sleep(PULL_INTERVAL).await;
        if !state.is_store_unavailable() {
            continue;
        }
        let Some(peer) = outage_source(&state) else { continue };
        let pulled = pull_update(&state, &mut None, &peer, state.store_revision(), 0).await;
        match pulled {
            // The peer is needed only to confirm what this node knows.
            Ok(pulled) if pulled.update.revision <= state.store_revision() => {
                let confirmed_us = pulled.confirmed_us(state.clock.now_us());
                record_confirmation(&state, pulled.update.revision, confirmed_us);
            }
            Ok(pulled) => {
                let update = &pulled.update;
                log::info!(
                    peer:%, revision = update.revision;
                    "pulled registry entries from a peer"
                );
                apply_update(&state, pulled);
            }
            Err(error) => {
                log::info!(peer:%, error:%; "pulling registry entries from a peer failed");
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
    lag_check: LagCheck,
}

impl FollowedPeer {
    /// Pulls all registry entries from a peer; returns whether it succeeded.
    ///
    /// A peer that has no entries yet gets [`FOLLOW_WAIT_MS`] to answer.
    pub async fn bootstrap(&mut self, state: &ControlState, peer_address: &EcoString) -> bool {
        let pulled = pull_update(state, &mut self.client, peer_address, 0, FOLLOW_WAIT_MS).await;
        let failure = match pulled {
            Ok(pulled) if pulled.update.revision > 0 => {
                log::info!(
                    peer:% = peer_address, revision = pulled.update.revision;
                    "bootstrapped from a peer"
                );
                apply_update(state, pulled);
                return true;
            }
            Ok(_) => eyre!("the peer has no registry entries yet"),
            Err(error) => error,
        };
        log::info!(
            peer:% = peer_address, error:% = failure;
            "bootstrap from a peer failed; reading the store"
        );
        false
    }

    /// Waits for an update from the peer that this node should follow, and applies it.
    ///
    /// Returns [`FollowResult::ReadStore`] if the node should read the store instead. A peer that
    /// fails, or whose revision stays behind that of others, is skipped for a while.
    pub async fn follow(&mut self, state: &ControlState) -> FollowResult {
        let source = state.gossip.borrow().sync_source(state.clock.now_us());
        let SyncSource::Peer { peer_address } = source else { return FollowResult::ReadStore };
        if self.client.as_ref().is_none_or(|(address, _)| *address != peer_address) {
            log::info!(peer:% = peer_address; "syncing from a peer");
        }
        let revision = state.store_revision();
        let wait_ms = state.poll_wait_ms(FOLLOW_WAIT_MS);
        let (client, lag_check) = (&mut self.client, &mut self.lag_check);
        let pulled = tokio::select! {
            pulled = pull_update(state, client, &peer_address, revision, wait_ms) => pulled,
            error = wait_until_behind(state, lag_check) => Err(error.into()),
            () = wait_until_not_alive(state, &peer_address) => {
                Err(eyre!("the peer is no longer alive"))
            }
        };
        let now_us = state.clock.now_us();
        if pulled.as_ref().is_ok_and(|pulled| pulled.update.revision > revision) {
            self.lag_check.restart();
        }
        match pulled {
            Ok(pulled) => {
                if pulled.update.is_store_unavailable {
                    state.gossip.borrow_mut().record_peer_store_unavailable(now_us, &peer_address);
                } else {
                    state.mark_store_available();
                }
                apply_update(state, pulled);
                FollowResult::Updated
            }
            Err(error) => {
                log::info!(
                    peer:% = peer_address, error:%;
                    "sync from a peer failed; skipping the peer for a while"
                );
                self.client = None;
                self.lag_check.restart();
                state.gossip.borrow_mut().record_sync_failure(now_us, &peer_address);
                FollowResult::Failed
            }
        }
    }
}

/// Waits until a peer is suspect, leaving or dead.
///
/// A call to such a peer may otherwise hang for seconds.
async fn wait_until_not_alive(state: &ControlState, peer_address: &str) {
    while state.gossip.borrow().is_alive(peer_address) {
        sleep(LIVENESS_CHECK_INTERVAL).await;
    }
}

/// The result of an attempt to sync from a followed peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FollowResult {
    /// The peer's update was applied.
    Updated,
    /// The sync failed; another peer may be tried.
    Failed,
    /// This node should read the store itself.
    ReadStore,
}

/// Requests a peer's update after a revision; the peer waits up to `wait_ms` for a newer revision.
///
/// Leaves the connection in `client` only after a complete answer.
async fn pull_update(
    state: &ControlState,
    client: &mut Option<(EcoString, PersistentClient)>,
    peer: &str,
    revision: u64,
    wait_ms: u64,
) -> eyre::Result<PulledUpdate> {
    let existing = client.take().filter(|(address, _)| address == peer);
    let (address, mut connection) = match existing {
        Some(existing) => existing,
        None => (peer.into(), PersistentClient::new(peer.parse()?)),
    };
    let path = eco_format!("{PEER_SYNC_PATH}?after={revision}&wait_ms={wait_ms}");
    let request = StoreRequest { method: Method::GET, path, body: Bytes::new() };
    let limit = CALL_TIMEOUT + Duration::from_millis(wait_ms);
    let sent_us = state.clock.now_us();
    let (status, body) = connection.call(request, limit).await?;
    ensure!(status == StatusCode::OK, "the peer answered with status {status}");
    *client = Some((address, connection));
    let update = postcard::from_bytes(&body)?;
    Ok(PulledUpdate { update, after: revision, sent_us, wait_us: wait_ms * US_PER_MS })
}

/// Returns the peer to pull from while the store is unavailable: one that has synced further, or if
/// there is none and this node's keys would be out of date, one that probably reaches the store.
fn outage_source(state: &ControlState) -> Option<EcoString> {
    let now_us = state.clock.now_us();
    let advanced = state.gossip.borrow().most_advanced_peer();
    let is_confirmed = |freshness: KeyFreshness| {
        let age_us = state.confirmation.age_us(now_us);
        age_us.is_some_and(|age_us| age_us <= 2 * freshness.max_watch_wait_ms() * US_PER_MS)
    };
    let needs_confirmation =
        key_freshness(&state.settings()).is_some_and(|freshness| !is_confirmed(freshness));
    advanced.or_else(|| {
        let gossip = state.gossip.borrow();
        gossip.alternative_source(now_us).filter(|_| needs_confirmation)
    })
}

impl PulledUpdate {
    /// Returns a time at which the peer's view was certainly current, in microseconds; `None` if it
    /// never was.
    fn confirmed_us(&self, now_us: u64) -> Option<u64> {
        let poll = AnsweredPoll {
            sent_us: self.sent_us,
            answered_us: now_us,
            wait_us: self.wait_us,
            has_changes: !self.update.is_delta || self.update.revision > self.after,
            source_age_us: self.update.unconfirmed_ms? * US_PER_MS,
        };
        Some(poll.confirmed_us())
    }
}

/// Records that this node's view was current at a time, since the view of a peer at a revision was;
/// does nothing if this node has synced further.
///
/// The peer's update must have been applied before if it has synced further.
fn record_confirmation(state: &ControlState, revision: u64, confirmed_us: Option<u64>) {
    let confirmed_us = confirmed_us.filter(|_| revision >= state.store_revision());
    if let Some(confirmed_us) = confirmed_us {
        state.confirmation.record(confirmed_us);
    }
}

/// Applies a peer's update to the registry.
fn apply_update(state: &ControlState, pulled: PulledUpdate) {
    let confirmed_us = pulled.confirmed_us(state.clock.now_us());
    let revision = pulled.update.revision;
    apply_entries(state, pulled.update);
    record_confirmation(state, revision, confirmed_us);
}

fn apply_entries(state: &ControlState, update: PeerUpdate) {
    let hold_until_us = state.clock.now_us() + update.expired_hold_ms * US_PER_MS;
    // This also applies if the peer itself synced from another peer: the node that read the store
    // decides how long expired entries may be registered again, and each peer passes that time on.
    state.apply_events([DiscoveryEvent::PeerSyncStarted]);
    let revision = update.revision;
    let hold = (update.expired_hold_ms > 0)
        .then_some(DiscoveryEvent::HoldUntil { until_us: hold_until_us });
    if !update.is_delta {
        let all_entries =
            DiscoveryEvent::PeerEntries { entries: update.entries, revision: update.revision };
        state.apply_events(hold.into_iter().chain([all_entries]));
        return state.advance_revision(revision);
    }
    let to_seen = |(entry, revision)| DiscoveryEvent::EntrySeen { entry, revision };
    let to_removed = |(key, revision)| DiscoveryEvent::EntryRemoved { key, revision };
    let changes =
        update.entries.into_iter().map(to_seen).chain(update.removed.into_iter().map(to_removed));
    state.apply_events(hold.into_iter().chain(changes));
    state.advance_revision(revision);
}

async fn handle_request(
    state: Rc<ControlState>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let mut answer = Response::new(Full::default());
    if request.uri().path() != PEER_SYNC_PATH {
        *answer.status_mut() = StatusCode::NOT_FOUND;
        return Ok(answer);
    }
    let (after, wait_ms) = parse_query(request.uri().query().unwrap_or(""));
    let wait = Duration::from_millis(wait_ms.min(FOLLOW_WAIT_MS));
    // Answers after a timeout too: that shows the peer that this node is alive.
    let _ = timeout(wait, state.wait_past_revision(after)).await;
    let update = build_update(&state, after);
    match postcard::to_stdvec(&update) {
        Ok(body) => {
            state.count_sync_answer(update.is_delta, body.len());
            *answer.body_mut() = Full::from(body);
        }
        Err(error) => {
            log::error!(error:%; "cannot encode the registry entries for a peer");
            *answer.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
        }
    }
    Ok(answer)
}

/// Returns the revision and the wait time in milliseconds that a peer requests.
fn parse_query(query: &str) -> (u64, u64) {
    let number = |name: &str| {
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let value = pairs.find(|(key, _)| *key == name).map(|(_, value)| value);
        // A peer of another version may omit a parameter: zeros request all entries at once.
        value.and_then(|value| value.parse().ok()).unwrap_or(0)
    };
    (number("after"), number("wait_ms"))
}

/// Builds the update for a peer that has applied a revision.
///
/// Holds all entries if the change log does not reach back to that revision.
fn build_update(state: &ControlState, after: u64) -> PeerUpdate {
    let discovery = state.discovery.borrow();
    let hold_us = discovery.hold_until_us().saturating_sub(state.clock.now_us());
    let unconfirmed_us = state.confirmation.age_us(state.clock.now_us());
    let changes = discovery.changes_after(after);
    let is_delta = changes.is_some();
    let (entries, removed) = match changes {
        Some(changes) => (changes.updated, changes.removed),
        None => (discovery.entries(), Vec::new()),
    };
    PeerUpdate {
        revision: state.store_revision(),
        entries,
        removed,
        is_delta,
        is_store_unavailable: state.is_store_unavailable(),
        expired_hold_ms: hold_us / US_PER_MS,
        unconfirmed_ms: unconfirmed_us.map(|unconfirmed_us| unconfirmed_us.div_ceil(US_PER_MS)),
    }
}
