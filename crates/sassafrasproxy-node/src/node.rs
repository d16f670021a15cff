//! Starts, runs and shuts down one node.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use ecow::{EcoString, eco_format};
use jsonrpsee::server::ServerHandle;
use poem::Server;
use sassafrasproxy_clock::{Clock, unix_time_ms};
use sassafrasproxy_config::NodeSettings;
use sassafrasproxy_core::{ClaimPolicy, ControlEvent, ControlPlane, ControlPolicy};
use sassafrasproxy_wire::{MemberState, MemberUpdate, TimelineEventKind};
use thiserror::Error;
use tokio::runtime::Handle;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;

use crate::PlatformClient;
use crate::caller_connections::{CallerAcceptor, CallerConnections};
use crate::claim_buckets::ClaimBuckets;
use crate::control::{ControlInput, ControlThread};
use crate::events::EventLog;
use crate::http;
use crate::metrics::Metrics;
use crate::peer_client::PeerClient;
use crate::peer_server;
use crate::schedulers::Schedulers;
use crate::shared::Shared;

/// The default budget of hedges and retries, as a fraction of the base load.
const DEFAULT_BUDGET_FRACTION: f64 = 0.05;

/// The interval at which a node that is shutting down checks whether its work has drained.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// How long a node that is shutting down waits for its work to drain, counted from when callers no
/// longer use its address.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(30);

/// The reason why a node could not start.
#[derive(Debug, Error)]
pub enum StartError {
    /// A socket could not be bound.
    #[error("cannot listen on {address}: {error}; choose a free address")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The error of the operating system.
        error: std::io::Error,
    },
    /// The peer server could not be started.
    #[error("cannot start the server for peers: {detail}")]
    PeerServer {
        /// The error of the RPC library.
        detail: EcoString,
    },
    /// The metrics socket could not be created.
    #[error("cannot open the metrics socket: {0}; check the setting `statsd`")]
    Metrics(std::io::Error),
    /// The client of the platform could not be created.
    #[error("cannot create the client of the platform: {0}")]
    Platform(#[from] reqwest::Error),
    /// The control thread could not be started.
    #[error("cannot start the control thread: {0}")]
    ControlThread(std::io::Error),
}

/// Parameters that only measurements vary; a node in production runs with the defaults.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Tuning {
    /// Intervals, timeouts and counts of the control reducer.
    pub control: ControlPolicy,
    /// The budget of hedges and retries as a fraction of the base load, 0 to 1.
    pub budget_fraction: f64,
    /// Intervals, timeouts and sizes of the claim buckets.
    pub claims: ClaimPolicy,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            control: ControlPolicy::default(),
            budget_fraction: DEFAULT_BUDGET_FRACTION,
            claims: ClaimPolicy::default(),
        }
    }
}

/// A running node.
pub struct Node {
    shared: Arc<Shared>,
    address: SocketAddr,
    peer_address: SocketAddr,
    peer_server: ServerHandle,
    stop_http: watch::Sender<bool>,
    /// Ends once the callers' connections have ended after a stop.
    http_server: JoinHandle<()>,
}

impl Node {
    /// Binds both sockets and starts the node on the current runtime; fails with [`StartError`] if
    /// a part of the node cannot be started.
    pub fn start(settings: NodeSettings, tuning: Tuning) -> Result<Self, StartError> {
        let listener = bind(settings.listen)?;
        let peer_listener = bind(settings.peer_listen)?;
        let (address, peer_address) = (local_address(&listener), local_address(&peer_listener));
        let platform = PlatformClient::new(settings.platform.clone())?;
        let metrics = Metrics::new(settings.statsd, &settings.name).map_err(StartError::Metrics)?;
        let clock = Clock::start();
        let (control_sender, inputs) = mpsc::unbounded_channel();
        let member = MemberUpdate {
            node: settings.name.clone(),
            peer_address: format_address(settings.peer_advertise.unwrap_or(peer_address)),
            address: format_address(settings.advertise.unwrap_or(address)),
            failure_domain: settings.failure_domain.clone(),
            relay_address: EcoString::new(),
            cpu_millis: 0,
            state: MemberState::Alive,
            // The wall time is above the incarnation of any earlier run under this name, so it
            // overrides the member updates about that run.
            incarnation: unix_time_ms(),
        };
        let control_plane = ControlPlane::new(
            &member,
            settings.seeds.iter().cloned(),
            tuning.control,
            rand::random(),
            clock.now_us(),
        );
        let shared = Arc::new(Shared {
            clock,
            view: ArcSwap::from_pointee(control_plane.view()),
            events: EventLog::new(settings.name.clone(), settings.failure_domain.clone()),
            metrics,
            peer_client: PeerClient::new(clock),
            schedulers: Schedulers::default(),
            claim_buckets: ClaimBuckets::default(),
            platform: platform.clone(),
            control_sender,
            instance_id: eco_format!("{}-{:x}", settings.name, unix_time_ms()),
            settings,
            tuning,
        });
        let (_, peer_server) =
            peer_server::serve(peer_listener, &Handle::current(), shared.clone())
                .map_err(|error| StartError::PeerServer { detail: eco_format!("{error}") })?;
        ControlThread::start(control_plane, shared.clone(), platform, inputs)
            .map_err(StartError::ControlThread)?;
        let (stop_http, http_server) = serve_http(listener, shared.clone());
        shared.events.record(None, TimelineEventKind::NodeStarted);
        Ok(Self { shared, address, peer_address, peer_server, stop_http, http_server })
    }

