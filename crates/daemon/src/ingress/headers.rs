//! Reads and rewrites header fields of forwarded requests and responses.
//!
//! Field names are defined in the platform crate. This module maps them to core types, including the outcome
//! of a send from the response head.

use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::{CONNECTION, CONTENT_ENCODING, CONTENT_LENGTH, EXPECT, HOST, HeaderName, HeaderValue};
use hyper::{HeaderMap, Request, StatusCode};
use lichenpulley_core::ingress::attempts::SendOutcome;
use lichenpulley_core::ingress::replica_load::ReplicaLoad;
use lichenpulley_core::time::whole_millis;
use lichenpulley_platform::headers;

/// Returns the request's host without the port, in lower case, or an empty string if it has none.
pub(super) fn host(request: &Request<Incoming>) -> String {
    let named = request.headers().get(HOST).and_then(|host| host.to_str().ok());
    // No route has an empty host.
    let named = named.or_else(|| request.uri().host()).unwrap_or_default();
    let bare = named.rsplit_once(':').map_or(named, |(host, port)| {
        if port.chars().all(|digit| digit.is_ascii_digit()) { host } else { named }
    });
    bare.to_ascii_lowercase()
}

/// Returns the value of a field if it is present and visible ASCII.
pub(super) fn text<'a>(fields: &'a HeaderMap, name: &str) -> Option<&'a str> {
    as_text(fields.get(name)?)
}

/// Returns a field value if it is visible ASCII.
pub(super) fn as_text(value: &HeaderValue) -> Option<&str> {
    value.to_str().ok()
}

/// Returns the caller's deadline, or `None` if it is missing or invalid.
pub(super) fn requested_timeout(fields: &HeaderMap) -> Option<Duration> {
    let milliseconds: f64 = text(fields, headers::DEADLINE_MS)?.trim().parse().ok()?;
    (milliseconds.is_finite() && milliseconds >= 0.0).then(|| Duration::from_secs_f64(milliseconds / 1_000.0))
}

/// Returns the fields without the hop-by-hop ones, `Content-Length` and `Expect`.
pub(super) fn end_to_end(fields: &HeaderMap) -> HeaderMap {
    let mut passed = fields.clone();
    let named: Vec<String> = fields
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(',').map(|name| name.trim().to_ascii_lowercase()).collect::<Vec<_>>())
        .collect();
    for name in named.iter().map(String::as_str).chain(headers::HOP_BY_HOP) {
        if let Ok(name) = HeaderName::from_bytes(name.as_bytes()) {
            passed.remove(name);
        }
    }
    passed.remove(CONTENT_LENGTH);
    passed.remove(EXPECT);
    passed
}

/// Sets the fields that name the expected replica and the remaining time.
pub(crate) fn set_replica_and_deadline(fields: &mut HeaderMap, replica: &str, remaining: Duration) {
    if let Ok(replica) = HeaderValue::from_str(replica) {
        fields.insert(headers::EXPECT_REPLICA, replica);
    }
    let milliseconds = whole_millis(remaining);
    fields.insert(headers::DEADLINE_MS, HeaderValue::from(milliseconds));
}

/// Whether a response carries the id of its request.
pub(crate) fn echoes_request_id(fields: &HeaderMap, request_id: Option<&str>) -> bool {
    text(fields, headers::REQUEST_ID) == request_id
}

/// Whether a response is signed and was not re-encoded on the way.
pub(crate) fn is_signed(fields: &HeaderMap) -> bool {
    fields.contains_key(headers::SIGNATURE) && !fields.contains_key(CONTENT_ENCODING)
}

/// Returns the load that the replica reports, if it does.
pub(crate) fn reported_load(fields: &HeaderMap) -> Option<ReplicaLoad> {
    headers::parse_load(text(fields, headers::LOAD)?)
}

/// Returns the outcome of a send by the response head. Only an explicit statement of the replica proves that
/// it did not run the request.
pub(super) fn outcome(status: StatusCode, fields: &HeaderMap) -> SendOutcome {
    if fields.contains_key(headers::NOT_RUN) || status.as_u16() == headers::STATUS_MISDIRECTED {
        return SendOutcome::Rejected;
    }
    if !is_signed(fields) {
        return SendOutcome::Broken;
    }
    if status.is_server_error() { SendOutcome::Failed } else { SendOutcome::Answered }
}
