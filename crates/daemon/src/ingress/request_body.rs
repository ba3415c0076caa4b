//! Reads request bodies of callers, and translates why one was not read into its refusal.

use hyper::body::Incoming;
use tokio::time::Instant;

use super::refusal::Refusal;
use crate::http::body_memory::BodyMemory;
use crate::http::request_body::{BodyBounds, BodyError, RequestBody};

/// Reads a complete body.
///
/// # Errors
/// Returns a refusal if the body is longer than `limit_bytes`, ends early, is not complete by `deadline` or finds no
/// memory.
pub(super) async fn read_body(
    body: Incoming,
    limit_bytes: usize,
    deadline: Instant,
    memory: &BodyMemory,
) -> Result<RequestBody, Refusal> {
    let read = RequestBody::read(body, BodyBounds { bytes: limit_bytes, deadline }, memory).await;
    read.map_err(|error| match error {
        BodyError::TooLong => Refusal::BodyTooLong,
        BodyError::TooSlow => Refusal::BodyTooSlow,
        BodyError::Broken(_) => Refusal::BadBody,
        BodyError::NoMemory(_) => Refusal::NoBodyMemory,
    })
}
