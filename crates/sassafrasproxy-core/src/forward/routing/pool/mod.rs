//! Picks a replica of a service by the state that this node has observed of each.

mod replica;
mod work_time;

use std::sync::Arc;

use ecow::EcoString;
use indexmap::IndexMap;
use sassafrasproxy_wire::ReplicaEntry;

use self::replica::{FailureCost, InFlightSend, ReplicaState};
use super::pause_estimator::PauseEstimator;
use super::slot_budget::SlowForecast;
use crate::{Catalogue, RouteClass, Trial, TrialReport};

/// The id of a send; grows with each send and is never reused.
pub type SendId = u64;

/// The settings of the pool.
#[derive(Debug, Clone, PartialEq)]
pub struct PoolSettings {
    /// The failure domain of this node.
    pub failure_domain: EcoString,
    /// The factor by which all nodes together may exceed the declared request rate of a cold
    /// replica.
    pub warmup_factor: f64,
    /// The number of requests per second that is allowed in addition to the scaled rate.
    pub warmup_slack: f64,
}

/// The outcome of a send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendOutcome {
    /// The replica answered without a server error.
    Answered,
    /// The replica answered with a server error.
    Faulty,
    /// The replica reported that it did not run the request.
    Refused,
    /// The connection broke, or the answer was not usable.
    Lost,
    /// No answer arrived before the send's deadline.
    TimedOut,
    /// No connection could be established.
    Unreachable,
    /// Another replica now listens on the address.
    Misdirected,
    /// This node cancelled the send; the replica is not judged by it.
    Cancelled,
}

/// What a replica reports about its load with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedLoad {
    /// The number of running and queued requests.
    pub requests: u32,
    /// The work time: the time that work takes on the replica's VM at this moment, in percent of
    /// the usual time; at least 1. `None` if the replica does not report it.
    pub work_time_percent: Option<u32>,
}

/// The state of the replica that a service's next request would be sent to.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServiceForecast {
    /// The forecast for sends to the replica if it has been slow for longer than a pause; `None`
    /// otherwise.
    pub slow: Option<SlowForecast>,
}

/// The replicas that this node may send to, and the observed state of each.
#[derive(Debug)]
pub struct UpstreamPool {
    settings: PoolSettings,
    services: IndexMap<EcoString, Vec<EcoString>>,
    replicas: IndexMap<EcoString, ReplicaState>,
    next_send: SendId,
    pause_estimator: PauseEstimator,
    /// This node's part in the trial of a version, by service.
    trials: IndexMap<EcoString, Trial>,
}

impl UpstreamPool {
    /// Creates a pool without replicas.
    pub fn new(settings: PoolSettings) -> Self {
        Self {
            settings,
            services: IndexMap::new(),
            replicas: IndexMap::new(),
            next_send: 1,
            pause_estimator: PauseEstimator::default(),
            trials: IndexMap::new(),
        }
    }

    /// Replaces the settings; they take effect with the next catalogue.
    pub fn set_settings(&mut self, settings: PoolSettings) {
        self.settings = settings;
    }

    /// Replaces the catalogue; `nodes` is the number of nodes that share the replicas.
    pub fn update(&mut self, now_us: u64, catalogue: &Catalogue, nodes: usize) {
        self.replicas.retain(|id, _| catalogue.replicas.contains_key(id));
        for (id, listed) in &catalogue.replicas {
            let service = catalogue.services.get(&listed.entry.service);
            let known = self.replicas.get(id);
            let is_same_incarnation = known.is_some_and(|known| {
                known.entry.born_ms == listed.entry.born_ms
                    && known.entry.address == listed.entry.address
            });
            if !is_same_incarnation {
                let state = ReplicaState::new(listed.entry.clone(), &self.settings);
                self.replicas.insert(id.clone(), state);
            }
            let state = &mut self.replicas[id];
            state.entry = listed.entry.clone();
            state.is_eligible = listed.is_eligible;
            state.is_on_trial = listed.is_on_trial;
            state.update_limits(service, nodes.max(1), &self.settings);
            let cold_us = listed.entry.cold_for_ms * crate::US_PER_MS;
            state.cold_until_us =
                (listed.received_us + cold_us).max(now_us.min(state.cold_until_us));
        }
        self.update_trials(now_us, catalogue);
        self.services.clear();
        for (id, state) in &self.replicas {
            self.services.entry(state.entry.service.clone()).or_default().push(id.clone());
        }
    }

    /// Returns this node's reports on the trials of versions.
    pub fn trial_reports(&self) -> Vec<TrialReport> {
        self.trials.values().map(Trial::report).collect()
    }

    /// Replaces the catalogue and sets the concurrency limit of each replica to `max_in_flight`.
    pub fn update_with_in_flight_limit(
        &mut self,
        now_us: u64,
        catalogue: &Catalogue,
        max_in_flight: usize,
    ) {
        self.update(now_us, catalogue, 1);
        self.replicas.values_mut().for_each(|state| state.max_in_flight = max_in_flight);
    }

