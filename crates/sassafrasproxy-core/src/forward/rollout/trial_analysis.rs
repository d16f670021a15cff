//! Tests whether a version on trial is worse than the version in use.

use indexmap::IndexMap;

use super::trial::{RouteClass, TrialCount, TrialReport};

/// The score from which a version is rolled back, as a log-likelihood ratio.
const BAD_SCORE: f64 = 5.5;

/// The score from which a version is rolled back when no time is left to observe it further: an
/// inconclusive trial does not lead to promotion.
const INCONCLUSIVE_SCORE: f64 = 4.0;

/// The score below which a version may be promoted before the time is up.
const SUSPICIOUS_SCORE: f64 = 2.9;

/// The score of a single replica from which the other replicas must be observed further.
const REPLICA_SCORE: f64 = 4.0;

/// The minimum number of attempts on the other replicas that must have ended since a replica's
/// first failure, so that they show whether the version or only that replica is bad.
const MIN_ATTEMPTS_ON_OTHERS: u32 = 8;

/// The minimum fraction of the evidence for failures that must come from replicas other than the
/// worst one, if there are others.
const MIN_OTHERS_FAILED_FRACTION: f64 = 0.4;

/// The same for slow answers; greater, because a pause of a replica delays many answers at once.
const MIN_OTHERS_SLOW_FRACTION: f64 = 0.5;

/// The minimum increase of the failure rate in a bad version.
const MIN_FAILURE_RATE_INCREASE: f64 = 0.12;

/// The minimum increase of the rate of slow answers in a bad version.
const MIN_SLOW_RATE_INCREASE: f64 = 0.6;

/// The lowest baseline rate of failed attempts that the test assumes.
const MIN_FAILURE_RATE: f64 = 0.007;

/// The lowest baseline rate of slow answers that the test assumes.
const MIN_SLOW_RATE: f64 = 0.06;

/// The rate of failed attempts that is assumed while none on the version in use have ended.
const PRIOR_FAILURE_RATE: f64 = 0.02;

/// The weight of the assumed rates in the baseline, as a number of ended attempts, so that the
/// baseline is stable while few attempts on the version in use have ended.
const PRIOR_ATTEMPTS: f64 = 40.0;

/// The minimum number of failures of a replica of the version in use that is left out of the
/// baseline.
const MIN_OUTLIER_FAILURES: f64 = 3.0;

/// The minimum number of attempts on the other replicas of the version in use without which none is
/// left out of the baseline.
const MIN_OTHERS_ENDED: f64 = 10.0;

/// The ratio of its failure rate to that of the other replicas above which a replica of the version
/// in use is left out of the baseline.
const MIN_OUTLIER_RATIO: f64 = 4.0;

/// The highest rate that the test assumes, so that its logarithms stay finite.
const MAX_RATE: f64 = 0.98;

/// The verdict on a version on trial.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TrialVerdict {
    /// There is no relevant evidence against it.
    Good,
    /// One replica is bad, and too few attempts on the others have ended since to tell whether the
    /// version is.
    Unresolved,
    /// There is some evidence against it; it should be observed for longer.
    Suspicious,
    /// There is too much evidence against it to promote it.
    Inconclusive,
    /// It is bad and must be rolled back.
    Bad,
}

/// Compares a version on trial with the version in use by the reports of the canaries.
///
/// Runs a cumulative sum test (Page, Biometrika 1954) for each class of routes and for all routes
/// together. The outcome of each attempt on the version on trial adds the logarithm of how much
/// likelier the outcome is if the version is bad; the baseline is the version in use at the same
/// time. A sum never falls below 0, so that a version that turns bad late is detected as fast as
/// one that is bad from the start.
#[derive(Debug, Clone, Default)]
pub struct TrialAnalysis {
    reports: IndexMap<String, TrialReport>,
    /// The attempts on the version in use, by class of replicas.
    baseline: IndexMap<u8, BaselineCounts>,
    all_routes: Evidence,
    by_route_class: IndexMap<RouteClass, Evidence>,
    ended: u64,
}

/// The evidence of a set of attempts, in total and by class of replicas.
#[derive(Debug, Clone, Default)]
struct Evidence {
    overall: CusumScore,
    by_replica_class: IndexMap<u8, ReplicaEvidence>,
}

/// The evidence of the attempts on one class of replicas.
#[derive(Debug, Clone, Copy, Default)]
struct ReplicaEvidence {
    score: CusumScore,
    /// The number of attempts on other replicas that have ended since `score` was last 0.
    ended_on_others: u32,
}

