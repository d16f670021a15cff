//! Holds the state of the traffic thread.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use ecow::EcoString;
use indexmap::IndexMap;
use sassafrasproxy_clock::Clock;
use sassafrasproxy_config::GatewaySettings;
use sassafrasproxy_core::{
    CallerDelayEstimator, Catalogue, DirectoryNode, DrainDecision, DrainRequest, Fanout, FetchPlan,
    PoolSettings, PreconnectStep, Preconnector, ReportThrottle, RetryBudget, RetryBudgetPolicy,
    RouteLatencies, SendCause, SendTiming, TrialReport, US_PER_MS, UpstreamPool,
    WeightedRoundRobin, budget_shares, directory_addresses, ingress_nodes, route_class,
};
use sassafrasproxy_wire::{MemberState, ReplicaEntry, Route, RouteTarget, WeightedService};
use tokio::sync::{Notify, mpsc, watch};
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::admission::AdmissionQueue;
use crate::answer_body::AnswerStore;
use crate::confirmation::ViewConfirmation;
use crate::connection_pool::{ConnectionPool, connect};
use crate::http_connection::HttpConnection;
use crate::metrics::{GatewayMetrics, KindLabel};
use crate::quarantine::Quarantine;
use crate::rate_limits::RateLimits;
use crate::relay_pool::RelayPool;
use crate::request::CallerRequest;
use crate::rollouts::TRIAL_INTERVAL;
use crate::shutdown::Shutdown;
use crate::view::GatewayView;

/// The minimum node count that a node assumes when it computes its share of common limits.
const ASSUMED_MIN_NODES: usize = 8;

/// The time after its start for which a node waits for relays before it connects to other failure
/// domains itself, in microseconds.
///
/// A node discovers its peers within two heartbeats, which are half a second apart.
const RELAY_DISCOVERY_WAIT_US: u64 = 1_000_000;

/// The timeout of a preconnect attempt.
const PRECONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The state that serving requests needs; it stays on the traffic thread.
pub struct TrafficState {
    pub clock: Clock,
    settings: RefCell<Arc<GatewaySettings>>,
    pub view: RefCell<GatewayView>,
    /// When the view was last known to be current.
    pub confirmation: ViewConfirmation,
    pub pool: RefCell<UpstreamPool>,
    pub retry_budget: RefCell<RetryBudget>,
    pub relays: RelayPool,
    pub connections: RefCell<ConnectionPool>,
    /// The memory of the answers of replicas.
    pub answer_store: AnswerStore,
    preconnects: RefCell<Preconnector>,
    pub metrics: Arc<GatewayMetrics>,
    /// The rate limits of client accounts; `None` if they are not enforced here.
    pub rate_limits: Option<Rc<RateLimits>>,
    pub caller_delays: RefCell<CallerDelayEstimator>,
    /// The requests that crash replicas.
    pub quarantine: Rc<Quarantine>,
    /// Decides which requests are started.
    pub admission: AdmissionQueue,
    /// Set to true when a caller is refused because no configuration is known yet.
    pub configuration_needed: watch::Sender<bool>,
    route_latencies: RefCell<IndexMap<EcoString, RouteLatencies>>,
    split_round_robins: RefCell<IndexMap<EcoString, WeightedRoundRobin>>,
    /// Notified when this node takes part in the trial of a version.
    trial_started: Notify,
    /// The progress of this node's shutdown.
    pub shutdown: Shutdown,
    /// The maximum number of nodes that this process has seen at once.
    ///
    /// The maximum keeps a node from taking the share of others in common limits during a
    /// partition, when each side sees only some of the nodes.
    max_node_count: Cell<usize>,
    /// The maximum number of ingress nodes that this process has seen at once, for the same reason.
    max_ingress_node_count: Cell<usize>,
    /// Whether this is an ingress node.
    is_ingress: Cell<bool>,
    /// The address at which callers connect to this node.
    callers_address: EcoString,
    /// The position at which this node starts the round robin of splits, from 0 to 1.
    split_offset: f64,
    started_us: u64,
}

