//! Keeps the relays of all failure domains and the connections to them.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use ecow::EcoString;
use futures_util::{SinkExt, StreamExt};
use indexmap::IndexMap;
use sassafrasproxy_config::GatewaySettings;
use sassafrasproxy_core::{
    Catalogue, CatalogueReplica, DirectoryNode, PoolSettings, SendId, SendOutcome, UpstreamPool,
    relay_nodes,
};
use sassafrasproxy_wire::{RelayCall, RelayReply, RelayRequest, ReplicaEntry};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::timeout;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// The timeout of a connection attempt to a relay: a few round trips between failure domains.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// The maximum number of relay calls in flight to one relay; far above what a node can serve.
const MAX_CALLS_PER_RELAY: u32 = 1_000;

/// All relays that this node may call, and its connections to them.
pub struct RelayPool {
    /// The relays as replicas, with the name of their failure domain as the service.
    pool: RefCell<UpstreamPool>,
    addresses: RefCell<IndexMap<EcoString, SocketAddr>>,
    /// The CPU of the largest node of each failure domain, in thousandths of a core.
    largest_cpu_by_domain: RefCell<IndexMap<EcoString, u32>>,
    connections: RefCell<IndexMap<EcoString, RelayConnection>>,
    next_id: Cell<u64>,
}

/// A connection to a relay.
#[derive(Clone)]
struct RelayConnection {
    requests: mpsc::UnboundedSender<RelayRequest>,
    pending_calls: Rc<RefCell<IndexMap<u64, mpsc::UnboundedSender<RelayReply>>>>,
}

/// A relay call in progress; cancelled when dropped before [`finish`](Self::finish).
pub struct PendingRelayCall {
    id: u64,
    connection: RelayConnection,
    replies: mpsc::UnboundedReceiver<RelayReply>,
    is_finished: bool,
}

impl PendingRelayCall {
    /// Waits for the next reply; returns `None` once the connection has ended.
    pub async fn next_reply(&mut self) -> Option<RelayReply> {
        self.replies.recv().await
    }

    /// Records that the last reply has arrived.
    pub fn finish(&mut self) {
        self.is_finished = true;
    }
}

impl Drop for PendingRelayCall {
    fn drop(&mut self) {
        self.connection.pending_calls.borrow_mut().swap_remove(&self.id);
        if !self.is_finished {
            // The channel is closed if the connection has ended, which also ends its calls.
            let _ = self.connection.requests.send(RelayRequest::Cancel { id: self.id });
        }
    }
}

impl RelayPool {
    /// Returns a pool without relays.
    pub fn new(settings: &GatewaySettings) -> Self {
        let pool = PoolSettings {
            failure_domain: settings.failure_domain.clone(),
            warmup_factor: 0.0,
            warmup_slack: 0.0,
        };
        Self {
            pool: RefCell::new(UpstreamPool::new(pool)),
            addresses: RefCell::default(),
            largest_cpu_by_domain: RefCell::default(),
            connections: RefCell::default(),
            next_id: Cell::new(1),
        }
    }

    /// Replaces the relays with those among the given nodes; see `relay_nodes`.
    pub fn update(&self, now_us: u64, nodes: &[DirectoryNode], own_address: &str) {
        let mut largest: IndexMap<EcoString, u32> = IndexMap::new();
        for node in nodes {
            let cpu_millis = largest.entry(node.failure_domain.clone()).or_default();
            *cpu_millis = node.cpu_millis.max(*cpu_millis);
        }
        let mut catalogue = Catalogue::default();
        let mut addresses = IndexMap::new();
        for node in relay_nodes(nodes).into_iter().filter(|node| node.address != own_address) {
            let Ok(address) = node.relay_address.parse() else { continue };
            let entry = ReplicaEntry {
                id: node.relay_address.clone(),
                born_ms: 0,
                sequence: 1,
                service: node.failure_domain.clone(),
                version: EcoString::new(),
                address,
                failure_domain: node.failure_domain.clone(),
                slots: MAX_CALLS_PER_RELAY,
                is_draining: false,
                cold_for_ms: 0,
            };
            let replica = CatalogueReplica::eligible(entry, now_us);
            catalogue.replicas.insert(node.relay_address.clone(), replica);
            addresses.insert(node.relay_address.clone(), address);
        }
        self.pool.borrow_mut().update_with_in_flight_limit(
            now_us,
            &catalogue,
            MAX_CALLS_PER_RELAY as usize,
        );
        self.connections.borrow_mut().retain(|relay, _| addresses.contains_key(relay));
        self.addresses.replace(addresses);
        self.largest_cpu_by_domain.replace(largest);
    }

    /// Whether a failure domain has a relay.
    pub fn has_relay(&self, domain: &str) -> bool {
        self.pool.borrow().has_replicas(domain)
    }

    /// Returns the number of relays in a failure domain.
    pub fn relay_count(&self, domain: &str) -> usize {
        self.pool.borrow().replica_count(domain)
    }

