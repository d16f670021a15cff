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

use crate::schedule::Fault;

/// How many shards the gathered route has; two replicas each, and two of the single service.
pub const SHARD_COUNT: usize = 4;

/// How many replicas there are.
pub const REPLICA_COUNT: usize = 2 * SHARD_COUNT + 2;

/// What operators let a bad version of the single service get: a share of all requests to it, and so
/// many besides.
const EXPOSURE_SHARE: f64 = 0.1;
const EXPOSURE_SLACK_REQUESTS: f64 = 50.0;

/// How long the operators give the roll-out that every soak has, in seconds.
const ROLLOUT_PERIOD_S: f64 = 12.0;

/// How long a slow replica takes, in milliseconds.
const SLOW_ANSWER_MS: u64 = 80;

/// How much longer a delaying way takes in each direction, in milliseconds.
const PROXY_DELAY_MS: u64 = 30;

/// Where each gateway serves callers at the moment.
pub type GatewayAddresses = Arc<Mutex<Vec<SocketAddr>>>;

/// Everything that runs.
pub struct Cluster {
    binary: PathBuf,
    store: StoreStandIn,
    pub replicas: Vec<ReplicaStandIn>,
    /// Replicas of the single service with a new version, which fails every second request.
    pub failing_version_replicas: Vec<ReplicaStandIn>,
    /// From the gateways to each replica.
    replica_proxies: Vec<FaultProxy>,
    /// From each gateway to the store.
    store_proxies: Vec<FaultProxy>,
    /// From the other gateways to each gateway's relay port.
    relay_proxies: Vec<FaultProxy>,
    gateways: Vec<GatewayProcess>,
    addresses: GatewayAddresses,
    configuration_version: u64,
    violations: Vec<String>,
}

impl Cluster {
    /// Starts the gateways over sound replicas and waits until all know the configuration.
    pub async fn start(binary: &Path, nodes: usize) -> Result<Self> {
        let replicas = (0..REPLICA_COUNT).map(|at| {
            let service =
                if at < 2 * SHARD_COUNT { format!("shard-{}", at / 2) } else { "desk".into() };
            ReplicaStandIn::start(&format!("r{at}"), &service, shard_record(at as u8))
        });
        let replicas: Vec<ReplicaStandIn> = replicas.collect();
        let bad_version = ["n0", "n1"].map(|id| {
            let replica = ReplicaStandIn::start(id, "desk", shard_record(2 * SHARD_COUNT as u8));
            replica.set_mode(ReplicaMode::FailingEveryNth(2));
            replica.with_version("v2")
        });
        let store = StoreStandIn::start();
        let mut fleet = Self {
            binary: binary.to_path_buf(),
            replica_proxies: replicas
                .iter()
                .map(|replica| FaultProxy::start(replica.address()))
                .collect(),
            store_proxies: (0..nodes).map(|_| FaultProxy::start(store.address())).collect(),
            // Each leads to its gateway once that has started.
            relay_proxies: (0..nodes).map(|_| FaultProxy::start(store.address())).collect(),
            store,
            replicas,
            failing_version_replicas: bad_version.into(),
            gateways: Vec::new(),
            addresses: Arc::default(),
            configuration_version: 0,
            violations: Vec::new(),
        };
        fleet.publish_configuration();
        for at in 0..REPLICA_COUNT {
            fleet.register_replica(at, "ready");
        }
        for at in 0..nodes {
            let gateway = fleet.start_gateway(at)?;
            fleet.addresses.lock().unwrap().push(gateway.callers_address());
            fleet.gateways.push(gateway);
        }
        for gateway in &fleet.gateways {
            gateway.wait_for_log_line("a configuration is in force")?;
        }
        for (replica, zone) in fleet.failing_version_replicas.iter().zip(["west", "east"]) {
            replica.register(&fleet.store, zone, "ready");
        }
        fleet.store.order_rollout("desk", "v2", ROLLOUT_PERIOD_S);
        Ok(fleet)
    }

