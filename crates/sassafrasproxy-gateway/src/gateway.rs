//! One gateway, from its settings to its graceful end.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use ecow::{EcoString, eco_format};
use sassafrasproxy_clock::{Clock, wall_ms};
use sassafrasproxy_config::GatewaySettings;
use sassafrasproxy_wire::{MemberState, MemberUpdate};
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::sleep;

use crate::listener::{self, ConnectionLimits};
use crate::traffic::Traffic;
use crate::view::GatewayView;
use crate::{control, directory, front};

/// The largest head of a question to the directory or the readiness check, in bytes.
const SMALL_HEAD_BYTES: usize = 8_192;

/// How long a connection to the directory or the readiness check may be idle.
const SMALL_IDLE: Duration = Duration::from_secs(15);

/// The part of the grace time in which a leaving node still takes new connections.
///
/// Callers keep an answer of the directory up to three times as long as they were told; with
/// one second, they have all moved on when half of a grace time of six seconds is over.
const SERVE_PART: f64 = 0.55;

/// The part of the grace time after which a leaving node ends whatever is under way.
const END_PART: f64 = 0.93;

/// How often a leaving node looks whether its requests have ended.
const DRAIN_CHECK: Duration = Duration::from_millis(25);

/// How long the last answer takes to leave the process once its request has ended.
const FLUSH: Duration = Duration::from_millis(50);

/// Why a gateway could not run.
#[derive(Debug, Error)]
pub enum GatewayError {
    /// A socket could not be bound.
    #[error("cannot listen on {address}: {error}; choose a free address")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system says.
        error: std::io::Error,
    },
    /// The process could not be set up.
    #[error("cannot start: {0}; check the limits of the process")]
    Start(#[from] std::io::Error),
}

/// A gateway that was set up.
pub struct Gateway {
    settings: Arc<GatewaySettings>,
}

impl Gateway {
    /// A gateway with checked settings.
    pub fn new(settings: GatewaySettings) -> Self {
        Self { settings: Arc::new(settings) }
    }

    /// Runs on this thread until the graceful shutdown that SIGTERM or SIGINT starts has ended.
    pub fn run(self) -> Result<(), GatewayError> {
        let clock = Clock::start();
        let (view_sender, views) = watch::channel(GatewayView::default());
        let (leave, leaving) = watch::channel(false);
        let me = self.me();
        let settings = self.settings.clone();
        std::thread::Builder::new().name("control".into()).spawn(move || {
            if let Err(error) = control::run(clock, settings, me, view_sender, leaving) {
                log::error!("the control thread could not start: {error}");
            }
        })?;
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let local = LocalSet::new();
        local.block_on(&runtime, serve(clock, self.settings, views, leave))
    }

    fn me(&self) -> MemberUpdate {
        MemberUpdate {
            node: self.settings.name.clone(),
            peer_address: text(self.settings.peer_listen),
            address: text(self.settings.callers_listen),
            failure_domain: self.settings.failure_domain.clone(),
            state: MemberState::Alive,
            // The wall time overrules what members remember of an earlier life of this name.
            incarnation: wall_ms(),
        }
    }
}

/// Serves until the shutdown has ended.
async fn serve(
    clock: Clock,
    settings: Arc<GatewaySettings>,
    views: watch::Receiver<GatewayView>,
    leave: watch::Sender<bool>,
) -> Result<(), GatewayError> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let callers = bind(settings.callers_listen).await?;
    let ready = bind(settings.ready_listen).await?;
    let questions = bind(settings.directory_listen).await?;
    let traffic = Rc::new(Traffic::new(clock, settings.clone()));
    let (stop, stopping) = watch::channel(false);
    spawn_local(traffic.clone().follow(views));
    let small = |_: &Traffic| ConnectionLimits { header_bytes: SMALL_HEAD_BYTES, idle: SMALL_IDLE };
    spawn_local(listener::run(
        callers,
        traffic.clone(),
        caller_limits,
        front::serve,
        stopping.clone(),
    ));
    spawn_local(listener::run(
        ready,
        traffic.clone(),
        small,
        directory::serve_ready,
        stopping.clone(),
    ));
    spawn_local(listener::run(
        questions,
        traffic.clone(),
        small,
        directory::serve_directory,
        stopping,
    ));
    log::info!("node {} serves callers on {}", settings.name, settings.callers_listen);
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    log::info!("node {} is leaving", settings.name);
    leave.send_replace(true);
    shut_down(&traffic, &stop).await;
    log::info!("node {} has ended", settings.name);
    Ok(())
}

/// Serves on until callers have moved on, lets requests end, and ends before the grace time does.
async fn shut_down(traffic: &Traffic, stop: &watch::Sender<bool>) {
    let grace = Duration::from_millis(traffic.settings.grace_ms);
    traffic.is_leaving.set(true);
    sleep(grace.mul_f64(SERVE_PART)).await;
    stop.send_replace(true);
    let drained = async {
        while traffic.active.get() > 0 {
            sleep(DRAIN_CHECK).await;
        }
        sleep(FLUSH).await;
    };
    let left = grace.mul_f64(END_PART - SERVE_PART);
    if tokio::time::timeout(left, drained).await.is_err() {
        log::warn!("{} requests are cut off by the end of the grace time", traffic.active.get());
    }
}

fn caller_limits(traffic: &Traffic) -> ConnectionLimits {
    let limits = traffic.catalogue().caller_limits;
    ConnectionLimits {
        header_bytes: limits.header_bytes,
        idle: Duration::from_millis(limits.idle_timeout_ms.max(limits.header_timeout_ms)),
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener, GatewayError> {
    TcpListener::bind(address).await.map_err(|error| GatewayError::Listen { address, error })
}

fn text(address: SocketAddr) -> EcoString {
    eco_format!("{address}")
}
