//! Entries that a proposer still has to get to its replicas.
//!
//! Owns entries from the last position that all replicas have on, within a bound of bytes for those that are
//! behind.

use std::collections::VecDeque;

use super::entry::{ENTRY_OVERHEAD_BYTES, LogIndex, Payload};

/// Consecutive entries at the end of the log.
#[derive(Debug, Default)]
pub(super) struct Window {
    /// The position before the first entry kept.
    before: LogIndex,
    payloads: VecDeque<Payload>,
    bytes: usize,
}

impl Window {
    /// An empty window after a position.
    pub(super) fn starting_after(before: LogIndex) -> Self {
        Self { before, ..Self::default() }
    }

    /// The last position.
    pub(super) fn last(&self) -> LogIndex {
        LogIndex(self.before.0 + self.payloads.len() as u64)
    }

    /// Adds an entry at the end.
    pub(super) fn push(&mut self, payload: Payload) {
        self.bytes += payload.len() + ENTRY_OVERHEAD_BYTES;
        self.payloads.push_back(payload);
    }

    /// The first position kept after `index`.
    pub(super) fn first_after(&self, index: LogIndex) -> LogIndex {
        index.max(self.before).next()
    }

    /// Entries from a position on, up to `maximum_bytes` but at least one.
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

    /// Drops entries that are everywhere, and decided ones above the limit.
    pub(super) fn release(&mut self, everywhere: LogIndex, decided: LogIndex, maximum_bytes: usize) {
        while self.before < everywhere || (self.before < decided && self.bytes > maximum_bytes) {
            let Some(payload) = self.payloads.pop_front() else { return };
            self.bytes -= payload.len() + ENTRY_OVERHEAD_BYTES;
            self.before = self.before.next();
        }
    }
}
