//! Reading a majority after it promised: which entries may be decided.
//!
//! Owns the entries read so far. Of two entries at a position the one with the higher epoch may be decided.

use std::collections::BTreeMap;

use super::entry::{Entry, IndexedEntry, LogIndex, Payload};
use super::member_progress::Promise;
use super::replica_set::StoreId;

/// What a take-over found.
pub(super) struct FoundLog {
    /// The first position that has not been dropped.
    pub(super) first: LogIndex,
    /// The last position known to be decided.
    pub(super) decided_through: LogIndex,
    /// Entries up to `decided_through`, but for those that were known.
    pub(super) decided: Vec<Payload>,
    /// Entries after `decided_through` that may be decided and must be accepted again.
    pub(super) undecided: Vec<Payload>,
}

/// Reads in progress.
///
/// Positions known to be decided are read from the one replica that knows most of them. Of the others, the
/// entry with the highest epoch among a majority is taken, as in phase 1 of Paxos.
pub(super) struct Recovery {
    first: LogIndex,
    /// The first position that is read; those before are decided and known.
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
    /// Reads from replicas that promised; with `read_undecided` off, only what is known to be decided. What
    /// is decided up to `known_through` is known already and left out.
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

    /// The replica that knows most decided positions.
    pub(super) fn source(&self) -> &StoreId {
        &self.source
    }

    /// Reads from another replica too.
    pub(super) fn add_reader(&mut self, store: &StoreId, promise: &Promise) {
        let next =
            if store == &self.source { self.read_from } else { self.decided_through.next().max(self.first) };
        self.readers.entry(store.clone()).or_insert(Reader { next, last: promise.last });
    }

    /// Where a replica is to be read next.
    pub(super) fn next_read(&self, store: &StoreId) -> Option<LogIndex> {
        let reader = self.readers.get(store)?;
        (!reader.is_done()).then_some(reader.next)
    }

    /// Takes what a replica has from `from` to `through`.
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

    /// Whether a majority, the source among it, has been read.
    pub(super) fn is_complete(&self, majority: usize) -> bool {
        let done = self.readers.values().filter(|reader| reader.is_done()).count();
        done >= majority && self.readers.get(&self.source).is_some_and(Reader::is_done)
    }

    /// What was found; `None` where the source lacks an entry that it called decided.
    pub(super) fn take_log(&mut self) -> Option<FoundLog> {
        let mut found = std::mem::take(&mut self.found);
        let last = found.keys().next_back().copied().unwrap_or_default();
        let mut decided = Vec::new();
        for index in (self.read_from.0..=self.decided_through.0).map(LogIndex) {
            decided.push(found.remove(&index)?.payload);
        }
        let open = self.decided_through.next().max(self.first);
        let undecided = (open.0..=last.0).map(LogIndex);
        let undecided =
            undecided.map(|index| found.remove(&index).map_or(Payload::Noop, |entry| entry.payload));
        let undecided = undecided.collect();
        let (first, decided_through) = (self.first, self.decided_through);
        Some(FoundLog { first, decided_through, decided, undecided })
    }
}
