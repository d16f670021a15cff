//! The clocks of a node.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use sassafrasproxy_core::US_PER_MS;

/// A monotonic clock in microseconds since the node's start, and the wall clock.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self { start: Instant::now() }
    }

    /// The time since the start in microseconds.
    pub fn now_us(&self) -> u64 {
        self.start.elapsed().as_micros() as u64
    }

    /// The instant of a time of this clock.
    pub fn instant(&self, at_us: u64) -> tokio::time::Instant {
        (self.start + Duration::from_micros(at_us)).into()
    }
}

/// The wall time in milliseconds since 1970.
pub fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_micros() as u64 / US_PER_MS
}
