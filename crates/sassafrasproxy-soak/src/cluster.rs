//! Starts the processes and stand-ins of a soak and applies faults to them.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use eyre::Result;
use nix::sys::signal::Signal;
use sassafrasproxy_platform_standin::{
    DeclaredAccount, DeclaredRoute, DeclaredTarget, FaultProxy, FaultProxyMode, GatewayProcess,
    ReplicaMode, ReplicaStandIn, StoreMode, StoreStandIn,
};
use serde_json::json;

use crate::crashing_request::{CRASHING_TEXT, Disturbances};
use crate::keys::{KEY_PREFIX, Key};
use crate::schedule::Fault;

/// The number of shards of the gathered route.
pub const SHARD_COUNT: usize = 4;

/// The number of replicas: two of each shard, and two of the single service.
pub const REPLICA_COUNT: usize = 2 * SHARD_COUNT + 2;

/// The maximum share of the single service's requests that its failing version may receive, beyond
/// `EXPOSURE_SLACK_REQUESTS`.
const EXPOSURE_SHARE: f64 = 0.1;

/// The number of requests that the failing version may receive in addition to its share.
const EXPOSURE_SLACK_REQUESTS: f64 = 50.0;

/// The period in the rollout order of every soak, in seconds.
const ROLLOUT_PERIOD_S: f64 = 12.0;

/// The time within which changed keys take effect at gateways in touch, in milliseconds.
const REVOKE_MS: u64 = 3_000;

/// The time that a slow replica takes to answer, in milliseconds.
const SLOW_ANSWER_MS: u64 = 80;

/// The delay that a delaying proxy adds in each direction, in milliseconds.
const PROXY_DELAY_MS: u64 = 30;

/// The address at which each gateway serves callers, updated on restarts.
pub type GatewayAddresses = Arc<Mutex<Vec<SocketAddr>>>;

/// The gateways, replicas, store and proxies of one soak.
pub struct Cluster {
    binary: PathBuf,
    store: StoreStandIn,
    pub replicas: Vec<ReplicaStandIn>,
    /// The replicas of the single service's new version, which fail every second request.
    pub failing_version_replicas: Vec<ReplicaStandIn>,
    /// The replicas that crash on one request; no proxy hides that they are gone.
    pub crashing_replicas: Vec<ReplicaStandIn>,
    /// The disturbances of the gateways and of the store so far.
    pub disturbances: Disturbances,
    /// The proxy in front of each replica.
    replica_proxies: Vec<FaultProxy>,
    /// The proxy between each gateway and the store.
    store_proxies: Vec<FaultProxy>,
    /// The proxy in front of each gateway's relay port, which the other gateways connect to.
    relay_proxies: Vec<FaultProxy>,
    gateways: Vec<GatewayProcess>,
    addresses: GatewayAddresses,
    configuration_version: u64,
    /// Whether [`Key::Removed`] has been removed from the configuration.
    is_key_removed: bool,
    violations: Vec<String>,
}

impl Cluster {
    /// Starts the gateways with healthy replicas, waits until all gateways have the configuration,
    /// and orders the rollout of the failing version.
    ///
    /// Returns an error if a gateway can't be started or doesn't apply the configuration in time.
    pub async fn start(binary: &Path, gateway_count: usize) -> Result<Self> {
        let replicas = (0..REPLICA_COUNT).map(|index| {
            let service = if index < 2 * SHARD_COUNT {
                format!("shard-{}", index / 2)
            } else {
                "desk".into()
            };
            ReplicaStandIn::start(&format!("r{index}"), &service, shard_record(index as u8))
        });
        let replicas: Vec<ReplicaStandIn> = replicas.collect();
        let failing_version = ["n0", "n1"].map(|id| {
            let replica = ReplicaStandIn::start(id, "desk", shard_record(2 * SHARD_COUNT as u8));
            replica.set_mode(ReplicaMode::FailingEveryNth(2));
            replica.with_version("v2")
        });
        let crashing_replicas = ["c0", "c1"].map(|id| {
            let replica = ReplicaStandIn::start(id, "crash", "found");
            replica.set_mode(ReplicaMode::CrashingOn(CRASHING_TEXT));
            replica
        });
        let store = StoreStandIn::start();
        let mut cluster = Self {
            binary: binary.to_path_buf(),
            replica_proxies: replicas
                .iter()
                .map(|replica| FaultProxy::start(replica.address()))
                .collect(),
            store_proxies: (0..gateway_count).map(|_| FaultProxy::start(store.address())).collect(),
            // `start_gateway` sets each one's target once its gateway listens.
            relay_proxies: (0..gateway_count).map(|_| FaultProxy::start(store.address())).collect(),
            store,
            replicas,
            failing_version_replicas: failing_version.into(),
            crashing_replicas: crashing_replicas.into(),
            disturbances: Disturbances::default(),
            gateways: Vec::new(),
            addresses: Arc::default(),
            configuration_version: 0,
            is_key_removed: false,
            violations: Vec::new(),
        };
        cluster.publish_configuration();
        for index in 0..REPLICA_COUNT {
            cluster.register_replica(index, "ready");
        }
        for (replica, failure_domain) in cluster.crashing_replicas.iter().zip(["west", "east"]) {
            replica.register(&cluster.store, failure_domain, "ready");
        }
        for index in 0..gateway_count {
            let gateway = cluster.start_gateway(index)?;
            cluster.addresses.lock().unwrap().push(gateway.callers_address());
            cluster.gateways.push(gateway);
        }
        for gateway in &cluster.gateways {
            gateway.wait_for_log_line("a configuration is in force")?;
        }
        for (replica, failure_domain) in
            cluster.failing_version_replicas.iter().zip(["west", "east"])
        {
            replica.register(&cluster.store, failure_domain, "ready");
        }
        cluster.store.order_rollout("desk", "v2", ROLLOUT_PERIOD_S);
        Ok(cluster)
    }

