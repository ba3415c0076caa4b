//! What a schedule can switch off.

use std::time::Duration;

use lichenpulley_core::routing::PoolConfig;

/// Mechanisms that a schedule can switch off, to show that its checks find what they are there for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Mechanisms {
    /// Only a proof makes "not run"; off: a request whose stream falls silent is answered as not run.
    pub proof_of_not_run: bool,
    /// Ids are claimed at a majority; off: the gateway remembers by itself what it has sent.
    pub claims: bool,
    /// Chunks are put together by number; off: in the order in which they come.
    pub numbering: bool,
    /// A confirmation stands for the time of its question; off: for the time of its arrival, and holds for ever.
    pub expiring_confirmations: bool,
}

impl Mechanisms {
    /// All of them.
    pub const ON: Self =
        Self { proof_of_not_run: true, claims: true, numbering: true, expiring_confirmations: true };

    pub(super) fn pool_config(&self) -> PoolConfig {
        let mut config = PoolConfig::default();
        if !self.expiring_confirmations {
            config.confirmation_validity = Duration::from_secs(1_000_000);
        }
        config
    }
}
