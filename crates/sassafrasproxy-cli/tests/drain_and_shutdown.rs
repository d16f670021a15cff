//! Tests of failure domains that are taken out of service, draining upstreams and node shutdown.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use sassafrasproxy_config::{PublishOutcome, PublishRequest};
use sassafrasproxy_node::{PlatformClient, publish};
use sassafrasproxy_standin::{Stragglers, UpstreamFault, UpstreamStandIn};
use sassafrasproxy_wire::{AddressList, NodeStatus, ReplicaStatus, VmEntry, VmState};
use serde_json::json;
use support::{Cluster, FAILURE_DOMAINS, WAIT_TIMEOUT, search_until_complete, send_query};
use tokio::task::JoinHandle;

/// Sends searches through a node, one after another, until the returned flag is set; the task
/// returns the number of searches and each refusal.
fn spawn_searches(node: SocketAddr) -> (Arc<AtomicBool>, JoinHandle<(usize, Vec<String>)>) {
    let stop = Arc::new(AtomicBool::new(false));
    let stopped = stop.clone();
    let request = json!({
        "services": ["art-archive", "counter-desk"],
        "kind": "search",
        "body": { "text": "verse" },
        "min_coverage": 1.0,
    });
    let task = tokio::spawn(async move {
        let (mut count, mut failures) = (0, Vec::new());
        while !stopped.load(Ordering::Relaxed) {
            count += 1;
            if let Err(refusal) = send_query(node, request.to_string(), &[]).await {
                failures.push(format!("{refusal:?}"));
            }
        }
        (count, failures)
    });
    (stop, task)
}

async fn fetch_addresses(node: SocketAddr) -> AddressList {
    let url = format!("http://{node}/v1/addresses");
    reqwest::get(url).await.unwrap().json().await.unwrap()
}

async fn fetch_status(node: SocketAddr) -> NodeStatus {
    let url = format!("http://{node}/v1/status");
    reqwest::get(url).await.unwrap().json().await.unwrap()
}