    /// What the bad version got beyond its bound, or whether it was completed.
    fn exposure_violation(&self) -> Option<String> {
        let arrivals = |replicas: &[ReplicaStandIn]| {
            replicas.iter().map(|replica| replica.received_requests().len()).sum::<usize>()
        };
        let bad = arrivals(&self.failing_version_replicas);
        let all = bad + arrivals(&self.replicas[2 * SHARD_COUNT..]);
        let bound = EXPOSURE_SHARE * all as f64 + EXPOSURE_SLACK_REQUESTS;
        let status = self.store.rollout_status("desk").map(|(state, _)| state);
        let is_completed = status.as_deref() == Some("completed");
        (is_completed || bad as f64 > bound)
            .then(|| format!("a bad version got {bad} of {all} requests and is {status:?}"))
    }

    /// Where the gateways serve callers, kept up to date.
    pub fn addresses(&self) -> GatewayAddresses {
        self.addresses.clone()
    }

    /// What was seen to be wrong with the processes themselves.
    pub fn violations(&self) -> Vec<String> {
        let mut broken = self.violations.clone();
        broken.extend(self.exposure_violation());
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
    pub async fn apply_fault(&mut self, fault: &Fault) -> Result<()> {
        match *fault {
            Fault::Kill(at) => {
                self.gateways[at].signal(Signal::SIGKILL)?;
                self.restart_gateway(at)?;
            }
            Fault::Pause(at) => self.gateways[at].signal(Signal::SIGSTOP)?,
            Fault::Resume(at) => self.gateways[at].signal(Signal::SIGCONT)?,
            Fault::Terminate(at) => {
                // A process that stands still cannot end by itself.
                self.gateways[at].signal(Signal::SIGCONT)?;
                self.gateways[at].signal(Signal::SIGTERM)?;
                let status = self.gateways[at].wait_for_exit()?;
                if !status.success() {
                    self.violations.push(format!("gateway {at} ended with {status} after SIGTERM"));
                }
                self.restart_gateway(at)?;
            }
            Fault::Hangup(at) => self.gateways[at].signal(Signal::SIGHUP)?,
            Fault::ReplicaSlow(at) => {
                self.replicas[at].set_mode(ReplicaMode::Answering(SLOW_ANSWER_MS));
            }
            Fault::ReplicaFails(at) => self.replicas[at].set_mode(ReplicaMode::Failing),
            Fault::ReplicaSheds(at) => self.replicas[at].set_mode(ReplicaMode::Shedding),
            Fault::ReplicaSilent(at) => self.replicas[at].set_mode(ReplicaMode::Unresponsive),
            Fault::ReplicaCrosses(at) => self.replicas[at].set_mode(ReplicaMode::WrongAttemptId),
            Fault::ReplicaSound(at) => self.replicas[at].set_mode(ReplicaMode::Answering(0)),
            Fault::ReplicaDrains(at) => self.register_replica(at, "draining"),
            Fault::ReplicaUnlisted(at) => self.store.deregister_replica(&format!("r{at}")),
            Fault::ReplicaListed(at) => self.register_replica(at, "ready"),
            Fault::WayDelays(at) => {
                self.replica_proxies[at].set_mode(FaultProxyMode::Delaying(PROXY_DELAY_MS));
            }
            Fault::WayLosesRequests(at) => {
                self.replica_proxies[at].set_mode(FaultProxyMode::DroppingRequests);
            }
            Fault::WayLosesAnswers(at) => {
                self.replica_proxies[at].set_mode(FaultProxyMode::DroppingAnswers);
            }
            Fault::WaySound(at) => self.replica_proxies[at].set_mode(FaultProxyMode::PassThrough),
            Fault::WayReset(at) => self.replica_proxies[at].reset_open_connections(),
            Fault::WaySilenced(at) => self.replica_proxies[at].blackhole_open_connections(),
            Fault::StoreWayCut(at) => {
                self.store_proxies[at].set_mode(FaultProxyMode::DroppingAnswers);
            }
            Fault::StoreWaySilenced(at) => self.store_proxies[at].blackhole_open_connections(),
            Fault::StoreWaySound(at) => {
                self.store_proxies[at].set_mode(FaultProxyMode::PassThrough);
            }
            Fault::RelayWayDelays(at) => {
                self.relay_proxies[at].set_mode(FaultProxyMode::Delaying(PROXY_DELAY_MS));
            }
            Fault::RelayWayLosesAsks(at) => {
                self.relay_proxies[at].set_mode(FaultProxyMode::DroppingRequests);
            }
            Fault::RelayWayLosesReplies(at) => {
                self.relay_proxies[at].set_mode(FaultProxyMode::DroppingAnswers);
            }
            Fault::RelayWaySound(at) => {
                self.relay_proxies[at].set_mode(FaultProxyMode::PassThrough);
            }
            Fault::RelayWayReset(at) => self.relay_proxies[at].reset_open_connections(),
            Fault::RelayWaySilenced(at) => self.relay_proxies[at].blackhole_open_connections(),
            Fault::Configure => self.publish_configuration(),
            Fault::StoreRefuses => self.store.set_mode(StoreMode::Refusing(503)),
            Fault::StoreSilent => self.store.set_mode(StoreMode::Unresponsive),
            Fault::StoreLosesAnswers => self.store.set_mode(StoreMode::DroppingWriteAnswers),
            Fault::StoreForgets => self.store.compact(),
            Fault::StoreSound => self.store.set_mode(StoreMode::Up),
        }
        Ok(())
    }

    /// Ends every fault.
    pub fn clear_faults(&mut self) -> Result<()> {
        self.store.set_mode(StoreMode::Up);
        for at in 0..REPLICA_COUNT {
            self.replicas[at].set_mode(ReplicaMode::Answering(0));
            self.register_replica(at, "ready");
        }
        let ways =
            self.replica_proxies.iter().chain(&self.store_proxies).chain(&self.relay_proxies);
        ways.for_each(|way| way.set_mode(FaultProxyMode::PassThrough));
        self.gateways.iter().try_for_each(|gateway| gateway.signal(Signal::SIGCONT))
    }

    /// Stops and starts each gateway in turn, as for an update.
    pub async fn rolling_restart(&mut self) -> Result<()> {
        for at in 0..self.gateways.len() {
            self.apply_fault(&Fault::Terminate(at)).await?;
            self.gateways[at].wait_for_log_line("a configuration is in force")?;
        }
        Ok(())
    }

    /// Has a replica say that it leaves; returns whether it got anything new after a while.
    pub async fn gets_work_after_drain(&self, at: usize, after: Duration) -> bool {
        self.register_replica(at, "draining");
        tokio::time::sleep(after).await;
        let runs = self.replicas[at].started_attempt_ids().len();
        tokio::time::sleep(after).await;
        self.replicas[at].started_attempt_ids().len() > runs
    }

    fn restart_gateway(&mut self, at: usize) -> Result<()> {
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
        let (store, way) = (self.store_proxies[at].address(), &self.relay_proxies[at]);
        let name = format!("vm-{at}");
        let rollouts =
            json!({ "exposure_share": EXPOSURE_SHARE, "exposure_slack": EXPOSURE_SLACK_REQUESTS });
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

    fn register_replica(&self, at: usize, state: &str) {
        let zone = ["west", "east"][at % 2];
        self.replicas[at].register_at(self.replica_proxies[at].address(), &self.store, zone, state);
    }

    fn publish_configuration(&mut self) {
        self.configuration_version += 2;
        let services = (0..SHARD_COUNT).map(|shard| format!("shard-{shard}")).collect();
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
        self.store.publish_configuration(self.configuration_version, &routes);
    }
}

/// The record that a replica's shard holds: both replicas of a shard have the same.
pub fn shard_record(replica: u8) -> Vec<u8> {
    vec![replica / 2 + 1; 16]
}
