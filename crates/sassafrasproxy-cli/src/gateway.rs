//! `gateway`: a node that forwards opaque requests, from its settings to its graceful end.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::ArgMatches;
use sassafrasproxy_config::GatewaySettings;
use sassafrasproxy_gateway::Gateway;

use crate::command_outcome::CommandOutcome;
use crate::logging::{self, LogOutput};

/// Runs a gateway.
pub fn run(matches: &ArgMatches) -> ExitCode {
    let Some(path) = matches.get_one::<PathBuf>("settings") else {
        eprintln!("error: no settings file is named; give one with --settings");
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
            eprintln!("error: cannot start the thread for logs: {error}");
            return CommandOutcome::Refused.into();
        }
    };
    let end = match Gateway::bind(settings, path.clone()).and_then(Gateway::run) {
        Ok(()) => CommandOutcome::Done,
        Err(error) => {
            eprintln!("error: {error}");
            CommandOutcome::Refused
        }
    };
    logs.finish();
    end.into()
}
