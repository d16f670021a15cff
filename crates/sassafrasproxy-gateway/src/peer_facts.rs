//! Learning from a peer what the store would tell, while the store turns this node away.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use eyre::ensure;
use http::{Method, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use sassafrasproxy_core::{DiscoveryEvent, Fact};
use sassafrasproxy_platform::StoreCall;
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::control::{CALL_LIMIT, ControlState};
use crate::http_client::KeptClient;

/// Where a peer tells what it knows.
const FACTS_PATH: &str = "/facts";

/// How often a node that cannot reach the store looks for a peer that knows more.
///
/// A configuration must be in force within three seconds; a peer's heartbeat says within about
/// half a second that it has it, and one more look makes two.
const PULL_INTERVAL: Duration = Duration::from_millis(700);

/// The pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Everything that a node knows from the store.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
struct PeerFacts {
    /// How far it follows the store.
    revision: u64,
    /// The facts, each with its revision in the store.
    facts: Vec<(Fact, u64)>,
}

/// Tells peers what this node knows, for as long as the process runs.
pub async fn serve_facts(state: Rc<ControlState>, listener: TcpListener) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(error:%; "a peer's connection could not be accepted");
                sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let state = state.clone();
        spawn_local(async move {
            let service = service_fn(|request| answer(state.clone(), request));
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
        if !state.is_store_away() {
            continue;
        }
        let Some(peer) = state.gossip.borrow().best_informed() else { continue };
        match pull(&peer).await {
            Ok(facts) => {
                log::info!(peer:%, revision = facts.revision; "facts learned from a peer");
                state.reach(facts.revision);
                let (revision, facts) = (facts.revision, facts.facts);
                state.discover([DiscoveryEvent::PeerFacts { facts, revision }]);
            }
            Err(error) => log::info!(peer:%, error:%; "a peer did not tell its facts"),
        }
    }
}

async fn pull(peer: &str) -> eyre::Result<PeerFacts> {
    let address: SocketAddr = peer.parse()?;
    let call = StoreCall { method: Method::GET, path: FACTS_PATH.into(), body: Bytes::new() };
    let (status, body) = KeptClient::new(address).call(call, CALL_LIMIT).await?;
    ensure!(status == StatusCode::OK, "status {status}");
    Ok(serde_json::from_slice(&body)?)
}

async fn answer(
    state: Rc<ControlState>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let mut answer = Response::new(Full::default());
    if request.uri().path() != FACTS_PATH {
        *answer.status_mut() = StatusCode::NOT_FOUND;
        return Ok(answer);
    }
    let facts =
        PeerFacts { revision: state.store_revision(), facts: state.discovery.borrow().facts() };
    match serde_json::to_vec(&facts) {
        Ok(body) => *answer.body_mut() = Full::from(body),
        Err(error) => {
            log::error!(error:%; "the facts cannot be written");
            *answer.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
        }
    }
    Ok(answer)
}
