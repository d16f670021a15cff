//! An HTTP client with one persistent connection, for calls to the store and to peers.

use std::error::Error;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use ecow::eco_format;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use sassafrasproxy_platform::{StoreError, StoreRequest};
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::http_connection::HttpConnection;

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

/// The maximum size of the body of an answer of the store or a peer, in bytes.
///
/// A page of the store has at most one megabyte, and what a peer tells at once a few.
const MAX_BODY_BYTES: usize = 16 << 20;

/// An HTTP client that makes one call at a time over one connection.
#[derive(Debug)]
pub struct PersistentClient {
    address: SocketAddr,
    connection: Option<HttpConnection>,
}

impl PersistentClient {
    /// Creates a client that connects at its first call.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, connection: None }
    }

    /// Makes a call and returns the status and the body.
    ///
    /// Returns [`StoreError::BrokenOff`] if the connection ends before the answer is complete, and
    /// [`StoreError::NoAnswer`] if none can be opened or the answer is not complete within `limit`.
    /// After any failure the next call uses a new connection.
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
            self.connection = None;
        }
        result
    }

    /// Closes the connection; the next call opens a new one.
    pub fn disconnect(&mut self) {
        self.connection = None;
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
        let connection = self.connection().await?;
        let sent = connection.send(request, MAX_BODY_BYTES).await;
        let response = sent.map_err(|error| broken_off(&error.into_error()))?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_BODY_BYTES);
        let body = body.collect().await.map_err(|error| body_error(error.as_ref()))?;
        connection.end_answer();
        Ok((status, body.to_bytes()))
    }

    async fn connection(&mut self) -> Result<&mut HttpConnection, StoreError> {
        let existing = match self.connection.take() {
            Some(mut connection) => connection.ready().await.is_ok().then_some(connection),
            None => None,
        };
        let connection = match existing {
            Some(connection) => connection,
            None => connect(self.address).await?,
        };
        Ok(self.connection.insert(connection))
    }
}

async fn connect(address: SocketAddr) -> Result<HttpConnection, StoreError> {
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
    HttpConnection::open(stream, address).await.map_err(no_answer)
}

fn no_answer(error: impl std::fmt::Display) -> StoreError {
    StoreError::NoAnswer { detail: eco_format!("{error}") }
}

fn body_error(error: &(dyn Error + Send + Sync + 'static)) -> StoreError {
    if error.is::<LengthLimitError>() {
        return no_answer(format_args!("the answer is larger than {MAX_BODY_BYTES} bytes"));
    }
    broken_off(error)
}

fn broken_off(error: &(dyn Error + Send + Sync + 'static)) -> StoreError {
    StoreError::BrokenOff { detail: eco_format!("{error}") }
}
