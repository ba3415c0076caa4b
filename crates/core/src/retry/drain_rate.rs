//! Estimates when a refused caller of a pool should retry: the time in which the requests ahead of it complete
//! at the recent completion rate.
//!
//! Callers refused for other reasons get their retry time from [`super::retry_after`].

use std::time::Duration;

use crate::time::Timestamp;

/// Time constant of the average.
const AVERAGING_TIME: Duration = Duration::from_secs(10);
/// Minimum time over which completions are averaged; keeps a short burst from counting as a high rate.
const MIN_AVERAGING_TIME: Duration = Duration::from_millis(250);
/// Minimum number of completions from which a rate is computed.
const MIN_COMPLETIONS: u32 = 16;
/// Retry time while the rate is unknown.
const UNKNOWN_RATE_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Minimum retry time. With a shorter one, callers of a full pool ask in a loop.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Maximum retry time. A longer one keeps callers away from a pool that has recovered.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Completions per second, averaged with exponential decay.
///
/// The average covers only the time since work began. Otherwise a pool that has just started would appear slow
/// and turn callers away from idle engines.
#[derive(Clone, Debug)]
pub struct DrainRate {
    /// Completions, each weighted by its age.
    completions: f64,
    /// Completions since work began.
    count: u32,
    /// When work began.
    since: Timestamp,
    updated_at: Timestamp,
}

impl DrainRate {
    /// Creates a rate without completions.
    pub const fn new(now: Timestamp) -> Self {
        Self { completions: 0.0, count: 0, since: now, updated_at: now }
    }

    /// Records one completion. The average restarts after a pause longer than the averaging time.
    pub fn record_completion(&mut self, now: Timestamp) {
        let idle = now.saturating_since(self.updated_at) > AVERAGING_TIME;
        if idle || self.completions == 0.0 {
            *self = Self::new(now);
        }
        self.completions = self.decayed(now) + 1.0;
        self.count = self.count.saturating_add(1);
        self.updated_at = self.updated_at.max(now);
    }

    /// Returns the completions per second.
    pub fn per_second(&self, now: Timestamp) -> f64 {
        let elapsed = now.saturating_since(self.since).as_secs_f64();
        // The weights of a steady stream that began at `since` add up to its rate times this.
        let window = AVERAGING_TIME.as_secs_f64() * (1.0 - decay(elapsed));
        self.decayed(now) / window.max(MIN_AVERAGING_TIME.as_secs_f64())
    }

    /// Returns when a caller with `ahead` requests ahead of its own should retry.
    pub fn retry_after(&self, now: Timestamp, ahead: u32) -> Duration {
        if self.count < MIN_COMPLETIONS {
            return UNKNOWN_RATE_RETRY_AFTER;
        }
        let rate = self.per_second(now);
        let needed = f64::from(ahead.saturating_add(1));
        if rate * MAX_RETRY_AFTER.as_secs_f64() <= needed {
            return MAX_RETRY_AFTER;
        }
        Duration::from_secs_f64(needed / rate).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }

    /// Returns the weighted completions as of `now`.
    fn decayed(&self, now: Timestamp) -> f64 {
        self.completions * decay(now.saturating_since(self.updated_at).as_secs_f64())
    }
}

/// Returns the weight of a completion of this age.
fn decay(seconds: f64) -> f64 {
    (-seconds / AVERAGING_TIME.as_secs_f64()).exp()
}
