//! Failure domains that go out and come back, and nodes that shut down.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use sassafrasproxy_config::{Change, PublishEnd};
use sassafrasproxy_node::{PlatformClient, publish};
use sassafrasproxy_standin::{UpstreamFault, UpstreamStandIn};
use sassafrasproxy_wire::{AddressList, NodeStatus, ReplicaStatus, VmEntry, VmState};
use serde_json::json;
use support::{DOMAINS, PATIENCE, System, ask, ask_until_full};
use tokio::task::JoinHandle;

/// Sends searches through a node, one after another, until told to stop; returns how many came
/// back, and all that were not answered in full.
fn keep_asking(node: SocketAddr) -> (Arc<AtomicBool>, JoinHandle<(usize, Vec<String>)>) {
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
            if let Err(refusal) = ask(node, request.to_string(), &[]).await {
                failures.push(format!("{refusal:?}"));
            }
        }
        (count, failures)
    });
    (stop, task)
}

async fn addresses(node: SocketAddr) -> AddressList {
    let url = format!("http://{node}/v1/addresses");
    reqwest::get(url).await.unwrap().json().await.unwrap()
}

async fn status_of(node: SocketAddr) -> NodeStatus {
    let url = format!("http://{node}/v1/status");
    reqwest::get(url).await.unwrap().json().await.unwrap()
}

