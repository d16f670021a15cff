//! Runs the control thread, which syncs the registry from the store or a peer, exchanges gossip and
//! publishes the view that traffic uses.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use sassafrasproxy_clock::Clock;
use sassafrasproxy_config::GatewaySettings;
use sassafrasproxy_core::{
    DatagramKind, DirectoryNode, Discovery, DiscoveryEvent, DiscoveryLogEvent, Gossip,
    GossipPolicy, OutageChange, RolloutCoordinator, RolloutLogEvent, RolloutParticipant,
    RolloutPhase, StoreOutage, StoreReadEnd, TrialCount, TrialReport, US_PER_MS, ingress_nodes,
};
use sassafrasproxy_platform::StoreError;
use sassafrasproxy_wire::MemberUpdate;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{Notify, mpsc, watch};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::sleep;

use crate::confirmation::{ViewConfirmation, key_freshness};
use crate::metrics::{GatewayMetrics, KindLabel};
use crate::peer_sync::{pull_during_outage, serve_updates};
use crate::quarantine::{CrashNotice, PeerCrashNotice, QuarantineWriteCall};
use crate::registration::keep_registered;
use crate::registry_log::{log_discovery_events, log_members};
use crate::store_follower::follow_store;
use crate::view::GatewayView;
use crate::{peer_gossip, quarantine_store, reload, rollouts};

/// The timeout of a call to the store or a peer; a long poll adds its wait time.
///
/// The store answers in 4 ms, and within 250 ms when it is slow.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The interval at which held replicas are checked for expiry and member changes are logged.
const TICK_INTERVAL: Duration = Duration::from_millis(500);

/// The largest node count accepted from a registration; one with a higher count is ignored as
/// corrupt.
const MAX_REPORTED_NODES: usize = 10_000;

/// The inputs of the control thread.
pub struct ControlSetup {
    /// The process's clock.
    pub clock: Clock,
    /// Publishes the settings and each reload of them.
    pub settings: watch::Sender<Arc<GatewaySettings>>,
    /// The path of the settings file.
    pub settings_file: std::path::PathBuf,
    /// This node's member entry as announced to peers.
    pub local_member: MemberUpdate,
    /// The socket for gossip datagrams.
    pub gossip_socket: std::net::UdpSocket,
    /// The listener where peers sync registry entries from this node.
    pub peer_sync_listener: std::net::TcpListener,
    /// The metrics of the process.
    pub metrics: Arc<GatewayMetrics>,
    /// Publishes the view to the traffic thread.
    pub view: watch::Sender<GatewayView>,
    /// Tells the traffic thread when the view was last known to be current.
    pub confirmation: ViewConfirmation,
    /// Becomes true when the graceful shutdown starts.
    pub leaving: watch::Receiver<bool>,
    /// Becomes true when a caller was refused because this node has no configuration yet.
    pub configuration_needed: watch::Receiver<bool>,
    /// Notices of requests that may crash replicas, from the traffic thread.
    pub local_crashes: mpsc::UnboundedReceiver<CrashNotice>,
    /// Passes such notices from peers to the traffic thread.
    pub peer_crashes: mpsc::UnboundedSender<PeerCrashNotice>,
    /// Writes of quarantine records from the traffic thread.
    pub quarantine_writes: mpsc::UnboundedReceiver<QuarantineWriteCall>,
    /// Trial reports from the traffic thread.
    pub local_trials: mpsc::UnboundedReceiver<Vec<TrialReport>>,
}

/// The state that the control thread's tasks share.
pub struct ControlState {
    pub clock: Clock,
    pub gossip: RefCell<Gossip>,
    pub discovery: RefCell<Discovery>,
    pub rollout_coordinator: RefCell<RolloutCoordinator>,
    /// Notified when a rollout order or a rollout record changed.
    pub rollout_changed: Notify,
    /// When this node's view was last known to be current.
    pub confirmation: ViewConfirmation,
    settings: watch::Sender<Arc<GatewaySettings>>,
    view: watch::Sender<GatewayView>,
    metrics: Arc<GatewayMetrics>,
    /// The time of the last successful store call, or of the start, in microseconds.
    last_store_answer_us: Cell<u64>,
    /// The latest store revision that this node has applied.
    store_revision: watch::Sender<u64>,
    /// Whether the store is unavailable, and no followed peer has reached it since.
    store_outage: RefCell<StoreOutage>,
    /// The hash of the members, and the work on the ingress nodes in thousandths of a core, at the
    /// last publication.
    published_members: Cell<(u64, u32)>,
}

