//! Header fields of requests that are passed on, and of answers that are passed back.
//!
//! Their names stand in the platform's adapter; here they are read into the core's terms, among them how a
//! send ended by the head of its answer.

use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::{CONNECTION, CONTENT_ENCODING, CONTENT_LENGTH, EXPECT, HOST, HeaderName, HeaderValue};
use hyper::{HeaderMap, Request, StatusCode};
use lichenpulley_core::ingress::attempts::SendOutcome;
use lichenpulley_core::time::whole_millis;
use lichenpulley_platform::headers;

/// The host that a request names, without its port, in lower case.
pub(super) fn host(request: &Request<Incoming>) -> String {
    let named = request.headers().get(HOST).and_then(|host| host.to_str().ok());
    // Without any the host is empty, which no route has.
    let named = named.or_else(|| request.uri().host()).unwrap_or_default();
    let bare = named.rsplit_once(':').map_or(named, |(host, port)| {
        if port.chars().all(|digit| digit.is_ascii_digit()) { host } else { named }
    });
    bare.to_ascii_lowercase()
}

/// A field as text.
pub(super) fn text<'a>(fields: &'a HeaderMap, name: &str) -> Option<&'a str> {
    as_text(fields.get(name)?)
}

/// A value as text.
pub(super) fn as_text(value: &HeaderValue) -> Option<&str> {
    value.to_str().ok()
}

/// How long the caller will wait; `None` where it names no time, or what is none: the default applies then.
pub(super) fn deadline(fields: &HeaderMap) -> Option<Duration> {
    let milliseconds: f64 = text(fields, headers::DEADLINE_MS)?.trim().parse().ok()?;
    (milliseconds.is_finite() && milliseconds >= 0.0).then(|| Duration::from_secs_f64(milliseconds / 1_000.0))
}

/// The fields without those that concern one connection only.
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

/// Names the replica and what is left of the time.
pub(crate) fn set_replica_and_deadline(fields: &mut HeaderMap, replica: &str, remaining: Duration) {
    if let Ok(replica) = HeaderValue::from_str(replica) {
        fields.insert(headers::EXPECT_REPLICA, replica);
    }
    let milliseconds = whole_millis(remaining);
    fields.insert(headers::DEADLINE_MS, HeaderValue::from(milliseconds));
}

/// Whether an answer belongs to the request with this id.
pub(crate) fn echoes_request_id(fields: &HeaderMap, request_id: Option<&str>) -> bool {
    text(fields, headers::REQUEST_ID) == request_id
}

/// Whether an answer is signed and comes as the replica made it.
pub(crate) fn is_signed(fields: &HeaderMap) -> bool {
    fields.contains_key(headers::SIGNATURE) && !fields.contains_key(CONTENT_ENCODING)
}

/// Requests that run and wait at the replica, where it says so.
pub(crate) fn reported_load(fields: &HeaderMap) -> Option<u32> {
    let mut numbers = text(fields, headers::LOAD)?.split(',').map(|number| number.trim().parse::<u32>());
    let running = numbers.next()?.ok()?;
    let waiting = numbers.next()?.ok()?;
    Some(running.saturating_add(waiting))
}

/// How a send ended, by the head of its answer. Only the replica's own statement proves that it did not run
/// the request.
pub(super) fn outcome(status: StatusCode, fields: &HeaderMap) -> SendOutcome {
    if fields.contains_key(headers::NOT_RUN) || status.as_u16() == headers::STATUS_OTHER_REPLICA {
        return SendOutcome::Rejected;
    }
    if !is_signed(fields) {
        return SendOutcome::Broken;
    }
    if status.is_server_error() { SendOutcome::Failed } else { SendOutcome::Answered }
}
