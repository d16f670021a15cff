//! When a roll-out goes on, ends or is rolled back.

use ecow::EcoString;
use indexmap::IndexMap;

use super::order::{RolloutOrder, RolloutPhase, RolloutRecord};
use super::trial::TrialReport;
use super::trial_analysis::{TrialAnalysis, TrialVerdict};
use crate::{US_PER_MS, hash_name};

/// How many nodes send to a version on trial at the most.
const MAX_CANARIES: usize = 16;

/// The part of the period by which a good version should be completed.
const COMPLETION_FRACTION: f64 = 0.77;

/// How long the writes of the last two steps may take, in microseconds.
const WRITE_SLACK_US: u64 = 1_000_000;

/// How fresh the reports of all canaries must be to promote, in microseconds.
const MAX_REPORT_AGE_US: u64 = 2_500_000;

/// How long a step is left to each node that decides before the next, in microseconds.
const RANK_DELAY_US: u64 = 700_000;

/// The pause before a write that had no visible effect is made again, in microseconds.
const WRITE_RETRY_US: u64 = 500_000;

/// What the operators allow a bad version, and how a trial uses it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RolloutPolicy {
    /// The part of all requests to the service that a bad version may get.
    pub exposure_share: f64,
    /// How many requests it may get besides.
    pub exposure_slack: f64,
    /// The part of the fixed exposure that is granted as permits.
    ///
    /// The rest is for sends of a promoted version that turns out bad before it is completed.
    pub permit_fraction: f64,
    /// The part of the exposure by share that canaries may use, for the same reason.
    pub canary_share_fraction: f64,
    /// The part of the period after which a version that nothing speaks against is promoted.
    ///
    /// As late as the period allows: a version may turn bad only after a while.
    pub trial_fraction: f64,
    /// Over how many times the usual trial permits are spread, so that a longer one has some, too.
    pub permit_spread_factor: f64,
    /// How long after its promotion a version is completed, in microseconds: by then all nodes have
    /// heard of it, and their last requests to the old version have ended.
    pub settle_us: u64,
}

impl RolloutPolicy {
    /// The usual use of what the operators allow.
    pub fn new(exposure_share: f64, exposure_slack: f64) -> Self {
        Self {
            exposure_share,
            exposure_slack,
            permit_fraction: 0.9,
            canary_share_fraction: 0.3,
            trial_fraction: 0.6,
            permit_spread_factor: 1.3,
            settle_us: 1_200_000,
        }
    }

    /// How long a trial may last if something speaks against the version, in microseconds.
    fn max_trial_us(&self, order: &RolloutOrder) -> u64 {
        (order.period_ms * US_PER_MS).saturating_sub(self.settle_us + WRITE_SLACK_US)
    }

    /// How long a trial lasts, in microseconds from the order.
    fn trial_us(&self, order: &RolloutOrder) -> u64 {
        let period_us = order.period_ms * US_PER_MS;
        let end_us = (period_us as f64 * COMPLETION_FRACTION) as u64;
        let latest_us = end_us.saturating_sub(self.settle_us + WRITE_SLACK_US);
        latest_us.min((period_us as f64 * self.trial_fraction) as u64)
    }
}

/// What is known of one service's roll-out.
#[derive(Debug, Clone, PartialEq)]
pub struct RolloutState {
    /// The service.
    pub service: EcoString,
    /// The order, with its revision in the store; `None` if there is none any more.
    pub order: Option<(RolloutOrder, u64)>,
    /// The newest record, with its revision in the store.
    pub record: Option<(RolloutRecord, u64)>,
    /// The version that is in use.
    pub in_use: Option<EcoString>,
    /// The open replicas of each version.
    pub versions: IndexMap<EcoString, VersionReplicas>,
    /// Whether the configuration or any replica names the service.
    pub is_known: bool,
    /// Whether the roll-out was stopped on all nodes before the record says so.
    pub is_stopped: bool,
}

/// The open replicas of one version.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct VersionReplicas {
    /// How many there are.
    pub count: u32,
    /// How many requests they run at once, together.
    pub slots: u32,
}

/// What the decider asks its shell to do.
#[derive(Debug, Clone, PartialEq)]
pub enum RolloutEffect {
    /// Write a record, if the one in the store still has the revision; 0 for none.
    Write {
        /// The record.
        record: RolloutRecord,
        /// The revision.
        expected_revision: u64,
    },
    /// Tell all nodes at once to leave the version on trial.
    Stop {
        /// The store's revision of the order.
        order_revision: u64,
    },
}

