//! Queue of slots that wait for an attempt, in the order in which they are started.
//!
//! It holds the slots that are due and those in backoff. The caller supplies the time and puts a slot back
//! after its attempt failed.

use std::collections::BTreeSet;

use crate::time::Timestamp;

use super::slot::Slot;

/// Queue of slots that wait for an attempt.
#[derive(Clone, Debug, Default)]
pub(super) struct SlotQueue {
    due: BTreeSet<Slot>,
    delayed: BTreeSet<(Timestamp, Slot)>,
}

impl SlotQueue {
    /// Adds a slot that can start at once.
    pub(super) fn push(&mut self, slot: Slot) {
        self.due.insert(slot);
    }

    /// Adds a slot that can start at a later time.
    pub(super) fn push_delayed(&mut self, slot: Slot, due_at: Timestamp) {
        self.delayed.insert((due_at, slot));
    }

    /// Makes delayed slots due.
    pub(super) fn advance(&mut self, now: Timestamp) {
        while let Some((due_at, slot)) = self.delayed.first().copied() {
            if due_at > now {
                return;
            }
            self.delayed.pop_first();
            self.due.insert(slot);
        }
    }

    /// Removes and returns the slot to start next, if one is due.
    pub(super) fn pop(&mut self) -> Option<Slot> {
        self.due.pop_first()
    }

    /// Returns whether no slot is due.
    pub(super) fn is_empty(&self) -> bool {
        self.due.is_empty()
    }

    /// Returns when the next delayed slot becomes due.
    pub(super) fn next_due(&self) -> Option<Timestamp> {
        self.delayed.first().map(|(due_at, _)| *due_at)
    }
}