/// The attempts on the version in use that have ended.
#[derive(Debug, Clone, Copy, Default)]
struct BaselineCounts {
    ended: f64,
    failed: f64,
    slow: f64,
}

/// The cumulative sums for failed and for slow attempts; never below 0.
#[derive(Debug, Clone, Copy, Default)]
struct CusumScore {
    failed: f64,
    slow: f64,
}

impl TrialAnalysis {
    /// Adds a node's report.
    ///
    /// A report replaces the earlier ones of its node, so only its increase is counted.
    pub fn add_report(&mut self, node: &str, report: &TrialReport) {
        let before = self.reports.get(node).map_or_else(Vec::new, |earlier| earlier.counts.clone());
        if total_ended(&report.counts) < total_ended(&before) {
            // Either an older report that arrived late, or a report of a later incarnation of the
            // node, whose counts start again at 0.
            return;
        }
        self.reports.insert(node.into(), report.clone());
        let increases = report.counts.iter().map(|count| count_increase(count, &before));
        let (on_trial, in_use): (Vec<_>, Vec<_>) = increases.partition(|count| count.is_on_trial);
        for count in in_use {
            self.baseline.entry(count.replica_class).or_default().add(&count);
        }
        for count in on_trial {
            self.add(&count);
        }
    }

    /// Returns the number of attempts on the version on trial that have ended.
    pub fn ended(&self) -> u64 {
        self.ended
    }

    /// Returns the number of ended attempts on the version on trial that failed or were slow,
    /// according to the latest reports.
    pub fn bad(&self) -> u64 {
        let counts = self.reports.values().flat_map(|report| &report.counts);
        let on_trial = counts.filter(|count| count.is_on_trial);
        on_trial.map(|count| u64::from(count.failed + count.slow)).sum()
    }

    /// Returns the strongest evidence against the version on trial, as a log-likelihood ratio.
    ///
    /// `replicas` is the number of the version's replicas.
    pub fn score(&self, replicas: u32) -> f64 {
        let by_route = self.by_route_class.values().map(|evidence| evidence.max_score(replicas));
        by_route.fold(self.all_routes.max_score(replicas), f64::max)
    }

    /// Returns the verdict on the version on trial, which has `replicas` replicas.
    pub fn verdict(&self, replicas: u32) -> TrialVerdict {
        match self.score(replicas) {
            score if score >= BAD_SCORE => TrialVerdict::Bad,
            score if score >= INCONCLUSIVE_SCORE => TrialVerdict::Inconclusive,
            _ if replicas > 1 && self.all_routes.is_unresolved() => TrialVerdict::Unresolved,
            score if score >= SUSPICIOUS_SCORE => TrialVerdict::Suspicious,
            _ => TrialVerdict::Good,
        }
    }

    fn add(&mut self, count: &TrialCount) {
        self.ended += u64::from(count.ended);
        let baseline = self.total_baseline();
        let failure_rate = baseline.rate(baseline.failed, PRIOR_FAILURE_RATE).max(MIN_FAILURE_RATE);
        let slow_rate = baseline.rate(baseline.slow, MIN_SLOW_RATE).max(MIN_SLOW_RATE);
        let failed = log_likelihood_ratio(
            count.ended,
            count.failed,
            failure_rate,
            MIN_FAILURE_RATE_INCREASE,
        );
        let slow = log_likelihood_ratio(
            count.ended - count.failed,
            count.slow,
            slow_rate,
            MIN_SLOW_RATE_INCREASE,
        );
        for evidence in
            [&mut self.all_routes, self.by_route_class.entry(count.route_class).or_default()]
        {
            evidence.add(count, failed, slow);
        }
    }

    /// Returns the attempts on the version in use, without those on a replica that fails for its
    /// own reasons.
    ///
    /// Otherwise, a replica of the old version that fails a part of its requests would make a bad
    /// version look no worse than the old one.
    fn total_baseline(&self) -> BaselineCounts {
        let total = self.baseline.values().fold(BaselineCounts::default(), BaselineCounts::plus);
        let by_failures =
            |one: &&BaselineCounts, other: &&BaselineCounts| one.failed.total_cmp(&other.failed);
        let Some(worst) = self.baseline.values().max_by(by_failures) else { return total };
        let others = total.minus(worst);
        let is_outlier = worst.failed >= MIN_OUTLIER_FAILURES
            && others.ended >= MIN_OTHERS_ENDED
            && worst.failed / worst.ended
                > MIN_OUTLIER_RATIO * others.rate(others.failed, PRIOR_FAILURE_RATE);
        if is_outlier { others } else { total }
    }
}

