//! Measures how far a caller is behind one that sends at a steady, moderate rate.
//!
//! A caller that stops, or that sends a byte now and then, falls behind by the second. One that uploads a long body as
//! fast as an ordinary link allows does not, however long that takes. Nobody is ahead: a caller that sends much at once
//! and then stops falls behind from then on.

use std::time::Duration;

use crate::time::Timestamp;

/// Time that one byte is worth: a caller that sends 1 MB/s does not fall behind.
const TIME_PER_BYTE: Duration = Duration::from_micros(1);
/// Lag up to which a caller counts as sending: packets that are lost are sent again after a few tenths of a second.
pub const TOLERANCE: Duration = Duration::from_millis(500);

/// Returns until when a caller is on time that was so until `on_time_until` and from which `bytes` have arrived by now.
pub fn advance(on_time_until: Timestamp, bytes: u64, now: Timestamp) -> Timestamp {
    let time = TIME_PER_BYTE.saturating_mul(u32::try_from(bytes).unwrap_or(u32::MAX));
    (on_time_until + time).min(now)
}

/// Returns whether a caller that is on time until `on_time_until` is behind.
pub fn is_behind(on_time_until: Timestamp, now: Timestamp) -> bool {
    now.saturating_since(on_time_until) > TOLERANCE
}
