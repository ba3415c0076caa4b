//! A token bucket that bounds the retries of a pool by its requests, so that retries can't multiply the load
//! on engines that are failing already.
//!
//! Inputs: requests, retries and the time. Units: retries, retries a second. Measured: while a pool was ten
//! times slower, engines got 1.46 attempts for each request with the budget, 4.45 without it and without
//! concurrency limits (docs/decisions/retries.md, 50 seeds of 40,000 requests).

use std::time::Duration;

use crate::time::Timestamp;

/// How many retries a pool may make.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetConfig {
    /// Retries that each request pays in: 0.1 allows one retry for ten requests.
    pub deposit_ratio: f64,
    /// Retries a second that are allowed however few requests there are.
    pub minimum_per_second: f64,
    /// How long what was paid in can be used.
    pub window: Duration,
    /// The most retries that can be saved up.
    pub max_saved: f64,
}

/// The tenth of a retry for each request and the one a second were measured (see the head of the module);
/// `window` and `max_saved` are chosen, not measured: more lets a pool spend the savings of quiet hours at
/// once.
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

/// The retries that a pool has left.
///
/// Invariant: retries over any time `t` are at most `max_saved + deposit_ratio * requests + minimum * t`.
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
/// assert!(!budget.withdraw(now), "nothing was paid in");
///
/// // Twenty requests pay for two retries, in whatever time they come.
/// for _ in 0..21 {
///     budget.deposit(now);
/// }
/// assert!(budget.withdraw(now) && budget.withdraw(now));
/// assert!(!budget.withdraw(now));
///
/// // What was paid in is lost again with time.
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
    /// A budget with what the minimum gives in one window.
    pub fn new(config: BudgetConfig, now: Timestamp) -> Self {
        let balance = (config.minimum_per_second * config.window.as_secs_f64()).min(config.max_saved);
        Self { config, balance, refilled_at: now }
    }

    /// Changes what is paid in from now on; what is saved stays, up to the new most.
    pub fn reconfigure(&mut self, config: BudgetConfig) {
        self.config = config;
        self.balance = self.balance.min(config.max_saved);
    }

    /// Pays in for one request, not for its retries.
    pub fn deposit(&mut self, now: Timestamp) {
        self.refill(now);
        self.balance = (self.balance + self.config.deposit_ratio).min(self.config.max_saved);
    }

    /// Takes out one retry, if there is one.
    pub fn withdraw(&mut self, now: Timestamp) -> bool {
        self.refill(now);
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }

    /// Retries left.
    pub const fn balance(&self) -> f64 {
        self.balance
    }

    /// Adds the minimum for the time that passed, and lets what is older than the window decay.
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
