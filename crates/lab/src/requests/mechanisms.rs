//! What a schedule can switch off.

use std::time::Duration;

use lichenpulley_core::retry::budget::BudgetConfig;
use lichenpulley_core::routing::PoolConfig;

/// Mechanisms that a schedule can switch off, to show that its checks find what they are there for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Mechanisms {
    /// Only a proof makes "not run"; off: a request whose stream falls silent is told to be not run.
    pub proof_of_not_run: bool,
    /// Ids are claimed at a majority; off: the gateway remembers by itself what it has sent.
    pub claims: bool,
    /// Chunks are put together by number; off: in the order in which they come.
    pub numbering: bool,
    /// A confirmation stands for the time of its question; off: for the time of its arrival, and holds for ever.
    pub expiring_confirmations: bool,
    /// A stream that breaks is resumed, and goes on elsewhere from the tokens that came; off: the request begins
    /// anew.
    pub resume: bool,
    /// Retries stay within the pool's budget; off: every refusal is retried until the deadline.
    pub retry_budget: bool,
    /// Requests at a replica are limited by how it answers; off: they are not limited.
    pub concurrency_limits: bool,
}

impl Mechanisms {
    /// All of them.
    pub const ON: Self = Self {
        proof_of_not_run: true,
        claims: true,
        numbering: true,
        expiring_confirmations: true,
        resume: true,
        retry_budget: true,
        concurrency_limits: true,
    };

    pub(super) fn pool_config(&self) -> PoolConfig {
        let mut config = PoolConfig::default();
        if !self.expiring_confirmations {
            config.confirmation_holds = Duration::from_secs(1_000_000);
        }
        if !self.retry_budget {
            config.budget = BudgetConfig { deposit_ratio: 1.0, minimum_per_second: 1_000.0, ..config.budget };
            config.budget.most_saved = 1e9;
        }
        if !self.concurrency_limits {
            let unlimited = config.concurrency.maximum;
            config.concurrency.minimum = unlimited;
            config.concurrency.initial = unlimited;
        }
        config
    }
}
