//! Nodes as processes of their own, which can be killed, paused and told to leave.

use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Output, Stdio};

use eyre::{OptionExt, Result};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde::Deserialize;
use tempfile::TempDir;

/// A node in a process of its own; it is killed when dropped.
#[derive(Debug)]
pub struct NodeProcess {
    child: Child,
    addresses: ListenAddresses,
    /// Where its settings are.
    _settings_dir: TempDir,
}

/// What a node prints once it listens.
#[derive(Debug, Clone, Copy)]
#[derive(Deserialize)]
struct ListenAddresses {
    listen: SocketAddr,
    peer_listen: SocketAddr,
}

impl NodeProcess {
    /// Starts the binary with these settings and waits until it listens.
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
        let output = child.stdout.take().ok_or_eyre("the node has no standard output")?;
        let mut output = BufReader::new(output);
        let mut line = String::new();
        output.read_line(&mut line)?;
        // The rest is read and left alone, so that the node never waits for a reader.
        std::thread::spawn(move || output.read_to_end(&mut Vec::new()));
        let addresses = serde_json::from_str(&line)?;
        Ok(Self { child, addresses, _settings_dir: dir })
    }

    /// Where callers connect.
    pub fn address(&self) -> SocketAddr {
        self.addresses.listen
    }

    /// Where peers connect.
    pub fn peer_address(&self) -> SocketAddr {
        self.addresses.peer_listen
    }

    /// Ends it at once.
    pub fn kill(&mut self) -> Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// Pauses it.
    pub fn pause(&self) -> Result<()> {
        self.signal(Signal::SIGSTOP)
    }

    /// Lets it go on.
    pub fn resume(&self) -> Result<()> {
        self.signal(Signal::SIGCONT)
    }

    /// Tells it to shut down gracefully.
    pub fn terminate(&self) -> Result<()> {
        self.signal(Signal::SIGTERM)
    }

    /// Waits for its end.
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
        // A child that ended already needs no killing.
        let _ = self.kill();
    }
}

/// Runs the binary with some words and waits for its end.
pub fn run_command(binary: &Path, words: &[&str]) -> Result<Output> {
    Ok(Command::new(binary).args(words).env("RUST_LOG", "warn").output()?)
}
