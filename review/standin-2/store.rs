//! The platform's store: linearizable, never down.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Message};
use crate::json::{Json, base64};

/// A store that serves connections on a loopback address.
#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
    /// The address.
    pub address: SocketAddr,
}

#[derive(Default)]
struct State {
    revision: u64,
    next_lease: u64,
    items: BTreeMap<String, Item>,
    /// Each change: its revision, its key, and the event as JSON.
    events: Vec<(u64, String, String)>,
}

struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

impl Store {
    /// Starts a store on a free port.
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let state = State { revision: 1, next_lease: 1, ..State::default() };
        let store = Self { shared: Arc::new((Mutex::new(state), Condvar::new())), address };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes a value as the operator or a replica.
    pub fn put(&self, key: &str, value: &str) {
        self.change(|state| state.put(key, base64(value.as_bytes()), 0));
    }

    /// Removes a key, if it is there.
    pub fn remove(&self, key: &str) {
        self.change(|state| state.remove(key));
    }

    fn change(&self, change: impl FnOnce(&mut State)) {
        let mut state = self.shared.0.lock().unwrap();
        state.revision += 1;
        change(&mut state);
        self.shared.1.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) {
        stream.set_nodelay(true).unwrap();
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while let Ok(Some(request)) = http::read(&mut reader) {
            let (status, body) = self.respond(&request);
            let headers = "Content-Type: application/json\r\n";
            if http::answer(&mut stream, status, headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn respond(&self, request: &Message) -> (u16, String) {
        let (path, query) = request.target().split_once('?').unwrap_or((request.target(), ""));
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(known, _)| *known == name).map(|(_, value)| percent_decode(value))
        };
        let number = |name: &str| parameter(name).and_then(|value| value.parse().ok()).unwrap_or(0);
        match path {
            "/kv-range" => {
                let state = self.shared.0.lock().unwrap();
                let (prefix, after) = (
                    parameter("prefix").unwrap_or_default(),
                    parameter("after").unwrap_or_default(),
                );
                let items = state.items.iter();
                let items = items.filter(|(key, _)| key.starts_with(&prefix) && **key > after);
                let items: Vec<String> = items.map(|(key, item)| item.json(key)).collect();
                let (items, revision) = (items.join(","), state.revision);
                let rest = format!("\"has_more\":false,\"store_revision\":{revision}");
                (200, format!("{{\"items\":[{items}],{rest}}}"))
            }
            "/kv-watch" => self.watch(
                &parameter("prefix").unwrap_or_default(),
                number("after"),
                Duration::from_millis(number("wait_ms")),
            ),
            "/kv-txn" => self.write(&Json::parse(&request.body)),
            "/kv-lease" => {
                let mut state = self.shared.0.lock().unwrap();
                state.next_lease += 1;
                let ttl_ms = Json::parse(&request.body).get("ttl_ms").number();
                (200, format!("{{\"lease\":{},\"ttl_ms\":{ttl_ms}}}", state.next_lease))
            }
            _ if path.starts_with("/kv-keep/") => (200, "{}".into()),
            _ => (404, "{}".into()),
        }
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (u16, String) {
        let end = Instant::now() + wait;
        let mut state = self.shared.0.lock().unwrap();
        loop {
            let events = state.events.iter();
            let events = events.filter(|(at, key, _)| *at > after && key.starts_with(prefix));
            let events: Vec<&str> = events.map(|(_, _, event)| event.as_str()).collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), state.revision);
                return (200, format!("{{\"events\":[{events}],\"store_revision\":{revision}}}"));
            }
            state = self.shared.1.wait_timeout(state, left).unwrap().0;
        }
    }

    fn write(&self, call: &Json) -> (u16, String) {
        let mut state = self.shared.0.lock().unwrap();
        let is_expected = |row: &Json| {
            let known = state.items.get(row.get("key").text()).map_or(0, |item| item.revision);
            known == row.get("revision").number()
        };
        if !call.get("expected").list().iter().all(is_expected) {
            return (412, "{\"items\":[]}".into());
        }
        state.revision += 1;
        for write in call.get("writes").list() {
            let value = write.get("value").text().into();
            state.put(write.get("key").text(), value, write.get("lease").number());
        }
        for key in call.get("deletes").list() {
            state.remove(key.text());
        }
        self.shared.1.notify_all();
        (200, format!("{{\"revision\":{}}}", state.revision))
    }
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value, revision, created, lease };
        self.events.push((revision, key.into(), item.json(key)));
        self.items.insert(key.into(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            let revision = self.revision;
            let event = format!("{{\"key\":\"{key}\",\"revision\":{revision},\"removed\":true}}");
            self.events.push((revision, key.into(), event));
        }
    }
}

impl Item {
    fn json(&self, key: &str) -> String {
        let Self { value, revision, created, lease } = self;
        format!(
            "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"created\":{created},\
             \"lease\":{lease}}}"
        )
    }
}

fn percent_decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let [first, tail @ ..] = rest {
        let code = tail.get(..2).and_then(|code| std::str::from_utf8(code).ok());
        let byte = code.and_then(|code| u8::from_str_radix(code, 16).ok());
        match (first, byte) {
            (b'%', Some(byte)) => {
                bytes.push(byte);
                rest = &tail[2..];
            }
            (first, _) => {
                bytes.push(*first);
                rest = tail;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
