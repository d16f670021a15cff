//! `check`, `publish` and `domain`.

use std::path::PathBuf;

use clap::ArgMatches;
use ecow::EcoString;
use eyre::{OptionExt, Result, eyre};
use indexmap::IndexMap;
use sassafrasproxy_config::{
    Change, ConfigurationChange, Problem, PublishEnd, assemble, read_services,
};
use sassafrasproxy_node::{PlatformClient, publish, read_configuration};
use sassafrasproxy_wire::ServiceSpec;
use serde_json::json;

use crate::end::End;

/// Checks service files.
pub fn check(matches: &ArgMatches) -> Result<End> {
    let services = match read(matches) {
        Ok(services) => services,
        Err(problems) => return Ok(show_problems(matches, &problems)),
    };
    if matches.get_flag("json") {
        println!("{}", json!({ "services": services.keys().collect::<Vec<_>>() }));
    } else {
        println!("{} services, no problems", services.len());
    }
    Ok(End::Done)
}

/// Publishes service files.
pub async fn publish_services(matches: &ArgMatches) -> Result<End> {
    let services = match read(matches) {
        Ok(services) => services,
        Err(problems) => return Ok(show_problems(matches, &problems)),
    };
    let expect = matches.get_one::<u64>("expect").copied();
    publish_change(matches, Change::Services { services, expect }).await
}

/// Takes a failure domain out or in, or lists all.
pub async fn domain(matches: &ArgMatches) -> Result<End> {
    match matches.subcommand() {
        Some(("out", matches)) => publish_change(matches, Change::DomainOut(name(matches)?)).await,
        Some(("in", matches)) => publish_change(matches, Change::DomainIn(name(matches)?)).await,
        Some(("list", matches)) => list_domains(matches).await,
        _ => Ok(End::Usage),
    }
}

fn read(matches: &ArgMatches) -> Result<IndexMap<EcoString, ServiceSpec>, Vec<Problem>> {
    let dirs: Vec<PathBuf> =
        matches.get_many::<PathBuf>("dirs").into_iter().flatten().cloned().collect();
    read_services(&dirs)
}

fn show_problems(matches: &ArgMatches, problems: &[Problem]) -> End {
    if matches.get_flag("json") {
        let problems = problems.iter().map(|problem| {
            json!({
                "file": problem.file,
                "line": problem.line,
                "message": problem.message,
                "hint": problem.hint,
            })
        });
        println!("{}", json!({ "problems": problems.collect::<Vec<_>>() }));
    } else {
        for problem in problems {
            eprintln!("error: {problem}");
        }
    }
    End::Usage
}

fn name(matches: &ArgMatches) -> Result<EcoString> {
    let name = matches.get_one::<String>("name").ok_or_else(|| eyre!("NAME is missing"))?;
    Ok(name.as_str().into())
}

fn client(matches: &ArgMatches) -> Result<PlatformClient> {
    let url = matches.get_one::<String>("platform").ok_or_eyre("--platform is missing")?;
    Ok(PlatformClient::new(url.trim_end_matches('/').into())?)
}

/// Publishes a change and prints what came of it.
async fn publish_change(matches: &ArgMatches, change: Change) -> Result<End> {
    let platform = client(matches)?;
    let is_json = matches.get_flag("json");
    let by = matches.get_one::<String>("by").map_or("operator", String::as_str);
    let mut shown = Vec::new();
    let end = publish(&platform, change, by.into(), |changes| {
        shown = changes.to_vec();
        if !is_json {
            print_changes(changes);
        }
    })
    .await;
    if is_json {
        println!("{}", end_json(&end, &shown));
    } else {
        println!("{}", end_text(&end));
    }
    Ok(match end {
        PublishEnd::Done { .. } | PublishEnd::Unchanged { .. } => End::Done,
        PublishEnd::UnknownOutcome { .. } => End::Unknown,
        PublishEnd::Conflict { .. }
        | PublishEnd::UnknownDomain { .. }
        | PublishEnd::Unreadable(_)
        | PublishEnd::Unavailable => End::Refused,
    })
}

fn print_changes(changes: &[ConfigurationChange]) {
    println!("changes:");
    for change in changes {
        println!("  {change}");
    }
}

/// What came of a publishing, for people.
fn end_text(end: &PublishEnd) -> String {
    match end {
        PublishEnd::Done { revision } => format!("revision {revision} is committed"),
        PublishEnd::Unchanged { revision } => {
            format!("nothing to change; revision {revision} stays")
        }
        PublishEnd::Conflict { revision, published_by, differs } => {
            let differs: Vec<String> = differs.iter().map(|one| format!("\n  {one}")).collect();
            format!(
                "refused: conflict; `{published_by}` published revision {revision} first{}\n  \
                 hint: look at that change, then publish again",
                differs.concat()
            )
        }
        PublishEnd::UnknownDomain { declared } => {
            format!("refused: unknown_domain; declared are: {}", declared.join(", "))
        }
        PublishEnd::Unreadable(error) => format!("refused: unreadable; {error}"),
        PublishEnd::Unavailable => {
            "refused: unavailable; the platform stayed away and nothing was changed".into()
        }
        PublishEnd::UnknownOutcome { publish_id } => format!(
            "unknown outcome: the platform stayed away after the commit was sent\n  \
             hint: publish again when it is back; a change that is in force stays as it is \
             (publish id {publish_id})"
        ),
    }
}

/// What came of a publishing, for programs.
fn end_json(end: &PublishEnd, shown: &[ConfigurationChange]) -> serde_json::Value {
    match end {
        PublishEnd::Done { revision } => {
            json!({ "outcome": "done", "revision": revision, "changes": shown })
        }
        PublishEnd::Unchanged { revision } => {
            json!({ "outcome": "unchanged", "revision": revision })
        }
        PublishEnd::Conflict { revision, published_by, differs } => json!({
            "outcome": "refused",
            "reason": "conflict",
            "revision": revision,
            "published_by": published_by,
            "differs": differs,
        }),
        PublishEnd::UnknownDomain { declared } => {
            json!({ "outcome": "refused", "reason": "unknown_domain", "declared": declared })
        }
        PublishEnd::Unreadable(error) => {
            json!({ "outcome": "refused", "reason": "unreadable", "detail": error.to_string() })
        }
        PublishEnd::Unavailable => json!({ "outcome": "refused", "reason": "unavailable" }),
        PublishEnd::UnknownOutcome { publish_id } => {
            json!({ "outcome": "unknown", "publish_id": publish_id })
        }
    }
}

/// Lists the failure domains that services declare, and whether each is out.
async fn list_domains(matches: &ArgMatches) -> Result<End> {
    let platform = client(matches)?;
    let read = read_configuration(&platform, &IndexMap::new()).await?;
    let configuration = match read {
        Some((head, chunks)) => assemble(&head, &chunks)?,
        None => Default::default(),
    };
    let domains = configuration.failure_domains();
    let state = |domain: &EcoString| {
        if configuration.domains_out.contains(domain) { "out" } else { "in" }
    };
    if matches.get_flag("json") {
        let domains: IndexMap<&EcoString, &str> =
            domains.iter().map(|domain| (*domain, state(domain))).collect();
        println!("{}", json!({ "revision": configuration.revision, "domains": domains }));
        return Ok(End::Done);
    }
    println!("revision {}", configuration.revision);
    for domain in domains {
        println!("{domain:<24} {}", state(domain));
    }
    Ok(End::Done)
}
