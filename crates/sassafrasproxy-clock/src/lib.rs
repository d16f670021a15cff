//! The clocks of a node.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};

/// A monotonic clock in microseconds since the node's start.
///
/// It counts the time that the VM was suspended. Guards against a VM that is suspended between
/// a claim and its send: by this clock the deadline has passed when it wakes, so the old request
/// is not sent.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start_boot_time: Duration,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self { start_boot_time: time_since_boot() }
    }

    /// The time since the start in microseconds.
    pub fn now_us(&self) -> u64 {
        time_since_boot().saturating_sub(self.start_boot_time).as_micros() as u64
    }

    /// The instant of a time of this clock, for timers.
    pub fn instant_at(&self, at_us: u64) -> tokio::time::Instant {
        let left = Duration::from_micros(at_us.saturating_sub(self.now_us()));
        (Instant::now() + left).into()
    }
}

/// The wall time in milliseconds since 1970.
pub fn unix_time_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_millis() as u64
}

/// The time since the VM booted, suspensions included.
fn time_since_boot() -> Duration {
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME).map(Duration::from);
    time.expect("the boot time clock has been there since Linux 2.6.39")
}