    /// Returns the registry entry of a replica.
    pub fn entry(&self, id: &str) -> Option<&Arc<ReplicaEntry>> {
        self.replicas.get(id).map(|state| &state.entry)
    }

    /// Returns the maximum number of idle connections that this node may keep to a replica.
    ///
    /// An ingress node may keep as many as it may use, another node an equal share of the replica's
    /// connection limit among `nodes` nodes. This prevents replicas from being full of unused
    /// connections: if each node of a large deployment kept one, they could exceed the limit, and
    /// the replica would reset new connections. A request that is not idempotent is then lost, as
    /// it is not retried.
    pub fn max_idle_connections(&self, id: &str, nodes: usize, is_ingress: bool) -> usize {
        let Some(state) = self.replicas.get(id) else { return 0 };
        if is_ingress { state.max_in_flight } else { state.max_connections / nodes.max(1) }
    }

    /// Returns the time until a replica of a service may receive a request, in microseconds, or
    /// `None` if no replica of the version in use is eligible.
    pub fn usable_in_us(&self, service: &str, now_us: u64) -> Option<u64> {
        let ids = self.services.get(service)?;
        let eligible = ids.iter().map(|id| &self.replicas[id]).filter(|state| state.is_in_use());
        eligible.map(|state| state.usable_in_us(now_us, &self.pause_estimator)).min()
    }

    /// Returns whether a service has any replica, usable or not.
    pub fn has_replicas(&self, service: &str) -> bool {
        self.services.contains_key(service)
    }

    /// Returns the number of replicas of a service.
    pub fn replica_count(&self, service: &str) -> usize {
        self.services.get(service).map_or(0, Vec::len)
    }

