//! Runs a whole cluster on the loopback interface in one process: publishes services, sends one
//! query, and then keeps running for inspection, unless `--once` is given.

use std::time::Duration;

use eyre::Result;
use sassafrasproxy_node::Tuning;
use sassafrasproxy_standin::{Cluster, ClusterSetup, ServiceSetup};
use sassafrasproxy_wire::QueryAnswer;
use serde_json::json;

#[tokio::main]
async fn main() -> Result<()> {
    let exits_after_query = std::env::args().any(|arg| arg == "--once");
    let art_archive =
        ServiceSetup { shard_count: 2, ..ServiceSetup::small("art-archive", "catalogue") };
    let counter_desk = ServiceSetup::small("counter-desk", "catalogue");
    let setup = ClusterSetup {
        node_count: 3,
        failure_domains: vec!["galway-1".into(), "galway-2".into(), "galway-3".into()],
        services: vec![art_archive, counter_desk],
        tuning: Tuning::default(),
        seed: 1,
    };
    let cluster = Cluster::start(&setup).await?;
    println!("platform  {}", cluster.platform.url());
    for (service, replicas) in &cluster.upstreams {
        for replica in replicas {
            println!("upstream  {} {service}", replica.address());
        }
    }
    for node in &cluster.nodes {
        println!("node      {}", node.address());
    }
    let request = json!({
        "services": ["art-archive", "counter-desk"],
        "kind": "search",
        "body": { "text": "Mother's Day" },
        "min_coverage": 1.0,
    });
    let address = cluster.nodes[0].address();
    let client = reqwest::Client::builder().no_proxy().build()?;
    let response = client.post(format!("http://{address}/v1/query")).json(&request).send().await?;
    let answer: QueryAnswer = response.json().await?;
    println!(
        "answered from snapshot {}, covering {:.0} % of {} shards:",
        answer.snapshot,
        answer.coverage.fraction * 100.0,
        answer.coverage.covered.len() + answer.coverage.missing.len(),
    );
    for result in &answer.results {
        println!("  {} {}", result.shard, result.body);
    }
    if exits_after_query {
        return Ok(());
    }
    println!("running until Ctrl-C; try: sassafrasproxy status --node {address}");
    loop {
        tokio::time::sleep(Duration::from_secs(3_600)).await;
    }
}
