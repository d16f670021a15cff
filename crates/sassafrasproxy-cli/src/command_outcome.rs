//! How a command ends.

use std::process::ExitCode;

/// How a command ends, as its exit code tells.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommandOutcome {
    /// Done.
    Done,
    /// Refused, with a typed reason printed.
    Refused,
    /// The command line or a file is wrong.
    UsageError,
    /// It may or may not have taken effect.
    Unknown,
}

impl From<CommandOutcome> for ExitCode {
    fn from(end: CommandOutcome) -> Self {
        Self::from(match end {
            CommandOutcome::Done => 0,
            CommandOutcome::Refused => 1,
            CommandOutcome::UsageError => 2,
            CommandOutcome::Unknown => 3,
        })
    }
}
