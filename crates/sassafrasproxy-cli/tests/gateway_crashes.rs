//! Tests requests that crash the replicas that run them.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod gateway;

use std::time::{Duration, Instant};

use indexmap::IndexSet;
use sassafrasproxy_platform_standin::{ReceivedRequest, ReplicaMode, ReplicaStandIn, send_get};

use crate::gateway::{Cluster, HOST, unique_attempt_id};

/// The maximum number of attempts of a request that reach replicas after three have crashed under
/// it, which the users' rules allow.
const MAX_LATER_ATTEMPTS: usize = 3;

/// The time between repeats, after which the replicas that crashed are back.
const REPEAT_INTERVAL: Duration = Duration::from_millis(1_200);

/// Guards against a request that crashes one replica after another.
///
/// The request crashes each replica that runs it, and its caller sends it again, to three nodes in
/// turn. From the third crash on, no node may send it to a replica. Other requests for the same
/// service are served as soon as the replicas are back.
#[tokio::test(flavor = "multi_thread")]
async fn crashing_request_is_quarantined() {
    let cluster = Cluster::start(3).await;
    let runs = || {
        ["da", "db"].iter().map(|id| cluster.replica(id).started_attempt_ids().len()).sum::<usize>()
    };
    let before = runs();
    for attempt in 0..15 {
        for id in ["da", "db"] {
            cluster.replica(id).set_mode(ReplicaMode::Crashing);
        }
        let answer = cluster.ask(attempt % 3, "/desk/poison").await;
        assert_ne!(answer.status, 200);
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    let crashes = runs() - before;
    assert!(crashes <= 4, "{crashes} runs of the request");
    for id in ["da", "db"] {
        cluster.replica(id).set_mode(ReplicaMode::Answering(0));
    }
    for gateway in 0..3 {
        cluster.ask_until(gateway, "/desk/7", |answer| answer.status == 200).await;
        assert_eq!(cluster.ask(gateway, "/desk/poison").await.status, 503);
    }
}

/// Guards against nodes that start after the crashes and let the request in again, each anew.
#[tokio::test(flavor = "multi_thread")]
async fn started_nodes_know_crashes() {
    let mut cluster = Cluster::start(3).await;
    let mut repeats = Repeats::new("/desk/poison");
    assert_started_nodes_know(&mut cluster, &mut repeats).await;
}

/// Guards against nodes that start after the crashes and let a query over shards in again.
#[tokio::test(flavor = "multi_thread")]
async fn started_nodes_know_crashing_query() {
    let mut cluster = Cluster::start(3).await;
    let mut repeats = Repeats::new("/all/poison");
    assert_started_nodes_know(&mut cluster, &mut repeats).await;
}

/// Guards against a fleet that forgets the crashes once all its processes have been killed.
#[tokio::test(flavor = "multi_thread")]
async fn killed_fleet_knows_crashes() {
    let mut cluster = Cluster::start(3).await;
    cluster.set_modes(ReplicaMode::CrashingOn("poison"));
    let mut repeats = Repeats::new("/desk/poison");
    for attempt in 0..6 {
        repeats.ask(&cluster, attempt % 3).await;
    }
    for _ in 0..2 {
        cluster.gateways.clear();
        for gateway in 0..3 {
            cluster.add_gateway();
            cluster.ask_until(gateway, "/desk/1", |answer| answer.status == 200).await;
        }
        for attempt in 0..6 {
            repeats.ask(&cluster, attempt % 3).await;
        }
    }
    repeats.assert_few_reach_replicas(&cluster);
}

/// Guards against a request whose replicas fall silent, which no connection that breaks shows.
#[tokio::test(flavor = "multi_thread")]
async fn silent_replicas_count_as_crashed() {
    let cluster = Cluster::start(3).await;
    cluster.set_modes(ReplicaMode::FallingSilentOn("poison"));
    let mut repeats = Repeats::new("/desk/poison");
    for attempt in 0..9 {
        repeats.ask(&cluster, attempt % 3).await;
    }
    repeats.assert_few_reach_replicas(&cluster);
}

/// Guards against a request whose replicas end in the middle of their answers.
#[tokio::test(flavor = "multi_thread")]
async fn crashes_in_answers_count() {
    let cluster = Cluster::start(3).await;
    cluster.set_modes(ReplicaMode::CrashingInAnswerTo("poison"));
    let mut repeats = Repeats::new("/desk/poison");
    for attempt in 0..9 {
        repeats.ask(&cluster, attempt % 3).await;
    }
    repeats.assert_few_reach_replicas(&cluster);
}

/// Guards against a crash that is missed, as the replica accepts connections for a moment longer.
#[tokio::test(flavor = "multi_thread")]
async fn late_crashes_count() {
    let cluster = Cluster::start(3).await;
    cluster.set_modes(ReplicaMode::CrashingLateOn("poison"));
    let mut repeats = Repeats::new("/desk/poison");
    for attempt in 0..9 {
        // The replicas are down later and for longer.
        tokio::time::sleep(REPEAT_INTERVAL).await;
        repeats.ask(&cluster, attempt % 3).await;
    }
    repeats.assert_few_reach_replicas(&cluster);
}

/// Guards against a query that ends all its replicas in each of three attempts before it counts as
/// their cause.
#[tokio::test(flavor = "multi_thread")]
async fn second_attempt_quarantines_query() {
    let cluster = Cluster::start(3).await;
    cluster.set_modes(ReplicaMode::CrashingOn("poison"));
    let mut repeats = Repeats::new("/all/poison");
    for attempt in 0..6 {
        repeats.ask(&cluster, attempt % 3).await;
    }
    let reached = repeats.received(&cluster).into_iter().map(|request| request.attempt_id);
    assert_eq!(reached.collect::<IndexSet<_>>().len(), 2);
}

/// Guards against a quarantine that every node tries at once, and against a query whose trial ends a
/// replica of each shard.
#[tokio::test(flavor = "multi_thread")]
async fn one_trial_for_all_gateways() {
    let cluster = Cluster::start(3).await;
    cluster.set_modes(ReplicaMode::CrashingOn("poison"));
    let mut repeats = Repeats::new("/all/poison");
    for attempt in 0..4 {
        repeats.ask(&cluster, attempt % 3).await;
    }
    let before = repeats.received(&cluster).len();
    let end = Instant::now() + TIME_WITH_TRIAL;
    while Instant::now() < end {
        for gateway in 0..3 {
            repeats.ask(&cluster, gateway).await;
        }
    }
    assert_eq!(repeats.received(&cluster).len() - before, 1, "sends of the trial");
}

/// Guards against a request that stays refused although the replicas have been mended.
#[tokio::test(flavor = "multi_thread")]
async fn mended_requests_are_served() {
    let cluster = Cluster::start(3).await;
    cluster.set_modes(ReplicaMode::CrashingOn("poison"));
    let paths = ["/desk/poison", "/all/poison"];
    let mut repeats = paths.map(Repeats::new);
    for attempt in 0..4 {
        for repeats in &mut repeats {
            repeats.ask(&cluster, attempt % 3).await;
        }
    }
    cluster.set_modes(ReplicaMode::Answering(0));
    for path in paths {
        assert_eq!(cluster.ask(0, path).await.status, 503, "{path}");
    }
    let end = Instant::now() + TIME_WITH_TRIAL;
    for path in paths {
        while cluster.ask(1, path).await.status != 200 {
            assert!(Instant::now() < end, "{path} is still refused");
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        for gateway in 0..3 {
            cluster.ask_until(gateway, path, |answer| answer.status == 200).await;
        }
    }
}

/// Guards against a crashing query that is never quarantined, as sound queries of the same path are
/// answered meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn crashing_query_beside_sound_ones() {
    let cluster = Cluster::start(3).await;
    cluster.set_modes(ReplicaMode::CrashingOn("sku=666"));
    let mut repeats = Repeats::new("/desk/find?sku=666");
    for attempt in 0..9 {
        repeats.ask(&cluster, attempt % 3).await;
        for gateway in 0..3 {
            let sound = format!("/desk/find?sku={attempt}");
            cluster.ask_until(gateway, &sound, |answer| answer.status == 200).await;
        }
    }
    repeats.assert_few_reach_replicas(&cluster);
}

/// Guards against sound queries that are refused because another query of the path crashed replicas
/// while none of them ran.
#[tokio::test(flavor = "multi_thread")]
async fn crashing_query_spares_its_path() {
    let cluster = Cluster::start(3).await;
    cluster.set_modes(ReplicaMode::CrashingOn("sku=666"));
    let mut repeats = Repeats::new("/desk/find?sku=666");
    for attempt in 0..6 {
        repeats.ask(&cluster, attempt % 3).await;
    }
    tokio::time::sleep(REPEAT_INTERVAL).await;
    for gateway in 0..3 {
        for sku in 0..5 {
            let answer = cluster.ask(gateway, &format!("/desk/find?sku={sku}")).await;
            assert_eq!(answer.status, 200, "a sound query at gateway {gateway}");
        }
        assert_eq!(cluster.ask(gateway, "/desk/find?sku=666").await.status, 503);
    }
}

/// Guards against a crashing query that is never quarantined when relays send its parts, as sound
/// queries of the same path are answered meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn crashing_fan_out_beside_sound_ones() {
    let cluster = Cluster::start(3).await;
    cluster.set_modes(ReplicaMode::CrashingOn("sku=666"));
    let mut repeats = Repeats::new("/all/find?sku=666");
    for attempt in 0..6 {
        repeats.ask(&cluster, attempt % 3).await;
        for gateway in 0..3 {
            let sound = format!("/all/find?sku={attempt}");
            cluster.ask_until(gateway, &sound, |answer| answer.status == 200).await;
        }
    }
    repeats.assert_few_reach_replicas(&cluster);
}

