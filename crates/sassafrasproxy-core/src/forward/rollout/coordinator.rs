//! Decides when a rollout starts its trial, is promoted, is completed or is rolled back.

use ecow::EcoString;
use indexmap::{IndexMap, IndexSet};

use super::order::{RolloutOrder, RolloutPhase, RolloutRecord};
use super::trial::TrialReport;
use super::trial_analysis::{TrialAnalysis, TrialVerdict};
use crate::{US_PER_MS, hash_name};

/// The maximum number of nodes that send requests to a version on trial.
const MAX_CANARIES: usize = 16;

/// The fraction of the period by which the rollout of a good version should be completed.
const COMPLETION_FRACTION: f64 = 0.77;

/// The time reserved for writing the records of the last two steps, in microseconds.
const WRITE_SLACK_US: u64 = 1_000_000;

/// The maximum age of each canary's last report when a version is promoted, in microseconds.
const MAX_REPORT_AGE_US: u64 = 2_500_000;

/// The delay per rank before a node takes a step that the coordinators ranked before it have not
/// taken, in microseconds.
const RANK_DELAY_US: u64 = 700_000;

/// The delay before a write that had no visible effect is retried, in microseconds.
const WRITE_RETRY_US: u64 = 500_000;

/// The exposure that the operators allow for a bad version, and how a trial uses it.
///
/// Exposure is the number of requests that the version gets.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RolloutPolicy {
    /// The fraction of all requests to the service that a bad version may get.
    pub exposure_share: f64,
    /// The number of requests that it may get in addition to that fraction.
    pub exposure_slack: f64,
    /// The fraction of `exposure_slack` that is granted to the canaries as permits.
    ///
    /// The rest is reserved for a promoted version that turns out bad before it is completed.
    pub permit_fraction: f64,
    /// The fraction of `exposure_share` that the canaries may use; the rest is reserved for a
    /// promoted version that turns out bad.
    pub canary_share_fraction: f64,
    /// The fraction of the period after which a version without evidence against it is promoted.
    ///
    /// The promotion is as late as the period allows, because a version may turn bad only after
    /// some time.
    pub trial_fraction: f64,
    /// The time until the last permits are released, as a fraction of the usual length of a trial,
    /// so that they are used before the trial ends.
    pub permit_spread_factor: f64,
    /// The time from the promotion of a version to its completion, in microseconds.
    ///
    /// By then all nodes have received the promotion, and their last requests to the old version
    /// have ended.
    pub settle_us: u64,
}

impl RolloutPolicy {
    /// Returns the default policy for the exposure that the operators allow.
    pub fn new(exposure_share: f64, exposure_slack: f64) -> Self {
        Self {
            exposure_share,
            exposure_slack,
            permit_fraction: 0.9,
            canary_share_fraction: 0.3,
            trial_fraction: 0.6,
            permit_spread_factor: 0.75,
            settle_us: 1_200_000,
        }
    }

    /// Returns the maximum length of a trial, in microseconds from the order.
    ///
    /// A trial lasts that long if there is evidence against the version.
    fn max_trial_us(&self, order: &RolloutOrder) -> u64 {
        (order.period_ms * US_PER_MS).saturating_sub(self.settle_us + WRITE_SLACK_US)
    }

    /// Returns the length of a trial without evidence against the version, in microseconds from the
    /// order.
    fn trial_us(&self, order: &RolloutOrder) -> u64 {
        let period_us = order.period_ms * US_PER_MS;
        let end_us = (period_us as f64 * COMPLETION_FRACTION) as u64;
        let latest_us = end_us.saturating_sub(self.settle_us + WRITE_SLACK_US);
        latest_us.min((period_us as f64 * self.trial_fraction) as u64)
    }
}

