//! The I/O of a node: performs the effects of the reducers and reports the results as events.
//! All decisions are made by the reducers.

mod caller_connections;
mod claim_buckets;
mod control;
mod events;
mod http;
mod limited_body;
mod metrics;
mod node;
mod non_idempotent;
mod peer_client;
mod peer_server;
mod platform;
mod publish;
mod query;
mod replica_client;
mod responses;
mod scheduler_task;
mod schedulers;
mod shared;

pub use self::events::EventLog;
pub use self::node::{Node, StartError, Tuning};
pub use self::platform::{PlatformClient, PlatformError};
pub use self::publish::{publish, read_configuration};
