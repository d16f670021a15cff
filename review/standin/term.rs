//! A node is stopped by SIGTERM. Callers that keep the directory's answer send it requests until it
//! closes its port, and the replica works on each for less time than the node may still run.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::gateway::{get, Gateway};
use crate::platform::Store;
use crate::replica::{Replica, Run};
use crate::{http, Record, Verdict};

const ZONES: [&str; 2] = ["kigali-a", "kigali-b"];

/// The deadline of callers and the timeout of the route, in milliseconds.
const DEADLINE_MS: u64 = 4_000;

/// The time that a replica works on a request.
const WORK: Duration = Duration::from_millis(2_600);

/// When callers send their requests, in milliseconds after the SIGTERM.
///
/// All are sent later than 3 s after it, and would be answered before 5.9 s; the grace is 6 s.
const SENT_AT_MS: [u64; 4] = [3_060, 3_120, 3_180, 3_240];

/// When the platform sends SIGKILL after the SIGTERM.
const GRACE: Duration = Duration::from_millis(6_000);

/// What a caller saw of its request.
struct Attempt {
    id: String,
    sent: Instant,
    ended: Instant,
    end: End,
}

#[derive(Debug, PartialEq)]
enum End {
    /// The connection could not be opened.
    NotConnected,
    /// A complete answer with this status arrived.
    Answered(u16),
    /// The connection ended without a complete answer.
    Cut,
    /// Nothing arrived until the deadline.
    Silent,
}

pub fn play(dir: &Path, record: &Record, has_trouble: bool) -> Verdict {
    let store = Store::start();
    store.put("op/config", CONFIGURATION);
    let runs = Arc::new(Mutex::new(Vec::new()));
    let replicas: Vec<Replica> = (0..7)
        .map(|index| Replica::start(&format!("i-{index}"), "dispatch", runs.clone(), |_| WORK))
        .collect();
    for (index, replica) in replicas.iter().enumerate() {
        store.put(&format!("servers/{}", replica.id), &replica.entry(ZONES[index % 2]));
    }
    let first = Gateway::start(dir, "edge-kigali-a-1", ZONES[0], store.address, &[]);
    let seeds = [first.peers];
    let second = Gateway::start(dir, "edge-kigali-b-1", ZONES[1], store.address, &seeds);
    if !first.wait_until_ready() || !second.wait_until_ready() {
        return Verdict::Failed("the gateways did not become ready".into());
    }
    thread::sleep(Duration::from_secs(3));
    let resolve = format!("/resolve?name=h.example&region=kigali&zone={}", ZONES[0]);
    let Some(resolved) = get(first.directory, &resolve) else {
        return Verdict::Failed("the directory did not answer".into());
    };
    let resolved = String::from_utf8_lossy(&resolved.body).into_owned();
    record.line(&format!("the directory answers {resolved}"));
    if !resolved.contains(&first.callers.to_string()) {
        return Verdict::Failed("the directory does not name the first node".into());
    }
    let term = Instant::now();
    if has_trouble {
        first.signal("TERM");
        record.line_at(term, "SIGTERM to edge-kigali-a-1");
    }
    let callers: Vec<_> = SENT_AT_MS
        .iter()
        .enumerate()
        .map(|(index, at_ms)| {
            let (at, address) = (term + Duration::from_millis(*at_ms), first.callers);
            thread::spawn(move || ask(address, &format!("a{index}"), at))
        })
        .collect();
    thread::sleep((term + GRACE).saturating_duration_since(Instant::now()));
    if has_trouble {
        first.signal("KILL");
        record.line("SIGKILL to edge-kigali-a-1, 6 s after the SIGTERM");
    }
    let attempts: Vec<Attempt> = callers.into_iter().map(|caller| caller.join().unwrap()).collect();
    let runs = runs.lock().unwrap().clone();
    judge(record, term, &attempts, &runs)
}

/// LOST: the request was passed on to a replica, was sent later than 3 s after the SIGTERM, neither
/// its deadline nor the route's timeout was reached, and the connection ended without an answer.
fn judge(record: &Record, term: Instant, attempts: &[Attempt], runs: &[Run]) -> Verdict {
    let mut is_broken = false;
    let mut has_run = false;
    for attempt in attempts {
        let (id, end) = (&attempt.id, &attempt.end);
        let sent_ms = attempt.sent.duration_since(term).as_millis();
        let ended_ms = attempt.ended.duration_since(term).as_millis();
        record.line_at(attempt.sent, &format!("{id} sent, {sent_ms} ms after the SIGTERM"));
        let run = runs.iter().find(|run| run.attempt == *id);
        if let Some(run) = run {
            let end_ms = run.ended.map(|ended| ended.duration_since(term).as_millis());
            let text = format!("{id} runs at {}, work done at {end_ms:?} ms", run.replica);
            record.line_at(run.started, &text);
        }
        record.line_at(attempt.ended, &format!("{id}: {end:?}, {ended_ms} ms after the SIGTERM"));
        has_run |= run.is_some();
        let is_late = attempt.ended >= attempt.sent + Duration::from_millis(DEADLINE_MS);
        is_broken |= run.is_some() && *end == End::Cut && sent_ms > 3_000 && !is_late;
    }
    match (is_broken, has_run) {
        (true, _) => Verdict::Broken,
        (false, true) => Verdict::Held,
        (false, false) if attempts.iter().all(|one| one.end == End::NotConnected) => Verdict::Held,
        (false, false) => Verdict::Failed("no request reached a replica".into()),
    }
}

fn ask(address: SocketAddr, id: &str, at: Instant) -> Attempt {
    thread::sleep(at.saturating_duration_since(Instant::now()));
    let sent = Instant::now();
    let end = exchange(address, id);
    Attempt { id: id.into(), sent, ended: Instant::now(), end }
}

fn exchange(address: SocketAddr, id: &str) -> End {
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
        return End::NotConnected;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_millis(DEADLINE_MS)));
    let request = format!(
        "POST /order/new HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: {id}\r\n\
         X-Deadline-Ms: {DEADLINE_MS}\r\nContent-Length: 5\r\n\r\nprint"
    );
    if stream.write_all(request.as_bytes()).is_err() {
        return End::Cut;
    }
    match http::read(&mut BufReader::new(stream)) {
        Ok(Some(answer)) => End::Answered(answer.path.parse().unwrap_or(0)),
        Ok(None) => End::Cut,
        Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => End::Silent,
        Err(_) => End::Cut,
    }
}

const CONFIGURATION: &str = r#"{"version":3,"routes":[{"name":"r-order","host":"h.example",
"prefix":"/order/","route_type":"non_idempotent","timeout_ms":4000,"latency_goal_ms":3000,
"max_attempts":2,"priority":1,"service":"dispatch"}],
"services":[{"name":"dispatch","health_path":"/health","max_connections":100}],
"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":5000,
"idle_timeout_ms":15000}}"#;
