//! The processes and stand-ins of a soak, and how faults are played on them.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use eyre::Result;
use nix::sys::signal::Signal;
use sassafrasproxy_platform_standin::{
    DeclaredRoute, DeclaredTarget, FaultProxy, FaultProxyMode, GatewayProcess, ReplicaMode,
    ReplicaStandIn, StoreMode, StoreStandIn,
};
use serde_json::json;

use crate::plan::Fault;

/// How many shards the gathered route has; two replicas each, and two of the single service.
pub const SHARDS: usize = 4;

/// How many replicas there are.
pub const REPLICAS: usize = 2 * SHARDS + 2;

/// What operators let a bad version of the single service get: a share of all requests to it, and so
/// many besides.
const EXPOSURE_SHARE: f64 = 0.1;
const EXPOSURE_SLACK: f64 = 50.0;

/// How long the operators give the roll-out that every soak has, in seconds.
const ROLLOUT_PERIOD_S: f64 = 12.0;

/// How long a slow replica takes, in milliseconds.
const SLOW_MS: u64 = 80;

/// How much longer a delaying way takes in each direction, in milliseconds.
const DELAY_MS: u64 = 30;

/// Where each gateway serves callers at the moment.
pub type Addresses = Arc<Mutex<Vec<SocketAddr>>>;

/// Everything that runs.
pub struct Fleet {
    binary: PathBuf,
    store: StoreStandIn,
    pub replicas: Vec<ReplicaStandIn>,
    /// Replicas of the single service with a new version, which fails every second request.
    pub bad_version: Vec<ReplicaStandIn>,
    /// From the gateways to each replica.
    ways: Vec<FaultProxy>,
    /// From each gateway to the store.
    store_ways: Vec<FaultProxy>,
    /// From the other gateways to each gateway's relay port.
    relay_ways: Vec<FaultProxy>,
    gateways: Vec<GatewayProcess>,
    addresses: Addresses,
    version: u64,
    broken: Vec<String>,
}

impl Fleet {
    /// Starts the gateways over sound replicas and waits until all know the configuration.
    pub async fn start(binary: &Path, nodes: usize) -> Result<Self> {
        let replicas = (0..REPLICAS).map(|at| {
            let service = if at < 2 * SHARDS { format!("shard-{}", at / 2) } else { "desk".into() };
            ReplicaStandIn::start(&format!("r{at}"), &service, record(at as u8))
        });
        let replicas: Vec<ReplicaStandIn> = replicas.collect();
        let bad_version = ["n0", "n1"].map(|id| {
            let replica = ReplicaStandIn::start(id, "desk", record(2 * SHARDS as u8));
            replica.set_mode(ReplicaMode::FailingEveryNth(2));
            replica.with_version("v2")
        });
        let store = StoreStandIn::start();
        let mut fleet = Self {
            binary: binary.to_path_buf(),
            ways: replicas.iter().map(|replica| FaultProxy::start(replica.address())).collect(),
            store_ways: (0..nodes).map(|_| FaultProxy::start(store.address())).collect(),
            // Each leads to its gateway once that has started.
            relay_ways: (0..nodes).map(|_| FaultProxy::start(store.address())).collect(),
            store,
            replicas,
            bad_version: bad_version.into(),
            gateways: Vec::new(),
            addresses: Arc::default(),
            version: 0,
            broken: Vec::new(),
        };
        fleet.configure();
        for at in 0..REPLICAS {
            fleet.register(at, "ready");
        }
        for at in 0..nodes {
            let gateway = fleet.start_gateway(at)?;
            fleet.addresses.lock().unwrap().push(gateway.callers_address());
            fleet.gateways.push(gateway);
        }
        for gateway in &fleet.gateways {
            gateway.wait_for_log_line("a configuration is in force")?;
        }
        for (replica, zone) in fleet.bad_version.iter().zip(["west", "east"]) {
            replica.register(&fleet.store, zone, "ready");
        }
        fleet.store.order_rollout("desk", "v2", ROLLOUT_PERIOD_S);
        Ok(fleet)
    }

