//! What an owner that can't reach its stores hands to the next one: events that it took and that are not kept
//! yet.
//!
//! Invariant: an offer is taken only by the owner that follows its giver directly, so that no other run of
//! the item can have gone on from what is kept.

use speedy::{Readable, Writable};

use super::job::OutputEvent;
use crate::identity::{BatchId, Epoch};

/// Events of one item.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct ItemProgress {
    /// The job.
    pub batch: BatchId,
    /// The item's position in the job.
    pub item: u32,
    /// The number of the last event that the giver knows to be kept.
    pub after: Option<u64>,
    /// Events that follow it.
    pub events: Vec<OutputEvent>,
}

/// Events of all items that an owner ran.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct ProgressOffer {
    /// The epoch of the giver.
    pub epoch: Epoch,
    /// What it took.
    pub items: Vec<ItemProgress>,
}
