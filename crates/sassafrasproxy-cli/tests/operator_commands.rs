//! Tests of the operators' commands against running nodes and stand-ins.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use std::path::Path;
use std::process::Output;
use std::time::{Duration, Instant};

use sassafrasproxy_standin::{Outage, PlatformFaults, run_command};
use serde_json::Value;
use support::{Cluster, WAIT_TIMEOUT, binary, search_until_complete};
use tempfile::TempDir;

fn run_cli(arguments: &[&str]) -> (i32, String, String) {
    let Output { status, stdout, stderr } = run_command(binary(), arguments).unwrap();
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).unwrap();
    (status.code().unwrap(), text(stdout), text(stderr))
}

fn run_cli_json(arguments: &[&str]) -> (i32, Value) {
    let (code, output, _) = run_cli(&[arguments, &["--json"]].concat());
    (code, serde_json::from_str(output.lines().last().unwrap()).unwrap())
}

fn write_service_file(dir: &Path, name: &str, port: u16) {
    let text = format!(
        "service: {name}\nindex: catalogue\nfailure_domains: [galway-1]\nupstreams:\n  \
         - {{ address: \"127.0.1.1:{port}\", failure_domain: galway-1, shards: [s0] }}\n\
         limits: {{ slots: 2, connections: 25, queue: 64 }}\ndeadline_ms: 90\n\
         kinds:\n  search: {{ idempotent: true, hedge: true }}\n"
    );
    std::fs::write(dir.join(format!("{name}.sassafras.yaml")), text).unwrap();
}

