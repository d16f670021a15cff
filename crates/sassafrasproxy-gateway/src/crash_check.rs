//! Checks whether a replica that did not answer a request has crashed.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ecow::EcoString;
use sassafrasproxy_core::{CrashReport, fingerprint_text};
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::connection_pool::{ConnectError, connect};
use crate::request::CallerRequest;
use crate::traffic::TrafficState;
use crate::upstream::{CONNECT_TIMEOUT, SendSpec};

/// The delay before a replica whose connection broke is checked again.
///
/// A process that ends closes its connections before the system refuses new ones, and needs some
/// time to start again.
const RECHECK_DELAY: Duration = Duration::from_millis(750);

/// The sign by which a replica may have crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashSign {
    /// The connection broke before the answer was complete.
    BrokenConnection,
    /// No answer arrived before the timeout.
    Silence,
}

/// A send that may have crashed its replica.
struct SuspectedCrash {
    request: Rc<CallerRequest>,
    replica: EcoString,
    address: SocketAddr,
    report: CrashReport,
    sign: CrashSign,
    is_fan_out: bool,
}

/// Checks whether a replica that did not answer a request completely has crashed, and reports it.
///
/// An answer that is lost in the network also breaks the connection, and a busy replica is silent,
/// but then the replica accepts new connections. If several replicas run the request at once, their
/// crashes count as one. So do silent replicas, as a link of this node may be cut.
pub fn check_for_crash(traffic: &Rc<TrafficState>, spec: &SendSpec, sign: CrashSign) {
    let is_single = !spec.is_fan_out && sign == CrashSign::BrokenConnection;
    let replica = if is_single { spec.replica.id.as_str() } else { "" };
    let suspected = SuspectedCrash {
        request: spec.request.clone(),
        replica: spec.replica.id.clone(),
        address: spec.replica.address,
        report: CrashReport::new(
            spec.request.fingerprints.exact,
            &spec.request.attempt_id,
            replica,
        ),
        sign,
        is_fan_out: spec.is_fan_out,
    };
    let traffic = traffic.clone();
    spawn_local(async move {
        match suspected.find_error().await {
            Some(error) => suspected.report(&traffic, &error),
            None => log::info!(
                request:% = suspected.request.attempt_id,
                replica:% = suspected.replica,
                fingerprint:% = fingerprint_text(suspected.report.fingerprint);
                "a replica that did not answer still accepts connections"
            ),
        }
    });
}

impl SuspectedCrash {
    /// Returns the error that shows that the process is gone; `None` if it accepts connections.
    async fn find_error(&self) -> Option<ConnectError> {
        let error = self.try_connect().await;
        if error.is_some() || self.sign == CrashSign::Silence {
            return error;
        }
        sleep(RECHECK_DELAY).await;
        self.try_connect().await
    }

    async fn try_connect(&self) -> Option<ConnectError> {
        let connected = connect(self.address, CONNECT_TIMEOUT, Duration::ZERO).await;
        connected.err().filter(ConnectError::is_process_gone)
    }

    fn report(&self, traffic: &TrafficState, error: &ConnectError) {
        let (id, fingerprint) = (&self.request.attempt_id, self.report.fingerprint);
        log::warn!(
            request:% = id,
            replica:% = self.replica,
            fingerprint:% = fingerprint_text(fingerprint),
            error:%;
            "a replica crashed while it ran a request"
        );
        traffic.quarantine.record_crash(self.report);
        traffic.quarantine.record_shared_crash(&self.request.fingerprints);
        if self.is_fan_out && self.request.progress.record_crash() {
            traffic.quarantine.record_crash(CrashReport::of_many(fingerprint, id));
        }
    }
}
