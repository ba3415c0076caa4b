//! From entries to what an owner recovers, and from a snapshot to entries.

use super::entry::Payload;
use super::replica_set::ReplicaSet;
use crate::identity::Epoch;

/// What an owner finds when it takes a shard over.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecoveredLog {
    /// The last snapshot, which stands for all records before `records`.
    pub snapshot: Option<Vec<u8>>,
    /// Records after the snapshot, in order. Each may have been acknowledged; none that was is missing.
    pub records: Vec<Vec<u8>>,
    /// The last set that an owner chose to follow; it is in force already where its generation is not a later one.
    pub next_set: Option<ReplicaSet>,
    /// The epoch of the last owner that appended.
    pub latest_origin: Epoch,
}

/// Puts a log together from its entries in order. A snapshot of which a part is missing counts for nothing: its
/// owner was superseded while writing it, and nothing was dropped for it.
///
/// A position can come to hold what an owner left at a minority, after positions of a later owner that knew nothing
/// of it. Such a record was never acknowledged: had it been decided, the later owner would have found it, and its
/// own records would lie behind it. With `skip_overtaken` it is left out, so that no record follows one of a later
/// owner.
pub fn assemble(payloads: impl IntoIterator<Item = Payload>, skip_overtaken: bool) -> RecoveredLog {
    let mut recovered = RecoveredLog::default();
    let mut parts = PartialSnapshot::default();
    let mut latest_origin = Epoch::default();
    for payload in payloads {
        let origin = payload.origin().unwrap_or(latest_origin);
        if skip_overtaken && origin < latest_origin {
            parts.discard();
            continue;
        }
        latest_origin = origin.max(latest_origin);
        recovered.latest_origin = latest_origin;
        match payload {
            Payload::Noop => parts.discard(),
            Payload::Record { bytes, .. } => {
                parts.discard();
                recovered.records.push(bytes);
            }
            Payload::NextSet { set, .. } => {
                parts.discard();
                recovered.next_set = Some(set);
            }
            Payload::SnapshotPart { number, count, bytes, .. } => {
                if let Some(snapshot) = parts.add(number, count, &bytes) {
                    recovered.snapshot = Some(snapshot);
                    recovered.records.clear();
                }
            }
        }
    }
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
#[derive(Default)]
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