    /// Returns the CPU of the largest node of a failure domain, in thousandths of a core.
    pub fn largest_cpu_millis(&self, domain: &str) -> u32 {
        self.largest_cpu_by_domain.borrow().get(domain).copied().unwrap_or(0)
    }

    /// Returns up to `count` usable relays of a failure domain, those expected to answer first.
    pub fn pick_relays(
        &self,
        domain: &str,
        now_us: u64,
        expected_us: u64,
        count: usize,
    ) -> Vec<EcoString> {
        let pool = self.pool.borrow();
        let mut picked = Vec::with_capacity(count);
        while picked.len() < count {
            let Some(relay) = pool.pick(domain, now_us, expected_us, &picked) else { break };
            picked.push(relay);
        }
        picked
    }

    /// Records the start of a relay call and returns its id, or `None` for an unknown relay.
    ///
    /// The call counts as stalled after `stall_after_us`.
    pub fn start_call(
        &self,
        relay: &str,
        now_us: u64,
        expected_us: u64,
        stall_after_us: u64,
    ) -> Option<SendId> {
        self.pool.borrow_mut().start_send(relay, now_us, expected_us, stall_after_us)
    }

    /// Records that a relay replied with some of the parts.
    pub fn record_reply(&self, relay: &str, now_us: u64) {
        self.pool.borrow_mut().record_activity(relay, now_us);
    }

    /// Records the outcome of a relay call; a failed call drops the connection.
    ///
    /// The connection may be stalled, so the next call opens a new one.
    pub fn finish_call(&self, relay: &str, call_id: SendId, now_us: u64, outcome: SendOutcome) {
        self.pool.borrow_mut().finish_send(relay, call_id, now_us, outcome, None);
        if outcome != SendOutcome::Answered && outcome != SendOutcome::Cancelled {
            self.connections.borrow_mut().swap_remove(relay);
        }
    }

    /// Sends a relay call to a relay.
    ///
    /// Returns an error if the relay is unknown or the connection cannot be opened.
    pub async fn call(
        &self,
        relay: &EcoString,
        mut relay_call: RelayCall,
    ) -> eyre::Result<PendingRelayCall> {
        let connection = self.connection(relay).await?;
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        relay_call.id = id;
        let (reply_sender, replies) = mpsc::unbounded_channel();
        connection.pending_calls.borrow_mut().insert(id, reply_sender);
        connection.requests.send(RelayRequest::Call(relay_call))?;
        Ok(PendingRelayCall { id, connection, replies, is_finished: false })
    }

    /// Returns the connection to a relay, and opens one if there is none.
    async fn connection(&self, relay: &EcoString) -> eyre::Result<RelayConnection> {
        if let Some(existing) =
            self.connections.borrow().get(relay).filter(|existing| existing.is_open())
        {
            return Ok(existing.clone());
        }
        let address = self.addresses.borrow().get(relay).copied();
        let address = address.ok_or_else(|| {
            eyre::eyre!("the address of the relay is unknown; the node may have left")
        })?;
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
        stream.set_nodelay(true)?;
        let (requests, queued_requests) = mpsc::unbounded_channel();
        let connection = RelayConnection { requests, pending_calls: Rc::default() };
        spawn_local(run_connection(stream, queued_requests, connection.pending_calls.clone()));
        // Two tasks may have connected at the same time; the later connection is kept.
        self.connections.borrow_mut().insert(relay.clone(), connection.clone());
        Ok(connection)
    }
}

impl RelayConnection {
    fn is_open(&self) -> bool {
        !self.requests.is_closed()
    }
}

/// Transfers requests and replies until the connection ends or its last user drops it.
async fn run_connection(
    stream: TcpStream,
    mut requests: mpsc::UnboundedReceiver<RelayRequest>,
    pending_calls: Rc<RefCell<IndexMap<u64, mpsc::UnboundedSender<RelayReply>>>>,
) {
    let (mut sink, mut frames) = Framed::new(stream, LengthDelimitedCodec::new()).split();
    loop {
        tokio::select! {
            request = requests.recv() => {
                let Some(request) = request else { break };
                let frame = match postcard::to_stdvec(&request) {
                    Ok(frame) => frame,
                    Err(error) => {
                        log::error!(
                            error:%; "failed to encode a relay request; closing the connection"
                        );
                        break;
                    }
                };
                if sink.send(Bytes::from(frame)).await.is_err() {
                    break;
                }
            }
            frame = frames.next() => {
                let Some(Ok(frame)) = frame else { break };
                let (mut reply, rest): (RelayReply, _) = match postcard::take_from_bytes(&frame) {
                    Ok(reply_and_rest) => reply_and_rest,
                    Err(error) => {
                        log::warn!(
                            error:%; "failed to decode a relay reply; closing the connection"
                        );
                        break;
                    }
                };
                // A relay of an older version writes no trailer.
                reply.apply_trailer(&postcard::from_bytes(rest).unwrap_or_default());
                // The call may have been cancelled.
                if let Some(call) = pending_calls.borrow().get(&reply.id) {
                    let _ = call.send(reply);
                }
            }
        }
    }
    // Dropping the senders ends the reply channels of the pending calls.
    pending_calls.borrow_mut().clear();
}
