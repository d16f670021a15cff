//! Implements `timeline --logs`, which prints the lines of a request, or all lines, of log files.

use std::path::Path;

use ecow::EcoString;
use eyre::{Result, WrapErr};
use indexmap::IndexSet;
use serde_json::{Map, Value};

use crate::timeline::format_time_of_day;

/// The time before a request's first line in which other lines count as context, in milliseconds.
///
/// A replica or the configuration may change some seconds before a request and still affect it.
const CONTEXT_BEFORE_MS: u64 = 10_000;

/// The time after a request's last line in which other lines count as context, in milliseconds.
const CONTEXT_AFTER_MS: u64 = 500;

/// The fields that are not printed as `key=value`: they have their own column or are left out.
const COLUMN_FIELDS: [&str; 5] = ["wall_ms", "level", "target", "message", "request"];

/// A line of a process's log.
#[derive(Debug, Clone, PartialEq)]
pub struct LogLine {
    /// The name of the node that wrote the line.
    pub node: EcoString,
    /// The time of the line by the node's clock, in milliseconds since 1970; 0 if it has none.
    pub wall_ms: u64,
    /// All fields of the line.
    pub fields: Map<String, Value>,
}

impl LogLine {
    fn str_field(&self, field: &str) -> &str {
        self.fields.get(field).and_then(Value::as_str).unwrap_or("")
    }
}

/// Reads log files and prints the lines that belong to a request, or all lines.
///
/// Returns whether any line was printed. Fails if a file cannot be read or is not UTF-8 text.
pub fn print_logs(files: &[&std::path::PathBuf], request: Option<&str>) -> Result<bool> {
    let mut lines = Vec::new();
    for file in files {
        let text = std::fs::read_to_string(file)
            .wrap_err_with(|| format!("cannot read the log file {}", file.display()))?;
        lines.extend(parse_lines(file, &text));
    }
    let selected = select_lines(lines, request);
    for line in &selected {
        print_line(line);
    }
    Ok(!selected.is_empty())
}

/// Returns the log lines of a file.
///
/// A line's node is the last word of the prefix that a log collector adds, else its
/// `node` field, else the node of the line before it, else the file's name. Other text is skipped,
/// as other programs may write to the same file.
pub fn parse_lines(file: &Path, text: &str) -> Vec<LogLine> {
    let mut node: EcoString = file.file_stem().unwrap_or_default().to_string_lossy().into();
    let mut lines = Vec::new();
    for line in text.lines() {
        // A log collector may add a prefix to the line; its last word is the node's name.
        let Some(start) = line.find('{') else { continue };
        let Ok(Value::Object(fields)) = serde_json::from_str(&line[start..]) else { continue };
        if let Some(name) = line[..start].split_whitespace().last() {
            node = name.into();
        } else if let Some(name) = fields.get("node").and_then(Value::as_str) {
            node = name.into();
        }
        let wall_ms = fields.get("wall_ms").and_then(Value::as_u64).unwrap_or(0);
        lines.push(LogLine { node: node.clone(), wall_ms, fields });
    }
    lines
}

/// Returns the lines of a request with their context, or all lines if no request is given, in time
/// order.
///
/// The context consists of lines that name no request and that the same nodes log around the same
/// time. Lines about a replica that no line of the request mentions are left out.
pub fn select_lines(mut lines: Vec<LogLine>, request: Option<&str>) -> Vec<LogLine> {
    lines.sort_by_key(|line| line.wall_ms);
    let Some(request) = request else { return lines };
    let request_lines: Vec<&LogLine> =
        lines.iter().filter(|line| line.str_field("request") == request).collect();
    let Some((first, last)) = request_lines.first().zip(request_lines.last()) else {
        return Vec::new();
    };
    let span = first.wall_ms.saturating_sub(CONTEXT_BEFORE_MS)..=last.wall_ms + CONTEXT_AFTER_MS;
    let nodes: IndexSet<EcoString> = request_lines.iter().map(|line| line.node.clone()).collect();
    let mentioned: Vec<String> = request_lines
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
        let is_relevant = replica.is_empty() || mentioned.iter().any(|name| name.contains(replica));
        is_relevant && nodes.contains(&line.node) && span.contains(&line.wall_ms)
    };
    let selected: Vec<LogLine> = lines.iter().filter(|line| belongs(line)).cloned().collect();
    selected
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
