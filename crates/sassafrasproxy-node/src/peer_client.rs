//! Connections to peers, one for each.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use ecow::EcoString;
use indexmap::IndexMap;
use jsonrpsee::core::client::{ClientT, Error as RpcError};
use jsonrpsee::rpc_params;
use jsonrpsee::ws_client::{WsClient, WsClientBuilder};
use sassafrasproxy_clock::Clock;
use sassafrasproxy_wire::{
    CANCEL_METHOD, CLAIM_METHOD, CONFIGURATION_METHOD, CancelRequest, ClaimAnswer, ClaimRequest,
    ConfigurationRequest, HAND_OVER_METHOD, HOLDINGS_METHOD, HandOver, Heartbeat,
    INDIRECT_PROBE_METHOD, IndirectProbeRequest, NodeHoldings, PING_METHOD, PROBE_METHOD,
    PUSH_HOLDINGS_METHOD, PeerConfiguration, QUARANTINE_METHOD, QuarantineNotice,
    RECORD_ENDING_METHOD, RecordEndingRequest, SUB_REQUEST_METHOD, SubRequest, SubRequestReply,
};
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// How long a new connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// How long a control call may take.
const CONTROL_TIMEOUT: Duration = Duration::from_millis(400);

/// How long a connection may be quiet under an open sub-request before it is pinged.
const IDLE_BEFORE_PING: Duration = Duration::from_millis(10);

/// How long such a ping may take.
const PING_TIMEOUT: Duration = Duration::from_millis(25);

/// The largest message, which bounds a configuration and a query's body.
const MAX_MESSAGE_BYTES: u32 = 16 << 20;

/// The most calls that wait on one connection.
const MAX_CONCURRENT_CALLS: usize = 65_536;

/// Why a call to a peer failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum PeerError {
    /// No connection could be made; the peer received nothing.
    #[error("the peer cannot be reached")]
    Unreachable,
    /// The connection was lost or silent; the peer may have received the call.
    #[error("the connection to the peer was lost")]
    ConnectionLost,
    /// The peer did not answer in time.
    #[error("the peer did not answer in time")]
    TimedOut,
    /// The peer refused the call.
    #[error("the peer refused the call")]
    Refused,
}

/// Connections to peers by address, made when they are first used.
#[derive(Debug)]
pub struct PeerClient {
    clock: Clock,
    entries: Mutex<IndexMap<EcoString, Arc<PeerEntry>>>,
}

/// The place of one peer's connection.
#[derive(Debug, Default)]
struct PeerEntry {
    connection: tokio::sync::Mutex<Option<Arc<Connection>>>,
}

/// One connection to a peer.
#[derive(Debug)]
struct Connection {
    client: WsClient,
    /// When anything last came back.
    last_received_us: AtomicU64,
    is_pinging: AtomicBool,
    is_retired: AtomicBool,
}

impl PeerClient {
    /// No connections yet.
    pub fn new(clock: Clock) -> Self {
        Self { clock, entries: Mutex::default() }
    }

    /// Asks a home to run a sub-request.
    ///
    /// Guards against a connection that is silent for good and a peer that is paused: while the
    /// answer is open and nothing else comes back, the connection is pinged; without an answer
    /// to that it is condemned, long before the query's deadline.
    pub async fn send_sub_request(
        &self,
        address: &EcoString,
        request: &SubRequest,
        timeout: Duration,
    ) -> Result<SubRequestReply, PeerError> {
        let connection = self.connect(address).await?;
        let call = call(&connection.client, SUB_REQUEST_METHOD, request);
        let watch = self.wait_until_stalled(&connection);
        let result = tokio::select! {
            result = call => result,
            () = watch => Err(PeerError::ConnectionLost),
            () = tokio::time::sleep(timeout) => return Err(PeerError::TimedOut),
        };
        match result {
            Ok(_) => connection.last_received_us.store(self.clock.now_us(), Ordering::Relaxed),
            Err(PeerError::ConnectionLost) => connection.is_retired.store(true, Ordering::Relaxed),
            Err(_) => {}
        }
        result
    }

