//! Typed messages of all interfaces: callers, upstreams, the platform and peers.

mod account;
mod caller;
mod claim;
mod ids;
mod peer;
mod platform;
mod relay;
mod route;
mod service;
mod timeline;
mod tokens;
mod upstream;

pub use self::account::*;
pub use self::caller::*;
pub use self::claim::*;
pub use self::ids::*;
pub use self::peer::*;
pub use self::platform::*;
pub use self::relay::*;
pub use self::route::*;
pub use self::service::*;
pub use self::timeline::*;
pub use self::tokens::*;
pub use self::upstream::*;