/// The state of one service's rollout, as seen by this node.
#[derive(Debug, Clone, PartialEq)]
pub struct RolloutState {
    /// The service.
    pub service: EcoString,
    /// The order, with its revision in the store; `None` if the store holds none.
    pub order: Option<(RolloutOrder, u64)>,
    /// The newest record, with its revision in the store.
    pub record: Option<(RolloutRecord, u64)>,
    /// The version that is in use; `None` while no replica may be used.
    pub in_use: Option<EcoString>,
    /// The replicas of each version that are eligible for requests.
    pub versions: IndexMap<EcoString, VersionReplicas>,
    /// Whether the configuration or any replica names the service.
    pub is_known: bool,
    /// Whether a node announced that the rollout is stopped, which may precede the record.
    pub is_stopped: bool,
}

/// The eligible replicas of one version.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct VersionReplicas {
    /// The number of replicas.
    pub count: u32,
    /// The number of requests that they run concurrently, in total.
    pub slots: u32,
}

/// A side effect that the coordinator requests.
#[derive(Debug, Clone, PartialEq)]
pub enum RolloutEffect {
    /// Write a record if the one in the store still has the expected revision.
    Write {
        /// The record.
        record: RolloutRecord,
        /// The revision that the stored record must have; 0 if there must be none.
        expected_revision: u64,
    },
    /// Announce to all nodes immediately that they must stop using the version on trial.
    Stop {
        /// The order's revision in the store.
        order_revision: u64,
    },
}

/// An event of the coordinator that is to be logged.
#[derive(Debug, Clone, PartialEq)]
pub enum RolloutLogEvent {
    /// An order names a service that neither the configuration nor any replica names.
    UnknownService {
        /// The service.
        service: EcoString,
    },
    /// A record with a new phase is about to be written.
    PhaseChange {
        /// The service.
        service: EcoString,
        /// The version to move to.
        target_version: EcoString,
        /// The new phase.
        phase: RolloutPhase,
        /// The elapsed part of the period, in milliseconds.
        elapsed_ms: u64,
        /// The number of attempts on the target version that have ended.
        ended: u64,
        /// The number of these that failed or were slow.
        bad: u64,
        /// The evidence against the target version, as a log-likelihood ratio.
        score: f64,
    },
}

/// Decides on the steps of all rollouts.
///
/// Every node has one, but normally only that of a single node acts. If two act at the same time,
/// they cannot contradict each other: each step is a conditional write that succeeds only if the
/// stored record is the one that the step follows.
#[derive(Debug, Default)]
pub struct RolloutCoordinator {
    services: IndexMap<EcoString, ObservedRollout>,
    log_events: Vec<RolloutLogEvent>,
}

/// One service's rollout, as this node has observed it.
#[derive(Debug)]
struct ObservedRollout {
    order_revision: u64,
    order_seen_us: u64,
    record_revision: u64,
    record_seen_us: u64,
    analysis: TrialAnalysis,
    /// The time at which each canary's last report arrived, in microseconds.
    last_report_us: IndexMap<EcoString, u64>,
    /// The step to take next, and the time since which it is pending, in microseconds.
    pending_step: (NextStep, u64),
    next_write_us: u64,
    is_unknown_reported: bool,
}

/// The ingress nodes, and this node's rank as coordinator.
#[derive(Debug, Clone, Default)]
pub struct RolloutNodes {
    /// The nodes that are alive and that callers are sent to (ingress nodes).
    pub ingress_nodes: Vec<EcoString>,
    /// The names of all nodes that are alive. A canary among them may have ceased to be an ingress
    /// node since its trial began.
    pub alive_nodes: IndexSet<EcoString>,
    /// This node's rank among the few nodes that may act as coordinator; `None` if it may not.
    ///
    /// The node with rank 0 takes each step; the others take only the steps that the nodes ranked
    /// before them have not taken.
    pub rank: Option<usize>,
}

/// The next step of one service's rollout.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum NextStep {
    Nothing,
    Write(RolloutPhase),
    StopAndRollBack,
}

/// How many of a rollout's canaries that are alive report to this node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Reporting {
    All,
    /// More than half of them.
    Most,
    Few,
}

impl RolloutCoordinator {
    /// Adds a canary's report.
    pub fn add_report(&mut self, now_us: u64, node: &EcoString, report: &TrialReport) {
        let is_reported =
            |observed: &&mut ObservedRollout| observed.order_revision == report.order_revision;
        let Some(observed) = self.services.values_mut().find(is_reported) else { return };
        observed.analysis.add_report(node, report);
        observed.last_report_us.insert(node.clone(), now_us);
    }

