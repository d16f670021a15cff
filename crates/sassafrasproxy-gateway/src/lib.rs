//! The I/O of a gateway: a node that forwards opaque requests over routes.
//!
//! One thread follows the store and the peers, and publishes what traffic needs to know; the
//! other serves callers. Decisions stand in `sassafrasproxy-core`.

mod answer;
mod caller_server;
mod connection_pool;
mod control;
mod directory;
mod gateway;
mod gather;
mod http_client;
mod listener;
mod metrics;
mod peer_gossip;
mod peer_sync;
mod registration;
mod relay_call;
mod relay_pool;
mod relay_server;
mod reload;
mod request;
mod rollouts;
mod single_replica;
mod store_events;
mod store_follower;
mod traffic;
mod upstream;
mod view;

pub use self::connection_pool::{ConnectError, connect};
pub use self::gateway::{Gateway, GatewayError};
