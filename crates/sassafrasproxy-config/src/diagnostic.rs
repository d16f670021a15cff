//! What is wrong with a file, where, and how to mend it.

use std::path::Path;

use ecow::{EcoString, eco_format};
use serde::de::DeserializeOwned;
use serde_saphyr::Location;
use thiserror::Error;

/// One thing that is wrong with a file.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{file}:{line}: {message}\n  hint: {hint}")]
pub struct Diagnostic {
    /// The file as it was named.
    pub file: EcoString,
    /// The line, from 1; 0 when the whole file is meant.
    pub line: u64,
    /// What is wrong, with the field's name.
    pub message: EcoString,
    /// How to mend it.
    pub hint: EcoString,
}

impl Diagnostic {
    /// A problem at a place of a file.
    pub(crate) fn at_location(
        file: &str,
        at: Location,
        message: impl Into<EcoString>,
        hint: impl Into<EcoString>,
    ) -> Self {
        Self { file: file.into(), line: at.line(), message: message.into(), hint: hint.into() }
    }

    /// A problem with a file as a whole.
    pub(crate) fn for_file(
        file: &str,
        message: impl Into<EcoString>,
        hint: impl Into<EcoString>,
    ) -> Self {
        Self { file: file.into(), line: 0, message: message.into(), hint: hint.into() }
    }
}

/// Reads a settings file as text.
pub(crate) fn read_text(path: &Path) -> Result<String, Diagnostic> {
    std::fs::read_to_string(path).map_err(|error| {
        let file = path.display().to_string();
        Diagnostic::for_file(&file, error.to_string(), "name a file that can be read")
    })
}

/// Reads YAML, with the parser's own words for what is wrong with it.
pub(crate) fn read_yaml<T: DeserializeOwned>(
    file: &str,
    text: &str,
    hint: &str,
) -> Result<T, Diagnostic> {
    serde_saphyr::from_str(text).map_err(|error| {
        let line = error.location().map_or(0, |at| at.line());
        // The parser does not name the field, but its line does.
        let source = text.lines().nth((line as usize).wrapping_sub(1)).unwrap_or("").trim();
        let message = eco_format!("{} in `{source}`", error.without_snippet());
        Diagnostic { file: file.into(), line, message, hint: hint.into() }
    })
}
