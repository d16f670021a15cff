//! Whether a version on trial is worse than the one in use.

use indexmap::IndexMap;

use super::trial::{RouteClass, TrialCount, TrialReport};

/// How strong the evidence against a version must be to roll it back, as the logarithm of the odds.
const BAD_SCORE: f64 = 5.5;

/// How strong it must be when no time is left to see more: what is in doubt is not promoted.
const DOUBTFUL_SCORE: f64 = 3.5;

/// How weak it must be for a version to be promoted before that.
const SUSPICIOUS_SCORE: f64 = 2.0;

/// Which part of the evidence must come from other replicas than the worst, where there are others.
const MIN_OTHER_REPLICAS_FRACTION: f64 = 0.25;

/// By how much a bad version fails more often, at least.
const MIN_FAILURE_RATE_INCREASE: f64 = 0.2;

/// By how much a bad version is slow more often, at least.
const MIN_SLOW_RATE_INCREASE: f64 = 0.6;

/// The least rates of failed and slow answers that count as usual.
const MIN_FAILURE_RATE: f64 = 0.02;
const MIN_SLOW_RATE: f64 = 0.05;

/// So many ended sends weigh as much as the least rates, while few of the version in use are known.
const PRIOR_SENDS: f64 = 20.0;

/// The highest rate that the test reckons with.
const MAX_RATE: f64 = 0.98;

/// What the counts say of a version on trial.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TrialVerdict {
    /// Nothing speaks against it.
    Good,
    /// Something speaks against it; more should be seen.
    Suspicious,
    /// Too much speaks against it to promote it.
    Doubtful,
    /// It is bad.
    Bad,
}

/// Compares a version on trial with the one in use, by reports of some nodes.
///
/// A cumulative sum test (Page, Biometrika 1954) for each class of routes and for all together: each
/// send to the version on trial adds the logarithm of how much likelier its end is if the version is
/// bad, where the version in use tells what is usual at the same time. A sum never falls below 0,
/// so a version that turns bad late is found as soon as one that is bad at once.
#[derive(Debug, Clone, Default)]
pub struct TrialAnalysis {
    reports: IndexMap<String, TrialReport>,
    baseline: BaselineCounts,
    all: Evidence,
    by_route_class: IndexMap<RouteClass, Evidence>,
    ended: u64,
}

/// The evidence of some sends, as a whole and by class of replicas.
#[derive(Debug, Clone, Default)]
struct Evidence {
    overall: CusumScore,
    by_replica_class: IndexMap<u8, CusumScore>,
}

/// What ended in the version in use.
#[derive(Debug, Clone, Copy, Default)]
struct BaselineCounts {
    ended: f64,
    failed: f64,
    slow: f64,
}

/// The evidence of one class, never below 0.
#[derive(Debug, Clone, Copy, Default)]
struct CusumScore {
    failed: f64,
    slow: f64,
}

impl TrialAnalysis {
    /// Takes a node's report in.
    pub fn add_report(&mut self, node: &str, report: &TrialReport) {
        let before = self.reports.get(node).map_or_else(Vec::new, |known| known.counts.clone());
        if total_ended(&report.counts) < total_ended(&before) {
            // An older report that came late, or one of a later life of the node, which counts anew.
            return;
        }
        self.reports.insert(node.into(), report.clone());
        let news = report.counts.iter().map(|count| count_increase(count, &before));
        let (on_trial, in_use): (Vec<_>, Vec<_>) = news.partition(|count| count.is_on_trial);
        for count in in_use {
            self.baseline.ended += f64::from(count.ended);
            self.baseline.failed += f64::from(count.failed);
            self.baseline.slow += f64::from(count.slow);
        }
        for count in on_trial {
            self.add(&count);
        }
    }

    /// How many sends to the version on trial have ended.
    pub fn ended(&self) -> u64 {
        self.ended
    }

    /// How many of these failed or were slow, by the reports.
    pub fn bad(&self) -> u64 {
        let counts = self.reports.values().flat_map(|report| &report.counts);
        let bad = counts.filter(|count| count.is_on_trial);
        bad.map(|count| u64::from(count.failed + count.slow)).sum()
    }

