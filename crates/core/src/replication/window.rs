//! The proposer's buffer of entries that are not yet on all replicas, bounded in bytes for replicas that are
//! behind.

use std::collections::VecDeque;

use super::entry::{ENTRY_OVERHEAD_BYTES, LogIndex, Payload};

/// The last entries of the log, without gaps.
#[derive(Debug, Default)]
pub(super) struct SendWindow {
    /// The position before the first buffered entry.
    before: LogIndex,
    payloads: VecDeque<Payload>,
    bytes: usize,
}

impl SendWindow {
    /// Creates an empty window after a position.
    pub(super) fn starting_after(before: LogIndex) -> Self {
        Self { before, ..Self::default() }
    }

    /// Returns the last position of the log.
    pub(super) fn last(&self) -> LogIndex {
        LogIndex(self.before.0 + self.payloads.len() as u64)
    }

    /// Appends an entry.
    pub(super) fn push(&mut self, payload: Payload) {
        self.bytes += payload.len() + ENTRY_OVERHEAD_BYTES;
        self.payloads.push_back(payload);
    }

    /// Returns the first buffered position after `index`.
    pub(super) fn first_after(&self, index: LogIndex) -> LogIndex {
        index.max(self.before).next()
    }

    /// Returns entries from a position on, up to `maximum_bytes` but at least one.
    pub(super) fn payloads(&self, from: LogIndex, maximum_bytes: usize) -> Vec<Payload> {
        let skipped = usize::try_from(from.0.saturating_sub(self.before.0 + 1)).unwrap_or(usize::MAX);
        let mut bytes = 0;
        let mut payloads = Vec::new();
        for payload in self.payloads.iter().skip(skipped) {
            bytes += payload.len() + ENTRY_OVERHEAD_BYTES;
            if bytes > maximum_bytes && !payloads.is_empty() {
                break;
            }
            payloads.push(payload.clone());
        }
        payloads
    }

    /// Removes entries that all replicas have accepted, and the oldest decided entries while the window
    /// exceeds `maximum_bytes`.
    pub(super) fn release(&mut self, accepted_by_all: LogIndex, decided: LogIndex, maximum_bytes: usize) {
        while self.before < accepted_by_all || (self.before < decided && self.bytes > maximum_bytes) {
            let Some(payload) = self.payloads.pop_front() else { return };
            self.bytes -= payload.len() + ENTRY_OVERHEAD_BYTES;
            self.before = self.before.next();
        }
    }
}
