//! Follows the log of a shard that another node owns, so that a takeover reads only what came last.
//!
//! Reads what a store calls decided, in order; decided entries never change, so that what was followed is a
//! beginning of what any later owner recovers. Applying a record a second time changes nothing, so that an
//! overlap does no harm.

use std::collections::BTreeMap;

use super::ledger::Ledger;
use super::record::Record;
use crate::identity::{BatchId, Epoch};
use crate::replication::entry::{IndexedEntry, LogIndex};
use crate::replication::log::{KnownLog, LogAddition, LogAssembler};

/// Decided entries as a store gave them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DecidedPage {
    /// The entries, in order.
    pub entries: Vec<IndexedEntry>,
    /// The first position that has not been dropped; what came before is in a snapshot that begins there.
    pub base: LogIndex,
    /// All positions up to this one are decided, as far as the store knows.
    pub decided_through: LogIndex,
}

/// A ledger that follows the log.
#[derive(Debug)]
pub struct LedgerFollower {
    ledger: Ledger,
    assembler: LogAssembler,
    through: LogIndex,
    held_bytes: usize,
    /// Where each job was taken.
    taken_at: BTreeMap<BatchId, LogIndex>,
    /// Whether the ledger holds all up to `through`: not so after the beginning was dropped, until the
    /// snapshot that stands for it was read to its end.
    is_complete: bool,
}

impl Default for LedgerFollower {
    fn default() -> Self {
        Self::beginning_after(LogIndex::ZERO)
    }
}

impl LedgerFollower {
    /// A follower that begins after a position: its ledger holds the jobs that were taken later, and is not
    /// whole.
    pub fn beginning_after(through: LogIndex) -> Self {
        let assembler = LogAssembler::new(Epoch::default(), true);
        let is_complete = through == LogIndex::ZERO;
        Self {
            ledger: Ledger::default(),
            assembler,
            through,
            held_bytes: 0,
            taken_at: BTreeMap::new(),
            is_complete,
        }
    }

    /// The position to read next.
    pub const fn next(&self) -> LogIndex {
        self.through.next()
    }

    /// Bytes of the log so far: the last snapshot and the records after it.
    pub const fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    /// Whether a takeover can go on from here.
    pub const fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// What is known of the log, where [`Self::is_complete`].
    pub const fn known(&self) -> KnownLog {
        KnownLog { through: self.through, latest_origin: self.assembler.latest_origin() }
    }

    /// Takes what a store has from [`Self::next`] on. Returns whether it has more.
    ///
    /// # Errors
    /// When a record is none of ours; what was followed is of no use then.
    pub fn take(&mut self, page: DecidedPage) -> Result<bool, speedy::Error> {
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
                        self.taken_at.entry(job.id.clone()).or_insert(index);
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

    /// The position up to which all was read.
    pub const fn through(&self) -> LogIndex {
        self.through
    }

    /// The position before the first job that is open, where all open jobs were taken after the beginning.
    pub fn before_open_jobs(&self) -> Option<LogIndex> {
        let open = self.ledger.jobs().iter().filter(|(_, state)| !state.is_ended);
        let taken_at = open.map(|(batch, _)| self.taken_at.get(batch).copied());
        let first = taken_at.collect::<Option<Vec<LogIndex>>>()?.into_iter().min()?;
        Some(first.previous())
    }

    /// The ledger as it was followed.
    pub fn into_ledger(self) -> Ledger {
        self.ledger
    }
}
