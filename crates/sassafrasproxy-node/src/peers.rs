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
    ConfigurationRequest, HAND_OVER_METHOD, HOLDINGS_METHOD, HandOver, Heartbeat, NodeHoldings,
    PING_METHOD, PROBE_FOR_METHOD, PROBE_METHOD, PUSH_HOLDINGS_METHOD, PeerConfiguration, ProbeFor,
    QUARANTINE_METHOD, QuarantineNotice, RECORD_METHOD, RecordRequest, SUB_REQUEST_METHOD,
    SubReply, SubRequest,
};
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// How long a new connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// How long a control call may take.
const CONTROL_TIMEOUT: Duration = Duration::from_millis(400);

/// How long a connection may be quiet under an open sub-request before it is pinged.
const QUIET: Duration = Duration::from_millis(10);

/// How long such a ping may take.
const PING_TIMEOUT: Duration = Duration::from_millis(25);

/// The largest message, which bounds a configuration and a query's body.
const MAX_MESSAGE_BYTES: u32 = 16 << 20;

/// The most calls that wait on one connection.
const MAX_CALLS: usize = 65_536;

/// Why a call to a peer failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum PeerError {
    /// No connection could be made; the peer received nothing.
    #[error("the peer cannot be reached")]
    Unreachable,
    /// The connection was lost or silent; the peer may have received the call.
    #[error("the connection to the peer was lost")]
    Lost,
    /// The peer did not answer in time.
    #[error("the peer did not answer in time")]
    TimedOut,
    /// The peer refused the call.
    #[error("the peer refused the call")]
    Refused,
}

/// Connections to peers by address, made when they are first used.
#[derive(Debug)]
pub struct Peers {
    clock: Clock,
    slots: Mutex<IndexMap<EcoString, Arc<Slot>>>,
}

/// The place of one peer's connection.
#[derive(Debug, Default)]
struct Slot {
    connection: tokio::sync::Mutex<Option<Arc<Connection>>>,
}

/// One connection to a peer.
#[derive(Debug)]
struct Connection {
    client: WsClient,
    /// When anything last came back.
    heard_us: AtomicU64,
    is_pinging: AtomicBool,
    is_condemned: AtomicBool,
}

impl Peers {
    /// No connections yet.
    pub fn new(clock: Clock) -> Self {
        Self { clock, slots: Mutex::default() }
    }

    /// Asks a home to run a sub-request.
    ///
    /// Guards against a connection that is silent for good and a peer that is paused: while the
    /// answer is open and nothing else comes back, the connection is pinged; without an answer
    /// to that it is condemned, long before the query's deadline.
    pub async fn sub_request(
        &self,
        address: &EcoString,
        request: &SubRequest,
        timeout: Duration,
    ) -> Result<SubReply, PeerError> {
        let connection = self.connect(address).await?;
        let call = call(&connection.client, SUB_REQUEST_METHOD, request);
        let watch = self.watch(&connection);
        let result = tokio::select! {
            result = call => result,
            () = watch => Err(PeerError::Lost),
            () = tokio::time::sleep(timeout) => return Err(PeerError::TimedOut),
        };
        match result {
            Ok(_) => connection.heard_us.store(self.clock.now_us(), Ordering::Relaxed),
            Err(PeerError::Lost) => connection.is_condemned.store(true, Ordering::Relaxed),
            Err(_) => {}
        }
        result
    }

    /// Ends when the connection is silent for good.
    async fn watch(&self, connection: &Connection) {
        let asked_us = self.clock.now_us();
        let quiet_us = QUIET.as_micros() as u64;
        loop {
            tokio::time::sleep(QUIET).await;
            if connection.is_condemned.load(Ordering::Relaxed) {
                return;
            }
            let heard_us = connection.heard_us.load(Ordering::Relaxed).max(asked_us);
            let is_quiet = self.clock.now_us() >= heard_us + quiet_us;
            if !is_quiet || connection.is_pinging.swap(true, Ordering::Relaxed) {
                continue;
            }
            // The one who pings may be dropped meanwhile; the next must still be able to.
            let _pinging = Pinging(connection);
            let ping = call::<_, ()>(&connection.client, PING_METHOD, &());
            let is_heard = matches!(tokio::time::timeout(PING_TIMEOUT, ping).await, Ok(Ok(())));
            if !is_heard {
                connection.is_condemned.store(true, Ordering::Relaxed);
                return;
            }
            connection.heard_us.store(self.clock.now_us(), Ordering::Relaxed);
        }
    }

