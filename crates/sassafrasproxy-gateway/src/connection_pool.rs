//! Kept connections to upstream replicas.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use ecow::EcoString;
use http_body_util::Full;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use indexmap::IndexMap;
use sassafrasproxy_core::US_PER_MS;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::timeout;

/// How long before an idle connection's announced end it is not used any more, in milliseconds.
///
/// A request that crosses the replica's close may have run for all this node knows; a quarter of
/// a second is far beyond the delay between the two.
const KEEP_ALIVE_MARGIN_MS: u64 = 250;

/// A connection that can carry one request at a time.
pub type UpstreamConnection = SendRequest<Full<Bytes>>;

/// An idle connection.
#[derive(Debug)]
struct IdleConnection {
    sender: UpstreamConnection,
    /// Until when it may be used, in microseconds.
    usable_until_us: u64,
}

/// The idle connections to all replicas, by replica id.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: IndexMap<EcoString, Vec<IdleConnection>>,
}

impl ConnectionPool {
    /// Takes the idle connection to a replica that was used last.
    pub fn take(&mut self, replica: &str, now_us: u64) -> Option<UpstreamConnection> {
        let idle = self.idle.get_mut(replica)?;
        while let Some(connection) = idle.pop() {
            if connection.usable_until_us > now_us && !connection.sender.is_closed() {
                return Some(connection.sender);
            }
        }
        None
    }

    /// Keeps a connection whose last answer is complete, unless `limit` are idle already.
    pub fn put(
        &mut self,
        replica: &EcoString,
        sender: UpstreamConnection,
        now_us: u64,
        keep_alive_ms: Option<u64>,
        limit: usize,
    ) {
        let usable_ms = keep_alive_ms.map(|ms| ms.saturating_sub(KEEP_ALIVE_MARGIN_MS));
        let until_us = usable_ms.map_or(u64::MAX, |ms| now_us + ms * US_PER_MS);
        let idle = self.idle.entry(replica.clone()).or_default();
        idle.retain(|one| one.usable_until_us > now_us && !one.sender.is_closed());
        if idle.len() >= limit {
            return;
        }
        idle.push(IdleConnection { sender, usable_until_us: until_us });
    }

    /// Drops the idle connections to a replica.
    ///
    /// Guards against connections that went silent together: after one has shown it, the others
    /// would each cost a request to find out.
    pub fn drop_idle(&mut self, replica: &str) {
        if let Some(idle) = self.idle.get_mut(replica) {
            idle.clear();
        }
    }

    /// Drops the connections to replicas that are no more.
    pub fn retain(&mut self, mut is_known: impl FnMut(&EcoString) -> bool) {
        self.idle.retain(|replica, _| is_known(replica));
    }

    /// Whether an idle connection to a replica is there.
    pub fn has_idle(&self, replica: &str) -> bool {
        self.idle.get(replica).is_some_and(|idle| !idle.is_empty())
    }
}

/// Why there is no connection.
#[derive(Debug, Error)]
pub enum ConnectError {
    /// Nothing came back in time.
    #[error("no answer within {0:?}")]
    TimedOut(Duration),
    /// The system says why.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The replica took it and ended it again.
    #[error("the replica ended the new connection")]
    Closed,
    /// The HTTP library could not take it.
    #[error("{0}")]
    Handshake(#[from] hyper::Error),
}

impl ConnectError {
    /// Whether there is no process any more that takes connections.
    ///
    /// A replica that is over its cap resets new ones, but lives. Taken for dead, it would make
    /// requests that broke off there look as if they had crashed it.
    pub fn is_process_gone(&self) -> bool {
        match self {
            Self::TimedOut(_) => true,
            Self::Io(error) => error.kind() != io::ErrorKind::ConnectionReset,
            Self::Closed | Self::Handshake(_) => false,
        }
    }
}

/// Makes a connection, and waits whether it stays quiet for a time.
///
/// Guards against a replica that is over its cap and resets a connection right after it took it.
/// A request that was written by then may have run for all this node knows; one that must not run
/// twice would be lost, though a sibling could serve it.
pub async fn connect(
    address: SocketAddr,
    limit: Duration,
    quiet: Duration,
) -> Result<UpstreamConnection, ConnectError> {
    let connecting = timeout(limit, TcpStream::connect(address)).await;
    let stream = connecting.map_err(|_| ConnectError::TimedOut(limit))??;
    stream.set_nodelay(true)?;
    if !quiet.is_zero() && timeout(quiet, stream.readable()).await.is_ok() {
        return Err(ConnectError::Closed);
    }
    let (sender, connection) = handshake(TokioIo::new(stream)).await?;
    spawn_local(async move {
        if let Err(error) = connection.await {
            log::debug!(address:%, error:%; "a connection to a replica ended");
        }
    });
    Ok(sender)
}
