//! When to come back: the time in which the work that is ahead drains at the rate seen of late.

use std::time::Duration;

use crate::time::Timestamp;

/// Time over which completions are averaged.
const AVERAGING: Duration = Duration::from_secs(10);
/// Never asks a caller back sooner than this.
const SOONEST: Duration = Duration::from_millis(100);
/// Never asks a caller back later than this.
const LATEST: Duration = Duration::from_secs(30);

/// Completions a second, averaged with exponential decay.
#[derive(Clone, Debug)]
pub struct DrainRate {
    per_second: f64,
    updated_at: Timestamp,
}

impl DrainRate {
    /// A rate of nothing seen.
    pub const fn new(now: Timestamp) -> Self {
        Self { per_second: 0.0, updated_at: now }
    }

    /// Notes one completion.
    pub fn completed(&mut self, now: Timestamp) {
        self.decay(now);
        self.per_second += 1.0 / AVERAGING.as_secs_f64();
    }

    /// Completions a second.
    pub fn per_second(&self, now: Timestamp) -> f64 {
        let elapsed = now.saturating_since(self.updated_at).as_secs_f64();
        self.per_second * (-elapsed / AVERAGING.as_secs_f64()).exp()
    }

    /// When a caller should come back if `ahead` requests go before its own.
    pub fn retry_after(&self, now: Timestamp, ahead: u32) -> Duration {
        let rate = self.per_second(now);
        let wanted = f64::from(ahead.saturating_add(1));
        if rate * LATEST.as_secs_f64() <= wanted {
            return if rate == 0.0 { Duration::from_secs(1) } else { LATEST };
        }
        Duration::from_secs_f64(wanted / rate).clamp(SOONEST, LATEST)
    }

    fn decay(&mut self, now: Timestamp) {
        self.per_second = self.per_second(now);
        self.updated_at = self.updated_at.max(now);
    }
}
