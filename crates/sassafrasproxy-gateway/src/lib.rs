//! The I/O of a gateway, a node that forwards opaque requests by route.
//!
//! The control thread syncs the registry from the store or peers and publishes a view of it; the
//! traffic thread serves callers. The decision logic is in `sassafrasproxy-core`.

mod admission;
mod answer;
mod answer_body;
mod caller_server;
mod confirmation;
mod connection_pool;
mod control;
mod crash_check;
mod delivery;
mod directory;
mod gateway;
mod gather;
mod http_client;
mod http_connection;
mod limited_stream;
mod listener;
mod metrics;
mod peer_gossip;
mod peer_sync;
mod quarantine;
mod quarantine_store;
mod rate_limits;
mod registration;
mod registry_log;
mod relay_call;
mod relay_pool;
mod relay_server;
mod reload;
mod request;
mod rollouts;
mod shutdown;
mod single_replica;
mod store_events;
mod store_follower;
mod traffic;
mod upstream;
mod view;

pub use self::connection_pool::{ConnectError, connect};
pub use self::gateway::{Gateway, GatewayError};
