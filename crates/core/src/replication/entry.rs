//! Entries of a shard's log.
//!
//! These types are stored and sent in binary form, so the order of fields and variants must not change.

use std::fmt;

use speedy::{Readable, Writable};

use super::replica_set::ReplicaSet;
use crate::identity::Epoch;

/// A position in a shard's log. The first entry is at position 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct LogIndex(pub u64);

impl LogIndex {
    /// The position before the first entry.
    pub const ZERO: Self = Self(0);
    /// The position of the first entry.
    pub const FIRST: Self = Self(1);

    /// Returns the position after this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }

    /// Returns the position before this one, at least zero.
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

/// The content of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum Payload {
    /// Fills a position that an earlier owner left empty.
    Noop,
    /// A record appended by an owner.
    Record {
        /// The epoch of the owner that appended it, unchanged when a later owner has it accepted again.
        origin: Epoch,
        /// The bytes of the record.
        bytes: Vec<u8>,
    },
    /// The next replica set. Once the entry is decided, no other set can become the next generation.
    NextSet {
        /// The epoch of the owner that appended it, unchanged when a later owner has it accepted again.
        origin: Epoch,
        /// The set of the next generation.
        set: ReplicaSet,
    },
    /// A part of a snapshot, which replaces all entries before its first part.
    SnapshotPart {
        /// The epoch of the owner that appended it, unchanged when a later owner has it accepted again.
        origin: Epoch,
        /// The number of this part, from 0.
        number: u32,
        /// The total number of parts.
        count: u32,
        /// The bytes of this part.
        bytes: Vec<u8>,
    },
}

impl Payload {
    /// Returns the length of the body in bytes.
    pub const fn len(&self) -> usize {
        match self {
            Self::Noop | Self::NextSet { .. } => 0,
            Self::Record { bytes, .. } | Self::SnapshotPart { bytes, .. } => bytes.len(),
        }
    }

    /// Returns the epoch of the owner that appended it, `None` for [`Payload::Noop`].
    pub const fn origin(&self) -> Option<Epoch> {
        match self {
            Self::Noop => None,
            Self::Record { origin, .. }
            | Self::NextSet { origin, .. }
            | Self::SnapshotPart { origin, .. } => Some(*origin),
        }
    }

    /// Returns whether the body is empty.
    pub const fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// An entry as a replica accepted it.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct Entry {
    /// The epoch under which it was accepted.
    pub epoch: Epoch,
    /// Its content.
    pub payload: Payload,
}

/// Bytes that an entry takes in a message or on disk besides its body, rounded up. Limits on message size and
/// disk use include it.
pub const ENTRY_OVERHEAD_BYTES: usize = 64;

impl Entry {
    /// Returns the bytes that count against the limits on message size and disk use.
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
