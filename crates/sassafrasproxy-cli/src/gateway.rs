//! The `gateway` command: runs a gateway for opaque requests until its graceful shutdown.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::ArgMatches;
use sassafrasproxy_config::GatewaySettings;
use sassafrasproxy_gateway::Gateway;

use crate::command_outcome::CommandOutcome;
use crate::logging::{self, LogOutput};

/// Runs a gateway until SIGTERM or SIGINT; returns the exit code of the process.
pub fn run(matches: &ArgMatches) -> ExitCode {
    let Some(path) = matches.get_one::<PathBuf>("settings") else {
        eprintln!(
            "error: no settings file is given; pass one with --settings or SASSAFRASPROXY_CONFIG"
        );
        return CommandOutcome::UsageError.into();
    };
    let settings = match GatewaySettings::load(path) {
        Ok(settings) => settings,
        Err(problem) => {
            eprintln!("error: {problem}");
            return CommandOutcome::UsageError.into();
        }
    };
    let logs = match logging::start(LogOutput::Stdout) {
        Ok(logs) => logs,
        Err(error) => {
            eprintln!("error: cannot start the log writer thread: {error}");
            return CommandOutcome::Refused.into();
        }
    };
    let outcome = match Gateway::bind(settings, path.clone()).and_then(Gateway::run) {
        Ok(()) => CommandOutcome::Done,
        Err(error) => {
            eprintln!("error: {error}");
            CommandOutcome::Refused
        }
    };
    logs.finish();
    outcome.into()
}
