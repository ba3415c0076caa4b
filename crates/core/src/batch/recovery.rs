//! Puts a ledger together from what a new owner recovered, a piece at a time.
//!
//! A long log takes longer than an owner may be silent: between two pieces the new owner shows the stores
//! that it leads. Otherwise the next candidate takes the log over before the first one has read it, and so on
//! without end.

use std::time::Duration;

use super::ledger::Ledger;
use super::record::Record;
use crate::time::Timestamp;

/// Records that are applied in one piece, between which the node's other tasks go on. Chosen, not measured:
/// greater holds up heartbeats on a weak machine, smaller slows a takeover.
const PIECE_RECORDS: usize = 64;

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecoveryStep {
    /// Call again.
    Working,
    /// Append something to the log, then call again.
    HeartbeatDue,
    /// The ledger is whole.
    Done,
}

/// A ledger that is being put together.
#[derive(Debug)]
pub struct LedgerRecovery<'a> {
    ledger: Ledger,
    snapshot: std::vec::IntoIter<Record>,
    records: std::slice::Iter<'a, Vec<u8>>,
    heartbeat_interval: Duration,
    heartbeat_at: Timestamp,
}

impl<'a> LedgerRecovery<'a> {
    /// Begins with a snapshot and the records after it. The stores have just seen this owner lead.
    ///
    /// # Errors
    /// When the snapshot is none of ours.
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

    /// Goes on with a ledger that was followed, by the records that came after it.
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

    /// Applies one piece, unless a heartbeat is due.
    ///
    /// # Errors
    /// When a record is none of ours.
    pub fn step(&mut self, now: Timestamp) -> Result<RecoveryStep, speedy::Error> {
        if now >= self.heartbeat_at {
            self.heartbeat_at = now + self.heartbeat_interval;
            return Ok(RecoveryStep::HeartbeatDue);
        }
        for _ in 0..PIECE_RECORDS {
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

    /// The ledger, once it is whole.
    pub fn into_ledger(self) -> Ledger {
        self.ledger
    }
}
