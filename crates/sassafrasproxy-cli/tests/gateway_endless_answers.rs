//! Tests servers that send bytes until their caller closes the connection.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod gateway;

use std::time::{Duration, Instant};

use http::Request;
use http_body_util::Full;
use sassafrasproxy_node::{PlatformClient, PlatformError};
use sassafrasproxy_platform_standin::{
    EndlessPart, EndlessServer, ReplicaStandIn, send_get, send_request,
};
use serde_json::{Value, json};
use tokio::task::JoinSet;

use crate::gateway::{Cluster, HOST, SHARD_COUNT, WAIT_TIMEOUT, unique_attempt_id};

/// The number of callers that ask at the same time.
const CALLERS: usize = 8;

/// The time for which they ask.
const PLAY: Duration = Duration::from_secs(4);

/// The time within which a request is served beside the trouble: the latency goal of the routes.
const GOAL: Duration = Duration::from_millis(400);

/// The number of replicas to which a request may be sent.
const MAX_ATTEMPTS: usize = 2;

/// The largest memory that a gateway may hold: the default limit of answers in flight, as much
/// again for what else it does.
const MAX_MEMORY_BYTES: u64 = 2 * 32 * 1_024 * 1_024;

/// The largest number of bytes that an answer may take from a server, with those in buffers of the
/// system.
const MAX_TAKEN_BYTES: u64 = 16 * 1_024 * 1_024;

/// What callers saw of the requests that they sent beside the trouble.
#[derive(Debug, Default)]
struct Outcome {
    requests: usize,
    /// The attempt id and the end of each request that was not served.
    unserved: Vec<(String, String)>,
    late: usize,
}

/// Asks for a path with several callers for a while.
async fn ask_for_a_while(cluster: &Cluster, gateway: usize, path: &'static str) -> Outcome {
    let end = Instant::now() + PLAY;
    let address = cluster.gateways[gateway].callers_address();
    let mut callers = JoinSet::new();
    for _ in 0..CALLERS {
        callers.spawn(async move {
            let mut outcome = Outcome::default();
            while Instant::now() < end {
                let begun = Instant::now();
                let attempt_id = unique_attempt_id();
                let answer = send_get(address, HOST, path, &attempt_id, 1_000).await;
                outcome.requests += 1;
                outcome.late += usize::from(begun.elapsed() > GOAL);
                match answer {
                    Ok(answer) if answer.status == 200 => {}
                    Ok(answer) => outcome.unserved.push((attempt_id, answer.status.to_string())),
                    Err(error) => outcome.unserved.push((attempt_id, error.to_string())),
                }
                tokio::time::sleep(Duration::from_millis(80)).await;
            }
            outcome
        });
    }
    let mut sum = Outcome::default();
    while let Some(outcome) = callers.join_next().await {
        let outcome = outcome.unwrap();
        sum.requests += outcome.requests;
        sum.late += outcome.late;
        sum.unserved.extend(outcome.unserved);
    }
    sum
}

/// Starts a gateway and five replicas of the service `desk`, one of which sends bytes without end.
async fn start(part: EndlessPart) -> (Cluster, EndlessServer) {
    let mut cluster = Cluster::start(2).await;
    for id in ["dc", "dd"] {
        let replica = ReplicaStandIn::start(id, "desk", "found");
        replica.register(&cluster.store, "west", "ready");
        cluster.replicas.push(replica);
    }
    let endless = EndlessServer::start(part);
    endless.register(&cluster.store, "de", "desk", "west");
    wait_until_listed(&cluster, "de").await;
    (cluster, endless)
}