    /// Returns a violation if the failing version received more requests than its limit, or if its
    /// rollout completed.
    fn exposure_violation(&self) -> Option<String> {
        let request_count = |replicas: &[ReplicaStandIn]| {
            replicas.iter().map(|replica| replica.received_requests().len()).sum::<usize>()
        };
        let failing_version_requests = request_count(&self.failing_version_replicas);
        let all_requests =
            failing_version_requests + request_count(&self.replicas[2 * SHARD_COUNT..]);
        let bound = EXPOSURE_SHARE * all_requests as f64 + EXPOSURE_SLACK_REQUESTS;
        let status = self.store.rollout_status("desk").map(|(state, _)| state);
        let is_completed = status.as_deref() == Some("completed");
        (is_completed || failing_version_requests as f64 > bound).then(|| {
            format!(
                "the failing version received {failing_version_requests} of \
                     {all_requests} requests, and its rollout is {status:?}"
            )
        })
    }

    /// Returns the shared list of the addresses at which gateways serve callers.
    pub fn addresses(&self) -> GatewayAddresses {
        self.addresses.clone()
    }

    /// Returns the violations seen in the gateway processes and in the rollout.
    pub fn violations(&self) -> Vec<String> {
        let mut violations = self.violations.clone();
        violations.extend(self.exposure_violation());
        for gateway in &self.gateways {
            let lines = gateway.log_lines();
            let leak = lines.iter().find(|line| line.to_string().contains(KEY_PREFIX));
            violations.extend(leak.map(|line| format!("a log line contains a key: {line}")));
            let versions = active_versions(gateway);
            if !versions.is_sorted() {
                violations
                    .push(format!("a gateway went back to an older configuration: {versions:?}"));
            }
        }
        violations
    }