/// Runs the control thread for as long as the process runs.
///
/// Returns an error if the runtime or a socket cannot be set up.
pub fn run(setup: ControlSetup) -> std::io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let ControlSetup { clock, settings, local_member, metrics, view, confirmation, .. } = setup;
    let seeds: Vec<_> =
        settings.borrow().seeds.iter().map(|seed| ecow::eco_format!("{seed}")).collect();
    let participant =
        settings.borrow().rollouts.map(|_| RolloutParticipant { node: local_member.node.clone() });
    let gossip =
        Gossip::new(&local_member, seeds, GossipPolicy::default(), rand::random(), clock.now_us());
    let store_outage = StoreOutage::new(settings.borrow().store_recovery_ms * US_PER_MS);
    let state = Rc::new(ControlState {
        clock,
        gossip: RefCell::new(gossip),
        discovery: RefCell::new(Discovery::new(participant)),
        rollout_coordinator: RefCell::default(),
        rollout_changed: Notify::new(),
        confirmation,
        settings,
        view,
        metrics,
        last_store_answer_us: Cell::new(clock.now_us()),
        store_revision: watch::Sender::new(0),
        store_outage: RefCell::new(store_outage),
        published_members: Cell::default(),
    });
    state.publish_members();
    LocalSet::new().block_on(&runtime, async move {
        let gossip_socket = UdpSocket::from_std(setup.gossip_socket)?;
        let peer_sync_listener = TcpListener::from_std(setup.peer_sync_listener)?;
        spawn_local(follow_store(state.clone(), setup.configuration_needed));
        spawn_local(keep_registered(state.clone(), local_member));
        spawn_local(serve_updates(state.clone(), peer_sync_listener));
        spawn_local(pull_during_outage(state.clone()));
        spawn_local(tick(state.clone()));
        spawn_local(reload::watch_settings_file(setup.settings_file, state.settings.clone()));
        let crashes = peer_gossip::CrashChannels {
            local: setup.local_crashes,
            from_peers: setup.peer_crashes,
        };
        let (stopped_orders_sender, stopped_orders) = mpsc::unbounded_channel();
        spawn_local(quarantine_store::run(state.clone(), setup.quarantine_writes));
        spawn_local(rollouts::run_coordinator(state.clone(), stopped_orders_sender));
        let trials =
            peer_gossip::TrialChannels { local_reports: setup.local_trials, stopped_orders };
        peer_gossip::run(state, gossip_socket, setup.leaving, crashes, trials).await;
        Ok(())
    })
}

impl ControlState {
    /// Returns the active settings.
    pub fn settings(&self) -> Arc<GatewaySettings> {
        self.settings.borrow().clone()
    }

    /// Returns the wait of a watch of the store, in milliseconds: `wait_ms`, or less if changed keys
    /// have to take effect sooner.
    pub fn watch_wait_ms(&self, wait_ms: u64) -> u64 {
        let freshness = key_freshness(&self.settings());
        freshness.map_or(wait_ms, |freshness| freshness.max_watch_wait_ms().min(wait_ms))
    }

    /// Returns the wait of a long poll at a peer, in milliseconds: `wait_ms`, or less if changed
    /// keys have to take effect sooner.
    pub fn poll_wait_ms(&self, wait_ms: u64) -> u64 {
        let freshness = key_freshness(&self.settings());
        freshness.map_or(wait_ms, |freshness| freshness.max_poll_wait_ms().min(wait_ms))
    }

    /// Whether this node's view was confirmed too long ago to rely on its keys.
    fn is_out_of_touch(&self) -> bool {
        let age_us = self.confirmation.age_us(self.clock.now_us());
        key_freshness(&self.settings()).is_some_and(|freshness| !freshness.is_in_touch(age_us))
    }

    /// Returns the latest store revision that this node has applied.
    pub fn store_revision(&self) -> u64 {
        *self.store_revision.borrow()
    }

    /// Waits until this node has applied a store revision greater than `revision`.
    pub async fn wait_past_revision(&self, revision: u64) {
        let mut revisions = self.store_revision.subscribe();
        // Cannot fail: `self` owns the sender.
        let _ = revisions.wait_for(|applied| *applied > revision).await;
    }

    /// Whether the store is unavailable to this node, so that it pulls registry entries from peers.
    pub fn is_store_unavailable(&self) -> bool {
        self.store_outage.borrow().is_unavailable()
    }

    /// Records that the followed peer reaches the store.
    pub fn mark_store_available(&self) {
        self.store_outage.borrow_mut().record_peer_contact();
    }

