//! The command line: a node to run, and the operators' client.

mod args;
mod end;
mod gateway;
mod inspect;
mod logging;
mod logs;
mod publishing;
mod run;
mod timeline;

use std::process::ExitCode;

use clap::ArgMatches;

use crate::end::End;
use crate::logging::LogOutput;

fn main() -> ExitCode {
    let matches = args::command().get_matches();
    if let Some(("gateway", matches)) = matches.subcommand() {
        return gateway::run(matches);
    }
    if let Err(error) = logging::start(LogOutput::Stderr) {
        eprintln!("cannot start: {error}");
        return End::Refused.into();
    }
    let runtime = match tokio::runtime::Builder::new_multi_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("cannot start: {error}");
            return End::Refused.into();
        }
    };
    match runtime.block_on(dispatch(&matches)) {
        Ok(end) => end.into(),
        Err(report) => {
            eprintln!("error: {report:#}");
            End::Refused.into()
        }
    }
}

/// Runs the command that was named.
async fn dispatch(matches: &ArgMatches) -> eyre::Result<End> {
    match matches.subcommand() {
        Some(("run", matches)) => run::run(matches).await,
        Some(("check", matches)) => publishing::check(matches),
        Some(("publish", matches)) => publishing::publish_services(matches).await,
        Some(("domain", matches)) => publishing::domain(matches).await,
        Some(("status", matches)) => inspect::status(matches).await,
        Some(("addresses", matches)) => inspect::addresses(matches).await,
        Some(("query", matches)) => inspect::query(matches).await,
        Some(("timeline", matches)) => timeline::timeline(matches).await,
        // clap has refused every other word already.
        _ => Ok(End::Usage),
    }
}
