//! Tracks the connections of callers and detects when a caller closes its connection.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;

use indexmap::IndexMap;
use poem::http::uri::Scheme;
use poem::listener::Acceptor;
use poem::web::{LocalAddr, RemoteAddr};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};

/// The interval between two checks of a connection that has unread bytes.
const HANGUP_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Second socket handles of callers' open connections, used to detect a close while a request runs.
///
/// Guards against work for a caller that has closed its connection: the HTTP server does not end
/// a handler when its connection is closed, so upstream slots would stay in use until the deadline.
#[derive(Debug, Clone, Default)]
pub struct CallerConnections {
    streams: Arc<Mutex<IndexMap<SocketAddr, Arc<TcpStream>>>>,
}

impl CallerConnections {
    /// Waits until a caller closes its connection; never returns if the connection is unknown.
    pub async fn wait_until_closed(&self, caller: Option<SocketAddr>) {
        let stream = caller.and_then(|caller| self.lock().get(&caller).cloned());
        let Some(stream) = stream else { return std::future::pending().await };
        loop {
            match stream.peek(&mut [0]).await {
                Ok(0) | Err(_) => return,
                Ok(_) => tokio::time::sleep(HANGUP_POLL_INTERVAL).await,
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, IndexMap<SocketAddr, Arc<TcpStream>>> {
        self.streams.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Accepts callers' connections and stores a second handle of each while it is open.
pub struct CallerAcceptor {
    listener: TcpListener,
    connections: CallerConnections,
}

impl CallerAcceptor {
    /// Creates an acceptor from a bound, non-blocking socket.
    pub fn new(
        listener: std::net::TcpListener,
        connections: CallerConnections,
    ) -> io::Result<Self> {
        Ok(Self { listener: TcpListener::from_std(listener)?, connections })
    }
}

impl Acceptor for CallerAcceptor {
    type Io = CallerStream;

    fn local_addr(&self) -> Vec<LocalAddr> {
        self.listener.local_addr().map(|address| LocalAddr(address.into())).into_iter().collect()
    }

    async fn accept(&mut self) -> io::Result<(Self::Io, LocalAddr, RemoteAddr, Scheme)> {
        let (stream, caller_address) = self.listener.accept().await?;
        stream.set_nodelay(true)?;
        let local = LocalAddr(stream.local_addr()?.into());
        let stream = stream.into_std()?;
        let second_handle = TcpStream::from_std(stream.try_clone()?)?;
        self.connections.lock().insert(caller_address, Arc::new(second_handle));
        let stream = TcpStream::from_std(stream)?;
        let stream = CallerStream { stream, caller_address, connections: self.connections.clone() };
        Ok((stream, local, RemoteAddr(caller_address.into()), Scheme::HTTP))
    }
}

/// A caller's connection; dropping it also removes the second handle.
pub struct CallerStream {
    stream: TcpStream,
    caller_address: SocketAddr,
    connections: CallerConnections,
}

impl Drop for CallerStream {
    fn drop(&mut self) {
        self.connections.lock().swap_remove(&self.caller_address);
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
