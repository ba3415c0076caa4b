//! Builds answers: JSON, text, empty ones, and errors of the project's own interfaces with their
//! `Retry-After`.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use lichenpulley_protocol::error::ErrorBody;
use serde::Serialize;

use super::Body;
use super::request::BadRequest;

const JSON: HeaderValue = HeaderValue::from_static("application/json");
const TEXT: HeaderValue = HeaderValue::from_static("text/plain; charset=utf-8");

/// A whole body.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// An answer with a JSON body.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    match serde_json::to_vec(value) {
        Ok(bytes) => with_type(status, JSON, bytes),
        Err(error) => {
            log::error!(target: "http", "An answer can't be written as JSON: {error}.");
            text(StatusCode::INTERNAL_SERVER_ERROR, "the answer can't be written as JSON")
        }
    }
}

/// An answer with a text body.
pub fn text(status: StatusCode, body: impl Into<String>) -> Response<Body> {
    with_type(status, TEXT, body.into().into_bytes())
}

/// An answer without a body.
pub fn empty(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(full(Bytes::new()));
    *response.status_mut() = status;
    response
}

/// An error; `Retry-After` follows from its body, rounded up to whole seconds.
pub fn error(status: StatusCode, body: &ErrorBody) -> Response<Body> {
    let mut response = json(status, body);
    if let Some(milliseconds) = body.retry_after_ms {
        let seconds = HeaderValue::from(milliseconds.div_ceil(1_000));
        response.headers_mut().insert(RETRY_AFTER, seconds);
    }
    response
}

/// The answer to a request for what does not exist.
pub fn not_found(path: &str) -> Response<Body> {
    let body = ErrorBody::new(
        "not_found",
        format!("there is nothing at {path} for this method"),
        "look up the method and path in the interface's list",
    );
    error(StatusCode::NOT_FOUND, &body)
}

impl From<BadRequest> for Response<Body> {
    fn from(bad: BadRequest) -> Self {
        error(bad.status, &bad.body)
    }
}

fn with_type(status: StatusCode, content_type: HeaderValue, bytes: Vec<u8>) -> Response<Body> {
    let mut response = Response::new(full(bytes));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}
