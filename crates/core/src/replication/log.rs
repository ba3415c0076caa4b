//! Assembles a log from its entries, and splits a snapshot into entries.
//!
//! Assembling joins the parts of a snapshot and skips records of superseded owners. It expects consecutive
//! entries in order.

use super::entry::{LogIndex, Payload};
use super::replica_set::ReplicaSet;
use super::snapshot_parts::SnapshotParts;
use crate::identity::Epoch;

/// Size of a part of a snapshot, in bytes. Stores keep an entry in a page whose size is a power of two. The part
/// leaves room in a page of 256 KiB for the entry's key and encoding and for a leaf of small entries beside it.
pub const SNAPSHOT_PART_BYTES: usize = (256 << 10) - (8 << 10);

/// The log that an owner recovers when it takes a shard over.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecoveredLog {
    /// The last snapshot, which replaces all records before `records`.
    pub snapshot: Option<Vec<u8>>,
    /// Records after the snapshot, in order. Contains every acknowledged record and may contain others.
    pub records: Vec<Vec<u8>>,
    /// The last replica set that an owner appended. The set is in use already if its generation is not later
    /// than the current one.
    pub next_set: Option<ReplicaSet>,
    /// The epoch of the last owner that appended.
    pub latest_origin: Epoch,
}

impl RecoveredLog {
    /// Returns the size of the snapshot and the records in bytes.
    pub fn bytes(&self) -> usize {
        let records: usize = self.records.iter().map(Vec::len).sum();
        records + self.snapshot.as_ref().map_or(0, Vec::len)
    }
}

/// The prefix of a log that an owner knows before it takes the log over.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KnownLog {
    /// All positions up to this one are decided and known.
    pub through: LogIndex,
    /// The epoch of the last owner that appended an entry of the prefix.
    pub latest_origin: Epoch,
}

/// The result of adding one entry to a log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum LogAddition {
    /// No complete item: a no-op, a skipped record or a part of an incomplete snapshot.
    Nothing,
    /// A record.
    Record(Vec<u8>),
    /// A complete snapshot, which replaces all records before it.
    Snapshot(Vec<u8>),
    /// The next replica set.
    NextSet(ReplicaSet),
}

/// Assembles a log from consecutive entries. A snapshot with a missing part is ignored: its owner was
/// superseded while writing it, and no entry was removed for it.
///
/// A record that an owner wrote to a minority can be accepted again later, at a position after records of a
/// later owner that did not know of it. Such a record was never acknowledged: if it had been decided, the
/// later owner would have found it and appended its own records after it. `skip_superseded` skips these
/// records, so that no record follows one of a later owner.
#[derive(Debug)]
pub(crate) struct LogAssembler {
    parts: PartialSnapshot,
    latest_origin: Epoch,
    skip_superseded: bool,
}

impl LogAssembler {
    /// Creates an assembler for the entries after those that owners up to epoch `latest_origin` appended.
    pub fn new(latest_origin: Epoch, skip_superseded: bool) -> Self {
        Self { parts: PartialSnapshot::default(), latest_origin, skip_superseded }
    }

    /// Returns the epoch of the last owner that appended.
    pub const fn latest_origin(&self) -> Epoch {
        self.latest_origin
    }

    /// Adds the next entry.
    pub fn push(&mut self, payload: Payload) -> LogAddition {
        let origin = payload.origin().unwrap_or(self.latest_origin);
        if self.skip_superseded && origin < self.latest_origin {
            self.parts.discard();
            return LogAddition::Nothing;
        }
        self.latest_origin = origin.max(self.latest_origin);
        if !matches!(payload, Payload::SnapshotPart { .. }) {
            self.parts.discard();
        }
        match payload {
            Payload::Noop => LogAddition::Nothing,
            Payload::Record { bytes, .. } => LogAddition::Record(bytes),
            Payload::NextSet { set, .. } => LogAddition::NextSet(set),
            Payload::SnapshotPart { number, count, bytes, .. } => {
                self.parts.add(number, count, &bytes).map_or(LogAddition::Nothing, LogAddition::Snapshot)
            }
        }
    }
}

/// Assembles the log from the entries after the known prefix.
pub fn assemble(
    payloads: impl IntoIterator<Item = Payload>,
    known: KnownLog,
    skip_superseded: bool,
) -> RecoveredLog {
    let mut assembler = LogAssembler::new(known.latest_origin, skip_superseded);
    let mut recovered = RecoveredLog::default();
    for payload in payloads {
        match assembler.push(payload) {
            LogAddition::Nothing => {}
            LogAddition::Record(bytes) => recovered.records.push(bytes),
            LogAddition::NextSet(set) => recovered.next_set = Some(set),
            LogAddition::Snapshot(snapshot) => {
                recovered.snapshot = Some(snapshot);
                recovered.records.clear();
            }
        }
    }
    recovered.latest_origin = assembler.latest_origin();
    recovered
}

/// Splits a snapshot into parts of at most `part_bytes` bytes. An empty snapshot is one empty part.
pub fn split_snapshot(snapshot: &[u8], part_bytes: usize, origin: Epoch) -> Vec<Payload> {
    SnapshotParts::new(snapshot.to_vec(), part_bytes, origin).collect()
}

/// The consecutive parts of a snapshot that were read so far.
#[derive(Debug, Default)]
struct PartialSnapshot {
    next: u32,
    bytes: Vec<u8>,
}

impl PartialSnapshot {
    fn discard(&mut self) {
        self.next = 0;
        self.bytes.clear();
    }

    /// Adds a part. Returns the snapshot once it is complete.
    fn add(&mut self, number: u32, count: u32, bytes: &[u8]) -> Option<Vec<u8>> {
        if number == 0 {
            self.discard();
        }
        if number != self.next {
            self.discard();
            return None;
        }
        self.bytes.extend_from_slice(bytes);
        self.next += 1;
        if self.next < count {
            return None;
        }
        self.next = 0;
        Some(std::mem::take(&mut self.bytes))
    }
}
