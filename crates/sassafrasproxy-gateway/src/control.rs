//! The control thread: follows the store and the peers, and publishes the view.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use sassafrasproxy_clock::Clock;
use sassafrasproxy_config::GatewaySettings;
use sassafrasproxy_core::{
    CrashReport, DatagramKind, Discovery, DiscoveryEvent, DiscoveryLogEvent, Gossip, GossipPolicy,
    MemberLogEvent, RolloutCoordinator, RolloutLogEvent, RolloutParticipant, RolloutPhase,
    TrialCount, TrialReport,
};
use sassafrasproxy_platform::StoreError;
use sassafrasproxy_wire::{MemberState, MemberUpdate};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{Notify, mpsc, watch};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::sleep;

use crate::metrics::{GatewayMetrics, KindLabel};
use crate::peer_sync::{pull_facts, serve_facts};
use crate::registration::keep_registered;
use crate::store_follower::follow_store;
use crate::view::GatewayView;
use crate::{peer_gossip, reload, rollouts};

/// How long a call to the store or a peer that does not wait may take.
///
/// The store answers in 4 ms, and in a quarter of a second when it is slow.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// How often the control state looks at the time.
const TICK_INTERVAL: Duration = Duration::from_millis(500);

/// How many replicas or members that change at once in the same way get a log line each.
const MAX_LOG_LINES: usize = 8;

/// How many nodes a registration may tell of; one that claims more is damaged.
const MAX_REPORTED_NODES: usize = 10_000;

/// What the control thread starts with.
pub struct ControlSetup {
    /// The process's clock.
    pub clock: Clock,
    /// The settings, as they are reloaded.
    pub settings: watch::Sender<Arc<GatewaySettings>>,
    /// Where the settings stand.
    pub settings_file: std::path::PathBuf,
    /// This node as its peers know it.
    pub local_member: MemberUpdate,
    /// The socket for heartbeats.
    pub heartbeat_socket: std::net::UdpSocket,
    /// The socket where peers ask for facts.
    pub peer_sync_listener: std::net::TcpListener,
    /// Where calls to the store are counted.
    pub metrics: Arc<GatewayMetrics>,
    /// Where the view goes.
    pub view: watch::Sender<GatewayView>,
    /// Turns true when the process begins to leave.
    pub leaving: watch::Receiver<bool>,
    /// Turns true when a caller was refused because no configuration is known yet.
    pub configuration_needed: watch::Receiver<bool>,
    /// Deaths that the traffic thread saw.
    pub local_crashes: mpsc::UnboundedReceiver<CrashReport>,
    /// Where the traffic thread hears of deaths that peers saw.
    pub peer_crashes: mpsc::UnboundedSender<CrashReport>,
    /// What the traffic thread has counted in trials of versions.
    pub local_trials: mpsc::UnboundedReceiver<Vec<TrialReport>>,
}

/// Everything that the control thread's tasks share.
pub struct ControlState {
    pub clock: Clock,
    pub gossip: RefCell<Gossip>,
    pub discovery: RefCell<Discovery>,
    pub rollout_coordinator: RefCell<RolloutCoordinator>,
    /// Told when an order or a record of a roll-out changed.
    pub rollout_changed: Notify,
    settings: watch::Sender<Arc<GatewaySettings>>,
    view: watch::Sender<GatewayView>,
    metrics: Arc<GatewayMetrics>,
    /// When the store last answered, in microseconds.
    last_store_answer_us: Cell<u64>,
    /// How far this node follows the store.
    store_revision: watch::Sender<u64>,
    /// Whether the last read of the store failed.
    is_store_unavailable: Cell<bool>,
    /// The hash of the members in the published view.
    published_members_hash: Cell<u64>,
}

