//! Opens connections to upstream replicas and pools the idle ones.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use ecow::EcoString;
use indexmap::IndexMap;
use sassafrasproxy_core::US_PER_MS;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::http_connection::HttpConnection;

/// The time before the announced keep-alive timeout from which an idle connection is not used any
/// more, in milliseconds.
///
/// If the replica closes the connection while a request is on its way, this node cannot tell whether
/// the request has run. A quarter of a second far exceeds the network delay.
const KEEP_ALIVE_MARGIN_MS: u64 = 250;

/// An idle connection.
#[derive(Debug)]
struct IdleConnection {
    sender: HttpConnection,
    /// The time until which the connection may be used, in microseconds.
    usable_until_us: u64,
}

/// The idle connections to all replicas, by replica id.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: IndexMap<EcoString, Vec<IdleConnection>>,
}

impl ConnectionPool {
    /// Takes the most recently used idle connection to a replica.
    pub fn take(&mut self, replica: &str, now_us: u64) -> Option<HttpConnection> {
        let idle = self.idle.get_mut(replica)?;
        while let Some(connection) = idle.pop() {
            if connection.usable_until_us > now_us && !connection.sender.is_closed() {
                return Some(connection.sender);
            }
        }
        None
    }

    /// Adds a connection whose last answer is complete, unless `limit` are idle already.
    pub fn put(
        &mut self,
        replica: &EcoString,
        sender: HttpConnection,
        now_us: u64,
        keep_alive_ms: Option<u64>,
        limit: usize,
    ) {
        let usable_ms = keep_alive_ms.map(|ms| ms.saturating_sub(KEEP_ALIVE_MARGIN_MS));
        let usable_until_us = usable_ms.map_or(u64::MAX, |ms| now_us + ms * US_PER_MS);
        let idle = self.idle.entry(replica.clone()).or_default();
        idle.retain(|connection| {
            connection.usable_until_us > now_us && !connection.sender.is_closed()
        });
        if idle.len() >= limit {
            return;
        }
        sender.end_answer();
        idle.push(IdleConnection { sender, usable_until_us });
    }

    /// Drops the idle connections to a replica.
    ///
    /// Guards against connections that stall together: once one has stalled, each of the others
    /// would cost another request before it is dropped.
    pub fn drop_idle(&mut self, replica: &str) {
        if let Some(idle) = self.idle.get_mut(replica) {
            idle.clear();
        }
    }

    /// Drops the connections to replicas for which `is_known` returns false.
    pub fn retain(&mut self, mut is_known: impl FnMut(&EcoString) -> bool) {
        self.idle.retain(|replica, _| is_known(replica));
    }

    /// Whether the pool has an idle connection to a replica.
    pub fn has_idle(&self, replica: &str) -> bool {
        self.idle.get(replica).is_some_and(|idle| !idle.is_empty())
    }
}

/// The reason why a connection could not be opened.
#[derive(Debug, Error)]
pub enum ConnectError {
    /// The replica did not accept the connection in time.
    #[error("the connection was not accepted within {0:?}")]
    TimedOut(Duration),
    /// The operating system reported an error.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The replica accepted the connection and ended it at once.
    #[error("the replica accepted the connection and ended it at once")]
    Closed,
    /// The HTTP handshake failed.
    #[error("{0}")]
    Handshake(#[from] hyper::Error),
}

impl ConnectError {
    /// Whether the error means that no process accepts connections any more.
    ///
    /// A replica over its connection limit resets new connections but still runs. If a reset
    /// counted as a crash, the requests that broke off there would be taken for its cause.
    pub fn is_process_gone(&self) -> bool {
        match self {
            Self::TimedOut(_) => true,
            Self::Io(error) => error.kind() != io::ErrorKind::ConnectionReset,
            Self::Closed | Self::Handshake(_) => false,
        }
    }
}

/// Opens a connection within `limit`, and checks that it stays open for the time `quiet`.
///
/// Guards against a replica over its connection limit, which resets a connection right after it
/// accepted it. This node cannot tell whether a request written before the reset has run, so a
/// non-idempotent one would fail although another replica could serve it.
pub async fn connect(
    address: SocketAddr,
    limit: Duration,
    quiet: Duration,
) -> Result<HttpConnection, ConnectError> {
    let connecting = timeout(limit, TcpStream::connect(address)).await;
    let stream = connecting.map_err(|_| ConnectError::TimedOut(limit))??;
    stream.set_nodelay(true)?;
    if !quiet.is_zero() && timeout(quiet, stream.readable()).await.is_ok() {
        return Err(ConnectError::Closed);
    }
    Ok(HttpConnection::open(stream, address).await?)
}
