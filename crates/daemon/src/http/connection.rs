//! Serves one HTTP/1 connection and closes it so that no request on it is left in doubt.
//!
//! A request that crosses the close of its connection would get no answer, and its caller could not know whether it
//! ran. Where the server closes a connection that its caller may still use, it therefore sends a final response first
//! (RFC 9112, 9.5 and RFC 9110, 15.5.9): a request that crosses the close reads it as its answer, and a caller that
//! sent nothing closes the connection. The answer "not run" is true, since the server reads no further request.
//!
//! Every connection is closed in two steps. The sending side ends first, and what still arrives is discarded for a
//! bounded time, since closing a socket that holds unread data resets the connection, and a reset can destroy
//! responses that the caller has not read yet.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{HeaderMap, Request, Response, StatusCode, Version};
use hyper_util::rt::{TokioIo, TokioTimer};
use lichenpulley_protocol::error::{ErrorBody, Execution};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;

use super::Body;
use super::connections::{CallerConnection, ServedConnection};
use super::server::HeadLimits;
use super::server_socket::ServerSocket;
use super::socket;
use super::unread::{ConnectionMeter, UnreadMeter};

/// Smallest maximum buffer size that `hyper` accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8 << 10;
/// Maximum number of header fields of a request.
const MAX_HEAD_FIELDS: usize = 256;
/// Time for which idle connections stay open after the port has closed, so that requests already on their way
/// are served. The answer closes the connection.
const IDLE_LINGER: Duration = Duration::from_secs(1);
/// Time for a caller to read what was sent last and to close its side of the connection. Begins anew with what still
/// arrives, such as the rest of a body that was refused.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which a connection is closed although its caller still sends.
const MAX_CLOSE_TIME: Duration = Duration::from_secs(4);
/// Size of the buffer for discarded data, in bytes.
const DISCARD_BUFFER_BYTES: usize = 16 << 10;

/// Signals of the server to its connections.
#[derive(Clone)]
pub(super) struct ConnectionStop {
    /// Responses announce that the connection closes.
    pub(super) draining: CancellationToken,
    /// No connection is accepted any more; idle ones are closed.
    pub(super) port_closed: CancellationToken,
}

/// Whether the caller may send another request on its connection: no response or request announced its close.
#[derive(Clone)]
struct ReuseFlag(Arc<AtomicBool>);

/// What each request of a connection gets as extensions.
#[derive(Clone)]
struct RequestExtensions {
    connection: CallerConnection,
    meter: Option<ConnectionMeter>,
}

impl RequestExtensions {
    fn add_to(&self, request: &mut Request<Incoming>) {
        request.extensions_mut().insert(self.connection.clone());
        if let Some(meter) = &self.meter {
            request.extensions_mut().insert(meter.clone());
        }
    }

