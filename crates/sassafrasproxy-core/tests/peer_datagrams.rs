//! Tests datagrams between nodes of builds that differ in what they report.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod nodes;

use nodes::Fleet;
use sassafrasproxy_core::{AnsweredRequest, PeerDatagram, WorkReport};

fn datagram() -> PeerDatagram {
    let mut fleet = Fleet::new(3);
    fleet.run_s(5);
    fleet.nodes[0].tick(fleet.now_us).remove(0).datagram
}

/// Guards against nodes that refuse the datagrams of builds without the report of the work, while
/// the nodes of a fleet are replaced.
#[test]
fn nodes_without_work_reports() {
    let sent = datagram();
    let bytes = sent.encode().unwrap();
    let work_length = postcard::to_stdvec(&sent.work).unwrap().len();
    let without_work = &bytes[..bytes.len() - work_length];
    let received = PeerDatagram::decode(without_work).unwrap();
    assert_eq!(received, PeerDatagram { work: WorkReport::default(), ..sent.clone() });
    assert_eq!(PeerDatagram::decode(&bytes).unwrap(), sent);
}

/// Guards against a node that reports more work than all nodes can do, which would make all of them
/// ingress nodes for minutes.
#[test]
fn impossible_work_is_limited() {
    let mut fleet = Fleet::new(30);
    fleet.run_s(5);
    let mut wrong = datagram();
    wrong.work = WorkReport { level: u8::MAX, falls_in: u16::MAX };
    fleet.nodes[0].receive(fleet.now_us, "127.0.0.1:9", &wrong);
    fleet.nodes[0].tick(fleet.now_us);
    let all_millis: u32 = fleet.nodes[0].directory_nodes().iter().map(|node| node.cpu_millis).sum();
    // Levels are nine hundredths apart.
    assert!(f64::from(fleet.nodes[0].work_millis()) <= 1.1 * f64::from(all_millis));
}

/// Guards against nodes that refuse the datagrams of builds with notices of answers, or send such
/// notices in a way that hides the rest of the datagram.
#[test]
fn nodes_without_answer_notices() {
    let sent = datagram();
    let answered_requests = vec![AnsweredRequest { fingerprint: 7, answer_id: 9 }];
    let with_notice = PeerDatagram { answered_requests, ..sent.clone() };
    let bytes = with_notice.encode().unwrap();
    assert_eq!(PeerDatagram::decode(&bytes).unwrap(), with_notice);
    // A build without the notices reads the work and ignores what follows it.
    let without_length = sent.encode().unwrap().len();
    let work_length = postcard::to_stdvec(&sent.work).unwrap().len();
    let rest = &bytes[without_length - work_length..];
    assert_eq!(postcard::from_bytes::<WorkReport>(rest).unwrap(), sent.work);
    assert_eq!(PeerDatagram::decode(&bytes[..without_length]).unwrap(), sent);
}
