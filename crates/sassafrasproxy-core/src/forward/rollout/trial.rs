//! Tracks the requests that one node sends to a version on trial, and counts the outcomes.

use ecow::EcoString;
use indexmap::{IndexMap, IndexSet};
use sassafrasproxy_wire::ReplicaEntry;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// The multiple of an answer's expected time that it may take, in addition to `SLOW_SLACK_US`,
/// without counting as slow.
const SLOW_FACTOR: u64 = 2;

/// The time that an answer may take in addition to the multiple, in microseconds.
///
/// A new connection and the node's own work take some milliseconds regardless of the version.
const SLOW_SLACK_US: u64 = 5_000;

/// The number of classes in which the replicas of a version are counted.
const REPLICA_CLASSES: u64 = 256;

/// The number of counts from which replicas are grouped into fewer classes, so that a report fits
/// in a datagram.
const MAX_FINE_COUNTS: usize = 40;

/// The number of classes of replicas once there are `MAX_FINE_COUNTS` counts, and for the version
/// in use.
const COARSE_REPLICA_CLASSES: u64 = 8;

/// The number of rounds after the first one in which permits are released.
///
/// The requests of a round are sent to the same replica as soon as they arrive, so that a version
/// that fails only under load shows it.
const LATER_ROUNDS: u64 = 3;

/// The number of classes in which the routes to a service are counted.
const ROUTE_CLASSES: u64 = 4;

/// The class in which a route's attempts are counted; classes bound the size of a report.
pub type RouteClass = u8;

/// Returns the class of a route.
pub fn route_class(route: &str) -> RouteClass {
    (xxh3_64(route.as_bytes()) % ROUTE_CLASSES) as RouteClass
}

/// The limits on the requests that this node may send to a version on trial.
#[derive(Debug, Clone, PartialEq)]
pub struct TrialGrant {
    /// The version on trial.
    pub version: EcoString,
    /// The order's revision in the store.
    pub order_revision: u64,
    /// The number of requests that the node may send, regardless of its own traffic.
    pub permits: u32,
    /// The number of additional requests for each request that the node sends to the service.
    pub ratio: f64,
    /// The time over which the permits are released in rounds, in microseconds, so that a version
    /// that turns bad later is still observed.
    pub spread_us: u64,
}

/// The outcome of an attempt, as far as the replica's version is concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TrialOutcome {
    /// The attempt was answered.
    Answered {
        /// The time from the attempt to the answer, in microseconds.
        took_us: u64,
    },
    /// The replica failed, or its answer was lost.
    Failed,
    /// The outcome says nothing about the version.
    Unknown,
}

/// The attempts on one class of replicas of one version, for one class of routes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TrialCount {
    /// Whether the version is the one on trial.
    pub is_on_trial: bool,
    /// The class of the replicas.
    pub replica_class: u8,
    /// The class of the routes; 0 for all routes of the version in use.
    pub route_class: RouteClass,
    /// The number of attempts that ended with an answer or a failure.
    pub ended: u32,
    /// The number of these that failed.
    pub failed: u32,
    /// The number of these that were answered slowly.
    pub slow: u32,
}

/// The counts of a node since it was granted a trial; each report replaces the earlier ones.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TrialReport {
    /// The order's revision in the store.
    pub order_revision: u64,
    /// The counts; no two have the same classes and version.
    pub counts: Vec<TrialCount>,
}

/// One node's part in a trial.
#[derive(Debug, Clone)]
pub struct Trial {
    grant: TrialGrant,
    started_us: u64,
    /// The number of first attempts on the service, regardless of the version.
    requests: u64,
    /// The number of attempts on the version on trial; never above `allowed_sends`.
    trial_sends: u64,
    counts: IndexMap<(bool, u8, RouteClass), TrialCount>,
    /// The classes of the routes on which attempts on any version have ended.
    route_classes: IndexSet<RouteClass>,
}

impl Trial {
    /// Creates a trial in which nothing has been sent.
    pub fn new(grant: TrialGrant, now_us: u64) -> Self {
        Self {
            grant,
            started_us: now_us,
            requests: 0,
            trial_sends: 0,
            counts: IndexMap::new(),
            route_classes: IndexSet::new(),
        }
    }

