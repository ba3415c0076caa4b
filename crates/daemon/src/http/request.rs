//! Reads bodies and query parameters of requests on the project's own interfaces, and builds the errors for
//! invalid ones. Bodies on the platform's path are read by `ingress::request_body`, whose callers get other
//! errors.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use lichenpulley_protocol::error::ErrorBody;
use serde::de::DeserializeOwned;

/// Time within which a body must be complete. Keeps a caller that never finishes its body from delaying a
/// planned stop (docs/decisions/planned-stop.md).
const BODY_READ_TIMEOUT: Duration = Duration::from_secs(30);

/// The error response to an invalid request.
#[derive(Clone, Debug, thiserror::Error)]
#[error("{body}")]
pub struct BadRequest {
    /// Status of the response.
    pub status: StatusCode,
    /// Body of the response.
    pub body: ErrorBody,
}

/// Reads a body of at most `limit_bytes` as JSON.
///
/// # Errors
/// When the body is too long, is not complete in time, breaks off, or is not a valid `T`.
pub async fn read_json<T: DeserializeOwned>(
    request: Request<Incoming>,
    limit_bytes: usize,
) -> Result<T, BadRequest> {
    let bytes = read_bytes(request, limit_bytes).await?;
    serde_json::from_slice(&bytes).map_err(|error| BadRequest {
        status: StatusCode::BAD_REQUEST,
        body: ErrorBody::new(
            "bad_body",
            format!("the body can't be read as JSON of the expected form: {error}"),
            "mend the body; docs/operators lists the fields of each request",
        ),
    })
}

/// Reads a body of at most `limit_bytes`.
///
/// # Errors
/// When the body is too long, is not complete in time, or breaks off.
pub(crate) async fn read_bytes(request: Request<Incoming>, limit_bytes: usize) -> Result<Bytes, BadRequest> {
    let body = Limited::new(request.into_body(), limit_bytes).collect();
    let Ok(collected) = tokio::time::timeout(BODY_READ_TIMEOUT, body).await else {
        let message = format!("the body was not whole after {} s", BODY_READ_TIMEOUT.as_secs());
        return Err(BadRequest {
            status: StatusCode::REQUEST_TIMEOUT,
            body: ErrorBody::new("slow_body", message, "send the body at once"),
        });
    };
    collected.map(http_body_util::Collected::to_bytes).map_err(|error| {
        if error.is::<LengthLimitError>() {
            return BadRequest {
                status: StatusCode::PAYLOAD_TOO_LARGE,
                body: ErrorBody::new(
                    "body_too_long",
                    format!("the body is longer than {limit_bytes} bytes"),
                    "send a shorter body, or raise `gateway.body_limit_bytes`",
                ),
            };
        }
        BadRequest {
            status: StatusCode::BAD_REQUEST,
            body: ErrorBody::new("broken_body", format!("the body broke off: {error}"), "send it again"),
        }
    })
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
