//! Checks the values that settings files share.

use std::net::SocketAddr;

use ecow::EcoString;
use serde_saphyr::{Location, Spanned};

use crate::Diagnostic;

/// Returns a text, or a diagnostic if it is blank.
pub fn require_non_empty(
    file: &str,
    field: &str,
    value: &Spanned<EcoString>,
) -> Result<EcoString, Diagnostic> {
    if value.value.trim().is_empty() {
        let message = format!("`{field}` is empty");
        return Err(Diagnostic::at_location(
            file,
            value.referenced,
            message,
            "set it to a name that is not blank",
        ));
    }
    Ok(value.value.clone())
}

/// Parses an IP address with a port; host names are rejected.
pub fn parse_address(
    file: &str,
    field: &str,
    value: &Spanned<EcoString>,
) -> Result<SocketAddr, Diagnostic> {
    value.value.parse().map_err(|_| {
        let message =
            format!("`{field}` is `{}`, which is not an IP address with a port", value.value);
        Diagnostic::at_location(
            file,
            value.referenced,
            message,
            "write an IP address and a port, such as 127.0.0.1:7001",
        )
    })
}

/// Returns a number, or a diagnostic if it is not between `min` and `max`, both included.
pub fn require_in_range(
    file: &str,
    field: &str,
    value: &Spanned<u64>,
    min: u64,
    max: u64,
) -> Result<u64, Diagnostic> {
    if value.value < min || value.value > max {
        let message = format!("`{field}` is {}, which is out of range", value.value);
        let hint = format!("use a value from {min} to {max}");
        return Err(Diagnostic::at_location(file, value.referenced, message, hint));
    }
    Ok(value.value)
}

/// Returns a diagnostic if a number is negative or not finite.
pub fn require_non_negative(
    file: &str,
    field: &str,
    at: Location,
    value: f64,
) -> Result<(), Diagnostic> {
    if value.is_finite() && value >= 0.0 {
        return Ok(());
    }
    Err(Diagnostic::at_location(
        file,
        at,
        format!("`{field}` is {value}, which is negative or not finite"),
        "use a finite number, 0 or more",
    ))
}
