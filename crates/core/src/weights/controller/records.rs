//! What the owner writes to the log, and the actions that wait until it is kept.
//!
//! Invariant: one append is outstanding at a time; what rests on a record is done only once a majority keeps
//! it.

use crate::time::Timestamp;
use crate::weights::ledger::WeightsRecord;

use super::{Action, WeightsController};

/// The log is compacted after this many records. Chosen, not measured: fewer snapshots the few replicas of a
/// pool more often than needed, more makes a takeover read longer.
const RECORDS_BETWEEN_SNAPSHOTS: u64 = 1_000;

impl WeightsController {
    pub(super) fn propose(&mut self, record: WeightsRecord) {
        self.ledger.apply(&record);
        self.proposed.push(record);
    }

    pub(super) fn append_proposed(&mut self, now: Timestamp) {
        if self.appending.is_some() || self.proposed.is_empty() {
            return;
        }
        self.next_barrier = now + self.config.barrier_interval;
        let records = std::mem::take(&mut self.proposed);
        self.records_since_snapshot += records.len() as u64;
        self.appending = Some(std::mem::take(&mut self.held));
        self.actions.push_back(Action::Append(records));
        self.compact();
    }

    /// The snapshot stands for exactly the records that have been given to the driver so far.
    fn compact(&mut self) {
        if self.records_since_snapshot < RECORDS_BETWEEN_SNAPSHOTS {
            return;
        }
        match self.ledger.snapshot() {
            Ok(snapshot) => {
                self.records_since_snapshot = 0;
                self.actions.push_back(Action::Compact(snapshot));
            }
            Err(error) => log::warn!(target: "weights", "The log was not compacted: {error}."),
        }
    }

    /// Answers at once where nothing has to be kept first.
    pub(super) fn release_when_settled(&mut self) {
        if self.proposed.is_empty() && self.appending.is_none() {
            self.actions.extend(self.held.drain(..));
        }
    }
}
