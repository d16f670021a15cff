//! Accepts connections and serves HTTP on them.

use std::cell::Cell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::answer::Answer;
use crate::delivery::{Delivery, DeliveryStream};
use crate::shutdown::OpenConnectionGuard;
use crate::traffic::TrafficState;

/// The delay before the next accept after an accept has failed, for example for lack of file
/// descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The limits of the connections of a listener.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionLimits {
    /// The maximum size of a request head, in bytes.
    pub header_bytes: usize,
    /// The maximum time for which a connection may be idle or take to send a request head.
    pub idle_timeout: Duration,
    /// Whether a leaving node waits until the connection has ended.
    ///
    /// Guards against losing a request that arrives as the node closes its port: if it is read but
    /// not yet counted as active, the process could send it to a replica and exit before the
    /// answer.
    pub blocks_shutdown: bool,
}

/// Accepts connections until stopped, then lets each connection finish its current request.
pub async fn run<F, S>(
    listener: TcpListener,
    traffic: Rc<TrafficState>,
    limits: impl Fn(&TrafficState) -> ConnectionLimits,
    serve: S,
    mut stopping: watch::Receiver<bool>,
) where
    S: Fn(Rc<TrafficState>, Request<Incoming>) -> F + Copy + 'static,
    F: Future<Output = Result<Answer, Infallible>> + 'static,
{
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopping.wait_for(|is_stopping| *is_stopping) => return,
        };
        match accepted {
            Ok((stream, caller)) => {
                let limits = limits(&traffic);
                let stopping = stopping.clone();
                let connection = CallerConnection { stream, caller };
                spawn_local(serve_connection(connection, traffic.clone(), limits, serve, stopping));
            }
            Err(error) => {
                log::warn!(error:%; "failed to accept a connection; retrying");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// A connection with the address of its other end.
struct CallerConnection {
    stream: TcpStream,
    caller: SocketAddr,
}

async fn serve_connection<F, S>(
    CallerConnection { stream, caller }: CallerConnection,
    traffic: Rc<TrafficState>,
    limits: ConnectionLimits,
    serve: S,
    mut stopping: watch::Receiver<bool>,
) where
    S: Fn(Rc<TrafficState>, Request<Incoming>) -> F + Copy + 'static,
    F: Future<Output = Result<Answer, Infallible>> + 'static,
{
    let _open = limits.blocks_shutdown.then(|| OpenConnectionGuard::new(traffic.clone()));
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(error:%; "failed to set TCP_NODELAY on a connection");
    }
    let delivery = Rc::new(Delivery::new(&traffic.answer_store));
    let stream = DeliveryStream::new(stream, delivery.clone());
    let is_first = Cell::new(true);
    let service = service_fn(move |mut request: Request<Incoming>| {
        if is_first.replace(false) {
            request.extensions_mut().insert(FirstRequest);
        }
        serve(traffic.clone(), request)
    });
    let connection = Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(limits.header_bytes.max(MIN_READ_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let served = async {
        tokio::select! {
            result = connection.as_mut() => result,
            _ = stopping.wait_for(|is_stopping| *is_stopping) => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        }
    };
    tokio::select! {
        result = served => {
            if let Err(error) = result {
                log::debug!(error:%; "a connection ended with an error");
            }
        }
        () = delivery.wait_until_given_up(limits.idle_timeout) => {
            log::info!(caller:% = caller; "closed the connection of a caller that does not read its answer");
        }
    }
}

/// Marks the first request of a connection, for which the caller had to connect.
#[derive(Debug, Clone, Copy)]
pub struct FirstRequest;

/// The minimum read buffer size that the HTTP library accepts, in bytes.
const MIN_READ_BUFFER_BYTES: usize = 8_192;
