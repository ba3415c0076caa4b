//! The configuration as the object API keeps it: the document and the changes that it has taken in.
//!
//! Owns the ids of changes taken in, so that a repeated change takes effect once. Stored as JSON under its
//! present names.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};
use serde_json::Value;
use xxhash_rust::xxh3::xxh3_64;

use super::document::{Document, EntryChange};
use super::path::LevelPath;
use super::schema::{self, SchemaError};
use super::tree::SettingsTree;
use crate::identity::Revision;

/// The key of the register in the object API.
pub const OBJECT_KEY: &str = "config/tree";

/// Change ids that are remembered; a repeat of an older one is refused by its base revision. Chosen, not
/// measured: with fewer, an operator who repeats a change late is told of a conflict although it was
/// written.
pub(crate) const REMEMBERED_CHANGE_IDS: usize = 256;

/// Characters in a change id at most. Chosen, not measured: longer takes memory for each of the ids that are remembered.
pub(crate) const MAX_CHANGE_ID_LENGTH: usize = 128;

/// A change of one setting, as an operator asks for it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Names the change, so that a repeat after a lost reply takes effect once.
    pub change_id: String,
    /// The revision that it was based on.
    pub base_revision: Revision,
    /// The level's path.
    pub path: String,
    /// The setting's key.
    pub key: String,
    /// The new value; `None` removes it, so that the level inherits again.
    pub value: Option<Value>,
}

/// A change that has been taken in.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppliedChange {
    /// Its id.
    pub change_id: String,
    /// The revision that it made.
    pub revision: Revision,
    /// What it set, so that an id used again for something else is found out.
    pub fingerprint: u64,
}

/// Why a change was refused; nothing was written.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ChangeRefused {
    /// The path, key or value is wrong.
    #[error(transparent)]
    Schema(#[from] SchemaError),
    /// Another change came first.
    #[error(
        "the change is based on revision {base}, and {current} is current; look at it and change it again"
    )]
    Conflict {
        /// The revision that the change was based on.
        base: Revision,
        /// The current one.
        current: Revision,
    },
    /// The id names another change.
    #[error("change id `{change_id}` made revision {revision} with other content; choose a new id")]
    ChangeIdReused {
        /// The id.
        change_id: String,
        /// The revision that it made.
        revision: Revision,
    },
    /// The id is empty or too long.
    #[error("the change id has {length} characters; choose one of 1 to {MAX_CHANGE_ID_LENGTH}")]
    ChangeIdLength {
        /// Its length.
        length: usize,
    },
}

/// The document with the ids of its last changes.
///
/// Invariant (brief point 9): a change is in the document at most once. Its id is looked for first, and it is
/// only taken in on top of the revision that it names; the object API refuses a write whose base is not
/// current.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Register {
    document: Document,
    applied: VecDeque<AppliedChange>,
}

impl Register {
    /// The document.
    pub fn document(&self) -> &Document {
        &self.document
    }

    /// The changes remembered, oldest first.
    pub fn applied(&self) -> impl Iterator<Item = &AppliedChange> {
        self.applied.iter()
    }

    /// The revision that this change made, where it has been taken in already.
    ///
    /// # Errors
    /// When its id was used for another change.
    pub fn find(&self, change: &Change) -> Result<Option<Revision>, ChangeRefused> {
        let Some(applied) = self.applied.iter().find(|applied| applied.change_id == change.change_id) else {
            return Ok(None);
        };
        if applied.fingerprint == change.fingerprint() {
            return Ok(Some(applied.revision));
        }
        let change_id = change.change_id.clone();
        Err(ChangeRefused::ChangeIdReused { change_id, revision: applied.revision })
    }

    /// The register after a change.
    ///
    /// # Errors
    /// When the change is wrong or lost a race.
    pub fn apply(&self, change: &Change) -> Result<Self, ChangeRefused> {
        let entry = change.checked_entry()?;
        let current = self.document.revision();
        if change.base_revision != current {
            return Err(ChangeRefused::Conflict { base: change.base_revision, current });
        }
        let mut next = self.clone();
        let revision = current.next();
        next.document = self.document.with_changes(revision, vec![entry]);
        let change_id = change.change_id.clone();
        next.applied.push_back(AppliedChange { change_id, revision, fingerprint: change.fingerprint() });
        if next.applied.len() > REMEMBERED_CHANGE_IDS {
            next.applied.pop_front();
        }
        Ok(next)
    }
}

impl Change {
    /// Checks what can be checked without the register.
    ///
    /// # Errors
    /// When the id, path, key or value is wrong.
    pub fn check(&self) -> Result<(), ChangeRefused> {
        self.checked_entry().map(drop)
    }

    fn checked_entry(&self) -> Result<EntryChange, ChangeRefused> {
        let length = self.change_id.chars().count();
        if !(1..=MAX_CHANGE_ID_LENGTH).contains(&length) {
            return Err(ChangeRefused::ChangeIdLength { length });
        }
        let path = LevelPath::parse(&self.path).map_err(SchemaError::from)?;
        match &self.value {
            Some(value) => schema::check(&path, &self.key, value)?,
            None => schema::check_key(&path, &self.key).map(drop)?,
        }
        let key = SettingsTree::entry_key(&path, &self.key);
        Ok(EntryChange { key, value: self.value.as_ref().map(Value::to_string) })
    }

    fn fingerprint(&self) -> u64 {
        let value = self.value.as_ref().map(Value::to_string);
        xxh3_64(format!("{}\n{}\n{}\n{value:?}", self.base_revision, self.path, self.key).as_bytes())
    }
}
