//! The relays in other failure domains, and the connections to them.

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
};
use sassafrasproxy_wire::{MemberState, RelayAsk, RelayReply, RelayRequest, ReplicaEntry};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::timeout;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// How long a connection to a relay may take: some round trips between failure domains.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// How many asks a relay may have of this node at once; far above what a node serves at once.
const MAX_CALLS_PER_RELAY: u32 = 1_000;

/// All relays that this node may ask, and its connections to them.
pub struct RelayPool {
    /// Each relay as a replica of the failure domain that it is in.
    pool: RefCell<UpstreamPool>,
    addresses: RefCell<IndexMap<EcoString, SocketAddr>>,
    /// By failure domain, how much of a core its largest node has, in thousandths.
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

/// An ask under way; cancelled when dropped before its last reply.
pub struct PendingRelayCall {
    id: u64,
    connection: RelayConnection,
    replies: mpsc::UnboundedReceiver<RelayReply>,
    is_finished: bool,
}

impl PendingRelayCall {
    /// The next reply; `None` once the connection has ended.
    pub async fn next_reply(&mut self) -> Option<RelayReply> {
        self.replies.recv().await
    }

    /// Notes that the last reply has come.
    pub fn finish(&mut self) {
        self.is_finished = true;
    }
}

impl Drop for PendingRelayCall {
    fn drop(&mut self) {
        self.connection.pending_calls.borrow_mut().swap_remove(&self.id);
        if !self.is_finished {
            // A connection that has ended has ended its asks.
            let _ = self.connection.requests.send(RelayRequest::Cancel { id: self.id });
        }
    }
}

impl RelayPool {
    /// No relays yet.
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

    /// Takes the nodes that are there in; the larger ones of each failure domain relay.
    pub fn update(&self, now_us: u64, nodes: &[DirectoryNode], me: &str) {
        let alive = |node: &&DirectoryNode| {
            node.state == MemberState::Alive && !node.relay_address.is_empty()
        };
        let mut largest: IndexMap<EcoString, u32> = IndexMap::new();
        for node in nodes {
            let known = largest.entry(node.failure_domain.clone()).or_default();
            *known = node.cpu_millis.max(*known);
        }
        let mut catalogue = Catalogue::default();
        let mut addresses = IndexMap::new();
        for node in nodes.iter().filter(alive).filter(|node| node.address != me) {
            let Ok(address) = node.relay_address.parse() else { continue };
            if 2 * node.cpu_millis < largest[&node.failure_domain] {
                continue;
            }
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

    /// How many relays a failure domain has.
    pub fn relay_count(&self, domain: &str) -> usize {
        self.pool.borrow().replica_count(domain)
    }

    /// How much of a core the largest node of a failure domain has, in thousandths.
    pub fn largest_cpu_millis(&self, domain: &str) -> u32 {
        self.largest_cpu_by_domain.borrow().get(domain).copied().unwrap_or(0)
    }

    /// The relays of a failure domain that will probably answer first, as far as any can be asked.
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

    /// Notes an ask of a relay.
    pub fn start_call(
        &self,
        relay: &str,
        now_us: u64,
        expected_us: u64,
        patience_us: u64,
    ) -> Option<SendId> {
        self.pool.borrow_mut().start_send(relay, now_us, expected_us, patience_us)
    }

    /// Notes that a relay replied with some of the parts.
    pub fn record_reply(&self, relay: &str, now_us: u64) {
        self.pool.borrow_mut().record_activity(relay, now_us);
    }

    /// Notes the end of an ask of a relay; a lost one drops the connection.
    ///
    /// Guards against a connection that went silent: the next ask makes a new one.
    pub fn finish_call(&self, relay: &str, send: SendId, now_us: u64, outcome: SendOutcome) {
        self.pool.borrow_mut().finish_send(relay, send, now_us, outcome, None);
        if outcome != SendOutcome::Answered && outcome != SendOutcome::Cancelled {
            self.connections.borrow_mut().swap_remove(relay);
        }
    }

    /// Sends an ask to a relay.
    pub async fn call(
        &self,
        relay: &EcoString,
        mut ask: RelayAsk,
    ) -> eyre::Result<PendingRelayCall> {
        let link = self.connection(relay).await?;
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        ask.id = id;
        let (sender, replies) = mpsc::unbounded_channel();
        link.pending_calls.borrow_mut().insert(id, sender);
        link.requests.send(RelayRequest::Ask(ask))?;
        Ok(PendingRelayCall { id, connection: link, replies, is_finished: false })
    }

    /// The connection to a relay, made if there is none.
    async fn connection(&self, relay: &EcoString) -> eyre::Result<RelayConnection> {
        if let Some(link) = self.connections.borrow().get(relay).filter(|link| link.is_open()) {
            return Ok(link.clone());
        }
        let address = self.addresses.borrow().get(relay).copied();
        let address = address.ok_or_else(|| eyre::eyre!("the relay is gone"))?;
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
        stream.set_nodelay(true)?;
        let (requests, waiting) = mpsc::unbounded_channel();
        let link = RelayConnection { requests, pending_calls: Rc::default() };
        spawn_local(run_connection(stream, waiting, link.pending_calls.clone()));
        // Two requests may have connected at the same time; the later connection stays.
        self.connections.borrow_mut().insert(relay.clone(), link.clone());
        Ok(link)
    }
}

impl RelayConnection {
    fn is_open(&self) -> bool {
        !self.requests.is_closed()
    }
}

/// Carries requests and replies until the connection ends or nobody uses it any more.
async fn run_connection(
    stream: TcpStream,
    mut waiting: mpsc::UnboundedReceiver<RelayRequest>,
    asks: Rc<RefCell<IndexMap<u64, mpsc::UnboundedSender<RelayReply>>>>,
) {
    let (mut sink, mut frames) = Framed::new(stream, LengthDelimitedCodec::new()).split();
    loop {
        tokio::select! {
            request = waiting.recv() => {
                let Some(request) = request else { break };
                let frame = match postcard::to_stdvec(&request) {
                    Ok(frame) => frame,
                    Err(error) => {
                        log::error!(error:%; "an ask cannot be written");
                        break;
                    }
                };
                if sink.send(Bytes::from(frame)).await.is_err() {
                    break;
                }
            }
            frame = frames.next() => {
                let Some(Ok(frame)) = frame else { break };
                let reply: RelayReply = match postcard::from_bytes(&frame) {
                    Ok(reply) => reply,
                    Err(error) => {
                        log::warn!(error:%; "a reply cannot be read");
                        break;
                    }
                };
                // The ask may have been given up on.
                if let Some(ask) = asks.borrow().get(&reply.id) {
                    let _ = ask.send(reply);
                }
            }
        }
    }
    // Whoever still waits hears that the connection has ended.
    asks.borrow_mut().clear();
}