impl Evidence {
    fn add(&mut self, count: &TrialCount, failed: f64, slow: f64) {
        self.overall.add(failed, slow);
        self.by_replica_class.entry(count.replica_class).or_default().score.add(failed, slow);
        for (class, replica) in &mut self.by_replica_class {
            if replica.score.max() <= 0.0 {
                replica.ended_on_others = 0;
            } else if *class != count.replica_class {
                replica.ended_on_others += count.ended;
            }
        }
    }

    /// Returns whether a replica is bad and the others were hardly tried since.
    fn is_unresolved(&self) -> bool {
        self.by_replica_class.values().any(|replica| {
            replica.score.max() >= REPLICA_SCORE && replica.ended_on_others < MIN_ATTEMPTS_ON_OTHERS
        })
    }

    /// Returns the stronger of the evidence for failures and the evidence for slowness.
    fn max_score(&self, replicas: u32) -> f64 {
        if replicas < 2 {
            return self.overall.failed.max(self.overall.slow);
        }
        let failed = self
            .version_score(self.overall.failed, MIN_OTHERS_FAILED_FRACTION, |score| score.failed);
        let slow =
            self.version_score(self.overall.slow, MIN_OTHERS_SLOW_FRACTION, |score| score.slow);
        failed.max(slow)
    }

    /// Returns the part of the evidence that is attributed to the version.
    ///
    /// Prevents a rollback because a single replica fails, crashes or is slow for its own reasons:
    /// if nearly all evidence comes from one of several replicas, it is capped in proportion to the
    /// evidence of the others.
    fn version_score(
        &self,
        overall: f64,
        min_others_fraction: f64,
        score_of: impl Fn(&CusumScore) -> f64,
    ) -> f64 {
        let scores = || self.by_replica_class.values().map(|replica| score_of(&replica.score));
        let total: f64 = scores().sum();
        let others = total - scores().fold(0.0, f64::max);
        if others >= min_others_fraction * total {
            overall
        } else {
            overall.min(others / min_others_fraction)
        }
    }
}

impl BaselineCounts {
    fn add(&mut self, count: &TrialCount) {
        self.ended += f64::from(count.ended);
        self.failed += f64::from(count.failed);
        self.slow += f64::from(count.slow);
    }

    fn plus(self, other: &Self) -> Self {
        Self {
            ended: self.ended + other.ended,
            failed: self.failed + other.failed,
            slow: self.slow + other.slow,
        }
    }

    fn minus(self, other: &Self) -> Self {
        Self {
            ended: self.ended - other.ended,
            failed: self.failed - other.failed,
            slow: self.slow - other.slow,
        }
    }

    /// Returns the rate of `count` among the ended attempts, smoothed with a prior rate.
    fn rate(&self, count: f64, prior_rate: f64) -> f64 {
        (count + prior_rate * PRIOR_ATTEMPTS) / (self.ended + PRIOR_ATTEMPTS)
    }
}

impl CusumScore {
    fn max(self) -> f64 {
        self.failed.max(self.slow)
    }

    fn add(&mut self, failed: f64, slow: f64) {
        self.failed = (self.failed + failed).max(0.0);
        self.slow = (self.slow + slow).max(0.0);
    }
}

/// Returns the logarithm of how much likelier `bad` of `ended` outcomes are if the version is bad.
///
/// `baseline_rate` is the rate of bad outcomes in a good version, which a bad one exceeds by
/// `increase`.
fn log_likelihood_ratio(ended: u32, bad: u32, baseline_rate: f64, increase: f64) -> f64 {
    let good_rate = baseline_rate.min(MAX_RATE - increase);
    let bad_rate = (good_rate + increase).min(MAX_RATE);
    let good = f64::from(ended - bad);
    f64::from(bad) * (bad_rate / good_rate).ln()
        + good * ((1.0 - bad_rate) / (1.0 - good_rate)).ln()
}

fn total_ended(counts: &[TrialCount]) -> u64 {
    counts.iter().map(|count| u64::from(count.ended)).sum()
}

/// Returns the increase of a count over that of the same classes in an earlier report.
fn count_increase(count: &TrialCount, before: &[TrialCount]) -> TrialCount {
    let is_same_class = |one: &&TrialCount| {
        (one.is_on_trial, one.replica_class, one.route_class)
            == (count.is_on_trial, count.replica_class, count.route_class)
    };
    let earlier = before.iter().find(is_same_class).copied().unwrap_or_default();
    let ended = count.ended.saturating_sub(earlier.ended);
    let failed = count.failed.saturating_sub(earlier.failed).min(ended);
    let slow = count.slow.saturating_sub(earlier.slow).min(ended - failed);
    TrialCount { ended, failed, slow, ..*count }
}
