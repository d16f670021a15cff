//! The `run` command: runs a node until its graceful shutdown.

use std::path::PathBuf;

use clap::ArgMatches;
use eyre::{OptionExt, Result};
use sassafrasproxy_config::NodeSettings;
use sassafrasproxy_node::{Node, Tuning};
use serde_json::json;
use tokio::signal::unix::{SignalKind, signal};

use crate::command_outcome::CommandOutcome;

/// Runs a node until SIGTERM or SIGINT; prints its addresses as one JSON line once it listens.
///
/// Fails if a signal handler cannot be installed or the node cannot start.
pub async fn run(matches: &ArgMatches) -> Result<CommandOutcome> {
    let path = matches.get_one::<PathBuf>("settings").ok_or_eyre("--settings is missing")?;
    let settings = match NodeSettings::load(path) {
        Ok(settings) => settings,
        Err(problem) => {
            eprintln!("error: {problem}");
            return Ok(CommandOutcome::UsageError);
        }
    };
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    // A second SIGTERM or SIGINT during the shutdown is caught and has no effect. SIGQUIT keeps
    // its default action, which ends the process at once.
    let node = Node::start(settings, Tuning::default())?;
    let (address, peer_address) = (node.address(), node.peer_address());
    println!("{}", json!({ "listen": address, "peer_listen": peer_address }));
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    node.shut_down().await;
    Ok(CommandOutcome::Done)
}
