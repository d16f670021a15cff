//! The traffic thread's state.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use ecow::EcoString;
use indexmap::IndexMap;
use sassafrasproxy_clock::Clock;
use sassafrasproxy_config::GatewaySettings;
use sassafrasproxy_core::{
    CallerDelayEstimator, Catalogue, CrashReport, Fanout, FetchPlan, PoolSettings, PreconnectStep,
    Preconnector, ReportThrottle, RequestQuarantine, RetryBudget, RetryBudgetPolicy,
    RouteLatencies, SendCause, SendTiming, TrialReport, US_PER_MS, UpstreamPool,
    WeightedRoundRobin, budget_shares, count_large_nodes, directory_addresses, route_class,
};
use sassafrasproxy_wire::{ReplicaEntry, Route, RouteTarget, WeightedService};
use tokio::sync::{Notify, mpsc, watch};
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::connection_pool::{ConnectionPool, UpstreamConnection, connect};
use crate::metrics::{GatewayMetrics, KindLabel};
use crate::relay_pool::RelayPool;
use crate::rollouts::TRIAL_INTERVAL;
use crate::view::GatewayView;

/// How many nodes are counted on before any is known, for each node's share of what all share.
const ASSUMED_MIN_NODES: usize = 8;

/// How long after its start a node waits for relays before it connects to other failure domains
/// itself, in microseconds: peers are heard of within two heartbeats of half a second.
const RELAY_DISCOVERY_WAIT_US: u64 = 1_000_000;

/// How long a connection made ahead of need may take.
const PRECONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Everything that serving requests needs; lives on the traffic thread.
pub struct TrafficState {
    pub clock: Clock,
    settings: RefCell<Arc<GatewaySettings>>,
    pub view: RefCell<GatewayView>,
    pub pool: RefCell<UpstreamPool>,
    pub retry_budget: RefCell<RetryBudget>,
    pub relays: RelayPool,
    pub connections: RefCell<ConnectionPool>,
    preconnects: RefCell<Preconnector>,
    pub metrics: Arc<GatewayMetrics>,
    pub caller_delays: RefCell<CallerDelayEstimator>,
    request_quarantine: RefCell<RequestQuarantine>,
    /// Turned true when a caller is refused because no configuration is known yet.
    pub configuration_needed: watch::Sender<bool>,
    /// Where deaths that this thread sees go, so that peers hear of them.
    crash_reports: mpsc::UnboundedSender<CrashReport>,
    route_latencies: RefCell<IndexMap<EcoString, RouteLatencies>>,
    split_round_robins: RefCell<IndexMap<EcoString, WeightedRoundRobin>>,
    /// Told when this node has a part in the trial of a version.
    trial_started: Notify,
    /// Whether callers should move on to other nodes.
    pub is_leaving: Cell<bool>,
    /// Requests that are being served.
    pub active_requests: Cell<usize>,
    /// Connections of callers that are open.
    pub open_connections: Cell<usize>,
    /// The most nodes that this process has seen at once.
    ///
    /// Guards against a partition, in which each side would see few nodes and take the share of
    /// the others in what all nodes must keep together.
    max_node_count: Cell<usize>,
    /// The most nodes at once that callers are sent to, for the same reason.
    max_ingress_node_count: Cell<usize>,
    /// Whether callers are sent here.
    is_ingress: Cell<bool>,
    /// Where callers connect to this node.
    callers_address: EcoString,
    /// Where this node starts in the turn of splits, 0 to 1.
    split_offset: f64,
    started_us: u64,
}

impl TrafficState {
    /// The state before any view.
    pub fn new(
        clock: Clock,
        settings: Arc<GatewaySettings>,
        metrics: Arc<GatewayMetrics>,
        callers_address: EcoString,
        crash_reports: mpsc::UnboundedSender<CrashReport>,
        configuration_needed: watch::Sender<bool>,
    ) -> Self {
        Self {
            clock,
            configuration_needed,
            view: RefCell::default(),
            pool: RefCell::new(UpstreamPool::new(pool_settings(&settings))),
            retry_budget: RefCell::new(RetryBudget::new(budget_policy(&settings), clock.now_us())),
            relays: RelayPool::new(&settings),
            settings: RefCell::new(settings),
            connections: RefCell::default(),
            preconnects: RefCell::default(),
            metrics,
            caller_delays: RefCell::default(),
            request_quarantine: RefCell::default(),
            crash_reports,
            route_latencies: RefCell::default(),
            split_round_robins: RefCell::default(),
            trial_started: Notify::new(),
            is_leaving: Cell::new(false),
            active_requests: Cell::new(0),
            open_connections: Cell::new(0),
            max_node_count: Cell::new(ASSUMED_MIN_NODES),
            max_ingress_node_count: Cell::new(ASSUMED_MIN_NODES),
            is_ingress: Cell::new(false),
            callers_address,
            split_offset: rand::random(),
            started_us: clock.now_us(),
        }
    }

    /// Takes every new view in, for as long as there is a control thread.
    pub async fn follow_views(self: Rc<Self>, mut views: watch::Receiver<GatewayView>) {
        loop {
            let view = views.borrow_and_update().clone();
            self.apply_view(view);
            if views.changed().await.is_err() {
                return log::error!("the control thread has ended, the last view stays");
            }
        }
    }

