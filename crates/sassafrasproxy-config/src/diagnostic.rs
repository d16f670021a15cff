//! Diagnostics for settings and service files: what is wrong, where, and how to fix it.

use std::path::Path;

use ecow::{EcoString, eco_format};
use serde::de::DeserializeOwned;
use serde_saphyr::Location;
use thiserror::Error;

/// A problem in a file.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{file}:{line}: {message}\n  hint: {hint}")]
pub struct Diagnostic {
    /// The path of the file, as the user gave it or as it was found.
    pub file: EcoString,
    /// The line, counted from 1; 0 if the problem has no line.
    pub line: u64,
    /// The description of the problem; names the field or quotes its line.
    pub message: EcoString,
    /// The suggested fix.
    pub hint: EcoString,
}

impl Diagnostic {
    /// Creates a diagnostic for a location in a file.
    pub(crate) fn at_location(
        file: &str,
        at: Location,
        message: impl Into<EcoString>,
        hint: impl Into<EcoString>,
    ) -> Self {
        Self { file: file.into(), line: at.line(), message: message.into(), hint: hint.into() }
    }

    /// Creates a diagnostic for a file as a whole.
    pub(crate) fn for_file(
        file: &str,
        message: impl Into<EcoString>,
        hint: impl Into<EcoString>,
    ) -> Self {
        Self { file: file.into(), line: 0, message: message.into(), hint: hint.into() }
    }
}

/// Reads a settings file as text, or returns a diagnostic if the file cannot be read.
pub(crate) fn read_text(path: &Path) -> Result<String, Diagnostic> {
    std::fs::read_to_string(path).map_err(|error| {
        let file = path.display().to_string();
        Diagnostic::for_file(&file, error.to_string(), "give the path of a readable file")
    })
}

/// Parses YAML; the diagnostic holds the parser's message and the line that it refers to.
pub(crate) fn read_yaml<T: DeserializeOwned>(
    file: &str,
    text: &str,
    hint: &str,
) -> Result<T, Diagnostic> {
    serde_saphyr::from_str(text).map_err(|error| {
        let line = error.location().map_or(0, |at| at.line());
        // The parser's message may lack the field's name, so the source line is quoted with it.
        let source = text.lines().nth((line as usize).wrapping_sub(1)).unwrap_or("").trim();
        let message = eco_format!("{} in `{source}`", error.without_snippet());
        Diagnostic { file: file.into(), line, message, hint: hint.into() }
    })
}
