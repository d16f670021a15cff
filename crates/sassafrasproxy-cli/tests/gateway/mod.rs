//! Runs gateways as processes against stand-ins of the users' platform.

#![allow(dead_code, clippy::unwrap_used, reason = "each test file uses its part")]

use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use http::Request;
use http_body_util::Full;
use sassafrasproxy_platform_standin::{
    CallerAnswer, DeclaredAccount, DeclaredRoute, DeclaredTarget, GatewayProcess, ReplicaMode,
    ReplicaStandIn, StoreStandIn, send_get, send_request,
};
use serde_json::Value;

/// The time after which a test gives up waiting for a state.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// The host name of all routes.
pub const HOST: &str = "shop.example";

/// The number of shards of the gather route.
pub const SHARD_COUNT: usize = 4;

/// A store, replicas and gateways under test.
pub struct Cluster {
    pub store: StoreStandIn,
    /// Two replicas per shard, in the order of the shards, then two of the service `desk`.
    pub replicas: Vec<ReplicaStandIn>,
    pub gateways: Vec<GatewayProcess>,
    pub version: u64,
}

impl Cluster {
    /// Starts gateways in alternating failure domains, with [`SHARD_COUNT`] shards and the service
    /// `desk`.
    ///
    /// Returns once each gateway serves requests.
    pub async fn start(gateways: usize) -> Self {
        let store = StoreStandIn::start();
        let mut replicas = Vec::new();
        for shard in 0..SHARD_COUNT {
            for copy in ["a", "b"] {
                let id = format!("s{shard}{copy}");
                // Each shard has one record with a high value and one with a low value, identified
                // by the last byte.
                let body = [record(200 + shard as u8), record(shard as u8)].concat();
                replicas.push(ReplicaStandIn::start(&id, &format!("shard-{shard}"), body));
            }
        }
        for copy in ["a", "b"] {
            replicas.push(ReplicaStandIn::start(&format!("d{copy}"), "desk", "found"));
        }
        let mut cluster = Self { store, replicas, gateways: Vec::new(), version: 0 };
        cluster.publish(&routes());
        for (index, replica) in cluster.replicas.iter().enumerate() {
            replica.register(&cluster.store, ["west", "east"][index % 2], "ready");
        }
        for _ in 0..gateways {
            cluster.add_gateway();
        }
        for index in 0..gateways {
            cluster.ask_until(index, "/desk/1", |answer| answer.status == 200).await;
        }
        cluster
    }

    /// Starts one more gateway and returns its index.
    pub fn add_gateway(&mut self) -> usize {
        self.add_gateway_with_store(self.store.address())
    }

    /// Starts one more gateway that connects to the store at an address.
    pub fn add_gateway_with_store(&mut self, store: SocketAddr) -> usize {
        let index = self.gateways.len();
        let seeds: Vec<_> = self.gateways.iter().map(GatewayProcess::peers_address).collect();
        let name = format!("vm-{index}");
        let domain = ["west", "east"][index % 2];
        let gateway = GatewayProcess::start(binary(), &name, domain, store, &seeds).unwrap();
        self.gateways.push(gateway);
        index
    }

    /// Starts one more gateway in a failure domain, with a share of a CPU core.
    pub fn add_gateway_with_cpu(&mut self, domain: &str, cpu_share: f64) -> usize {
        self.start_gateway(domain, &[("cpu_share", cpu_share.into())])
    }

    /// Starts one more gateway with changed settings.
    pub fn add_gateway_with_settings(&mut self, changes: &[(&str, Value)]) -> usize {
        let domain = ["west", "east"][self.gateways.len() % 2];
        self.start_gateway(domain, changes)
    }

    /// Starts one more gateway that connects to the store at an address, with changed settings.
    pub fn add_gateway_with_store_and_settings(
        &mut self,
        store: SocketAddr,
        changes: &[(&str, Value)],
    ) -> usize {
        let store = ("store", store.to_string().into());
        self.add_gateway_with_settings(&[changes, &[store]].concat())
    }

    fn start_gateway(&mut self, domain: &str, changes: &[(&str, Value)]) -> usize {
        let index = self.gateways.len();
        let seeds: Vec<_> = self.gateways.iter().map(GatewayProcess::peers_address).collect();
        let name = format!("vm-{index}");
        let store = self.store.address();
        let gateway =
            GatewayProcess::start_with_settings(binary(), &name, domain, store, &seeds, changes);
        self.gateways.push(gateway.unwrap());
        index
    }

