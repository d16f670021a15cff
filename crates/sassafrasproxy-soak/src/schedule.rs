//! Draws the faults of a soak at random from its seed.

use std::fmt::{self, Display, Formatter};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::SoakSettings;

/// The average number of faults per second.
const FAULTS_PER_S: f64 = 2.5;

/// The faults of one soak.
#[derive(Debug, Clone)]
pub struct FaultSchedule {
    seed: u64,
    /// The faults, in ascending order of `offset`.
    pub faults: Vec<ScheduledFault>,
}

/// A fault and the time at which it is applied.
#[derive(Debug, Clone)]
pub struct ScheduledFault {
    /// The time since the start of the soak.
    pub offset: Duration,
    pub fault: Fault,
}

/// A fault, or the end of one; gateways and replicas are given by their index.
///
/// The variants with `Way` concern the proxies on the paths between processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// A gateway gets SIGKILL and is restarted.
    Kill(usize),
    /// A gateway is paused with SIGSTOP.
    Pause(usize),
    /// A gateway is resumed with SIGCONT.
    Resume(usize),
    /// A gateway gets SIGTERM and is restarted once it has exited.
    Terminate(usize),
    /// A gateway gets SIGHUP, which makes it reload its settings.
    Hangup(usize),
    /// A replica answers slowly.
    ReplicaSlow(usize),
    /// A replica fails its requests.
    ReplicaFails(usize),
    /// A replica sheds its requests.
    ReplicaSheds(usize),
    /// A replica doesn't answer.
    ReplicaSilent(usize),
    /// A replica answers with a wrong attempt id.
    ReplicaCrosses(usize),
    /// A replica works normally again.
    ReplicaSound(usize),
    /// A replica is registered as draining.
    ReplicaDrains(usize),
    /// A replica is deregistered.
    ReplicaUnlisted(usize),
    /// A replica is registered as ready.
    ReplicaListed(usize),
    /// The path to a replica delays data.
    WayDelays(usize),
    /// The path to a replica drops requests.
    WayLosesRequests(usize),
    /// The path to a replica drops answers.
    WayLosesAnswers(usize),
    /// The path to a replica works normally again.
    WaySound(usize),
    /// The open connections to a replica are reset.
    WayReset(usize),
    /// The open connections to a replica stall.
    WaySilenced(usize),
    /// A gateway's path to the store drops answers.
    StoreWayCut(usize),
    /// A gateway's open connections to the store stall.
    StoreWaySilenced(usize),
    /// A gateway's path to the store works normally again.
    StoreWaySound(usize),
    /// The path to a gateway's relay port delays data.
    RelayWayDelays(usize),
    /// The path to a gateway's relay port drops relay calls.
    RelayWayLosesAsks(usize),
    /// The path to a gateway's relay port drops replies.
    RelayWayLosesReplies(usize),
    /// The path to a gateway's relay port works normally again.
    RelayWaySound(usize),
    /// The open connections to a gateway's relay port are reset.
    RelayWayReset(usize),
    /// The open connections to a gateway's relay port stall.
    RelayWaySilenced(usize),
    /// A new configuration is published.
    Configure,
    /// The store refuses calls.
    StoreRefuses,
    /// The store doesn't answer.
    StoreSilent,
    /// The store applies requests but answers neither writes nor watches.
    StoreLosesAnswers,
    /// The store discards its history, so watches from earlier revisions must list again.
    StoreForgets,
    /// The store works normally again.
    StoreSound,
}

impl FaultSchedule {
    /// Generates the schedule from the seed, duration and gateway count of the settings.
    pub fn generate(settings: SoakSettings) -> Self {
        let mut rng = StdRng::seed_from_u64(settings.seed);
        let end_ms = settings.duration_s * 1_000;
        let mut faults = Vec::new();
        let mut offset_ms = 0;
        loop {
            offset_ms += rng.random_range(1..=(2_000.0 / FAULTS_PER_S) as u64);
            if offset_ms >= end_ms {
                return Self { seed: settings.seed, faults };
            }
            let gateway = rng.random_range(0..settings.gateway_count);
            let replica = rng.random_range(0..crate::cluster::REPLICA_COUNT);
            let fault = match rng.random_range(0..45) {
                0 => Fault::Kill(gateway),
                1 => Fault::Pause(gateway),
                2 | 3 => Fault::Resume(gateway),
                4 => Fault::Terminate(gateway),
                5 => Fault::Hangup(gateway),
                6 => Fault::ReplicaSlow(replica),
                7 => Fault::ReplicaFails(replica),
                8 => Fault::ReplicaSheds(replica),
                9 => Fault::ReplicaSilent(replica),
                10 => Fault::ReplicaCrosses(replica),
                11..=14 => Fault::ReplicaSound(replica),
                15 => Fault::ReplicaDrains(replica),
                16 => Fault::ReplicaUnlisted(replica),
                17 | 18 => Fault::ReplicaListed(replica),
                19 => Fault::Configure,
                20 => Fault::StoreRefuses,
                21 => Fault::StoreSilent,
                22 => Fault::StoreLosesAnswers,
                23 => Fault::StoreForgets,
                24 | 25 => Fault::StoreSound,
                26 => Fault::WayDelays(replica),
                27 => Fault::WayLosesRequests(replica),
                28 => Fault::WayLosesAnswers(replica),
                29..=31 => Fault::WaySound(replica),
                32 => Fault::WayReset(replica),
                33 => Fault::WaySilenced(replica),
                34 => Fault::StoreWayCut(gateway),
                35 => Fault::StoreWaySilenced(gateway),
                36 | 37 => Fault::StoreWaySound(gateway),
                38 => Fault::RelayWayDelays(gateway),
                39 => Fault::RelayWayLosesAsks(gateway),
                40 => Fault::RelayWayLosesReplies(gateway),
                41 => Fault::RelayWayReset(gateway),
                42 => Fault::RelayWaySilenced(gateway),
                _ => Fault::RelayWaySound(gateway),
            };
            faults.push(ScheduledFault { offset: Duration::from_millis(offset_ms), fault });
        }
    }
}

impl Display for FaultSchedule {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "seed {}:", self.seed)?;
        for scheduled in &self.faults {
            write!(f, " {}ms {:?}", scheduled.offset.as_millis(), scheduled.fault)?;
        }
        Ok(())
    }
}