    /// Advances all rollouts, and returns the effects to perform.
    pub fn step(
        &mut self,
        now_us: u64,
        states: &[RolloutState],
        nodes: &RolloutNodes,
        policy: &RolloutPolicy,
    ) -> Vec<RolloutEffect> {
        self.services.retain(|service, _| states.iter().any(|state| state.service == *service));
        let mut effects = Vec::new();
        for state in states {
            let observed = self.observe(now_us, state);
            let next = observed.next_step(now_us, state, nodes, policy);
            if observed.pending_step.0 != next {
                observed.pending_step = (next, now_us);
            }
            let due_us = observed.pending_step.1.max(observed.next_write_us);
            let turn_us = nodes.rank.map(|rank| due_us + rank as u64 * RANK_DELAY_US);
            if turn_us.is_some_and(|turn_us| now_us >= turn_us) {
                effects.extend(self.perform_step(now_us, state, nodes, policy, next));
            }
        }
        effects
    }

    /// Returns and clears the log events since the last call.
    pub fn take_log_events(&mut self) -> Vec<RolloutLogEvent> {
        std::mem::take(&mut self.log_events)
    }

    /// Records new revisions of a service's order and record with the time at which they were seen.
    fn observe(&mut self, now_us: u64, state: &RolloutState) -> &mut ObservedRollout {
        let order_revision = state.running_order_revision();
        let observed = self
            .services
            .entry(state.service.clone())
            .or_insert_with(|| ObservedRollout::new(order_revision, now_us));
        if order_revision > observed.order_revision {
            *observed = ObservedRollout::new(order_revision, now_us);
        }
        let record_revision = state.record.as_ref().map_or(0, |(_, revision)| *revision);
        if record_revision > observed.record_revision {
            observed.record_revision = record_revision;
            observed.record_seen_us = now_us;
            observed.next_write_us = now_us;
        }
        observed
    }

    fn perform_step(
        &mut self,
        now_us: u64,
        state: &RolloutState,
        nodes: &RolloutNodes,
        policy: &RolloutPolicy,
        next: NextStep,
    ) -> Vec<RolloutEffect> {
        let observed = &mut self.services[&state.service];
        let phase = match next {
            NextStep::Nothing => {
                let is_unknown = state.order.is_some() && !state.is_known;
                if is_unknown && !std::mem::replace(&mut observed.is_unknown_reported, true) {
                    let service = state.service.clone();
                    self.log_events.push(RolloutLogEvent::UnknownService { service });
                }
                return Vec::new();
            }
            NextStep::Write(phase) => phase,
            NextStep::StopAndRollBack => RolloutPhase::RolledBack,
        };
        let Some(record) =
            state.record_for_phase(phase, nodes, policy, observed.elapsed_us(now_us, state))
        else {
            return Vec::new();
        };
        observed.next_write_us = now_us + WRITE_RETRY_US;
        self.log_events.push(RolloutLogEvent::PhaseChange {
            service: record.service.clone(),
            target_version: record.target_version.clone(),
            phase,
            elapsed_ms: record.elapsed_ms,
            ended: observed.analysis.ended(),
            bad: observed.analysis.bad(),
            score: observed.analysis.score(state.replicas(&record.target_version).count),
        });
        let mut effects = Vec::new();
        if matches!(next, NextStep::StopAndRollBack) {
            effects.push(RolloutEffect::Stop { order_revision: record.order_revision });
        }
        let expected_revision = state.record.as_ref().map_or(0, |(_, revision)| *revision);
        effects.push(RolloutEffect::Write { record, expected_revision });
        effects
    }
}

impl ObservedRollout {
    fn new(order_revision: u64, now_us: u64) -> Self {
        Self {
            order_revision,
            order_seen_us: now_us,
            record_revision: 0,
            record_seen_us: now_us,
            analysis: TrialAnalysis::default(),
            last_report_us: IndexMap::new(),
            pending_step: (NextStep::Nothing, now_us),
            next_write_us: now_us,
            is_unknown_reported: false,
        }
    }

