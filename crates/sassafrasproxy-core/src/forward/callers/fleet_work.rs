//! Measures the work of requests on the ingress nodes, and combines what nodes report of it.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

/// The work of level 1, in thousandths of a core.
const FIRST_LEVEL_MILLIS: f64 = 100.0;

/// The number of levels in which the work doubles.
///
/// A step is so small that it changes the set of ingress nodes by a few nodes only.
const LEVELS_PER_DOUBLING: f64 = 8.0;

/// The highest level, 1.5 million cores; bounds what a malformed report can claim.
const MAX_LEVEL: u8 = 192;

/// The time for which a level holds after it was last measured, in microseconds.
///
/// Callers reconnect when their addresses change, so the set of ingress nodes does not follow
/// each pause of the traffic.
const HOLD_US: u64 = 20_000_000;

/// The time between two steps to lower levels after that, in microseconds.
const STEP_US: u64 = 2_000_000;

/// The unit of the time in a report, in microseconds.
const REPORT_UNIT_US: u64 = 100_000;

/// The processor time that a counted send takes a node, in microseconds.
///
/// Half of what a part takes (`docs/CAPACITY.md`), as the node that the caller asked and the relay
/// both count it. Sends are counted instead of the processor time of the process, which also
/// contains work that more ingress nodes would not share.
const SEND_WORK_US: u64 = 30;

/// The minimum time between two samples of a node's sends, in microseconds.
const SAMPLE_INTERVAL_US: u64 = 1_000_000;

/// The number of samples over which the work is averaged.
///
/// Short enough to follow a rise of the traffic, long enough for a burst of some seconds to pass
/// without more ingress nodes.
const MAX_SAMPLES: usize = 6;

/// The number of samples for which an earlier, smaller number of ingress nodes counts.
///
/// Callers keep their addresses for some seconds after the set has grown, so the work of a node does
/// not fall at once. Multiplied by the new number, it would make the set grow without bound.
const MAX_COUNTS: usize = 20;

/// The work of requests on all ingress nodes together, as a coarse level that nodes agree on by
/// reporting the highest.
///
/// Answers a load that a few ingress nodes cannot carry: the level rises at once when a node
/// measures more, and falls step by step when no node has measured it for a while. A report has a
/// constant size.
#[derive(Debug, Clone, Default)]
pub struct FleetWork {
    level: u8,
    /// The time at which the level falls by one unless it is measured again.
    falls_us: u64,
}

/// What a node reports of the work on all ingress nodes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct WorkReport {
    /// The level; 0 if nothing has been measured.
    pub level: u8,
    /// The time until the level falls by one, in tenths of a second.
    pub falls_in: u16,
}

impl FleetWork {
    /// Records the work that this node has measured or assumes, in thousandths of a core.
    pub fn record(&mut self, now_us: u64, work_millis: u32) {
        self.advance(now_us);
        self.raise(level_of(work_millis), now_us + HOLD_US);
    }

    /// Records the report of a peer.
    pub fn record_report(&mut self, now_us: u64, report: WorkReport) {
        self.advance(now_us);
        if report.falls_in == 0 {
            return;
        }
        let falls_in_us = (u64::from(report.falls_in) * REPORT_UNIT_US).min(HOLD_US);
        self.raise(report.level.min(MAX_LEVEL), now_us + falls_in_us);
    }

    /// Lowers the level to that of the processor time of all nodes, in thousandths of a core.
    ///
    /// The work cannot exceed it, and without the bound a wrong report would hold for longer than a
    /// right one.
    pub fn limit(&mut self, all_nodes_millis: u32) {
        self.level = self.level.min(level_of(all_nodes_millis));
    }

    /// Lowers the level if it was not measured again in time.
    pub fn advance(&mut self, now_us: u64) {
        while self.level > 0 && self.falls_us <= now_us {
            self.level -= 1;
            self.falls_us += STEP_US;
        }
    }

    /// Returns the report for peers.
    pub fn report(&self, now_us: u64) -> WorkReport {
        let mut current = self.clone();
        current.advance(now_us);
        // Rounded down, so that a report that nodes send to each other gets older.
        let falls_in = current.falls_us.saturating_sub(now_us) / REPORT_UNIT_US;
        WorkReport { level: current.level, falls_in: u16::try_from(falls_in).unwrap_or(u16::MAX) }
    }

    /// Returns the work of the current level, in thousandths of a core; 0 if nothing is known.
    pub fn work_millis(&self) -> u32 {
        level_millis(self.level)
    }

    /// Returns the work of the current level or of the level of `assumed_millis`, whichever is
    /// higher, in thousandths of a core.
    pub fn work_millis_or(&self, assumed_millis: u32) -> u32 {
        level_millis(self.level.max(level_of(assumed_millis)))
    }

    fn raise(&mut self, level: u8, falls_us: u64) {
        if (level, falls_us) > (self.level, self.falls_us) {
            (self.level, self.falls_us) = (level, falls_us);
        }
    }
}

/// Returns the lowest level with at least the given work.
fn level_of(work_millis: u32) -> u8 {
    let level = (f64::from(work_millis) / FIRST_LEVEL_MILLIS).log2() * LEVELS_PER_DOUBLING;
    // A value below the first level, also minus infinity, becomes level 1.
    (level.ceil() + 1.0).clamp(1.0, f64::from(MAX_LEVEL)) as u8
}

/// Returns the work of a level, in thousandths of a core.
fn level_millis(level: u8) -> u32 {
    match level.checked_sub(1) {
        Some(steps) => {
            (FIRST_LEVEL_MILLIS * (f64::from(steps) / LEVELS_PER_DOUBLING).exp2()).ceil() as u32
        }
        None => 0,
    }
}

/// Estimates the work on all ingress nodes from the sends of this one.
#[derive(Debug, Clone, Default)]
pub struct WorkMeter {
    /// The time in microseconds and the number of sends until then, oldest first.
    samples: VecDeque<(u64, u64)>,
    /// The number of ingress nodes at the last samples, oldest first.
    ingress_counts: VecDeque<usize>,
}

impl WorkMeter {
    /// Returns whether a sample is due.
    pub fn is_due(&self, now_us: u64) -> bool {
        self.samples.back().is_none_or(|(at_us, _)| at_us + SAMPLE_INTERVAL_US <= now_us)
    }

    /// Records the number of sends to replicas and relayed sends since the start of the process,
    /// and the present number of ingress nodes.
    ///
    /// Returns the average work of the last seconds on all ingress nodes, in thousandths of a core;
    /// 0 until it has been measured for long enough.
    pub fn record(&mut self, now_us: u64, sends: u64, ingress_count: usize) -> u32 {
        self.samples.push_back((now_us, sends));
        self.ingress_counts.push_back(ingress_count);
        if self.ingress_counts.len() > MAX_COUNTS {
            self.ingress_counts.pop_front();
        }
        if self.samples.len() <= MAX_SAMPLES {
            return 0;
        }
        let Some((first_us, first_sends)) = self.samples.pop_front() else { return 0 };
        let used_us = sends.saturating_sub(first_sends) * SEND_WORK_US;
        let count = self.ingress_counts.iter().min().copied().unwrap_or(0) as u64;
        let work_millis = used_us * 1_000 * count / (now_us - first_us).max(1);
        u32::try_from(work_millis).unwrap_or(u32::MAX)
    }
}
