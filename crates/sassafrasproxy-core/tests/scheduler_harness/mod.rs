//! A scheduler with virtual time, whose replicas are simulated by the test.

#![allow(dead_code, clippy::unwrap_used, reason = "each test file uses a part of it")]

use ecow::{EcoString, eco_format};
use indexmap::{IndexMap, IndexSet};
use sassafrasproxy_core::{
    AttemptId, AttemptReport, AttemptResult, ReplicaSpec, Scheduler, SchedulerConfiguration,
    SchedulerEffect, SchedulerEvent, SchedulerPolicy, StatusReport, SubRequestId, SubRequestSpec,
};
use sassafrasproxy_wire::{
    HeldSnapshot, SubRequestOutcome, TimelineEventKind, UpstreamState, UpstreamStatus,
};

/// One millisecond, in microseconds.
pub const MS: u64 = 1_000;
pub const SNAPSHOT: u64 = 7;

/// A scheduler of three replicas `a`, `b` and `c`, each in its own failure domain and holding shard
/// `s0`.
pub struct SchedulerHarness {
    pub scheduler: Scheduler,
    pub now_us: u64,
    pub configuration: SchedulerConfiguration,
    /// Attempts that have not ended, with their replica and sub-request.
    pub open_attempts: IndexMap<AttemptId, (EcoString, SubRequestId)>,
    pub replies: IndexMap<SubRequestId, SubRequestOutcome>,
    /// Every attempt so far, as replica and sub-request.
    pub attempts: Vec<(EcoString, SubRequestId)>,
    pub cancels: Vec<AttemptId>,
    pub probes: Vec<(EcoString, u64)>,
    pub retired_connections: Vec<EcoString>,
    pub quarantined: Vec<u64>,
    pub hand_overs: Vec<sassafrasproxy_wire::HandOver>,
    pub events: Vec<TimelineEventKind>,
    pub boot_numbers: IndexMap<EcoString, u32>,
    next_id: u64,
}

impl SchedulerHarness {
    /// Creates a home whose replicas have reported a status and warmed up to their full limit.
    pub fn warm() -> Self {
        let mut harness = Self::cold();
        harness.warm_up();
        harness
    }

    /// Creates a home whose replicas have reported a status but have run nothing.
    pub fn cold() -> Self {
        let mut harness = Self::without_status();
        harness.step(SchedulerEvent::BecomeHome { view_skew_us: 0 });
        for replica in ["a", "b", "c"] {
            harness.report_status(replica, UpstreamState::Serving);
        }
        harness
    }

    /// Creates a scheduler that is not home yet and has no replica status.
    pub fn without_status() -> Self {
        let spec = |name: &str| ReplicaSpec {
            address: name.into(),
            failure_domain: eco_format!("domain-{name}"),
            shards: ["s0".into()].into_iter().collect(),
        };
        let configuration = SchedulerConfiguration {
            group: "art/s0".into(),
            service: "art".into(),
            replicas: ["a", "b", "c"].map(spec).to_vec(),
            policy: SchedulerPolicy::new(2, 8),
            domains_out: IndexSet::new(),
            leaving_upstreams: IndexSet::new(),
        };
        Self {
            scheduler: Scheduler::new(configuration.clone()),
            now_us: 1_000 * MS,
            configuration,
            open_attempts: IndexMap::new(),
            replies: IndexMap::new(),
            attempts: Vec::new(),
            cancels: Vec::new(),
            probes: Vec::new(),
            retired_connections: Vec::new(),
            quarantined: Vec::new(),
            hand_overs: Vec::new(),
            events: Vec::new(),
            boot_numbers: ["a", "b", "c"].map(|name| (name.into(), 1)).into_iter().collect(),
            next_id: 0,
        }
    }

    /// Runs requests of 5 ms each until every replica serves at its full limit.
    pub fn warm_up(&mut self) {
        for _ in 0..2_000 {
            if self.scheduler.replica_statuses().iter().all(|replica| replica.phase == "serving") {
                break;
            }
            // One for each replica, so that none waits and all latencies are equal.
            for _ in 0..3 {
                self.submit();
            }
            self.advance(5 * MS);
            self.answer_all();
        }
        assert!(self.scheduler.replica_statuses().iter().all(|replica| replica.limit == 2));
        self.attempts.clear();
        self.events.clear();
        self.replies.clear();
        self.retired_connections.clear();
    }

    /// Passes an event to the scheduler and records the effects.
    pub fn step(&mut self, event: SchedulerEvent) {
        for effect in self.scheduler.step(self.now_us, event) {
            match effect {
                SchedulerEffect::Send { attempt, sub_request, replica } => {
                    self.attempts.push((replica.clone(), sub_request));
                    self.open_attempts.insert(attempt, (replica, sub_request));
                }
                SchedulerEffect::Cancel { attempt } => self.cancels.push(attempt),
                SchedulerEffect::Reply { sub_request, outcome, .. } => {
                    let old_reply = self.replies.insert(sub_request, outcome);
                    assert_eq!(old_reply, None, "a sub-request is answered once");
                }
                SchedulerEffect::RetireConnections { replica } => {
                    self.retired_connections.push(replica);
                }
                SchedulerEffect::Probe { replica, probe_id } => {
                    self.probes.push((replica, probe_id));
                }
                SchedulerEffect::AnnounceQuarantine { fingerprint, .. } => {
                    self.quarantined.push(fingerprint);
                }
                SchedulerEffect::SendHandOver(hand_over) => self.hand_overs.push(hand_over),
                SchedulerEffect::PublishHoldings => {}
                SchedulerEffect::RecordEvent { kind, .. } => self.events.push(kind),
            }
        }
    }

