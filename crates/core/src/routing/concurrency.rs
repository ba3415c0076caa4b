//! How many requests one node keeps at one replica: additive increase while the replica answers in good time,
//! multiplicative decrease when it is slow to start or refuses (Chiu and Jain 1989).
//!
//! Inputs: how long requests took to their first token, refusals, the priority of a request and the time.
//! Unit: requests at once. One limit for live requests and rollouts was tried: it gave 25,764 waits at the
//! limit against 6,243 with two, in a pool of three replicas (docs/decisions/routing.md). With a tolerated
//! start of 250 ms the limits bind in pools of three replicas that are 85 % busy: first tokens take 1.8 times
//! as long at p99 as by least reported load; with 1 s they took 828 in place of 1,699 ms (docs/measures.md).

use std::time::Duration;

use crate::request::answer::Priority;
use crate::time::Timestamp;

/// The largest share of a limit that live requests may keep to themselves, in percent: rollouts must not
/// starve. Chosen, not measured.
pub const MAX_RESERVED_PERCENT: u8 = 90;

/// Bounds and pace of a concurrency limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConcurrencyConfig {
    /// Requests allowed before anything is known.
    pub initial: u32,
    /// The limit never goes below this.
    pub minimum: u32,
    /// The limit never goes above this.
    pub maximum: u32,
    /// Share of the limit, in percent, that only live requests may use.
    pub live_reserve_percent: u8,
    /// A first token that takes longer than this many times the best observed is congestion.
    pub congestion_ratio: f64,
    /// A first token within this time is never congestion.
    pub tolerated_ttft: Duration,
}

/// Chosen, not measured, but for `tolerated_ttft`: see the head of the module.
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

/// Share of the limit that is kept at a decrease. Chosen, not measured: smaller empties replicas after one
/// slow start.
const DECREASE: f64 = 0.8;
/// At most one decrease in this time: one congestion shows in many requests. Chosen, not measured.
const DECREASE_PAUSE: Duration = Duration::from_millis(500);

/// The limit for one replica: one for all requests, and a lower one for rollouts.
///
/// Rollouts are shed first. Congestion lowers their limit, whoever meets it; the limit for all falls only
/// when live requests meet congestion while rollouts are at the minimum already. Rollouts that wait long
/// behind live requests are as the engine's priorities mean it, and say nothing about live requests.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    config: ConcurrencyConfig,
    limit: f64,
    rollout_limit: f64,
    best_start: Option<Duration>,
    best_rollout_start: Option<Duration>,
    decreased_at: Option<Timestamp>,
}

impl ConcurrencyLimit {
    /// A limit about which nothing is known.
    pub fn new(config: ConcurrencyConfig) -> Self {
        let limit = f64::from(config.initial);
        Self {
            config,
            limit,
            rollout_limit: limit,
            best_start: None,
            best_rollout_start: None,
            decreased_at: None,
        }
    }

    /// Changes the bounds; the limits stay where they are within them.
    pub fn reconfigure(&mut self, config: ConcurrencyConfig) {
        self.config = config;
        let (minimum, maximum) = (f64::from(config.minimum), f64::from(config.maximum));
        self.limit = self.limit.clamp(minimum, maximum);
        self.rollout_limit = self.rollout_limit.clamp(minimum, maximum);
    }

    /// Requests allowed at once.
    pub fn limit(&self) -> u32 {
        // The limit lies between two `u32` bounds, so the cast only cuts the fraction off.
        self.limit as u32
    }

    /// Requests of this priority allowed at once, counting all that run. Live requests go before rollouts: a
    /// share of the limit is theirs alone.
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

    /// Notes how long a request took to its first token while `in_flight` ran.
    pub fn record_first_token(&mut self, priority: Priority, took: Duration, in_flight: u32, now: Timestamp) {
        let best = match priority {
            Priority::Live => &mut self.best_start,
            Priority::Rollout => &mut self.best_rollout_start,
        };
        let best = *best.insert(best.map_or(took, |best| best.min(took)));
        let tolerated = best.mul_f64(self.config.congestion_ratio).max(self.config.tolerated_ttft);
        if took > tolerated {
            self.congested(priority, now);
        } else if in_flight * 2 >= self.limit_for(priority) {
            self.increase(priority);
        }
    }

    /// Notes that the replica refused for load, or failed.
    pub fn record_overload(&mut self, now: Timestamp) {
        if self.may_decrease(now) {
            self.limit = self.decreased(self.limit);
            self.rollout_limit = self.decreased(self.rollout_limit);
        }
    }

    fn congested(&mut self, priority: Priority, now: Timestamp) {
        if !self.may_decrease(now) {
            return;
        }
        let rollouts_are_shed = self.rollout_limit <= f64::from(self.config.minimum);
        self.rollout_limit = self.decreased(self.rollout_limit);
        if priority == Priority::Live && rollouts_are_shed {
            self.limit = self.decreased(self.limit);
        }
    }

    fn increase(&mut self, priority: Priority) {
        let maximum = f64::from(self.config.maximum);
        match priority {
            Priority::Live => self.limit = (self.limit + 1.0 / self.limit).min(maximum),
            Priority::Rollout => {
                self.rollout_limit = (self.rollout_limit + 1.0 / self.rollout_limit).min(maximum);
                // Rollouts alone can show that the replica can take more.
                if self.limit_for(Priority::Rollout) < self.rollout_limit as u32 {
                    self.limit = (self.limit + 1.0 / self.limit).min(maximum);
                }
            }
        }
    }

    fn decreased(&self, limit: f64) -> f64 {
        (limit * DECREASE).max(f64::from(self.config.minimum))
    }

    fn may_decrease(&mut self, now: Timestamp) -> bool {
        if self.decreased_at.is_some_and(|at| now < at + DECREASE_PAUSE) {
            return false;
        }
        self.decreased_at = Some(now);
        true
    }
}
