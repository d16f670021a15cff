//! A node is stopped by SIGTERM. Callers that keep the directory's answer send it orders until it
//! closes its port. The replicas are busy: an order waits its turn there, and would still be answered
//! before its deadline and before the end of the grace.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::gateway::{get, Gateway};
use crate::platform::Store;
use crate::replica::{Capacity, Replica, Run};
use crate::{http, Record, Verdict};

const ZONES: [&str; 3] = ["kigali-a", "kigali-b", "kigali-c"];

/// The deadline of callers and the timeout of the route, in milliseconds.
const DEADLINE_MS: u64 = 4_000;

/// The replicas of `route-plan`, and the longest work of a `lot-fetch`.
const REPLICAS: usize = 3;
const CAPACITY: Capacity = Capacity { slots: 3, queue: 12, work: Duration::from_millis(540) };

/// The pause between two orders, of which each node gets every second one: 22.5 a second in all.
const INTERVAL: Duration = Duration::from_micros(44_444);

/// The time for which orders are sent before the SIGTERM, until the queues are nearly full.
const BEFORE: Duration = Duration::from_secs(11);

/// When the platform sends SIGKILL after the SIGTERM.
const GRACE: Duration = Duration::from_millis(6_000);

/// What a caller saw of its request.
struct Attempt {
    id: String,
    address: SocketAddr,
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
    let replicas: Vec<Replica> = (0..REPLICAS)
        .map(|index| Replica::start(&format!("i-{index}"), "route-plan", CAPACITY, runs.clone()))
        .collect();
    for (index, replica) in replicas.iter().enumerate() {
        store.put(&format!("servers/{}", replica.id), &replica.entry(ZONES[index]));
    }
    let first = Gateway::start(dir, "edge-kigali-a-1", ZONES[0], store.address, &[]);
    let seeds = [first.peers];
    let second = Gateway::start(dir, "edge-kigali-b-1", ZONES[1], store.address, &seeds);
    if !first.wait_until_ready() || !second.wait_until_ready() {
        return Verdict::Failed("the gateways did not become ready".into());
    }
    thread::sleep(Duration::from_secs(3));
    let addresses = [first.callers, second.callers];
    let begin = Instant::now();
    let sender = thread::spawn(move || send_orders(addresses, begin + BEFORE + GRACE));
    thread::sleep(BEFORE);
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
    thread::sleep((term + GRACE).saturating_duration_since(Instant::now()));
    if has_trouble {
        first.signal("KILL");
        record.line("SIGKILL to edge-kigali-a-1, 6 s after the SIGTERM");
    }
    let attempts = sender.join().unwrap();
    let runs = runs.lock().unwrap().clone();
    judge(record, term, first.callers, &attempts, &runs)
}

/// LOST: the first node took the order, sent later than 3 s after the SIGTERM, and passed it on to a
/// replica; neither its deadline nor the route's timeout was reached, and the connection ended
/// without an answer.
fn judge(
    record: &Record,
    term: Instant,
    first: SocketAddr,
    attempts: &[Attempt],
    runs: &[Run],
) -> Verdict {
    let mut lost = 0;
    for attempt in attempts {
        let (id, end) = (&attempt.id, &attempt.end);
        record.line_at(attempt.sent, &format!("{id} sent to {}", attempt.address));
        let run = runs.iter().find(|run| run.attempt == *id);
        if let Some(run) = run {
            record.line_at(run.arrived, &format!("{id} reaches {}", run.replica));
        }
        if let Some(ended) = run.and_then(|run| run.ended) {
            record.line_at(ended, &format!("{id}: work done"));
        }
        record.line_at(attempt.ended, &format!("{id}: {end:?}"));
        let sent_ms = attempt.sent.saturating_duration_since(term).as_millis();
        let is_late = attempt.ended >= attempt.sent + Duration::from_millis(DEADLINE_MS);
        let is_cut = attempt.address == first && run.is_some() && *end == End::Cut;
        if is_cut && sent_ms > 3_000 && !is_late {
            lost += 1;
            let ended_ms = attempt.ended.duration_since(term).as_millis();
            let text =
                format!("{id} is lost: sent {sent_ms} ms, cut {ended_ms} ms after the SIGTERM");
            record.line_at(attempt.ended, &text);
        }
    }
    let served = attempts.iter().filter(|attempt| attempt.end == End::Answered(200)).count();
    record.line(&format!("{} orders, {served} served, {lost} lost", attempts.len()));
    match (lost, served) {
        (_, 0) => Verdict::Failed("no order was served".into()),
        (0, _) => Verdict::Held,
        (_, _) => Verdict::Broken,
    }
}

/// Sends orders to the nodes in turn until a time.
fn send_orders(addresses: [SocketAddr; 2], end: Instant) -> Vec<Attempt> {
    let mut callers = Vec::new();
    let mut due = Instant::now();
    while due < end {
        let number = callers.len();
        let address = addresses[number % addresses.len()];
        callers.push(thread::spawn(move || {
            let sent = Instant::now();
            let id = format!("a{number}");
            let end = exchange(address, &id);
            Attempt { id, address, sent, ended: Instant::now(), end }
        }));
        due += INTERVAL;
        thread::sleep(due.saturating_duration_since(Instant::now()));
    }
    callers.into_iter().map(|caller| caller.join().unwrap()).collect()
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
"prefix":"/order/","route_type":"non_idempotent","timeout_ms":4000,"latency_goal_ms":400,
"max_attempts":2,"priority":1,"service":"route-plan"}],
"services":[{"name":"route-plan","health_path":"/health","max_connections":100}],
"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":5000,
"idle_timeout_ms":15000}}"#;
