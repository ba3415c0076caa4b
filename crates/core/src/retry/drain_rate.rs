//! When a caller of a pool should come back: the time in which the requests ahead of it drain at the rate of
//! late.
//!
//! Inputs: the completions of a pool's requests and how many are in flight. Units: completions a second,
//! [`Duration`]. Callers that were refused for other reasons get their time from [`super::retry_after`].

use std::time::Duration;

use crate::time::Timestamp;

/// Time over which completions are averaged. Chosen, not measured: shorter follows noise, longer reports the
/// rate of a pool that has since slowed down.
const AVERAGING_TIME: Duration = Duration::from_secs(10);
/// Completions in less time than this are taken as spread over it. Chosen, not measured: shorter takes a
/// burst for a rate.
const MIN_AVERAGING_TIME: Duration = Duration::from_millis(250);
/// Fewer completions than this don't determine a rate. Chosen, not measured.
const MIN_COMPLETIONS: u32 = 16;
/// When a caller should come back while the rate is unknown. Chosen, not measured.
const UNKNOWN_RATE_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Never asks a caller back sooner than this. Chosen, not measured: sooner has callers of a full pool ask in
/// a loop.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Never asks a caller back later than this. Chosen, not measured: later keeps callers away from a pool that
/// recovered.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Completions a second, averaged with exponential decay.
///
/// The average is over the time since work began, not over the whole averaging time: otherwise a pool that
/// has just begun to work looks as slow as its first completions are few, and its callers stay away from idle
/// engines.
#[derive(Clone, Debug)]
pub struct DrainRate {
    /// Completions, each weighed by its age.
    completions: f64,
    /// How many there were since work began.
    count: u32,
    /// When the first of them came.
    since: Timestamp,
    updated_at: Timestamp,
}

impl DrainRate {
    /// The rate before any completion.
    pub const fn new(now: Timestamp) -> Self {
        Self { completions: 0.0, count: 0, since: now, updated_at: now }
    }

    /// Notes one completion.
    pub fn record_completion(&mut self, now: Timestamp) {
        let idle = now.saturating_since(self.updated_at) > AVERAGING_TIME;
        if idle || self.completions == 0.0 {
            *self = Self::new(now);
        }
        self.completions = self.weighed(now) + 1.0;
        self.count = self.count.saturating_add(1);
        self.updated_at = self.updated_at.max(now);
    }

    /// Completions a second.
    pub fn per_second(&self, now: Timestamp) -> f64 {
        let elapsed = now.saturating_since(self.since).as_secs_f64();
        // The weights of a steady stream since `since` add up to its rate times this.
        let window = AVERAGING_TIME.as_secs_f64() * (1.0 - decay(elapsed));
        self.weighed(now) / window.max(MIN_AVERAGING_TIME.as_secs_f64())
    }

    /// When a caller should come back if `ahead` requests go before its own.
    pub fn retry_after(&self, now: Timestamp, ahead: u32) -> Duration {
        if self.count < MIN_COMPLETIONS {
            return UNKNOWN_RATE_RETRY_AFTER;
        }
        let rate = self.per_second(now);
        let wanted = f64::from(ahead.saturating_add(1));
        if rate * MAX_RETRY_AFTER.as_secs_f64() <= wanted {
            return MAX_RETRY_AFTER;
        }
        Duration::from_secs_f64(wanted / rate).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }

    fn weighed(&self, now: Timestamp) -> f64 {
        self.completions * decay(now.saturating_since(self.updated_at).as_secs_f64())
    }
}

fn decay(seconds: f64) -> f64 {
    (-seconds / AVERAGING_TIME.as_secs_f64()).exp()
}
