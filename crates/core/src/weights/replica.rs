//! Reports of replicas, results of orders, and the state that the owner of a pool's weights tracks for each
//! replica.

use crate::identity::{Epoch, WeightVersion};
use crate::time::Timestamp;

/// A replica's report on its weights and role.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WeightReport {
    /// The loaded weight version; `None` during a swap or after a failed one.
    pub weight_version: Option<WeightVersion>,
    /// Whether it drains and so takes no new streams.
    pub draining: bool,
}

/// Result of an order to a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderResult {
    /// The replica accepted the order.
    Accepted(WeightReport),
    /// The replica has seen a higher epoch, so this owner is superseded.
    Refused {
        /// The highest epoch that the replica has seen.
        highest_epoch: Epoch,
    },
    /// There was no answer. The replica may have accepted the order.
    NoAnswer,
}

/// State of one replica as tracked by the owner.
#[derive(Clone, Debug, Default)]
pub(super) struct ReplicaState {
    /// When the replica was last polled or ordered, or last reported.
    pub(super) polled_at: Option<Timestamp>,
    /// When the first order to load the target version was sent, or when this owner started if an earlier one
    /// sent it.
    pub(super) ordered_at: Option<Timestamp>,
    /// When this owner last sent the order; `None` if it is due now.
    pub(super) last_order_at: Option<Timestamp>,
    /// Consecutive orders that were not confirmed in time.
    pub(super) failures: u32,
    /// The last report.
    pub(super) report: Option<WeightReport>,
    /// Whether this owner has ordered the role since it last changed.
    pub(super) role_ordered: bool,
}

impl ReplicaState {
    /// Creates the state of a replica found in the log of an earlier owner. It is polled at once and has the
    /// full timeout to confirm.
    pub(super) fn recovered(now: Timestamp) -> Self {
        Self { ordered_at: Some(now), ..Self::default() }
    }
}