    /// Returns the bound address to which callers connect.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the bound address to which peers connect.
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// Shuts down gracefully: announces the shutdown, hands over its homes, serves until callers no
    /// longer use its address and work has drained, and stops.
    ///
    /// The work of its callers' queries may be at the homes on other nodes, so the node also waits
    /// until it has answered them.
    pub async fn shut_down(mut self) {
        self.shared.send_control_event(ControlEvent::Shutdown);
        let address_keep_time = Duration::from_millis(self.shared.settings.address_keep_ms);
        tokio::time::sleep(address_keep_time).await;
        let drain = async {
            while !self.shared.schedulers.are_idle().await {
                tokio::time::sleep(DRAIN_CHECK_INTERVAL).await;
            }
        };
        let _ = tokio::time::timeout(DRAIN_TIMEOUT, drain).await;
        self.stop_http.send_replace(true);
        if tokio::time::timeout(DRAIN_TIMEOUT, &mut self.http_server).await.is_err() {
            log::warn!("callers' connections were still open when the node ended");
        }
        self.shared.events.record(None, TimelineEventKind::NodeStopped);
        self.stop();
        // Leaves the HTTP server time to finish the answers that it is sending.
        tokio::time::sleep(DRAIN_CHECK_INTERVAL).await;
    }

    /// Stops at once, without a drain.
    pub fn stop(&self) {
        self.stop_http.send_replace(true);
        let _ = self.peer_server.stop();
        let _ = self.shared.control_sender.send(ControlInput::Stop);
    }
}

/// Serves callers until `true` is sent on the returned channel, and ends once their connections have.
fn serve_http(listener: TcpListener, shared: Arc<Shared>) -> (watch::Sender<bool>, JoinHandle<()>) {
    let (stop, mut stopped) = watch::channel(false);
    let server = tokio::spawn(async move {
        let caller_connections = CallerConnections::default();
        let acceptor = match CallerAcceptor::new(listener, caller_connections.clone()) {
            Ok(acceptor) => acceptor,
            Err(error) => return log::error!("cannot serve callers: {error}"),
        };
        let signal = async move {
            let _ = stopped.wait_for(|is_stopped| *is_stopped).await;
        };
        let server = Server::new_with_acceptor(acceptor);
        let routes = http::routes(shared, caller_connections);
        if let Err(error) = server.run_with_graceful_shutdown(routes, signal, None).await {
            log::error!("serving callers ended: {error}");
        }
    });
    (stop, server)
}

/// Binds a socket for an asynchronous server.
fn bind(address: SocketAddr) -> Result<TcpListener, StartError> {
    let to_listen_error = |error| StartError::Listen { address, error };
    let listener = TcpListener::bind(address).map_err(to_listen_error)?;
    listener.set_nonblocking(true).map_err(to_listen_error)?;
    Ok(listener)
}

/// Returns the address that a socket is bound to.
fn local_address(listener: &TcpListener) -> SocketAddr {
    listener.local_addr().expect("a bound socket has an address")
}

fn format_address(address: SocketAddr) -> EcoString {
    eco_format!("{address}")
}
