//! A lane with virtual time and replicas that the test answers for.

#![allow(dead_code, clippy::unwrap_used, reason = "each test file uses its part")]

use ecow::{EcoString, eco_format};
use indexmap::{IndexMap, IndexSet};
use sassafrasproxy_core::{
    AttemptId, AttemptReport, AttemptResult, Lane, LaneConfiguration, LaneEffect, LaneEvent,
    LanePolicy, ReplicaSpec, StatusReport, Sub, SubKey,
};
use sassafrasproxy_wire::{EventKind, HeldSnapshot, SubOutcome, UpstreamState, UpstreamStatus};

pub const MS: u64 = 1_000;
pub const SNAPSHOT: u64 = 7;

/// A lane of three replicas `a`, `b`, `c` in domains of their own, all holding shard `s0`.
pub struct Bench {
    pub lane: Lane,
    pub now_us: u64,
    pub configuration: LaneConfiguration,
    /// Sends that have not ended, with their replica and sub-request.
    pub open: IndexMap<AttemptId, (EcoString, SubKey)>,
    pub replies: IndexMap<SubKey, SubOutcome>,
    /// Every send so far, as replica and sub-request.
    pub sends: Vec<(EcoString, SubKey)>,
    pub cancels: Vec<AttemptId>,
    pub probes: Vec<(EcoString, u64)>,
    pub condemned: Vec<EcoString>,
    pub quarantined: Vec<u64>,
    pub hand_overs: Vec<sassafrasproxy_wire::HandOver>,
    pub notes: Vec<EventKind>,
    pub boots: IndexMap<EcoString, u32>,
    next_key: u64,
}

impl Bench {
    /// A home whose replicas have been heard and warmed up to their full limit.
    pub fn warm() -> Self {
        let mut bench = Self::cold();
        bench.warm_up();
        bench
    }

    /// A home whose replicas have been heard but have run nothing.
    pub fn cold() -> Self {
        let mut bench = Self::unheard();
        bench.step(LaneEvent::BecomeHome { view_skew_us: 0 });
        for replica in ["a", "b", "c"] {
            bench.status(replica, UpstreamState::Serving);
        }
        bench
    }

    /// A lane that is not home yet and has heard nothing.
    pub fn unheard() -> Self {
        let spec = |name: &str| ReplicaSpec {
            address: name.into(),
            failure_domain: eco_format!("domain-{name}"),
            shards: ["s0".into()].into_iter().collect(),
        };
        let configuration = LaneConfiguration {
            group: "art/s0".into(),
            service: "art".into(),
            replicas: ["a", "b", "c"].map(spec).to_vec(),
            policy: LanePolicy::new(2, 8),
            domains_out: IndexSet::new(),
            leaving: IndexSet::new(),
        };
        Self {
            lane: Lane::new(configuration.clone()),
            now_us: 1_000 * MS,
            configuration,
            open: IndexMap::new(),
            replies: IndexMap::new(),
            sends: Vec::new(),
            cancels: Vec::new(),
            probes: Vec::new(),
            condemned: Vec::new(),
            quarantined: Vec::new(),
            hand_overs: Vec::new(),
            notes: Vec::new(),
            boots: ["a", "b", "c"].map(|name| (name.into(), 1)).into_iter().collect(),
            next_key: 0,
        }
    }

    /// Runs requests of 5 ms each until every replica serves at its full limit.
    pub fn warm_up(&mut self) {
        for _ in 0..2_000 {
            if self.lane.status().iter().all(|replica| replica.phase == "serving") {
                break;
            }
            // One for each replica, so that none waits and every latency is the same.
            for _ in 0..3 {
                self.submit();
            }
            self.pass(5 * MS);
            self.answer_all();
        }
        assert!(self.lane.status().iter().all(|replica| replica.limit == 2));
        self.sends.clear();
        self.notes.clear();
        self.replies.clear();
        self.condemned.clear();
    }

    /// Steps the lane and keeps its effects.
    pub fn step(&mut self, event: LaneEvent) {
        for effect in self.lane.step(self.now_us, event) {
            match effect {
                LaneEffect::Send { attempt, sub, replica } => {
                    self.sends.push((replica.clone(), sub));
                    self.open.insert(attempt, (replica, sub));
                }
                LaneEffect::Cancel { attempt } => self.cancels.push(attempt),
                LaneEffect::Reply { sub, outcome, .. } => {
                    let old = self.replies.insert(sub, outcome);
                    assert_eq!(old, None, "a sub-request is answered once");
                }
                LaneEffect::Condemn { replica } => self.condemned.push(replica),
                LaneEffect::Probe { replica, number } => self.probes.push((replica, number)),
                LaneEffect::Quarantined { fingerprint, .. } => self.quarantined.push(fingerprint),
                LaneEffect::HandOver(given) => self.hand_overs.push(given),
                LaneEffect::Publish => {}
                LaneEffect::Note { kind, .. } => self.notes.push(kind),
            }
        }
    }