    /// Applies one fault.
    ///
    /// Returns an error if a gateway can't be signalled or restarted.
    pub async fn apply_fault(&mut self, fault: &Fault) -> Result<()> {
        self.disturbances.record_fault(fault);
        match *fault {
            Fault::Kill(index) => {
                self.gateways[index].signal(Signal::SIGKILL)?;
                self.restart_gateway(index)?;
            }
            Fault::Pause(index) => self.gateways[index].signal(Signal::SIGSTOP)?,
            Fault::Resume(index) => self.gateways[index].signal(Signal::SIGCONT)?,
            Fault::Terminate(index) => {
                // A paused process can't handle SIGTERM.
                self.gateways[index].signal(Signal::SIGCONT)?;
                self.gateways[index].signal(Signal::SIGTERM)?;
                let status = self.gateways[index].wait_for_exit()?;
                if !status.success() {
                    self.violations
                        .push(format!("gateway {index} exited with {status} after SIGTERM"));
                }
                self.restart_gateway(index)?;
            }
            Fault::Hangup(index) => self.gateways[index].signal(Signal::SIGHUP)?,
            Fault::ReplicaSlow(index) => {
                self.replicas[index].set_mode(ReplicaMode::Answering(SLOW_ANSWER_MS));
            }
            Fault::ReplicaFails(index) => self.replicas[index].set_mode(ReplicaMode::Failing),
            Fault::ReplicaSheds(index) => self.replicas[index].set_mode(ReplicaMode::Shedding),
            Fault::ReplicaSilent(index) => self.replicas[index].set_mode(ReplicaMode::Unresponsive),
            Fault::ReplicaCrosses(index) => {
                self.replicas[index].set_mode(ReplicaMode::WrongAttemptId);
            }
            Fault::ReplicaSound(index) => self.replicas[index].set_mode(ReplicaMode::Answering(0)),
            Fault::ReplicaDrains(index) => self.register_replica(index, "draining"),
            Fault::ReplicaUnlisted(index) => self.store.deregister_replica(&format!("r{index}")),
            Fault::ReplicaListed(index) => self.register_replica(index, "ready"),
            Fault::WayDelays(index) => {
                self.replica_proxies[index].set_mode(FaultProxyMode::Delaying(PROXY_DELAY_MS));
            }
            Fault::WayLosesRequests(index) => {
                self.replica_proxies[index].set_mode(FaultProxyMode::DroppingRequests);
            }
            Fault::WayLosesAnswers(index) => {
                self.replica_proxies[index].set_mode(FaultProxyMode::DroppingAnswers);
            }
            Fault::WaySound(index) => {
                self.replica_proxies[index].set_mode(FaultProxyMode::PassThrough);
            }
            Fault::WayReset(index) => self.replica_proxies[index].reset_open_connections(),
            Fault::WaySilenced(index) => self.replica_proxies[index].blackhole_open_connections(),
            Fault::StoreWayCut(index) => {
                self.store_proxies[index].set_mode(FaultProxyMode::DroppingAnswers);
            }
            Fault::StoreWaySilenced(index) => {
                self.store_proxies[index].blackhole_open_connections();
            }
            Fault::StoreWaySound(index) => {
                self.store_proxies[index].set_mode(FaultProxyMode::PassThrough);
            }
            Fault::RelayWayDelays(index) => {
                self.relay_proxies[index].set_mode(FaultProxyMode::Delaying(PROXY_DELAY_MS));
            }
            Fault::RelayWayLosesAsks(index) => {
                self.relay_proxies[index].set_mode(FaultProxyMode::DroppingRequests);
            }
            Fault::RelayWayLosesReplies(index) => {
                self.relay_proxies[index].set_mode(FaultProxyMode::DroppingAnswers);
            }
            Fault::RelayWaySound(index) => {
                self.relay_proxies[index].set_mode(FaultProxyMode::PassThrough);
            }
            Fault::RelayWayReset(index) => self.relay_proxies[index].reset_open_connections(),
            Fault::RelayWaySilenced(index) => {
                self.relay_proxies[index].blackhole_open_connections();
            }
            Fault::Configure => self.publish_configuration(),
            Fault::StoreRefuses => self.store.set_mode(StoreMode::Refusing(503)),
            Fault::StoreSilent => self.store.set_mode(StoreMode::Unresponsive),
            Fault::StoreLosesAnswers => self.store.set_mode(StoreMode::DroppingWriteAnswers),
            Fault::StoreForgets => self.store.compact(),
            Fault::StoreSound => self.store.set_mode(StoreMode::Up),
        }
        Ok(())
    }

    /// Clears every fault, and removes the key [`Key::Removed`].
    ///
    /// Returns an error if a gateway can't be resumed.
    pub fn clear_faults(&mut self) -> Result<()> {
        self.store.set_mode(StoreMode::Up);
        self.is_key_removed = true;
        self.publish_configuration();
        for index in 0..REPLICA_COUNT {
            self.replicas[index].set_mode(ReplicaMode::Answering(0));
            self.register_replica(index, "ready");
        }
        let proxies =
            self.replica_proxies.iter().chain(&self.store_proxies).chain(&self.relay_proxies);
        proxies.for_each(|proxy| proxy.set_mode(FaultProxyMode::PassThrough));
        (0..self.gateways.len()).for_each(|index| self.disturbances.record_calm(index));
        self.gateways.iter().try_for_each(|gateway| gateway.signal(Signal::SIGCONT))
    }

