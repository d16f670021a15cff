//! A request that crashes the replicas that run it comes again: from a caller that leaves before the
//! replica has crashed, or while all gateways are killed between its crashes.

use std::collections::BTreeSet;
use std::fs::{self, File, OpenOptions};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::process::{Child, Command, ExitCode, Stdio, exit};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http;
use crate::store::Store;

const HOST: &str = "shop.example";
const CRASH_PATH: &str = "/sku/7f31";
/// The zones of the machines, and of the replicas.
const MACHINE_ZONES: [&str; 8] = ["a", "a", "a", "b", "b", "c", "c", "d"];
const REPLICA_ZONES: [&str; 4] = ["a", "b", "c", "d"];
/// Most replicas drop a request when its connection closes; this one does not.
const STUBBORN_REPLICA: usize = 3;
/// The bound `contact_ms`.
const CONTACT: Duration = Duration::from_secs(4);
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// A replica is back some seconds after its crash.
const RESTART_DELAY: Duration = Duration::from_secs(2);
/// How long a replica works on the request before it crashes.
const CRASH_AFTER_MS: u64 = 200;
/// Within half of the latency objective of 250 ms.
const LEAVE_AFTER: Duration = Duration::from_millis(100);
const DEADLINE: Duration = Duration::from_millis(1_500);
const REPEAT_INTERVAL: Duration = Duration::from_secs(1);
/// How long clients leave early at a time, and from one such spell to the next; the request comes
/// in these spells only.
const SPELL: Duration = Duration::from_secs(8);
const SPELL_INTERVAL: Duration = Duration::from_secs(12);
const RUN_TIME: Duration = Duration::from_secs(60);
/// How often all gateways are killed.
const LIVES: usize = 11;
/// The most retries that may reach replicas later than `contact_ms` after the third crash.
const MAX_RETRIES: usize = 3;

/// What disturbs the gateways.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scenario {
    /// The caller of the crashing request leaves early.
    CallersLeave,
    /// All gateways are killed a second after each crash.
    FleetIsKilled,
}

/// What was sent, answered and run.
#[derive(Clone)]
struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
    crashes: Arc<Mutex<Vec<Instant>>>,
    /// The crashing requests that were sent: when, and the attempt.
    sent: Arc<Mutex<Vec<(Instant, String)>>>,
    /// The attempts of the crashing request that replicas got.
    arrived: Arc<Mutex<BTreeSet<String>>>,
    sound_answers: Arc<AtomicU64>,
    sound_failures: Arc<AtomicU64>,
}

impl Record {
    fn write(&self, line: &str) {
        let at = self.started.elapsed().as_secs_f64();
        writeln!(self.file.lock().unwrap(), "{at:8.3} s  {line}").unwrap();
    }
}

/// Runs a replica until a request crashes it.
pub fn run_replica(address: &str, id: &str, run_ms: u64, drops_closed: bool) -> ExitCode {
    let listener = loop {
        match TcpListener::bind(address) {
            Ok(listener) => break listener,
            Err(_) => sleep(Duration::from_millis(50)),
        }
    };
    // The process that started this one holds the other end, and has ended if that is closed.
    thread::spawn(|| {
        let _ = io::stdin().read(&mut [0]);
        exit(0);
    });
    for stream in listener.incoming().flatten() {
        let id = id.to_string();
        thread::spawn(move || serve_replica(stream, &id, run_ms, drops_closed));
    }
    ExitCode::SUCCESS
}

fn serve_replica(mut stream: TcpStream, id: &str, run_ms: u64, drops_closed: bool) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    while let Ok(Some(request)) = http::read(&mut reader) {
        let attempt = request.header("x-attempt-id").unwrap_or("").to_string();
        let target = request.target();
        let echo = format!("X-Attempt-Id: {attempt}\r\n");
        let answered = if target == "/health" {
            http::answer(&mut stream, 200, &format!("X-Instance-Id: {id}\r\n"), b"")
        } else if request.header("x-target-instance").is_some_and(|wanted| wanted != id) {
            http::answer(&mut stream, 421, &format!("{echo}X-Not-Executed: 1\r\n"), b"")
        } else if target == CRASH_PATH {
            println!("runs {attempt}");
            let end = Instant::now() + Duration::from_millis(run_ms);
            while Instant::now() < end {
                if drops_closed && is_closed(&stream) {
                    println!("drops {attempt}");
                    return;
                }
                sleep(Duration::from_millis(5));
            }
            println!("crashes {attempt}");
            exit(1);
        } else {
            sleep(Duration::from_millis(20));
            let headers = format!("{echo}X-Server-Stamp: {id}.{attempt}\r\n");
            http::answer(&mut stream, 200, &headers, b"a record")
        };
        if answered.is_err() {
            return;
        }
    }
}