    /// Waits until the connection is to be closed although its caller has not asked for it.
    async fn cut_off(&self) {
        let aborted = async {
            match &self.meter {
                Some(meter) => meter.aborted().await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = aborted => {}
            () = self.connection.evicted_between_requests() => {}
        }
    }
}

/// Serves a connection until the caller or the server closes it.
pub(super) async fn serve<Handler, Answer>(
    stream: TcpStream,
    connection: ServedConnection,
    stop: ConnectionStop,
    head_limits: HeadLimits,
    unread: Option<UnreadMeter>,
    handler: Handler,
) where
    Handler: Fn(Request<Incoming>) -> Answer + Send + Sync + 'static,
    Answer: Future<Output = Response<Body>> + Send + 'static,
{
    let counted = unread.map(|unread| unread.connection(stream.peer_addr().ok()));
    let meter = counted.as_ref().map(|counted| counted.meter());
    if meter.is_some() && socket::prepare_metered(&stream).is_err() {
        return;
    }
    socket::bound_unread_input(&stream);
    let extensions = RequestExtensions { connection: connection.handle(), meter: meter.clone() };
    let mut socket = ServerSocket::new(stream, connection.handle(), meter.clone());
    let reuse = ReuseFlag(Arc::new(AtomicBool::new(true)));
    let serving = serve_requests(&mut socket, stop, head_limits, reuse.clone(), extensions.clone(), handler);
    let result = tokio::select! {
        // The connection first: a request that has arrived by now is served.
        biased;
        result = serving => result,
        () = extensions.cut_off() => Ok(()),
    };
    connection.begin_closing();
    if meter.is_some_and(|meter| meter.is_aborted()) {
        // A caller that does not read would not read a final response either.
        return socket::set_reset_on_drop(&socket.into_stream());
    }
    if let Err(error) = &result {
        log::debug!(target: "http", "A connection ended early: {error}.");
    }
    let may_reuse = reuse.0.load(Ordering::Relaxed) && socket.is_between_responses();
    let final_status = final_status(&result).filter(|_| may_reuse);
    let closing = tokio::time::timeout(MAX_CLOSE_TIME, close(socket.into_stream(), final_status));
    tokio::select! {
        biased;
        closed = closing => if let Ok(Err(error)) = closed {
            log::debug!(target: "http", "A connection broke while it was closed: {error}.");
        },
        () = connection.dropped() => {}
    }
}

/// Answers requests until the connection is to be closed, which is left to the caller of this function.
async fn serve_requests<Handler, Answer>(
    socket: &mut ServerSocket,
    stop: ConnectionStop,
    head_limits: HeadLimits,
    reuse: ReuseFlag,
    extensions: RequestExtensions,
    handler: Handler,
) -> hyper::Result<()>
where
    Handler: Fn(Request<Incoming>) -> Answer + Send + Sync + 'static,
    Answer: Future<Output = Response<Body>> + Send + 'static,
{
    let ConnectionStop { draining, port_closed } = stop;
    let service = service_fn(move |mut request: Request<Incoming>| {
        let connection = extensions.connection.clone();
        connection.begin_request(!request.body().is_end_stream());
        extensions.add_to(&mut request);
        let keeps_alive = request.version() == Version::HTTP_11 && !announces_close(request.headers());
        finish_response(handler(request), keeps_alive, draining.clone(), connection, reuse.clone())
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(head_limits.timeout)
        .max_buf_size(head_limits.bytes.max(MIN_BUFFER_BYTES))
        .max_headers(MAX_HEAD_FIELDS)
        .serve_connection(TokioIo::new(socket), service);
    let mut connection = pin!(connection);
    let linger_elapsed = async {
        port_closed.cancelled().await;
        tokio::time::sleep(IDLE_LINGER).await;
    };
    tokio::select! {
        // The connection first: a request that has arrived by now is served.
        biased;
        result = connection.as_mut() => result,
        () = linger_elapsed => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    }
}

/// Returns the handler's response, with `Connection: close` if the server is draining, and notes whether the
/// connection may be used again.
async fn finish_response(
    answer: impl Future<Output = Response<Body>>,
    keeps_alive: bool,
    draining: CancellationToken,
    connection: CallerConnection,
    reuse: ReuseFlag,
) -> Result<Response<Body>, Infallible> {
    let mut response = answer.await;
    if draining.is_cancelled() || connection.is_evicted() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    reuse.0.store(keeps_alive && !announces_close(response.headers()), Ordering::Relaxed);
    Ok(end_request_with(response, connection))
}

/// Ends the request of a connection with its response. A stream lasts until its body is dropped, and `ended` with it.
fn end_request_with(response: Response<Body>, connection: CallerConnection) -> Response<Body> {
    if response.body().size_hint().exact().is_some() {
        connection.end_request();
        return response;
    }
    let ended = EndOnDrop(connection);
    response.map(|body| {
        body.map_frame(move |frame| {
            let _ = &ended;
            frame
        })
        .boxed_unsync()
    })
}

/// Ends the request of a connection when it is dropped.
struct EndOnDrop(CallerConnection);

impl Drop for EndOnDrop {
    fn drop(&mut self) {
        self.0.end_request();
    }
}

fn announces_close(headers: &HeaderMap) -> bool {
    let mut options = headers.get_all(CONNECTION).iter().filter_map(|value| value.to_str().ok());
    options.any(|value| value.split(',').any(|option| option.trim().eq_ignore_ascii_case("close")))
}

/// Returns the status for a request that crosses the close of the connection, or `None` if the connection broke.
fn final_status(result: &hyper::Result<()>) -> Option<StatusCode> {
    match result {
        Ok(()) => Some(StatusCode::SERVICE_UNAVAILABLE),
        Err(error) if error.is_timeout() => Some(StatusCode::REQUEST_TIMEOUT),
        Err(_) => None,
    }
}

/// Builds the response for a request that crosses the close of the connection.
fn final_response(status: StatusCode) -> Vec<u8> {
    let body = ErrorBody {
        execution: Some(Execution::NotRun),
        retry_after_ms: Some(0),
        ..ErrorBody::new(
            "connection_closed",
            "the connection was closed before the request was read",
            "send it again on a new connection, it has not run",
        )
    };
    // A struct of strings and numbers can always be encoded.
    let body = serde_json::to_string(&body).unwrap_or_default();
    let reason = status.canonical_reason().unwrap_or_default();
    let head = format!(
        "HTTP/1.1 {} {reason}\r\ncontent-type: application/json\r\ncontent-length: {}\r\nretry-after: 0\r\n\
         connection: close\r\n\r\n",
        status.as_u16(),
        body.len(),
    );
    (head + &body).into_bytes()
}

/// Sends the final response, if any, ends the sending side, and discards what arrives until the caller ends its side or
/// pauses for [`CLOSE_TIMEOUT`].
async fn close(mut stream: TcpStream, final_status: Option<StatusCode>) -> io::Result<()> {
    if let Some(status) = final_status {
        stream.write_all(&final_response(status)).await?;
    }
    stream.shutdown().await?;
    let mut is_crossed = false;
    loop {
        let Ok(readable) = tokio::time::timeout(CLOSE_TIMEOUT, stream.readable()).await else {
            return Ok(());
        };
        readable?;
        // A peer that never stops sending must not keep the thread from other tasks, nor from the timeout.
        tokio::task::coop::consume_budget().await;
        match discard_available(&stream)? {
            Discarded::End => return Ok(()),
            Discarded::Nothing => {}
            Discarded::Data if is_crossed => {}
            Discarded::Data => {
                is_crossed = true;
                log_crossing(final_status);
            }
        }
    }
}

fn log_crossing(final_status: Option<StatusCode>) {
    if let Some(status) = final_status {
        log::info!(target: "http", "A request that arrived as its connection was closed was answered {status}, not run.");
    }
}

/// What a read on a connection that is being closed found.
enum Discarded {
    Nothing,
    Data,
    /// The peer has ended its side.
    End,
}

fn discard_available(stream: &TcpStream) -> io::Result<Discarded> {
    let mut buffer = [0; DISCARD_BUFFER_BYTES];
    match stream.try_read(&mut buffer) {
        Ok(0) => Ok(Discarded::End),
        Ok(_) => Ok(Discarded::Data),
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(Discarded::Nothing),
        Err(error) => Err(error),
    }
}
