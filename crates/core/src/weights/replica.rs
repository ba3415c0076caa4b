//! What the owner of a pool's weights knows of one replica.

use crate::identity::{Epoch, WeightVersion};
use crate::time::Timestamp;

/// What a replica said about itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WeightReport {
    /// Its loaded weights; `None` while a swap runs or after one failed partway.
    pub weight_version: Option<WeightVersion>,
    /// Whether it takes new streams.
    pub draining: bool,
}

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderResult {
    /// The replica took it.
    Accepted(WeightReport),
    /// The replica has seen a higher epoch: this owner is superseded.
    Refused {
        /// The epoch it has seen.
        highest_epoch: Epoch,
    },
    /// No answer; the order may have been taken.
    NoAnswer,
}

/// What the owner knows of one replica.
#[derive(Clone, Debug, Default)]
pub(super) struct ReplicaState {
    /// When it was last asked or ordered.
    pub(super) asked_at: Option<Timestamp>,
    /// When the first order to load the published version was sent; for an earlier owner's, when this one
    /// began.
    pub(super) ordered_at: Option<Timestamp>,
    /// When the order was last sent by this owner; `None` where it is to be sent at once.
    pub(super) last_order_at: Option<Timestamp>,
    /// Orders in a row that were not confirmed in time.
    pub(super) failures: u32,
    /// Its last report.
    pub(super) report: Option<WeightReport>,
    /// Whether this owner has ordered its role since the last change of it.
    pub(super) role_ordered: bool,
}

impl ReplicaState {
    /// A replica that an earlier owner ordered or heard of: asked at once, and given the whole time to
    /// confirm.
    pub(super) fn taken_over(now: Timestamp) -> Self {
        Self { ordered_at: Some(now), ..Self::default() }
    }
}
