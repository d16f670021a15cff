//! Choosing among the replicas of a service by what this node has seen of each.

mod replica;

use std::sync::Arc;

use ecow::EcoString;
use indexmap::IndexMap;
use sassafrasproxy_wire::ReplicaEntry;

use self::replica::{InFlightSend, ReplicaState};
use super::pause_estimator::PauseEstimator;
use super::slot_budget::SlowForecast;
use crate::{Catalogue, RouteClass, Trial, TrialReport};

/// Which send: grows with each, never used again.
pub type SendId = u64;

/// What the pool knows from the node's settings.
#[derive(Debug, Clone, PartialEq)]
pub struct PoolSettings {
    /// Where this node is.
    pub failure_domain: EcoString,
    /// A cold replica's declared rate is exceeded by this factor at most, over all nodes.
    pub warmup_factor: f64,
    /// And by this many requests a second besides.
    pub warmup_slack: f64,
}

/// How a send ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendOutcome {
    /// The replica answered for itself.
    Answered,
    /// The replica answered with a failure.
    Faulty,
    /// The replica says that it did not run the request.
    Refused,
    /// The connection broke off, or what came was no usable answer.
    Lost,
    /// Nothing came for as long as the send could wait.
    TimedOut,
    /// No connection could be made.
    Unreachable,
    /// Another replica has the address.
    Misdirected,
    /// This node gave up; says nothing of the replica.
    Cancelled,
}

/// What asking a service now would probably meet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServiceForecast {
    /// If the replica that would be asked has been slow for a while, what it bears.
    pub slow: Option<SlowForecast>,
}

/// All replicas that this node may send to.
#[derive(Debug)]
pub struct UpstreamPool {
    settings: PoolSettings,
    services: IndexMap<EcoString, Vec<EcoString>>,
    replicas: IndexMap<EcoString, ReplicaState>,
    next_send: SendId,
    pause_estimator: PauseEstimator,
    /// By service, this node's part in the trial of a version.
    trials: IndexMap<EcoString, Trial>,
}

impl UpstreamPool {
    /// A pool without replicas.
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

    /// Takes changed settings in; they count from the next catalogue on.
    pub fn set_settings(&mut self, settings: PoolSettings) {
        self.settings = settings;
    }

