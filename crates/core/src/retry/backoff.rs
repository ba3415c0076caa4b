//! Exponential backoff with full jitter (Brooker, "Exponential Backoff and Jitter", 2015).

use std::time::Duration;

use rand::{Rng, RngExt};

/// How long to wait before a retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackoffConfig {
    /// The longest wait before the first retry.
    pub base: Duration,
    /// The longest wait before any retry.
    pub most: Duration,
}

impl Default for BackoffConfig {
    fn default() -> Self {
        Self { base: Duration::from_millis(10), most: Duration::from_secs(1) }
    }
}

impl BackoffConfig {
    /// The wait before retry number `retry`, counted from 1: evenly drawn up to `base * 2^(retry - 1)`, at most
    /// `most`.
    pub fn wait<R: Rng>(&self, retry: u32, random: &mut R) -> Duration {
        let doublings = retry.saturating_sub(1).min(16);
        let ceiling = self.base.saturating_mul(1 << doublings).min(self.most);
        let ceiling_micros = u64::try_from(ceiling.as_micros()).unwrap_or(u64::MAX);
        Duration::from_micros(random.random_range(0..=ceiling_micros))
    }
}