    /// Takes changed settings in, for as long as there is a control thread.
    pub async fn follow_settings(
        self: Rc<Self>,
        mut changes: watch::Receiver<Arc<GatewaySettings>>,
    ) {
        while changes.changed().await.is_ok() {
            let settings = changes.borrow_and_update().clone();
            self.pool.borrow_mut().set_settings(pool_settings(&settings));
            self.retry_budget.borrow_mut().set_policy(budget_policy(&settings));
            self.settings.replace(settings);
        }
    }

    /// Takes in what peers report of replicas that died, for as long as there is a control thread.
    pub async fn follow_crashes(self: Rc<Self>, mut heard: mpsc::UnboundedReceiver<CrashReport>) {
        while let Some(report) = heard.recv().await {
            self.request_quarantine.borrow_mut().add_report(self.clock.now_us(), report);
        }
    }

    /// Tells the control thread what was counted in trials, for as long as there is one.
    pub async fn report_trials(self: Rc<Self>, counted: mpsc::UnboundedSender<Vec<TrialReport>>) {
        let mut pace = ReportThrottle::default();
        loop {
            let reports = self.pool.borrow().trial_reports();
            if reports.is_empty() {
                self.trial_started.notified().await;
                continue;
            }
            let due = pace.take_due(self.clock.now_us(), reports);
            if !due.is_empty() && counted.send(due).is_err() {
                return log::error!("the control thread has ended, trials are told to nobody");
            }
            sleep(TRIAL_INTERVAL).await;
        }
    }

    /// Notes that a replica died under a request, and tells the peers.
    pub fn record_crash(&self, report: CrashReport) {
        let is_news = self.request_quarantine.borrow_mut().add_report(self.clock.now_us(), report);
        if is_news {
            // Without a control thread there is nobody to tell.
            let _ = self.crash_reports.send(report);
        }
    }

    /// Whether a request has crashed too many replicas to be sent to another.
    pub fn is_quarantined(&self, fingerprint: u64) -> bool {
        self.request_quarantine.borrow_mut().is_quarantined(self.clock.now_us(), fingerprint)
    }

    /// The settings in force.
    pub fn settings(&self) -> Arc<GatewaySettings> {
        self.settings.borrow().clone()
    }

    /// The catalogue in force.
    pub fn catalogue(&self) -> Arc<Catalogue> {
        self.view.borrow().catalogue.clone()
    }

    /// Ends at a time of this node's clock, in microseconds.
    pub async fn sleep_until(&self, at_us: u64) {
        sleep(Duration::from_micros(at_us.saturating_sub(self.clock.now_us()))).await;
    }

    /// What bounds a fetch of a route, by the latencies that the route has shown.
    pub fn fetch_plan(&self, route: &Route) -> FetchPlan {
        let goal_us = route.goal_ms * US_PER_MS;
        let fanout = match route.target {
            RouteTarget::Gather(_) => Fanout::Shards,
            RouteTarget::Service(_) | RouteTarget::Split(_) => Fanout::Single,
        };
        let mut times = self.route_latencies.borrow_mut();
        let times = times.entry(route.name.clone()).or_default().send_timing(goal_us, fanout);
        FetchPlan {
            expected_us: times.expected_us,
            hedge_after_us: times.hedge_after_us,
            max_attempts: route.max_attempts,
            is_idempotent: route.is_idempotent,
            budget_shares: budget_shares(
                self.max_node_count.get(),
                self.max_ingress_node_count.get(),
                self.is_ingress.get(),
            ),
            route_class: route_class(&route.name),
        }
    }

    /// Counts a send to a replica.
    pub fn count_send(&self, cause: SendCause) {
        let kind = match cause {
            SendCause::First => "first",
            SendCause::Hedge => "hedge",
            SendCause::Retry => "retry",
        };
        self.metrics.sends.get_or_create(&KindLabel::new(kind)).inc();
    }

    /// The times of a route by its name, if it has shown any.
    pub fn route_send_timing(&self, route: &EcoString) -> Option<SendTiming> {
        let catalogue = self.catalogue();
        let route = catalogue.routes.routes().find(|one| one.name == *route)?;
        let goal_us = route.goal_ms * US_PER_MS;
        let mut times = self.route_latencies.borrow_mut();
        let times = times.entry(route.name.clone()).or_default();
        Some(times.send_timing(goal_us, Fanout::Shards))
    }

    /// Notes how long an answer of a route took.
    pub fn record_latency(&self, route: &EcoString, took_us: u64) {
        let mut times = self.route_latencies.borrow_mut();
        times.entry(route.clone()).or_default().record(took_us);
    }

    /// The service of a split whose turn it is.
    pub fn choose_split_service(
        &self,
        route: &EcoString,
        parts: &[WeightedService],
    ) -> Option<EcoString> {
        let mut splits = self.split_round_robins.borrow_mut();
        splits.entry(route.clone()).or_default().next(parts, self.split_offset)
    }

