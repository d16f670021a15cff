//! Runs one gateway, from binding its sockets to the graceful shutdown.

use std::convert::Infallible;
use std::net::{SocketAddr, UdpSocket};
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use ecow::eco_format;
use http::Request;
use hyper::body::Incoming;
use sassafrasproxy_clock::{Clock, unix_time_ms};
use sassafrasproxy_config::GatewaySettings;
use sassafrasproxy_wire::{MemberState, MemberUpdate};
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, watch};
use tokio::task::{LocalSet, spawn_local};

use crate::answer::Answer;
use crate::confirmation::ViewConfirmation;
use crate::control::{self, ControlSetup};
use crate::listener::{self, ConnectionLimits};
use crate::metrics::GatewayMetrics;
use crate::quarantine::Quarantine;
use crate::shutdown::shut_down;
use crate::traffic::TrafficState;
use crate::view::GatewayView;
use crate::{admission, caller_server, directory, relay_server};

/// The maximum size of a request head on the directory, readiness and metrics listeners, in bytes.
const AUXILIARY_HEAD_BYTES: usize = 8_192;

/// The idle timeout of connections on the directory, readiness and metrics listeners.
const AUXILIARY_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// An error that keeps a gateway from running.
#[derive(Debug, Error)]
pub enum GatewayError {
    /// A socket could not be bound.
    #[error("cannot listen on {address}: {error}; choose a free address")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The error of the operating system.
        error: std::io::Error,
    },
    /// A thread, runtime or signal handler could not be set up.
    #[error("cannot start the gateway: {0}; check the resource limits of the process")]
    Start(#[from] std::io::Error),
}

/// A gateway whose sockets are bound.
pub struct Gateway {
    settings: Arc<GatewaySettings>,
    settings_file: PathBuf,
    sockets: Sockets,
}

/// The sockets of a gateway.
struct Sockets {
    callers: std::net::TcpListener,
    ready: std::net::TcpListener,
    directory: std::net::TcpListener,
    metrics: Option<std::net::TcpListener>,
    relay: std::net::TcpListener,
    /// Exchanges tokens of client accounts with peers, at the relay address; `None` if rate limits
    /// are not enforced.
    tokens: Option<UdpSocket>,
    peer_sync: std::net::TcpListener,
    gossip: UdpSocket,
}

impl Gateway {
    /// Binds the sockets that the settings name; port 0 takes any free port.
    ///
    /// Returns an error if a socket cannot be bound or set up.
    pub fn bind(settings: GatewaySettings, settings_file: PathBuf) -> Result<Self, GatewayError> {
        let sockets = Sockets::bind(&settings)?;
        Ok(Self { settings: Arc::new(settings), settings_file, sockets })
    }

    /// Serves traffic on the current thread until SIGTERM or SIGINT, then shuts down gracefully.
    ///
    /// Returns [`GatewayError::Start`] if a thread, the runtime, a socket or a signal handler cannot
    /// be set up.
    pub fn run(self) -> Result<(), GatewayError> {
        let clock = Clock::start();
        let local_member = self.local_member()?;
        let address = local_member.address.clone();
        let metrics_values = Arc::new(GatewayMetrics::new());
        let (view_sender, views) = watch::channel(GatewayView::default());
        let (leave, leaving) = watch::channel(false);
        let (configuration_needed_sender, configuration_needed) = watch::channel(false);
        let (local_crashes_sender, local_crashes) = mpsc::unbounded_channel();
        let (peer_crashes_sender, peer_crashes) = mpsc::unbounded_channel();
        let (quarantine_write_sender, quarantine_writes) = mpsc::unbounded_channel();
        let (local_trials_sender, local_trials) = mpsc::unbounded_channel();
        let (settings, settings_changes) = watch::channel(self.settings.clone());
        let confirmation = ViewConfirmation::default();
        let Sockets { callers, ready, directory, metrics, relay, tokens, peer_sync, gossip } =
            self.sockets;
        let setup = ControlSetup {
            clock,
            settings,
            settings_file: self.settings_file,
            local_member,
            gossip_socket: gossip,
            peer_sync_listener: peer_sync,
            metrics: metrics_values.clone(),
            local_crashes,
            peer_crashes: peer_crashes_sender,
            quarantine_writes,
            local_trials,
            view: view_sender,
            confirmation: confirmation.clone(),
            leaving,
            configuration_needed,
        };
        std::thread::Builder::new().name("control".into()).spawn(move || {
            if let Err(error) = control::run(setup) {
                log::error!(error:%; "the control thread failed to start");
            }
        })?;
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        LocalSet::new().block_on(&runtime, async {
            let traffic = Rc::new(TrafficState::new(
                clock,
                self.settings,
                metrics_values.clone(),
                address,
                Rc::new(Quarantine::new(
                    clock,
                    metrics_values,
                    local_crashes_sender,
                    quarantine_write_sender,
                )),
                configuration_needed_sender,
                confirmation,
            ));
            spawn_local(traffic.clone().follow_views(views));
            spawn_local(traffic.clone().follow_settings(settings_changes));
            spawn_local(traffic.quarantine.clone().follow_peers(peer_crashes));
            spawn_local(traffic.quarantine.clone().write_when_due());
            spawn_local(traffic.clone().report_trials(local_trials_sender));
            spawn_local(admission::decide_when_due(traffic.clone()));
            spawn_local(admission::measure_lateness(traffic.clone()));
            let (stop, stopping) = watch::channel(false);
            let listeners = ListenerContext { traffic: traffic.clone(), stopping };
            listeners.spawn(callers, caller_limits, caller_server::serve)?;
            listeners.spawn(ready, auxiliary_limits, directory::serve_ready)?;
            listeners.spawn(directory, auxiliary_limits, directory::serve_directory)?;
            if let Some(metrics) = metrics {
                listeners.spawn(metrics, auxiliary_limits, directory::serve_metrics)?;
            }
            let relay = TcpListener::from_std(relay)?;
            spawn_local(relay_server::run(relay, traffic.clone()));
            if let Some((limits, socket)) = traffic.rate_limits.clone().zip(tokens) {
                spawn_local(limits.run(tokio::net::UdpSocket::from_std(socket)?));
            }
            wait_for_signal().await?;
            log::info!("the node is leaving");
            leave.send_replace(true);
            shut_down(&traffic, &stop).await;
            log::info!("the node has ended");
            Ok(())
        })
    }

