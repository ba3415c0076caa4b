//! The traffic threads' monotonic clock as the core's timestamps: the core reads no clock, so each step is
//! given the time.

use std::time::Duration;

use lichenpulley_core::time::Timestamp;
use tokio::time::Instant;

/// A clock with its origin where it was made.
#[derive(Clone, Copy, Debug)]
pub struct TrafficClock {
    origin: Instant,
}

impl TrafficClock {
    /// A clock whose origin is now.
    pub fn new() -> Self {
        Self { origin: Instant::now() }
    }

    /// The present time.
    pub fn now(&self) -> Timestamp {
        Timestamp::ORIGIN + self.origin.elapsed()
    }

    /// The point on the runtime's clock.
    pub fn instant(&self, timestamp: Timestamp) -> Instant {
        self.origin + Duration::from_micros(timestamp.as_micros())
    }
}

impl Default for TrafficClock {
    fn default() -> Self {
        Self::new()
    }
}
