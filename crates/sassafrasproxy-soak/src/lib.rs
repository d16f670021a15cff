//! A randomized soak test: runs real gateway processes against stand-ins, injects faults from
//! outside, and checks what callers and replicas see.

#![allow(clippy::unwrap_used, reason = "the soak is a test and fails by panicking")]

mod checker;
mod cluster;
mod crashing_request;
mod keys;
mod schedule;

use std::path::Path;
use std::time::{Duration, Instant};

use eyre::Result;
use indexmap::IndexMap;

use crate::checker::{CallerReport, Checker};
use crate::cluster::Cluster;
use crate::crashing_request::CrashingCaller;
use crate::schedule::FaultSchedule;

/// The settings of one soak.
#[derive(Debug, Clone, Copy)]
pub struct SoakSettings {
    /// The seed of the fault schedule; the same settings give the same schedule.
    pub seed: u64,
    /// The time during which faults are applied, in seconds.
    pub duration_s: u64,
    /// The number of gateways.
    pub gateway_count: usize,
}

/// The results of one soak.
#[derive(Debug, Clone, Default)]
pub struct SoakReport {
    /// The violations found, each with the request, if it concerns one, and what was seen.
    pub violations: Vec<String>,
    /// The number of requests that ended with each status; 0 stands for no answer.
    pub status_counts: IndexMap<u16, usize>,
}

/// The time between two requests of one caller.
const CALLER_INTERVAL: Duration = Duration::from_millis(8);

/// The time once all faults are cleared after which the newest configuration is in force everywhere.
const CONFIGURATION_LIMIT: Duration = Duration::from_secs(4);

/// The time that the system gets to recover once all faults are cleared.
///
/// It exceeds the four seconds after which callers give up on an answer.
const RECOVERY_TIME: Duration = Duration::from_secs(5);

/// The time for which a replica may still get new requests after it reports that it is draining.
///
/// This is the shortest bound that users set.
const DRAIN_LIMIT: Duration = Duration::from_secs(3);

/// The number of concurrent callers.
const CALLER_COUNT: usize = 6;

/// Prints the fault schedule, applies it to gateways that run `binary`, and returns the results.
///
/// Returns an error if a gateway can't be started or signalled, or if a caller's task panics.
pub async fn run_soak(binary: &Path, settings: SoakSettings) -> Result<SoakReport> {
    let schedule = FaultSchedule::generate(settings);
    println!("{schedule}");
    let mut cluster = Cluster::start(binary, settings.gateway_count).await?;
    let checker = Checker::default();
    let callers: Vec<_> = (0..CALLER_COUNT)
        .map(|caller| {
            tokio::spawn(checker.clone().run_caller(caller, cluster.addresses(), CALLER_INTERVAL))
        })
        .collect();
    let crashing_caller = CrashingCaller::default();
    let crashing_task = tokio::spawn(crashing_caller.clone().run(cluster.addresses()));
    let start = Instant::now();
    for scheduled in schedule.faults {
        tokio::time::sleep(scheduled.offset.saturating_sub(start.elapsed())).await;
        cluster.apply_fault(&scheduled.fault).await?;
    }
    let end = Duration::from_secs(settings.duration_s);
    tokio::time::sleep(end.saturating_sub(start.elapsed())).await;
    cluster.clear_faults()?;
    tokio::time::sleep(CONFIGURATION_LIMIT).await;
    let late_configurations = cluster.late_configurations();
    tokio::time::sleep(RECOVERY_TIME - CONFIGURATION_LIMIT).await;
    checker.begin_planned_restarts();
    cluster.rolling_restart().await?;
    let receives_requests = cluster.receives_requests_after_drain(0, DRAIN_LIMIT).await;
    checker.stop();
    crashing_caller.stop();
    crashing_task.await?;
    for caller in callers {
        caller.await?;
    }
    let CallerReport { mut violations, status_counts } = checker.report();
    violations.extend(checker.check_replicas(&cluster));
    violations.extend(crashing_caller.check(&cluster.crashing_replicas, &cluster.disturbances));
    if receives_requests {
        violations.push("a draining replica got new requests after the drain limit".into());
    }
    violations.extend(late_configurations);
    violations.extend(cluster.violations());
    Ok(SoakReport { violations, status_counts })
}
