//! A keyed document with revisions: its entries, the last changes, and what brings an older copy up to date.
//!
//! Owns the entries and the last changes; a delta applies only to the revision that it names.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use speedy::{Readable, Writable};
use xxhash_rust::xxh3::Xxh3;

use crate::identity::Revision;

/// Changes that a document remembers, so that copies not further behind get a delta. Chosen, not measured:
/// a copy that is further behind gets the whole document.
pub const REMEMBERED_CHANGES: usize = 64;

/// One entry set or removed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Readable, Writable)]
pub struct EntryChange {
    /// The entry's key.
    pub key: String,
    /// Its new value as JSON text; `None` removes it.
    pub value: Option<String>,
}

/// The entries that changed between two revisions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Readable, Writable)]
pub struct ChangeRecord {
    /// The revision before.
    pub base: Revision,
    /// The revision after.
    pub revision: Revision,
    /// What changed.
    pub changes: Vec<EntryChange>,
}

/// A document at one revision.
///
/// Invariant: `recent` is a chain that ends at `revision`: each record's base is the revision of the one
/// before.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, Readable, Writable)]
pub struct Document {
    revision: Revision,
    entries: BTreeMap<String, String>,
    recent: Vec<ChangeRecord>,
}

/// What brings a copy up to date.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum Update {
    /// The changes after the copy's revision.
    Delta {
        /// In order; the first is based on the copy's revision.
        records: Vec<ChangeRecord>,
        /// The digest of all entries after the last.
        digest: u64,
    },
    /// The whole document, for a copy too far behind.
    Snapshot(Document),
}

/// Why an update does not fit a copy: ask for a snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum UpdateError {
    /// The update begins at another revision than the copy's.
    #[error("the update is based on revision {base}, the copy is at {held}; ask for a snapshot")]
    Base {
        /// Where the update begins.
        base: Revision,
        /// The copy's revision.
        held: Revision,
    },
    /// The entries after the update are not the sender's.
    #[error("the copy differs from the sender's after the update to revision {revision}; ask for a snapshot")]
    Digest {
        /// The revision after the update.
        revision: Revision,
    },
}

impl Document {
    /// A document whose past is unknown.
    pub fn new(revision: Revision, entries: BTreeMap<String, String>) -> Self {
        Self { revision, entries, recent: Vec::new() }
    }

    /// The revision.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Every entry, by key.
    pub fn entries(&self) -> &BTreeMap<String, String> {
        &self.entries
    }

    /// The value of one entry.
    pub fn get(&self, key: &str) -> Option<&str> {
        self.entries.get(key).map(String::as_str)
    }

    /// The document after some changes, at a later revision.
    #[must_use]
    pub fn with_changes(&self, revision: Revision, changes: Vec<EntryChange>) -> Self {
        let mut next = self.clone();
        next.append(ChangeRecord { base: self.revision, revision, changes });
        next
    }

    /// The document with exactly these entries, at a later revision; what differs is remembered as changes.
    #[must_use]
    pub fn with_entries(&self, revision: Revision, entries: &BTreeMap<String, String>) -> Self {
        let set = entries.iter().filter(|(key, value)| self.entries.get(*key) != Some(value));
        let set = set.map(|(key, value)| EntryChange { key: key.clone(), value: Some(value.clone()) });
        let removed = self.entries.keys().filter(|key| !entries.contains_key(*key));
        let removed = removed.map(|key| EntryChange { key: key.clone(), value: None });
        self.with_changes(revision, set.chain(removed).collect())
    }

    /// What brings a copy at `after` up to date; `None` where it is not behind.
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

    /// This copy after an update.
    ///
    /// # Errors
    /// When a delta does not fit this copy.
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

    /// A digest of all entries; equal entries have equal digests on every node.
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
        if self.recent.len() > REMEMBERED_CHANGES {
            self.recent.remove(0);
        }
    }
}
