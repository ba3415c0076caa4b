//! Splits a snapshot into entries one at a time, so that few of them are held beside it.

use super::entry::Payload;
use crate::identity::Epoch;

/// The parts of a snapshot that are not appended yet. An empty snapshot is one empty part.
#[derive(Debug)]
pub(super) struct SnapshotParts {
    snapshot: Vec<u8>,
    part_bytes: usize,
    origin: Epoch,
    next: u32,
    count: u32,
}

impl SnapshotParts {
    /// Splits a snapshot into parts of at most `part_bytes` bytes.
    pub(super) fn new(snapshot: Vec<u8>, part_bytes: usize, origin: Epoch) -> Self {
        let part_bytes = part_bytes.max(1);
        let count = u32::try_from(snapshot.len().div_ceil(part_bytes).max(1)).unwrap_or(u32::MAX);
        Self { snapshot, part_bytes, origin, next: 0, count }
    }

    /// Returns the number of all parts.
    pub(super) const fn total(&self) -> u32 {
        self.count
    }

    /// Returns the maximum size of a part in bytes.
    pub(super) const fn part_bytes(&self) -> usize {
        self.part_bytes
    }

    /// Returns whether no part is left.
    pub(super) const fn is_empty(&self) -> bool {
        self.next >= self.count
    }
}

impl Iterator for SnapshotParts {
    type Item = Payload;

    fn next(&mut self) -> Option<Payload> {
        if self.is_empty() {
            return None;
        }
        let (number, count, origin) = (self.next, self.count, self.origin);
        let rest = self.snapshot.get(number as usize * self.part_bytes..).unwrap_or_default();
        let bytes = rest.get(..self.part_bytes).unwrap_or(rest).to_vec();
        self.next += 1;
        Some(Payload::SnapshotPart { origin, number, count, bytes })
    }
}