/// Runs the control thread for as long as the process runs.
pub fn run(start: ControlSetup) -> std::io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let ControlSetup { clock, settings, local_member: me, metrics, view, .. } = start;
    let seeds: Vec<_> =
        settings.borrow().seeds.iter().map(|seed| ecow::eco_format!("{seed}")).collect();
    let scope = settings.borrow().rollouts.map(|_| RolloutParticipant { node: me.node.clone() });
    let gossip = Gossip::new(&me, seeds, GossipPolicy::default(), rand::random(), clock.now_us());
    let state = Rc::new(ControlState {
        clock,
        gossip: RefCell::new(gossip),
        discovery: RefCell::new(Discovery::new(scope)),
        rollout_coordinator: RefCell::default(),
        rollout_changed: Notify::new(),
        settings,
        view,
        metrics,
        last_store_answer_us: Cell::new(clock.now_us()),
        store_revision: watch::Sender::new(0),
        is_store_unavailable: Cell::new(false),
        published_members_hash: Cell::new(0),
    });
    state.publish_members();
    LocalSet::new().block_on(&runtime, async move {
        let heartbeats = UdpSocket::from_std(start.heartbeat_socket)?;
        let facts = TcpListener::from_std(start.peer_sync_listener)?;
        spawn_local(follow_store(state.clone(), start.configuration_needed));
        spawn_local(keep_registered(state.clone(), me));
        spawn_local(serve_facts(state.clone(), facts));
        spawn_local(pull_facts(state.clone()));
        spawn_local(tick(state.clone()));
        spawn_local(reload::watch_settings_file(start.settings_file, state.settings.clone()));
        let crashes = peer_gossip::CrashChannels {
            local: start.local_crashes,
            from_peers: start.peer_crashes,
        };
        let (stop, stops) = mpsc::unbounded_channel();
        spawn_local(rollouts::run_coordinator(state.clone(), stop));
        let trials =
            peer_gossip::TrialChannels { local_reports: start.local_trials, stopped_orders: stops };
        peer_gossip::run(state, heartbeats, start.leaving, crashes, trials).await;
        Ok(())
    })
}

impl ControlState {
    /// The settings in force.
    pub fn settings(&self) -> Arc<GatewaySettings> {
        self.settings.borrow().clone()
    }

    /// How far this node follows the store.
    pub fn store_revision(&self) -> u64 {
        *self.store_revision.borrow()
    }

    /// Ends once this node follows the store beyond a revision.
    pub async fn wait_past_revision(&self, revision: u64) {
        let mut revisions = self.store_revision.subscribe();
        // The sender lives as long as this state, so this cannot fail.
        let _ = revisions.wait_for(|known| *known > revision).await;
    }

    /// Whether peers should be asked for what the store would tell.
    pub fn is_store_unavailable(&self) -> bool {
        self.is_store_unavailable.get()
    }

    /// Notes that a peer which this node follows is served by the store.
    pub fn mark_store_available(&self) {
        self.is_store_unavailable.set(false);
    }

    /// Notes how far this node follows the store.
    pub fn advance_revision(&self, revision: u64) {
        self.store_revision.send_if_modified(|known| {
            let is_more = revision > *known;
            *known = revision.max(*known);
            is_more
        });
        self.gossip.borrow_mut().set_store_revision(self.store_revision());
    }

    /// Takes events of discovery in and publishes what they change.
    pub fn apply_events(&self, events: impl IntoIterator<Item = DiscoveryEvent>) {
        let now_us = self.clock.now_us();
        let mut discovery = self.discovery.borrow_mut();
        for event in events {
            discovery.step(now_us, event);
        }
        let notes = discovery.take_log_events();
        log_notes(&notes, self.store_revision());
        let is_rollout = |note: &DiscoveryLogEvent| {
            matches!(
                note,
                DiscoveryLogEvent::RolloutOrderChanged { .. }
                    | DiscoveryLogEvent::RolloutAdvanced { .. }
            )
        };
        if notes.iter().any(is_rollout) {
            self.rollout_changed.notify_one();
        }
        let catalogue = discovery.take_catalogue();
        let mut gossip = self.gossip.borrow_mut();
        for node in discovery.nodes() {
            gossip.add_seed(node.member.peer_address.clone());
        }
        let told = discovery.nodes().map(|node| node.node_count as usize);
        let told = told.filter(|count| *count <= MAX_REPORTED_NODES).max().unwrap_or(0);
        let registered = told.max(discovery.nodes().count());
        if let Some(catalogue) = catalogue {
            self.view.send_modify(|view| {
                view.catalogue = Arc::new(catalogue);
                view.registered_node_count = registered;
            });
        }
    }