    /// Whether a peer answers over a new connection.
    pub async fn is_alive(&self, address: &EcoString) -> bool {
        self.condemn(address).await;
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
            Err(PeerError::Lost | PeerError::TimedOut) => {
                self.condemn(address).await;
                self.control_call(address, PROBE_METHOD, heartbeat).await
            }
            result => result,
        }
    }

    /// Asks a member to probe another.
    pub async fn probe_for(
        &self,
        address: &EcoString,
        request: &ProbeFor,
    ) -> Result<Option<Heartbeat>, PeerError> {
        self.control_call(address, PROBE_FOR_METHOD, request).await
    }

    /// Reads a peer's configuration.
    pub async fn configuration(
        &self,
        address: &EcoString,
        request: &ConfigurationRequest,
    ) -> Result<PeerConfiguration, PeerError> {
        self.control_call(address, CONFIGURATION_METHOD, request).await
    }

    /// Reads the holdings that a peer published.
    pub async fn holdings(&self, address: &EcoString) -> Result<NodeHoldings, PeerError> {
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
    pub async fn hand_over(&self, address: &EcoString, given: &HandOver) -> Result<(), PeerError> {
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
    pub async fn record(
        &self,
        address: &EcoString,
        request: &RecordRequest,
    ) -> Result<(), PeerError> {
        self.control_call(address, RECORD_METHOD, request).await
    }

    /// Tells a peer that a request crashes upstreams.
    pub async fn quarantine(
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
            connection.heard_us.store(self.clock.now_us(), Ordering::Relaxed);
        }
        result
    }

    /// The connection to a peer, made now if there is none that works.
    async fn connect(&self, address: &EcoString) -> Result<Arc<Connection>, PeerError> {
        let slot = self.slot(address);
        let mut place = slot.connection.lock().await;
        if let Some(connection) = place.as_ref()
            && connection.is_usable()
        {
            return Ok(connection.clone());
        }
        let client = WsClientBuilder::default()
            .connection_timeout(CONNECT_TIMEOUT)
            .max_concurrent_requests(MAX_CALLS)
            .max_request_size(MAX_MESSAGE_BYTES)
            .max_response_size(MAX_MESSAGE_BYTES)
            .set_tcp_no_delay(true)
            .build(format!("ws://{address}"))
            .await
            .map_err(|_| PeerError::Unreachable)?;
        let connection = Arc::new(Connection {
            client,
            heard_us: AtomicU64::new(self.clock.now_us()),
            is_pinging: AtomicBool::new(false),
            is_condemned: AtomicBool::new(false),
        });
        *place = Some(connection.clone());
        Ok(connection)
    }

    /// Takes a connection out of use, so that the next call makes a new one.
    async fn condemn(&self, address: &EcoString) {
        let slot = self.slot(address);
        if let Some(connection) = slot.connection.lock().await.take() {
            connection.is_condemned.store(true, Ordering::Relaxed);
        }
    }

    fn slot(&self, address: &EcoString) -> Arc<Slot> {
        let mut slots = self.slots.lock().unwrap_or_else(PoisonError::into_inner);
        slots.entry(address.clone()).or_default().clone()
    }
}

/// Marks a connection as being pinged while it lives.
struct Pinging<'a>(&'a Connection);

impl Drop for Pinging<'_> {
    fn drop(&mut self) {
        self.0.is_pinging.store(false, Ordering::Relaxed);
    }
}

impl Connection {
    fn is_usable(&self) -> bool {
        self.client.is_connected() && !self.is_condemned.load(Ordering::Relaxed)
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
        _ => PeerError::Lost,
    })
}