    /// Returns the elapsed part of the period, in microseconds.
    ///
    /// This is the greater of the time since this node saw the order and the time that follows from
    /// the record.
    fn elapsed_us(&self, now_us: u64, state: &RolloutState) -> u64 {
        let seen_us = now_us.saturating_sub(self.order_seen_us);
        let Some(record) = state.running_record() else { return seen_us };
        let since_us = now_us.saturating_sub(self.record_seen_us);
        seen_us.max(record.elapsed_ms * US_PER_MS + since_us)
    }

    fn next_step(
        &self,
        now_us: u64,
        state: &RolloutState,
        nodes: &RolloutNodes,
        policy: &RolloutPolicy,
    ) -> NextStep {
        let Some(record) = state.running_record() else { return state.first_step() };
        if record.phase.is_final() {
            return NextStep::Nothing;
        }
        let Some((order, _)) = &state.order else { return NextStep::StopAndRollBack };
        let verdict = self.analysis.verdict(state.replicas(&record.target_version).count);
        if state.is_stopped || verdict == TrialVerdict::Bad {
            return NextStep::StopAndRollBack;
        }
        match record.phase {
            RolloutPhase::Trial => {
                let elapsed_us = self.elapsed_us(now_us, state);
                let is_last_moment = elapsed_us >= policy.max_trial_us(order);
                let is_over = elapsed_us >= policy.trial_us(order);
                let may_promote = state.has_enough_slots(record)
                    && self.reporting_canaries(now_us, record, nodes) == Reporting::All;
                match verdict {
                    TrialVerdict::Good if is_over && may_promote => {
                        NextStep::Write(RolloutPhase::Promoted)
                    }
                    TrialVerdict::Suspicious | TrialVerdict::Unresolved
                        if is_last_moment && may_promote =>
                    {
                        NextStep::Write(RolloutPhase::Promoted)
                    }
                    TrialVerdict::Inconclusive if is_last_moment => NextStep::StopAndRollBack,
                    TrialVerdict::Good
                    | TrialVerdict::Suspicious
                    | TrialVerdict::Unresolved
                    | TrialVerdict::Inconclusive
                    | TrialVerdict::Bad => NextStep::Nothing,
                }
            }
            RolloutPhase::Promoted => {
                let is_settled = now_us >= self.record_seen_us + policy.settle_us;
                let may_complete =
                    is_settled && self.reporting_canaries(now_us, record, nodes) != Reporting::Few;
                let period_us = order.period_ms * US_PER_MS;
                let is_last_moment = self.elapsed_us(now_us, state) + WRITE_SLACK_US >= period_us;
                match verdict {
                    TrialVerdict::Good | TrialVerdict::Suspicious if may_complete => {
                        NextStep::Write(RolloutPhase::Completed)
                    }
                    TrialVerdict::Unresolved if is_last_moment && may_complete => {
                        NextStep::Write(RolloutPhase::Completed)
                    }
                    TrialVerdict::Inconclusive if is_last_moment => NextStep::StopAndRollBack,
                    TrialVerdict::Good
                    | TrialVerdict::Suspicious
                    | TrialVerdict::Unresolved
                    | TrialVerdict::Inconclusive
                    | TrialVerdict::Bad => NextStep::Nothing,
                }
            }
            RolloutPhase::Completed | RolloutPhase::RolledBack => NextStep::Nothing,
        }
    }

    /// Returns how many of the canaries that are alive have reported within `MAX_REPORT_AGE_US`.
    ///
    /// Prevents the promotion or completion of a version while the reports of its failures do not
    /// arrive, as at a node that has just become the coordinator.
    fn reporting_canaries(
        &self,
        now_us: u64,
        record: &RolloutRecord,
        nodes: &RolloutNodes,
    ) -> Reporting {
        let is_alive = |canary: &&EcoString| nodes.alive_nodes.contains(*canary);
        let alive: Vec<&EcoString> = record.canaries.iter().filter(is_alive).collect();
        let has_reported = |canary: &&&EcoString| {
            self.last_report_us
                .get(**canary)
                .is_some_and(|reported_us| now_us < reported_us + MAX_REPORT_AGE_US)
        };
        match alive.iter().filter(has_reported).count() {
            reporting if reporting == alive.len() => Reporting::All,
            reporting if 2 * reporting > alive.len() => Reporting::Most,
            _ => Reporting::Few,
        }
    }
}

