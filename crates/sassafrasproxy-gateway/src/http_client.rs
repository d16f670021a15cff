//! An HTTP client with one persistent connection, for calls to the store and to peers.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use ecow::eco_format;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use sassafrasproxy_platform::{StoreError, StoreRequest};
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::timeout;

/// The connect timeout.
///
/// The store and peers answer within milliseconds; a second allows for one lost packet.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The idle time before the first TCP keepalive probe, and the interval between probes.
///
/// A watch waits for seconds: the probes detect a lost connection or network path before the watch
/// times out.
const KEEPALIVE_PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// The number of unanswered probes after which a connection is closed.
const KEEPALIVE_PROBE_COUNT: u32 = 2;

/// An HTTP client that makes one call at a time over one connection.
#[derive(Debug)]
pub struct PersistentClient {
    address: SocketAddr,
    sender: Option<SendRequest<Full<Bytes>>>,
}

impl PersistentClient {
    /// Creates a client that connects at its first call.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, sender: None }
    }

    /// Makes a call and returns the status and the body.
    ///
    /// Returns [`StoreError::NoAnswer`] if the connection fails, or if the answer is not complete
    /// within `limit`. After any failure the next call uses a new connection.
    pub async fn call(
        &mut self,
        call: StoreRequest,
        limit: Duration,
    ) -> Result<(StatusCode, Bytes), StoreError> {
        let completed = timeout(limit, self.call_without_timeout(call)).await;
        let result = completed.unwrap_or_else(|_| {
            Err(StoreError::NoAnswer { detail: eco_format!("no answer within {limit:?}") })
        });
        if result.is_err() {
            self.sender = None;
        }
        result
    }

    /// Closes the connection; the next call opens a new one.
    pub fn disconnect(&mut self) {
        self.sender = None;
    }

    async fn call_without_timeout(
        &mut self,
        call: StoreRequest,
    ) -> Result<(StatusCode, Bytes), StoreError> {
        let host = eco_format!("{}", self.address);
        let mut request = Request::builder()
            .method(call.method)
            .uri(call.path.as_str())
            .header(http::header::HOST, host.as_str());
        if !call.body.is_empty() {
            request = request.header(http::header::CONTENT_TYPE, "application/json");
        }
        let request = request.body(Full::new(call.body)).map_err(no_answer)?;
        let sender = self.sender().await?;
        let response = sender.send_request(request).await.map_err(no_answer)?;
        let status = response.status();
        let body = response.into_body().collect().await.map_err(no_answer)?;
        Ok((status, body.to_bytes()))
    }

    async fn sender(&mut self) -> Result<&mut SendRequest<Full<Bytes>>, StoreError> {
        let existing = match self.sender.take() {
            Some(mut sender) => sender.ready().await.is_ok().then_some(sender),
            None => None,
        };
        let sender = match existing {
            Some(sender) => sender,
            None => connect(self.address).await?,
        };
        Ok(self.sender.insert(sender))
    }
}

async fn connect(address: SocketAddr) -> Result<SendRequest<Full<Bytes>>, StoreError> {
    let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = connected.map_err(no_answer)?.map_err(no_answer)?;
    stream.set_nodelay(true).map_err(no_answer)?;
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_PROBE_INTERVAL)
        .with_interval(KEEPALIVE_PROBE_INTERVAL)
        .with_retries(KEEPALIVE_PROBE_COUNT);
    if let Err(error) = SockRef::from(&stream).set_tcp_keepalive(&probes) {
        log::warn!(error:%; "cannot enable TCP keepalive on a connection to the store or a peer");
    }
    let (sender, connection) = handshake(TokioIo::new(stream)).await.map_err(no_answer)?;
    spawn_local(async move {
        if let Err(error) = connection.await {
            log::debug!(error:%; "a connection to the store or a peer ended");
        }
    });
    Ok(sender)
}

fn no_answer(error: impl std::fmt::Display) -> StoreError {
    StoreError::NoAnswer { detail: eco_format!("{error}") }
}