    /// Returns this node's member entry as announced to peers, and logs the bound addresses.
    fn local_member(&self) -> Result<MemberUpdate, GatewayError> {
        let callers = self.sockets.callers.local_addr()?;
        let directory = self.sockets.directory.local_addr()?;
        let ready = self.sockets.ready.local_addr()?;
        let peers = self.sockets.peer_sync.local_addr()?;
        let relay = self.sockets.relay.local_addr()?;
        let relay_advertise = self.settings.relay_advertise.unwrap_or(relay);
        let metrics = self.sockets.metrics.as_ref();
        let metrics = metrics.and_then(|listener| listener.local_addr().ok());
        let metrics = metrics.map_or_else(String::new, |address| address.to_string());
        let (node, domain) = (&self.settings.name, &self.settings.failure_domain);
        log::info!(
            node:%, domain:%, callers:%, directory:%, ready:%, peers:%, relay:%, metrics:%;
            "the node starts"
        );
        Ok(MemberUpdate {
            node: self.settings.name.clone(),
            peer_address: eco_format!("{peers}"),
            address: eco_format!("{callers}"),
            failure_domain: self.settings.failure_domain.clone(),
            relay_address: eco_format!("{relay_advertise}"),
            cpu_millis: (self.settings.cpu_share * 1_000.0) as u32,
            state: MemberState::Alive,
            // The wall time is greater than the incarnation of any earlier run of this node, so
            // members replace their entry of that run.
            incarnation: unix_time_ms(),
        })
    }
}

impl Sockets {
    fn bind(settings: &GatewaySettings) -> Result<Self, GatewayError> {
        let peer_sync = listen(settings.peer_listen)?;
        // The gossip datagrams use the same port number, so that a peer has one address.
        let gossip = bind_datagrams(peer_sync.local_addr()?)?;
        let relay = listen(settings.relay_listen)?;
        let relay_address = relay.local_addr()?;
        let tokens = settings.quota.map(|_| bind_datagrams(relay_address)).transpose()?;
        Ok(Self {
            callers: listen(settings.callers_listen)?,
            ready: listen(settings.ready_listen)?,
            directory: listen(settings.directory_listen)?,
            relay,
            tokens,
            metrics: settings.metrics_listen.map(listen).transpose()?,
            peer_sync,
            gossip,
        })
    }
}

/// The state that the listeners of the traffic thread share.
struct ListenerContext {
    traffic: Rc<TrafficState>,
    stopping: watch::Receiver<bool>,
}

impl ListenerContext {
    fn spawn<F, S>(
        &self,
        listener: std::net::TcpListener,
        limits: fn(&TrafficState) -> ConnectionLimits,
        serve: S,
    ) -> std::io::Result<()>
    where
        S: Fn(Rc<TrafficState>, Request<Incoming>) -> F + Copy + 'static,
        F: Future<Output = Result<Answer, Infallible>> + 'static,
    {
        let listener = TcpListener::from_std(listener)?;
        let (traffic, stopping) = (self.traffic.clone(), self.stopping.clone());
        spawn_local(listener::run(listener, traffic, limits, serve, stopping));
        Ok(())
    }
}

async fn wait_for_signal() -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

fn caller_limits(traffic: &TrafficState) -> ConnectionLimits {
    let limits = traffic.catalogue().caller_limits;
    ConnectionLimits {
        header_bytes: limits.header_bytes,
        idle_timeout: Duration::from_millis(limits.idle_timeout_ms.max(limits.header_timeout_ms)),
        blocks_shutdown: true,
    }
}

fn auxiliary_limits(_: &TrafficState) -> ConnectionLimits {
    ConnectionLimits {
        header_bytes: AUXILIARY_HEAD_BYTES,
        idle_timeout: AUXILIARY_IDLE_TIMEOUT,
        blocks_shutdown: false,
    }
}

fn bind_datagrams(address: SocketAddr) -> Result<UdpSocket, GatewayError> {
    let failed = |error| GatewayError::Listen { address, error };
    let socket = UdpSocket::bind(address).map_err(failed)?;
    socket.set_nonblocking(true).map_err(failed)?;
    Ok(socket)
}

fn listen(address: SocketAddr) -> Result<std::net::TcpListener, GatewayError> {
    let failed = |error| GatewayError::Listen { address, error };
    let listener = std::net::TcpListener::bind(address).map_err(failed)?;
    listener.set_nonblocking(true).map_err(failed)?;
    Ok(listener)
}
