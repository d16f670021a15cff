//! Tests of queries through separate processes, from caller to upstream and back.

mod support;

use std::time::{Duration, Instant};

use sassafrasproxy_standin::{RunOutcome, Stragglers, UpstreamFault};
use sassafrasproxy_wire::{FailureReason, Outcome};
use serde_json::json;
use support::{Cluster, WAIT_TIMEOUT, search_until_complete, send_query};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpStream, UdpSocket};

#[tokio::test(flavor = "multi_thread")]
async fn complete_answer() {
    let cluster = Cluster::start(3).await;
    for node in &cluster.nodes {
        let answer = search_until_complete(node.address(), &["art-archive", "counter-desk"]).await;
        assert_eq!(answer.outcome, Outcome::Answered);
        assert_eq!(answer.snapshot, 7);
        let covered: Vec<String> =
            answer.coverage.covered.iter().map(ToString::to_string).collect();
        assert_eq!(covered, ["art-archive/s0", "art-archive/s1", "counter-desk/s0"]);
        for result in &answer.results {
            let body: serde_json::Value = serde_json::from_str(result.body.get()).unwrap();
            assert_eq!(body["shard"], result.shard.shard.as_str());
            assert_eq!(body["echo"], json!({ "text": "verse" }));
        }
    }
}

// Guards against searches that hang, or that omit shards without saying so, after a node is killed
// with SIGKILL. Membership views lag behind, so for a while the other nodes still treat it as the
// home of its groups. Every answer must state its coverage correctly, and soon be complete again.
#[tokio::test(flavor = "multi_thread")]
async fn killed_node() {
    let mut cluster = Cluster::start(3).await;
    for node in &cluster.nodes {
        search_until_complete(node.address(), &["art-archive", "counter-desk"]).await;
    }
    cluster.nodes[2].kill().unwrap();
    for node in &cluster.nodes[..2] {
        let answer = search_until_complete(node.address(), &["art-archive", "counter-desk"]).await;
        assert_eq!(answer.coverage.fraction, 1.0);
    }
}

// Guards against queries that stall until their deadline while a node is paused with SIGSTOP. Its
// sockets stay open and accept bytes, but it answers nothing, so a paused home looks like a slow
// one. The ingress node must route around it.
#[tokio::test(flavor = "multi_thread")]
async fn paused_node() {
    let cluster = Cluster::start(3).await;
    for node in &cluster.nodes {
        search_until_complete(node.address(), &["art-archive", "counter-desk"]).await;
    }
    cluster.nodes[1].pause().unwrap();
    search_until_complete(cluster.nodes[0].address(), &["art-archive", "counter-desk"]).await;
    cluster.nodes[1].resume().unwrap();
    search_until_complete(cluster.nodes[1].address(), &["art-archive", "counter-desk"]).await;
}

