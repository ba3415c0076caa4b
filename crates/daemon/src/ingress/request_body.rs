//! Reading of callers' bodies, within bounds of bytes and time.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::Instant;

use super::refusal::Refusal;

/// How much of a body that is too long is read and dropped before the answer, in bytes. Chosen, not measured:
/// smaller loses the answer to callers that send more without reading, larger lets one caller hold a
/// connection longer.
const MAX_DROPPED_BYTES: usize = 16 << 20;

/// Reads a body whole. The rest of one that is too long is read and dropped, within bounds: a connection that
/// is closed with unread bytes is reset, and the caller would lose the answer that states the reason.
///
/// # Errors
/// When it is longer than `limit_bytes`, breaks off, or is not whole by `limit`.
pub(super) async fn read_body(
    mut body: Incoming,
    limit_bytes: usize,
    limit: Instant,
) -> Result<Bytes, Refusal> {
    let mut whole = BytesMut::new();
    let mut dropped_bytes = 0;
    loop {
        let frame = match tokio::time::timeout_at(limit, body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(_))) => return Err(Refusal::BadBody),
            Ok(None) if dropped_bytes > 0 => return Err(Refusal::BodyTooLong),
            Ok(None) => return Ok(whole.freeze()),
            Err(_) if dropped_bytes > 0 => return Err(Refusal::BodyTooLong),
            Err(_) => return Err(Refusal::BodyTooSlow),
        };
        let Ok(bytes) = frame.into_data() else { continue };
        if dropped_bytes > 0 || whole.len() + bytes.len() > limit_bytes {
            dropped_bytes += bytes.len();
            whole = BytesMut::new();
        } else {
            whole.extend_from_slice(&bytes);
        }
        if dropped_bytes > MAX_DROPPED_BYTES {
            return Err(Refusal::BodyTooLong);
        }
    }
}