    /// Returns the limits on the requests that this node may send.
    pub fn grant(&self) -> &TrialGrant {
        &self.grant
    }

    /// Returns whether one more request may go to the version on trial now.
    pub fn may_send(&self, now_us: u64) -> bool {
        self.trial_sends < self.allowed_sends(now_us)
    }

    /// Returns whether one more request on a route of `class` may go to the version on trial now.
    ///
    /// The last available permit is kept for the routes on which the fewest attempts have ended, so
    /// that a version that fails on one route only is not missed because others used the permits.
    pub fn may_send_on(&self, now_us: u64, class: RouteClass) -> bool {
        match self.allowed_sends(now_us).saturating_sub(self.trial_sends) {
            0 => false,
            1 => self.is_least_tried(class),
            _ => true,
        }
    }

    /// Returns the round that the trial is in; each round uses another replica.
    pub fn round(&self, now_us: u64) -> u64 {
        let age_us = now_us.saturating_sub(self.started_us);
        age_us.saturating_mul(LATER_ROUNDS) / self.grant.spread_us.max(1)
    }

    /// Records the first attempt of a request to the service.
    pub fn record_request(&mut self) {
        self.requests += 1;
    }

    /// Records an attempt on the version on trial.
    pub fn record_send(&mut self) {
        self.trial_sends += 1;
    }

    /// Records the outcome of an attempt whose expected time is `expected_us`.
    pub fn record_end(
        &mut self,
        replica: &ReplicaEntry,
        route_class: RouteClass,
        expected_us: u64,
        outcome: TrialOutcome,
    ) {
        let (failed, slow) = match outcome {
            TrialOutcome::Answered { took_us } => {
                (0, u32::from(took_us > SLOW_FACTOR * expected_us + SLOW_SLACK_US))
            }
            TrialOutcome::Failed => (1, 0),
            TrialOutcome::Unknown => return,
        };
        self.route_classes.insert(route_class);
        let is_on_trial = replica.version == self.grant.version;
        let is_coarse = !is_on_trial || self.counts.len() >= MAX_FINE_COUNTS;
        let classes = if is_coarse { COARSE_REPLICA_CLASSES } else { REPLICA_CLASSES };
        let replica_class = (xxh3_64(replica.id.as_bytes()) % classes) as u8;
        let route_class = if is_on_trial { route_class } else { 0 };
        let count = self.counts.entry((is_on_trial, replica_class, route_class)).or_default();
        *count = TrialCount {
            is_on_trial,
            replica_class,
            route_class,
            ended: count.ended + 1,
            failed: count.failed + failed,
            slow: count.slow + slow,
        };
    }

    /// Returns the counts since the trial began.
    pub fn report(&self) -> TrialReport {
        TrialReport {
            order_revision: self.grant.order_revision,
            counts: self.counts.values().copied().collect(),
        }
    }

    /// Returns whether no class of routes has fewer ended attempts on the version on trial.
    fn is_least_tried(&self, class: RouteClass) -> bool {
        let tried = |class: RouteClass| -> u32 {
            let on_class = self.counts.values().filter(|count| count.route_class == class);
            on_class.filter(|count| count.is_on_trial).map(|count| count.ended).sum()
        };
        let tried_on_class = tried(class);
        self.route_classes.iter().all(|other| tried_on_class <= tried(*other))
    }

    /// Returns the maximum number of attempts on the version on trial that this node may have made
    /// by now.
    ///
    /// The first permit is available at once, and the others in equal parts at the start of each
    /// later round, the last one after `spread_us`.
    fn allowed_sends(&self, now_us: u64) -> u64 {
        let TrialGrant { permits, ratio, .. } = self.grant;
        let round = self.round(now_us).min(LATER_ROUNDS);
        let delayed = u64::from(permits.saturating_sub(1));
        let released = (delayed * round).div_ceil(LATER_ROUNDS);
        u64::from(permits.min(1)) + released + (ratio * self.requests as f64) as u64
    }
}
