//! Entries of a shard's log.
//!
//! Stored and sent as they stand: the order of fields and variants must not change.

use std::fmt;

use speedy::{Readable, Writable};

use super::replica_set::ReplicaSet;
use crate::identity::Epoch;

/// A position in a shard's log; the first entry has 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct LogIndex(pub u64);

impl LogIndex {
    /// Before the first entry.
    pub const ZERO: Self = Self(0);
    /// The first entry.
    pub const FIRST: Self = Self(1);

    /// The position after this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }

    /// The position before this one, never below zero.
    #[must_use]
    pub const fn previous(self) -> Self {
        Self(self.0.saturating_sub(1))
    }
}

impl fmt::Display for LogIndex {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// What an entry holds.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum Payload {
    /// Fills a position that an earlier owner left open.
    Noop,
    /// A record of an owner's.
    Record {
        /// The epoch of the owner that made it; stays when a later owner has it accepted again.
        origin: Epoch,
        /// Its bytes.
        bytes: Vec<u8>,
    },
    /// The members that follow: once it is decided, the next generation is this set and no other.
    NextSet {
        /// The epoch of the owner that made it; stays when a later owner has it accepted again.
        origin: Epoch,
        /// The next generation.
        set: ReplicaSet,
    },
    /// A part of a snapshot, which stands for all entries before its first part.
    SnapshotPart {
        /// The epoch of the owner that made it; stays when a later owner has it accepted again.
        origin: Epoch,
        /// Which part this is; the first is 0.
        number: u32,
        /// How many parts there are.
        count: u32,
        /// Its bytes.
        bytes: Vec<u8>,
    },
}

impl Payload {
    /// Bytes of the body.
    pub const fn len(&self) -> usize {
        match self {
            Self::Noop | Self::NextSet { .. } => 0,
            Self::Record { bytes, .. } | Self::SnapshotPart { bytes, .. } => bytes.len(),
        }
    }

    /// The epoch of the owner that made it; `None` for a filled gap.
    pub const fn origin(&self) -> Option<Epoch> {
        match self {
            Self::Noop => None,
            Self::Record { origin, .. }
            | Self::NextSet { origin, .. }
            | Self::SnapshotPart { origin, .. } => Some(*origin),
        }
    }

    /// Whether there is no body.
    pub const fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// An entry as a replica accepted it.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct Entry {
    /// The epoch under which it was accepted.
    pub epoch: Epoch,
    /// What it holds.
    pub payload: Payload,
}

/// Bytes that an entry takes in a message or on disk besides its body, rounded up. Chosen, not measured:
/// limits of messages and disks count it, so too little fills a disk before the limit is met.
pub(crate) const ENTRY_OVERHEAD_BYTES: usize = 64;

impl Entry {
    /// Bytes that the entry counts for against limits of messages and disks.
    pub const fn cost(&self) -> usize {
        self.payload.len() + ENTRY_OVERHEAD_BYTES
    }
}

/// An entry and its position.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct IndexedEntry {
    /// The position.
    pub index: LogIndex,
    /// The entry.
    pub entry: Entry,
}
