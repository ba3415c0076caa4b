//! Serves HTTP/1 on a listener until a stop is requested, then completes the responses that have begun.
//!
//! Runs a task for each connection. Relies on `hyper` for the protocol and on [`super::socket`] to close
//! connections whose peer has disappeared.

use std::convert::Infallible;
use std::future::Future;
use std::pin::pin;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::Body;
use super::closing_port;
use super::socket::{self, SocketLimits};

/// Default time within which a request head must be complete.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);
/// Default maximum size of a request head, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Smallest maximum buffer size that `hyper` accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8 << 10;
/// Maximum number of header fields of a request.
const MAX_HEAD_FIELDS: usize = 256;
/// Delay after a failed `accept`, for instance because no file descriptor is free; keeps the accept loop from
/// spinning.
pub(crate) const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Time for which idle connections stay open after the port has closed, so that requests already on their way
/// are answered instead of reset. The answer closes the connection.
const CLOSING_LINGER: Duration = Duration::from_millis(500);

/// Signals that stop a server.
#[derive(Clone, Debug, Default)]
pub struct ServerStop {
    /// Cancelled first: responses then ask callers to close their connections, so that none is left idle.
    pub draining: CancellationToken,
    /// Cancelled later: the server stops accepting connections.
    pub closing: CancellationToken,
}

/// Limits on the head of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeadLimits {
    /// A connection whose next request head is not complete within this time is closed, even if it is idle.
    pub timeout: Duration,
    /// Maximum size of a head, in bytes. A longer one is refused.
    pub bytes: usize,
}

impl Default for HeadLimits {
    fn default() -> Self {
        Self { timeout: HEAD_TIMEOUT, bytes: MAX_HEAD_BYTES }
    }
}

/// Answers each request with `handler`, each connection in its own task. Returns when `closing` is cancelled
/// and every response that had begun has been written completely, however long that takes.
pub async fn serve<Handler, Answer>(listener: TcpListener, stop: ServerStop, handler: Handler)
where
    Handler: Fn(Request<Incoming>) -> Answer + Clone + Send + Sync + 'static,
    Answer: Future<Output = Response<Body>> + Send + 'static,
{
    serve_with_limits(listener, stop, SocketLimits::default(), HeadLimits::default, handler).await;
}

/// Serves like [`serve`], with the given limits. `head_limits` is called for each connection.
pub async fn serve_with_limits<Heads, Handler, Answer>(
    listener: TcpListener,
    stop: ServerStop,
    limits: SocketLimits,
    head_limits: Heads,
    handler: Handler,
) where
    Heads: Fn() -> HeadLimits,
    Handler: Fn(Request<Incoming>) -> Answer + Clone + Send + Sync + 'static,
    Answer: Future<Output = Response<Body>> + Send + 'static,
{
    let connections = TaskTracker::new();
    let start_connection = |stream: TcpStream| match socket::prepare(&stream, limits) {
        Ok(()) => {
            drop(connections.spawn(serve_connection(stream, stop.clone(), head_limits(), handler.clone())))
        }
        Err(error) => log::debug!(target: "http", "A connection was closed before it was served: {error}."),
    };
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.closing.cancelled() => break,
        };
        match accepted {
            Ok((stream, _)) => start_connection(stream),
            Err(error) => {
                log::warn!(target: "http", "A connection can't be accepted: {error}.");
                tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
            }
        }
    }
    closing_port::close(listener, start_connection);
    connections.close();
    connections.wait().await;
}

async fn serve_connection<Handler, Answer>(
    stream: TcpStream,
    stop: ServerStop,
    head_limits: HeadLimits,
    handler: Handler,
) where
    Handler: Fn(Request<Incoming>) -> Answer + Send + Sync + 'static,
    Answer: Future<Output = Response<Body>> + Send + 'static,
{
    let draining = stop.draining;
    let service = service_fn(move |request| add_connection_close(handler(request), draining.clone()));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(head_limits.timeout)
        .max_buf_size(head_limits.bytes.max(MIN_BUFFER_BYTES))
        .max_headers(MAX_HEAD_FIELDS)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let linger_elapsed = async {
        stop.closing.cancelled().await;
        tokio::time::sleep(CLOSING_LINGER).await;
    };
    let result = tokio::select! {
        // The connection first: a request that has arrived by now is served, where a shutdown would drop it.
        biased;
        result = connection.as_mut() => result,
        () = linger_elapsed => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        log::debug!(target: "http", "A connection ended early: {error}.");
    }
}

/// Returns the handler's response, with `Connection: close` if the server is draining.
async fn add_connection_close(
    answer: impl Future<Output = Response<Body>>,
    draining: CancellationToken,
) -> Result<Response<Body>, Infallible> {
    let mut response = answer.await;
    if draining.is_cancelled() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}
