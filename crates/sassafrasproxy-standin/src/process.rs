//! Runs nodes in separate processes, which can be killed, paused and shut down.

use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Output, Stdio};

use eyre::{OptionExt, Result};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde::Deserialize;
use tempfile::TempDir;

/// A node in a separate process, which is killed on drop.
#[derive(Debug)]
pub struct NodeProcess {
    child: Child,
    addresses: ListenAddresses,
    /// The directory of the settings file, which is removed on drop.
    _settings_dir: TempDir,
}

/// The addresses that a node prints once it listens.
#[derive(Debug, Clone, Copy)]
#[derive(Deserialize)]
struct ListenAddresses {
    listen: SocketAddr,
    peer_listen: SocketAddr,
}

impl NodeProcess {
    /// Starts the binary with the given settings and waits until the node listens.
    ///
    /// Returns an error if the process can't be started or exits without printing its addresses.
    pub fn start(binary: &Path, settings: &str) -> Result<Self> {
        let dir = TempDir::new()?;
        let file = dir.path().join("node.yaml");
        std::fs::write(&file, settings)?;
        let mut child = Command::new(binary)
            .arg("run")
            .arg("--settings")
            .arg(&file)
            .env("RUST_LOG", "warn")
            .stdout(Stdio::piped())
            .stderr(Stdio::inherit())
            .spawn()?;
        let output = child
            .stdout
            .take()
            .ok_or_eyre("the standard output of the node process is not piped")?;
        let mut output = BufReader::new(output);
        let mut line = String::new();
        output.read_line(&mut line)?;
        // Reads and discards the rest of the output, so that the node never blocks on a full pipe.
        std::thread::spawn(move || output.read_to_end(&mut Vec::new()));
        let addresses = serde_json::from_str(&line)?;
        Ok(Self { child, addresses, _settings_dir: dir })
    }

    /// Returns the address for callers.
    pub fn address(&self) -> SocketAddr {
        self.addresses.listen
    }

    /// Returns the address for peers.
    pub fn peer_address(&self) -> SocketAddr {
        self.addresses.peer_listen
    }

    /// Kills the process and waits until it has exited; returns an error if it can't be killed.
    pub fn kill(&mut self) -> Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// Pauses the process.
    pub fn pause(&self) -> Result<()> {
        self.signal(Signal::SIGSTOP)
    }

    /// Resumes the paused process.
    pub fn resume(&self) -> Result<()> {
        self.signal(Signal::SIGCONT)
    }

    /// Sends SIGTERM, which tells the node to shut down gracefully.
    pub fn terminate(&self) -> Result<()> {
        self.signal(Signal::SIGTERM)
    }

    /// Waits until the process exits and returns its status.
    pub fn wait_for_exit(&mut self) -> Result<ExitStatus> {
        Ok(self.child.wait()?)
    }

    fn signal(&self, signal: Signal) -> Result<()> {
        kill(Pid::from_raw(self.child.id().try_into()?), signal)?;
        Ok(())
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        // Errors are ignored: a child that has exited needs no kill.
        let _ = self.kill();
    }
}

/// Runs the binary with arguments and returns its output once it has exited.
///
/// Returns an error if the process can't be started.
pub fn run_command(binary: &Path, args: &[&str]) -> Result<Output> {
    Ok(Command::new(binary).args(args).env("RUST_LOG", "warn").output()?)
}
