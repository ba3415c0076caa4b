//! Serves HTTP/1 on a listener until its stop is requested, then finishes the answers that have begun.
//!
//! Owns a task for each connection. Relies on `hyper` for the protocol and on [`super::socket`] for peers
//! that vanish.

use std::convert::Infallible;
use std::future::Future;
use std::pin::pin;
use std::time::Duration;

use futures::FutureExt;
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
use super::socket::{self, SocketLimits};

/// A connection whose request head is not whole after this time is closed. Chosen, not measured.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);
/// The longest request head, in bytes. Chosen, not measured.
const HEAD_BYTES: usize = 64 << 10;
/// The least that the library takes as the longest head, in bytes.
const MIN_HEAD_BYTES: usize = 8 << 10;
/// The most fields of a request head. Chosen, not measured.
const HEAD_FIELDS: usize = 256;
/// Pause after the system refused a connection, for instance because no file descriptor is free. Chosen, not
/// measured: without it the loop would spin.
pub(crate) const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// How long a connection without a request is kept after the port has closed: a request that is on its way at
/// that moment is still answered, and its connection is closed by that answer. Chosen, not measured: shorter
/// resets such requests.
const CLOSING_LINGER: Duration = Duration::from_millis(500);

/// When a server leaves.
#[derive(Clone, Debug, Default)]
pub struct ServerStop {
    /// Cancelled first: answers ask callers to close their connections, so that none is left idle.
    pub draining: CancellationToken,
    /// Cancelled later: no connection is accepted any more.
    pub closing: CancellationToken,
}

/// What a connection may send before its request is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeadLimits {
    /// A connection whose next request head is not whole by then is closed, also one that rests.
    pub timeout: Duration,
    /// A longer head is refused.
    pub bytes: usize,
}

impl Default for HeadLimits {
    fn default() -> Self {
        Self { timeout: HEAD_TIMEOUT, bytes: HEAD_BYTES }
    }
}

/// Answers each request with `handler`, each connection in a task of its own. Returns when `closing` is
/// cancelled and every answer that had begun has been written whole, however long that takes (brief point 8).
pub async fn serve<Handler, Answer>(listener: TcpListener, stop: ServerStop, handler: Handler)
where
    Handler: Fn(Request<Incoming>) -> Answer + Clone + Send + Sync + 'static,
    Answer: Future<Output = Response<Body>> + Send + 'static,
{
    serve_with_limits(listener, stop, SocketLimits::default(), HeadLimits::default, handler).await;
}

/// Like [`serve`], with limits of its own; those of heads are read for each connection anew.
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
    let begin = |stream: TcpStream| match socket::prepare(&stream, limits) {
        Ok(()) => {
            drop(connections.spawn(serve_connection(stream, stop.clone(), head_limits(), handler.clone())))
        }
        Err(error) => log::debug!(target: "http", "A connection was lost before it began: {error}."),
    };
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.closing.cancelled() => break,
        };
        match accepted {
            Ok((stream, _)) => begin(stream),
            Err(error) => {
                log::warn!(target: "http", "A connection was not accepted: {error}.");
                tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
            }
        }
    }
    // Callers whose connections wait in the system's queue may have sent their requests already: closing the
    // listener would leave them without an answer.
    while let Some(Ok((stream, _))) = listener.accept().now_or_never() {
        begin(stream);
    }
    drop(listener);
    connections.close();
    connections.wait().await;
}

async fn serve_connection<Handler, Answer>(
    stream: TcpStream,
    stop: ServerStop,
    heads: HeadLimits,
    handler: Handler,
) where
    Handler: Fn(Request<Incoming>) -> Answer + Send + Sync + 'static,
    Answer: Future<Output = Response<Body>> + Send + 'static,
{
    let draining = stop.draining;
    let service = service_fn(move |request| answer_or_close(handler(request), draining.clone()));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(heads.timeout)
        .max_buf_size(heads.bytes.max(MIN_HEAD_BYTES))
        .max_headers(HEAD_FIELDS)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let leaving = async {
        stop.closing.cancelled().await;
        tokio::time::sleep(CLOSING_LINGER).await;
    };
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = leaving => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        log::debug!(target: "http", "A connection ended early: {error}.");
    }
}

/// The handler's answer; while the server drains it asks the caller to close the connection.
async fn answer_or_close(
    answer: impl Future<Output = Response<Body>>,
    draining: CancellationToken,
) -> Result<Response<Body>, Infallible> {
    let mut response = answer.await;
    if draining.is_cancelled() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}