    /// Counts the eligible replicas of the services by failure domain.
    pub fn replicas_by_domain<'a>(
        &self,
        services: impl IntoIterator<Item = &'a EcoString>,
    ) -> IndexMap<EcoString, usize> {
        let mut counts = IndexMap::new();
        let ids = services.into_iter().filter_map(|service| self.services.get(service)).flatten();
        for id in ids {
            let state = &self.replicas[id];
            if state.is_eligible {
                *counts.entry(state.entry.failure_domain.clone()).or_default() += 1;
            }
        }
        counts
    }

    /// Returns the replica of a service with the lowest cost: the expected time to its answer and
    /// penalties for distance, stalls and errors.
    ///
    /// `expected_us` is the usual time of such a request. Replicas in `tried` are excluded, and so
    /// are those on trial and those that cannot take a request now.
    pub fn pick(
        &self,
        service: &str,
        now_us: u64,
        expected_us: u64,
        tried: &[EcoString],
    ) -> Option<EcoString> {
        self.pick_by_cost(service, now_us, expected_us, tried, FailureCost::Retry)
    }

    /// Returns the replica for the last send that a request may make, as [`pick`](Self::pick) does.
    ///
    /// A failure then costs the answer, so replicas that failed lately are asked only if the others
    /// are far slower.
    pub fn pick_for_last_send(
        &self,
        service: &str,
        now_us: u64,
        expected_us: u64,
        tried: &[EcoString],
    ) -> Option<EcoString> {
        self.pick_by_cost(service, now_us, expected_us, tried, FailureCost::Answer)
    }

    fn pick_by_cost(
        &self,
        service: &str,
        now_us: u64,
        expected_us: u64,
        tried: &[EcoString],
        failure_cost: FailureCost,
    ) -> Option<EcoString> {
        let ids = self.services.get(service)?;
        let mut best: Option<(f64, &EcoString)> = None;
        for id in ids {
            let state = &self.replicas[id];
            let is_excluded = tried.contains(id) || state.is_on_trial;
            if is_excluded || !state.can_take_request(now_us, &self.pause_estimator) {
                continue;
            }
            let cost = state.cost_us(now_us, expected_us, failure_cost, &self.pause_estimator);
            // Replicas with equal costs take turns; otherwise all nodes in other failure domains
            // would pick the same one.
            let is_better = best.is_none_or(|(least, _)| {
                cost < least || (cost == least && self.next_send.is_multiple_of(2))
            });
            if is_better {
                best = Some((cost, id));
            }
        }
        best.map(|(_, id)| id.clone())
    }

    /// Returns the replica on trial for the first send of a request on a route of `class`; `None` if
    /// the request may not go to one.
    ///
    /// If that replica fails, the version in use serves the request.
    pub fn pick_on_trial(
        &self,
        service: &str,
        class: RouteClass,
        now_us: u64,
    ) -> Option<EcoString> {
        let trial = self.trials.get(service).filter(|trial| trial.may_send_on(now_us, class))?;
        let is_candidate = |id: &&EcoString| {
            let state = &self.replicas[*id];
            state.is_on_trial && state.can_take_request(now_us, &self.pause_estimator)
        };
        // One replica a round, so that one faulty replica does not decide the verdict on its
        // version. All canaries reach the same replica at about the same time, which shows how it
        // handles load.
        let ids = self.services.get(service)?;
        let mut candidates: Vec<&EcoString> = ids.iter().filter(is_candidate).collect();
        candidates.sort_unstable();
        let turn = trial.round(now_us) as usize % candidates.len().max(1);
        candidates.get(turn).map(|id| (*id).clone())
    }

    /// Returns the state of the replica that would be picked, or `None` if none can be asked.
    pub fn forecast(
        &self,
        service: &str,
        now_us: u64,
        expected_us: u64,
    ) -> Option<ServiceForecast> {
        let id = self.pick(service, now_us, expected_us, &[])?;
        let state = &self.replicas[&id];
        let slowness = state.slowness.value(now_us);
        Some(ServiceForecast {
            slow: state.slot_budget.forecast(
                now_us,
                state.work_time.scale_us(now_us, expected_us),
                slowness,
                self.pause_estimator.max_pause_us(),
            ),
        })
    }

    /// Records that a query needs the slow replicas of a service.
    pub fn reserve_replicas(&mut self, service: &str, now_us: u64) {
        for id in self.services.get(service).into_iter().flatten() {
            self.replicas[id].slot_budget.reserve(now_us);
        }
    }

    /// Records a send to a replica; it counts as stalled if it is still in flight after
    /// `stall_after_us`.
    ///
    /// Returns `None` if the replica is not known.
    pub fn start_send(
        &mut self,
        id: &str,
        now_us: u64,
        expected_us: u64,
        stall_after_us: u64,
    ) -> Option<SendId> {
        let state = self.replicas.get_mut(id)?;
        let send = self.next_send;
        self.next_send += 1;
        state.take_cold_token(now_us);
        let work_us = state.work_time.scale_us(now_us, expected_us);
        state.slot_budget.record_send(now_us, work_us);
        let due_us = now_us + stall_after_us;
        state.in_flight.push(InFlightSend {
            id: send,
            sent_us: now_us,
            expected_us,
            due_us,
            trial_class: None,
        });
        Some(send)
    }

    /// Counts a started send in the trial of its service, if there is one.
    pub fn count_in_trial(
        &mut self,
        id: &EcoString,
        send: SendId,
        is_first: bool,
        class: RouteClass,
    ) {
        let Some(state) = self.replicas.get_mut(id) else { return };
        let Some(trial) = self.trials.get_mut(&state.entry.service) else { return };
        if is_first {
            trial.record_request();
        }
        if state.is_on_trial {
            trial.record_send();
        }
        if let Some(in_flight_send) = state.in_flight.iter_mut().find(|one| one.id == send) {
            in_flight_send.trial_class = Some(class);
        }
    }

    /// Records that a part of an answer arrived from a replica.
    pub fn record_activity(&mut self, id: &str, now_us: u64) {
        if let Some(state) = self.replicas.get_mut(id) {
            state.last_activity_us = now_us;
        }
    }

    /// Records the end of a send; `reported_load` is the load that the replica reported.
    pub fn finish_send(
        &mut self,
        id: &str,
        send: SendId,
        now_us: u64,
        outcome: SendOutcome,
        reported_load: Option<ReportedLoad>,
    ) {
        let Some(state) = self.replicas.get_mut(id) else { return };
        let Some(at) = state.in_flight.iter().position(|one| one.id == send) else { return };
        let in_flight_send = state.in_flight.swap_remove(at);
        if outcome == SendOutcome::Answered {
            self.pause_estimator.record_lateness(now_us.saturating_sub(in_flight_send.due_us));
        }
        if let Some(reported_load) = reported_load {
            state.record_load(now_us, reported_load);
        }
        let work_time_percent = reported_load.and_then(|load| load.work_time_percent);
        state.record_end(now_us, &in_flight_send, outcome, work_time_percent);
        if let Some(class) = in_flight_send.trial_class
            && let Some(trial) = self.trials.get_mut(&state.entry.service)
        {
            let trial_outcome = state.trial_outcome(now_us, &in_flight_send, outcome);
            trial.record_end(&state.entry, class, in_flight_send.expected_us, trial_outcome);
        }
    }

    /// Removes the trials that have ended and starts new ones.
    fn update_trials(&mut self, now_us: u64, catalogue: &Catalogue) {
        let is_current = |service: &EcoString, trial: &Trial| {
            let granted = catalogue.trial_grants.get(service);
            granted.is_some_and(|grant| grant.order_revision == trial.grant().order_revision)
        };
        self.trials.retain(|service, trial| is_current(service, trial));
        for (service, grant) in &catalogue.trial_grants {
            let entry = self.trials.entry(service.clone());
            entry.or_insert_with(|| Trial::new(grant.clone(), now_us));
        }
    }
}
