//! Reads request bodies of callers within limits of size and time.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::Instant;

use super::refusal::Refusal;

/// Maximum number of bytes of an oversized body that are read and discarded before the refusal.
const MAX_DISCARDED_BYTES: usize = 16 << 20;

/// Reads a complete body. The rest of an oversized body is read and discarded up to a limit: a connection
/// closed with unread bytes is reset, and the caller would lose the response with the reason.
///
/// # Errors
/// Returns a refusal if the body is longer than `limit_bytes`, ends early, or is not complete by `deadline`.
pub(super) async fn read_body(
    mut body: Incoming,
    limit_bytes: usize,
    deadline: Instant,
) -> Result<Bytes, Refusal> {
    let mut buffer = BytesMut::new();
    let mut discarded_bytes = 0;
    loop {
        let frame = match tokio::time::timeout_at(deadline, body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(_))) => return Err(Refusal::BadBody),
            Ok(None) if discarded_bytes > 0 => return Err(Refusal::BodyTooLong),
            Ok(None) => return Ok(buffer.freeze()),
            Err(_) if discarded_bytes > 0 => return Err(Refusal::BodyTooLong),
            Err(_) => return Err(Refusal::BodyTooSlow),
        };
        let Ok(bytes) = frame.into_data() else { continue };
        if discarded_bytes > 0 || buffer.len() + bytes.len() > limit_bytes {
            discarded_bytes += bytes.len();
            buffer = BytesMut::new();
        } else {
            buffer.extend_from_slice(&bytes);
        }
        if discarded_bytes > MAX_DISCARDED_BYTES {
            return Err(Refusal::BodyTooLong);
        }
    }
}