impl TrafficState {
    /// Returns the state before the first view.
    pub fn new(
        clock: Clock,
        settings: Arc<GatewaySettings>,
        metrics: Arc<GatewayMetrics>,
        callers_address: EcoString,
        quarantine: Rc<Quarantine>,
        configuration_needed: watch::Sender<bool>,
        confirmation: ViewConfirmation,
    ) -> Self {
        Self {
            rate_limits: settings
                .quota
                .as_ref()
                .map(|quota| Rc::new(RateLimits::new(clock, quota, metrics.clone()))),
            clock,
            configuration_needed,
            view: RefCell::default(),
            confirmation,
            pool: RefCell::new(UpstreamPool::new(pool_settings(&settings))),
            retry_budget: RefCell::new(RetryBudget::new(budget_policy(&settings), clock.now_us())),
            relays: RelayPool::new(&settings),
            admission: AdmissionQueue::new(settings.admission),
            connections: RefCell::default(),
            answer_store: AnswerStore::new(clock, settings.answers),
            settings: RefCell::new(settings),
            preconnects: RefCell::default(),
            metrics,
            caller_delays: RefCell::default(),
            quarantine,
            route_latencies: RefCell::default(),
            split_round_robins: RefCell::default(),
            trial_started: Notify::new(),
            shutdown: Shutdown::default(),
            max_node_count: Cell::new(ASSUMED_MIN_NODES),
            max_ingress_node_count: Cell::new(ASSUMED_MIN_NODES),
            is_ingress: Cell::new(false),
            callers_address,
            split_offset: rand::random(),
            started_us: clock.now_us(),
        }
    }

    /// Applies every new view until the control thread ends.
    pub async fn follow_views(self: Rc<Self>, mut views: watch::Receiver<GatewayView>) {
        loop {
            let view = views.borrow_and_update().clone();
            self.apply_view(view);
            if views.changed().await.is_err() {
                return log::error!("the control thread has ended, the last view stays");
            }
        }
    }

    /// Applies changed settings until the control thread ends.
    pub async fn follow_settings(
        self: Rc<Self>,
        mut changes: watch::Receiver<Arc<GatewaySettings>>,
    ) {
        while changes.changed().await.is_ok() {
            let settings = changes.borrow_and_update().clone();
            self.pool.borrow_mut().set_settings(pool_settings(&settings));
            self.retry_budget.borrow_mut().set_policy(budget_policy(&settings));
            self.answer_store.set_settings(settings.answers);
            if let Some((limits, quota)) = self.rate_limits.as_ref().zip(settings.quota.as_ref()) {
                limits.set_quota(quota);
            }
            if self.rate_limits.is_some() != settings.quota.is_some() {
                log::warn!(
                    is_enforced = self.rate_limits.is_some();
                    "the settings change whether rate limits are enforced; restart the node"
                );
            }
            self.settings.replace(settings);
        }
    }

    /// Sends trial reports to the control thread until that thread ends.
    pub async fn report_trials(self: Rc<Self>, sender: mpsc::UnboundedSender<Vec<TrialReport>>) {
        let mut throttle = ReportThrottle::default();
        loop {
            let reports = self.pool.borrow().trial_reports();
            if reports.is_empty() {
                self.trial_started.notified().await;
                continue;
            }
            let due = throttle.take_due(self.clock.now_us(), reports);
            if !due.is_empty() && sender.send(due).is_err() {
                return log::error!("the control thread has ended, trials are told to nobody");
            }
            sleep(TRIAL_INTERVAL).await;
        }
    }

    /// Returns the current settings.
    pub fn settings(&self) -> Arc<GatewaySettings> {
        self.settings.borrow().clone()
    }

    /// Returns the current catalogue.
    pub fn catalogue(&self) -> Arc<Catalogue> {
        self.view.borrow().catalogue.clone()
    }

    /// Sleeps until a time of this node's clock, in microseconds.
    pub async fn sleep_until(&self, at_us: u64) {
        sleep(Duration::from_micros(at_us.saturating_sub(self.clock.now_us()))).await;
    }