/// Waits until something is so.
async fn until<F: Future<Output = bool>>(what: &str, mut check: impl FnMut() -> F) {
    let wait = async {
        while !check().await {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    assert!(tokio::time::timeout(PATIENCE, wait).await.is_ok(), "{what}");
}

/// Waits until what was sent before the word came has arrived and ended.
///
/// Nothing running at one moment is not enough: a send may still be on its way.
async fn until_quiet(upstreams: &[&UpstreamStandIn]) {
    until("what was sent has ended", || async {
        let count = || upstreams.iter().map(|one| one.run_count()).sum::<u64>();
        let before = count();
        tokio::time::sleep(Duration::from_millis(100)).await;
        count() == before && upstreams.iter().all(|one| one.running() == 0)
    })
    .await;
}

async fn start() -> System {
    let system = System::start(3).await;
    for node in &system.nodes {
        ask_until_full(node.address(), &["art-archive", "counter-desk"]).await;
    }
    system
}

// Operators take a zone out at short notice and bring it back, under load. No query may be lost
// or refused for it, its replicas must get no new work, and callers must be sent elsewhere.
#[tokio::test(flavor = "multi_thread")]
async fn domain_out_and_in() {
    let system = start().await;
    let nodes: Vec<SocketAddr> =
        system.nodes.iter().map(sassafrasproxy_standin::NodeProcess::address).collect();
    let askers: Vec<_> = nodes.iter().map(|node| keep_asking(*node)).collect();
    let platform = PlatformClient::new(system.platform.url()).unwrap();
    let out = Change::DomainOut(DOMAINS[1].into());
    let end = publish(&platform, out, "test".into(), |_| {}).await;
    assert_eq!(end, PublishEnd::Done { revision: 2 });
    for node in &nodes {
        until("the revision is in force", || async { status_of(*node).await.revision == 2 }).await;
        until("its homes have moved", || async {
            let homes = status_of(*node).await.homes;
            homes.iter().all(|home| home.home.as_deref() != Some("vm-1"))
        })
        .await;
        let list = addresses(*node).await;
        assert!(list.addresses.iter().all(|entry| entry.failure_domain != DOMAINS[1]));
    }
    // The second replica of each service is in the domain; what runs there may end.
    let in_domain: Vec<_> =
        system.upstreams.iter().skip(1).step_by(2).map(|(_, upstream)| upstream).collect();
    until_quiet(&in_domain).await;
    let before: u64 = in_domain.iter().map(|one| one.run_count()).sum();
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(in_domain.iter().map(|one| one.run_count()).sum::<u64>(), before, "new work");

    publish(&platform, Change::DomainIn(DOMAINS[1].into()), "test".into(), |_| {}).await;
    until("its replicas work again", || async {
        in_domain.iter().map(|one| one.run_count()).sum::<u64>() > before
    })
    .await;
    for (stop, asker) in askers {
        stop.store(true, Ordering::Relaxed);
        let (count, failures) = asker.await.unwrap();
        assert!(failures.is_empty(), "{} of {count}: {:?}", failures.len(), failures.first());
    }
}

// An upstream is about to be taken away, and only one source says so: its status, its answers, or
// the platform's list. It must get no new work soon, and no search may be lost for it.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_upstream() {
    let status = UpstreamFault::Drain { in_status: true, in_answers: false };
    let answers = UpstreamFault::Drain { in_status: false, in_answers: true };
    for (source, fault) in [("status", Some(status)), ("answers", Some(answers)), ("list", None)] {
        let system = start().await;
        let node = system.nodes[0].address();
        let (stop, asker) = keep_asking(node);
        let (_, leaver) = &system.upstreams[0];
        match fault {
            Some(fault) => leaver.switch(fault),
            None => system.platform.set_vms(vec![VmEntry {
                address: leaver.address().to_string().into(),
                failure_domain: DOMAINS[0].into(),
                state: VmState::Leaving,
            }]),
        }
        let name = leaver.address().to_string();
        until("its home knows", || async {
            let mut known = false;
            for node in &system.nodes {
                let replicas = status_of(node.address()).await.replicas;
                let is_it = |one: &ReplicaStatus| one.address == name.as_str();
                let phase = replicas.into_iter().find(is_it).map(|one| one.phase);
                known |= phase.is_some_and(|phase| phase == "draining" || phase == "vm_leaving");
            }
            known
        })
        .await;
        until_quiet(&[leaver]).await;
        let before = leaver.run_count();
        for _ in 0..20 {
            ask_until_full(node, &["art-archive"]).await;
        }
        assert_eq!(leaver.run_count(), before, "{source}: new work");
        stop.store(true, Ordering::Relaxed);
        let (count, failures) = asker.await.unwrap();
        assert!(failures.is_empty(), "{source}: {} of {count}", failures.len());
    }
}

// A VM is replaced as planned. Callers that still use its address must be served until they have
// moved on, nothing may be lost, and the process ends well; an impatient second signal changes
// nothing.
#[tokio::test(flavor = "multi_thread")]
async fn graceful_end() {
    let mut system = start().await;
    let nodes: Vec<SocketAddr> =
        system.nodes.iter().map(sassafrasproxy_standin::NodeProcess::address).collect();
    let others: Vec<_> = nodes[..2].iter().map(|node| keep_asking(*node)).collect();
    let (stop, leaver) = keep_asking(nodes[2]);
    system.nodes[2].terminate().unwrap();
    until("the others know", || async {
        let list = addresses(nodes[0]).await.addresses;
        list.iter().all(|entry| entry.address != nodes[2].to_string())
    })
    .await;
    system.nodes[2].terminate().unwrap();
    // Callers keep an address for 200 ms here; after that nobody asks there.
    tokio::time::sleep(Duration::from_millis(50)).await;
    stop.store(true, Ordering::Relaxed);
    let (count, failures) = leaver.await.unwrap();
    assert!(failures.is_empty(), "{} of {count}: {:?}", failures.len(), failures.first());
    assert!(system.nodes[2].wait().unwrap().success());
    for node in &nodes[..2] {
        until("its homes have moved", || async {
            let homes = status_of(*node).await.homes;
            homes.iter().all(|home| home.home.as_deref() != Some("vm-2"))
        })
        .await;
    }
    for (stop, asker) in others {
        stop.store(true, Ordering::Relaxed);
        let (count, failures) = asker.await.unwrap();
        assert!(failures.is_empty(), "{} of {count}: {:?}", failures.len(), failures.first());
    }
}
