//! The configuration as stored in the object API: the document and the ids of recently applied changes.
//!
//! The ids ensure that a repeated change takes effect only once. Stored as JSON; field names are part of the
//! storage format.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};
use serde_json::Value;
use xxhash_rust::xxh3::xxh3_64;

use super::document::{Document, EntryChange};
use super::path::LevelPath;
use super::schema::{self, SchemaError};
use super::tree::SettingsTree;
use crate::identity::Revision;

/// Key of the register in the object API.
pub const OBJECT_KEY: &str = "config/tree";

/// Number of change ids retained. A repeat of an older change is refused because its base revision is outdated.
pub(crate) const RETAINED_CHANGE_IDS: usize = 256;

/// Maximum length of a change id, in characters.
pub(crate) const MAX_CHANGE_ID_LENGTH: usize = 128;

/// A change of one setting, as requested by an operator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Idempotency key. A repeat of the change after a lost reply takes effect once.
    pub change_id: String,
    /// Revision that the change is based on.
    pub base_revision: Revision,
    /// Path of the level.
    pub path: String,
    /// Key of the setting.
    pub key: String,
    /// New value; `None` removes the value, so that the level inherits it again.
    pub value: Option<Value>,
}

/// A change that has been applied.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppliedChange {
    /// Id of the change.
    pub change_id: String,
    /// Revision that the change produced.
    pub revision: Revision,
    /// Hash of the change's content. Detects the reuse of an id for a different change.
    pub fingerprint: u64,
}

/// Why a change was refused. A refused change has not been written.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ChangeRefused {
    /// The path, key or value is invalid.
    #[error(transparent)]
    Schema(#[from] SchemaError),
    /// The base revision is not the current one.
    #[error(
        "the change is based on revision {base}, but the current revision is {current}; review it and repeat the change"
    )]
    Conflict {
        /// Revision that the change was based on.
        base: Revision,
        /// Current revision.
        current: Revision,
    },
    /// The id was used for a different change.
    #[error(
        "change id `{change_id}` was used for a different change in revision {revision}; choose a new id"
    )]
    ChangeIdReused {
        /// The reused id.
        change_id: String,
        /// Revision that the other change produced.
        revision: Revision,
    },
    /// The id is empty or too long.
    #[error("the change id has {length} characters; choose one of 1 to {MAX_CHANGE_ID_LENGTH}")]
    ChangeIdLength {
        /// Length of the id, in characters.
        length: usize,
    },
}

/// The configuration document and its recently applied changes.
///
/// Invariant: each change is applied at most once. A writer first looks for its id, and applies
/// it only to its base revision; the object API refuses a write whose base version is not current.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Register {
    document: Document,
    applied: VecDeque<AppliedChange>,
}

impl Register {
    /// Returns the document.
    pub fn document(&self) -> &Document {
        &self.document
    }

    /// Returns the retained changes, oldest first.
    pub fn applied(&self) -> impl Iterator<Item = &AppliedChange> {
        self.applied.iter()
    }

    /// Returns the revision that a change produced, or `None` if it has not been applied.
    ///
    /// # Errors
    /// Returns an error if the id was used for a different change.
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

    /// Returns the register with a change applied.
    ///
    /// # Errors
    /// Returns an error if the change is invalid or its base revision is not the current one.
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
        if next.applied.len() > RETAINED_CHANGE_IDS {
            next.applied.pop_front();
        }
        Ok(next)
    }
}

impl Change {
    /// Validates the change independently of the register.
    ///
    /// # Errors
    /// Returns an error if the id, path, key or value is invalid.
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
