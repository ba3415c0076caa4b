//! Follows the log of a shard that another node owns, so that a takeover only has to read the latest entries.
//!
//! Reads only entries that a store knows to be decided. These never change, so what was read is a prefix of
//! what any later owner recovers. Applying a record a second time changes nothing, so overlapping reads are
//! harmless.

use std::collections::BTreeMap;

use super::ledger::Ledger;
use super::record::Record;
use crate::identity::{BatchId, Epoch};
use crate::replication::entry::{IndexedEntry, LogIndex};
use crate::replication::log::{KnownLog, LogAddition, LogAssembler};

/// Decided entries returned by a store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DecidedPage {
    /// The entries, in order.
    pub entries: Vec<IndexedEntry>,
    /// The first retained position; earlier entries are replaced by a snapshot that begins there.
    pub base: LogIndex,
    /// The last position up to which all are decided, as far as the store knows.
    pub decided_through: LogIndex,
}

/// A ledger that is built while following the log.
#[derive(Debug)]
pub struct LedgerFollower {
    ledger: Ledger,
    assembler: LogAssembler,
    through: LogIndex,
    held_bytes: usize,
    /// Log position at which each job was accepted.
    accepted_at: BTreeMap<BatchId, LogIndex>,
    /// Whether the ledger holds everything up to `through`. False after the beginning of the log was
    /// truncated, until the snapshot that replaces it has been read completely.
    is_complete: bool,
}

impl Default for LedgerFollower {
    fn default() -> Self {
        Self::beginning_after(LogIndex::ZERO)
    }
}

impl LedgerFollower {
    /// Creates a follower that begins after a position. Its ledger holds only the jobs accepted later, and is
    /// complete only if the position is zero.
    pub fn beginning_after(through: LogIndex) -> Self {
        let assembler = LogAssembler::new(Epoch::default(), true);
        let is_complete = through == LogIndex::ZERO;
        Self {
            ledger: Ledger::default(),
            assembler,
            through,
            held_bytes: 0,
            accepted_at: BTreeMap::new(),
            is_complete,
        }
    }

    /// Returns the position to read next.
    pub const fn next(&self) -> LogIndex {
        self.through.next()
    }

    /// Returns the size in bytes of the last snapshot and the records after it.
    pub const fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    /// Returns whether a takeover can continue from this ledger.
    pub const fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// Returns what is known of the log, if [`Self::is_complete`].
    pub const fn known(&self) -> KnownLog {
        KnownLog { through: self.through, latest_origin: self.assembler.latest_origin() }
    }

    /// Applies a page read from [`Self::next`] on. Returns whether the store has more.
    ///
    /// # Errors
    /// Fails when a record cannot be decoded; the follower must then be discarded.
    pub fn apply_page(&mut self, page: DecidedPage) -> Result<bool, speedy::Error> {
        if page.base > self.next() {
            *self = Self::beginning_after(page.base.previous());
        }
        let before = self.through;
        for IndexedEntry { index, entry } in page.entries {
            if index != self.next() {
                continue;
            }
            self.through = index;
            match self.assembler.push(entry.payload) {
                LogAddition::Nothing | LogAddition::NextSet(_) => {}
                LogAddition::Record(bytes) => {
                    self.held_bytes += bytes.len();
                    let record = Record::decode(&bytes)?;
                    if let Record::Accepted(job) = &record {
                        self.accepted_at.entry(job.id.clone()).or_insert(index);
                    }
                    self.ledger.apply(record);
                }
                LogAddition::Snapshot(bytes) => {
                    self.held_bytes = bytes.len();
                    self.is_complete = true;
                    self.ledger = Ledger::default();
                    Ledger::snapshot_records(&bytes)?
                        .into_iter()
                        .for_each(|record| self.ledger.apply(record));
                }
            }
        }
        Ok(self.through > before && self.through < page.decided_through)
    }

    /// Returns the last position that was read.
    pub const fn through(&self) -> LogIndex {
        self.through
    }

    /// Returns the position before the first open job, or `None` if an open job was accepted before the
    /// follower's beginning or no job is open.
    pub fn before_open_jobs(&self) -> Option<LogIndex> {
        let open = self.ledger.jobs().iter().filter(|(_, state)| !state.is_ended);
        let accepted_at = open.map(|(batch, _)| self.accepted_at.get(batch).copied());
        let first = accepted_at.collect::<Option<Vec<LogIndex>>>()?.into_iter().min()?;
        Some(first.previous())
    }

    /// Returns the ledger built so far.
    pub fn into_ledger(self) -> Ledger {
        self.ledger
    }
}
