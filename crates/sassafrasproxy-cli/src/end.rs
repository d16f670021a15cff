//! How a command ends.

use std::process::ExitCode;

/// How a command ends, as its exit code tells.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// Done.
    Done,
    /// Refused, with a typed reason printed.
    Refused,
    /// The command line or a file is wrong.
    Usage,
    /// It may or may not have taken effect.
    Unknown,
}

impl From<End> for ExitCode {
    fn from(end: End) -> Self {
        Self::from(match end {
            End::Done => 0,
            End::Refused => 1,
            End::Usage => 2,
            End::Unknown => 3,
        })
    }
}
