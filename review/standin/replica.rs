//! A replica that works on some requests at once, queues a few more, and rejects any beyond these.

use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;

/// What a replica did with a request that it took.
#[derive(Clone, Debug)]
pub struct Run {
    pub attempt: String,
    pub replica: String,
    pub arrived: Instant,
    pub ended: Option<Instant>,
}

/// What a replica bears, from the site file.
#[derive(Clone, Copy)]
pub struct Capacity {
    pub slots: usize,
    pub queue: usize,
    pub work: Duration,
}

pub struct Replica {
    pub address: SocketAddr,
    pub id: String,
    pub service: String,
    pub slots: usize,
}

/// The requests that a replica has taken, in the order of their arrival.
#[derive(Default)]
struct Line {
    taken: usize,
    ended: usize,
}

struct Shared {
    id: String,
    capacity: Capacity,
    line: Mutex<Line>,
    moved: Condvar,
    runs: Arc<Mutex<Vec<Run>>>,
}

impl Replica {
    pub fn start(id: &str, service: &str, capacity: Capacity, runs: Arc<Mutex<Vec<Run>>>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (line, moved) = (Mutex::default(), Condvar::new());
        let shared = Arc::new(Shared { id: id.into(), capacity, line, moved, runs });
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                thread::spawn(move || http::serve(stream, |request| Some(shared.answer(request))));
            }
        });
        Self { address, id: id.into(), service: service.into(), slots: capacity.slots }
    }

    /// Returns the replica's entry in the store.
    pub fn entry(&self, zone: &str) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
             \"slots\":{},\"state\":\"ready\",\"warmup_left_ms\":0,\"sequence\":1,\
             \"born\":1790000000000}}",
            self.service, self.address, self.slots
        )
    }
}

impl Shared {
    fn answer(&self, request: &http::Message) -> Vec<u8> {
        if request.path == "/health" {
            return http::response(200, &[("X-Instance-Id", &self.id)], b"");
        }
        let attempt = request.header("x-attempt-id").to_string();
        let target = request.header("x-target-instance");
        let not_run = [("X-Attempt-Id", attempt.as_str()), ("X-Not-Executed", "1")];
        if !target.is_empty() && target != self.id {
            return http::response(421, &not_run, b"");
        }
        let Some(place) = self.take_place() else {
            return http::response(503, &not_run, b"");
        };
        let index = {
            let mut runs = self.runs.lock().unwrap();
            let (attempt, replica) = (attempt.clone(), self.id.clone());
            runs.push(Run { attempt, replica, arrived: Instant::now(), ended: None });
            runs.len() - 1
        };
        self.wait_for_slot(place);
        thread::sleep(self.capacity.work);
        let load = self.leave();
        self.runs.lock().unwrap()[index].ended = Some(Instant::now());
        let stamp = format!("{}.{index}", self.id);
        let headers = [
            ("X-Attempt-Id", attempt.as_str()),
            ("X-Server-Stamp", &stamp),
            ("X-Server-Load", &load),
        ];
        http::response(200, &headers, b"done")
    }

    /// Returns the place in the line, or `None` if the queue is full.
    fn take_place(&self) -> Option<usize> {
        let mut line = self.line.lock().unwrap();
        let place = line.taken;
        let is_full = place - line.ended >= self.capacity.slots + self.capacity.queue;
        line.taken += usize::from(!is_full);
        (!is_full).then_some(place)
    }

    fn wait_for_slot(&self, place: usize) {
        let line = self.line.lock().unwrap();
        let slots = self.capacity.slots;
        drop(self.moved.wait_while(line, |line| place >= line.ended + slots).unwrap());
    }

    /// Frees the slot, and returns the load for the answer.
    fn leave(&self) -> String {
        let mut line = self.line.lock().unwrap();
        line.ended += 1;
        self.moved.notify_all();
        let (here, slots) = (line.taken - line.ended, self.capacity.slots);
        format!("{},{},{slots}", here.min(slots), here.saturating_sub(slots))
    }
}
