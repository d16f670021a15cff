//! The shells of a node: they turn effects into I/O and I/O into events, and decide nothing.

mod answers;
mod callers;
mod claims;
mod control;
mod events;
mod http;
mod lane;
mod lanes;
mod metrics;
mod node;
mod once;
mod peer_server;
mod peers;
mod platform;
mod publish;
mod query;
mod shared;
mod upstreams;

pub use self::events::EventLog;
pub use self::node::{Node, StartError, Tuning};
pub use self::platform::{PlatformClient, PlatformError};
pub use self::publish::{publish, read_configuration};