    /// Returns a violation for each gateway in which the newest configuration is not in force.
    pub fn late_configurations(&self) -> Vec<String> {
        let newest = self.configuration_version;
        let has_newest = |gateway: &&GatewayProcess| active_versions(gateway).contains(&newest);
        let late = self.gateways.iter().filter(|gateway| !has_newest(gateway));
        late.map(|gateway| {
            let versions = active_versions(gateway);
            format!("a gateway does not have configuration {newest} in force, but {versions:?}")
        })
        .collect()
    }

    /// Restarts each gateway in turn, as an update does.
    ///
    /// Returns an error if a gateway can't be restarted or doesn't apply the configuration in time.
    pub async fn rolling_restart(&mut self) -> Result<()> {
        for index in 0..self.gateways.len() {
            self.apply_fault(&Fault::Terminate(index)).await?;
            self.gateways[index].wait_for_log_line("a configuration is in force")?;
        }
        Ok(())
    }

    /// Marks a replica as draining and returns whether it starts new requests between `after` and
    /// twice `after` from then.
    pub async fn receives_requests_after_drain(&self, index: usize, after: Duration) -> bool {
        self.register_replica(index, "draining");
        tokio::time::sleep(after).await;
        let runs = self.replicas[index].started_attempt_ids().len();
        tokio::time::sleep(after).await;
        self.replicas[index].started_attempt_ids().len() > runs
    }

    fn restart_gateway(&mut self, index: usize) -> Result<()> {
        self.gateways[index].wait_for_exit()?;
        let gateway = self.start_gateway(index)?;
        self.addresses.lock().unwrap()[index] = gateway.callers_address();
        self.gateways[index] = gateway;
        Ok(())
    }

    fn start_gateway(&self, index: usize) -> Result<GatewayProcess> {
        let seeds: Vec<SocketAddr> =
            self.gateways.iter().map(GatewayProcess::peers_address).collect();
        let failure_domain = ["west", "east"][index % 2];
        let (store, proxy) = (self.store_proxies[index].address(), &self.relay_proxies[index]);
        let name = format!("vm-{index}");
        let rollouts =
            json!({ "exposure_share": EXPOSURE_SHARE, "exposure_slack": EXPOSURE_SLACK_REQUESTS });
        let more_settings = [
            ("relay_advertise", proxy.address().to_string().into()),
            ("rollouts", rollouts),
            ("accounts", json!({ "revoke_ms": REVOKE_MS })),
        ];
        let gateway = GatewayProcess::start_with_settings(
            &self.binary,
            &name,
            failure_domain,
            store,
            &seeds,
            &more_settings,
        )?;
        proxy.set_target(gateway.relay_address());
        Ok(gateway)
    }

    fn register_replica(&self, index: usize, state: &str) {
        let failure_domain = ["west", "east"][index % 2];
        self.replicas[index].register_at(
            self.replica_proxies[index].address(),
            &self.store,
            failure_domain,
            state,
        );
    }

    fn publish_configuration(&mut self) {
        self.configuration_version += 2;
        let services = (0..SHARD_COUNT).map(|shard| format!("shard-{shard}")).collect();
        let gather = DeclaredTarget::Gather { services, top_k: 2, min_coverage: 0.5 };
        let desk = DeclaredTarget::Service("desk".into());
        let crash = DeclaredTarget::Service("crash".into());
        let routes = [
            ("all", true, gather),
            ("one", true, desk.clone()),
            ("order", false, desk),
            ("crash", true, crash),
        ];
        let routes = routes.map(|(name, is_idempotent, target)| DeclaredRoute {
            name: name.into(),
            host: "soak.example".into(),
            prefix: format!("/{name}/"),
            is_idempotent,
            timeout_ms: 600,
            goal_ms: 200,
            is_open: false,
            target,
        });
        let version = self.configuration_version;
        let accounts = ["yard", "desk"].map(|name| DeclaredAccount {
            name: name.into(),
            keys: Key::of_account(name, version, self.is_key_removed),
            ..DeclaredAccount::default()
        });
        self.store.publish_configuration(version, &routes, Some(&accounts));
    }
}

/// Returns the record of a replica's shard; both replicas of a shard hold the same one.
pub fn shard_record(replica: u8) -> Vec<u8> {
    vec![replica / 2 + 1; 16]
}

/// Returns the versions of the configurations that a gateway has put in force, oldest first.
fn active_versions(gateway: &GatewayProcess) -> Vec<u64> {
    gateway
        .log_lines()
        .iter()
        .filter(|line| line["message"] == "a configuration is in force")
        .filter_map(|line| line["version"].as_u64())
        .collect()
}
