//! The trainer's pull: positions, the cursor, and the one batch that is not saved yet (brief point 3).

use serde::{Deserialize, Serialize};
use speedy::{Readable, Writable};

use crate::identity::WeightVersion;

use super::sample::Sample;
use super::slot::Slot;

/// A trainer asks for samples from its cursor on. The cursor moves only by this word: everything before
/// `cursor` is taken as saved by the trainer (brief point 3).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Readable, Writable)]
#[serde(deny_unknown_fields)]
pub struct PullRequest {
    /// The position after the last sample that the trainer has saved.
    pub cursor: u64,
    /// At most this many samples.
    pub max_samples: u32,
    /// The version the trainer is about to train; the staleness bound is tested against it.
    pub trainer_version: WeightVersion,
}

/// Samples in the order of their positions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Readable, Writable)]
pub struct PullResponse {
    /// The samples from the asked cursor on; may be empty when none is ready.
    pub samples: Vec<Sample>,
    /// The cursor to ask with next, once these are saved.
    pub next_cursor: u64,
    /// Whether the job has nothing more to give.
    pub finished: bool,
}

/// Why a pull can't be answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PullRefusal {
    /// The trainer said earlier that it had saved more than it says now.
    #[error("cursor {cursor} is behind {saved}, which was stated as saved; pull from {saved} on")]
    CursorBehind {
        /// The cursor asked with.
        cursor: u64,
        /// The cursor stated earlier.
        saved: u64,
    },
    /// The cursor is no position of the batch that was handed over last.
    #[error("cursor {cursor} was never handed out or its batch was voided; pull from {saved} on")]
    CursorUnknown {
        /// The cursor asked with.
        cursor: u64,
        /// The cursor stated earlier.
        saved: u64,
    },
    /// The trainer stated a later version before.
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
    /// A stable word in snake case for the caller.
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::CursorBehind { .. } => "cursor_behind",
            Self::CursorUnknown { .. } => "cursor_unknown",
            Self::VersionBehind { .. } => "trainer_version_behind",
        }
    }
}

/// Positions handed out but not stated as saved.
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

/// Where the hand-over stands.
///
/// There is at most one unsaved batch: a later one is made only when the trainer states a cursor at its end.
/// A position is never used twice, also not after its batch was voided, so a trainer that saved a voided
/// batch all the same is found out by its cursor.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub(super) struct Delivery {
    /// The cursor that the trainer stated last.
    pub(super) saved: u64,
    /// What was handed out from there on.
    pub(super) batch: Option<Batch>,
    /// The next position that has never been used.
    pub(super) next_position: u64,
    /// The highest version that the trainer stated.
    pub(super) trainer_version: WeightVersion,
    /// Samples stated as saved.
    pub(super) saved_samples: u64,
}

impl Delivery {
    /// Whether a trainer that keeps to the contract can state this cursor and version now.
    ///
    /// # Errors
    /// Says what does not fit.
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

    /// Moves the cursor and gives the slots that this states as saved.
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

    /// Samples handed out and not voided.
    pub(super) fn delivered(&self) -> u64 {
        self.saved_samples + self.batch.as_ref().map_or(0, |batch| batch.slots.len() as u64)
    }
}
