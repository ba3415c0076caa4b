//! Events that an owner hands over to the next one because it cannot commit them to its stores.
//!
//! Invariant: an offer is accepted only by the owner that directly follows the offering one, so that no other
//! run of the item has continued from the committed events.

use speedy::{Readable, Writable};

use super::job::OutputEvent;
use crate::identity::{BatchId, Epoch};

/// Uncommitted events of one item.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct ItemProgress {
    /// The job.
    pub batch: BatchId,
    /// The item's position in the job.
    pub item: u32,
    /// Number of the last event that the offering owner knows to be committed.
    pub after: Option<u64>,
    /// The events after it.
    pub events: Vec<OutputEvent>,
}

/// Uncommitted events of all items of an owner.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct ProgressOffer {
    /// The epoch of the offering owner.
    pub epoch: Epoch,
    /// The events by item.
    pub items: Vec<ItemProgress>,
}
