//! Reads request bodies of callers within limits of size and time.
//!
//! The rest of a body that is refused is discarded by the connection before it closes, so that its caller reads the
//! response.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use tokio::time::Instant;

use super::refusal::Refusal;

/// Reads a complete body. One that announces a length over the limit is refused unread.
///
/// # Errors
/// Returns a refusal if the body is longer than `limit_bytes`, ends early, or is not complete by `deadline`.
pub(super) async fn read_body(
    mut body: Incoming,
    limit_bytes: usize,
    deadline: Instant,
) -> Result<Bytes, Refusal> {
    if body.size_hint().lower() > limit_bytes as u64 {
        return Err(Refusal::BodyTooLong);
    }
    let mut buffer = BytesMut::new();
    loop {
        let frame = match tokio::time::timeout_at(deadline, body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(_))) => return Err(Refusal::BadBody),
            Ok(None) => return Ok(buffer.freeze()),
            Err(_) => return Err(Refusal::BodyTooSlow),
        };
        let Ok(bytes) = frame.into_data() else { continue };
        if buffer.len() + bytes.len() > limit_bytes {
            return Err(Refusal::BodyTooLong);
        }
        buffer.extend_from_slice(&bytes);
    }
}
