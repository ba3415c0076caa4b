//! Converts the traffic runtime's monotonic clock to the core's timestamps. The core reads no clock; each of
//! its steps takes the current time as an argument.

use std::time::Duration;

use lichenpulley_core::time::Timestamp;
use tokio::time::Instant;

/// A monotonic clock that counts from its creation.
#[derive(Clone, Copy, Debug)]
pub struct TrafficClock {
    origin: Instant,
}

impl TrafficClock {
    /// Creates a clock whose origin is now.
    pub fn new() -> Self {
        Self { origin: Instant::now() }
    }

    /// Returns the current time.
    pub fn now(&self) -> Timestamp {
        Timestamp::ORIGIN + self.origin.elapsed()
    }

    /// Converts a timestamp of this clock to an instant of the runtime.
    pub fn instant(&self, timestamp: Timestamp) -> Instant {
        self.origin + Duration::from_micros(timestamp.as_micros())
    }
}

impl Default for TrafficClock {
    fn default() -> Self {
        Self::new()
    }
}
