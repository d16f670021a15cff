//! The commands `check`, `publish` and `domain`.

use std::path::PathBuf;

use clap::ArgMatches;
use ecow::EcoString;
use eyre::{OptionExt, Result, eyre};
use indexmap::IndexMap;
use sassafrasproxy_config::{
    ConfigurationChange, Diagnostic, PublishOutcome, PublishRequest, assemble_configuration,
    read_services,
};
use sassafrasproxy_node::{PlatformClient, publish, read_configuration};
use sassafrasproxy_wire::ServiceSpec;
use serde_json::json;

use crate::command_outcome::CommandOutcome;

/// Checks service files and prints their problems.
pub fn check_services(matches: &ArgMatches) -> Result<CommandOutcome> {
    let services = match read_service_files(matches) {
        Ok(services) => services,
        Err(problems) => return Ok(print_problems(matches, &problems)),
    };
    if matches.get_flag("json") {
        println!("{}", json!({ "services": services.keys().collect::<Vec<_>>() }));
    } else {
        println!("{} services, no problems", services.len());
    }
    Ok(CommandOutcome::Done)
}

/// Publishes service files as the configuration.
///
/// Fails if the platform client cannot be created; a failed publish is a `CommandOutcome`.
pub async fn publish_services(matches: &ArgMatches) -> Result<CommandOutcome> {
    let services = match read_service_files(matches) {
        Ok(services) => services,
        Err(problems) => return Ok(print_problems(matches, &problems)),
    };
    let expected_revision = matches.get_one::<u64>("expect").copied();
    publish_change(matches, PublishRequest::ReplaceServices { services, expected_revision }).await
}

/// Takes a failure domain out of service, brings it back, or lists all failure domains.
///
/// Fails if the platform client cannot be created or the configuration to list cannot be read; a
/// failed publish is a `CommandOutcome`.
pub async fn dispatch_domain(matches: &ArgMatches) -> Result<CommandOutcome> {
    match matches.subcommand() {
        Some(("out", matches)) => {
            publish_change(matches, PublishRequest::DomainOut(domain_name(matches)?)).await
        }
        Some(("in", matches)) => {
            publish_change(matches, PublishRequest::DomainIn(domain_name(matches)?)).await
        }
        Some(("list", matches)) => list_domains(matches).await,
        _ => Ok(CommandOutcome::UsageError),
    }
}

fn read_service_files(
    matches: &ArgMatches,
) -> Result<IndexMap<EcoString, ServiceSpec>, Vec<Diagnostic>> {
    let dirs: Vec<PathBuf> =
        matches.get_many::<PathBuf>("dirs").into_iter().flatten().cloned().collect();
    read_services(&dirs)
}

fn print_problems(matches: &ArgMatches, problems: &[Diagnostic]) -> CommandOutcome {
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
    CommandOutcome::UsageError
}

fn domain_name(matches: &ArgMatches) -> Result<EcoString> {
    let name = matches.get_one::<String>("name").ok_or_else(|| eyre!("NAME is missing"))?;
    Ok(name.as_str().into())
}

fn platform_client(matches: &ArgMatches) -> Result<PlatformClient> {
    let url = matches.get_one::<String>("platform").ok_or_eyre("--platform is missing")?;
    Ok(PlatformClient::new(url.trim_end_matches('/').into())?)
}

/// Publishes a change and prints the outcome.
async fn publish_change(matches: &ArgMatches, change: PublishRequest) -> Result<CommandOutcome> {
    let platform = platform_client(matches)?;
    let is_json = matches.get_flag("json");
    let by = matches.get_one::<String>("by").map_or("operator", String::as_str);
    let mut proposed_changes = Vec::new();
    let outcome = publish(&platform, change, by.into(), |changes| {
        proposed_changes = changes.to_vec();
        if !is_json {
            print_changes(changes);
        }
    })
    .await;
    if is_json {
        println!("{}", outcome_json(&outcome, &proposed_changes));
    } else {
        println!("{}", outcome_text(&outcome));
    }
    Ok(match outcome {
        PublishOutcome::Done { .. } | PublishOutcome::Unchanged { .. } => CommandOutcome::Done,
        PublishOutcome::UnknownOutcome { .. } => CommandOutcome::Unknown,
        PublishOutcome::Conflict { .. }
        | PublishOutcome::UnknownDomain { .. }
        | PublishOutcome::Unreadable(_)
        | PublishOutcome::Unavailable => CommandOutcome::Refused,
    })
}

