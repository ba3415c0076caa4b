//! A token bucket that limits a pool's retries to a share of its requests, so that retries can't overload
//! engines that are already failing.
//!
//! See docs/decisions/retries.md for measurements.

use std::time::Duration;

use crate::time::Timestamp;

/// Configures a retry budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetConfig {
    /// Retries that each request adds to the budget: 0.1 allows one retry for ten requests.
    pub deposit_ratio: f64,
    /// Retries per second that are allowed regardless of the number of requests.
    pub minimum_per_second: f64,
    /// Time constant with which the balance above the minimum decays.
    pub window: Duration,
    /// Maximum balance, in retries.
    pub max_saved: f64,
}

impl Default for BudgetConfig {
    fn default() -> Self {
        Self {
            deposit_ratio: 0.1,
            minimum_per_second: 1.0,
            window: Duration::from_secs(10),
            max_saved: 100.0,
        }
    }
}

/// The retry budget of a pool.
///
/// Invariant: the retries within any time `t` are at most
/// `max_saved + deposit_ratio * requests + minimum_per_second * t`.
///
/// ```
/// use std::time::Duration;
///
/// use lichenpulley_core::retry::budget::{BudgetConfig, RetryBudget};
/// use lichenpulley_core::time::Timestamp;
///
/// let config = BudgetConfig { deposit_ratio: 0.1, minimum_per_second: 0.0, ..BudgetConfig::default() };
/// let now = Timestamp::ORIGIN;
/// let mut budget = RetryBudget::new(config, now);
/// assert!(!budget.withdraw(now), "nothing was deposited");
///
/// // Twenty requests pay for two retries.
/// for _ in 0..21 {
///     budget.deposit(now);
/// }
/// assert!(budget.withdraw(now) && budget.withdraw(now));
/// assert!(!budget.withdraw(now));
///
/// // Deposits decay over time.
/// for _ in 0..21 {
///     budget.deposit(now);
/// }
/// assert!(!budget.withdraw(now + Duration::from_secs(60)));
/// ```
#[derive(Clone, Debug)]
pub struct RetryBudget {
    config: BudgetConfig,
    balance: f64,
    refilled_at: Timestamp,
}

impl RetryBudget {
    /// Creates a budget that holds the minimum of one window.
    pub fn new(config: BudgetConfig, now: Timestamp) -> Self {
        let balance = (config.minimum_per_second * config.window.as_secs_f64()).min(config.max_saved);
        Self { config, balance, refilled_at: now }
    }

    /// Replaces the configuration and limits the balance to the new maximum.
    pub fn reconfigure(&mut self, config: BudgetConfig) {
        self.config = config;
        self.balance = self.balance.min(config.max_saved);
    }

    /// Adds the deposit for one request. Must not be called for its retries.
    pub fn deposit(&mut self, now: Timestamp) {
        self.refill(now);
        self.balance = (self.balance + self.config.deposit_ratio).min(self.config.max_saved);
    }

    /// Withdraws one retry; returns `false` if the balance is too low.
    pub fn withdraw(&mut self, now: Timestamp) -> bool {
        self.refill(now);
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }

    /// Returns the balance, in retries.
    pub const fn balance(&self) -> f64 {
        self.balance
    }

    /// Adds the minimum rate for the elapsed time, and decays the balance above it.
    fn refill(&mut self, now: Timestamp) {
        let elapsed = now.saturating_since(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        let floor = self.config.minimum_per_second * self.config.window.as_secs_f64();
        let excess = (self.balance - floor).max(0.0);
        let kept = excess * (-elapsed / self.config.window.as_secs_f64()).exp();
        let base = self.balance.min(floor) + self.config.minimum_per_second * elapsed;
        self.balance = (base.min(floor) + kept).min(self.config.max_saved);
    }
}
