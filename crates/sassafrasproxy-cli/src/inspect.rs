//! The commands `status`, `addresses` and `query`.

use clap::ArgMatches;
use eyre::{OptionExt, Result, WrapErr, bail};
use reqwest::{Client, StatusCode};
use sassafrasproxy_wire::{
    AddressList, DEADLINE_HEADER, NodeStatus, Outcome, QueryAnswer, REQUEST_ID_HEADER, Refusal,
};
use serde::de::DeserializeOwned;
use serde_json::json;

use crate::command_outcome::CommandOutcome;

/// Prints a node's status.
///
/// Fails if the node cannot be reached or answers with an error, or if its answer cannot be
/// decoded.
pub async fn show_status(matches: &ArgMatches) -> Result<CommandOutcome> {
    let text = fetch_text(matches, "/v1/status").await?;
    if matches.get_flag("json") {
        println!("{text}");
        return Ok(CommandOutcome::Done);
    }
    let status: NodeStatus = parse_response(&text)?;
    let leaving = if status.leaving { ", leaving" } else { "" };
    println!("{} in {}, revision {}{leaving}", status.node, status.failure_domain, status.revision);
    if let Some(rejected) = &status.rejected_revision {
        println!("rejected a newer revision: {rejected}");
    }
    if !status.domains_out.is_empty() {
        println!("failure domains out of service: {}", status.domains_out.join(", "));
    }
    println!("members:");
    for member in &status.members {
        println!(
            "  {:<12} {:<22} {:<14} {:<8} revision {}",
            member.node, member.address, member.failure_domain, member.state, member.revision
        );
    }
    println!("homes:");
    for home in &status.homes {
        let node = home.home.as_deref().unwrap_or("none");
        println!("  {:<28} {node:<12} snapshots {:?}", home.group, home.snapshots);
    }
    println!("replicas of this node's groups:");
    for replica in &status.replicas {
        println!(
            "  {:<28} {:<22} {:<10} {}/{} in flight, {} queued",
            replica.group,
            replica.address,
            replica.phase,
            replica.in_flight,
            replica.limit,
            replica.queued
        );
    }
    Ok(CommandOutcome::Done)
}

/// Prints the addresses that callers should use.
///
/// Fails if the node cannot be reached or answers with an error, or if its answer cannot be
/// decoded.
pub async fn show_addresses(matches: &ArgMatches) -> Result<CommandOutcome> {
    let domain = matches.get_one::<String>("failure-domain");
    let query = domain.map_or_else(String::new, |domain| format!("?failure_domain={domain}"));
    let text = fetch_text(matches, &format!("/v1/addresses{query}")).await?;
    if matches.get_flag("json") {
        println!("{text}");
        return Ok(CommandOutcome::Done);
    }
    let list: AddressList = parse_response(&text)?;
    for entry in &list.addresses {
        println!("{:<22} {}", entry.address, entry.failure_domain);
    }
    println!("use these addresses for at most {} ms", list.keep_ms);
    Ok(CommandOutcome::Done)
}

/// Sends a query and prints its answer or refusal.
///
/// Fails if the node cannot be reached or its answer cannot be decoded.
pub async fn send_query(matches: &ArgMatches) -> Result<CommandOutcome> {
    let body = matches.get_one::<String>("body").map_or("{}", String::as_str);
    let body: serde_json::Value = match serde_json::from_str(body) {
        Ok(body) => body,
        Err(error) => {
            eprintln!("error: --body is not valid JSON: {error}");
            return Ok(CommandOutcome::UsageError);
        }
    };
    let services: Vec<&String> = matches.get_many("services").into_iter().flatten().collect();
    let request = json!({
        "services": services,
        "kind": matches.get_one::<String>("kind"),
        "body": body,
        "min_coverage": matches.get_one::<f64>("min-coverage"),
    });
    let mut call = http_client()?.post(node_url(matches, "/v1/query")?).json(&request);
    if let Some(id) = matches.get_one::<String>("request-id") {
        call = call.header(REQUEST_ID_HEADER, id);
    }
    if let Some(deadline_ms) = matches.get_one::<u64>("deadline-ms") {
        call = call.header(DEADLINE_HEADER, *deadline_ms);
    }
    let response =
        call.send().await.wrap_err("cannot reach the node; name another one with --node")?;
    let status = response.status();
    let text = response.text().await?;
    if status == StatusCode::OK {
        let answer: QueryAnswer = parse_response(&text)?;
        print_answer(matches, &text, &answer);
        return Ok(CommandOutcome::Done);
    }
    let refusal: Refusal = parse_response(&text)?;
    if matches.get_flag("json") {
        println!("{text}");
    } else {
        let outcome = json!(refusal.outcome);
        println!("{}: {}: {}", outcome.as_str().unwrap_or(""), refusal.reason, refusal.detail);
        if let Some(retry_after_ms) = refusal.retry_after_ms {
            println!("retry after {retry_after_ms} ms");
        }
    }
    Ok(if refusal.outcome == Outcome::Unknown {
        CommandOutcome::Unknown
    } else {
        CommandOutcome::Refused
    })
}

fn print_answer(matches: &ArgMatches, text: &str, answer: &QueryAnswer) {
    if matches.get_flag("json") {
        println!("{text}");
        return;
    }
    let coverage = &answer.coverage;
    let shard_count = coverage.covered.len() + coverage.missing.len();
    println!(
        "answered from snapshot {} of {}: {} of {shard_count} shards",
        answer.snapshot,
        answer.index,
        coverage.covered.len()
    );
    for result in &answer.results {
        println!("  {:<28} {}", result.shard.to_string(), result.body);
    }
    for missing in &coverage.missing {
        println!("  {:<28} MISSING: {}", missing.shard.to_string(), missing.reason);
    }
}

async fn fetch_text(matches: &ArgMatches, path: &str) -> Result<String> {
    let response = http_client()?
        .get(node_url(matches, path)?)
        .send()
        .await
        .wrap_err("cannot reach the node; name another one with --node")?;
    if !response.status().is_success() {
        bail!(
            "the node answered with HTTP status {}; check the address given with --node",
            response.status()
        );
    }
    Ok(response.text().await?)
}

/// Returns an HTTP client for calls to nodes, which ignores the system's proxy settings.
///
/// Fails if the client cannot be initialized.
pub fn http_client() -> Result<Client> {
    Ok(Client::builder().no_proxy().build()?)
}

fn node_url(matches: &ArgMatches, path: &str) -> Result<String> {
    let node = matches.get_one::<String>("node").ok_or_eyre("--node is missing")?;
    Ok(format!("http://{node}{path}"))
}

fn parse_response<T: DeserializeOwned>(text: &str) -> Result<T> {
    serde_json::from_str(text).wrap_err(
        "cannot decode the node's answer; check that the node and this program have the same \
         version",
    )
}