/// Waits until a check holds; fails the test with `what` after `WAIT_TIMEOUT`.
async fn wait_until<F: Future<Output = bool>>(what: &str, mut check: impl FnMut() -> F) {
    let wait = async {
        while !check().await {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    assert!(tokio::time::timeout(WAIT_TIMEOUT, wait).await.is_ok(), "{what}");
}

/// Waits until everything that was sent to some upstreams has arrived and ended.
///
/// It is not enough that nothing runs at one moment, as a send may still be on its way. The number
/// of runs must also stay the same for 100 ms.
async fn wait_until_idle(upstreams: &[&UpstreamStandIn]) {
    wait_until("all sends have ended", || async {
        let count = || upstreams.iter().map(|one| one.run_count()).sum::<u64>();
        let before = count();
        tokio::time::sleep(Duration::from_millis(100)).await;
        count() == before && upstreams.iter().all(|one| one.running() == 0)
    })
    .await;
}

async fn start_cluster() -> Cluster {
    let cluster = Cluster::start(3).await;
    for node in &cluster.nodes {
        search_until_complete(node.address(), &["art-archive", "counter-desk"]).await;
    }
    cluster
}

// Guards against lost or refused queries when operators take a failure domain out of service under
// load and bring it back. Its replicas must get no new work, its nodes no homes, and callers must
// be sent to other nodes.
#[tokio::test(flavor = "multi_thread")]
async fn domain_out_and_in() {
    let cluster = start_cluster().await;
    let nodes: Vec<SocketAddr> =
        cluster.nodes.iter().map(sassafrasproxy_standin::NodeProcess::address).collect();
    let search_tasks: Vec<_> = nodes.iter().map(|node| spawn_searches(*node)).collect();
    let platform = PlatformClient::new(cluster.platform.url()).unwrap();
    let out = PublishRequest::DomainOut(FAILURE_DOMAINS[1].into());
    let outcome = publish(&platform, out, "test".into(), |_| {}).await;
    assert_eq!(outcome, PublishOutcome::Done { revision: 2 });
    for node in &nodes {
        wait_until("the revision is in force", || async {
            fetch_status(*node).await.revision == 2
        })
        .await;
        wait_until("its homes have moved", || async {
            let homes = fetch_status(*node).await.homes;
            homes.iter().all(|home| home.home.as_deref() != Some("vm-1"))
        })
        .await;
        let list = fetch_addresses(*node).await;
        assert!(list.addresses.iter().all(|entry| entry.failure_domain != FAILURE_DOMAINS[1]));
    }
    // The second replica of each service is in the domain; work that runs there may end.
    let in_domain: Vec<_> =
        cluster.upstreams.iter().skip(1).step_by(2).map(|(_, upstream)| upstream).collect();
    wait_until_idle(&in_domain).await;
    let before: u64 = in_domain.iter().map(|one| one.run_count()).sum();
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(in_domain.iter().map(|one| one.run_count()).sum::<u64>(), before, "new work");

    publish(&platform, PublishRequest::DomainIn(FAILURE_DOMAINS[1].into()), "test".into(), |_| {})
        .await;
    wait_until("the replicas of the failure domain get work again", || async {
        in_domain.iter().map(|one| one.run_count()).sum::<u64>() > before
    })
    .await;
    for (stop, search_task) in search_tasks {
        stop.store(true, Ordering::Relaxed);
        let (count, failures) = search_task.await.unwrap();
        assert!(failures.is_empty(), "{} of {count}: {:?}", failures.len(), failures.first());
    }
}

// Guards against new work for an upstream that is about to be removed, when only one source says
// so: its status, its answers, or the platform's list of VMs. No search may be lost meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn draining_upstream() {
    let status = UpstreamFault::Drain { in_status: true, in_answers: false };
    let answers = UpstreamFault::Drain { in_status: false, in_answers: true };
    for (source, fault) in [("status", Some(status)), ("answers", Some(answers)), ("list", None)] {
        let cluster = start_cluster().await;
        let node = cluster.nodes[0].address();
        let (stop, search_task) = spawn_searches(node);
        let (_, leaving) = &cluster.upstreams[0];
        match fault {
            Some(fault) => leaving.apply_fault(fault),
            None => cluster.platform.set_vms(vec![VmEntry {
                address: leaving.address().to_string().into(),
                failure_domain: FAILURE_DOMAINS[0].into(),
                state: VmState::Leaving,
            }]),
        }
        let name = leaving.address().to_string();
        wait_until("a node shows the upstream as draining or its VM as leaving", || async {
            let mut known = false;
            for node in &cluster.nodes {
                let replicas = fetch_status(node.address()).await.replicas;
                let is_it = |one: &ReplicaStatus| one.address == name.as_str();
                let phase = replicas.into_iter().find(is_it).map(|one| one.phase);
                known |= phase.is_some_and(|phase| phase == "draining" || phase == "vm_leaving");
            }
            known
        })
        .await;
        wait_until_idle(&[leaving]).await;
        let before = leaving.run_count();
        for _ in 0..20 {
            search_until_complete(node, &["art-archive"]).await;
        }
        assert_eq!(leaving.run_count(), before, "{source}: new work");
        stop.store(true, Ordering::Relaxed);
        let (count, failures) = search_task.await.unwrap();
        assert!(failures.is_empty(), "{source}: {} of {count}", failures.len());
    }
}

// Guards against lost searches when a node shuts down because its VM is replaced. Callers that
// still use its address must be served until they use another one, the process must exit with
// success, and a second SIGTERM must have no effect.
#[tokio::test(flavor = "multi_thread")]
async fn graceful_shutdown() {
    let mut cluster = start_cluster().await;
    let nodes: Vec<SocketAddr> =
        cluster.nodes.iter().map(sassafrasproxy_standin::NodeProcess::address).collect();
    let others: Vec<_> = nodes[..2].iter().map(|node| spawn_searches(*node)).collect();
    let (stop, search_task) = spawn_searches(nodes[2]);
    cluster.nodes[2].terminate().unwrap();
    wait_until("another node no longer lists the leaving node", || async {
        let list = fetch_addresses(nodes[0]).await.addresses;
        list.iter().all(|entry| entry.address != nodes[2].to_string())
    })
    .await;
    cluster.nodes[2].terminate().unwrap();
    // Callers may keep an address for 200 ms here, so the searches continue for part of that time.
    tokio::time::sleep(Duration::from_millis(50)).await;
    stop.store(true, Ordering::Relaxed);
    let (count, failures) = search_task.await.unwrap();
    assert!(failures.is_empty(), "{} of {count}: {:?}", failures.len(), failures.first());
    assert!(cluster.nodes[2].wait_for_exit().unwrap().success());
    for node in &nodes[..2] {
        wait_until("its homes have moved", || async {
            let homes = fetch_status(*node).await.homes;
            homes.iter().all(|home| home.home.as_deref() != Some("vm-2"))
        })
        .await;
    }
    for (stop, search_task) in others {
        stop.store(true, Ordering::Relaxed);
        let (count, failures) = search_task.await.unwrap();
        assert!(failures.is_empty(), "{} of {count}: {:?}", failures.len(), failures.first());
    }
}

/// Guards against a query that is cut off when its node ends, as other nodes' homes run it and
/// nothing on its own node tells of it.
#[tokio::test(flavor = "multi_thread")]
async fn query_at_homes_is_answered() {
    let mut cluster = start_cluster().await;
    // About half of the deadline, and longer than callers keep the address.
    let slow = Stragglers { probability: 1.0, factor: 60.0 };
    for (_, upstream) in &cluster.upstreams {
        upstream.apply_fault(UpstreamFault::Straggle(Some(slow)));
    }
    let node = cluster.nodes[2].address();
    let request = json!({
        "services": ["art-archive", "counter-desk"],
        "kind": "search",
        "body": { "text": "verse" },
        "min_coverage": 1.0,
    });
    let query = tokio::spawn(async move { send_query(node, request.to_string(), &[]).await });
    tokio::time::sleep(Duration::from_millis(100)).await;
    cluster.nodes[2].terminate().unwrap();
    let answer = query.await.unwrap();
    assert!(answer.is_ok(), "{answer:?}");
    assert!(cluster.nodes[2].wait_for_exit().unwrap().success());
}
