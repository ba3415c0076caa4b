//! Reads bodies and query parameters of the project's own interfaces, with the error that answers a bad one.
//! Bodies on the platform's path are read by `ingress::request_body`, whose callers get other errors.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use lichenpulley_protocol::error::ErrorBody;
use serde::de::DeserializeOwned;

/// A body that is not whole after this time is refused: a caller that never finishes it would hold up a
/// planned stop (docs/decisions/planned-stop.md). Chosen, not measured.
const BODY_READ_TIMEOUT: Duration = Duration::from_secs(30);

/// A request that can't be taken as it was sent.
#[derive(Clone, Debug, thiserror::Error)]
#[error("{body}")]
pub struct BadRequest {
    /// The status to answer with.
    pub status: StatusCode,
    /// The body to answer with.
    pub body: ErrorBody,
}

/// Reads a body of at most `limit_bytes` as JSON.
///
/// # Errors
/// When the body is too long, breaks off, or does not parse as `T`.
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
/// When the body is too long or breaks off.
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

/// The value of a query parameter, percent-decoded.
pub fn query_parameter(request: &Request<Incoming>, name: &str) -> Option<String> {
    let query = request.uri().query()?;
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| percent_decode(value))
}

/// Decodes `%41` and `+` as in a query. What is no valid escape stays as it stands.
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

/// Encodes a text for use in a path segment or a query value.
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
