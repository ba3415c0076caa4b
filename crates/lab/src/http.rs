//! The small HTTP server that every stand-in is built on.

mod cut_stream;

use std::future::Future;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use lichenpulley_protocol::error::ErrorBody;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::{CancellationToken, DropGuard};

use crate::error::LabError;
use cut_stream::CutStream;

/// Bodies longer than this are refused.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// Any free port of the loopback address.
pub const ANY_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// A response's body: whole or streamed. An error breaks the connection in the middle of the body.
pub type Body = BoxBody<Bytes, std::io::Error>;

/// A server that runs until this is dropped; its open connections are closed then, as if the process had died.
#[derive(Debug)]
pub struct Server {
    /// The address it is bound to.
    pub address: SocketAddr,
    _stop: DropGuard,
}

/// How a connection goes on after a request.
#[derive(Debug)]
pub enum Reply {
    /// Send this.
    Send(Response<Body>),
    /// Send the first bytes of this, as many as named, and close the connection.
    Cut(Response<Body>, usize),
    /// Close the connection without an answer, as when a reply is lost.
    Hang,
}

impl From<Response<Body>> for Reply {
    fn from(response: Response<Body>) -> Self {
        Self::Send(response)
    }
}

/// Binds `address` (port 0 for any free port) and answers every request with `handler`.
///
/// # Errors
/// When the address can't be bound.
pub async fn serve<Handler, Answer>(address: SocketAddr, handler: Handler) -> Result<Server, LabError>
where
    Handler: Fn(Request<Incoming>) -> Answer + Send + Sync + 'static,
    Answer: Future<Output = Reply> + Send + 'static,
{
    let bound = TcpListener::bind(address).await;
    let listener = bound.map_err(|source| bind_error(address, source))?;
    let address = listener.local_addr().map_err(|source| bind_error(address, source))?;
    let stop = CancellationToken::new();
    tokio::spawn(accept(listener, Arc::new(handler), stop.clone()));
    Ok(Server { address, _stop: stop.drop_guard() })
}

fn bind_error(address: SocketAddr, source: std::io::Error) -> LabError {
    LabError::Io {
        action: format!("listen on {address}"),
        remedy: "choose a free address of this machine",
        source,
    }
}

async fn accept<Handler, Answer>(listener: TcpListener, handler: Arc<Handler>, stop: CancellationToken)
where
    Handler: Fn(Request<Incoming>) -> Answer + Send + Sync + 'static,
    Answer: Future<Output = Reply> + Send + 'static,
{
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else { continue };
        let connection = answer_connection(stream, Arc::clone(&handler));
        let stop = stop.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = stop.cancelled() => {}
                () = connection => {}
            }
        });
    }
}

async fn answer_connection<Handler, Answer>(stream: TcpStream, handler: Arc<Handler>)
where
    Handler: Fn(Request<Incoming>) -> Answer + Send + Sync + 'static,
    Answer: Future<Output = Reply> + Send + 'static,
{
    // Small answers must not wait for acknowledgements of earlier ones.
    let _ = stream.set_nodelay(true);
    let (stream, limit) = CutStream::new(stream);
    let service = service_fn(move |request| {
        let answer = handler(request);
        let limit = limit.clone();
        async move {
            match answer.await {
                Reply::Send(response) => Ok(response),
                Reply::Cut(response, bytes) => {
                    limit.cut_after(bytes);
                    Ok(response)
                }
                Reply::Hang => Err(LostReply),
            }
        }
    });
    let mut builder = hyper::server::conn::http1::Builder::new();
    builder.timer(TokioTimer::new());
    // An error here is a client that went away, or a reply that was lost on purpose.
    let _ = builder.serve_connection(TokioIo::new(stream), service).await;
}

/// Makes `hyper` close the connection.
#[derive(Debug, thiserror::Error)]
#[error("the reply is lost on purpose")]
struct LostReply;

/// Reads a whole body as JSON.
///
/// # Errors
/// With the 400 response to send.
pub async fn read_json<Value: DeserializeOwned>(request: Request<Incoming>) -> Result<Value, Response<Body>> {
    let limited = Limited::new(request.into_body(), MAX_BODY_BYTES);
    let whole = limited.collect().await.map_err(|error| bad_request(&error.to_string()))?;
    serde_json::from_slice(&whole.to_bytes()).map_err(|error| bad_request(&error.to_string()))
}

/// A body that is sent as a whole.
fn whole(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed()
}

/// A JSON answer.
pub fn json<Value: Serialize>(status: StatusCode, value: &Value) -> Response<Body> {
    raw_json(status, serde_json::to_vec(value).unwrap_or_default())
}

/// An answer with bytes that pass for JSON.
pub fn raw_json(status: StatusCode, body: Vec<u8>) -> Response<Body> {
    let mut response = Response::new(whole(body));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, hyper::header::HeaderValue::from_static("application/json"));
    response
}

/// An answer without a body.
pub fn empty(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(whole(Bytes::new()));
    *response.status_mut() = status;
    response
}

/// 400 with what is wrong.
pub fn bad_request(message: &str) -> Response<Body> {
    json(StatusCode::BAD_REQUEST, &ErrorBody::new("bad_request", message, "correct the request"))
}

/// 404 for a path that nothing answers.
pub fn not_found(path: &str) -> Response<Body> {
    let message = format!("nothing answers {path}");
    json(StatusCode::NOT_FOUND, &ErrorBody::new("not_found", message, "check the method and the path"))
}
