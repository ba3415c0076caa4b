//! From entries to what an owner recovers, and from a snapshot to entries.
//!
//! Leaves out what a later owner overtook, and joins the parts of a snapshot; relies on entries in order
//! without a gap.

use super::entry::{LogIndex, Payload};
use super::replica_set::ReplicaSet;
use crate::identity::Epoch;

/// What an owner finds when it takes a shard over.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecoveredLog {
    /// The last snapshot, which stands for all records before `records`.
    pub snapshot: Option<Vec<u8>>,
    /// Records after the snapshot, in order. Each may have been acknowledged; none that was is missing.
    pub records: Vec<Vec<u8>>,
    /// The last set that an owner chose to follow; it is in force already where its generation is not a later
    /// one.
    pub next_set: Option<ReplicaSet>,
    /// The epoch of the last owner that appended.
    pub latest_origin: Epoch,
}

impl RecoveredLog {
    /// Bytes of the snapshot and the records.
    pub fn bytes(&self) -> usize {
        let records: usize = self.records.iter().map(Vec::len).sum();
        records + self.snapshot.as_ref().map_or(0, Vec::len)
    }
}

/// What an owner knows already of a log that it takes over.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KnownLog {
    /// All positions up to this one are decided and known.
    pub through: LogIndex,
    /// The epoch of the last owner that appended one of them.
    pub latest_origin: Epoch,
}

/// What one more entry adds to a log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum LogAddition {
    /// Nothing yet, or nothing at all.
    Nothing,
    /// A record.
    Record(Vec<u8>),
    /// A snapshot, which stands for all records before it.
    Snapshot(Vec<u8>),
    /// The set that follows.
    NextSet(ReplicaSet),
}

/// Puts a log together from its entries in order. A snapshot of which a part is missing counts for nothing:
/// its owner was superseded while writing it, and nothing was dropped for it.
///
/// A position can come to hold what an owner left at a minority, after positions of a later owner that knew
/// nothing of it. Such a record was never acknowledged: had it been decided, the later owner would have found
/// it, and its own records would lie behind it. With `skip_superseded` it is left out, so that no record
/// follows one of a later owner.
#[derive(Debug)]
pub(crate) struct LogAssembler {
    parts: PartialSnapshot,
    latest_origin: Epoch,
    skip_superseded: bool,
}

impl LogAssembler {
    /// Begins after entries of which the last was made under `latest_origin`.
    pub fn new(latest_origin: Epoch, skip_superseded: bool) -> Self {
        Self { parts: PartialSnapshot::default(), latest_origin, skip_superseded }
    }

    /// The epoch of the last owner that appended.
    pub const fn latest_origin(&self) -> Epoch {
        self.latest_origin
    }

    /// Takes the next entry.
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

/// What the entries after what is known amount to.
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

/// Cuts a snapshot into parts of at most `part_bytes`; an empty snapshot is one empty part.
pub fn split_snapshot(snapshot: &[u8], part_bytes: usize, origin: Epoch) -> Vec<Payload> {
    if snapshot.is_empty() {
        return vec![Payload::SnapshotPart { origin, number: 0, count: 1, bytes: Vec::new() }];
    }
    let chunks = snapshot.chunks(part_bytes.max(1));
    let count = u32::try_from(chunks.len()).unwrap_or(u32::MAX);
    let numbered = (0..count).zip(chunks);
    let part = |(number, bytes): (u32, &[u8])| Payload::SnapshotPart {
        origin,
        number,
        count,
        bytes: bytes.to_vec(),
    };
    numbered.map(part).collect()
}

/// Parts of a snapshot read so far, without a gap.
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

    /// Adds a part; gives the snapshot once it is whole.
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
