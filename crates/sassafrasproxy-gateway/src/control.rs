//! The control thread: follows the store and the peers, and publishes the view.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use sassafrasproxy_clock::Clock;
use sassafrasproxy_config::GatewaySettings;
use sassafrasproxy_core::{
    Discovery, DiscoveryEvent, DiscoveryNote, Gossip, GossipPolicy, NodeRegistration, StoreOutcome,
    StoreStep, StoreSync, StoreSyncPolicy,
};
use sassafrasproxy_platform::{
    StoreCall, StoreError, WHOLE_STORE, decode_changes, decode_lease, decode_page, decode_write,
    own_key,
};
use sassafrasproxy_wire::{MemberState, MemberUpdate};
use tokio::sync::watch;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::sleep;

use crate::facts::{change_event, item_event};
use crate::peers;
use crate::store::StoreClient;
use crate::view::GatewayView;

/// How long a call to the store that does not wait may take.
///
/// The store answers within 4 ms; fifty times that is still served when it is slow.
const CALL_LIMIT: Duration = Duration::from_millis(1_500);

/// How long a node's registration lasts without being renewed, in milliseconds.
///
/// Only new nodes look for it; who is alive, heartbeats tell. So it may be long and cost little.
const REGISTRATION_TTL_MS: u64 = 30_000;

/// How often the registration is renewed: three times in its life.
const RENEW_INTERVAL: Duration = Duration::from_secs(10);

/// The pause before a registration that failed is tried again.
const REGISTER_PAUSE: Duration = Duration::from_millis(700);

/// How often the control state looks at the time.
const TICK: Duration = Duration::from_millis(500);

/// Everything that the control thread's tasks share.
pub struct ControlState {
    pub clock: Clock,
    pub settings: Arc<GatewaySettings>,
    pub gossip: RefCell<Gossip>,
    pub discovery: RefCell<Discovery>,
    view: watch::Sender<GatewayView>,
    /// How far this node follows the store.
    store_revision: RefCell<u64>,
    /// Whether the last call to the store failed.
    is_store_away: RefCell<bool>,
}

/// Runs the control thread until the process leaves; `leaving` turns true when it begins to.
pub fn run(
    clock: Clock,
    settings: Arc<GatewaySettings>,
    me: MemberUpdate,
    view: watch::Sender<GatewayView>,
    leaving: watch::Receiver<bool>,
) -> std::io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let seeds = settings.seeds.iter().map(|seed| ecow::eco_format!("{seed}"));
    let gossip = Gossip::new(&me, seeds, GossipPolicy::default(), rand::random(), clock.now_us());
    let state = Rc::new(ControlState {
        clock,
        settings,
        gossip: RefCell::new(gossip),
        discovery: RefCell::default(),
        view,
        store_revision: RefCell::new(0),
        is_store_away: RefCell::new(false),
    });
    state.publish();
    let local = LocalSet::new();
    local.block_on(&runtime, async move {
        spawn_local(follow_store(state.clone()));
        spawn_local(keep_registered(state.clone(), me));
        spawn_local(tick(state.clone()));
        if let Err(error) = peers::run(state, leaving).await {
            log::error!("peers cannot be heard: {error}; check `peer_listen`");
            std::future::pending::<()>().await;
        }
    });
    Ok(())
}

impl ControlState {
    /// Takes events of discovery in and publishes what they change.
    pub fn discover(&self, events: impl IntoIterator<Item = DiscoveryEvent>) {
        let now_us = self.clock.now_us();
        let mut discovery = self.discovery.borrow_mut();
        for event in events {
            discovery.step(now_us, event);
        }
        for note in discovery.take_notes() {
            log_note(&note);
        }
        let catalogue = discovery.take_catalogue();
        for node in discovery.nodes() {
            self.gossip.borrow_mut().add_seed(node.member.peer_address.clone());
        }
        let version = discovery.version();
        drop(discovery);
        self.gossip.borrow_mut().set_progress(version, *self.store_revision.borrow());
        if let Some(catalogue) = catalogue {
            self.view.send_modify(|view| view.catalogue = Arc::new(catalogue));
        }
    }

    /// Publishes the members if they have changed.
    pub fn publish(&self) {
        let mut gossip = self.gossip.borrow_mut();
        for note in gossip.take_notes() {
            log::info!("member {} is {:?}", note.node, note.state);
        }
        let nodes = gossip.directory_nodes();
        self.view.send_if_modified(|view| {
            let is_changed = *view.nodes != nodes;
            if is_changed {
                view.nodes = Arc::new(nodes);
            }
            is_changed
        });
    }

    /// Whether peers should be asked for what the store would tell.
    pub fn is_store_away(&self) -> bool {
        *self.is_store_away.borrow()
    }

    /// Notes how a call went, and tells discovery when the store goes or comes back.
    fn note_call(&self, error: Option<&StoreError>) {
        let is_away = !matches!(error, None | Some(StoreError::HistoryGone));
        if self.is_store_away.replace(is_away) == is_away {
            return;
        }
        match error {
            Some(error) if is_away => {
                log::warn!("the store is lost: {error}");
                self.discover([DiscoveryEvent::StoreLost]);
            }
            _ => {
                log::info!("the store is back");
                self.discover([DiscoveryEvent::StoreBack]);
            }
        }
    }

    fn reach(&self, revision: u64) {
        let mut reached = self.store_revision.borrow_mut();
        *reached = revision.max(*reached);
    }
}

