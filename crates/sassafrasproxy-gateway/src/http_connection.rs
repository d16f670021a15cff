//! A client's HTTP connection, which reads no more than its caller allows.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::spawn_local;

use crate::limited_stream::{LimitedStream, MAX_HEAD_BYTES, ReadAllowance};

/// A connection to a replica, the store or a peer that can carry one request at a time.
#[derive(Debug)]
pub struct HttpConnection {
    sender: SendRequest<Full<Bytes>>,
    allowance: ReadAllowance,
}

impl HttpConnection {
    /// Starts HTTP on an open connection to an address, on the current thread.
    ///
    /// Returns an error if the connection is closed.
    pub async fn open(stream: TcpStream, address: SocketAddr) -> Result<Self, hyper::Error> {
        let allowance = ReadAllowance::default();
        allowance.allow_head();
        let stream = LimitedStream::new(stream, allowance.clone());
        let (sender, connection) =
            Builder::new().max_buf_size(MAX_HEAD_BYTES).handshake(TokioIo::new(stream)).await?;
        spawn_local(async move {
            if let Err(error) = connection.await {
                log::debug!(address:%, error:%; "a connection ended with an error");
            }
        });
        Ok(Self { sender, allowance })
    }

    /// Waits until the connection can carry a request; returns an error if it is closed.
    pub async fn ready(&mut self) -> Result<(), hyper::Error> {
        self.sender.ready().await
    }

    /// Sends a request and returns the head of its answer, whose body may have `max_body_bytes`.
    ///
    /// The error holds the request if none of it was written to the connection.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
        max_body_bytes: usize,
    ) -> Result<Response<Incoming>, TrySendError<Request<Full<Bytes>>>> {
        self.allowance.allow_head();
        let response = self.sender.try_send_request(request).await?;
        self.allowance.allow_body(max_body_bytes);
        Ok(response)
    }

    /// Records that the answer is complete, so that little more may be read until the next request.
    pub fn end_answer(&self) {
        self.allowance.allow_head();
    }

    /// Returns whether the connection ended because more was sent than allowed.
    pub fn is_over_limit(&self) -> bool {
        self.allowance.is_exceeded()
    }

    /// Returns whether the connection is closed.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }
}