// Guards against upstream slots that stay occupied until the deadline after a caller disconnects
// while its search runs. The cancellation must reach the upstream.
#[tokio::test(flavor = "multi_thread")]
async fn caller_disconnects() {
    let cluster = Cluster::start(2).await;
    let straggle = Some(Stragglers { probability: 1.0, factor: 10_000.0 });
    for node in &cluster.nodes {
        search_until_complete(node.address(), &["counter-desk"]).await;
    }
    cluster.upstreams.iter().for_each(|(_, upstream)| {
        upstream.apply_fault(UpstreamFault::Straggle(straggle));
    });
    for node in &cluster.nodes {
        let body = json!({ "services": ["counter-desk"], "kind": "search", "body": {} });
        let node = node.address();
        let mut call = TcpStream::connect(node).await.unwrap();
        let text = body.to_string();
        let head = format!(
            "POST /v1/query HTTP/1.1\r\nhost: {node}\r\nx-deadline-ms: 60000\r\n\
             content-length: {}\r\n\r\n",
            text.len()
        );
        call.write_all((head + &text).as_bytes()).await.unwrap();
        let running = || cluster.upstreams.iter().map(|(_, one)| one.running()).sum::<u32>();
        while running() == 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        drop(call);
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while running() > 0 {
            assert!(Instant::now() < deadline, "a search still runs after its caller disconnected");
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }
    let runs = cluster.upstreams.iter().flat_map(|(_, upstream)| upstream.runs());
    let outcomes: Vec<_> = runs
        .map(|run| run.outcome)
        .filter(|outcome| *outcome != Some(RunOutcome::Answered))
        .collect();
    // More than one run for each caller would mean that the node abandoned a send and repeated it,
    // rather than cancelling it.
    assert_eq!(outcomes, [Some(RunOutcome::Cancelled); 2]);
}

#[tokio::test(flavor = "multi_thread")]
async fn metrics() {
    let statsd = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let mut cluster = Cluster::start(0).await;
    cluster.statsd = Some(statsd.local_addr().unwrap());
    cluster.add_node(0);
    let node = cluster.nodes[0].address();
    search_until_complete(node, &["art-archive"]).await;
    let unknown = json!({ "services": ["art-archive"], "kind": "fly", "body": {} });
    send_query(node, unknown.to_string(), &[]).await.unwrap_err();
    let mut missing_metrics = vec![
        "sassafrasproxy.queries:1|c|#node:vm-0,outcome:answered",
        "sassafrasproxy.query_ms:",
        "sassafrasproxy.coverage_ratio:1",
        "sassafrasproxy.sub_requests:1|c",
        "sassafrasproxy.upstream_sends:1|c",
    ];
    let mut buffer = [0; 2_048];
    let all = async {
        while !missing_metrics.is_empty() {
            // The node sends its metrics when its buffer is full, so queries must continue.
            search_until_complete(node, &["art-archive"]).await;
            while let Ok(length) = statsd.try_recv(&mut buffer) {
                let text = String::from_utf8_lossy(&buffer[..length]).into_owned();
                missing_metrics.retain(|name| !text.lines().any(|line| line.starts_with(name)));
            }
        }
    };
    assert!(
        tokio::time::timeout(WAIT_TIMEOUT, all).await.is_ok(),
        "never sent: {missing_metrics:?}"
    );
}

// Checks that the faults of the stand-ins can be set over HTTP, as manual tests do.
#[tokio::test(flavor = "multi_thread")]
async fn faults_over_http() {
    let cluster = Cluster::start(1).await;
    let node = cluster.nodes[0].address();
    search_until_complete(node, &["counter-desk"]).await;
    let client = reqwest::Client::builder().no_proxy().build().unwrap();
    let outage = json!({ "outage": "fail" });
    let url = format!("{}/standin/faults", cluster.platform.url());
    let response = client.post(url).json(&outage).send().await.unwrap();
    assert!(response.status().is_success());
    let reorder = json!({ "services": ["counter-desk"], "kind": "reorder", "body": {} });
    let headers = [("x-request-id", "order-1")];
    let (_, refusal) = send_query(node, reorder.to_string(), &headers).await.unwrap_err();
    assert_eq!(refusal.reason, FailureReason::ClaimUnavailable);
    for (service, upstream) in &cluster.upstreams {
        let url = format!("http://{}/standin/fault", upstream.address());
        let fault = json!({ "shed": service == "counter-desk" });
        let response = client.post(url).json(&fault).send().await.unwrap();
        assert!(response.status().is_success());
    }
    let search = json!({ "services": ["counter-desk"], "kind": "search", "body": {} });
    let (status, refusal) = send_query(node, search.to_string(), &[]).await.unwrap_err();
    assert_eq!(
        (status, refusal.reason, refusal.outcome),
        (429, FailureReason::Shed, Outcome::NotRun)
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_requests() {
    let cluster = Cluster::start(1).await;
    let node = cluster.nodes[0].address();
    search_until_complete(node, &["counter-desk"]).await;
    let good = json!({ "services": ["counter-desk"], "kind": "search", "body": {} });
    let with = |field: &str, value: serde_json::Value| {
        let mut request = good.clone();
        request[field] = value;
        request.to_string()
    };
    let oversized = with("body", "x".repeat(2 << 20).into());
    let cases = [
        ("malformed", "{".to_owned(), vec![], 400, FailureReason::BadRequest),
        ("unknown field", with("colour", 1.into()), vec![], 400, FailureReason::BadRequest),
        ("no services", with("services", json!([])), vec![], 400, FailureReason::BadRequest),
        ("oversized", oversized, vec![], 413, FailureReason::BodyTooLarge),
        (
            "unknown service",
            with("services", json!(["x"])),
            vec![],
            404,
            FailureReason::UnknownService,
        ),
        ("unknown kind", with("kind", "x".into()), vec![], 400, FailureReason::UnknownKind),
        ("bad coverage", with("min_coverage", 2.into()), vec![], 400, FailureReason::BadRequest),
        (
            "several indexes",
            with("services", json!(["counter-desk", "invoice-book"])),
            vec![],
            400,
            FailureReason::SeveralIndexes,
        ),
        (
            "bad deadline",
            good.to_string(),
            vec![("x-deadline-ms", "soon")],
            400,
            FailureReason::BadRequest,
        ),
        ("no key", with("kind", "reorder".into()), vec![], 400, FailureReason::MissingRequestId),
    ];
    for (name, body, headers, status, reason) in cases {
        let (got_status, refusal) = send_query(node, body, &headers).await.unwrap_err();
        assert_eq!((got_status, refusal.reason), (status, reason), "{name}");
        assert_eq!(refusal.outcome, Outcome::NotRun, "{name}");
    }
    search_until_complete(node, &["counter-desk"]).await;
}

// Guards against two answers under one request id. A caller's program reuses an id by mistake while
// its first request still runs, and could take one request's answer for the other's.
#[tokio::test(flavor = "multi_thread")]
async fn duplicate_request_id() {
    let cluster = Cluster::start(1).await;
    let node = cluster.nodes[0].address();
    search_until_complete(node, &["counter-desk"]).await;
    cluster.upstreams.iter().for_each(|(_, upstream)| {
        let straggle = Stragglers { probability: 1.0, factor: 100.0 };
        upstream.apply_fault(UpstreamFault::Straggle(Some(straggle)));
    });
    let body = json!({ "services": ["counter-desk"], "kind": "search", "body": {} }).to_string();
    let headers = [("x-request-id", "same"), ("x-deadline-ms", "2000")];
    let first = send_query(node, body.clone(), &headers);
    let second = async {
        while cluster.upstreams.iter().all(|(_, upstream)| upstream.running() == 0) {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        send_query(node, body.clone(), &headers).await
    };
    let (first, second) = tokio::join!(first, second);
    assert_eq!(first.unwrap().request_id, "same");
    let (status, refusal) = second.unwrap_err();
    assert_eq!((status, refusal.reason), (409, FailureReason::DuplicateRequestId));
}