    /// The strongest evidence against a version that so many replicas have, as the logarithm of the
    /// odds.
    pub fn score(&self, replicas: u32) -> f64 {
        let by_route = self.by_route_class.values().map(|evidence| evidence.max_score(replicas));
        by_route.fold(self.all.max_score(replicas), f64::max)
    }

    /// What the counts say of a version that so many replicas have.
    pub fn verdict(&self, replicas: u32) -> TrialVerdict {
        match self.score(replicas) {
            score if score >= BAD_SCORE => TrialVerdict::Bad,
            score if score >= DOUBTFUL_SCORE => TrialVerdict::Doubtful,
            score if score >= SUSPICIOUS_SCORE => TrialVerdict::Suspicious,
            _ => TrialVerdict::Good,
        }
    }

    fn add(&mut self, count: &TrialCount) {
        self.ended += u64::from(count.ended);
        let failed = self.baseline.rate(self.baseline.failed, MIN_FAILURE_RATE);
        let slow = self.baseline.rate(self.baseline.slow, MIN_SLOW_RATE);
        let failed =
            log_likelihood_ratio(count.ended, count.failed, failed, MIN_FAILURE_RATE_INCREASE);
        let slow = log_likelihood_ratio(
            count.ended - count.failed,
            count.slow,
            slow,
            MIN_SLOW_RATE_INCREASE,
        );
        for evidence in [&mut self.all, self.by_route_class.entry(count.route_class).or_default()] {
            evidence.overall.add(failed, slow);
            evidence.by_replica_class.entry(count.replica_class).or_default().add(failed, slow);
        }
    }
}

impl Evidence {
    /// The evidence for the likelier of the two ways to be bad.
    fn max_score(&self, replicas: u32) -> f64 {
        if replicas < 2 {
            return self.overall.failed.max(self.overall.slow);
        }
        let failed = self.version_score(self.overall.failed, |score| score.failed);
        failed.max(self.version_score(self.overall.slow, |score| score.slow))
    }

    /// What of the evidence is the version's.
    ///
    /// Guards against one replica that fails, crashes or is slow by itself, which says nothing of
    /// its version: evidence that nearly all comes from one of several replicas does not count.
    fn version_score(&self, whole: f64, of: impl Fn(&CusumScore) -> f64) -> f64 {
        let total: f64 = self.by_replica_class.values().map(&of).sum();
        let worst = self.by_replica_class.values().map(&of).fold(0.0, f64::max);
        let others = total - worst;
        if others >= MIN_OTHER_REPLICAS_FRACTION * total {
            whole
        } else {
            whole.min(others / MIN_OTHER_REPLICAS_FRACTION)
        }
    }
}

impl BaselineCounts {
    fn rate(&self, count: f64, least: f64) -> f64 {
        let rate = (count + least * PRIOR_SENDS) / (self.ended + PRIOR_SENDS);
        rate.max(least)
    }
}

impl CusumScore {
    fn add(&mut self, failed: f64, slow: f64) {
        self.failed = (self.failed + failed).max(0.0);
        self.slow = (self.slow + slow).max(0.0);
    }
}

/// How much likelier some ends are for a version that is bad, as a logarithm.
fn log_likelihood_ratio(ended: u32, bad: u32, usual: f64, more: f64) -> f64 {
    let usual = usual.min(MAX_RATE - more);
    let if_bad = (usual + more).min(MAX_RATE);
    let good = f64::from(ended - bad);
    f64::from(bad) * (if_bad / usual).ln() + good * ((1.0 - if_bad) / (1.0 - usual)).ln()
}

fn total_ended(counts: &[TrialCount]) -> u64 {
    counts.iter().map(|count| u64::from(count.ended)).sum()
}

/// What a count has beyond the one of the same classes in an earlier report.
fn count_increase(count: &TrialCount, before: &[TrialCount]) -> TrialCount {
    let is_same = |one: &&TrialCount| {
        (one.is_on_trial, one.replica_class, one.route_class)
            == (count.is_on_trial, count.replica_class, count.route_class)
    };
    let known = before.iter().find(is_same).copied().unwrap_or_default();
    let ended = count.ended.saturating_sub(known.ended);
    let failed = count.failed.saturating_sub(known.failed).min(ended);
    let slow = count.slow.saturating_sub(known.slow).min(ended - failed);
    TrialCount { ended, failed, slow, ..*count }
}