/// What the decider found that is worth a log line.
#[derive(Debug, Clone, PartialEq)]
pub enum RolloutLogEvent {
    /// An order names a service that nobody knows.
    UnknownService {
        /// The service.
        service: EcoString,
    },
    /// A record is about to be written.
    PhaseChange {
        /// The service.
        service: EcoString,
        /// The version to move to.
        target_version: EcoString,
        /// How far the roll-out comes.
        phase: RolloutPhase,
        /// How much of the period is over, in milliseconds.
        elapsed_ms: u64,
        /// Ended sends to the version.
        ended: u64,
        /// Those that failed or were slow.
        bad: u64,
        /// The evidence against the version, as the logarithm of the odds.
        score: f64,
    },
}

/// Decides on all roll-outs; every node has one, and that of one node acts.
///
/// Two that act at once cannot contradict each other: each step is written on the condition that
/// the record is the one that the step follows.
#[derive(Debug, Default)]
pub struct RolloutCoordinator {
    services: IndexMap<EcoString, ObservedRollout>,
    log_events: Vec<RolloutLogEvent>,
}

/// One service's roll-out, as this node has seen it.
#[derive(Debug)]
struct ObservedRollout {
    order_revision: u64,
    order_seen_us: u64,
    record_revision: u64,
    record_seen_us: u64,
    analysis: TrialAnalysis,
    /// When each canary's last report came.
    last_report_us: IndexMap<EcoString, u64>,
    /// What is to be done, and since when.
    pending_step: (NextStep, u64),
    next_write_us: u64,
    is_unknown_reported: bool,
}

/// What the decider needs to know of the nodes.
#[derive(Debug, Clone, Default)]
pub struct RolloutNodes {
    /// The nodes that are alive and that callers are sent to.
    pub ingress_nodes: Vec<EcoString>,
    /// This node's place among the few that may decide; the first decides, and each other one only
    /// what those before it leave undone.
    pub rank: Option<usize>,
}

/// What follows for one service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum NextStep {
    Nothing,
    Write(RolloutPhase),
    StopAndRollBack,
}

impl RolloutCoordinator {
    /// Takes a report of a canary in.
    pub fn add_report(&mut self, now_us: u64, node: &EcoString, report: &TrialReport) {
        let of_order =
            |watched: &&mut ObservedRollout| watched.order_revision == report.order_revision;
        let Some(watched) = self.services.values_mut().find(of_order) else { return };
        watched.analysis.add_report(node, report);
        watched.last_report_us.insert(node.clone(), now_us);
    }