fn print_changes(changes: &[ConfigurationChange]) {
    println!("changes:");
    for change in changes {
        println!("  {change}");
    }
}

/// Describes the outcome of a publish as text.
fn outcome_text(outcome: &PublishOutcome) -> String {
    match outcome {
        PublishOutcome::Done { revision } => format!("revision {revision} is committed"),
        PublishOutcome::Unchanged { revision } => {
            format!("nothing to change; revision {revision} stays")
        }
        PublishOutcome::Conflict { revision, published_by, differs } => {
            let differs: Vec<String> =
                differs.iter().map(|change| format!("\n  {change}")).collect();
            format!(
                "refused: conflict; `{published_by}` published revision {revision} first{}\n  \
                 hint: review that change, then publish again",
                differs.concat()
            )
        }
        PublishOutcome::UnknownDomain { declared } => {
            format!(
                "refused: unknown_domain; the declared failure domains are: {}",
                declared.join(", ")
            )
        }
        PublishOutcome::Unreadable(error) => format!("refused: unreadable; {error}"),
        PublishOutcome::Unavailable => {
            "refused: unavailable; the platform does not answer, and nothing was changed\n  \
             hint: publish again when the platform answers"
                .into()
        }
        PublishOutcome::UnknownOutcome { publish_id } => format!(
            "unknown outcome: the platform did not answer after the commit was sent\n  \
             hint: publish again when the platform answers; if the change is already in force, \
             this changes nothing (publish id {publish_id})"
        ),
    }
}

/// Describes the outcome of a publish as JSON.
fn outcome_json(
    outcome: &PublishOutcome,
    proposed_changes: &[ConfigurationChange],
) -> serde_json::Value {
    match outcome {
        PublishOutcome::Done { revision } => {
            json!({ "outcome": "done", "revision": revision, "changes": proposed_changes })
        }
        PublishOutcome::Unchanged { revision } => {
            json!({ "outcome": "unchanged", "revision": revision })
        }
        PublishOutcome::Conflict { revision, published_by, differs } => json!({
            "outcome": "refused",
            "reason": "conflict",
            "revision": revision,
            "published_by": published_by,
            "differs": differs,
        }),
        PublishOutcome::UnknownDomain { declared } => {
            json!({ "outcome": "refused", "reason": "unknown_domain", "declared": declared })
        }
        PublishOutcome::Unreadable(error) => {
            json!({ "outcome": "refused", "reason": "unreadable", "detail": error.to_string() })
        }
        PublishOutcome::Unavailable => json!({ "outcome": "refused", "reason": "unavailable" }),
        PublishOutcome::UnknownOutcome { publish_id } => {
            json!({ "outcome": "unknown", "publish_id": publish_id })
        }
    }
}

/// Lists the failure domains that services declare, and whether each is out of service.
async fn list_domains(matches: &ArgMatches) -> Result<CommandOutcome> {
    let platform = platform_client(matches)?;
    let stored = read_configuration(&platform, &IndexMap::new()).await?;
    let configuration = match stored {
        Some((head, chunks)) => assemble_configuration(&head, &chunks)?,
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
        return Ok(CommandOutcome::Done);
    }
    println!("revision {}", configuration.revision);
    for domain in domains {
        println!("{domain:<24} {}", state(domain));
    }
    Ok(CommandOutcome::Done)
}
