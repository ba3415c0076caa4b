//! Reads request bodies of callers, and translates why one was not read into its refusal.

use hyper::body::Incoming;
use tokio::time::Instant;

use super::refusal::Refusal;
use crate::http::body_memory::BodyMemory;
use crate::http::connections::CallerConnection;
use crate::http::request_body::{BodyBounds, BodyError, RequestBody};

/// Reads a complete body.
///
/// # Errors
/// Returns a refusal if the body is longer than `limit_bytes`, ends early, is not complete by `deadline`, finds no
/// memory, or its `connection` has to make room for others.
pub(super) async fn read_body(
    body: Incoming,
    limit_bytes: usize,
    deadline: Instant,
    memory: &BodyMemory,
    connection: Option<&CallerConnection>,
) -> Result<RequestBody, Refusal> {
    let read = RequestBody::read(body, BodyBounds { bytes: limit_bytes, deadline }, memory, connection).await;
    read.map_err(|error| match error {
        BodyError::TooLong => Refusal::BodyTooLong,
        BodyError::TooSlow => Refusal::BodyTooSlow,
        BodyError::Broken(_) => Refusal::BadBody,
        BodyError::NoMemory(_) => Refusal::NoBodyMemory,
        BodyError::ConnectionEvicted => Refusal::TooManyConnections,
    })
}
