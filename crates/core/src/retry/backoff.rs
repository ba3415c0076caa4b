//! Exponential backoff: the delay before the next attempt doubles with each consecutive failure, up to a limit.
//!
//! [`Backoff`] is stateless; callers count their own failures. Where many nodes retry at once, callers use full
//! jitter (Brooker, "Exponential Backoff and Jitter", 2015) by [`Backoff::jittered_pause`].

use std::time::Duration;

use rand::{Rng, RngExt};

/// Maximum number of doublings; keeps the factor within 32 bits.
const MAX_DOUBLINGS: u32 = 16;

/// Delays between attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backoff {
    /// Delay after the first failure.
    pub start: Duration,
    /// Maximum delay.
    pub limit: Duration,
}

impl Backoff {
    /// Creates a backoff with delays from `start` up to `limit`.
    pub const fn new(start: Duration, limit: Duration) -> Self {
        Self { start, limit }
    }

    /// Returns the delay after `failures` consecutive failures: zero for none, otherwise
    /// `start * 2^(failures - 1)`, at most `limit`.
    pub fn pause(&self, failures: u32) -> Duration {
        match failures {
            0 => Duration::ZERO,
            _ => self.start.saturating_mul(1 << (failures - 1).min(MAX_DOUBLINGS)).min(self.limit),
        }
    }

    /// Returns a delay drawn uniformly between zero and [`Self::pause`].
    pub fn jittered_pause<R: Rng>(&self, failures: u32, random: &mut R) -> Duration {
        let longest_micros = u64::try_from(self.pause(failures).as_micros()).unwrap_or(u64::MAX);
        Duration::from_micros(random.random_range(0..=longest_micros))
    }
}