impl RolloutState {
    /// Returns whether the rollout has steps left.
    pub fn is_running(&self) -> bool {
        match self.running_record() {
            Some(record) => !record.phase.is_final(),
            None => self.order.is_some(),
        }
    }

    /// Returns the record of the order that is in force, if there is one.
    pub fn running_record(&self) -> Option<&RolloutRecord> {
        let (record, _) = self.record.as_ref()?;
        let Some((order, revision)) = &self.order else { return Some(record) };
        let is_same_target =
            record.target_version == order.target_version && !record.phase.is_final();
        (record.order_revision == *revision || is_same_target).then_some(record)
    }

    /// Returns the revision of the order that is in force; 0 if there is none.
    fn running_order_revision(&self) -> u64 {
        let of_record = self.running_record().map(|record| record.order_revision);
        let of_order = self.order.as_ref().map(|(_, revision)| *revision);
        of_record.or(of_order).unwrap_or(0)
    }

    fn first_step(&self) -> NextStep {
        let Some((order, _)) = &self.order else { return NextStep::Nothing };
        match &self.in_use {
            _ if !self.is_known => NextStep::Nothing,
            Some(in_use) if *in_use == order.target_version => {
                NextStep::Write(RolloutPhase::Completed)
            }
            Some(_) => NextStep::Write(RolloutPhase::Trial),
            // No replica of any version is listed yet.
            None => NextStep::Nothing,
        }
    }

    /// Returns whether the target version's replicas have slots, and at least half as many as the
    /// base version's replicas.
    fn has_enough_slots(&self, record: &RolloutRecord) -> bool {
        let target = self.replicas(&record.target_version).slots;
        target > 0 && 2 * target >= self.replicas(&record.base_version).slots
    }

    fn replicas(&self, version: &str) -> VersionReplicas {
        self.versions.get(version).copied().unwrap_or_default()
    }

    /// Returns the record to write for a phase; `None` if there is no earlier record, and no order
    /// or no version in use.
    fn record_for_phase(
        &self,
        phase: RolloutPhase,
        nodes: &RolloutNodes,
        policy: &RolloutPolicy,
        elapsed_us: u64,
    ) -> Option<RolloutRecord> {
        let elapsed_ms = elapsed_us / US_PER_MS;
        if let Some(record) = self.running_record() {
            return Some(RolloutRecord { phase, elapsed_ms, ..record.clone() });
        }
        let (order, order_revision) = self.order.as_ref()?;
        let canaries = choose_canaries(&self.service, &nodes.ingress_nodes);
        let permits = policy.exposure_slack * policy.permit_fraction / canaries.len().max(1) as f64;
        Some(RolloutRecord {
            service: self.service.clone(),
            base_version: self.in_use.clone()?,
            target_version: order.target_version.clone(),
            order_revision: *order_revision,
            phase,
            canaries,
            permits_each: permits as u32,
            request_share: policy.exposure_share * policy.canary_share_fraction,
            spread_ms: (policy.trial_us(order) as f64 * policy.permit_spread_factor) as u64
                / US_PER_MS,
            elapsed_ms,
        })
    }
}

/// Returns the nodes that send requests to a version on trial, at most `MAX_CANARIES`.
fn choose_canaries(service: &str, ingress_nodes: &[EcoString]) -> Vec<EcoString> {
    let mut ranked = ingress_nodes.to_vec();
    ranked.sort_by_cached_key(|node| (hash_name(service) ^ hash_name(node)).wrapping_mul(RANK_MIX));
    ranked.truncate(MAX_CANARIES);
    ranked
}

/// The multiplier that mixes the combined hash of service and node, so that each service ranks the
/// nodes differently.
const RANK_MIX: u64 = 0x9e37_79b9_7f4a_7c15;
