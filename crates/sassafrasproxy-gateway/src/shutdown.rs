//! Shuts a gateway down gracefully.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use sassafrasproxy_core::{Drain, US_PER_MS};
use tokio::sync::{Notify, watch};
use tokio::time::{sleep, timeout};

use crate::traffic::TrafficState;

/// The interval at which a leaving node checks whether its requests have completed.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// Twice the time for the last answers to leave the process, in microseconds, unless the grace time
/// leaves less.
const MAX_FLUSH_US: u64 = 100_000;

/// The progress of a node's shutdown, and what it waits for.
#[derive(Debug, Default)]
pub struct Shutdown {
    /// `None` until the node is told to leave.
    drain: Cell<Option<Drain>>,
    /// The number of requests and relay calls in progress.
    active_requests: Cell<usize>,
    /// The number of open caller connections that the shutdown waits for.
    open_connections: Cell<usize>,
    /// Notified when the requests in progress must get their final answers at once.
    given_up: Notify,
}

impl Shutdown {
    /// Starts the shutdown, from when on callers should use other nodes.
    pub fn start(&self, now_us: u64, grace_us: u64) -> Drain {
        let drain = Drain::start(now_us, grace_us);
        self.drain.set(Some(drain));
        drain
    }

    /// Returns the times of the shutdown; `None` if the node stays.
    pub fn drain(&self) -> Option<Drain> {
        self.drain.get()
    }

    /// Whether the node is leaving and callers should use other nodes.
    pub fn is_leaving(&self) -> bool {
        self.drain.get().is_some()
    }

    /// Returns the number of requests and relay calls in progress.
    pub fn active_requests(&self) -> usize {
        self.active_requests.get()
    }

    /// Whether nothing is left that the shutdown waits for.
    pub fn is_idle(&self) -> bool {
        self.active_requests.get() == 0 && self.open_connections.get() == 0
    }

    /// Gives up the requests in progress, which get their final answers.
    pub fn give_up(&self) {
        self.given_up.notify_waiters();
    }

    /// Waits until the requests in progress are given up.
    pub async fn wait_until_given_up(&self) {
        self.given_up.notified().await;
    }
}

/// Counts a request or a relay call as active until dropped, also if its caller disconnects.
pub struct ActiveRequestGuard {
    traffic: Rc<TrafficState>,
}

impl ActiveRequestGuard {
    /// Counts a request or a relay call.
    pub fn new(traffic: Rc<TrafficState>) -> Self {
        let count = &traffic.shutdown.active_requests;
        count.set(count.get() + 1);
        Self { traffic }
    }
}

impl Drop for ActiveRequestGuard {
    fn drop(&mut self) {
        let count = &self.traffic.shutdown.active_requests;
        count.set(count.get() - 1);
    }
}

/// Counts a caller connection as open until dropped.
pub struct OpenConnectionGuard {
    traffic: Rc<TrafficState>,
}

impl OpenConnectionGuard {
    /// Counts a connection.
    pub fn new(traffic: Rc<TrafficState>) -> Self {
        let count = &traffic.shutdown.open_connections;
        count.set(count.get() + 1);
        Self { traffic }
    }
}

impl Drop for OpenConnectionGuard {
    fn drop(&mut self) {
        let count = &self.traffic.shutdown.open_connections;
        count.set(count.get() - 1);
    }
}

/// Shuts down gracefully within the grace time.
///
/// Accepts connections while callers get other nodes' addresses from the directory, then stops
/// accepting and waits for in-flight requests. Those that have not ended in time get their final
/// answers.
pub async fn shut_down(traffic: &TrafficState, stop: &watch::Sender<bool>) {
    let (now_us, grace_us) = (traffic.clock.now_us(), traffic.settings().grace_ms * US_PER_MS);
    let drain = traffic.shutdown.start(now_us, grace_us);
    traffic.sleep_until(drain.accept_until_us).await;
    stop.send_replace(true);
    let flush_us = (drain.end_us - drain.answer_until_us).min(MAX_FLUSH_US) / 2;
    let drained = async {
        // Idle connections are closed by now: an open one carries a request or is receiving one.
        while !traffic.shutdown.is_idle() {
            sleep(DRAIN_CHECK_INTERVAL).await;
        }
        sleep(Duration::from_micros(flush_us)).await;
    };
    let left_us = drain.answer_until_us.saturating_sub(traffic.clock.now_us());
    if timeout(Duration::from_micros(left_us), drained).await.is_err() {
        log::warn!(
            requests = traffic.shutdown.active_requests();
            "the grace time is over; in-flight requests are given up"
        );
        traffic.shutdown.give_up();
        sleep(Duration::from_micros(flush_us)).await;
    }
}
