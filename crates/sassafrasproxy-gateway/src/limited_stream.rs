//! Limits the bytes that are read from a connection.

use std::cell::Cell;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use thiserror::Error;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// The maximum size of what comes before a body, in bytes: interim answers and the head.
pub const MAX_HEAD_BYTES: usize = 65_536;

/// The maximum number of bytes that are read of a body before the task that asked for the answer has
/// its head and allows the body: two reads, as the HTTP library then waits for that task, each into a
/// buffer that may have grown to twice the size of a head.
const MAX_AHEAD_BYTES: usize = 2 * 2 * MAX_HEAD_BYTES;

/// The factor by which a body in chunks may be longer than what it carries.
const MAX_FRAMING_FACTOR: usize = 2;

/// The error of a read that exceeds the allowance.
#[derive(Debug, Clone, Copy, Error)]
#[error("the other end sent more bytes than an answer may have; see the limits of answers")]
struct AllowanceExceeded;

/// The number of bytes that may still be read from a connection, shared with its stream.
///
/// Bounds what a peer that sends without end costs, whatever it sends: heads, interim answers, chunks,
/// trailers, or bytes after an answer.
#[derive(Debug, Clone, Default)]
pub struct ReadAllowance {
    state: Rc<AllowanceState>,
}

#[derive(Debug, Default)]
struct AllowanceState {
    left_bytes: Cell<usize>,
    is_exceeded: Cell<bool>,
}

impl ReadAllowance {
    /// Allows the interim answers and the head of one answer to be read.
    pub fn allow_head(&self) {
        self.state.left_bytes.set(MAX_HEAD_BYTES + MAX_AHEAD_BYTES);
    }

    /// Allows a body of at most `max_bytes` to be read.
    pub fn allow_body(&self, max_bytes: usize) {
        let framed = max_bytes.saturating_mul(MAX_FRAMING_FACTOR);
        self.state.left_bytes.set(framed.saturating_add(MAX_HEAD_BYTES));
    }

    /// Returns whether the connection ended because more was sent than allowed.
    pub fn is_exceeded(&self) -> bool {
        self.state.is_exceeded.get()
    }

    fn take(&self, bytes: usize) -> Result<(), AllowanceExceeded> {
        let Some(left_bytes) = self.state.left_bytes.get().checked_sub(bytes) else {
            self.state.is_exceeded.set(true);
            return Err(AllowanceExceeded);
        };
        self.state.left_bytes.set(left_bytes);
        Ok(())
    }
}

/// A TCP connection whose reads fail once the allowance is exceeded.
#[derive(Debug)]
pub struct LimitedStream {
    stream: TcpStream,
    allowance: ReadAllowance,
}

impl LimitedStream {
    /// Wraps a connection; the other end of the allowance sets what may be read.
    pub fn new(stream: TcpStream, allowance: ReadAllowance) -> Self {
        Self { stream, allowance }
    }
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        match read {
            Poll::Ready(Ok(())) => {
                let bytes = buffer.filled().len() - before;
                Poll::Ready(self.allowance.take(bytes).map_err(io::Error::other))
            }
            Poll::Ready(Err(_)) | Poll::Pending => read,
        }
    }
}

impl AsyncWrite for LimitedStream {
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

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
