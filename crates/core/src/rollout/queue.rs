//! Slots that wait for an attempt, in the order in which they are started.
//!
//! Owns the slots that are due and those that wait out a backoff. Relies on its caller for the time, and for putting a slot
//! back whose attempt has failed.

use std::collections::BTreeSet;

use crate::time::Timestamp;

use super::slot::Slot;

/// Slots that wait for an attempt.
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

    /// Takes the slot to start next, if one is due.
    pub(super) fn pop(&mut self) -> Option<Slot> {
        self.due.pop_first()
    }

    /// Whether no slot is due.
    pub(super) fn is_empty(&self) -> bool {
        self.due.is_empty()
    }

    /// When the next delayed slot becomes due.
    pub(super) fn next_due(&self) -> Option<Timestamp> {
        self.delayed.first().map(|(due_at, _)| *due_at)
    }
}
