//! Reading the logs of a majority after it promised, to find the entries that may be decided.
//!
//! Of two entries at a position, only the one with the higher epoch may be decided.

use std::collections::BTreeMap;

use super::entry::{Entry, IndexedEntry, LogIndex, Payload};
use super::member_progress::Promise;
use super::replica_set::StoreId;

/// The entries that a take-over read.
pub(super) struct RecoveredEntries {
    /// The first position that has not been removed.
    pub(super) first: LogIndex,
    /// The last position known to be decided.
    pub(super) decided_through: LogIndex,
    /// Entries up to `decided_through`, without those that were known before.
    pub(super) decided: Vec<Payload>,
    /// Entries after `decided_through` that may be decided and must be accepted again.
    pub(super) undecided: Vec<Payload>,
}

/// The state of reading the logs of a majority.
///
/// Positions known to be decided are read from the replica that knows the most of them. For later positions,
/// the entry with the highest epoch in a majority is selected, as in phase 1 of Paxos.
pub(super) struct Recovery {
    first: LogIndex,
    /// The first position to read. Earlier positions are decided and known.
    read_from: LogIndex,
    decided_through: LogIndex,
    source: StoreId,
    readers: BTreeMap<StoreId, Reader>,
    found: BTreeMap<LogIndex, Entry>,
}

struct Reader {
    next: LogIndex,
    last: LogIndex,
}

impl Reader {
    fn is_done(&self) -> bool {
        self.next > self.last
    }
}

impl Recovery {
    /// Starts reading from replicas that promised. Skips decided entries up to `known_through`, which the
    /// caller knows. Reads only entries known to be decided if `read_undecided` is false.
    pub(super) fn new(
        promises: &[(StoreId, Promise)],
        read_undecided: bool,
        known_through: LogIndex,
    ) -> Self {
        let first = promises.iter().map(|(_, promise)| promise.position.first()).max().unwrap_or_default();
        let source = promises.iter().max_by_key(|(_, promise)| promise.position.decided_through);
        let (source, decided_through) = match source {
            Some((store, promise)) => (store.clone(), promise.position.decided_through),
            None => (StoreId::default(), LogIndex::ZERO),
        };
        let (readers, found) = (BTreeMap::new(), BTreeMap::new());
        let read_from = first.max(known_through.min(decided_through).next());
        let mut recovery = Self { first, read_from, decided_through, source, readers, found };
        for (store, promise) in promises {
            recovery.add_reader(store, promise);
        }
        if !read_undecided {
            recovery.readers.values_mut().for_each(|reader| reader.last = reader.last.min(decided_through));
        }
        recovery
    }

    /// Returns the replica that knows the most decided positions.
    pub(super) fn source(&self) -> &StoreId {
        &self.source
    }

    /// Adds a replica to read from.
    pub(super) fn add_reader(&mut self, store: &StoreId, promise: &Promise) {
        let next =
            if store == &self.source { self.read_from } else { self.decided_through.next().max(self.first) };
        self.readers.entry(store.clone()).or_insert(Reader { next, last: promise.last });
    }

    /// Returns the next position to read from a replica, or `None` if it is read completely.
    pub(super) fn next_read(&self, store: &StoreId) -> Option<LogIndex> {
        let reader = self.readers.get(store)?;
        (!reader.is_done()).then_some(reader.next)
    }

    /// Adds a replica's entries from `from` to `through`.
    pub(super) fn add(
        &mut self,
        store: &StoreId,
        from: LogIndex,
        through: LogIndex,
        entries: Vec<IndexedEntry>,
    ) {
        let is_source = store == &self.source;
        let Some(reader) = self.readers.get_mut(store) else { return };
        if from != reader.next {
            return;
        }
        reader.next = through.next().max(from.next());
        for IndexedEntry { index, entry } in entries {
            if index <= self.decided_through && !is_source {
                continue;
            }
            let known = self.found.get(&index);
            if known.is_none_or(|known| known.epoch < entry.epoch) {
                self.found.insert(index, entry);
            }
        }
    }

    /// Returns whether a majority that includes the source has been read.
    pub(super) fn is_complete(&self, majority: usize) -> bool {
        let done = self.readers.values().filter(|reader| reader.is_done()).count();
        done >= majority && self.readers.get(&self.source).is_some_and(Reader::is_done)
    }

    /// Returns the entries read, or `None` if the source lacks an entry that it reported as decided.
    pub(super) fn take_log(&mut self) -> Option<RecoveredEntries> {
        let mut found = std::mem::take(&mut self.found);
        let last = found.keys().next_back().copied().unwrap_or_default();
        let mut decided = Vec::new();
        for index in (self.read_from.0..=self.decided_through.0).map(LogIndex) {
            decided.push(found.remove(&index)?.payload);
        }
        let first_undecided = self.decided_through.next().max(self.first);
        let undecided = (first_undecided.0..=last.0).map(LogIndex);
        let undecided =
            undecided.map(|index| found.remove(&index).map_or(Payload::Noop, |entry| entry.payload));
        let undecided = undecided.collect();
        let (first, decided_through) = (self.first, self.decided_through);
        Some(RecoveredEntries { first, decided_through, decided, undecided })
    }
}
