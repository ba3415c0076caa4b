//! When an owner may order a replica that another holder ordered before.
//!
//! Two holders must not give orders to one replica in turns within the lease. Each order is written to the
//! log before it leaves, so that a new owner knows the replicas whose last order is recent, and waits for
//! these alone.

use std::time::Duration;

use super::ledger::LastOrder;
use crate::identity::NodeId;

/// Whose orders these are, and how long another's bind.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderLease {
    /// The holder: this owner's node.
    pub holder: NodeId,
    /// How long an order of another holder keeps this one from ordering the same replica, counted from the
    /// record.
    pub length: Duration,
    /// How long the owner before had been silent when this one began.
    pub idle: Duration,
}

impl OrderLease {
    /// Whether a replica with this mark may be ordered. `clock_ms` is the shard's clock now; it stood still
    /// while the owner before was silent.
    pub(crate) fn allows(&self, mark: Option<&LastOrder>, clock_ms: u64) -> bool {
        let Some(mark) = mark.filter(|mark| mark.holder != self.holder) else { return true };
        let since = Duration::from_millis(clock_ms.saturating_sub(mark.at_ms)) + self.idle;
        since >= self.length
    }
}
