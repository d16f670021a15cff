//! A randomized soak: real gateway processes around stand-ins, faults from outside, and checks of
//! what callers and replicas see.

#![allow(clippy::unwrap_used, reason = "the soak is a test and fails by panicking")]

mod checker;
mod cluster;
mod schedule;

use std::path::Path;
use std::time::{Duration, Instant};

use eyre::Result;
use indexmap::IndexMap;

use crate::checker::{CallerReport, Checker};
use crate::cluster::Cluster;
use crate::schedule::FaultSchedule;

/// What a soak plays.
#[derive(Debug, Clone, Copy)]
pub struct SoakSettings {
    /// Decides the plan; the same seed gives the same plan.
    pub seed: u64,
    /// How long faults come.
    pub duration_s: u64,
    /// How many gateways run.
    pub gateway_count: usize,
}

/// What a soak found.
#[derive(Debug, Clone, Default)]
pub struct SoakReport {
    /// Broken promises, each with the request and what was seen.
    pub violations: Vec<String>,
    /// How many requests ended with each status; 0 where the connection ended without an answer.
    pub status_counts: IndexMap<u16, usize>,
}

/// The time between two requests of one caller.
const CALLER_INTERVAL: Duration = Duration::from_millis(8);

/// How long after the last fault everything must work again.
///
/// Callers' connections that a fault silenced are given up after four seconds.
const RECOVERY_TIME: Duration = Duration::from_secs(5);

/// How long after its word a replica that leaves may get new work: the users' shortest bound.
const DRAIN_LIMIT: Duration = Duration::from_secs(3);

/// How many callers ask at a time.
const CALLER_COUNT: usize = 6;

/// Prints the plan, plays it against the binary and checks what was seen.
pub async fn run_soak(binary: &Path, settings: SoakSettings) -> Result<SoakReport> {
    let plan = FaultSchedule::generate(settings);
    println!("{plan}");
    let mut fleet = Cluster::start(binary, settings.gateway_count).await?;
    let check = Checker::default();
    let callers: Vec<_> = (0..CALLER_COUNT)
        .map(|caller| {
            tokio::spawn(check.clone().run_caller(caller, fleet.addresses(), CALLER_INTERVAL))
        })
        .collect();
    let start = Instant::now();
    for step in plan.faults {
        tokio::time::sleep(step.offset.saturating_sub(start.elapsed())).await;
        fleet.apply_fault(&step.fault).await?;
    }
    let end = Duration::from_secs(settings.duration_s);
    tokio::time::sleep(end.saturating_sub(start.elapsed())).await;
    fleet.clear_faults()?;
    tokio::time::sleep(RECOVERY_TIME).await;
    check.begin_planned_restarts();
    fleet.rolling_restart().await?;
    let is_late = fleet.gets_work_after_drain(0, DRAIN_LIMIT).await;
    check.stop();
    for caller in callers {
        caller.await?;
    }
    let CallerReport { violations: mut broken, status_counts: answers } = check.report();
    broken.extend(check.check_replicas(&fleet));
    if is_late {
        broken.push("a replica that leaves got new work for too long".into());
    }
    broken.extend(fleet.violations());
    Ok(SoakReport { violations: broken, status_counts: answers })
}
