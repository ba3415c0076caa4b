//! Rebuilds the ledger of a new owner in steps.
//!
//! Applying a long log can take longer than an owner may be silent, so the new owner sends heartbeats between
//! steps. Otherwise the next candidate would take over before recovery completes, and so on indefinitely.

use std::time::Duration;

use super::ledger::Ledger;
use super::record::Record;
use crate::time::Timestamp;

/// Records applied per step. Other tasks of the node run between steps, and heartbeats are sent.
const RECORDS_PER_STEP: usize = 64;

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecoveryStep {
    /// Call [`LedgerRecovery::step`] again.
    Working,
    /// Append a heartbeat to the log, then call [`LedgerRecovery::step`] again.
    HeartbeatDue,
    /// The ledger is complete.
    Done,
}

/// A ledger that is being rebuilt.
#[derive(Debug)]
pub struct LedgerRecovery<'a> {
    ledger: Ledger,
    snapshot: std::vec::IntoIter<Record>,
    records: std::slice::Iter<'a, Vec<u8>>,
    heartbeat_interval: Duration,
    heartbeat_at: Timestamp,
}

impl<'a> LedgerRecovery<'a> {
    /// Starts from a snapshot and the records after it. Assumes that the stores have just confirmed this
    /// owner.
    ///
    /// # Errors
    /// Fails when the snapshot cannot be decoded.
    pub fn begin(
        snapshot: Option<&[u8]>,
        records: &'a [Vec<u8>],
        heartbeat_interval: Duration,
        now: Timestamp,
    ) -> Result<Self, speedy::Error> {
        let snapshot = snapshot.map(Ledger::snapshot_records).transpose()?.unwrap_or_default();
        let heartbeat_at = now + heartbeat_interval;
        let (snapshot, records) = (snapshot.into_iter(), records.iter());
        Ok(Self { ledger: Ledger::default(), snapshot, records, heartbeat_interval, heartbeat_at })
    }

    /// Continues from a followed ledger with the records after it.
    pub fn resume(
        followed: Ledger,
        records: &'a [Vec<u8>],
        heartbeat_interval: Duration,
        now: Timestamp,
    ) -> Self {
        let heartbeat_at = now + heartbeat_interval;
        let (snapshot, records) = (Vec::new().into_iter(), records.iter());
        Self { ledger: followed, snapshot, records, heartbeat_interval, heartbeat_at }
    }

    /// Applies the next records, unless a heartbeat is due.
    ///
    /// # Errors
    /// Fails when a record cannot be decoded.
    pub fn step(&mut self, now: Timestamp) -> Result<RecoveryStep, speedy::Error> {
        if now >= self.heartbeat_at {
            self.heartbeat_at = now + self.heartbeat_interval;
            return Ok(RecoveryStep::HeartbeatDue);
        }
        for _ in 0..RECORDS_PER_STEP {
            if let Some(record) = self.snapshot.next() {
                self.ledger.apply(record);
                continue;
            }
            match self.records.next() {
                Some(bytes) => self.ledger.apply(Record::decode(bytes)?),
                None => return Ok(RecoveryStep::Done),
            }
        }
        Ok(RecoveryStep::Working)
    }

    /// Returns the ledger. Call it after [`RecoveryStep::Done`].
    pub fn into_ledger(self) -> Ledger {
        self.ledger
    }
}
