//! Timestamps in microseconds since an origin that the driver chooses, and conversion of durations to the
//! milliseconds used in messages and records.

use std::ops::{Add, Sub};
use std::time::Duration;

use speedy::{Readable, Writable};

/// A reading of the driver's monotonic clock, in microseconds since the driver's origin.
///
/// Timestamps of different nodes are not comparable, because each driver has its own origin.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct Timestamp(u64);

impl Timestamp {
    /// The driver's origin.
    pub const ORIGIN: Self = Self(0);

    /// Returns the timestamp `microseconds` after the origin.
    pub const fn from_micros(microseconds: u64) -> Self {
        Self(microseconds)
    }

    /// Returns the timestamp `milliseconds` after the origin.
    pub const fn from_millis(milliseconds: u64) -> Self {
        Self(milliseconds * 1_000)
    }

    /// Returns the microseconds since the origin.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the time from `earlier` to `self`, or zero if `earlier` is later.
    pub fn saturating_since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

/// Returns the whole milliseconds of a duration, saturating at `u64::MAX`.
pub fn whole_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

impl Add<Duration> for Timestamp {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        let microseconds = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(microseconds))
    }
}

impl Sub for Timestamp {
    type Output = Duration;

    fn sub(self, earlier: Self) -> Duration {
        self.saturating_since(earlier)
    }
}