/// Returns whether the other end has closed a connection that carries nothing more.
fn is_closed(stream: &TcpStream) -> bool {
    stream.set_nonblocking(true).unwrap();
    let is_closed =
        !matches!(stream.peek(&mut [0]), Err(error) if error.kind() == io::ErrorKind::WouldBlock);
    stream.set_nonblocking(false).unwrap();
    is_closed
}

/// Runs the case; the exit code is 1 if the rule was broken, 0 if it held and 2 if it could not run.
pub fn run(
    scenario: Scenario,
    binary: &str,
    folder: &str,
    record: &str,
    is_trouble: bool,
) -> ExitCode {
    let record = Record {
        started: Instant::now(),
        file: Arc::new(Mutex::new(File::create(record).unwrap())),
        crashes: Arc::default(),
        sent: Arc::default(),
        arrived: Arc::default(),
        sound_answers: Arc::default(),
        sound_failures: Arc::default(),
    };
    let store = Store::start();
    store.put("op/config", &configuration(scenario));
    let is_over = Arc::new(AtomicBool::new(false));
    let mut free = free_addresses(6 * MACHINE_ZONES.len() + REPLICA_ZONES.len());
    let addresses = free.split_off(6 * MACHINE_ZONES.len());
    let replicas = addresses.into_iter().enumerate().map(|(index, address)| {
        let (store, record, is_over) = (store.clone(), record.clone(), is_over.clone());
        thread::spawn(move || keep_replica(index, address, &store, &record, &is_over))
    });
    let replicas: Vec<_> = replicas.collect();
    let mut gateways = Gateways::start(binary, folder, store.address, &free);
    let outcome = match gateways.wait_until_ready() {
        false => {
            record.write("the gateways are not ready");
            ExitCode::from(2)
        }
        true => {
            // All have found each other.
            sleep(Duration::from_secs(5));
            match scenario {
                Scenario::CallersLeave => play(&record, &gateways.callers, is_trouble, &is_over),
                Scenario::FleetIsKilled => play_kills(&record, &mut gateways, is_trouble),
            }
            judge(&record)
        }
    };
    is_over.store(true, Ordering::Relaxed);
    drop(gateways);
    replicas.into_iter().for_each(|replica| replica.join().unwrap());
    outcome
}

fn configuration(scenario: Scenario) -> String {
    let max_attempts = match scenario {
        Scenario::CallersLeave => 2,
        // Each attempt is one send.
        Scenario::FleetIsKilled => 1,
    };
    format!(
        r#"{{"version":3,"routes":[{{"name":"r-sku","host":"{HOST}","prefix":"/sku/",
        "route_type":"idempotent","timeout_ms":1500,"latency_goal_ms":250,"priority":2,
        "service":"reorder-line","max_attempts":{max_attempts}}}],"services":[{{"name":"reorder-line",
        "health_path":"/health","max_connections":110,"protocol":"h1","tls":false,"warmup_s":3.0,
        "warmup_per_s":0.0}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":262144,
        "header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#
    )
}

/// Keeps a replica running and registered; after a crash it is back under another id.
fn keep_replica(
    index: usize,
    address: SocketAddr,
    store: &Store,
    record: &Record,
    is_over: &AtomicBool,
) {
    let mut incarnation = 0;
    let mut gone: Option<(String, Instant)> = None;
    while !is_over.load(Ordering::Relaxed) {
        incarnation += 1;
        let id = format!("i-{index}{incarnation:03}");
        let mut child = Command::new(std::env::current_exe().unwrap())
            .args(["replica", &address.to_string(), &id, &CRASH_AFTER_MS.to_string()])
            .arg(if index == STUBBORN_REPLICA { "stays" } else { "drops" })
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let lines = BufReader::new(child.stdout.take().unwrap()).lines();
        let (noted, name) = (record.clone(), id.clone());
        let reader = thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                noted.write(&format!("replica {name} {line}"));
                match line.split_once(' ') {
                    Some(("runs", attempt)) => {
                        noted.arrived.lock().unwrap().insert(attempt.into());
                    }
                    Some(("drops", _)) | None => {}
                    Some(_) => noted.crashes.lock().unwrap().push(Instant::now()),
                }
            }
        });
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        let born = since_epoch.as_millis();
        let mut sequence = 0;
        let mut due = Instant::now();
        while child.try_wait().unwrap().is_none() {
            if is_over.load(Ordering::Relaxed) {
                child.kill().unwrap();
            }
            if due <= Instant::now() {
                due += HEARTBEAT;
                sequence += 1;
                let zone = REPLICA_ZONES[index];
                let entry = format!(
                    r#"{{"service":"reorder-line","address":"{address}","zone":"{zone}","version":"v1",
                    "slots":3,"state":"ready","warmup_left_ms":0,"sequence":{sequence},"born":{born}}}"#
                );
                store.put(&format!("servers/{id}"), &entry);
            }
            // An entry is removed after three intervals of silence.
            if gone.as_ref().is_some_and(|(_, at)| at.elapsed() > 3 * HEARTBEAT) {
                store.remove(&format!("servers/{}", gone.take().unwrap().0));
            }
            sleep(Duration::from_millis(20));
        }
        reader.join().unwrap();
        if let Some((id, _)) = gone.replace((id, Instant::now())) {
            store.remove(&format!("servers/{id}"));
        }
        if !is_over.load(Ordering::Relaxed) {
            sleep(RESTART_DELAY);
        }
    }
}