/// Waits until all gateways know a replica.
async fn wait_until_listed(cluster: &Cluster, replica: &str) {
    let end = Instant::now() + WAIT_TIMEOUT;
    let is_listed =
        |line: &Value| line["message"] == "a replica is listed" && line["replica"] == *replica;
    while !cluster.gateways.iter().all(|gateway| gateway.log_lines().iter().any(is_listed)) {
        assert!(Instant::now() < end, "{replica} is not listed");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Plays a replica with an endless answer, and checks what callers see and what the gateway holds.
async fn assert_bounded(part: EndlessPart) {
    let (cluster, endless) = start(part).await;
    let outcome = ask_for_a_while(&cluster, 0, "/desk/7").await;
    let (peak, taken) = (cluster.gateways[0].peak_memory_bytes().unwrap(), endless.taken_bytes());
    let requests = endless.request_count() as u64;
    assert!(requests > 0, "the replica got no request");
    assert!(peak < MAX_MEMORY_BYTES, "{part:?}: {peak} bytes of memory");
    assert!(taken < requests * MAX_TAKEN_BYTES, "{part:?}: {taken} bytes in {requests} answers");
    assert!(outcome.unserved.is_empty(), "{part:?}: {outcome:?}");
    assert_eq!(outcome.late, 0, "{part:?}: {outcome:?}");
}

/// Guards against a node that collects an answer without end until it has no memory left.
#[tokio::test(flavor = "multi_thread")]
async fn endless_chunked_body() {
    assert_bounded(EndlessPart::ChunkedBody).await;
}

/// Guards against the same with a body whose length is given.
#[tokio::test(flavor = "multi_thread")]
async fn endless_long_body() {
    assert_bounded(EndlessPart::LongBody).await;
}

/// Guards against the same with a body that ends with its connection.
#[tokio::test(flavor = "multi_thread")]
async fn endless_body_until_close() {
    assert_bounded(EndlessPart::BodyUntilClose).await;
}

/// Guards against interim answers without end that take the processor from other requests.
#[tokio::test(flavor = "multi_thread")]
async fn endless_interim_heads() {
    assert_bounded(EndlessPart::InterimHeads).await;
}

/// Guards against bytes without end after an answer.
#[tokio::test(flavor = "multi_thread")]
async fn endless_bytes_after_answer() {
    assert_bounded(EndlessPart::AfterAnswer).await;
}

/// Guards against heads and trailers without end.
#[tokio::test(flavor = "multi_thread")]
async fn endless_heads_and_trailers() {
    for part in [EndlessPart::StatusLine, EndlessPart::HeaderLines, EndlessPart::Trailers] {
        assert_bounded(part).await;
    }
}

/// Guards against bytes without end that are no HTTP and come before any request.
#[tokio::test(flavor = "multi_thread")]
async fn endless_connection() {
    assert_bounded(EndlessPart::Connection).await;
}

/// Guards against many answers at once, each within its limit, that take more memory than there is;
/// the node counts them and names them in its log.
#[tokio::test(flavor = "multi_thread")]
async fn endless_answers_at_once() {
    let (mut cluster, endless) = start(EndlessPart::ChunkedBody).await;
    for id in ["df", "dg"] {
        endless.register(&cluster.store, id, "desk", "east");
    }
    let answers = json!({ "max_bytes": 1 << 20, "max_in_flight_bytes": 2 << 20 });
    let limited = cluster.add_gateway_with_settings(&[("answers", answers)]);
    cluster.ask_until(limited, "/desk/1", |answer| answer.status == 200).await;
    let before = cluster.gateways[limited].peak_memory_bytes().unwrap();
    let outcome = ask_for_a_while(&cluster, limited, "/desk/7").await;
    let peak = cluster.gateways[limited].peak_memory_bytes().unwrap();
    assert!(peak - before < 8 << 20, "{} bytes more than before", peak - before);
    // With three such replicas, both attempts that a request has may meet one.
    for (attempt_id, end) in &outcome.unserved {
        assert_eq!(endless.request_count_of(attempt_id), MAX_ATTEMPTS, "{attempt_id}: {end}");
    }
    let name = "gave up an answer that is too large; its connection is closed";
    let line = cluster.gateways[limited].wait_for_log_line(name).unwrap();
    assert!(["de", "df", "dg"].iter().any(|id| line["replica"] == **id), "{line}");
    assert!(line["error"].as_str().unwrap().contains("answers.max_"), "{line}");
    assert!(over_limit_count(&cluster, limited).await > 0);
}

/// Guards against a non-idempotent request that runs again after an answer without end.
#[tokio::test(flavor = "multi_thread")]
async fn endless_answer_to_order() {
    let (cluster, endless) = start(EndlessPart::BodyUntilClose).await;
    let address = cluster.gateways[0].callers_address();
    let mut lost = 0;
    for _ in 0..100 {
        let attempt_id = unique_attempt_id();
        let sent_before = endless.request_count();
        let answer = send_get(address, HOST, "/desk/order/7", &attempt_id, 1_000).await.unwrap();
        let received = cluster.replicas.iter().flat_map(ReplicaStandIn::received_requests);
        let runs = received.filter(|request| request.attempt_id == attempt_id).count();
        let endless_runs = endless.request_count() - sent_before;
        assert_eq!(runs + endless_runs, 1, "{attempt_id}");
        let expected = if endless_runs > 0 { 502 } else { 200 };
        assert_eq!(answer.status, expected, "{attempt_id}");
        lost += endless_runs;
    }
    assert!(lost > 0, "the replica got no order");
}

/// Guards against parts without end at the ingress node, and at a relay.
#[tokio::test(flavor = "multi_thread")]
async fn endless_parts() {
    let (cluster, _) = start(EndlessPart::ChunkedBody).await;
    let endless = EndlessServer::start(EndlessPart::ChunkedBody);
    for (shard, domain) in ["west", "east"].iter().enumerate() {
        endless.register(&cluster.store, &format!("s{shard}e"), &format!("shard-{shard}"), domain);
    }
    let outcome = ask_for_a_while(&cluster, 0, "/all/7").await;
    assert!(endless.request_count() > 0, "the replica got no request");
    assert!(outcome.unserved.is_empty(), "{outcome:?}");
    for gateway in &cluster.gateways {
        let peak = gateway.peak_memory_bytes().unwrap();
        assert!(peak < MAX_MEMORY_BYTES, "{peak} bytes of memory");
    }
}

/// Guards against a peer whose relay port sends without end: queries are sent to the replicas
/// directly.
#[tokio::test(flavor = "multi_thread")]
async fn endless_relay() {
    for part in [EndlessPart::Connection, EndlessPart::Frames] {
        let mut cluster = Cluster::start(1).await;
        // All replicas are near the relay, two for each shard, so that a lost part is sent again.
        for shard in 0..SHARD_COUNT {
            cluster.replica(&format!("s{shard}a")).register(&cluster.store, "east", "ready");
        }
        let endless = EndlessServer::start(part);
        let relay = json!(endless.address().to_string());
        let east = cluster.add_gateway_with_settings(&[("relay_advertise", relay)]);
        cluster.ask_until(east, "/all/1", |answer| answer.status == 200).await;
        let outcome = ask_for_a_while(&cluster, 0, "/all/7").await;
        assert!(endless.request_count() > 0, "{part:?}: the relay got no connection");
        let peak = cluster.gateways[0].peak_memory_bytes().unwrap();
        assert!(peak < MAX_MEMORY_BYTES, "{part:?}: {peak} bytes of memory");
        assert!(outcome.unserved.is_empty(), "{part:?}: {outcome:?}");
        let (taken, connections) = (endless.taken_bytes(), endless.request_count() as u64);
        assert!(taken < connections * MAX_TAKEN_BYTES, "{part:?}: {taken} bytes");
    }
}

/// Guards against a store that answers without end: the node keeps to its memory, and serves by what
/// its peers tell it.
#[tokio::test(flavor = "multi_thread")]
async fn endless_store() {
    let mut cluster = Cluster::start(1).await;
    let endless = EndlessServer::start(EndlessPart::ChunkedBody);
    let gateway = cluster.add_gateway_with_store(endless.address());
    cluster.ask_until(gateway, "/desk/1", |answer| answer.status == 200).await;
    tokio::time::sleep(PLAY).await;
    assert!(endless.request_count() > 0, "the store got no call");
    let peak = cluster.gateways[gateway].peak_memory_bytes().unwrap();
    assert!(peak < MAX_MEMORY_BYTES, "{peak} bytes of memory");
    assert_eq!(cluster.ask(gateway, "/desk/1").await.status, 200);
}

/// Guards against the same in the product's own client of its platform.
#[tokio::test(flavor = "multi_thread")]
async fn endless_platform_of_nodes() {
    for part in [EndlessPart::ChunkedBody, EndlessPart::LongBody, EndlessPart::BodyUntilClose] {
        let endless = EndlessServer::start(part);
        let base_url = format!("http://{}", endless.address());
        let platform = PlatformClient::new(base_url.into()).unwrap();
        assert_eq!(platform.list_vms().await, Err(PlatformError::Unknown), "{part:?}");
        tokio::time::sleep(Duration::from_millis(300)).await;
        assert_eq!(endless.request_count(), 1);
        let taken = endless.taken_bytes();
        assert!(taken < 2 * MAX_TAKEN_BYTES, "{part:?}: {taken} bytes");
    }
}

/// Returns the number of answers that a gateway has given up because of their size.
async fn over_limit_count(cluster: &Cluster, gateway: usize) -> u64 {
    let request = Request::get("/metrics").header("host", "h").body(Full::default()).unwrap();
    let answer = send_request(cluster.gateways[gateway].metrics_address(), request).await.unwrap();
    let text = String::from_utf8(answer.body.to_vec()).unwrap();
    let lines = text.lines().filter(|line| line.contains("answers_over_limit_total"));
    let counts = lines.filter_map(|line| line.split(' ').next_back()?.parse::<u64>().ok());
    counts.sum()
}
