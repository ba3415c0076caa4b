//! Reads request bodies of callers, and translates why one was not read into its refusal.

use hyper::body::Incoming;
use hyper::http::request::Parts;

use super::refusal::Refusal;
use crate::http::body_memory::BodyMemory;
use crate::http::request_body::{BodyBounds, BodyError, RequestBody};

/// Reads a complete body.
///
/// # Errors
/// Returns a refusal if the body exceeds a bound, ends early or finds no memory, or its connection has to make room for
/// others.
pub(super) async fn read_body(
    parts: &Parts,
    body: Incoming,
    bounds: BodyBounds,
    memory: &BodyMemory,
) -> Result<RequestBody, Refusal> {
    RequestBody::read(parts, body, bounds, memory).await.map_err(|error| match error {
        BodyError::TooLong => Refusal::BodyTooLong,
        BodyError::TooSlow => Refusal::BodyTooSlow,
        BodyError::Broken(_) => Refusal::BadBody,
        BodyError::NoMemory(_) => Refusal::NoBodyMemory,
        BodyError::ConnectionEvicted => Refusal::TooManyConnections,
    })
}
