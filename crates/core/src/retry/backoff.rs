//! Exponential backoff: the pause before the next try doubles with each failure in a row, up to a limit.
//!
//! Owns no state: whoever retries counts its failures and picks the figures, which stand beside the caller
//! with their source. Callers that many nodes make at once draw the pause with full jitter (Brooker,
//! "Exponential Backoff and Jitter", 2015); callers that are alone take it as it is.

use std::time::Duration;

use rand::{Rng, RngExt};

/// Doublings after which the limit counts in any case, so that the factor stays within 32 bits.
const MAX_DOUBLINGS: u32 = 16;

/// The pauses between tries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backoff {
    /// The pause after the first failure.
    pub start: Duration,
    /// The longest pause.
    pub limit: Duration,
}

impl Backoff {
    /// Pauses from `start` up to `limit`.
    pub const fn new(start: Duration, limit: Duration) -> Self {
        Self { start, limit }
    }

    /// The pause after `failures` in a row: none after none, then `start * 2^(failures - 1)`, at most
    /// `limit`.
    pub fn pause(&self, failures: u32) -> Duration {
        match failures {
            0 => Duration::ZERO,
            _ => self.start.saturating_mul(1 << (failures - 1).min(MAX_DOUBLINGS)).min(self.limit),
        }
    }

    /// A pause drawn evenly from zero up to [`Self::pause`].
    pub fn jittered_pause<R: Rng>(&self, failures: u32, random: &mut R) -> Duration {
        let longest_micros = u64::try_from(self.pause(failures).as_micros()).unwrap_or(u64::MAX);
        Duration::from_micros(random.random_range(0..=longest_micros))
    }
}