/// The gateways, which are killed when this is dropped.
struct Gateways {
    binary: String,
    folder: String,
    children: Vec<Child>,
    callers: Vec<SocketAddr>,
    ready: Vec<SocketAddr>,
}

impl Gateways {
    fn start(binary: &str, folder: &str, store: SocketAddr, free: &[SocketAddr]) -> Self {
        let ports: &[[SocketAddr; 6]] = free.as_chunks().0;
        let seeds: Vec<String> =
            ports.iter().step_by(3).map(|ports| format!("\"{}\"", ports[3])).collect();
        let seeds = seeds.join(",");
        for (index, (zone, ports)) in MACHINE_ZONES.iter().zip(ports).enumerate() {
            let [callers, ready, directory, peers, relay, metrics] = ports;
            let settings = format!(
                "name: \"edge-{zone}-{index}\"\nfailure_domain: \"{zone}\"\n\
                 callers_listen: \"{callers}\"\nready_listen: \"{ready}\"\n\
                 directory_listen: \"{directory}\"\npeer_listen: \"{peers}\"\n\
                 relay_listen: \"{relay}\"\nmetrics_listen: \"{metrics}\"\nstore: \"{store}\"\n\
                 store_recovery_ms: 4000\nseeds: [{seeds}]\ncpu_share: 0.25\n\
                 address_keep_ms: 5000\ngrace_ms: 6000\nretry_budget:\n  ratio: 0.2\n  fixed: 56\n  \
                 window_ms: 10000\nwarmup:\n  factor: 1.5\n  slack: 5\n"
            );
            let path = format!("{folder}/gateway-{index}.yaml");
            fs::write(&path, settings).unwrap();
        }
        let column = |index: usize| ports.iter().map(|ports| ports[index]).collect();
        let (binary, folder) = (binary.into(), folder.into());
        let (callers, ready) = (column(0), column(1));
        let mut gateways = Self { binary, folder, children: Vec::new(), callers, ready };
        gateways.spawn();
        gateways
    }

    /// Starts a process for each settings file.
    fn spawn(&mut self) {
        let folder = &self.folder;
        let start = |index: usize| {
            let log = format!("{folder}/gateway-{index}.log");
            let log = OpenOptions::new().create(true).append(true).open(log).unwrap();
            let child = Command::new(&self.binary)
                .arg("gateway")
                .env("SASSAFRASPROXY_CONFIG", format!("{folder}/gateway-{index}.yaml"))
                .stdout(log.try_clone().unwrap())
                .stderr(log)
                .spawn();
            child.unwrap()
        };
        self.children = (0..self.ready.len()).map(start).collect();
        let pids: Vec<String> = self.children.iter().map(|child| child.id().to_string()).collect();
        // For the script, which ends them if this process is ended.
        fs::write(format!("{folder}/pids"), pids.join("\n")).unwrap();
    }

    /// Kills all processes at once.
    fn kill(&mut self) {
        self.children.iter_mut().for_each(|child| drop(child.kill()));
        self.children.iter_mut().for_each(|child| drop(child.wait()));
    }

    fn wait_until_ready(&self) -> bool {
        let end = Instant::now() + Duration::from_secs(20);
        let is_ready = |address: &SocketAddr| {
            let answer = ask(*address, "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n", DEADLINE);
            answer == Ok(200)
        };
        while !self.ready.iter().all(is_ready) {
            if end < Instant::now() {
                return false;
            }
            sleep(Duration::from_millis(200));
        }
        true
    }
}

