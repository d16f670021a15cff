//! Tests nodes after outages of the platform.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use sassafrasproxy_config::{PublishOutcome, PublishRequest};
use sassafrasproxy_node::{PlatformClient, publish};
use sassafrasproxy_standin::{Outage, PlatformFaults};
use serde_json::Value;
use support::{Cluster, FAILURE_DOMAINS, search_until_complete};

/// The time within which an accepted configuration must be in force at all nodes.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(8);

/// Publishes that a failure domain is out of service, and returns the configuration's revision.
async fn take_domain_out(cluster: &Cluster, domain: &str) -> u64 {
    let client = PlatformClient::new(cluster.platform.url()).unwrap();
    let request = PublishRequest::DomainOut(domain.into());
    match publish(&client, request, "test".into(), |_| {}).await {
        PublishOutcome::Done { revision } => revision,
        outcome => panic!("not published: {outcome:?}"),
    }
}

/// Returns the revision of the configuration in force at a node.
async fn active_revision(node: SocketAddr) -> u64 {
    let status = reqwest::get(format!("http://{node}/v1/status")).await.unwrap();
    let status: Value = serde_json::from_str(&status.text().await.unwrap()).unwrap();
    status["revision"].as_u64().unwrap()
}

/// Guards against a configuration that is late after an outage, as nodes go on waiting for a watch that
/// the hanging platform has taken and never answers.
#[tokio::test(flavor = "multi_thread")]
async fn configuration_is_soon_after_outage() {
    let cluster = Cluster::start(2).await;
    for node in &cluster.nodes {
        search_until_complete(node.address(), &["counter-desk"]).await;
    }
    take_domain_out(&cluster, FAILURE_DOMAINS[0]).await;
    let outage = Some(Outage::Hang);
    cluster.platform.set_faults(PlatformFaults { outage, ..PlatformFaults::default() });
    // The nodes' watches begin while the platform hangs.
    tokio::time::sleep(Duration::from_secs(3)).await;
    cluster.platform.set_faults(PlatformFaults::default());
    let revision = take_domain_out(&cluster, FAILURE_DOMAINS[1]).await;
    let back = Instant::now();
    for node in &cluster.nodes {
        while active_revision(node.address()).await < revision {
            assert!(back.elapsed() < IN_FORCE_WITHIN, "{node:?} has an older configuration");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
    println!("in force after {:?}", back.elapsed());
}