    /// A search of its own that ends in 100 ms at the latest.
    pub fn sub(&mut self) -> Sub {
        self.next_key += 1;
        Sub {
            key: SubKey(self.next_key),
            shard: "s0".into(),
            snapshot: SNAPSHOT,
            is_idempotent: true,
            may_hedge: true,
            fingerprint: self.next_key,
            deadline_us: self.now_us + 100 * MS,
        }
    }

    pub fn submit(&mut self) -> SubKey {
        let sub = self.sub();
        self.submit_sub(sub)
    }

    pub fn submit_sub(&mut self, sub: Sub) -> SubKey {
        let key = sub.key;
        self.step(LaneEvent::Submit(sub));
        key
    }

    /// Submits until a sub-request goes to a replica, and returns that one.
    pub fn submit_at(&mut self, replica: &str) -> SubKey {
        loop {
            let key = self.submit();
            if self.replica_of(key) == replica {
                return key;
            }
        }
    }

    /// Lets time pass, with the lane's timers on the way.
    pub fn pass(&mut self, us: u64) {
        let end_us = self.now_us + us;
        while let Some(at_us) = self.lane.wake_us(self.now_us).filter(|at_us| *at_us <= end_us) {
            self.now_us = at_us.max(self.now_us + 1);
            self.step(LaneEvent::Timer);
        }
        self.now_us = end_us;
        self.step(LaneEvent::Timer);
    }

    /// The open send of a sub-request that started first.
    pub fn open_send(&self, sub: SubKey) -> AttemptId {
        *self.open.iter().find(|(_, (_, key))| *key == sub).expect("the send is open").0
    }

    /// The replica of a sub-request's open send.
    pub fn replica_of(&self, sub: SubKey) -> EcoString {
        self.open[&self.open_send(sub)].0.clone()
    }

    /// Ends a send, with the boot id that its replica has now.
    pub fn end(&mut self, attempt: AttemptId, result: AttemptResult) {
        let Some((replica, _)) = self.open.swap_remove(&attempt) else { return };
        let is_answer = !matches!(
            result,
            AttemptResult::ConnectFailed | AttemptResult::ConnectionLost | AttemptResult::TimedOut
        );
        let boot_id = is_answer.then(|| eco_format!("boot-{}", self.boots[&replica]));
        let report = AttemptReport { result, boot_id, is_draining: false };
        self.step(LaneEvent::Finished { attempt, report });
    }

    pub fn end_sub(&mut self, sub: SubKey, result: AttemptResult) {
        self.end(self.open_send(sub), result);
    }

    pub fn answer_all(&mut self) {
        while let Some(attempt) = self.open.keys().next().copied() {
            self.end(attempt, AttemptResult::Answered);
        }
    }

    /// Confirms every cancellation.
    pub fn confirm_cancels(&mut self) {
        for attempt in std::mem::take(&mut self.cancels) {
            if self.open.swap_remove(&attempt).is_some() {
                self.step(LaneEvent::Cancelled { attempt });
            }
        }
    }

    pub fn report(&self, replica: &str, state: UpstreamState) -> StatusReport {
        StatusReport::Read(UpstreamStatus {
            boot_id: eco_format!("boot-{}", self.boots[replica]),
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

    pub fn status(&mut self, replica: &str, state: UpstreamState) {
        let report = self.report(replica, state);
        self.step(LaneEvent::Status { replica: replica.into(), probe: None, report });
    }

    /// Answers every probe that is open: dead replicas are in `down`.
    pub fn answer_probes(&mut self, down: &[&str]) {
        for (replica, number) in std::mem::take(&mut self.probes) {
            let report = if down.contains(&replica.as_str()) {
                StatusReport::Unreachable
            } else {
                self.report(&replica, UpstreamState::Serving)
            };
            self.step(LaneEvent::Status { replica, probe: Some(number), report });
        }
    }

    /// Restarts a replica: what was open there is lost, and its boot id is a new one.
    pub fn restart(&mut self, replica: &str) {
        *self.boots.get_mut(replica).unwrap() += 1;
        let lost: Vec<AttemptId> = self
            .open
            .iter()
            .filter(|(_, (at, _))| at == replica)
            .map(|(attempt, _)| *attempt)
            .collect();
        for attempt in lost {
            self.end(attempt, AttemptResult::ConnectionLost);
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
        self.lane.status().into_iter().find(|replica| replica.address == name).unwrap()
    }
}