/// Lists and watches the store for as long as the process runs.
async fn follow_store(state: Rc<ControlState>) {
    let mut client = StoreClient::new(state.settings.store);
    let mut sync = StoreSync::new(StoreSyncPolicy::default(), rand::random());
    loop {
        let now_us = state.clock.now_us();
        let outcome = match sync.next(now_us) {
            StoreStep::Pause { until_us } => {
                sleep(Duration::from_micros(until_us.saturating_sub(now_us))).await;
                continue;
            }
            StoreStep::List { after_key } => list(&state, &mut client, after_key.as_deref()).await,
            StoreStep::Watch { after_revision, wait_ms } => {
                wait_for_changes(&state, &mut client, after_revision, wait_ms).await
            }
        };
        state.note_call(outcome.as_ref().err());
        let outcome = outcome.unwrap_or_else(|error| match error {
            StoreError::HistoryGone => StoreOutcome::HistoryGone,
            error => {
                log::info!("a read of the store failed: {error}");
                StoreOutcome::Failed
            }
        });
        if sync.note(state.clock.now_us(), outcome) {
            state.discover([DiscoveryEvent::ListEnded]);
        }
    }
}

/// Reads one page of the list.
async fn list(
    state: &ControlState,
    client: &mut StoreClient,
    after_key: Option<&str>,
) -> Result<StoreOutcome, StoreError> {
    let (status, body) = client.call(StoreCall::list(WHOLE_STORE, after_key), CALL_LIMIT).await?;
    let page = decode_page(status, &body)?;
    if after_key.is_none() {
        state.discover([DiscoveryEvent::ListStarted]);
    }
    let last_key = page.items.last().map(|item| item.key.clone());
    state.reach(page.revision);
    state.discover(page.items.into_iter().filter_map(item_event));
    let next_after = last_key.filter(|_| page.has_more);
    Ok(StoreOutcome::Page { revision: page.revision, next_after })
}

/// Waits for changes.
async fn wait_for_changes(
    state: &ControlState,
    client: &mut StoreClient,
    after_revision: u64,
    wait_ms: u64,
) -> Result<StoreOutcome, StoreError> {
    let limit = Duration::from_millis(wait_ms) + CALL_LIMIT;
    let call = StoreCall::watch(WHOLE_STORE, after_revision, wait_ms);
    let (status, body) = client.call(call, limit).await?;
    let (changes, revision) = decode_changes(status, &body)?;
    let has_changes = !changes.is_empty();
    state.reach(revision);
    state.discover(changes.into_iter().filter_map(change_event));
    Ok(StoreOutcome::Watched { revision, has_changes })
}

/// Keeps this node's registration in the store, also after it was taken away there.
async fn keep_registered(state: Rc<ControlState>, me: MemberUpdate) {
    let mut client = StoreClient::new(state.settings.store);
    let mut lease = None;
    loop {
        let is_there = state.discovery.borrow().is_registered(&me.node);
        let result = match lease.filter(|_| is_there) {
            Some(lease) => renew(&mut client, lease).await,
            None => register(&mut client, &me).await.map(|id| lease = Some(id)),
        };
        let pause = match result {
            Ok(()) => RENEW_INTERVAL,
            Err(error) => {
                log::info!("this node's registration failed: {error}");
                lease = None;
                REGISTER_PAUSE.mul_f64(1.0 + rand::random::<f64>())
            }
        };
        sleep(pause).await;
    }
}

async fn renew(client: &mut StoreClient, lease: u64) -> Result<(), StoreError> {
    let (status, _) = client.call(StoreCall::renew(lease), CALL_LIMIT).await?;
    decode_write(status)
}

/// Registers this node under a new lease.
async fn register(client: &mut StoreClient, me: &MemberUpdate) -> Result<u64, StoreError> {
    let (status, body) = client.call(StoreCall::grant(REGISTRATION_TTL_MS), CALL_LIMIT).await?;
    let lease = decode_lease(status, &body)?.id;
    let member = MemberUpdate { state: MemberState::Alive, ..me.clone() };
    let value = serde_json::to_vec(&NodeRegistration { member });
    let value =
        value.map_err(|error| StoreError::Garbled { detail: ecow::eco_format!("{error}") })?;
    let put = StoreCall::put(&own_key(&me.node), &value, lease);
    let (status, _) = client.call(put, CALL_LIMIT).await?;
    decode_write(status)?;
    Ok(lease)
}

/// Lets held replicas go in time.
async fn tick(state: Rc<ControlState>) {
    loop {
        sleep(TICK).await;
        if state.discovery.borrow().next_due_us().is_some() {
            state.discover([DiscoveryEvent::Tick]);
        }
    }
}

fn log_note(note: &DiscoveryNote) {
    match note {
        DiscoveryNote::InForce { version } => log::info!("configuration {version} is in force"),
        DiscoveryNote::OlderIgnored { version, in_force } => {
            log::warn!("configuration {version} ignored: {in_force} is in force");
        }
        DiscoveryNote::Replica { id, is_draining } => {
            log::info!("replica {id} is listed, draining: {is_draining}");
        }
        DiscoveryNote::ReplicaGone { id, is_held } => {
            log::info!("replica {id} is listed no more, kept for a while: {is_held}");
        }
        DiscoveryNote::Domain { domain, is_out } => {
            log::info!("failure domain {domain} is out: {is_out}");
        }
    }
}