    /// Publishes the members if they have changed.
    pub fn publish_members(&self) {
        let gossip = self.gossip.borrow();
        let members_hash = gossip.members_hash();
        if self.published_members_hash.replace(members_hash) == members_hash {
            return;
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

    /// Counts a datagram to a peer.
    pub fn count_datagram(&self, kind: DatagramKind, length: usize) {
        let kind = KindLabel::new(kind.name());
        self.metrics.peer_datagrams.get_or_create(&kind).inc();
        self.metrics.peer_bytes.get_or_create(&kind).inc_by(length as u64);
    }

    /// Counts an answer that told a peer facts.
    pub fn count_facts_answer(&self, is_change: bool, length: usize) {
        let kind = KindLabel::new(if is_change { "changes" } else { "all" });
        self.metrics.facts_told.get_or_create(&kind).inc();
        self.metrics.facts_bytes.get_or_create(&kind).inc_by(length as u64);
    }

    /// Counts a step of a roll-out.
    pub fn count_rollout_step(&self, note: &RolloutLogEvent) {
        let RolloutLogEvent::PhaseChange { phase, .. } = note else { return };
        let kind = match phase {
            RolloutPhase::Trial => "trial",
            RolloutPhase::Promoted => "promoted",
            RolloutPhase::Completed => "completed",
            RolloutPhase::RolledBack => "rolled_back",
        };
        self.metrics.rollout_steps.get_or_create(&KindLabel::new(kind)).inc();
    }

    /// Sets what this node has counted in the trials that it takes part in.
    pub fn set_trial_counts(&self, reports: &[TrialReport]) {
        let counts = || reports.iter().flat_map(|report| &report.counts);
        for (is_on_trial, answered, failed, slow) in [
            (true, "on_trial_answered", "on_trial_failed", "on_trial_slow"),
            (false, "in_use_answered", "in_use_failed", "in_use_slow"),
        ] {
            let sum = |of: fn(&TrialCount) -> u32| {
                let of_version = counts().filter(|count| count.is_on_trial == is_on_trial);
                of_version.map(of).sum::<u32>()
            };
            let ends = [
                (answered, sum(|count| count.ended - count.failed - count.slow)),
                (failed, sum(|count| count.failed)),
                (slow, sum(|count| count.slow)),
            ];
            for (kind, count) in ends {
                self.metrics.trial_ends.get_or_create(&KindLabel::new(kind)).set(i64::from(count));
            }
        }
    }

    /// Counts a call to the store.
    pub fn count_store_call(&self, call: &'static str, error: Option<&StoreError>) {
        self.metrics.store_calls.get_or_create(&KindLabel::new(call)).inc();
        match error {
            None => self.last_store_answer_us.set(self.clock.now_us()),
            Some(_) => {
                self.metrics.store_failures.get_or_create(&KindLabel::new(call)).inc();
            }
        }
    }

    /// Notes how a read went, and tells discovery when the store goes or comes back.
    pub fn record_store_read(&self, error: Option<&StoreError>) {
        let is_away = !matches!(error, None | Some(StoreError::HistoryCompacted));
        self.gossip.borrow_mut().set_store_unavailable(is_away);
        if self.is_store_unavailable.replace(is_away) == is_away {
            return;
        }
        match error {
            Some(error) if is_away => {
                log::warn!(error:%; "the store is lost");
                self.apply_events([DiscoveryEvent::StoreUnavailable]);
            }
            _ => {
                log::info!("the store is back");
                self.apply_events([DiscoveryEvent::StoreRecovered]);
            }
        }
    }
}

/// Lets held replicas go in time, and logs the members that changed since the last tick.
async fn tick(state: Rc<ControlState>) {
    loop {
        sleep(TICK_INTERVAL).await;
        let (notes, members) = {
            let mut gossip = state.gossip.borrow_mut();
            (gossip.take_log_events(), gossip.node_count())
        };
        log_members(&notes, members);
        let age_us = state.clock.now_us() - state.last_store_answer_us.get();
        state.metrics.store_age.set((age_us / 1_000_000) as i64);
        if state.discovery.borrow().next_hold_expiry_us().is_some() {
            state.apply_events([DiscoveryEvent::Tick]);
        }
    }
}

/// Logs what discovery noted of one batch of changes.
///
/// A node that starts, follows an outage or learns of another set of shards hears of hundreds of
/// replicas at once: those that came and those that went get one line together.
fn log_notes(notes: &[DiscoveryLogEvent], store_revision: u64) {
    let is_listed =
        |note: &&DiscoveryLogEvent| matches!(note, DiscoveryLogEvent::ReplicaUpdated { .. });
    let is_gone =
        |note: &&DiscoveryLogEvent| matches!(note, DiscoveryLogEvent::ReplicaEntryRemoved { .. });
    let listed = notes.iter().filter(is_listed).count();
    let gone = notes.iter().filter(is_gone).count();
    if listed > MAX_LOG_LINES {
        log::info!(count = listed, store_revision; "replicas are listed");
    }
    if gone > MAX_LOG_LINES {
        log::info!(count = gone, store_revision; "replicas are listed no more");
    }
    for note in notes {
        let count = match note {
            DiscoveryLogEvent::ReplicaUpdated { .. } => listed,
            DiscoveryLogEvent::ReplicaEntryRemoved { .. } => gone,
            DiscoveryLogEvent::ConfigurationActivated { .. }
            | DiscoveryLogEvent::OlderConfigurationIgnored { .. }
            | DiscoveryLogEvent::StaleEntryIgnored { .. }
            | DiscoveryLogEvent::DomainChanged { .. }
            | DiscoveryLogEvent::RolloutOrderChanged { .. }
            | DiscoveryLogEvent::RolloutAdvanced { .. }
            | DiscoveryLogEvent::RolloutStopped { .. } => 0,
        };
        if count <= MAX_LOG_LINES {
            log_note(note, store_revision);
        }
    }
}

/// Logs members that changed together: each, or their number in each state if there are many.
fn log_members(notes: &[MemberLogEvent], members: usize) {
    if notes.len() <= MAX_LOG_LINES {
        for note in notes {
            log::info!(member:% = note.node, state:? = note.state, members; "a member changed");
        }
        return;
    }
    let count = |state| notes.iter().filter(|note| note.state == state).count();
    log::info!(
        alive = count(MemberState::Alive),
        suspect = count(MemberState::Suspect),
        leaving = count(MemberState::Leaving),
        dead = count(MemberState::Dead),
        members;
        "members changed"
    );
}

fn log_note(note: &DiscoveryLogEvent, store_revision: u64) {
    match note {
        DiscoveryLogEvent::ConfigurationActivated { version } => {
            log::info!(version, store_revision; "a configuration is in force");
        }
        DiscoveryLogEvent::OlderConfigurationIgnored { version, in_force } => {
            log::warn!(version, in_force, store_revision; "an older configuration is ignored");
        }
        DiscoveryLogEvent::ReplicaUpdated { id, is_draining } => {
            log::info!(replica:% = id, is_draining, store_revision; "a replica is listed");
        }
        DiscoveryLogEvent::ReplicaEntryRemoved { id, is_held } => {
            log::info!(replica:% = id, is_held, store_revision; "a replica is listed no more");
        }
        DiscoveryLogEvent::StaleEntryIgnored { id } => {
            log::info!(replica:% = id, store_revision; "an older entry of a replica is ignored");
        }
        DiscoveryLogEvent::DomainChanged { domain, is_out } => {
            log::info!(domain:%, is_out, store_revision; "a failure domain was moved");
        }
        DiscoveryLogEvent::RolloutOrderChanged { service, target_version } => {
            let target_version = target_version.as_deref().unwrap_or("");
            log::info!(service:%, target_version, store_revision; "the order of a roll-out changed");
        }
        DiscoveryLogEvent::RolloutAdvanced { service, target_version, phase } => {
            log::info!(service:%, target_version:%, phase:?, store_revision; "a roll-out is at a step");
        }
        DiscoveryLogEvent::RolloutStopped { order_revision } => {
            log::warn!(order_revision, store_revision; "a roll-out was stopped");
        }
    }
}