    /// Returns a new search with its own fingerprint and a deadline in 100 ms.
    pub fn new_spec(&mut self) -> SubRequestSpec {
        self.next_id += 1;
        SubRequestSpec {
            id: SubRequestId(self.next_id),
            shard: "s0".into(),
            snapshot: SNAPSHOT,
            is_idempotent: true,
            may_hedge: true,
            fingerprint: self.next_id,
            deadline_us: self.now_us + 100 * MS,
        }
    }

    pub fn submit(&mut self) -> SubRequestId {
        let spec = self.new_spec();
        self.submit_spec(spec)
    }

    pub fn submit_spec(&mut self, spec: SubRequestSpec) -> SubRequestId {
        let id = spec.id;
        self.step(SchedulerEvent::Submit(spec));
        id
    }

    /// Submits sub-requests until one is sent to `replica`, and returns that one.
    pub fn submit_to(&mut self, replica: &str) -> SubRequestId {
        loop {
            let id = self.submit();
            if self.replica_of(id) == replica {
                return id;
            }
        }
    }

    /// Advances the time and fires the scheduler's timers on the way.
    pub fn advance(&mut self, us: u64) {
        let end_us = self.now_us + us;
        while let Some(at_us) =
            self.scheduler.next_timer_us(self.now_us).filter(|at_us| *at_us <= end_us)
        {
            self.now_us = at_us.max(self.now_us + 1);
            self.step(SchedulerEvent::Timer);
        }
        self.now_us = end_us;
        self.step(SchedulerEvent::Timer);
    }

    /// Returns the open attempt of a sub-request that started first.
    pub fn first_open_attempt(&self, sub_request: SubRequestId) -> AttemptId {
        *self
            .open_attempts
            .iter()
            .find(|(_, (_, id))| *id == sub_request)
            .expect("the sub-request has an open attempt")
            .0
    }

    /// Returns the replica of a sub-request's first open attempt.
    pub fn replica_of(&self, sub_request: SubRequestId) -> EcoString {
        self.open_attempts[&self.first_open_attempt(sub_request)].0.clone()
    }

    /// Ends an attempt; an answer carries the replica's current boot id.
    pub fn end_attempt(&mut self, attempt: AttemptId, result: AttemptResult) {
        let Some((replica, _)) = self.open_attempts.swap_remove(&attempt) else { return };
        let is_answer = !matches!(
            result,
            AttemptResult::ConnectFailed | AttemptResult::ConnectionLost | AttemptResult::TimedOut
        );
        let boot_id = is_answer.then(|| eco_format!("boot-{}", self.boot_numbers[&replica]));
        let report = AttemptReport { result, boot_id, is_draining: false };
        self.step(SchedulerEvent::Finished { attempt, report });
    }

    pub fn end_first_attempt(&mut self, sub_request: SubRequestId, result: AttemptResult) {
        self.end_attempt(self.first_open_attempt(sub_request), result);
    }

    pub fn answer_all(&mut self) {
        while let Some(attempt) = self.open_attempts.keys().next().copied() {
            self.end_attempt(attempt, AttemptResult::Answered);
        }
    }

    /// Confirms every cancellation.
    pub fn confirm_cancels(&mut self) {
        for attempt in std::mem::take(&mut self.cancels) {
            if self.open_attempts.swap_remove(&attempt).is_some() {
                self.step(SchedulerEvent::Cancelled { attempt });
            }
        }
    }

    pub fn status_report(&self, replica: &str, state: UpstreamState) -> StatusReport {
        StatusReport::Read(UpstreamStatus {
            boot_id: eco_format!("boot-{}", self.boot_numbers[replica]),
            state,
            load: 0,
            slots: 2,
            snapshots: vec![HeldSnapshot {
                id: SNAPSHOT,
                shards: vec!["s0".into()],
                layout: vec!["s0".into()],
            }],
        })
    }

    pub fn report_status(&mut self, replica: &str, state: UpstreamState) {
        let report = self.status_report(replica, state);
        self.step(SchedulerEvent::Status { replica: replica.into(), probe_id: None, report });
    }

    /// Answers every open probe; the replicas in `down` are unreachable.
    pub fn answer_probes(&mut self, down: &[&str]) {
        for (replica, probe_id) in std::mem::take(&mut self.probes) {
            let report = if down.contains(&replica.as_str()) {
                StatusReport::Unreachable
            } else {
                self.status_report(&replica, UpstreamState::Serving)
            };
            self.step(SchedulerEvent::Status { replica, probe_id: Some(probe_id), report });
        }
    }

    /// Restarts a replica: its open attempts lose their connection and its boot id changes.
    pub fn restart(&mut self, replica: &str) {
        *self.boot_numbers.get_mut(replica).unwrap() += 1;
        let lost: Vec<AttemptId> = self
            .open_attempts
            .iter()
            .filter(|(_, (at, _))| at == replica)
            .map(|(attempt, _)| *attempt)
            .collect();
        for attempt in lost {
            self.end_attempt(attempt, AttemptResult::ConnectionLost);
        }
    }

    pub fn phase(&self, replica: &str) -> EcoString {
        self.replica(replica).phase
    }

    pub fn limit(&self, replica: &str) -> u32 {
        self.replica(replica).limit
    }

    pub fn in_flight(&self, replica: &str) -> u32 {
        self.replica(replica).in_flight
    }

    fn replica(&self, name: &str) -> sassafrasproxy_wire::ReplicaStatus {
        self.scheduler
            .replica_statuses()
            .into_iter()
            .find(|replica| replica.address == name)
            .unwrap()
    }
}
