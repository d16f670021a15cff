//! Decides how opaque HTTP requests are forwarded to the services of their routes; these requests
//! have no home.
//!
//! With few nodes, every node sends to every replica itself. Limits that hold for all nodes
//! together (connections, extra sends) are divided by the number of nodes.
//!
//! A request passes the modules in this order: `callers` (whether it is served, and its deadline),
//! `limits` (whether its client account may make it now),
//! `routing` (its route, service and replica), `sending` (send, hedge, retry, answer), and
//! `callers` again if it is refused. `registry` keeps the data that the others use up to date.
//! `rollout` moves a service to a new version of its replicas.

mod callers;
mod limits;
mod registry;
mod rollout;
mod routing;
mod sending;

pub use self::callers::*;
pub use self::limits::*;
pub use self::registry::*;
pub use self::rollout::*;
pub use self::routing::*;
pub use self::sending::*;