    /// What the bad version got beyond its bound, or whether it was completed.
    fn exposed(&self) -> Option<String> {
        let arrivals = |replicas: &[ReplicaStandIn]| {
            replicas.iter().map(|replica| replica.received_requests().len()).sum::<usize>()
        };
        let bad = arrivals(&self.bad_version);
        let all = bad + arrivals(&self.replicas[2 * SHARDS..]);
        let bound = EXPOSURE_SHARE * all as f64 + EXPOSURE_SLACK;
        let status = self.store.rollout_status("desk").map(|(state, _)| state);
        let is_completed = status.as_deref() == Some("completed");
        (is_completed || bad as f64 > bound)
            .then(|| format!("a bad version got {bad} of {all} requests and is {status:?}"))
    }

    /// Where the gateways serve callers, kept up to date.
    pub fn addresses(&self) -> Addresses {
        self.addresses.clone()
    }

    /// What was seen to be wrong with the processes themselves.
    pub fn broken(&self) -> Vec<String> {
        let mut broken = self.broken.clone();
        broken.extend(self.exposed());
        for gateway in &self.gateways {
            let versions: Vec<u64> = gateway
                .log_lines()
                .iter()
                .filter(|line| line["message"] == "a configuration is in force")
                .filter_map(|line| line["version"].as_u64())
                .collect();
            if !versions.is_sorted() {
                broken.push(format!("a configuration went back: {versions:?}"));
            }
        }
        broken
    }

    /// Plays one fault.
    pub async fn play(&mut self, fault: &Fault) -> Result<()> {
        match *fault {
            Fault::Kill(at) => {
                self.gateways[at].signal(Signal::SIGKILL)?;
                self.restart(at)?;
            }
            Fault::Pause(at) => self.gateways[at].signal(Signal::SIGSTOP)?,
            Fault::Resume(at) => self.gateways[at].signal(Signal::SIGCONT)?,
            Fault::Terminate(at) => {
                // A process that stands still cannot end by itself.
                self.gateways[at].signal(Signal::SIGCONT)?;
                self.gateways[at].signal(Signal::SIGTERM)?;
                let status = self.gateways[at].wait_for_exit()?;
                if !status.success() {
                    self.broken.push(format!("gateway {at} ended with {status} after SIGTERM"));
                }
                self.restart(at)?;
            }
            Fault::Hangup(at) => self.gateways[at].signal(Signal::SIGHUP)?,
            Fault::ReplicaSlow(at) => self.replicas[at].set_mode(ReplicaMode::Answering(SLOW_MS)),
            Fault::ReplicaFails(at) => self.replicas[at].set_mode(ReplicaMode::Failing),
            Fault::ReplicaSheds(at) => self.replicas[at].set_mode(ReplicaMode::Shedding),
            Fault::ReplicaSilent(at) => self.replicas[at].set_mode(ReplicaMode::Unresponsive),
            Fault::ReplicaCrosses(at) => self.replicas[at].set_mode(ReplicaMode::WrongAttemptId),
            Fault::ReplicaSound(at) => self.replicas[at].set_mode(ReplicaMode::Answering(0)),
            Fault::ReplicaDrains(at) => self.register(at, "draining"),
            Fault::ReplicaUnlisted(at) => self.store.deregister_replica(&format!("r{at}")),
            Fault::ReplicaListed(at) => self.register(at, "ready"),
            Fault::WayDelays(at) => self.ways[at].set_mode(FaultProxyMode::Delaying(DELAY_MS)),
            Fault::WayLosesRequests(at) => self.ways[at].set_mode(FaultProxyMode::DroppingRequests),
            Fault::WayLosesAnswers(at) => self.ways[at].set_mode(FaultProxyMode::DroppingAnswers),
            Fault::WaySound(at) => self.ways[at].set_mode(FaultProxyMode::PassThrough),
            Fault::WayReset(at) => self.ways[at].reset_open_connections(),
            Fault::WaySilenced(at) => self.ways[at].blackhole_open_connections(),
            Fault::StoreWayCut(at) => self.store_ways[at].set_mode(FaultProxyMode::DroppingAnswers),
            Fault::StoreWaySilenced(at) => self.store_ways[at].blackhole_open_connections(),
            Fault::StoreWaySound(at) => self.store_ways[at].set_mode(FaultProxyMode::PassThrough),
            Fault::RelayWayDelays(at) => {
                self.relay_ways[at].set_mode(FaultProxyMode::Delaying(DELAY_MS));
            }
            Fault::RelayWayLosesAsks(at) => {
                self.relay_ways[at].set_mode(FaultProxyMode::DroppingRequests);
            }
            Fault::RelayWayLosesReplies(at) => {
                self.relay_ways[at].set_mode(FaultProxyMode::DroppingAnswers);
            }
            Fault::RelayWaySound(at) => self.relay_ways[at].set_mode(FaultProxyMode::PassThrough),
            Fault::RelayWayReset(at) => self.relay_ways[at].reset_open_connections(),
            Fault::RelayWaySilenced(at) => self.relay_ways[at].blackhole_open_connections(),
            Fault::Configure => self.configure(),
            Fault::StoreRefuses => self.store.set_mode(StoreMode::Refusing(503)),
            Fault::StoreSilent => self.store.set_mode(StoreMode::Unresponsive),
            Fault::StoreLosesAnswers => self.store.set_mode(StoreMode::DroppingWriteAnswers),
            Fault::StoreForgets => self.store.compact(),
            Fault::StoreSound => self.store.set_mode(StoreMode::Up),
        }
        Ok(())
    }

