//! The platform's store: keys, ranges, watches, writes and leases, as far as a gateway uses them.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Message};

/// An item of the store; the value is base64 text, as on the wire.
#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Revision, key and JSON of each change.
    history: Vec<(u64, String, String)>,
    next_lease: u64,
}

/// The store. It loses nothing, and answers every call.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let state = State { revision: 1, next_lease: 1, ..State::default() };
        let store = Self { address, state: Arc::new((Mutex::new(state), Condvar::new())) };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || {
                    http::serve(stream, |request| store.answer(request));
                });
            }
        });
        store
    }

    /// Writes a key, as the operator or a server does.
    pub fn put(&self, key: &str, value: &str) {
        self.write(key, &base64(value.as_bytes()), 0);
    }

    fn write(&self, key: &str, value: &str, lease: u64) -> u64 {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let created = state.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value: value.into(), revision, created, lease };
        let json = item_json(key, &item);
        state.items.insert(key.into(), item);
        state.history.push((revision, key.into(), json));
        changed.notify_all();
        revision
    }

    fn answer(&self, request: &Message) -> Option<Vec<u8>> {
        let (path, query) = request.path.split_once('?').unwrap_or((&request.path, ""));
        let body = String::from_utf8_lossy(&request.body);
        let answer = match (request.method.as_str(), path) {
            ("GET", "/kv-range") => self.range(&field(query, "prefix"), &field(query, "after")),
            ("GET", "/kv-watch") => self.watch(
                &field(query, "prefix"),
                field(query, "after").parse().unwrap_or(0),
                field(query, "wait_ms").parse().unwrap_or(0),
            ),
            ("POST", "/kv-txn") => return Some(self.transact(&body)),
            ("POST", "/kv-lease") => {
                let mut state = self.state.0.lock().unwrap();
                state.next_lease += 1;
                format!("{{\"lease\":{},\"ttl_ms\":30000}}", state.next_lease)
            }
            ("POST", path) if path.starts_with("/kv-keep/") => "{\"ttl_ms\":30000}".into(),
            _ => return Some(http::response(404, &[], b"{}")),
        };
        Some(http::response(200, &[("Content-Type", "application/json")], answer.as_bytes()))
    }

    fn range(&self, prefix: &str, after: &str) -> String {
        let state = self.state.0.lock().unwrap();
        let items = state.items.iter();
        let items = items.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let items: Vec<String> = items.map(|(key, item)| item_json(key, item)).collect();
        format!(
            "{{\"items\":[{}],\"has_more\":false,\"store_revision\":{}}}",
            items.join(","),
            state.revision
        )
    }

    fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> String {
        let end = Instant::now() + Duration::from_millis(wait_ms);
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        loop {
            let events = state.history.iter();
            let events = events.filter(|(at, key, _)| *at > after && key.starts_with(prefix));
            let events: Vec<String> = events.map(|(_, _, json)| json.clone()).collect();
            let now = Instant::now();
            if !events.is_empty() || now >= end {
                let revision = state.revision;
                let events = events.join(",");
                let answer = format!("{{\"events\":[{events}],\"store_revision\":{revision}}}");
                return answer;
            }
            state = changed.wait_timeout(state, end - now).unwrap().0;
        }
    }

    /// Applies a transaction with writes only, or with one expected row.
    fn transact(&self, body: &str) -> Vec<u8> {
        let writes = body.find("\"writes\":").map_or("", |at| &body[at..]);
        for row in writes.split('{').skip(1) {
            let text = |name: &str| -> Option<String> {
                let start = row.find(&format!("\"{name}\":\""))? + name.len() + 4;
                let length = row[start..].find('"')?;
                Some(row[start..start + length].into())
            };
            if let (Some(key), Some(value)) = (text("key"), text("value")) {
                self.write(&key, &value, 0);
            }
        }
        let revision = self.state.0.lock().unwrap().revision;
        http::response(200, &[], format!("{{\"revision\":{revision}}}").as_bytes())
    }
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}}}",
        item.value, item.revision, item.created, item.lease
    )
}

/// Returns a field of a query, decoded.
fn field(query: &str, name: &str) -> String {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let value = pairs.into_iter().find(|(key, _)| *key == name).map_or("", |(_, value)| value);
    let mut decoded = Vec::new();
    let mut bytes = value.bytes();
    while let Some(byte) = bytes.next() {
        if byte == b'%' {
            let hex: String = bytes.by_ref().take(2).map(char::from).collect();
            decoded.extend(u8::from_str_radix(&hex, 16));
        } else {
            decoded.push(byte);
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let group = chunk.iter().fold(0u32, |group, byte| group << 8 | u32::from(*byte));
        let group = group << (8 * (3 - chunk.len()));
        for digit in 0..4 {
            let index = (group >> (18 - 6 * digit) & 63) as usize;
            text.push(if digit <= chunk.len() { DIGITS[index].into() } else { '=' });
        }
    }
    text
}
