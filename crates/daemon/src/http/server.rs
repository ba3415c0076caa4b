//! Serves HTTP/1 on a listener until told to stop, then finishes what runs.

use std::convert::Infallible;
use std::future::Future;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

use super::Body;
use super::socket::{self, SocketLimits};

/// A connection whose request head is not whole by then is closed.
const HEADER_READ_TIMEOUT: Duration = Duration::from_secs(30);
/// Pause after the system refused a connection, for instance because no file descriptor is free.
pub(crate) const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// When a server leaves.
#[derive(Clone, Debug, Default)]
pub struct ServerStop {
    /// Cancelled first: answers ask callers to close their connections, so that none is left idle.
    pub draining: CancellationToken,
    /// Cancelled later: no connection is accepted any more.
    pub closing: CancellationToken,
}

/// Answers each request with `handler`, each connection in a task of its own. Returns when `closing` is cancelled
/// and every answer that had begun has been written whole, however long that takes (brief point 8).
pub async fn serve<Handler, Answer>(listener: TcpListener, stop: ServerStop, handler: Handler)
where
    Handler: Fn(Request<Incoming>) -> Answer + Clone + Send + Sync + 'static,
    Answer: Future<Output = Response<Body>> + Send + 'static,
{
    serve_within(listener, stop, SocketLimits::default(), handler).await;
}

/// Like [`serve`], with limits of its own.
pub async fn serve_within<Handler, Answer>(
    listener: TcpListener,
    stop: ServerStop,
    limits: SocketLimits,
    handler: Handler,
) where
    Handler: Fn(Request<Incoming>) -> Answer + Clone + Send + Sync + 'static,
    Answer: Future<Output = Response<Body>> + Send + 'static,
{
    let graceful = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.closing.cancelled() => break,
        };
        match accepted {
            Ok((stream, _)) => match socket::prepare(&stream, limits) {
                Ok(()) => spawn_connection(stream, &graceful, &stop, handler.clone()),
                Err(error) => {
                    log::debug!(target: "http", "A connection was lost before it began: {error}.");
                }
            },
            Err(error) => {
                log::warn!(target: "http", "A connection was not accepted: {error}.");
                tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
            }
        }
    }
    drop(listener);
    graceful.shutdown().await;
}

fn spawn_connection<Handler, Answer>(
    stream: TcpStream,
    graceful: &GracefulShutdown,
    stop: &ServerStop,
    handler: Handler,
) where
    Handler: Fn(Request<Incoming>) -> Answer + Send + Sync + 'static,
    Answer: Future<Output = Response<Body>> + Send + 'static,
{
    let draining = stop.draining.clone();
    let service = service_fn(move |request| {
        let draining = draining.clone();
        let answer = handler(request);
        async move {
            let mut response = answer.await;
            if draining.is_cancelled() {
                response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(response)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_READ_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service);
    let connection = graceful.watch(connection);
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!(target: "http", "A connection ended early: {error}.");
        }
    });
}
