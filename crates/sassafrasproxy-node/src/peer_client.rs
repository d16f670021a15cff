//! Calls peers over one connection per peer.

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

/// The timeout of a new connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// The timeout of a control call, which is any call but a sub-request and a ping.
const CONTROL_TIMEOUT: Duration = Duration::from_millis(400);

/// How long nothing may arrive on a connection with a pending sub-request before it is pinged.
const IDLE_BEFORE_PING: Duration = Duration::from_millis(10);

/// The timeout of a ping, including the time to connect if a new connection is needed.
const PING_TIMEOUT: Duration = Duration::from_millis(25);

/// The maximum message size, which limits the size of a configuration and of a query's body.
const MAX_MESSAGE_BYTES: u32 = 16 << 20;

/// The maximum number of pending calls on one connection.
const MAX_CONCURRENT_CALLS: usize = 65_536;

/// The reason why a call to a peer failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum PeerError {
    /// No connection could be opened; the peer received nothing.
    #[error("the peer cannot be reached")]
    Unreachable,
    /// The connection was lost or is stalled; the peer may have received the call.
    #[error("the connection to the peer was lost")]
    ConnectionLost,
    /// The peer did not answer in time.
    #[error("the peer did not answer in time")]
    TimedOut,
    /// The peer refused the call.
    #[error("the peer refused the call")]
    Refused,
}

/// A client of all peers; opens a connection to a peer at the first call.
#[derive(Debug)]
pub struct PeerClient {
    clock: Clock,
    /// The peers by address.
    entries: Mutex<IndexMap<EcoString, Arc<PeerEntry>>>,
}

/// The connection to one peer, if it is open.
#[derive(Debug, Default)]
struct PeerEntry {
    connection: tokio::sync::Mutex<Option<Arc<Connection>>>,
}

/// One connection to a peer.
#[derive(Debug)]
struct Connection {
    client: WsClient,
    /// The time at which the last answer arrived.
    last_received_us: AtomicU64,
    is_pinging: AtomicBool,
    is_retired: AtomicBool,
}

impl PeerClient {
    /// Creates a client without connections.
    pub fn new(clock: Clock) -> Self {
        Self { clock, entries: Mutex::default() }
    }

    /// Asks a home to run a sub-request.
    ///
    /// Guards against a stalled connection and a paused peer: while the reply is pending and no
    /// other answer arrives, the connection is pinged. If the ping is not answered, the connection
    /// is retired, long before the query's deadline.
    pub async fn send_sub_request(
        &self,
        address: &EcoString,
        request: &SubRequest,
        timeout: Duration,
    ) -> Result<SubRequestReply, PeerError> {
        let connection = self.connect(address).await?;
        let call = call(&connection.client, SUB_REQUEST_METHOD, request);
        let stalled = self.wait_until_stalled(&connection);
        let result = tokio::select! {
            result = call => result,
            () = stalled => Err(PeerError::ConnectionLost),
            () = tokio::time::sleep(timeout) => return Err(PeerError::TimedOut),
        };
        match result {
            Ok(_) => connection.last_received_us.store(self.clock.now_us(), Ordering::Relaxed),
            Err(PeerError::ConnectionLost) => connection.is_retired.store(true, Ordering::Relaxed),
            Err(_) => {}
        }
        result
    }

    /// Waits until the connection is stalled or retired.
    async fn wait_until_stalled(&self, connection: &Connection) {
        let started_us = self.clock.now_us();
        let idle_before_ping_us = IDLE_BEFORE_PING.as_micros() as u64;
        loop {
            tokio::time::sleep(IDLE_BEFORE_PING).await;
            if connection.is_retired.load(Ordering::Relaxed) {
                return;
            }
            let last_received_us =
                connection.last_received_us.load(Ordering::Relaxed).max(started_us);
            let is_idle = self.clock.now_us() >= last_received_us + idle_before_ping_us;
            if !is_idle || connection.is_pinging.swap(true, Ordering::Relaxed) {
                continue;
            }
            // This future may be dropped during the ping. The guard then clears the flag, so that
            // another sub-request on the connection can ping.
            let _guard = PingGuard(connection);
            let ping = call::<_, ()>(&connection.client, PING_METHOD, &());
            let is_answered = matches!(tokio::time::timeout(PING_TIMEOUT, ping).await, Ok(Ok(())));
            if !is_answered {
                connection.is_retired.store(true, Ordering::Relaxed);
                return;
            }
            connection.last_received_us.store(self.clock.now_us(), Ordering::Relaxed);
        }
    }

    /// Retires the connection to a peer and returns whether the peer answers a ping over a new one.
    pub async fn ping_on_new_connection(&self, address: &EcoString) -> bool {
        self.retire_connection(address).await;
        let check = async {
            let connection = self.connect(address).await.ok()?;
            call::<_, ()>(&connection.client, PING_METHOD, &()).await.ok()
        };
        matches!(tokio::time::timeout(PING_TIMEOUT, check).await, Ok(Some(())))
    }

    /// Cancels a sub-request whose reply is no longer needed.
    ///
    /// This is a call and not a notification, because the server's library ignores notifications.
    pub async fn cancel(
        &self,
        address: &EcoString,
        cancel: &CancelRequest,
    ) -> Result<(), PeerError> {
        self.control_call(address, CANCEL_METHOD, cancel).await
    }

    /// Sends a heartbeat and returns the peer's; retries once over a new connection if the current
    /// one is lost or the call times out.
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

    /// Asks a member to probe another member.
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

    /// Hands a group's state over to its new home.
    pub async fn send_hand_over(
        &self,
        address: &EcoString,
        hand_over: &HandOver,
    ) -> Result<(), PeerError> {
        self.control_call(address, HAND_OVER_METHOD, hand_over).await
    }

    /// Claims a key at its bucket's home.
    pub async fn claim(
        &self,
        address: &EcoString,
        request: &ClaimRequest,
    ) -> Result<ClaimAnswer, PeerError> {
        self.control_call(address, CLAIM_METHOD, request).await
    }

    /// Records the ending of a request at its bucket's home.
    pub async fn record_ending(
        &self,
        address: &EcoString,
        request: &RecordEndingRequest,
    ) -> Result<(), PeerError> {
        self.control_call(address, RECORD_ENDING_METHOD, request).await
    }

    /// Sends a peer the notice that a request is quarantined because it crashes upstreams.
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

    /// Returns the connection to a peer; opens a new one if none is usable.
    async fn connect(&self, address: &EcoString) -> Result<Arc<Connection>, PeerError> {
        let entry = self.entry(address);
        let mut current = entry.connection.lock().await;
        if let Some(connection) = current.as_ref()
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
        *current = Some(connection.clone());
        Ok(connection)
    }

    /// Retires the connection to a peer, so that the next call opens a new one.
    async fn retire_connection(&self, address: &EcoString) {
        let entry = self.entry(address);
        if let Some(connection) = entry.connection.lock().await.take() {
            connection.is_retired.store(true, Ordering::Relaxed);
        }
    }

    fn entry(&self, address: &EcoString) -> Arc<PeerEntry> {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        entries.entry(address.clone()).or_default().clone()
    }
}

/// Clears a connection's ping flag when dropped.
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
