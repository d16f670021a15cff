//! The `accounts` command: shows the use of client accounts at gateways.

use std::time::Duration;

use clap::ArgMatches;
use eyre::{Result, WrapErr, ensure};
use indexmap::IndexMap;
use reqwest::Client;
use serde::Serialize;

use crate::command_outcome::CommandOutcome;
use crate::inspect::http_client;

/// The beginning of the names of the metrics of an account.
const METRIC_PREFIX: &str = "sassafrasproxy_account_";

/// The time within which a gateway must answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// An account at one gateway, as the gateway's metrics report it.
#[derive(Debug, Default, PartialEq)]
#[derive(Serialize)]
struct AccountAtNode {
    /// The metrics address of the gateway.
    node: String,
    /// The account's name; empty for the sum of the less busy accounts.
    account: String,
    /// The limit over all gateways, in requests per second; absent if the gateway does not know it.
    rate_limit: Option<f64>,
    /// The requests that may come at once, over all gateways.
    burst: Option<f64>,
    /// The tokens that the gateway holds.
    tokens: f64,
    /// The requests admitted here since the account was last idle.
    admitted: f64,
    /// The requests refused here in the same time.
    refused: f64,
}

/// Prints the accounts of some gateways, in the order in which the gateways are named.
///
/// A gateway that does not answer is reported, and the others are shown.
///
/// Fails if the HTTP client cannot be initialized.
pub async fn show_accounts(matches: &ArgMatches) -> Result<CommandOutcome> {
    let client = http_client()?;
    let mut outcome = CommandOutcome::Done;
    let mut accounts = Vec::new();
    for node in matches.get_many::<String>("metrics").into_iter().flatten() {
        match fetch_metrics(&client, node).await {
            Ok(text) => accounts.extend(parse_accounts(node, &text)),
            Err(error) => {
                eprintln!("error: {error:#}");
                outcome = CommandOutcome::Refused;
            }
        }
    }
    if matches.get_flag("json") {
        println!("{}", serde_json::to_string(&accounts)?);
    } else {
        print_accounts(&accounts);
    }
    Ok(outcome)
}

async fn fetch_metrics(client: &Client, node: &str) -> Result<String> {
    let request = client.get(format!("http://{node}/metrics")).timeout(ANSWER_TIMEOUT);
    let failure =
        || format!("cannot read the metrics of {node}; name metrics addresses of gateways");
    let response = request.send().await.wrap_err_with(failure)?;
    let status = response.status();
    ensure!(status.is_success(), "{}: HTTP status {status}", failure());
    response.text().await.wrap_err_with(failure)
}

fn print_accounts(accounts: &[AccountAtNode]) {
    println!(
        "{:<22} {:<24} {:>8} {:>8} {:>8} {:>10} {:>10}",
        "node", "account", "rate/s", "burst", "tokens", "admitted", "refused"
    );
    let number = |value: Option<f64>| value.map_or_else(|| "-".into(), |value| format!("{value}"));
    for account in accounts {
        let name = if account.account.is_empty() { "(others)" } else { &account.account };
        println!(
            "{:<22} {name:<24} {:>8} {:>8} {:>8.1} {:>10} {:>10}",
            account.node,
            number(account.rate_limit),
            number(account.burst),
            account.tokens,
            account.admitted,
            account.refused,
        );
    }
}

/// Returns the accounts in the text of a gateway's metrics, the busiest first.
fn parse_accounts(node: &str, text: &str) -> Vec<AccountAtNode> {
    let mut accounts: IndexMap<String, AccountAtNode> = IndexMap::new();
    for (metric, name, value) in text.lines().filter_map(parse_account_metric) {
        let account = accounts.entry(name.clone()).or_insert_with(|| AccountAtNode {
            node: node.into(),
            account: name,
            ..AccountAtNode::default()
        });
        match metric {
            "rate_limit" => account.rate_limit = Some(value),
            "burst" => account.burst = Some(value),
            "tokens" => account.tokens = value,
            "admitted" => account.admitted = value,
            "refused" => account.refused = value,
            // A newer gateway may have more.
            _ => {}
        }
    }
    let mut accounts: Vec<AccountAtNode> = accounts.into_values().collect();
    accounts.sort_by(|one, other| {
        let used = |account: &AccountAtNode| account.admitted + account.refused;
        used(other).total_cmp(&used(one))
    });
    accounts
}

/// Returns the metric, the account and the value of a line; `None` if it is about something else.
fn parse_account_metric(line: &str) -> Option<(&str, String, f64)> {
    let (metric, rest) = line.strip_prefix(METRIC_PREFIX)?.split_once("{account=\"")?;
    let (name, value) = rest.rsplit_once("\"} ")?;
    Some((metric, unescape(name), value.parse().ok()?))
}

/// Returns a label value without the backslashes that escape others and quotation marks.
fn unescape(text: &str) -> String {
    let mut characters = text.chars();
    let mut unescaped = String::with_capacity(text.len());
    while let Some(character) = characters.next() {
        let is_escape = character == '\\';
        unescaped.push(if is_escape { characters.next().unwrap_or(character) } else { character });
    }
    unescaped
}
