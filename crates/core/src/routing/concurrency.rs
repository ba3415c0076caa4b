//! Limits the concurrent requests of one node at one replica: additive increase while the time to first token
//! (TTFT) is good, multiplicative decrease when it is high or the replica refuses (Chiu and Jain 1989).
//!
//! Live requests and rollouts have separate limits, so that a pool sheds rollouts first. See
//! docs/decisions/routing.md and docs/measures.md for measurements.

use std::time::Duration;

use crate::request::answer::Priority;
use crate::time::Timestamp;

/// Upper bound of [`ConcurrencyConfig::live_reserve_percent`]; prevents starvation of rollouts.
pub const MAX_RESERVED_PERCENT: u8 = 90;

/// Configures a concurrency limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConcurrencyConfig {
    /// Limit before the first measurement.
    pub initial: u32,
    /// Lower bound of the limit.
    pub minimum: u32,
    /// Upper bound of the limit.
    pub maximum: u32,
    /// Share of the limit, in percent, reserved for live requests.
    pub live_reserve_percent: u8,
    /// A TTFT above this multiple of the best observed one counts as congestion.
    pub congestion_ratio: f64,
    /// A TTFT up to this never counts as congestion.
    pub tolerated_ttft: Duration,
}

impl Default for ConcurrencyConfig {
    fn default() -> Self {
        Self {
            initial: 16,
            minimum: 1,
            maximum: 512,
            live_reserve_percent: 20,
            congestion_ratio: 4.0,
            tolerated_ttft: Duration::from_millis(250),
        }
    }
}

/// Factor by which a decrease multiplies the limit.
const DECREASE_FACTOR: f64 = 0.8;
/// Minimum time between two decreases, since one congestion event delays many requests.
const MIN_DECREASE_INTERVAL: Duration = Duration::from_millis(500);

/// Concurrency limits for one replica: one for all requests, and one for rollouts.
///
/// Rollouts are shed first. Congestion of any request lowers the rollout limit. A live request without
/// congestion raises it while the requests in flight reach it. The overall limit decreases only if live
/// requests are congested while the rollout limit is already at the minimum. A high TTFT of rollouts never
/// lowers the overall limit, because engines serve live requests first.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    config: ConcurrencyConfig,
    limit: f64,
    rollout_limit: f64,
    best_ttft: Option<Duration>,
    best_rollout_ttft: Option<Duration>,
    decreased_at: Option<Timestamp>,
}

impl ConcurrencyLimit {
    /// Creates a limit with the initial values.
    pub fn new(config: ConcurrencyConfig) -> Self {
        let limit = f64::from(config.initial);
        Self {
            config,
            limit,
            rollout_limit: limit,
            best_ttft: None,
            best_rollout_ttft: None,
            decreased_at: None,
        }
    }

    /// Replaces the configuration and clamps the current limits to the new bounds.
    pub fn reconfigure(&mut self, config: ConcurrencyConfig) {
        self.config = config;
        let (minimum, maximum) = (f64::from(config.minimum), f64::from(config.maximum));
        self.limit = self.limit.clamp(minimum, maximum);
        self.rollout_limit = self.rollout_limit.clamp(minimum, maximum);
    }

    /// Returns the overall limit in concurrent requests.
    pub fn limit(&self) -> u32 {
        // The limit lies between two `u32` bounds, so the cast only truncates the fraction.
        self.limit as u32
    }

    /// Returns the limit on all concurrent requests up to which a request of this priority is admitted. For
    /// rollouts it excludes the share reserved for live requests.
    pub fn limit_for(&self, priority: Priority) -> u32 {
        let limit = self.limit();
        match priority {
            Priority::Live => limit,
            Priority::Rollout => {
                let reserved = (limit * u32::from(self.config.live_reserve_percent)).div_ceil(100);
                let unreserved = limit - reserved.min(limit - 1);
                unreserved.min(self.rollout_limit as u32)
            }
        }
    }

    /// Adjusts the limits to a request's time to first token. `in_flight` is the number of concurrent
    /// requests.
    pub fn record_first_token(&mut self, priority: Priority, ttft: Duration, in_flight: u32, now: Timestamp) {
        let best = match priority {
            Priority::Live => &mut self.best_ttft,
            Priority::Rollout => &mut self.best_rollout_ttft,
        };
        let best = *best.insert(best.map_or(ttft, |best| best.min(ttft)));
        let tolerated = best.mul_f64(self.config.congestion_ratio).max(self.config.tolerated_ttft);
        if ttft > tolerated {
            return self.decrease_for_congestion(priority, now);
        }
        if in_flight * 2 >= self.limit_for(priority) {
            self.increase(priority);
        }
        // While live requests fill the rollout limit, no rollout is admitted whose first token could raise it.
        if priority == Priority::Live && in_flight >= self.rollout_limit as u32 {
            self.increase_rollout_limit();
        }
    }

    /// Decreases both limits after the replica refused a request for load, or failed.
    pub fn record_overload(&mut self, now: Timestamp) {
        if self.try_start_decrease(now) {
            self.limit = self.decreased(self.limit);
            self.rollout_limit = self.decreased(self.rollout_limit);
        }
    }

    /// Decreases the limits after a TTFT above the tolerated one.
    fn decrease_for_congestion(&mut self, priority: Priority, now: Timestamp) {
        if !self.try_start_decrease(now) {
            return;
        }
        let is_rollout_limit_minimal = self.rollout_limit <= f64::from(self.config.minimum);
        self.rollout_limit = self.decreased(self.rollout_limit);
        if priority == Priority::Live && is_rollout_limit_minimal {
            self.limit = self.decreased(self.limit);
        }
    }

    fn increase(&mut self, priority: Priority) {
        let maximum = f64::from(self.config.maximum);
        match priority {
            Priority::Live => self.limit = (self.limit + 1.0 / self.limit).min(maximum),
            Priority::Rollout => {
                self.increase_rollout_limit();
                // Without this, the overall limit could not grow under a load of rollouts alone.
                if self.limit_for(Priority::Rollout) < self.rollout_limit as u32 {
                    self.limit = (self.limit + 1.0 / self.limit).min(maximum);
                }
            }
        }
    }

    fn increase_rollout_limit(&mut self) {
        let maximum = f64::from(self.config.maximum);
        self.rollout_limit = (self.rollout_limit + 1.0 / self.rollout_limit).min(maximum);
    }

    fn decreased(&self, limit: f64) -> f64 {
        (limit * DECREASE_FACTOR).max(f64::from(self.config.minimum))
    }

    /// Returns whether a decrease is due, and starts the pause until the next one.
    fn try_start_decrease(&mut self, now: Timestamp) -> bool {
        if self.decreased_at.is_some_and(|at| now < at + MIN_DECREASE_INTERVAL) {
            return false;
        }
        self.decreased_at = Some(now);
        true
    }
}