    /// Whether this node stays, or can still answer a request before its grace time is over.
    pub fn can_answer_before_leaving(&self, request: &CallerRequest, route: &Route) -> bool {
        let Some(drain) = self.shutdown.drain() else { return true };
        let request = DrainRequest {
            deadline_us: request.answer_deadline_us(route),
            expected_us: self.fetch_plan(route).expected_us,
            is_idempotent: route.is_idempotent,
        };
        match drain.decide(self.clock.now_us(), request) {
            DrainDecision::Serve => true,
            DrainDecision::Refuse => false,
        }
    }

    /// Returns the time after which a request that this node refuses as it is leaving can be served,
    /// in milliseconds: at once by another node, or else after the end of this process.
    pub fn leaving_retry_delay_ms(&self) -> u64 {
        let is_usable = |node: &DirectoryNode| {
            node.state == MemberState::Alive && node.address != self.callers_address
        };
        let has_other_node = self.view.borrow().nodes.iter().any(is_usable);
        match self.shutdown.drain() {
            Some(drain) if !has_other_node => {
                drain.end_us.saturating_sub(self.clock.now_us()).div_ceil(US_PER_MS)
            }
            Some(_) | None => 0,
        }
    }

    /// Returns the limits of a fetch of a route, derived from the measured latencies of the route.
    pub fn fetch_plan(&self, route: &Route) -> FetchPlan {
        let goal_us = route.goal_ms * US_PER_MS;
        let fanout = match route.target {
            RouteTarget::Gather(_) => Fanout::Shards,
            RouteTarget::Service(_) | RouteTarget::Split(_) => Fanout::Single,
        };
        let mut latencies = self.route_latencies.borrow_mut();
        let timing = latencies.entry(route.name.clone()).or_default().send_timing(goal_us, fanout);
        FetchPlan {
            expected_us: timing.expected_us,
            hedge_after_us: timing.hedge_after_us,
            max_attempts: route.max_attempts,
            is_idempotent: route.is_idempotent,
            budget_shares: budget_shares(
                self.max_node_count.get(),
                self.max_ingress_node_count.get(),
                self.is_ingress.get(),
            ),
            extra_sends: self.admission.extra_sends(self.clock.now_us()),
            route_class: route_class(&route.name),
        }
    }

    /// Limits the attempts of a fetch to one if the request is a trial, and to none if it has been
    /// quarantined since it was admitted.
    pub fn limit_attempts(&self, request: &CallerRequest, plan: &mut FetchPlan) {
        if request.progress.is_trial() {
            plan.max_attempts = 1;
        } else if self.quarantine.stops_sends(request) {
            plan.max_attempts = 0;
        }
    }

    /// Counts a send to a replica in the metrics.
    pub fn count_send(&self, cause: SendCause) {
        let kind = match cause {
            SendCause::First => "first",
            SendCause::Hedge => "hedge",
            SendCause::Retry => "retry",
        };
        self.metrics.sends.get_or_create(&KindLabel::new(kind)).inc();
    }

    /// Returns the send timing of a fan-out route by its name; `None` if the route is unknown.
    pub fn route_send_timing(&self, route: &EcoString) -> Option<SendTiming> {
        let catalogue = self.catalogue();
        let route = catalogue.routes.routes().find(|candidate| candidate.name == *route)?;
        let goal_us = route.goal_ms * US_PER_MS;
        let mut latencies = self.route_latencies.borrow_mut();
        let latencies = latencies.entry(route.name.clone()).or_default();
        Some(latencies.send_timing(goal_us, Fanout::Shards))
    }

    /// Records the latency of an answer of a route, in microseconds.
    pub fn record_latency(&self, route: &EcoString, took_us: u64) {
        let mut latencies = self.route_latencies.borrow_mut();
        latencies.entry(route.clone()).or_default().record(took_us);
    }