    /// Raises the applied store revision, and announces it to peers; a lower revision is ignored.
    pub fn advance_revision(&self, revision: u64) {
        self.store_revision.send_if_modified(|applied| {
            let is_newer = revision > *applied;
            *applied = revision.max(*applied);
            is_newer
        });
        self.gossip.borrow_mut().set_store_revision(self.store_revision());
    }

    /// Applies discovery events and publishes the resulting catalogue if it changed.
    pub fn apply_events(&self, events: impl IntoIterator<Item = DiscoveryEvent>) {
        let now_us = self.clock.now_us();
        let mut discovery = self.discovery.borrow_mut();
        for event in events {
            discovery.step(now_us, event);
        }
        let log_events = discovery.take_log_events();
        log_discovery_events(&log_events, self.store_revision());
        let is_rollout_change = |log_event: &DiscoveryLogEvent| {
            matches!(
                log_event,
                DiscoveryLogEvent::RolloutOrderChanged { .. }
                    | DiscoveryLogEvent::RolloutAdvanced { .. }
            )
        };
        if log_events.iter().any(is_rollout_change) {
            self.rollout_changed.notify_one();
        }
        let catalogue = discovery.take_catalogue();
        let mut gossip = self.gossip.borrow_mut();
        for node in discovery.nodes() {
            gossip.add_seed(node.member.peer_address.clone());
        }
        let reported = discovery.nodes().map(|node| node.node_count as usize);
        let reported = reported.filter(|count| *count <= MAX_REPORTED_NODES).max().unwrap_or(0);
        let registered_node_count = reported.max(discovery.nodes().count());
        if let Some(catalogue) = catalogue {
            self.view.send_modify(|view| {
                view.catalogue = Arc::new(catalogue);
                view.registered_node_count = registered_node_count;
            });
        }
    }

    /// Publishes the directory nodes if the members or the ingress nodes may have changed.
    pub fn publish_members(&self) {
        let gossip = self.gossip.borrow();
        let current = (gossip.members_hash(), gossip.work_millis());
        if self.published_members.replace(current) == current {
            return;
        }
        let nodes = gossip.directory_nodes();
        let ingress_count = |nodes: &[DirectoryNode]| ingress_nodes(nodes).len();
        let (before, now) = (ingress_count(&self.view.borrow().nodes), ingress_count(&nodes));
        if before != now {
            log::info!(
                before, now, nodes = nodes.len(), work_millis = gossip.work_millis();
                "the number of ingress nodes changed"
            );
        }
        self.view.send_if_modified(|view| {
            let is_changed = *view.nodes != nodes;
            if is_changed {
                view.nodes = Arc::new(nodes);
            }
            is_changed
        });
    }

    /// Returns the number of sends to replicas and relayed sends of this process since its start.
    pub fn total_sends(&self) -> u64 {
        let sends = &self.metrics.sends;
        let kinds = ["first", "hedge", "retry", "relayed"];
        kinds.iter().map(|kind| sends.get_or_create(&KindLabel::new(kind)).get()).sum()
    }

    /// Counts a datagram sent to a peer.
    pub fn count_datagram(&self, kind: DatagramKind, length: usize) {
        let kind = KindLabel::new(kind.name());
        self.metrics.peer_datagrams.get_or_create(&kind).inc();
        self.metrics.peer_bytes.get_or_create(&kind).inc_by(length as u64);
    }

    /// Counts an answer to a peer that syncs from this node.
    pub fn count_sync_answer(&self, is_delta: bool, length: usize) {
        let kind = KindLabel::new(if is_delta { "changes" } else { "all" });
        self.metrics.sync_answers.get_or_create(&kind).inc();
        self.metrics.sync_answer_bytes.get_or_create(&kind).inc_by(length as u64);
    }

    /// Counts a rollout phase change that this node decided on.
    pub fn count_rollout_step(&self, log_event: &RolloutLogEvent) {
        let RolloutLogEvent::PhaseChange { phase, .. } = log_event else { return };
        let kind = match phase {
            RolloutPhase::Trial => "trial",
            RolloutPhase::Promoted => "promoted",
            RolloutPhase::Completed => "completed",
            RolloutPhase::RolledBack => "rolled_back",
        };
        self.metrics.rollout_steps.get_or_create(&KindLabel::new(kind)).inc();
    }

