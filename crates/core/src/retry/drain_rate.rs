//! When to come back: the time in which the work that is ahead drains at the rate seen of late.

use std::time::Duration;

use crate::time::Timestamp;

/// Time over which completions are averaged.
const AVERAGING: Duration = Duration::from_secs(10);
/// Completions in less time than this are taken as spread over it.
const SHORTEST_WINDOW: Duration = Duration::from_millis(250);
/// Fewer completions than this say nothing of the rate.
const FEWEST: u32 = 16;
/// When a caller should come back while nothing is known of the rate.
const UNKNOWN: Duration = Duration::from_secs(1);
/// Never asks a caller back sooner than this.
const SOONEST: Duration = Duration::from_millis(100);
/// Never asks a caller back later than this.
const LATEST: Duration = Duration::from_secs(30);

/// Completions a second, averaged with exponential decay.
///
/// The average is over the time seen, not over the whole averaging time: otherwise a pool that has just begun to
/// work looks as slow as its first completions are few, and its callers stay away from idle engines.
#[derive(Clone, Debug)]
pub struct DrainRate {
    /// Completions, each weighed by its age.
    completions: f64,
    /// How many there were since work began.
    seen: u32,
    /// When the first of them came.
    since: Timestamp,
    updated_at: Timestamp,
}

impl DrainRate {
    /// A rate of nothing seen.
    pub const fn new(now: Timestamp) -> Self {
        Self { completions: 0.0, seen: 0, since: now, updated_at: now }
    }

    /// Notes one completion.
    pub fn completed(&mut self, now: Timestamp) {
        let idle = now.saturating_since(self.updated_at) > AVERAGING;
        if idle || self.completions == 0.0 {
            *self = Self::new(now);
        }
        self.completions = self.weighed(now) + 1.0;
        self.seen = self.seen.saturating_add(1);
        self.updated_at = self.updated_at.max(now);
    }

    /// Completions a second.
    pub fn per_second(&self, now: Timestamp) -> f64 {
        let seen = now.saturating_since(self.since).as_secs_f64();
        // The weights of a steady stream since `since` add up to its rate times this.
        let window = AVERAGING.as_secs_f64() * (1.0 - decay(seen));
        self.weighed(now) / window.max(SHORTEST_WINDOW.as_secs_f64())
    }

    /// When a caller should come back if `ahead` requests go before its own.
    pub fn retry_after(&self, now: Timestamp, ahead: u32) -> Duration {
        if self.seen < FEWEST {
            return UNKNOWN;
        }
        let rate = self.per_second(now);
        let wanted = f64::from(ahead.saturating_add(1));
        if rate * LATEST.as_secs_f64() <= wanted {
            return LATEST;
        }
        Duration::from_secs_f64(wanted / rate).clamp(SOONEST, LATEST)
    }

    fn weighed(&self, now: Timestamp) -> f64 {
        self.completions * decay(now.saturating_since(self.updated_at).as_secs_f64())
    }
}

fn decay(seconds: f64) -> f64 {
    (-seconds / AVERAGING.as_secs_f64()).exp()
}
