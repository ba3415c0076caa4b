//! Appends records to the log and releases the actions that depend on them.
//!
//! Invariant: one append is in progress at a time, and an action that depends on a record is released only
//! once that record is committed.

use crate::time::Timestamp;
use crate::weights::ledger::WeightsRecord;

use super::{Action, WeightsController};

/// Bounds the records that a takeover has to read.
const RECORDS_BETWEEN_SNAPSHOTS: u64 = 1_000;

impl WeightsController {
    pub(super) fn propose(&mut self, record: WeightsRecord) {
        self.ledger.apply(&record);
        self.proposed.push(record);
    }

    pub(super) fn append_proposed(&mut self, now: Timestamp) {
        if self.appending_actions.is_some() || self.proposed.is_empty() {
            return;
        }
        self.next_barrier = now + self.config.barrier_interval;
        let records = std::mem::take(&mut self.proposed);
        self.records_since_snapshot += records.len() as u64;
        self.appending_actions = Some(std::mem::take(&mut self.pending_actions));
        self.actions.push_back(Action::Append(records));
        self.compact();
    }

    /// Compacts the log if it is long enough. The snapshot covers exactly the records passed to the driver so
    /// far.
    fn compact(&mut self) {
        if self.records_since_snapshot < RECORDS_BETWEEN_SNAPSHOTS {
            return;
        }
        match self.ledger.snapshot() {
            Ok(snapshot) => {
                self.records_since_snapshot = 0;
                self.actions.push_back(Action::Compact(snapshot));
            }
            Err(error) => log::warn!(target: "weights", "The weights log could not be compacted: {error}."),
        }
    }

    /// Releases the pending actions at once if no record has to be committed first.
    pub(super) fn release_if_committed(&mut self) {
        if self.proposed.is_empty() && self.appending_actions.is_none() {
            self.actions.extend(self.pending_actions.drain(..));
        }
    }
}