impl Drop for Gateways {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Sends the crashing request again and again, beside three sound callers that stay.
fn play(record: &Record, gateways: &[SocketAddr], is_trouble: bool, is_over: &Arc<AtomicBool>) {
    for caller in 0..3 {
        let (record, gateways) = (record.clone(), gateways.to_vec());
        let is_over = is_over.clone();
        thread::spawn(move || {
            for count in 0.. {
                if is_over.load(Ordering::Relaxed) {
                    return;
                }
                let attempt = format!("50{caller}{count:013x}");
                let gateway = gateways[(3 * count + caller) % gateways.len()];
                let answer = ask(gateway, &request("/sku/1a", &attempt), DEADLINE);
                let counter =
                    if answer == Ok(200) { &record.sound_answers } else { &record.sound_failures };
                counter.fetch_add(1, Ordering::Relaxed);
                sleep(Duration::from_millis(100));
            }
        });
    }
    let started = Instant::now();
    for count in 0.. {
        if started.elapsed() > RUN_TIME {
            return;
        }
        let spell_ms = started.elapsed().as_millis() % SPELL_INTERVAL.as_millis();
        // The last request of a spell ends in it.
        if spell_ms + LEAVE_AFTER.as_millis() > SPELL.as_millis() {
            sleep(Duration::from_millis(50));
            continue;
        }
        let attempt = format!("c0{count:014x}");
        let index = (5 * count) % gateways.len();
        record.write(&format!("attempt {attempt} of {CRASH_PATH} is sent to gateway {index}"));
        record.sent.lock().unwrap().push((Instant::now(), attempt.clone()));
        let patience = if is_trouble { LEAVE_AFTER } else { DEADLINE };
        match ask(gateways[index], &request(CRASH_PATH, &attempt), patience) {
            Ok(status) => record.write(&format!("attempt {attempt} is answered {status}")),
            Err(error) => {
                record.write(&format!("attempt {attempt}: the caller leaves ({error:?})"))
            }
        }
        sleep(REPEAT_INTERVAL);
    }
}

/// Sends the crashing request once in each life of the gateways, in touch; its caller stays.
fn play_kills(record: &Record, gateways: &mut Gateways, is_trouble: bool) {
    for count in 0..LIVES {
        let attempt = format!("d0{count:014x}");
        let index = (5 * count) % gateways.callers.len();
        record.write(&format!("attempt {attempt} of {CRASH_PATH} is sent to gateway {index}"));
        record.sent.lock().unwrap().push((Instant::now(), attempt.clone()));
        let answer = ask(gateways.callers[index], &request(CRASH_PATH, &attempt), DEADLINE);
        record.write(&format!("attempt {attempt} is answered {answer:?}"));
        sleep(REPEAT_INTERVAL);
        if is_trouble {
            record.write("all gateways are killed, and start again");
            gateways.kill();
            gateways.spawn();
            gateways.wait_until_ready();
        }
        // All are in touch again.
        sleep(CONTACT + Duration::from_millis(700));
    }
}

fn request(path: &str, attempt: &str) -> String {
    let deadline_ms = DEADLINE.as_millis();
    format!(
        "GET {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\n\
         X-Deadline-Ms: {deadline_ms}\r\n\r\n"
    )
}

/// Sends a request over a new connection and returns the status; the caller leaves after `patience`.
fn ask(address: SocketAddr, request: &str, patience: Duration) -> Result<u16, io::ErrorKind> {
    let ask = || -> io::Result<u16> {
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(patience))?;
        stream.write_all(request.as_bytes())?;
        let answer = http::read(&mut BufReader::new(stream))?;
        Ok(answer.map_or(0, |answer| answer.status()))
    };
    ask().map_err(|error| error.kind())
}

fn judge(record: &Record) -> ExitCode {
    // The last attempts may still be on their way.
    sleep(Duration::from_secs(1));
    let crashes = record.crashes.lock().unwrap().clone();
    let (answers, failures) = (
        record.sound_answers.load(Ordering::Relaxed),
        record.sound_failures.load(Ordering::Relaxed),
    );
    record.write(&format!("sound requests: {answers} answered 200, {failures} not"));
    let Some(third) = crashes.get(2) else {
        record.write("fewer than three replicas have crashed");
        return ExitCode::from(2);
    };
    let arrived = record.arrived.lock().unwrap();
    let sent = record.sent.lock().unwrap();
    let late =
        sent.iter().filter(|(at, attempt)| *at > *third + CONTACT && arrived.contains(attempt));
    let late = late.count();
    record.write(&format!(
        "{} crashes; {late} retries that were sent later than contact_ms after the third reached \
         replicas, at most {MAX_RETRIES} may",
        crashes.len()
    ));
    if late > MAX_RETRIES { ExitCode::from(1) } else { ExitCode::SUCCESS }
}

/// Returns free ports below those that the system gives to outgoing connections.
fn free_addresses(count: usize) -> Vec<SocketAddr> {
    let start = 10_000 + (std::process::id() as u16 % 200) * 80;
    let is_free = |address: &SocketAddr| {
        TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok()
    };
    let addresses = (start..).map(|port| SocketAddr::from(([127, 0, 0, 1], port)));
    addresses.filter(is_free).take(count).collect()
}