/// Waits until a node's status shows a revision for all members. A member reports its revision with
/// its heartbeats, so another node's status shows it up to one heartbeat interval later.
async fn wait_until_all_report_revision(node: &str, revision: u64) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    loop {
        let (_, status) = run_cli_json(&["status", "--node", node]);
        let members = status["members"].as_array().unwrap();
        if members.iter().all(|member| member["revision"] == revision) {
            return;
        }
        assert!(Instant::now() < deadline, "some members report another revision: {members:?}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

#[test]
fn help_and_usage_errors() {
    for arguments in [&["--help"][..], &["run", "--help"], &["domain", "out", "--help"]] {
        let (code, output, _) = run_cli(arguments);
        assert_eq!(code, 0);
        assert!(output.contains("Usage:"), "{output}");
    }
    assert_eq!(run_cli(&["fly"]).0, 2);
    assert_eq!(run_cli(&["query"]).0, 2);
    assert_eq!(run_cli(&["publish", "."]).0, 2, "the platform is not named");
}

#[test]
fn invalid_files() {
    let dir = TempDir::new().unwrap();
    let settings = dir.path().join("node.yaml");
    std::fs::write(&settings, "name: vm-1\ncolour: red\n").unwrap();
    let (code, _, errors) = run_cli(&["run", "--settings", settings.to_str().unwrap()]);
    assert_eq!(code, 2);
    assert!(errors.contains("node.yaml:2") && errors.contains("colour"), "{errors}");
    assert!(errors.contains("hint:"), "{errors}");

    write_service_file(dir.path(), "art", 7101);
    let path = dir.path().join("art.sassafras.yaml");
    let text = std::fs::read_to_string(&path).unwrap().replace("slots: 2", "slots: 0");
    std::fs::write(path, text).unwrap();
    let (code, problems) = run_cli_json(&["check", dir.path().to_str().unwrap()]);
    assert_eq!((code, problems["problems"][0]["line"].as_u64()), (2, Some(6)));
}

#[tokio::test(flavor = "multi_thread")]
async fn publishing() {
    let cluster = Cluster::start(0).await;
    let url = cluster.platform.url();
    let dir = TempDir::new().unwrap();
    write_service_file(dir.path(), "art", 7101);
    let dir_name = dir.path().to_str().unwrap();
    assert_eq!(run_cli_json(&["check", dir_name]).0, 0);

    let stale = ["publish", "--platform", url.as_str(), dir_name, "--expect", "7"];
    let (code, refused) = run_cli_json(&stale);
    assert_eq!((code, refused["reason"].as_str()), (1, Some("conflict")));
    assert_eq!(refused["published_by"], "test");

    let arguments = ["publish", "--platform", url.as_str(), dir_name, "--expect", "1"];
    let (code, done) = run_cli_json(&arguments);
    assert_eq!((code, done["revision"].as_u64()), (0, Some(2)));
    assert_eq!(done["changes"].as_array().unwrap().len(), 4, "one new, three gone");
    let (code, unchanged) = run_cli_json(&["publish", "--platform", url.as_str(), dir_name]);
    assert_eq!((code, unchanged["outcome"].as_str()), (0, Some("unchanged")));
    let chunks = cluster.platform.keys("configuration/chunk/");
    assert_eq!(chunks.len(), 1, "replaced chunks are removed: {chunks:?}");

    let (code, domains) = run_cli_json(&["domain", "list", "--platform", url.as_str()]);
    assert_eq!((code, domains["domains"]["galway-1"].as_str()), (0, Some("in")));
    assert_eq!(run_cli_json(&["domain", "out", "galway-9", "--platform", url.as_str()]).0, 1);
    assert_eq!(run_cli_json(&["domain", "out", "galway-1", "--platform", url.as_str()]).0, 0);
    let (_, domains) = run_cli_json(&["domain", "list", "--platform", url.as_str()]);
    assert_eq!(domains["domains"]["galway-1"], "out");
}

// Guards against a wrong outcome when the platform fails, or loses an answer, while an operator
// publishes. "Refused" after the change took effect, or "done" before it did, would mislead the
// operator.
#[tokio::test(flavor = "multi_thread")]
async fn platform_unavailable() {
    let cluster = Cluster::start(0).await;
    let url = cluster.platform.url();
    let outage = Some(Outage::Fail);
    cluster.platform.set_faults(PlatformFaults { outage, ..PlatformFaults::default() });
    let (code, refused) = run_cli_json(&["domain", "out", "galway-1", "--platform", url.as_str()]);
    assert_eq!((code, refused["reason"].as_str()), (1, Some("unavailable")));
    let faults = PlatformFaults { lose_answers: 1, ..PlatformFaults::default() };
    cluster.platform.set_faults(faults);
    let (code, done) = run_cli_json(&["domain", "out", "galway-1", "--platform", url.as_str()]);
    assert_eq!((code, done["revision"].as_u64()), (0, Some(2)));
}

#[tokio::test(flavor = "multi_thread")]
async fn inspection_commands() {
    let cluster = Cluster::start(2).await;
    let node = cluster.nodes[0].address();
    search_until_complete(node, &["art-archive", "counter-desk"]).await;
    search_until_complete(cluster.nodes[1].address(), &["counter-desk"]).await;
    let node = node.to_string();
    let (code, status) = run_cli_json(&["status", "--node", &node]);
    assert_eq!((code, status["revision"].as_u64()), (0, Some(1)));
    let members = status["members"].as_array().unwrap();
    assert_eq!(members.len(), 2);
    let own = members.iter().find(|member| member["node"] == "vm-0").unwrap();
    assert_eq!(own["revision"], 1, "a node shows its own revision at once: {members:?}");
    wait_until_all_report_revision(&node, 1).await;
    let (code, list) =
        run_cli_json(&["addresses", "--node", &node, "--failure-domain", "galway-2"]);
    assert_eq!(code, 0);
    assert_eq!(list["addresses"][0]["failure_domain"], "galway-2", "the caller's domain first");
    let arguments = ["query", "art-archive", "--node", &node, "--request-id", "ask-1"];
    let (code, answer) = run_cli_json(&arguments);
    assert_eq!((code, answer["coverage"]["fraction"].as_f64()), (0, Some(1.0)));
    let (code, refused) = run_cli_json(&["query", "nothing", "--node", &node]);
    assert_eq!((code, refused["reason"].as_str()), (1, Some("unknown_service")));
    let (code, output, _) = run_cli(&["timeline", "--nodes", &node]);
    assert_eq!(code, 0);
    for (event, from) in [("node_started", "vm-1"), ("revision_in_force", "vm-0")] {
        let has_event = |line: &str| line.contains(event) && line.contains(from);
        assert!(output.lines().any(has_event), "{event} of {from}");
    }
    let (_, output, _) = run_cli(&["timeline", "--nodes", &node, "--request", "ask-1"]);
    assert_eq!(output.lines().count(), 1, "{output}");
    assert!(output.contains("query_ended"), "{output}");
    for arguments in [&["status", "--node", &node][..], &["addresses", "--node", &node]] {
        assert_eq!(run_cli(arguments).0, 0);
    }
}
