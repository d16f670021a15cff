//! Starts separate node processes with stand-ins for the platform and the upstreams.

#![allow(dead_code, clippy::unwrap_used, reason = "each test file uses its part")]

use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use sassafrasproxy_config::PublishRequest;
use sassafrasproxy_node::{PlatformClient, publish};
use sassafrasproxy_standin::{
    NodeProcess, PlatformStandIn, ServiceSetup, UpstreamStandIn, shard_names,
};
use sassafrasproxy_wire::{QueryAnswer, Refusal};
use serde_json::json;

/// The maximum time that a test waits for a state before it fails.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// The failure domains of the test system.
pub const FAILURE_DOMAINS: [&str; 3] = ["galway-1", "galway-2", "galway-3"];

/// Node processes with stand-ins for the platform and the upstreams.
pub struct Cluster {
    pub platform: PlatformStandIn,
    /// Each replica, with the name of its service.
    pub upstreams: Vec<(String, UpstreamStandIn)>,
    pub nodes: Vec<NodeProcess>,
    /// The address to which nodes that are started from now on send their metrics.
    pub statsd: Option<SocketAddr>,
}

impl Cluster {
    /// Starts the stand-ins of three services in two indexes, publishes the services and starts
    /// a number of nodes.
    pub async fn start(node_count: usize) -> Self {
        let platform = PlatformStandIn::start(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
        let art =
            ServiceSetup { shard_count: 2, ..ServiceSetup::small("art-archive", "catalogue") };
        let desk = ServiceSetup::small("counter-desk", "catalogue");
        let book = ServiceSetup::small("invoice-book", "billing");
        let domains: Vec<_> = FAILURE_DOMAINS.iter().map(|domain| (*domain).into()).collect();
        let mut services = IndexMap::new();
        let mut upstreams = Vec::new();
        for setup in [art, desk, book] {
            let setup = ServiceSetup { deadline_ms: 1_000, ..setup };
            let start = |replica: usize| {
                let address = SocketAddr::from(([127, 0, 0, 1], 0));
                UpstreamStandIn::start(address, setup.upstream_setup(replica as u64)).unwrap()
            };
            let replicas: Vec<UpstreamStandIn> = (0..setup.replica_count).map(start).collect();
            let addresses: Vec<SocketAddr> =
                replicas.iter().map(UpstreamStandIn::address).collect();
            let mut spec = setup.service_spec(&addresses, &domains);
            // Allows the replicas to hold more shards later than they do at first.
            spec.upstreams.iter_mut().for_each(|upstream| upstream.shards = shard_names(4));
            services.insert(setup.name.clone(), spec);
            upstreams.extend(replicas.into_iter().map(|replica| (setup.name.to_string(), replica)));
        }
        let client = PlatformClient::new(platform.url()).unwrap();
        let change = PublishRequest::ReplaceServices { services, expected_revision: None };
        publish(&client, change, "test".into(), |_| {}).await;
        let mut cluster = Self { platform, upstreams, nodes: Vec::new(), statsd: None };
        for number in 0..node_count {
            cluster.add_node(number);
        }
        cluster
    }

    /// Starts one more node.
    pub fn add_node(&mut self, number: usize) {
        let seeds: Vec<String> =
            self.nodes.iter().map(|node| node.peer_address().to_string()).collect();
        let settings = json!({
            "name": format!("vm-{number}"),
            "failure_domain": FAILURE_DOMAINS[number % FAILURE_DOMAINS.len()],
            "listen": "127.0.0.1:0",
            "peer_listen": "127.0.0.1:0",
            "platform": self.platform.url(),
            "seeds": seeds,
            "address_keep_ms": 200,
            "statsd": self.statsd,
        });
        let node = NodeProcess::start(binary(), &settings.to_string()).unwrap();
        self.nodes.push(node);
    }
}

/// Returns the path of the binary under test.
pub fn binary() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_sassafrasproxy"))
}

/// Sends a query; a refusal is returned with its HTTP status.
pub async fn send_query(
    node: SocketAddr,
    body: String,
    headers: &[(&str, &str)],
) -> Result<QueryAnswer, (u16, Refusal)> {
    let client = reqwest::Client::builder().no_proxy().build().unwrap();
    let mut call = client.post(format!("http://{node}/v1/query")).body(body);
    for (name, value) in headers {
        call = call.header(*name, *value);
    }
    let response = call.send().await.unwrap();
    let status = response.status().as_u16();
    let text = response.text().await.unwrap();
    if status == 200 {
        return Ok(serde_json::from_str(&text).unwrap());
    }
    Err((status, serde_json::from_str(&text).unwrap()))
}

/// Repeats a search until it is answered in full; checks that the coverage of each earlier answer
/// matches its results.
pub async fn search_until_complete(node: SocketAddr, services: &[&str]) -> QueryAnswer {
    let request =
        json!({ "services": services, "kind": "search", "body": { "text": "verse" } }).to_string();
    let deadline = Instant::now() + WAIT_TIMEOUT;
    loop {
        let last = match send_query(node, request.clone(), &[]).await {
            Ok(answer) => {
                assert_eq!(answer.results.len(), answer.coverage.covered.len());
                if answer.coverage.missing.is_empty() {
                    return answer;
                }
                format!("{:?}", answer.coverage)
            }
            Err(refusal) => format!("{refusal:?}"),
        };
        if Instant::now() > deadline {
            let url = format!("http://{node}/v1/status");
            let status = reqwest::get(url).await.unwrap().text().await.unwrap();
            panic!("never answered in full; last {last}; status {status}");
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
