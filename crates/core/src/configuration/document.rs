//! A versioned key-value document with incremental updates.
//!
//! A document retains its recent changes. Copies that are slightly behind are updated by a delta, others by a
//! snapshot. A delta applies only to the revision on which it is based.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use speedy::{Readable, Writable};
use xxhash_rust::xxh3::Xxh3;

use crate::identity::Revision;

/// Number of change records that a document retains for deltas.
pub const RETAINED_CHANGES: usize = 64;

/// A change that sets or removes one entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Readable, Writable)]
pub struct EntryChange {
    /// Key of the entry.
    pub key: String,
    /// New value as JSON text; `None` removes the entry.
    pub value: Option<String>,
}

/// The entries that changed between two revisions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Readable, Writable)]
pub struct ChangeRecord {
    /// Revision before the changes.
    pub base: Revision,
    /// Revision after the changes.
    pub revision: Revision,
    /// The changed entries.
    pub changes: Vec<EntryChange>,
}

/// A document at one revision.
///
/// Invariant: `recent` is a chain that ends at `revision`: the base of each record is the revision of the
/// previous record.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, Readable, Writable)]
pub struct Document {
    revision: Revision,
    entries: BTreeMap<String, String>,
    recent: Vec<ChangeRecord>,
}

/// An update that brings a copy of a document up to date.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum Update {
    /// The changes after the copy's revision.
    Delta {
        /// Change records in order. The first is based on the copy's revision.
        records: Vec<ChangeRecord>,
        /// Digest of all entries after the last record.
        digest: u64,
    },
    /// The whole document.
    Snapshot(Document),
}

/// Why an update does not apply to a copy. The remedy is to request a snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum UpdateError {
    /// The update is based on a different revision than the copy's.
    #[error("the update is based on revision {base}, the copy is at {held}; ask for a snapshot")]
    Base {
        /// Base revision of the update.
        base: Revision,
        /// The copy's revision.
        held: Revision,
    },
    /// The entries after the update differ from the sender's.
    #[error("the copy differs from the sender's after the update to revision {revision}; ask for a snapshot")]
    Digest {
        /// The revision after the update.
        revision: Revision,
    },
}

impl Document {
    /// Creates a document without retained changes.
    pub fn new(revision: Revision, entries: BTreeMap<String, String>) -> Self {
        Self { revision, entries, recent: Vec::new() }
    }

    /// Returns the revision.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns all entries by key.
    pub fn entries(&self) -> &BTreeMap<String, String> {
        &self.entries
    }

    /// Returns the value of an entry.
    pub fn get(&self, key: &str) -> Option<&str> {
        self.entries.get(key).map(String::as_str)
    }

    /// Returns the document with changes applied, at a later revision.
    #[must_use]
    pub fn with_changes(&self, revision: Revision, changes: Vec<EntryChange>) -> Self {
        let mut next = self.clone();
        next.append(ChangeRecord { base: self.revision, revision, changes });
        next
    }

    /// Returns the document with its entries replaced, at a later revision. Records the differences as changes.
    #[must_use]
    pub fn with_entries(&self, revision: Revision, entries: &BTreeMap<String, String>) -> Self {
        let set = entries.iter().filter(|(key, value)| self.entries.get(*key) != Some(value));
        let set = set.map(|(key, value)| EntryChange { key: key.clone(), value: Some(value.clone()) });
        let removed = self.entries.keys().filter(|key| !entries.contains_key(*key));
        let removed = removed.map(|key| EntryChange { key: key.clone(), value: None });
        self.with_changes(revision, set.chain(removed).collect())
    }

    /// Returns the update for a copy at revision `after`, or `None` if the copy is not behind.
    pub fn update_after(&self, after: Revision) -> Option<Update> {
        if after >= self.revision {
            return None;
        }
        let first = self.recent.iter().position(|record| record.base == after);
        let update = match first {
            Some(first) => {
                let records = self.recent.iter().skip(first).cloned().collect();
                Update::Delta { records, digest: self.digest() }
            }
            None => Update::Snapshot(self.clone()),
        };
        Some(update)
    }

    /// Returns this copy with an update applied.
    ///
    /// # Errors
    /// Returns an error if a delta does not apply to this copy.
    pub fn with_update(&self, update: Update) -> Result<Self, UpdateError> {
        let (records, digest) = match update {
            Update::Snapshot(document) => return Ok(document),
            Update::Delta { records, digest } => (records, digest),
        };
        let mut next = self.clone();
        for record in records {
            if record.base != next.revision {
                return Err(UpdateError::Base { base: record.base, held: next.revision });
            }
            next.append(record);
        }
        if next.digest() != digest {
            return Err(UpdateError::Digest { revision: next.revision });
        }
        Ok(next)
    }

    /// Returns a digest of all entries. Equal entries have equal digests on all nodes.
    pub fn digest(&self) -> u64 {
        let mut hasher = Xxh3::new();
        for (key, value) in &self.entries {
            for text in [key, value] {
                hasher.update(&text.len().to_le_bytes());
                hasher.update(text.as_bytes());
            }
        }
        hasher.digest()
    }

    fn append(&mut self, record: ChangeRecord) {
        for change in &record.changes {
            match &change.value {
                Some(value) => self.entries.insert(change.key.clone(), value.clone()),
                None => self.entries.remove(&change.key),
            };
        }
        self.revision = record.revision;
        self.recent.push(record);
        if self.recent.len() > RETAINED_CHANGES {
            self.recent.remove(0);
        }
    }
}