    fn apply_view(self: &Rc<Self>, view: GatewayView) {
        let now_us = self.clock.now_us();
        let catalogue = view.catalogue.clone();
        self.max_node_count
            .set(self.max_node_count.get().max(view.nodes.len()).max(view.registered_node_count));
        let senders =
            count_large_nodes(&view.nodes).max(ASSUMED_MIN_NODES).min(self.max_node_count.get());
        self.max_ingress_node_count.set(self.max_ingress_node_count.get().max(senders));
        self.pool.borrow_mut().update(now_us, &catalogue, senders);
        if !catalogue.trial_grants.is_empty() {
            self.trial_started.notify_one();
        }
        self.relays.update(now_us, &view.nodes, &self.callers_address);
        self.metrics.configuration_version.set(catalogue.version as i64);
        self.metrics.members.set(view.nodes.len() as i64);
        let open = catalogue.replicas.values().filter(|replica| replica.is_eligible).count();
        self.metrics.open_replicas.set(open as i64);
        self.connections.borrow_mut().retain(|id| catalogue.replicas.contains_key(id));
        self.preconnects.borrow_mut().retain(|id| catalogue.replicas.contains_key(id));
        self.view.replace(view);
        let was_sender = self.is_ingress.replace(self.is_in_directory());
        if self.is_ingress.get() && !was_sender {
            self.retry_budget.borrow_mut().restart_ramp(now_us);
        }
        if !self.is_ingress.get() {
            return;
        }
        for replica in catalogue.replicas.values() {
            let entry = &replica.entry;
            let is_wanted =
                replica.is_eligible && self.sends_directly_to(now_us, &entry.failure_domain);
            if is_wanted && self.preconnects.borrow_mut().try_begin(&entry.id, entry.born_ms) {
                spawn_local(self.clone().preconnect(entry.clone()));
            }
        }
    }

    /// Whether callers of this node's failure domain are sent here.
    ///
    /// A node that is not named serves few requests and makes connections when it needs them: in a
    /// fleet where few are named, the others would hold most of the connections.
    fn is_in_directory(&self) -> bool {
        let domain = self.settings().failure_domain.clone();
        let nodes = &self.view.borrow().nodes;
        let me = nodes.iter().find(|node| node.address == self.callers_address);
        let largest = directory_addresses(nodes, &IndexMap::new(), Some(&domain));
        me.is_some_and(|me| largest.contains(&me.address))
    }

    /// Whether this node itself sends to the replicas of a failure domain: to those of its own,
    /// and of others where no relay is.
    ///
    /// Guards against a start of all nodes at once while replicas still hold the connections of
    /// the processes before: eight new ones to each replica were reset in their hundreds, and
    /// requests with them.
    fn sends_directly_to(&self, now_us: u64, domain: &str) -> bool {
        let is_settled = now_us >= self.started_us + RELAY_DISCOVERY_WAIT_US;
        *domain == self.settings().failure_domain || (is_settled && !self.relays.has_relay(domain))
    }

    /// Keeps a connection to a replica whose last answer, if any, is complete.
    pub fn return_connection(
        &self,
        replica: &EcoString,
        sender: UpstreamConnection,
        keep_alive_ms: Option<u64>,
    ) {
        let (nodes, is_sender) = (self.max_node_count.get(), self.is_ingress.get());
        let limit = self.pool.borrow().max_idle_connections(replica, nodes, is_sender);
        let now_us = self.clock.now_us();
        self.connections.borrow_mut().put(replica, sender, now_us, keep_alive_ms, limit);
    }

    /// Makes a connection to a replica before the first request needs it.
    ///
    /// A handshake takes a replica some milliseconds; a new set of shards would pay them on every
    /// shard of its first query.
    async fn preconnect(self: Rc<Self>, entry: Arc<ReplicaEntry>) {
        let is_open =
            |id: &str| self.catalogue().replicas.get(id).is_some_and(|replica| replica.is_eligible);
        while is_open(&entry.id) && !self.connections.borrow().has_idle(&entry.id) {
            let error = match connect(entry.address, PRECONNECT_TIMEOUT, Duration::ZERO).await {
                Ok(sender) => {
                    return self.return_connection(&entry.id, sender, None);
                }
                Err(error) => error,
            };
            log::debug!(replica:% = entry.id, error:%; "a replica cannot be reached yet");
            let step = self.preconnects.borrow_mut().record_failure(&entry.id, entry.born_ms);
            match step {
                PreconnectStep::Retry { backoff_us: pause_us } => {
                    sleep(Duration::from_micros(pause_us)).await;
                }
                PreconnectStep::GiveUp => return,
            }
        }
    }
}

fn pool_settings(settings: &GatewaySettings) -> PoolSettings {
    PoolSettings {
        failure_domain: settings.failure_domain.clone(),
        warmup_factor: settings.warmup.factor,
        warmup_slack: settings.warmup.slack,
    }
}

fn budget_policy(settings: &GatewaySettings) -> RetryBudgetPolicy {
    RetryBudgetPolicy {
        ratio: settings.retry_budget.ratio,
        fixed: settings.retry_budget.fixed,
        window_us: settings.retry_budget.window_ms * US_PER_MS,
    }
}