    /// Ends every fault.
    pub fn heal(&mut self) -> Result<()> {
        self.store.set_mode(StoreMode::Up);
        for at in 0..REPLICAS {
            self.replicas[at].set_mode(ReplicaMode::Answering(0));
            self.register(at, "ready");
        }
        let ways = self.ways.iter().chain(&self.store_ways).chain(&self.relay_ways);
        ways.for_each(|way| way.set_mode(FaultProxyMode::PassThrough));
        self.gateways.iter().try_for_each(|gateway| gateway.signal(Signal::SIGCONT))
    }

    /// Stops and starts each gateway in turn, as for an update.
    pub async fn roll(&mut self) -> Result<()> {
        for at in 0..self.gateways.len() {
            self.play(&Fault::Terminate(at)).await?;
            self.gateways[at].wait_for_log_line("a configuration is in force")?;
        }
        Ok(())
    }

    /// Has a replica say that it leaves; returns whether it got anything new after a while.
    pub async fn drain(&self, at: usize, after: Duration) -> bool {
        self.register(at, "draining");
        tokio::time::sleep(after).await;
        let runs = self.replicas[at].started_attempt_ids().len();
        tokio::time::sleep(after).await;
        self.replicas[at].started_attempt_ids().len() > runs
    }

    fn restart(&mut self, at: usize) -> Result<()> {
        self.gateways[at].wait_for_exit()?;
        let gateway = self.start_gateway(at)?;
        self.addresses.lock().unwrap()[at] = gateway.callers_address();
        self.gateways[at] = gateway;
        Ok(())
    }

    fn start_gateway(&self, at: usize) -> Result<GatewayProcess> {
        let seeds: Vec<SocketAddr> =
            self.gateways.iter().map(GatewayProcess::peers_address).collect();
        let domain = ["west", "east"][at % 2];
        let (store, way) = (self.store_ways[at].address(), &self.relay_ways[at]);
        let name = format!("vm-{at}");
        let rollouts =
            json!({ "exposure_share": EXPOSURE_SHARE, "exposure_slack": EXPOSURE_SLACK });
        let relay = [("relay_advertise", way.address().to_string().into()), ("rollouts", rollouts)];
        let gateway = GatewayProcess::start_with_settings(
            &self.binary,
            &name,
            domain,
            store,
            &seeds,
            &relay,
        )?;
        way.set_target(gateway.relay_address());
        Ok(gateway)
    }

    fn register(&self, at: usize, state: &str) {
        let zone = ["west", "east"][at % 2];
        self.replicas[at].register_at(self.ways[at].address(), &self.store, zone, state);
    }

    fn configure(&mut self) {
        self.version += 2;
        let services = (0..SHARDS).map(|shard| format!("shard-{shard}")).collect();
        let gather = DeclaredTarget::Gather { services, top_k: 2, min_coverage: 0.5 };
        let desk = DeclaredTarget::Service("desk".into());
        let routes = [("all", true, gather), ("one", true, desk.clone()), ("order", false, desk)];
        let routes = routes.map(|(name, is_idempotent, target)| DeclaredRoute {
            name: name.into(),
            host: "soak.example".into(),
            prefix: format!("/{name}/"),
            is_idempotent,
            timeout_ms: 600,
            goal_ms: 200,
            target,
        });
        self.store.publish_configuration(self.version, &routes);
    }
}

/// The record that a replica's shard holds: both replicas of a shard have the same.
pub fn record(replica: u8) -> Vec<u8> {
    vec![replica / 2 + 1; 16]
}