    /// Publishes a new version of the configuration.
    pub fn publish(&mut self, routes: &[DeclaredRoute]) {
        self.version += 3;
        self.store.publish_configuration(self.version, routes, None);
    }

    /// Publishes a new version of the configuration with client accounts.
    pub fn publish_accounts(&mut self, routes: &[DeclaredRoute], accounts: &[DeclaredAccount]) {
        self.version += 3;
        self.store.publish_configuration(self.version, routes, Some(accounts));
    }

    /// Returns the number of sends that a gateway made for other gateways.
    pub async fn relayed_send_count(&self, gateway: usize) -> u64 {
        let request = Request::get("/metrics").header("host", "h").body(Full::default()).unwrap();
        let answer = send_request(self.gateways[gateway].metrics_address(), request).await.unwrap();
        let text = String::from_utf8(answer.body.to_vec()).unwrap();
        let line = text.lines().find(|line| line.contains("sends_total{kind=\"relayed\"}"));
        line.map_or(0, |line| line.split(' ').next_back().unwrap().parse().unwrap())
    }

    /// Returns the replica with an id.
    pub fn replica(&self, id: &str) -> &ReplicaStandIn {
        self.replicas.iter().find(|replica| replica.id() == id).unwrap()
    }

    /// Changes how all replicas treat requests.
    pub fn set_modes(&self, mode: ReplicaMode) {
        self.replicas.iter().for_each(|replica| replica.set_mode(mode.clone()));
    }

    /// Sends one request to a gateway.
    pub async fn ask(&self, gateway: usize, path: &str) -> CallerAnswer {
        send_get(self.gateways[gateway].callers_address(), HOST, path, &unique_attempt_id(), 2_000)
            .await
            .unwrap()
    }

    /// Sends requests to a gateway until an answer meets a condition, and returns that answer.
    pub async fn ask_until(
        &self,
        gateway: usize,
        path: &str,
        is_met: impl Fn(&CallerAnswer) -> bool,
    ) -> CallerAnswer {
        let end = Instant::now() + WAIT_TIMEOUT;
        loop {
            let answer = self.ask(gateway, path).await;
            if is_met(&answer) {
                return answer;
            }
            let lines = self.gateways[gateway].log_lines();
            assert!(
                Instant::now() < end,
                "no answer met the condition; last {answer:?}; log {lines:#?}"
            );
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

/// Returns the routes of the test cluster.
pub fn routes() -> Vec<DeclaredRoute> {
    let services = (0..SHARD_COUNT).map(|shard| format!("shard-{shard}")).collect();
    let gather = DeclaredTarget::Gather { services, top_k: 3, min_coverage: 0.75 };
    let desk = DeclaredTarget::Service("desk".into());
    vec![
        route("r-all", "/all/", true, gather),
        route("r-desk", "/desk/", true, desk.clone()),
        route("r-order", "/desk/order/", false, desk),
    ]
}

/// Returns the routes of the test cluster and one more to the service `desk`, `/name/`.
pub fn routes_with(name: &str) -> Vec<DeclaredRoute> {
    let mut routes = routes();
    let desk = DeclaredTarget::Service("desk".into());
    routes.push(route(name, &format!("/{name}/"), true, desk));
    routes
}

/// Returns a route of the test cluster's host.
pub fn route(
    name: &str,
    prefix: &str,
    is_idempotent: bool,
    target: DeclaredTarget,
) -> DeclaredRoute {
    DeclaredRoute {
        name: name.into(),
        host: HOST.into(),
        prefix: prefix.into(),
        is_idempotent,
        timeout_ms: 1_000,
        goal_ms: 400,
        is_open: false,
        target,
    }
}

/// Returns a record whose first and last byte are `last`.
pub fn record(last: u8) -> Vec<u8> {
    let mut record = vec![0; 16];
    record[0] = last;
    record[15] = last;
    record
}

/// Returns an attempt id that no other request of this process has.
pub fn unique_attempt_id() -> String {
    use std::sync::atomic::{AtomicU64, Ordering};
    static NEXT: AtomicU64 = AtomicU64::new(1);
    format!("attempt-{}", NEXT.fetch_add(1, Ordering::Relaxed))
}

/// Returns the path of the binary under test.
pub fn binary() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_sassafrasproxy"))
}
