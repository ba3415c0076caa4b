//! Decides when an owner may order a replica that another holder ordered before.
//!
//! Two holders must not order the same replica within the lease. Each order is appended to the log before it
//! is sent, so a new owner knows which replicas were ordered recently and waits only for these.

use std::time::Duration;

use super::ledger::LastOrder;
use crate::identity::NodeId;

/// The holder of orders and how long another holder's orders exclude it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderLease {
    /// The holder: this owner's node.
    pub holder: NodeId,
    /// How long an order of another holder blocks orders to the same replica, counted from its record.
    pub length: Duration,
    /// How long the previous owner had been silent when this one took over.
    pub idle: Duration,
}

impl OrderLease {
    /// Returns whether a replica with this last order may be ordered. `clock_ms` is the shard's current
    /// clock, which did not advance while the previous owner was silent.
    pub(crate) fn allows(&self, order: Option<&LastOrder>, clock_ms: u64) -> bool {
        let Some(order) = order.filter(|order| order.holder != self.holder) else { return true };
        let since = Duration::from_millis(clock_ms.saturating_sub(order.at_ms)) + self.idle;
        since >= self.length
    }
}
