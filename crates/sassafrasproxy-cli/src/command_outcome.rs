//! The outcome of a command and its exit code.

use std::process::ExitCode;

/// The outcome of a command, from which its exit code follows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommandOutcome {
    /// The command succeeded.
    Done,
    /// The request was refused or the command failed; the reason is printed.
    Refused,
    /// The command line or a file is invalid.
    UsageError,
    /// The request may or may not have taken effect.
    Unknown,
}

impl From<CommandOutcome> for ExitCode {
    fn from(outcome: CommandOutcome) -> Self {
        Self::from(match outcome {
            CommandOutcome::Done => 0,
            CommandOutcome::Refused => 1,
            CommandOutcome::UsageError => 2,
            CommandOutcome::Unknown => 3,
        })
    }
}
