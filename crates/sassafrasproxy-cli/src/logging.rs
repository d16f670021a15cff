//! Logs as JSON lines on standard error.

use std::io::Write;
use std::time::{SystemTime, UNIX_EPOCH};

use env_logger::{Builder, Env};
use serde_json::json;

/// The log target whose messages are JSON already.
const TIMELINE_TARGET: &str = "timeline";

/// Starts logging; `RUST_LOG` sets the level, `info` if absent.
pub fn start() {
    Builder::from_env(Env::default().default_filter_or("info"))
        .format(|buffer, record| {
            let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
            let message = record.args().to_string();
            let mut line = json!({
                "wall_ms": since.as_millis() as u64,
                "level": record.level().as_str(),
                "target": record.target(),
            });
            match (record.target(), serde_json::from_str::<serde_json::Value>(&message)) {
                (TIMELINE_TARGET, Ok(event)) => line["event"] = event,
                _ => line["message"] = message.into(),
            }
            writeln!(buffer, "{line}")
        })
        .init();
}
