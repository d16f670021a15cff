//! The `timeline` command: prints the events of all nodes, merged in time order.

use std::path::PathBuf;
use std::time::Duration;

use clap::ArgMatches;
use ecow::EcoString;
use eyre::Result;
use indexmap::{IndexMap, IndexSet};
use reqwest::Client;
use sassafrasproxy_wire::{NodeStatus, TimelineEvent};
use serde_json::Value;

use crate::command_outcome::CommandOutcome;
use crate::inspect::http_client;
use crate::log_reader;

/// The time between two reads with `--follow`.
const FOLLOW_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// The maximum time that one node may take to answer.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// The fields that are not printed as `key=value`: they have their own column or are left out.
const COLUMN_FIELDS: [&str; 6] =
    ["hlc", "sequence", "node", "failure_domain", "request_id", "event"];

/// Selects the events to show; an absent field selects all.
struct EventFilter {
    request_id: Option<String>,
    service: Option<String>,
    failure_domain: Option<String>,
}

/// Shows the events of the given nodes and of all members that they list, or, with `--logs`, the
/// lines of log files.
///
/// Fails if a log file cannot be read or the HTTP client cannot be initialized.
pub async fn show_timeline(matches: &ArgMatches) -> Result<CommandOutcome> {
    let files: Vec<&PathBuf> = matches.get_many::<PathBuf>("logs").into_iter().flatten().collect();
    if !files.is_empty() {
        let request = matches.get_one::<String>("request").map(String::as_str);
        let has_lines = log_reader::print_logs(&files, request)?;
        return Ok(if has_lines { CommandOutcome::Done } else { CommandOutcome::Refused });
    }
    let client = http_client()?;
    let filter = EventFilter {
        request_id: matches.get_one::<String>("request").cloned(),
        service: matches.get_one::<String>("service").cloned(),
        failure_domain: matches.get_one::<String>("failure-domain").cloned(),
    };
    let given_nodes: Vec<&String> =
        matches.get_many::<String>("nodes").into_iter().flatten().collect();
    let mut last_sequences: IndexMap<EcoString, u64> = IndexMap::new();
    loop {
        let mut nodes: IndexSet<EcoString> = IndexSet::new();
        for node in &given_nodes {
            nodes.insert(node.as_str().into());
            nodes.extend(fetch_member_addresses(&client, node).await);
        }
        let mut events = Vec::new();
        for node in &nodes {
            let after = last_sequences.entry(node.clone()).or_default();
            let new_events = fetch_events(&client, node, *after).await;
            *after = new_events.last().map_or(*after, |event| event.sequence);
            events.extend(new_events);
        }
        events.sort_by(|a, b| (a.hlc, &a.node, a.sequence).cmp(&(b.hlc, &b.node, b.sequence)));
        for event in events.iter().filter(|event| filter.allows(event)) {
            print_event(event, matches.get_flag("json"));
        }
        if !matches.get_flag("follow") {
            let has_events = last_sequences.values().any(|after| *after > 0);
            return Ok(if has_events { CommandOutcome::Done } else { CommandOutcome::Refused });
        }
        tokio::time::sleep(FOLLOW_POLL_INTERVAL).await;
    }
}

/// Returns the addresses of the members that a node lists; none if it does not answer.
async fn fetch_member_addresses(client: &Client, node: &str) -> Vec<EcoString> {
    let url = format!("http://{node}/v1/status");
    let Ok(response) = client.get(url).timeout(READ_TIMEOUT).send().await else {
        eprintln!(
            "cannot reach node {node} to list its members, so their events may be missing; \
             check the address given with --nodes"
        );
        return Vec::new();
    };
    let status: Option<NodeStatus> = response.json().await.ok();
    let members = status.into_iter().flat_map(|status| status.members);
    members.map(|member| member.address).collect()
}

/// Returns a node's events after a sequence number; none if it does not answer.
async fn fetch_events(client: &Client, node: &str, after: u64) -> Vec<TimelineEvent> {
    let url = format!("http://{node}/v1/timeline?after={after}");
    match client.get(url).timeout(READ_TIMEOUT).send().await {
        Ok(response) => response.json().await.unwrap_or_default(),
        Err(_) => Vec::new(),
    }
}

impl EventFilter {
    fn allows(&self, event: &TimelineEvent) -> bool {
        let request_matches = self.request_id.as_ref().is_none_or(|wanted| {
            event.request_id.as_ref().is_some_and(|id| id.as_str() == wanted.as_str())
        });
        let domain_matches = self
            .failure_domain
            .as_ref()
            .is_none_or(|wanted| event.failure_domain.as_str() == wanted.as_str());
        request_matches
            && domain_matches
            && self.service.as_ref().is_none_or(|name| mentions_service(event, name))
    }
}

/// Whether a field of an event names a service or one of its shards or groups.
fn mentions_service(event: &TimelineEvent, service: &str) -> bool {
    let Ok(Value::Object(fields)) = serde_json::to_value(&event.kind) else { return false };
    let belongs_to_service = |text: &str| text.split('/').next() == Some(service);
    fields.values().filter_map(Value::as_str).any(belongs_to_service)
}

/// Prints an event as JSON, or as a line with columns for the common fields.
fn print_event(event: &TimelineEvent, is_json: bool) {
    let Ok(Value::Object(fields)) = serde_json::to_value(event) else { return };
    if is_json {
        println!("{}", Value::Object(fields));
        return;
    }
    let name = fields.get("event").and_then(Value::as_str).unwrap_or("");
    let details: Vec<String> = fields
        .iter()
        .filter(|(key, _)| !COLUMN_FIELDS.contains(&key.as_str()))
        .map(|(key, value)| format!("{key}={}", value.to_string().trim_matches('"')))
        .collect();
    let request = event.request_id.as_deref().map_or_else(String::new, |id| format!(" [{id}]"));
    println!(
        "{} {:<8} {:<12} {name:<22} {}{request}",
        format_time_of_day(event.hlc.wall_ms),
        event.node,
        event.failure_domain,
        details.join(" ")
    );
}

/// Formats the UTC time of day of a wall-clock time in milliseconds since 1970.
pub fn format_time_of_day(wall_ms: u64) -> String {
    let second = wall_ms / 1_000;
    let (hour, minute) = (second / 3_600 % 24, second / 60 % 60);
    format!("{hour:02}:{minute:02}:{:02}.{:03}", second % 60, wall_ms % 1_000)
}
