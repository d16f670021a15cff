//! The `sassafrasproxy` program: runs a node or a gateway, and offers commands for operators.

mod accounts;
mod args;
mod command_outcome;
mod gateway;
mod inspect;
mod log_reader;
mod logging;
mod publishing;
mod run;
mod timeline;

use std::process::ExitCode;

use clap::ArgMatches;

use crate::command_outcome::CommandOutcome;
use crate::logging::LogOutput;

fn main() -> ExitCode {
    let matches = args::command().get_matches();
    if let Some(("gateway", matches)) = matches.subcommand() {
        return gateway::run(matches);
    }
    if let Err(error) = logging::start(LogOutput::Stderr) {
        eprintln!("error: cannot start logging: {error}");
        return CommandOutcome::Refused.into();
    }
    let runtime = match tokio::runtime::Builder::new_multi_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("error: cannot start the async runtime: {error}");
            return CommandOutcome::Refused.into();
        }
    };
    match runtime.block_on(dispatch(&matches)) {
        Ok(outcome) => outcome.into(),
        Err(report) => {
            eprintln!("error: {report:#}");
            CommandOutcome::Refused.into()
        }
    }
}

/// Runs the given subcommand.
async fn dispatch(matches: &ArgMatches) -> eyre::Result<CommandOutcome> {
    match matches.subcommand() {
        Some(("run", matches)) => run::run(matches).await,
        Some(("check", matches)) => publishing::check_services(matches),
        Some(("publish", matches)) => publishing::publish_services(matches).await,
        Some(("domain", matches)) => publishing::dispatch_domain(matches).await,
        Some(("status", matches)) => inspect::show_status(matches).await,
        Some(("addresses", matches)) => inspect::show_addresses(matches).await,
        Some(("query", matches)) => inspect::send_query(matches).await,
        Some(("accounts", matches)) => accounts::show_accounts(matches).await,
        Some(("timeline", matches)) => timeline::show_timeline(matches).await,
        // clap rejects every other subcommand before this point.
        _ => Ok(CommandOutcome::UsageError),
    }
}