    /// Ends when the connection is silent for good.
    async fn wait_until_stalled(&self, connection: &Connection) {
        let asked_us = self.clock.now_us();
        let quiet_us = IDLE_BEFORE_PING.as_micros() as u64;
        loop {
            tokio::time::sleep(IDLE_BEFORE_PING).await;
            if connection.is_retired.load(Ordering::Relaxed) {
                return;
            }
            let heard_us = connection.last_received_us.load(Ordering::Relaxed).max(asked_us);
            let is_quiet = self.clock.now_us() >= heard_us + quiet_us;
            if !is_quiet || connection.is_pinging.swap(true, Ordering::Relaxed) {
                continue;
            }
            // The one who pings may be dropped meanwhile; the next must still be able to.
            let _pinging = PingGuard(connection);
            let ping = call::<_, ()>(&connection.client, PING_METHOD, &());
            let is_heard = matches!(tokio::time::timeout(PING_TIMEOUT, ping).await, Ok(Ok(())));
            if !is_heard {
                connection.is_retired.store(true, Ordering::Relaxed);
                return;
            }
            connection.last_received_us.store(self.clock.now_us(), Ordering::Relaxed);
        }
    }

    /// Whether a peer answers over a new connection.
    pub async fn ping_on_new_connection(&self, address: &EcoString) -> bool {
        self.retire_connection(address).await;
        let check = async {
            let connection = self.connect(address).await.ok()?;
            call::<_, ()>(&connection.client, PING_METHOD, &()).await.ok()
        };
        matches!(tokio::time::timeout(PING_TIMEOUT, check).await, Ok(Some(())))
    }

    /// Gives up on a sub-request.
    ///
    /// This is a call, since the server's library takes no notice of notifications.
    pub async fn cancel(
        &self,
        address: &EcoString,
        cancel: &CancelRequest,
    ) -> Result<(), PeerError> {
        self.control_call(address, CANCEL_METHOD, cancel).await
    }

    /// Sends a heartbeat and returns the peer's; a silent connection is replaced once.
    pub async fn probe(
        &self,
        address: &EcoString,
        heartbeat: &Heartbeat,
    ) -> Result<Heartbeat, PeerError> {
        match self.control_call(address, PROBE_METHOD, heartbeat).await {
            Err(PeerError::ConnectionLost | PeerError::TimedOut) => {
                self.retire_connection(address).await;
                self.control_call(address, PROBE_METHOD, heartbeat).await
            }
            result => result,
        }
    }

    /// Asks a member to probe another.
    pub async fn probe_for(
        &self,
        address: &EcoString,
        request: &IndirectProbeRequest,
    ) -> Result<Option<Heartbeat>, PeerError> {
        self.control_call(address, INDIRECT_PROBE_METHOD, request).await
    }

    /// Reads a peer's configuration.
    pub async fn fetch_configuration(
        &self,
        address: &EcoString,
        request: &ConfigurationRequest,
    ) -> Result<PeerConfiguration, PeerError> {
        self.control_call(address, CONFIGURATION_METHOD, request).await
    }

    /// Reads the holdings that a peer published.
    pub async fn fetch_holdings(&self, address: &EcoString) -> Result<NodeHoldings, PeerError> {
        self.control_call(address, HOLDINGS_METHOD, &()).await
    }

    /// Sends this node's holdings.
    pub async fn push_holdings(
        &self,
        address: &EcoString,
        holdings: &NodeHoldings,
    ) -> Result<(), PeerError> {
        self.control_call(address, PUSH_HOLDINGS_METHOD, holdings).await
    }

    /// Hands a group to its new home.
    pub async fn send_hand_over(
        &self,
        address: &EcoString,
        given: &HandOver,
    ) -> Result<(), PeerError> {
        self.control_call(address, HAND_OVER_METHOD, given).await
    }