    /// Takes a new catalogue in, and how many nodes share the replicas.
    pub fn update(&mut self, now_us: u64, catalogue: &Catalogue, nodes: usize) {
        self.replicas.retain(|id, _| catalogue.replicas.contains_key(id));
        for (id, listed) in &catalogue.replicas {
            let service = catalogue.services.get(&listed.entry.service);
            let known = self.replicas.get(id);
            let is_same_life = known.is_some_and(|known| {
                known.entry.born_ms == listed.entry.born_ms
                    && known.entry.address == listed.entry.address
            });
            if !is_same_life {
                let state = ReplicaState::new(listed.entry.clone(), &self.settings);
                self.replicas.insert(id.clone(), state);
            }
            let state = &mut self.replicas[id];
            state.entry = listed.entry.clone();
            state.is_open = listed.is_eligible;
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

    /// What this node has counted in trials of versions.
    pub fn trial_reports(&self) -> Vec<TrialReport> {
        self.trials.values().map(Trial::report).collect()
    }

    /// Takes a new catalogue in whose replicas each take a number of sends from this node.
    pub fn update_with_in_flight_limit(
        &mut self,
        now_us: u64,
        catalogue: &Catalogue,
        in_flight: usize,
    ) {
        self.update(now_us, catalogue, 1);
        self.replicas.values_mut().for_each(|state| state.max_in_flight = in_flight);
    }

    /// The entry of a replica.
    pub fn entry(&self, id: &str) -> Option<&Arc<ReplicaEntry>> {
        self.replicas.get(id).map(|state| &state.entry)
    }

    /// How many idle connections this node may keep to a replica; a node to which callers are sent
    /// (`is_sender`) as many as it may use, the others an equal share of what `nodes` nodes may.
    ///
    /// Guards against replicas that are full of connections nobody uses: a fleet that keeps one
    /// each may be over the cap, and the replica resets new ones. What may run once only is lost
    /// then, as it is not sent again.
    pub fn max_idle_connections(&self, id: &str, nodes: usize, is_ingress: bool) -> usize {
        let Some(state) = self.replicas.get(id) else { return 0 };
        if is_ingress { state.max_in_flight } else { state.max_connections / nodes.max(1) }
    }

    /// In how long a replica of a service may get work, in microseconds; `None` if none is there.
    pub fn usable_in_us(&self, service: &str, now_us: u64) -> Option<u64> {
        let ids = self.services.get(service)?;
        let open = ids.iter().map(|id| &self.replicas[id]).filter(|state| state.is_in_use());
        open.map(|state| state.usable_in_us(now_us, &self.pause_estimator)).min()
    }

    /// Whether a service has any replica, usable or not.
    pub fn has_replicas(&self, service: &str) -> bool {
        self.services.contains_key(service)
    }

    /// How many replicas a service has.
    pub fn replica_count(&self, service: &str) -> usize {
        self.services.get(service).map_or(0, Vec::len)
    }

    /// How many replicas of the services each failure domain holds.
    pub fn replicas_by_domain<'a>(
        &self,
        services: impl IntoIterator<Item = &'a EcoString>,
    ) -> IndexMap<EcoString, usize> {
        let mut counts = IndexMap::new();
        let ids = services.into_iter().filter_map(|service| self.services.get(service)).flatten();
        for id in ids {
            let state = &self.replicas[id];
            if state.is_open {
                *counts.entry(state.entry.failure_domain.clone()).or_default() += 1;
            }
        }
        counts
    }

    /// The replica of a service that will probably answer first, all costs counted.
    ///
    /// `expected_us` is the usual time of such a request. Replicas in `tried` are left out, and
    /// so are those that are known to fail at this moment.
    pub fn pick(
        &self,
        service: &str,
        now_us: u64,
        expected_us: u64,
        tried: &[EcoString],
    ) -> Option<EcoString> {
        let ids = self.services.get(service)?;
        if let Some(id) = self.pick_on_trial(service, ids, now_us, tried) {
            return Some(id);
        }
        let mut best: Option<(f64, &EcoString)> = None;
        for id in ids {
            let state = &self.replicas[id];
            let is_left_out = tried.contains(id) || state.is_on_trial;
            if is_left_out || !state.can_take_request(now_us, &self.pause_estimator) {
                continue;
            }
            let cost = state.cost_us(now_us, expected_us, &self.pause_estimator);
            // Equal replicas take turns, as nodes far from all of them must not all pick one.
            let is_better = best.is_none_or(|(least, _)| {
                cost < least || (cost == least && self.next_send.is_multiple_of(2))
            });
            if is_better {
                best = Some((cost, id));
            }
        }
        best.map(|(_, id)| id.clone())
    }

    /// The replica on trial that is next, if this request may go to one.
    ///
    /// First sends only: what such a replica fails at is served by the version in use.
    fn pick_on_trial(
        &self,
        service: &str,
        ids: &[EcoString],
        now_us: u64,
        tried: &[EcoString],
    ) -> Option<EcoString> {
        let trial = self.trials.get(service).filter(|_| tried.is_empty())?;
        if !trial.may_send(now_us) {
            return None;
        }
        let is_next = |id: &&EcoString| {
            let state = &self.replicas[*id];
            state.is_on_trial && state.can_take_request(now_us, &self.pause_estimator)
        };
        // By turns: a replica that fails by itself must not stand for its version. All canaries come
        // to the same one at about the same time, so that it shows how it fares under load.
        let mut next: Vec<&EcoString> = ids.iter().filter(is_next).collect();
        next.sort_unstable();
        let turn = trial.trial_sends() as usize % next.len().max(1);
        next.get(turn).map(|id| (*id).clone())
    }

    /// What the replica that would be picked is like; `None` if none can be asked.
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
                expected_us,
                slowness,
                self.pause_estimator.max_pause_us(),
            ),
        })
    }

    /// Notes that a query needs a service's slow replicas.
    pub fn reserve_replicas(&mut self, service: &str, now_us: u64) {
        for id in self.services.get(service).into_iter().flatten() {
            self.replicas[id].slot_budget.reserve(now_us);
        }
    }

    /// Notes a send to a replica, which is beyond its usual time `patience_us` from now.
    pub fn start_send(
        &mut self,
        id: &str,
        now_us: u64,
        expected_us: u64,
        patience_us: u64,
    ) -> Option<SendId> {
        let state = self.replicas.get_mut(id)?;
        let send = self.next_send;
        self.next_send += 1;
        state.take_cold_token(now_us);
        state.slot_budget.record_send(now_us, expected_us);
        let due_us = now_us + patience_us;
        state.in_flight.push(InFlightSend {
            id: send,
            sent_us: now_us,
            expected_us,
            due_us,
            trial_class: None,
        });
        Some(send)
    }

    /// Counts a send that was started in the trial of a version, if there is one.
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
        if let Some(sent) = state.in_flight.iter_mut().find(|one| one.id == send) {
            sent.trial_class = Some(class);
        }
    }

    /// Notes that a part of an answer came from a replica.
    pub fn record_activity(&mut self, id: &str, now_us: u64) {
        if let Some(state) = self.replicas.get_mut(id) {
            state.last_activity_us = now_us;
        }
    }

    /// Notes the end of a send; `reported` is the replica's own word on its load.
    pub fn finish_send(
        &mut self,
        id: &str,
        send: SendId,
        now_us: u64,
        outcome: SendOutcome,
        reported: Option<u32>,
    ) {
        let Some(state) = self.replicas.get_mut(id) else { return };
        let Some(at) = state.in_flight.iter().position(|one| one.id == send) else { return };
        let sent = state.in_flight.swap_remove(at);
        if outcome == SendOutcome::Answered {
            self.pause_estimator.record_lateness(now_us.saturating_sub(sent.due_us));
        }
        if let Some(reported) = reported {
            state.reported_load = reported;
            state.load_reported_us = now_us;
        }
        state.record_end(now_us, &sent, outcome);
        if let Some(class) = sent.trial_class
            && let Some(trial) = self.trials.get_mut(&state.entry.service)
        {
            let ended = state.trial_outcome(now_us, &sent, outcome);
            trial.record_end(&state.entry, class, sent.expected_us, ended);
        }
    }

    /// Keeps the trials that go on, and begins new ones.
    fn update_trials(&mut self, now_us: u64, catalogue: &Catalogue) {
        let is_same = |service: &EcoString, trial: &Trial| {
            let granted = catalogue.trial_grants.get(service);
            granted.is_some_and(|grant| grant.order_revision == trial.grant().order_revision)
        };
        self.trials.retain(|service, trial| is_same(service, trial));
        for (service, grant) in &catalogue.trial_grants {
            let begun = self.trials.entry(service.clone());
            begun.or_insert_with(|| Trial::new(grant.clone(), now_us));
        }
    }
}
