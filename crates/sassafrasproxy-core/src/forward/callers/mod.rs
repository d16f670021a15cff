//! Whom to serve: where callers connect, how much of their time is gone, and who is refused.
//!
//! Callers ask the directory which nodes to use. A request's deadline tells how long ago its
//! caller started. Requests that crash replicas are refused; whoever is refused hears when to come
//! back.

mod admission;
mod caller_delays;
mod directory;
mod request_quarantine;
mod retry_delay;

pub use self::admission::{Admission, admit};
pub use self::caller_delays::{CallerDeadline, CallerDelayEstimator};
pub use self::directory::{DirectoryNode, count_large_nodes, directory_addresses, is_large_cpu};
pub use self::request_quarantine::{CrashReport, RequestQuarantine};
pub use self::retry_delay::retry_delay_ms;