    /// Looks at all roll-outs, and returns what to do.
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
            let watched = self.observe(now_us, state);
            let next = watched.next_step(now_us, state, nodes, policy);
            if watched.pending_step.0 != next {
                watched.pending_step = (next, now_us);
            }
            let due_us = watched.pending_step.1.max(watched.next_write_us);
            let turn_us = nodes.rank.map(|rank| due_us + rank as u64 * RANK_DELAY_US);
            if turn_us.is_some_and(|turn_us| now_us >= turn_us) {
                effects.extend(self.perform_step(now_us, state, nodes, policy, next));
            }
        }
        effects
    }

    /// The notes since the last call.
    pub fn take_log_events(&mut self) -> Vec<RolloutLogEvent> {
        std::mem::take(&mut self.log_events)
    }

    /// Notes what is new of a service, with when it was seen.
    fn observe(&mut self, now_us: u64, state: &RolloutState) -> &mut ObservedRollout {
        let order_revision = state.running_order_revision();
        let watched = self
            .services
            .entry(state.service.clone())
            .or_insert_with(|| ObservedRollout::new(order_revision, now_us));
        if order_revision > watched.order_revision {
            *watched = ObservedRollout::new(order_revision, now_us);
        }
        let record_revision = state.record.as_ref().map_or(0, |(_, revision)| *revision);
        if record_revision > watched.record_revision {
            watched.record_revision = record_revision;
            watched.record_seen_us = now_us;
            watched.next_write_us = now_us;
        }
        watched
    }

    fn perform_step(
        &mut self,
        now_us: u64,
        state: &RolloutState,
        nodes: &RolloutNodes,
        policy: &RolloutPolicy,
        next: NextStep,
    ) -> Vec<RolloutEffect> {
        let watched = &mut self.services[&state.service];
        let phase = match next {
            NextStep::Nothing => {
                let is_unknown = state.order.is_some() && !state.is_known;
                if is_unknown && !std::mem::replace(&mut watched.is_unknown_reported, true) {
                    let service = state.service.clone();
                    self.log_events.push(RolloutLogEvent::UnknownService { service });
                }
                return Vec::new();
            }
            NextStep::Write(phase) => phase,
            NextStep::StopAndRollBack => RolloutPhase::RolledBack,
        };
        let Some(record) =
            state.record_for_phase(phase, nodes, policy, watched.elapsed_us(now_us, state))
        else {
            return Vec::new();
        };
        watched.next_write_us = now_us + WRITE_RETRY_US;
        self.log_events.push(RolloutLogEvent::PhaseChange {
            service: record.service.clone(),
            target_version: record.target_version.clone(),
            phase,
            elapsed_ms: record.elapsed_ms,
            ended: watched.analysis.ended(),
            bad: watched.analysis.bad(),
            score: watched.analysis.score(state.replicas(&record.target_version).count),
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

    /// How much of the period is over, in microseconds, as far as this node and the record tell.
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
            RolloutPhase::Promoted if now_us >= self.record_seen_us + policy.settle_us => {
                NextStep::Write(RolloutPhase::Completed)
            }
            RolloutPhase::Trial => {
                let elapsed_us = self.elapsed_us(now_us, state);
                let is_last_moment = elapsed_us >= policy.max_trial_us(order);
                let is_over = elapsed_us >= policy.trial_us(order);
                let may_promote =
                    state.has_enough_slots(record) && self.has_fresh_reports(now_us, record, nodes);
                match verdict {
                    TrialVerdict::Good if is_over && may_promote => {
                        NextStep::Write(RolloutPhase::Promoted)
                    }
                    TrialVerdict::Suspicious if is_last_moment && may_promote => {
                        NextStep::Write(RolloutPhase::Promoted)
                    }
                    TrialVerdict::Doubtful if is_last_moment => NextStep::StopAndRollBack,
                    TrialVerdict::Good
                    | TrialVerdict::Suspicious
                    | TrialVerdict::Doubtful
                    | TrialVerdict::Bad => NextStep::Nothing,
                }
            }
            RolloutPhase::Promoted | RolloutPhase::Completed | RolloutPhase::RolledBack => {
                NextStep::Nothing
            }
        }
    }

    /// Whether all canaries that are alive have reported lately.
    ///
    /// Guards against promoting a version of whose failures the reports did not come.
    fn has_fresh_reports(&self, now_us: u64, record: &RolloutRecord, nodes: &RolloutNodes) -> bool {
        let mut alive =
            record.canaries.iter().filter(|canary| nodes.ingress_nodes.contains(canary));
        alive.all(|canary| {
            self.last_report_us
                .get(canary)
                .is_some_and(|heard_us| now_us < heard_us + MAX_REPORT_AGE_US)
        })
    }
}

impl RolloutState {
    /// Whether anything is left to decide.
    pub fn is_running(&self) -> bool {
        match self.running_record() {
            Some(record) => !record.phase.is_final(),
            None => self.order.is_some(),
        }
    }

    /// The record of the order that is in force, if there is one.
    pub fn running_record(&self) -> Option<&RolloutRecord> {
        let (record, _) = self.record.as_ref()?;
        let Some((order, revision)) = &self.order else { return Some(record) };
        let is_same = record.target_version == order.target_version && !record.phase.is_final();
        (record.order_revision == *revision || is_same).then_some(record)
    }

    /// The revision of the order that is in force.
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

    /// Whether the new version's replicas bear what the old one's do, or nearly.
    fn has_enough_slots(&self, record: &RolloutRecord) -> bool {
        let target = self.replicas(&record.target_version).slots;
        target > 0 && 2 * target >= self.replicas(&record.base_version).slots
    }

    fn replicas(&self, version: &str) -> VersionReplicas {
        self.versions.get(version).copied().unwrap_or_default()
    }

    /// The record for a phase; `None` if there is nothing that it could follow.
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

/// The nodes that send to a version on trial; few, however many nodes there are.
fn choose_canaries(service: &str, senders: &[EcoString]) -> Vec<EcoString> {
    let mut ranked = senders.to_vec();
    ranked.sort_by_cached_key(|node| (hash_name(service) ^ hash_name(node)).wrapping_mul(RANK_MIX));
    ranked.truncate(MAX_CANARIES);
    ranked
}

/// Spreads the combined hash of service and node, so that services rank the nodes differently.
const RANK_MIX: u64 = 0x9e37_79b9_7f4a_7c15;
