//! Delivery of samples to the trainer: the pull messages, the cursor, and the one batch that is not saved.

use serde::{Deserialize, Serialize};
use speedy::{Readable, Writable};

use crate::identity::WeightVersion;

use super::sample::Sample;
use super::slot::Slot;

/// A trainer's request for samples from its cursor on. Only this request moves the cursor: it states that the
/// trainer has saved everything before `cursor`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Readable, Writable)]
#[serde(deny_unknown_fields)]
pub struct PullRequest {
    /// The position after the last sample that the trainer has saved.
    pub cursor: u64,
    /// Most samples to return.
    pub max_samples: u32,
    /// The version that the trainer is about to train, against which the staleness bound is checked.
    pub trainer_version: WeightVersion,
}

/// The answer to a pull, with samples in order of position.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Readable, Writable)]
pub struct PullResponse {
    /// The samples from the requested cursor on; empty when none is ready.
    pub samples: Vec<Sample>,
    /// The cursor of the next pull, once these samples are saved.
    pub next_cursor: u64,
    /// Whether the trainer has saved every sample of the job.
    pub finished: bool,
}

/// Why a pull was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PullRefusal {
    /// The cursor is behind the one that the trainer stated earlier.
    #[error("cursor {cursor} is behind {saved}, which was stated as saved; pull from {saved} on")]
    CursorBehind {
        /// The requested cursor.
        cursor: u64,
        /// The cursor stated earlier.
        saved: u64,
    },
    /// The cursor is not a position of the unsaved batch.
    #[error("cursor {cursor} was never handed out or its batch was voided; pull from {saved} on")]
    CursorUnknown {
        /// The requested cursor.
        cursor: u64,
        /// The cursor stated earlier.
        saved: u64,
    },
    /// The trainer stated a higher version earlier.
    #[error(
        "trainer version {stated} is behind {highest}, stated earlier; submit a new job after a rollback"
    )]
    VersionBehind {
        /// The version stated now.
        stated: WeightVersion,
        /// The highest stated so far.
        highest: WeightVersion,
    },
}

impl PullRefusal {
    /// Returns the stable name in snake case for the caller.
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::CursorBehind { .. } => "cursor_behind",
            Self::CursorUnknown { .. } => "cursor_unknown",
            Self::VersionBehind { .. } => "trainer_version_behind",
        }
    }
}

/// A batch that was handed over and not yet stated as saved.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub(super) struct Batch {
    /// The position of the first slot.
    pub(super) start: u64,
    /// The slots, in the order of their positions.
    pub(super) slots: Vec<Slot>,
}

impl Batch {
    pub(super) fn end(&self) -> u64 {
        self.start + self.slots.len() as u64
    }
}

/// Progress of the hand-over.
///
/// There is at most one unsaved batch: the next one is created only after the trainer has stated a cursor at
/// its end. A position is never reused, even after its batch was voided, so the cursor of a trainer that
/// saved a voided batch is detected as unknown.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub(super) struct Delivery {
    /// The cursor last stated by the trainer.
    pub(super) saved: u64,
    /// The unsaved batch.
    pub(super) batch: Option<Batch>,
    /// The next unused position.
    pub(super) next_position: u64,
    /// The highest version stated by the trainer.
    pub(super) trainer_version: WeightVersion,
    /// Number of samples stated as saved.
    pub(super) saved_samples: u64,
}

impl Delivery {
    /// Checks whether a correct trainer can state this cursor and version now.
    ///
    /// # Errors
    /// Returns the reason for refusing the pull.
    pub(super) fn check(&self, cursor: u64, trainer_version: WeightVersion) -> Result<(), PullRefusal> {
        if cursor < self.saved {
            return Err(PullRefusal::CursorBehind { cursor, saved: self.saved });
        }
        if !self.is_known(cursor) {
            return Err(PullRefusal::CursorUnknown { cursor, saved: self.saved });
        }
        if trainer_version < self.trainer_version {
            let highest = self.trainer_version;
            return Err(PullRefusal::VersionBehind { stated: trainer_version, highest });
        }
        Ok(())
    }

    fn is_known(&self, cursor: u64) -> bool {
        let inside = |batch: &Batch| cursor > batch.start && cursor <= batch.end();
        cursor == self.saved || self.batch.as_ref().is_some_and(inside)
    }

    /// Moves the cursor and returns the slots that are saved by this.
    pub(super) fn move_cursor(&mut self, cursor: u64) -> Vec<Slot> {
        self.saved = cursor;
        let Some(batch) = &mut self.batch else { return Vec::new() };
        let count = cursor.saturating_sub(batch.start).min(batch.slots.len() as u64);
        let saved: Vec<Slot> = batch.slots.drain(..count as usize).collect();
        batch.start += count;
        if batch.slots.is_empty() {
            self.batch = None;
        }
        self.saved_samples += saved.len() as u64;
        saved
    }

    /// Returns the number of samples handed over and not voided.
    pub(super) fn delivered(&self) -> u64 {
        self.saved_samples + self.batch.as_ref().map_or(0, |batch| batch.slots.len() as u64)
    }
}
