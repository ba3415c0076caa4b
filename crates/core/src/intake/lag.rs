//! Measures how far a caller is behind a caller that sends at a steady, moderate rate.
//!
//! A caller that stops, or that sends a byte now and then, falls behind by the second. One that uploads a long body as
//! fast as an ordinary link allows does not, however long that takes.

use std::time::Duration;

/// Rate at which a caller does not fall behind: one byte in a microsecond is 1 MB/s.
const TIME_PER_BYTE: Duration = Duration::from_micros(1);

/// Returns the time that bytes are worth: a caller that sends them within it does not fall behind.
pub fn time_of(bytes: u64) -> Duration {
    TIME_PER_BYTE.saturating_mul(u32::try_from(bytes).unwrap_or(u32::MAX))
}
