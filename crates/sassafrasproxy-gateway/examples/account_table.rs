//! Measures what a configuration with many client accounts costs a gateway: the time and memory of a
//! change, the bytes that a peer gets, and the time to look up a key.
//!
//! Run: `cargo run --release -p sassafrasproxy-gateway --example account_table`

#![allow(clippy::unwrap_used, clippy::print_stdout, reason = "a measurement prints its figures")]

use std::hint::black_box;
use std::time::{Duration, Instant};

use sassafrasproxy_core::{
    AccountTable, Authentication, Catalogue, Discovery, DiscoveryEvent, RegistryEntry,
};
use sassafrasproxy_platform::decode_configuration;
use sassafrasproxy_wire::Route;

const ROUTE_COUNT: usize = 2_000;
const SERVICE_COUNT: usize = 200;
const ACCOUNT_COUNT: usize = 10_000;
const KEYS_PER_ACCOUNT: usize = 3;

/// The number of changes that are measured; their median is printed.
const CHANGE_COUNT: usize = 11;

/// The number of look-ups that are measured.
const LOOKUP_COUNT: usize = 300_000;

fn main() {
    for account_count in [0, 10, ACCOUNT_COUNT] {
        measure(account_count);
    }
}

/// Prints the figures of a configuration with a number of accounts.
fn measure(account_count: usize) {
    let before_kb = resident_kb();
    let mut discovery = Discovery::new(None);
    let mut times: [Vec<Duration>; 4] = Default::default();
    let [decode_times, apply_times, encode_times, peer_times] = &mut times;
    let (mut stored_bytes, mut peer_bytes) = (0, 0);
    let mut catalogue = None;
    for version in 1..=CHANGE_COUNT as u64 {
        let text = configuration_text(version, account_count);
        let configuration =
            timed(decode_times, || decode_configuration(black_box(text.as_bytes())).unwrap());
        let entry = RegistryEntry::Configuration(configuration);
        catalogue = timed(apply_times, || {
            discovery.step(0, DiscoveryEvent::EntrySeen { entry, revision: version });
            discovery.take_catalogue()
        });
        let sent = timed(encode_times, || postcard::to_stdvec(&discovery.entries()).unwrap());
        let _: Vec<(RegistryEntry, u64)> =
            timed(peer_times, || postcard::from_bytes(black_box(&sent)).unwrap());
        (stored_bytes, peer_bytes) = (text.len(), sent.len());
    }
    let [decode, apply, encode, peer] = times.map(median_ms);
    let kept_kb = resident_kb().saturating_sub(before_kb);
    println!("{ROUTE_COUNT} routes, {account_count} accounts with {KEYS_PER_ACCOUNT} keys each:");
    println!("  bytes: {stored_bytes} in the store, {peer_bytes} to a peer");
    println!(
        "  ms of a change: decode {decode:.1}, apply {apply:.1}; encode for a peer {encode:.1}, \
         decode there {peer:.1}"
    );
    println!("  memory after {CHANGE_COUNT} changes: {kept_kb} KB more");
    let catalogue: Catalogue = catalogue.unwrap();
    if let (Some(accounts), Some(route)) = (&catalogue.accounts, catalogue.routes.routes().next()) {
        let known = lookup_ns(accounts, route, |index| key(index % account_count, index % 3));
        let unknown = lookup_ns(accounts, route, |index| format!("unknown-{index}"));
        println!("  ns of a request: known key {known:.0}, unknown key {unknown:.0}");
    }
}

/// Returns the configuration as operators write it; each version gives its first account another
/// limit.
///
/// Written as text, so that the memory of the measurement is that of the text only.
fn configuration_text(version: u64, account_count: usize) -> String {
    let mut text = format!("{{\"version\":{version},\"routes\":[");
    push_list(&mut text, ROUTE_COUNT, |index| {
        format!(
            r#"{{"name":"route-{index}","host":"host-{}.example","prefix":"/prefix-{index}/","#,
            index % 50
        ) + &format!(
            r#""route_type":"idempotent","timeout_ms":1000,"service":"service-{}"}}"#,
            index % SERVICE_COUNT
        )
    });
    text.push_str("],\"services\":[");
    push_list(&mut text, SERVICE_COUNT, |index| {
        format!(r#"{{"name":"service-{index}","health_path":"/health","max_connections":64}}"#)
    });
    text.push_str("],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":65536,");
    text.push_str("\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}");
    if account_count > 0 {
        text.push_str(",\"tenants\":[");
        push_list(&mut text, account_count, |account| {
            let keys: Vec<String> =
                (0..KEYS_PER_ACCOUNT).map(|index| format!("\"{}\"", key(account, index))).collect();
            let rate_per_s = if account == 0 { version } else { 10 };
            format!(
                r#"{{"name":"account-{account}","api_keys":[{}],"rate_per_s":{rate_per_s},"#,
                keys.join(",")
            ) + r#""burst_size":20}"#
        });
        text.push(']');
    }
    text.push('}');
    text
}

fn push_list(text: &mut String, count: usize, item: impl Fn(usize) -> String) {
    for index in 0..count {
        if index > 0 {
            text.push(',');
        }
        text.push_str(&item(index));
    }
}

/// Returns a key of 40 characters.
fn key(account: usize, index: usize) -> String {
    format!("{account:036}-{index:03}")
}

/// Runs an operation and records how long it took.
fn timed<T>(times: &mut Vec<Duration>, operation: impl FnOnce() -> T) -> T {
    let start = Instant::now();
    let result = operation();
    times.push(start.elapsed());
    result
}

fn median_ms(mut times: Vec<Duration>) -> f64 {
    times.sort();
    times[times.len() / 2].as_secs_f64() * 1e3
}

/// Returns the mean time to look up a key, in nanoseconds.
fn lookup_ns(accounts: &AccountTable, route: &Route, key: impl Fn(usize) -> String) -> f64 {
    // A prime step spreads the look-ups over the table.
    let keys: Vec<String> = (0..LOOKUP_COUNT).map(|index| key(index * 7_919)).collect();
    let start = Instant::now();
    let found = keys.iter().filter(|key| {
        matches!(accounts.authenticate(route, Some(key)), Authentication::Account(_))
    });
    black_box(found.count());
    start.elapsed().as_secs_f64() * 1e9 / LOOKUP_COUNT as f64
}

/// Returns the resident memory of this process, in KB.
fn resident_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap();
    line.trim().trim_end_matches(" kB").parse().unwrap()
}
