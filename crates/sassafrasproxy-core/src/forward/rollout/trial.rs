//! What one node sends to a version on trial, and what comes back.

use ecow::EcoString;
use indexmap::IndexMap;
use sassafrasproxy_wire::ReplicaEntry;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// From how many times its usual time on an answer counts as slow.
const SLOW_FACTOR: u64 = 2;

/// How much longer it must take besides, in microseconds: a new connection and the node's own work take
/// some milliseconds whatever the version.
const SLOW_SLACK_US: u64 = 5_000;

/// In how many classes the replicas of a version are counted.
const REPLICA_CLASSES: u64 = 256;

/// From how many counts on the replicas share fewer classes, so that a report fits a datagram.
const MAX_FINE_COUNTS: usize = 48;

/// In how many classes they are counted then.
const COARSE_REPLICA_CLASSES: u64 = 8;

/// In how many classes the routes to a service are counted.
const ROUTE_CLASSES: u64 = 4;

/// The class in which a route's sends are counted, so that a report has a bounded size.
pub type RouteClass = u8;

/// The class of a route.
pub fn route_class(route: &str) -> RouteClass {
    (xxh3_64(route.as_bytes()) % ROUTE_CLASSES) as RouteClass
}

/// What this node may send to a version on trial.
#[derive(Debug, Clone, PartialEq)]
pub struct TrialGrant {
    /// The version on trial.
    pub version: EcoString,
    /// The store's revision of the order.
    pub order_revision: u64,
    /// How many sends, whatever else this node serves.
    pub permits: u32,
    /// How many more for each request that this node sends to the service.
    pub ratio: f64,
    /// Over how long the permits are spread, in microseconds, so that a version which turns bad
    /// later is still seen.
    pub spread_us: u64,
}

/// How a send ended, as far as its version is concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TrialOutcome {
    /// It was answered after a time, in microseconds.
    Answered {
        /// The time.
        took_us: u64,
    },
    /// The replica failed, or its answer is lost.
    Failed,
    /// It says nothing of the version.
    Unknown,
}

/// The sends to one class of replicas of one version, for one class of routes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TrialCount {
    /// Whether the version is the one on trial.
    pub is_on_trial: bool,
    /// The class of the replicas; 0 for all of the version that is in use.
    pub replica_class: u8,
    /// The class of the routes.
    pub route_class: RouteClass,
    /// How many ended with an answer or a failure.
    pub ended: u32,
    /// How many of these failed.
    pub failed: u32,
    /// How many of these were answered slowly.
    pub slow: u32,
}

/// What a node has counted since it was granted a trial; each report replaces the ones before.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TrialReport {
    /// The store's revision of the order.
    pub order_revision: u64,
    /// The counts; no two of the same classes and version.
    pub counts: Vec<TrialCount>,
}

/// One node's part in a trial.
#[derive(Debug, Clone)]
pub struct Trial {
    grant: TrialGrant,
    started_us: u64,
    /// First sends to the service, whatever the version.
    requests: u64,
    /// Sends to the version on trial; never above `allowed`.
    trial_sends: u64,
    counts: IndexMap<(bool, u8, RouteClass), TrialCount>,
}

impl Trial {
    /// A trial in which nothing was sent.
    pub fn new(grant: TrialGrant, now_us: u64) -> Self {
        Self { grant, started_us: now_us, requests: 0, trial_sends: 0, counts: IndexMap::new() }
    }

    /// What this node may send.
    pub fn grant(&self) -> &TrialGrant {
        &self.grant
    }

    /// Whether one more request may go to the version on trial now.
    pub fn may_send(&self, now_us: u64) -> bool {
        self.trial_sends < self.allowed_sends(now_us)
    }

    /// How many of this node's sends went to the version on trial.
    pub fn trial_sends(&self) -> u64 {
        self.trial_sends
    }

    /// Notes the first send of a request to the service.
    pub fn record_request(&mut self) {
        self.requests += 1;
    }

    /// Notes a send to the version on trial.
    pub fn record_send(&mut self) {
        self.trial_sends += 1;
    }

    /// Notes how a send ended whose usual time is `usual_us`.
    pub fn record_end(
        &mut self,
        replica: &ReplicaEntry,
        routes: RouteClass,
        usual_us: u64,
        outcome: TrialOutcome,
    ) {
        let (failed, slow) = match outcome {
            TrialOutcome::Answered { took_us } => {
                (0, u32::from(took_us > SLOW_FACTOR * usual_us + SLOW_SLACK_US))
            }
            TrialOutcome::Failed => (1, 0),
            TrialOutcome::Unknown => return,
        };
        let is_on_trial = replica.version == self.grant.version;
        let is_many = self.counts.len() >= MAX_FINE_COUNTS;
        let classes = if is_many { COARSE_REPLICA_CLASSES } else { REPLICA_CLASSES };
        let class = (xxh3_64(replica.id.as_bytes()) % classes) as u8;
        let replicas = if is_on_trial { class } else { 0 };
        let count = self.counts.entry((is_on_trial, replicas, routes)).or_default();
        *count = TrialCount {
            is_on_trial,
            replica_class: replicas,
            route_class: routes,
            ended: count.ended + 1,
            failed: count.failed + failed,
            slow: count.slow + slow,
        };
    }

    /// What was counted.
    pub fn report(&self) -> TrialReport {
        TrialReport {
            order_revision: self.grant.order_revision,
            counts: self.counts.values().copied().collect(),
        }
    }

    /// How many sends to the version on trial this node is allowed by now.
    fn allowed_sends(&self, now_us: u64) -> u64 {
        let TrialGrant { permits, ratio, spread_us, .. } = self.grant;
        let age_us = now_us.saturating_sub(self.started_us).min(spread_us);
        let later = u64::from(permits.saturating_sub(1));
        let by_age = u64::from(permits.min(1)) + later * age_us / spread_us.max(1);
        by_age + (ratio * self.requests as f64) as u64
    }
}
