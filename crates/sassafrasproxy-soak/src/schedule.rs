//! The faults of a soak, drawn from its seed.

use std::fmt::{self, Display, Formatter};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::SoakSettings;

/// Faults a second, on the average.
const FAULTS_PER_S: f64 = 2.5;

/// All faults in order.
#[derive(Debug, Clone)]
pub struct FaultSchedule {
    seed: u64,
    /// Each with the time from the start.
    pub faults: Vec<ScheduledFault>,
}

/// One fault at a time.
#[derive(Debug, Clone)]
pub struct ScheduledFault {
    /// From the start.
    pub offset: Duration,
    /// The fault.
    pub fault: Fault,
}

/// What happens; gateways and replicas by number.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// A gateway is killed and starts again.
    Kill(usize),
    /// A gateway stands still or goes on.
    Pause(usize),
    Resume(usize),
    /// A gateway is told to end, and starts again once it has.
    Terminate(usize),
    /// A gateway is told that its settings changed.
    Hangup(usize),
    /// A replica answers late, fails, sheds, falls silent, answers others' requests, or is sound.
    ReplicaSlow(usize),
    ReplicaFails(usize),
    ReplicaSheds(usize),
    ReplicaSilent(usize),
    ReplicaCrosses(usize),
    ReplicaSound(usize),
    /// A replica says that it leaves, is not listed any more, or is listed.
    ReplicaDrains(usize),
    ReplicaUnlisted(usize),
    ReplicaListed(usize),
    /// The way to a replica delays, loses requests or answers, or is sound.
    WayDelays(usize),
    WayLosesRequests(usize),
    WayLosesAnswers(usize),
    WaySound(usize),
    /// The open connections to a replica are reset, or carry nothing any more.
    WayReset(usize),
    WaySilenced(usize),
    /// A gateway's way to the store loses answers, has its open connections silenced, or is sound.
    StoreWayCut(usize),
    StoreWaySilenced(usize),
    StoreWaySound(usize),
    /// The way to a gateway's relay port delays, loses asks or replies, or is sound.
    RelayWayDelays(usize),
    RelayWayLosesAsks(usize),
    RelayWayLosesReplies(usize),
    RelayWaySound(usize),
    /// The open connections to it are reset, or carry nothing any more.
    RelayWayReset(usize),
    RelayWaySilenced(usize),
    /// A new configuration is written.
    Configure,
    /// The store refuses, falls silent, loses its answers, forgets its history, or is sound.
    StoreRefuses,
    StoreSilent,
    StoreLosesAnswers,
    StoreForgets,
    StoreSound,
}

impl FaultSchedule {
    /// Draws the plan of a seed.
    pub fn generate(settings: SoakSettings) -> Self {
        let mut rng = StdRng::seed_from_u64(settings.seed);
        let end_ms = settings.duration_s * 1_000;
        let mut steps = Vec::new();
        let mut at_ms = 0;
        loop {
            at_ms += rng.random_range(1..=(2_000.0 / FAULTS_PER_S) as u64);
            if at_ms >= end_ms {
                return Self { seed: settings.seed, faults: steps };
            }
            let node = rng.random_range(0..settings.gateway_count);
            let replica = rng.random_range(0..crate::cluster::REPLICA_COUNT);
            let fault = match rng.random_range(0..45) {
                0 => Fault::Kill(node),
                1 => Fault::Pause(node),
                2 | 3 => Fault::Resume(node),
                4 => Fault::Terminate(node),
                5 => Fault::Hangup(node),
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
                34 => Fault::StoreWayCut(node),
                35 => Fault::StoreWaySilenced(node),
                36 | 37 => Fault::StoreWaySound(node),
                38 => Fault::RelayWayDelays(node),
                39 => Fault::RelayWayLosesAsks(node),
                40 => Fault::RelayWayLosesReplies(node),
                41 => Fault::RelayWayReset(node),
                42 => Fault::RelayWaySilenced(node),
                _ => Fault::RelayWaySound(node),
            };
            steps.push(ScheduledFault { offset: Duration::from_millis(at_ms), fault });
        }
    }
}

impl Display for FaultSchedule {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "seed {}:", self.seed)?;
        for step in &self.faults {
            write!(f, " {}ms {:?}", step.offset.as_millis(), step.fault)?;
        }
        Ok(())
    }
}