    /// Updates the metrics of the trials that this node takes part in.
    pub fn set_trial_counts(&self, reports: &[TrialReport]) {
        let counts = || reports.iter().flat_map(|report| &report.counts);
        for (is_on_trial, answered, failed, slow) in [
            (true, "on_trial_answered", "on_trial_failed", "on_trial_slow"),
            (false, "in_use_answered", "in_use_failed", "in_use_slow"),
        ] {
            let sum = |value_of: fn(&TrialCount) -> u32| {
                let of_version = counts().filter(|count| count.is_on_trial == is_on_trial);
                of_version.map(value_of).sum::<u32>()
            };
            let outcomes = [
                (answered, sum(|count| count.ended - count.failed - count.slow)),
                (failed, sum(|count| count.failed)),
                (slow, sum(|count| count.slow)),
            ];
            for (kind, count) in outcomes {
                self.metrics.trial_ends.get_or_create(&KindLabel::new(kind)).set(i64::from(count));
            }
        }
    }

    /// Counts a call to the store, and records the time of a successful one.
    pub fn count_store_call(&self, call: &'static str, error: Option<&StoreError>) {
        self.metrics.store_calls.get_or_create(&KindLabel::new(call)).inc();
        match error {
            None => self.last_store_answer_us.set(self.clock.now_us()),
            Some(_) => {
                self.metrics.store_failures.get_or_create(&KindLabel::new(call)).inc();
            }
        }
    }

    /// Returns the time until the next tick: [`TICK_INTERVAL`], or less if a hold ends sooner.
    fn time_to_tick(&self) -> Duration {
        let now_us = self.clock.now_us();
        let hold_end_us = self.discovery.borrow().next_hold_expiry_us();
        let next_end_us = hold_end_us.filter(|end_us| *end_us > now_us);
        next_end_us.map_or(TICK_INTERVAL, |end_us| {
            Duration::from_micros(end_us - now_us).min(TICK_INTERVAL)
        })
    }

    /// Returns the time since the last successful call to the store, or since the start, in
    /// microseconds.
    pub fn store_answer_age_us(&self) -> u64 {
        self.clock.now_us().saturating_sub(self.last_store_answer_us.get())
    }

    /// Records the result of a store read that was sent at `sent_us`, and notifies discovery when
    /// the store becomes unavailable or recovers.
    pub fn record_store_read(&self, sent_us: u64, error: Option<&StoreError>) {
        let end = match error {
            // A reply that the history was compacted is an answer too.
            None | Some(StoreError::HistoryCompacted) => StoreReadEnd::Answered,
            Some(StoreError::NoAnswer { .. }) => StoreReadEnd::NoAnswer,
            Some(StoreError::BrokenOff { .. }) => StoreReadEnd::BrokenOff,
            Some(
                StoreError::Refused { .. }
                | StoreError::Conflict
                | StoreError::LeaseExpired
                | StoreError::Malformed { .. },
            ) => StoreReadEnd::Refused,
        };
        let change = self.store_outage.borrow_mut().record(sent_us, self.clock.now_us(), end);
        self.gossip.borrow_mut().set_store_unavailable(self.is_store_unavailable());
        match change {
            OutageChange::None => {}
            OutageChange::Started => {
                let error = error.map(StoreError::to_string).unwrap_or_default();
                log::warn!(error:%; "the store is unavailable");
                self.apply_events([DiscoveryEvent::StoreUnavailable]);
            }
            OutageChange::Ended { hold_until_us } => {
                let hold_ms = hold_until_us.saturating_sub(self.clock.now_us()) / US_PER_MS;
                log::info!(hold_ms; "the store is back");
                self.apply_events([DiscoveryEvent::StoreRecovered { hold_until_us }]);
            }
        }
    }
}

/// Periodically drops held replicas whose hold has expired, logs member changes and whether the
/// client accounts may be out of date, and updates the `store_age` gauge.
async fn tick(state: Rc<ControlState>) {
    let mut was_out_of_touch = false;
    loop {
        sleep(state.time_to_tick()).await;
        let is_out_of_touch = state.is_out_of_touch();
        let store_revision = state.store_revision();
        if is_out_of_touch && !was_out_of_touch {
            log::warn!(store_revision; "the client accounts may be out of date");
        } else if was_out_of_touch && !is_out_of_touch {
            log::info!(store_revision; "the client accounts are up to date");
        }
        was_out_of_touch = is_out_of_touch;
        let (log_events, members) = {
            let mut gossip = state.gossip.borrow_mut();
            (gossip.take_log_events(), gossip.node_count())
        };
        log_members(&log_events, members);
        state.metrics.store_age.set((state.store_answer_age_us() / 1_000_000) as i64);
        if state.discovery.borrow().next_hold_expiry_us().is_some() {
            state.apply_events([DiscoveryEvent::Tick]);
        }
    }
}
