//! A randomized soak: real gateway processes around stand-ins, faults from outside, and checks of
//! what callers and replicas see.

#![allow(clippy::unwrap_used, reason = "the soak is a test and fails by panicking")]

mod check;
mod fleet;
mod plan;

use std::path::Path;
use std::time::{Duration, Instant};

use eyre::Result;
use indexmap::IndexMap;

use crate::check::{Check, Tally};
use crate::fleet::Fleet;
use crate::plan::Plan;

/// What a soak plays.
#[derive(Debug, Clone, Copy)]
pub struct SoakSettings {
    /// Decides the plan; the same seed gives the same plan.
    pub seed: u64,
    /// How long faults come.
    pub seconds: u64,
    /// How many gateways run.
    pub nodes: usize,
}

/// What a soak found.
#[derive(Debug, Clone, Default)]
pub struct SoakReport {
    /// Broken promises, each with the request and what was seen.
    pub broken: Vec<String>,
    /// How many requests ended with each status; 0 where the connection ended without an answer.
    pub answers: IndexMap<u16, usize>,
}

/// The time between two requests of one caller.
const CALLER_PAUSE: Duration = Duration::from_millis(8);

/// How long after the last fault everything must work again.
///
/// Callers' connections that a fault silenced are given up after four seconds.
const RECOVERY: Duration = Duration::from_secs(5);

/// How long after its word a replica that leaves may get new work: the users' shortest bound.
const DRAIN: Duration = Duration::from_secs(3);

/// How many callers ask at a time.
const CALLERS: usize = 6;

/// Prints the plan, plays it against the binary and checks what was seen.
pub async fn soak(binary: &Path, settings: SoakSettings) -> Result<SoakReport> {
    let plan = Plan::draw(settings);
    println!("{plan}");
    let mut fleet = Fleet::start(binary, settings.nodes).await?;
    let check = Check::default();
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| tokio::spawn(check.clone().ask_on(caller, fleet.addresses(), CALLER_PAUSE)))
        .collect();
    let start = Instant::now();
    for step in plan.steps {
        tokio::time::sleep(step.at.saturating_sub(start.elapsed())).await;
        fleet.play(&step.fault).await?;
    }
    let end = Duration::from_secs(settings.seconds);
    tokio::time::sleep(end.saturating_sub(start.elapsed())).await;
    fleet.heal()?;
    tokio::time::sleep(RECOVERY).await;
    check.begin_calm();
    fleet.roll().await?;
    let is_late = fleet.drain(0, DRAIN).await;
    check.stop();
    for caller in callers {
        caller.await?;
    }
    let Tally { mut broken, answers } = check.tally();
    broken.extend(check.against_replicas(&fleet));
    if is_late {
        broken.push("a replica that leaves got new work for too long".into());
    }
    broken.extend(fleet.broken());
    Ok(SoakReport { broken, answers })
}