/// Repeats the request on three nodes, and then on three that start one after the other.
async fn assert_started_nodes_know(cluster: &mut Cluster, repeats: &mut Repeats) {
    cluster.set_modes(ReplicaMode::CrashingOn("poison"));
    for attempt in 0..6 {
        repeats.ask(cluster, attempt % 3).await;
    }
    for _ in 0..3 {
        let gateway = cluster.add_gateway();
        cluster.ask_until(gateway, "/desk/1", |answer| answer.status == 200).await;
        for _ in 0..3 {
            repeats.ask(cluster, gateway).await;
        }
    }
    repeats.assert_few_reach_replicas(cluster);
}

/// The time after a quarantine within which a quarantined request gets its first trial, as callers
/// are told, with a margin.
const TIME_WITH_TRIAL: Duration = Duration::from_secs(40);

/// A request that its caller repeats, with the ids of its attempts.
struct Repeats {
    path: &'static str,
    attempt_ids: IndexSet<String>,
}

impl Repeats {
    fn new(path: &'static str) -> Self {
        Self { path, attempt_ids: IndexSet::new() }
    }

    /// Sends the request to a gateway once the replicas that crashed before are back.
    async fn ask(&mut self, cluster: &Cluster, gateway: usize) {
        tokio::time::sleep(REPEAT_INTERVAL).await;
        let attempt_id = unique_attempt_id();
        let address = cluster.gateways[gateway].callers_address();
        let answer = send_get(address, HOST, self.path, &attempt_id, 400).await.unwrap();
        assert_ne!(answer.status, 200);
        self.attempt_ids.insert(attempt_id);
    }

    /// Returns what the replicas received of the request, in the order of time.
    fn received(&self, cluster: &Cluster) -> Vec<ReceivedRequest> {
        let mut received: Vec<_> =
            cluster.replicas.iter().flat_map(ReplicaStandIn::received_requests).collect();
        received.retain(|request| self.attempt_ids.contains(&request.attempt_id));
        received.sort_by_key(|request| request.received_at);
        received
    }

    /// Checks that few attempts reach replicas after three replicas have crashed.
    fn assert_few_reach_replicas(&self, cluster: &Cluster) {
        let received = self.received(cluster);
        let (crashing, later) = received.split_at(3);
        let crashing: IndexSet<&String> =
            crashing.iter().map(|request| &request.attempt_id).collect();
        let later: IndexSet<&String> = later.iter().map(|request| &request.attempt_id).collect();
        let later = later.difference(&crashing).count();
        assert!(
            later <= MAX_LATER_ATTEMPTS,
            "{later} attempts after the third crash, {} sends in all",
            received.len()
        );
    }
}
