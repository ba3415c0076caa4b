//! Reads bodies and query parameters of requests on the project's own interfaces, and builds the errors for
//! invalid ones. Bodies on the platform's path are read by `ingress::request_body`, whose callers get other
//! errors.

use std::fmt;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use lichenpulley_core::intake::json;
use lichenpulley_core::retry::retry_after::RetryCause;
use lichenpulley_protocol::error::{ErrorBody, Execution};
use serde::de::DeserializeOwned;
use tokio::time::Instant;

use super::body_memory::{BodyHold, BodyMemory};
use super::request_body::{BodyBounds, BodyError, RequestBody};

/// Time within which a body must be complete. Keeps a caller that never finishes its body from delaying a
/// planned stop (docs/decisions/planned-stop.md).
const BODY_READ_TIMEOUT: Duration = Duration::from_secs(30);
/// Copies of a body's texts: what was read, for an attempt or an owner, and as it is sent there.
const JSON_COPIES: u64 = 3;

/// The error response to an invalid request.
#[derive(Clone, Debug, thiserror::Error)]
#[error("{body}")]
pub struct BadRequest {
    /// Status of the response.
    pub status: StatusCode,
    /// Body of the response.
    pub body: ErrorBody,
}

impl BadRequest {
    /// Whether the rest of the request's body is not read, so that the connection can't be used again.
    pub(super) fn leaves_body_unread(&self) -> bool {
        matches!(
            self.status,
            StatusCode::PAYLOAD_TOO_LARGE | StatusCode::REQUEST_TIMEOUT | StatusCode::SERVICE_UNAVAILABLE
        )
    }
}

/// What was read from a body, with the memory that it and copies of it take.
pub struct Held<T> {
    /// What was read.
    pub value: T,
    /// Dropped once the request is answered; `None` if the body was empty.
    pub hold: Option<BodyHold>,
}

impl<T> Held<T> {
    /// Converts the value and keeps the memory held.
    pub fn map<Converted>(self, convert: impl FnOnce(T) -> Converted) -> Held<Converted> {
        Held { value: convert(self.value), hold: self.hold }
    }
}

/// Reads a body of at most `limit_bytes` as JSON.
///
/// # Errors
/// When the body is too long, is not complete in time, breaks off, finds no memory, or is not a valid `T`.
pub async fn read_json<T: DeserializeOwned>(
    request: Request<Incoming>,
    limit_bytes: usize,
    memory: &BodyMemory,
) -> Result<Held<T>, BadRequest> {
    let (parts, body) = request.into_parts();
    let bounds = BodyBounds { bytes: limit_bytes, deadline: Instant::now() + BODY_READ_TIMEOUT };
    let read = RequestBody::read(&parts, body, bounds, memory).await;
    let mut body = read.map_err(|error| bad_body(&error, limit_bytes))?;
    let parsed_bytes = json::memory_bytes(body.as_slice(), JSON_COPIES);
    body.cover_more(parsed_bytes).await.map_err(|error| not_run("no_body_memory", &error))?;
    let value = serde_json::from_slice(body.as_slice()).map_err(|error| BadRequest {
        status: StatusCode::BAD_REQUEST,
        body: ErrorBody::new(
            "bad_body",
            format!("the body can't be read as JSON of the expected form: {error}"),
            "mend the body; docs/operators lists the fields of each request",
        ),
    })?;
    Ok(Held { value, hold: body.into_hold() })
}

fn bad_body(error: &BodyError, limit_bytes: usize) -> BadRequest {
    let (status, kind, message, remedy) = match error {
        BodyError::TooLong => (
            StatusCode::PAYLOAD_TOO_LARGE,
            "body_too_long",
            format!("the body is longer than {limit_bytes} bytes"),
            "send a shorter body, or raise `gateway.body_limit_bytes`",
        ),
        BodyError::TooSlow => {
            let message = format!("the body was not whole after {} s", BODY_READ_TIMEOUT.as_secs());
            (StatusCode::REQUEST_TIMEOUT, "slow_body", message, "send the body at once")
        }
        BodyError::Broken(error) => {
            let message = format!("the body broke off: {error}");
            (StatusCode::BAD_REQUEST, "broken_body", message, "send it again")
        }
        BodyError::NoMemory(error) => return not_run("no_body_memory", error),
        BodyError::ConnectionEvicted => return not_run("too_many_connections", error),
    };
    BadRequest { status, body: ErrorBody::new(kind, message, remedy) }
}

/// Refuses a request for which this node has no room at present.
fn not_run(kind: &str, error: &dyn fmt::Display) -> BadRequest {
    let body = ErrorBody {
        execution: Some(Execution::NotRun),
        retry_after_ms: Some(RetryCause::NodeShortage.retry_after_ms()),
        ..ErrorBody::new(kind, error.to_string(), "send it again, it has not run")
    };
    BadRequest { status: StatusCode::SERVICE_UNAVAILABLE, body }
}

/// Returns the percent-decoded value of a query parameter.
pub fn query_parameter(request: &Request<Incoming>, name: &str) -> Option<String> {
    let query = request.uri().query()?;
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| percent_decode(value))
}

/// Decodes percent escapes, and `+` as a space as in a query. Invalid escapes are kept.
pub fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::with_capacity(bytes.len());
    let mut position = 0;
    while position < bytes.len() {
        let escape = text.get(position + 1..position + 3).and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (bytes[position], escape) {
            (b'%', Some(byte)) => {
                decoded.push(byte);
                position += 3;
                continue;
            }
            (b'+', _) => decoded.push(b' '),
            (byte, _) => decoded.push(byte),
        }
        position += 1;
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Percent-encodes a text for use in a path segment or a query value.
pub fn percent_encode(text: &str) -> String {
    let mut encoded = String::with_capacity(text.len());
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || b"-_.~".contains(&byte) {
            encoded.push(char::from(byte));
        } else {
            encoded.push_str(&format!("%{byte:02X}"));
        }
    }
    encoded
}
