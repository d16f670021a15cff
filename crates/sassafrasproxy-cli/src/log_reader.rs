//! `timeline --logs`: the story of a request, or of a span, from the logs of several processes.

use std::path::Path;

use ecow::EcoString;
use eyre::{Result, WrapErr};
use indexmap::IndexSet;
use serde_json::{Map, Value};

use crate::timeline::format_time_of_day;

/// How long before a request's first line changes of belief count as part of its story, in
/// milliseconds: a replica or configuration that decided it may have changed some seconds ago.
const CONTEXT_BEFORE_MS: u64 = 10_000;

/// And how long after its last line.
const CONTEXT_AFTER_MS: u64 = 500;

/// The fields that every line shows in a place of their own.
const COLUMN_FIELDS: [&str; 5] = ["wall_ms", "level", "target", "message", "request"];

/// One line of a process's log.
#[derive(Debug, Clone, PartialEq)]
pub struct LogLine {
    /// The process's node, as its first line names it.
    pub node: EcoString,
    /// When, in milliseconds since 1970 by the node's clock.
    pub wall_ms: u64,
    /// All fields.
    pub fields: Map<String, Value>,
}

impl LogLine {
    fn str_field(&self, field: &str) -> &str {
        self.fields.get(field).and_then(Value::as_str).unwrap_or("")
    }
}

/// Reads the logs of processes and prints the lines that belong to a request, or all.
pub fn print_logs(files: &[&std::path::PathBuf], request: Option<&str>) -> Result<bool> {
    let mut lines = Vec::new();
    for file in files {
        let text = std::fs::read_to_string(file)
            .wrap_err_with(|| format!("{} cannot be read", file.display()))?;
        lines.extend(parse_lines(file, &text));
    }
    let story = select_lines(lines, request);
    for line in &story {
        print_line(line);
    }
    Ok(!story.is_empty())
}

/// The lines of a file; what is no log line is passed over, as other programs may write there.
pub fn parse_lines(file: &Path, text: &str) -> Vec<LogLine> {
    let mut node: EcoString = file.file_stem().unwrap_or_default().to_string_lossy().into();
    let mut lines = Vec::new();
    for line in text.lines() {
        // A collector may have put its own words before the line, the process's name last.
        let Some(at) = line.find('{') else { continue };
        let Ok(Value::Object(fields)) = serde_json::from_str(&line[at..]) else { continue };
        if let Some(name) = line[..at].split_whitespace().last() {
            node = name.into();
        } else if let Some(name) = fields.get("node").and_then(Value::as_str) {
            node = name.into();
        }
        let wall_ms = fields.get("wall_ms").and_then(Value::as_u64).unwrap_or(0);
        lines.push(LogLine { node: node.clone(), wall_ms, fields });
    }
    lines
}

/// The lines of a request in order, with the changes of belief around it on its nodes.
pub fn select_lines(mut lines: Vec<LogLine>, request: Option<&str>) -> Vec<LogLine> {
    lines.sort_by_key(|line| line.wall_ms);
    let Some(request) = request else { return lines };
    let own: Vec<&LogLine> =
        lines.iter().filter(|line| line.str_field("request") == request).collect();
    let Some((first, last)) = own.first().zip(own.last()) else { return Vec::new() };
    let span = first.wall_ms.saturating_sub(CONTEXT_BEFORE_MS)..=last.wall_ms + CONTEXT_AFTER_MS;
    let nodes: IndexSet<EcoString> = own.iter().map(|line| line.node.clone()).collect();
    let named: Vec<String> = own
        .iter()
        .flat_map(|line| {
            [line.str_field("replica").to_owned(), line.str_field("shards").to_owned()]
        })
        .filter(|name| !name.is_empty())
        .collect();
    let belongs = |line: &LogLine| {
        if line.fields.contains_key("request") {
            return line.str_field("request") == request;
        }
        let replica = line.str_field("replica");
        let is_named = replica.is_empty() || named.iter().any(|name| name.contains(replica));
        is_named && nodes.contains(&line.node) && span.contains(&line.wall_ms)
    };
    let kept: Vec<LogLine> = lines.iter().filter(|line| belongs(line)).cloned().collect();
    kept
}

fn print_line(line: &LogLine) {
    let details: Vec<String> = line
        .fields
        .iter()
        .filter(|(key, _)| !COLUMN_FIELDS.contains(&key.as_str()))
        .map(|(key, value)| format!("{key}={}", value.to_string().trim_matches('"')))
        .collect();
    let request = line.str_field("request");
    let request = if request.is_empty() { String::new() } else { format!(" [{request}]") };
    println!(
        "{} {:<20} {:<28} {}{request}",
        format_time_of_day(line.wall_ms),
        line.node,
        line.str_field("message"),
        details.join(" ")
    );
}