    /// Returns the next service of a split in its weighted round robin.
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
        let ingress_nodes =
            ingress_nodes(&view.nodes).len().max(ASSUMED_MIN_NODES).min(self.max_node_count.get());
        self.max_ingress_node_count.set(self.max_ingress_node_count.get().max(ingress_nodes));
        self.pool.borrow_mut().update(now_us, &catalogue, ingress_nodes);
        if !catalogue.trial_grants.is_empty() {
            self.trial_started.notify_one();
        }
        self.relays.update(now_us, &view.nodes, &self.callers_address);
        if let Some(limits) = &self.rate_limits {
            limits.set_nodes(&view.nodes, &self.callers_address);
        }
        self.metrics.configuration_version.set(catalogue.version as i64);
        self.metrics.members.set(view.nodes.len() as i64);
        let eligible = catalogue.replicas.values().filter(|replica| replica.is_eligible).count();
        self.metrics.open_replicas.set(eligible as i64);
        self.quarantine.set_records(&catalogue.quarantines, view.nodes.len());
        self.connections.borrow_mut().retain(|id| catalogue.replicas.contains_key(id));
        self.preconnects.borrow_mut().retain(|id| catalogue.replicas.contains_key(id));
        self.view.replace(view);
        let was_ingress = self.is_ingress.replace(self.is_in_directory());
        if self.is_ingress.get() && !was_ingress {
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

    /// Whether the directory sends callers of this node's failure domain here.
    ///
    /// A node that is not in the directory serves few requests and opens connections on demand.
    /// If such nodes preconnected too, they would hold most of the connections where the directory
    /// lists few nodes.
    fn is_in_directory(&self) -> bool {
        let domain = self.settings().failure_domain.clone();
        let nodes = &self.view.borrow().nodes;
        let own = nodes.iter().find(|node| node.address == self.callers_address);
        let listed = directory_addresses(nodes, &IndexMap::new(), Some(&domain));
        own.is_some_and(|own| listed.contains(&own.address))
    }

    /// Whether this node sends directly to the replicas of a failure domain: in its own failure
    /// domain, and in others without a relay.
    ///
    /// Guards against resets when all nodes restart at once and replicas still hold the connections
    /// of the previous processes: with eight new connections to each replica, the replicas reset
    /// hundreds of them, and the requests on them failed.
    fn sends_directly_to(&self, now_us: u64, domain: &str) -> bool {
        let has_waited = now_us >= self.started_us + RELAY_DISCOVERY_WAIT_US;
        *domain == self.settings().failure_domain || (has_waited && !self.relays.has_relay(domain))
    }

    /// Returns a connection to the pool; its last answer, if any, must be complete.
    pub fn return_connection(
        &self,
        replica: &EcoString,
        sender: HttpConnection,
        keep_alive_ms: Option<u64>,
    ) {
        let (nodes, is_ingress) = (self.max_node_count.get(), self.is_ingress.get());
        let limit = self.pool.borrow().max_idle_connections(replica, nodes, is_ingress);
        let now_us = self.clock.now_us();
        self.connections.borrow_mut().put(replica, sender, now_us, keep_alive_ms, limit);
    }

    /// Opens a connection to a replica before the first request needs it.
    ///
    /// A handshake takes a replica a few milliseconds. Without this, the first query to a new set
    /// of shards would wait for a handshake per shard.
    async fn preconnect(self: Rc<Self>, entry: Arc<ReplicaEntry>) {
        let is_eligible =
            |id: &str| self.catalogue().replicas.get(id).is_some_and(|replica| replica.is_eligible);
        while is_eligible(&entry.id) && !self.connections.borrow().has_idle(&entry.id) {
            let error = match connect(entry.address, PRECONNECT_TIMEOUT, Duration::ZERO).await {
                Ok(sender) => {
                    return self.return_connection(&entry.id, sender, None);
                }
                Err(error) => error,
            };
            log::debug!(replica:% = entry.id, error:%; "failed to preconnect to a replica");
            let step = self.preconnects.borrow_mut().record_failure(&entry.id, entry.born_ms);
            match step {
                PreconnectStep::Retry { backoff_us } => {
                    sleep(Duration::from_micros(backoff_us)).await;
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
