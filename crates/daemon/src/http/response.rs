//! Builds responses: JSON, text, empty ones, and errors of the project's own interfaces with their
//! `Retry-After` header.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Body as HttpBody;
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER, TRANSFER_ENCODING};
use hyper::{HeaderMap, Response, StatusCode};
use lichenpulley_protocol::error::ErrorBody;
use serde::Serialize;

use super::Body;
use super::request::BadRequest;

const JSON: HeaderValue = HeaderValue::from_static("application/json");
const TEXT: HeaderValue = HeaderValue::from_static("text/plain; charset=utf-8");

/// Builds a body from bytes.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// Builds a response with a JSON body.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    match serde_json::to_vec(value) {
        Ok(bytes) => with_type(status, JSON, bytes),
        Err(error) => {
            log::error!(target: "http", "A response can't be encoded as JSON: {error}.");
            text(StatusCode::INTERNAL_SERVER_ERROR, "the answer can't be written as JSON")
        }
    }
}

/// Builds a response with a text body.
pub fn text(status: StatusCode, body: impl Into<String>) -> Response<Body> {
    with_type(status, TEXT, body.into().into_bytes())
}

/// Builds a response without a body.
pub fn empty(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(full(Bytes::new()));
    *response.status_mut() = status;
    response
}

/// Builds an error response. Sets `Retry-After` from the body's `retry_after_ms`, rounded up to whole
/// seconds.
pub fn error(status: StatusCode, body: &ErrorBody) -> Response<Body> {
    let mut response = json(status, body);
    if let Some(milliseconds) = body.retry_after_ms {
        let seconds = HeaderValue::from(milliseconds.div_ceil(1_000));
        response.headers_mut().insert(RETRY_AFTER, seconds);
    }
    response
}

/// Announces that the connection closes after this response.
pub(crate) fn announce_close(response: &mut Response<Body>) {
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
}

/// Builds the response to a request whose method and path match no route.
pub fn not_found(path: &str) -> Response<Body> {
    let body = ErrorBody::new(
        "not_found",
        format!("there is nothing at {path} for this method"),
        "look up the method and path in the interface's list",
    );
    error(StatusCode::NOT_FOUND, &body)
}

impl From<BadRequest> for Response<Body> {
    fn from(bad_request: BadRequest) -> Self {
        let mut response = error(bad_request.status, &bad_request.body);
        if bad_request.leaves_body_unread() {
            announce_close(&mut response);
        }
        response
    }
}

fn with_type(status: StatusCode, content_type: HeaderValue, bytes: Vec<u8>) -> Response<Body> {
    let mut response = Response::new(full(bytes));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}

/// Returns whether the end of a response's body can be told from a connection that closed early: the body has a length or
/// ends with a last chunk. Takes the response before its body is read.
pub fn is_framed<B: HttpBody>(response: &Response<B>) -> bool {
    response.body().size_hint().exact().is_some() || is_chunked(response.headers())
}

/// Whether `chunked` is the last transfer coding (RFC 9112, 6.3).
fn is_chunked(fields: &HeaderMap) -> bool {
    let last = fields.get_all(TRANSFER_ENCODING).iter().next_back().and_then(|codings| codings.to_str().ok());
    let last = last.and_then(|codings| codings.rsplit(',').next());
    last.is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked"))
}
