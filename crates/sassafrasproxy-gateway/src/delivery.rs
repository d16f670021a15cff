//! Watches whether callers take the answers that wait for them.

use std::cell::Cell;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use sassafrasproxy_core::DeliveryId;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};

use crate::answer_body::AnswerStore;

/// The maximum number of bytes of an answer that wait in the system's buffer of a connection before
/// they are sent, so that a write shows whether the caller takes anything.
const MAX_UNSENT_BYTES: u32 = 65_536;

/// The delivery of answers on one connection of a caller.
pub struct Delivery {
    id: DeliveryId,
    store: AnswerStore,
    /// The time since which the caller takes nothing of what waits for it; `None` if nothing does.
    stalled_since: Cell<Option<Instant>>,
    /// Notified when a stall begins.
    stall_began: Notify,
    given_up: Arc<Notify>,
}

impl Delivery {
    /// Creates the delivery of a new connection.
    pub fn new(store: &AnswerStore) -> Self {
        let (id, given_up) = store.add_delivery();
        let (stalled_since, stall_began) = (Cell::new(None), Notify::new());
        Self { id, store: store.clone(), stalled_since, stall_began, given_up }
    }

    /// Waits until the caller has taken nothing for `idle_timeout`, or for less while other answers
    /// need the room.
    pub async fn wait_until_given_up(&self, idle_timeout: Duration) {
        tokio::select! {
            () = self.given_up.notified() => {}
            () = self.wait_until_idle(idle_timeout) => {}
        }
    }

    async fn wait_until_idle(&self, idle_timeout: Duration) {
        loop {
            match self.stalled_since.get().map(|since| since + idle_timeout) {
                None => self.stall_began.notified().await,
                Some(end) if end <= Instant::now() => return,
                Some(end) => sleep_until(end).await,
            }
        }
    }

    fn record_write(&self, written: &Poll<io::Result<usize>>) {
        let is_stalled = written.is_pending();
        if is_stalled == self.stalled_since.get().is_some() {
            return;
        }
        self.stalled_since.set(is_stalled.then(Instant::now));
        self.store.record_stall(self.id, is_stalled);
        if is_stalled {
            self.stall_began.notify_one();
        }
    }
}

impl Drop for Delivery {
    fn drop(&mut self) {
        self.store.remove_delivery(self.id);
    }
}

/// A TCP connection whose delivery knows when writes stall.
pub struct DeliveryStream {
    stream: TcpStream,
    delivery: Rc<Delivery>,
}

impl DeliveryStream {
    /// Wraps a connection.
    pub fn new(stream: TcpStream, delivery: Rc<Delivery>) -> Self {
        if let Err(error) = SockRef::from(&stream).set_tcp_notsent_lowat(MAX_UNSENT_BYTES) {
            log::debug!(error:%; "failed to bound the unsent bytes of a connection");
        }
        Self { stream, delivery }
    }
}

impl AsyncRead for DeliveryStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for DeliveryStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.delivery.record_write(&written);
        written
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
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.delivery.record_write(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
