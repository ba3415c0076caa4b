//! Serves HTTP/1 on a listener until a stop is requested, then completes the responses that have begun.
//!
//! Runs a task for each connection, which `connection` serves and closes. Relies on [`super::socket`] to close
//! connections whose peer has disappeared.

use std::future::Future;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Request, Response};
use lichenpulley_core::intake::connections::ConnectionLimit;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::Body;
use super::accept::accept_until;
use super::connection::ConnectionStop;
use super::connections::CallerConnections;
use super::socket::{self, SocketLimits};
use super::unread::UnreadMeter;
use super::{closing_port, connection};

/// Default time within which a request head must be complete.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);
/// Default maximum size of a request head, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Signals that stop a server.
#[derive(Clone, Debug, Default)]
pub struct ServerStop {
    /// Cancelled first: responses then ask callers to close their connections, so that none is left idle.
    pub draining: CancellationToken,
    /// Cancelled later: the server closes its port, and idle connections a while after it.
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

/// Limits on the connections of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerLimits {
    /// Limits of each connection.
    pub socket: SocketLimits,
    /// Maximum number of connections; beyond it those are closed that wait for their callers.
    pub connections: ConnectionLimit,
}

impl From<SocketLimits> for ServerLimits {
    fn from(socket: SocketLimits) -> Self {
        Self { socket, ..Self::default() }
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
    limits: impl Into<ServerLimits>,
    head_limits: Heads,
    handler: Handler,
) where
    Heads: Fn() -> HeadLimits,
    Handler: Fn(Request<Incoming>) -> Answer + Clone + Send + Sync + 'static,
    Answer: Future<Output = Response<Body>> + Send + 'static,
{
    serve_metered(listener, stop, limits, head_limits, None, handler).await;
}

/// Serves like [`serve`], with at most so many connections.
pub async fn serve_limited<Handler, Answer>(
    listener: TcpListener,
    stop: ServerStop,
    connections: ConnectionLimit,
    handler: Handler,
) where
    Handler: Fn(Request<Incoming>) -> Answer + Clone + Send + Sync + 'static,
    Answer: Future<Output = Response<Body>> + Send + 'static,
{
    let limits = ServerLimits { connections, ..ServerLimits::default() };
    serve_with_limits(listener, stop, limits, HeadLimits::default, handler).await;
}

/// Serves like [`serve_with_limits`] and counts unread responses with `unread`. Each request then has the extension
/// [`ConnectionMeter`](super::unread::ConnectionMeter) beside [`CallerConnection`](super::connections::CallerConnection).
pub async fn serve_metered<Heads, Handler, Answer>(
    listener: TcpListener,
    stop: ServerStop,
    limits: impl Into<ServerLimits>,
    head_limits: Heads,
    unread: Option<UnreadMeter>,
    handler: Handler,
) where
    Heads: Fn() -> HeadLimits,
    Handler: Fn(Request<Incoming>) -> Answer + Clone + Send + Sync + 'static,
    Answer: Future<Output = Response<Body>> + Send + 'static,
{
    let limits = limits.into();
    let connections = TaskTracker::new();
    let registry = CallerConnections::new(limits.connections);
    let port_closed = CancellationToken::new();
    let connection_stop = ConnectionStop { draining: stop.draining, port_closed: port_closed.clone() };
    let start_connection = |stream: TcpStream| match socket::prepare(&stream, limits.socket) {
        Ok(()) => {
            let (stop, handler) = (connection_stop.clone(), handler.clone());
            let connection = registry.open();
            let serving = connection::serve(stream, connection, stop, head_limits(), unread.clone(), handler);
            drop(connections.spawn(serving));
        }
        Err(error) => log::debug!(target: "http", "A connection was closed before it was served: {error}."),
    };
    accept_until(&listener, stop.closing.cancelled(), Some(&registry), &start_connection).await;
    closing_port::close(listener, start_connection).await;
    port_closed.cancel();
    log::info!(target: "http", "A port is closed, {} connections are open.", connections.len());
    connections.close();
    connections.wait().await;
}
