//! Decisions about opaque HTTP requests that routes send to services, without homes.
//!
//! With few nodes, every node sends to every replica itself; what all nodes must keep together
//! (connections, extra sends) is split by their number.
//!
//! A request meets the groups in this order: `callers` (is it served, and how long may it take),
//! `placement` (which route, service and replica), `sending` (send, hedge, retry, answer), and
//! `callers` again if it is refused. `registry` keeps what all of them know up to date.
//! `rollout` moves a service to a new version of its replicas.

mod callers;
mod registry;
mod rollout;
mod routing;
mod sending;

pub use self::callers::*;
pub use self::registry::*;
pub use self::rollout::*;
pub use self::routing::*;
pub use self::sending::*;
