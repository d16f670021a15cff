//! A replica leaves without a word: its entry is removed, and it serves for some seconds more. The
//! store cuts the waiting watches of the gateways once before that and once after.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::gateway::Gateway;
use crate::platform::Store;
use crate::replica::Replica;
use crate::{http, Record, Verdict};

const ZONES: [&str; 2] = ["kigali-a", "kigali-b"];

/// The zone of each replica.
const REPLICA_ZONES: [&str; 7] =
    ["kigali-a", "kigali-a", "kigali-a", "kigali-b", "kigali-b", "kigali-c", "kigali-c"];

/// The bound `drain_ms`.
const DRAIN: Duration = Duration::from_millis(3_000);

/// The time from the first cut of the watches to the removal of the entry: longer than `contact_ms`.
const REMOVE_AFTER: Duration = Duration::from_millis(4_800);

/// The time from the first cut of the watches to the second one.
const SECOND_CUT_AFTER: Duration = Duration::from_millis(5_600);

/// The time for which the replica serves after its entry was removed.
const EXIT_AFTER: Duration = Duration::from_millis(6_000);

/// The bound `contact_ms`. Only requests are judged that come longer than this after the second
/// cut, so that the gateways count as in touch even if a cut watch counts as a reset connection.
const CONTACT: Duration = Duration::from_millis(4_000);

/// How long requests are sent after the removal.
const WATCHED: Duration = Duration::from_millis(7_500);

const INTERVAL: Duration = Duration::from_millis(40);
const WORK: Duration = Duration::from_millis(250);
const DEADLINE_MS: u64 = 4_000;

struct Attempt {
    id: String,
    sent: Instant,
    ended: Instant,
    status: Option<u16>,
}

pub fn play(dir: &Path, record: &Record, has_trouble: bool) -> Verdict {
    let store = Store::start();
    store.put("op/config", CONFIGURATION);
    let runs = Arc::new(Mutex::new(Vec::new()));
    let replicas: Vec<Replica> = (0..7)
        .map(|index| Replica::start(&format!("i-{index}"), "dispatch", runs.clone(), |_| WORK))
        .collect();
    for (index, replica) in replicas.iter().enumerate() {
        store.put(&format!("servers/{}", replica.id), &replica.entry(REPLICA_ZONES[index]));
    }
    let first = Gateway::start(dir, "edge-kigali-a-1", ZONES[0], store.address, &[]);
    let seeds = [first.peers];
    let second = Gateway::start(dir, "edge-kigali-b-1", ZONES[1], store.address, &seeds);
    if !first.wait_until_ready() || !second.wait_until_ready() {
        return Verdict::Failed("the gateways did not become ready".into());
    }
    thread::sleep(Duration::from_secs(6));
    let begin = Instant::now();
    let callers = [first.callers, second.callers].map(|address| {
        let end = begin + REMOVE_AFTER + WATCHED;
        thread::spawn(move || ask_until(address, end))
    });
    if has_trouble {
        store.cut_watches();
        record.line("the store cuts the waiting watches");
    }
    sleep_until(begin + REMOVE_AFTER);
    store.remove("servers/i-0");
    let removed = Instant::now();
    record.line_at(removed, "the entry of i-0 is removed; the store has accepted it");
    sleep_until(begin + SECOND_CUT_AFTER);
    if has_trouble {
        store.cut_watches();
        record.line("the store cuts the waiting watches");
    }
    sleep_until(removed + EXIT_AFTER);
    replicas[0].exit();
    record.line("i-0 exits");
    let attempts: Vec<Attempt> =
        callers.into_iter().flat_map(|caller| caller.join().unwrap()).collect();
    let runs = runs.lock().unwrap().clone();
    for attempt in &attempts {
        let id = &attempt.id;
        let ran: Vec<&str> =
            runs.iter().filter(|run| run.attempt == *id).map(|run| run.replica.as_str()).collect();
        record.line_at(attempt.sent, &format!("{id} sent"));
        let status = attempt.status.map_or("no answer".into(), |status| status.to_string());
        record.line_at(attempt.ended, &format!("{id}: {status}, ran at {}", ran.join(" ")));
    }
    let judged_from = (removed + DRAIN).max(begin + SECOND_CUT_AFTER + CONTACT);
    let late: Vec<_> =
        runs.iter().filter(|run| run.replica == "i-0" && run.started > judged_from).collect();
    for run in &late {
        let after_ms = run.started.duration_since(removed).as_millis();
        let text = format!("{} reaches i-0 {after_ms} ms after its entry was removed", run.attempt);
        record.line_at(run.started, &text);
    }
    let lost = late.iter().filter(|run| {
        attempts.iter().any(|attempt| attempt.id == run.attempt && attempt.status != Some(200))
    });
    let answered = attempts.iter().filter(|attempt| attempt.status == Some(200)).count();
    record.line(&format!(
        "{} requests, {answered} answered 200; {} reached i-0 late, of which {} were lost",
        attempts.len(),
        late.len(),
        lost.count()
    ));
    match (late.is_empty(), answered) {
        (_, 0) => Verdict::Failed("no request was served".into()),
        (true, _) => Verdict::Held,
        (false, _) => Verdict::Broken,
    }
}

fn sleep_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}

fn ask_until(address: SocketAddr, end: Instant) -> Vec<Attempt> {
    let mut threads = Vec::new();
    let mut number = 0;
    while Instant::now() < end {
        let id = format!("a{}-{number}", address.port());
        threads.push(thread::spawn(move || {
            let sent = Instant::now();
            let status = exchange(address, &id);
            Attempt { id, sent, ended: Instant::now(), status }
        }));
        number += 1;
        thread::sleep(INTERVAL);
    }
    threads.into_iter().map(|thread| thread.join().unwrap()).collect()
}

fn exchange(address: SocketAddr, id: &str) -> Option<u16> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_millis(DEADLINE_MS))).ok()?;
    let request = format!(
        "POST /order/new HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: {id}\r\n\
         X-Deadline-Ms: {DEADLINE_MS}\r\nContent-Length: 5\r\n\r\nprint"
    );
    stream.write_all(request.as_bytes()).ok()?;
    let answer = http::read(&mut BufReader::new(stream)).ok()??;
    answer.path.parse().ok()
}

const CONFIGURATION: &str = r#"{"version":3,"routes":[{"name":"r-order","host":"h.example",
"prefix":"/order/","route_type":"non_idempotent","timeout_ms":4000,"latency_goal_ms":400,
"max_attempts":2,"priority":1,"service":"dispatch"}],
"services":[{"name":"dispatch","health_path":"/health","max_connections":100}],
"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":5000,
"idle_timeout_ms":15000}}"#;
