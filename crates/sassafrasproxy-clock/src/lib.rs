//! Monotonic and wall clocks for the processes of a node.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};

/// A monotonic clock that counts microseconds from its creation.
///
/// It includes the time during which the VM is suspended. If the VM is suspended past a deadline
/// between the claim of a request and its send, the clock shows on resume that the deadline has
/// passed, so the stale request is not sent.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start_boot_time: Duration,
}

impl Clock {
    /// Creates a clock that starts now.
    pub fn start() -> Self {
        Self { start_boot_time: time_since_boot() }
    }

    /// Returns the time since the clock's creation, in microseconds.
    pub fn now_us(&self) -> u64 {
        time_since_boot().saturating_sub(self.start_boot_time).as_micros() as u64
    }

    /// Converts a time on this clock, in microseconds, to an instant for timers.
    ///
    /// A time that has passed gives the current instant.
    pub fn instant_at(&self, at_us: u64) -> tokio::time::Instant {
        let remaining = Duration::from_micros(at_us.saturating_sub(self.now_us()));
        (Instant::now() + remaining).into()
    }
}

/// Returns the wall time, in milliseconds since 1970.
pub fn unix_time_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since_epoch.as_millis() as u64
}

/// Returns the time since the VM booted, including suspensions.
fn time_since_boot() -> Duration {
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME).map(Duration::from);
    time.expect("CLOCK_BOOTTIME is available in Linux 2.6.39 and later")
}