    /// Asks a bucket's home for a claim.
    pub async fn claim(
        &self,
        address: &EcoString,
        request: &ClaimRequest,
    ) -> Result<ClaimAnswer, PeerError> {
        self.control_call(address, CLAIM_METHOD, request).await
    }

    /// Tells a bucket's home what became of a request.
    pub async fn record_ending(
        &self,
        address: &EcoString,
        request: &RecordEndingRequest,
    ) -> Result<(), PeerError> {
        self.control_call(address, RECORD_ENDING_METHOD, request).await
    }

    /// Tells a peer that a request crashes upstreams.
    pub async fn send_quarantine(
        &self,
        address: &EcoString,
        notice: &QuarantineNotice,
    ) -> Result<(), PeerError> {
        self.control_call(address, QUARANTINE_METHOD, notice).await
    }

    async fn control_call<P: Serialize + Sync, T: DeserializeOwned>(
        &self,
        address: &EcoString,
        method: &str,
        params: &P,
    ) -> Result<T, PeerError> {
        let connection = self.connect(address).await?;
        let call = call(&connection.client, method, params);
        let result = tokio::time::timeout(CONTROL_TIMEOUT, call).await;
        let result = result.unwrap_or(Err(PeerError::TimedOut));
        if result.is_ok() {
            connection.last_received_us.store(self.clock.now_us(), Ordering::Relaxed);
        }
        result
    }

    /// The connection to a peer, made now if there is none that works.
    async fn connect(&self, address: &EcoString) -> Result<Arc<Connection>, PeerError> {
        let slot = self.entry(address);
        let mut place = slot.connection.lock().await;
        if let Some(connection) = place.as_ref()
            && connection.is_usable()
        {
            return Ok(connection.clone());
        }
        let client = WsClientBuilder::default()
            .connection_timeout(CONNECT_TIMEOUT)
            .max_concurrent_requests(MAX_CONCURRENT_CALLS)
            .max_request_size(MAX_MESSAGE_BYTES)
            .max_response_size(MAX_MESSAGE_BYTES)
            .set_tcp_no_delay(true)
            .build(format!("ws://{address}"))
            .await
            .map_err(|_| PeerError::Unreachable)?;
        let connection = Arc::new(Connection {
            client,
            last_received_us: AtomicU64::new(self.clock.now_us()),
            is_pinging: AtomicBool::new(false),
            is_retired: AtomicBool::new(false),
        });
        *place = Some(connection.clone());
        Ok(connection)
    }

    /// Takes a connection out of use, so that the next call makes a new one.
    async fn retire_connection(&self, address: &EcoString) {
        let slot = self.entry(address);
        if let Some(connection) = slot.connection.lock().await.take() {
            connection.is_retired.store(true, Ordering::Relaxed);
        }
    }

    fn entry(&self, address: &EcoString) -> Arc<PeerEntry> {
        let mut slots = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        slots.entry(address.clone()).or_default().clone()
    }
}

/// Marks a connection as being pinged while it lives.
struct PingGuard<'a>(&'a Connection);

impl Drop for PingGuard<'_> {
    fn drop(&mut self) {
        self.0.is_pinging.store(false, Ordering::Relaxed);
    }
}

impl Connection {
    fn is_usable(&self) -> bool {
        self.client.is_connected() && !self.is_retired.load(Ordering::Relaxed)
    }
}

/// Makes one call.
async fn call<P: Serialize + Sync, T: DeserializeOwned>(
    client: &WsClient,
    method: &str,
    params: &P,
) -> Result<T, PeerError> {
    client.request(method, rpc_params![params]).await.map_err(|error| match error {
        RpcError::Call(_) | RpcError::ParseError(_) | RpcError::InvalidRequestId(_) => {
            PeerError::Refused
        }
        RpcError::RequestTimeout => PeerError::TimedOut,
        _ => PeerError::ConnectionLost,
    })
}
