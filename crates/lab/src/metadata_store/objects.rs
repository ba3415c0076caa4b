//! Objects of the metadata store and their change history.

use std::collections::BTreeMap;

use lichenpulley_platform::objects::{Event, Metadata, Object};
use serde_json::Value;

/// Why a write was rejected.
pub(super) enum WriteError {
    /// The object exists already or has another revision; contains the current object.
    Conflict(Box<Object>),
    /// The object does not exist.
    NotFound,
}

struct Change {
    revision: u64,
    kind: String,
    event: Event,
}

/// Objects by kind and name, with one revision counter for all kinds.
#[derive(Default)]
pub(super) struct Objects {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    history: Vec<Change>,
    /// Revision of the last compaction; watches from an earlier revision are rejected.
    compacted_revision: u64,
}

impl Objects {
    pub(super) fn revision(&self) -> u64 {
        self.revision
    }

    pub(super) fn get(&self, kind: &str, name: &str) -> Option<Object> {
        self.objects.get(&(kind.to_owned(), name.to_owned())).cloned()
    }

    pub(super) fn list(&self, kind: &str) -> Vec<Object> {
        let of_kind = self.objects.iter().filter(|((object_kind, _), _)| object_kind == kind);
        of_kind.map(|(_, object)| object.clone()).collect()
    }

    /// Returns the changes of a kind after a revision, or `None` if the history since that revision was compacted.
    pub(super) fn events_after(&self, kind: &str, after: u64) -> Option<Vec<Event>> {
        if after < self.compacted_revision {
            return None;
        }
        let later_changes =
            self.history.iter().filter(|change| change.revision > after && change.kind == kind);
        Some(later_changes.map(|change| change.event.clone()).collect())
    }

    pub(super) fn compact(&mut self) {
        self.history.clear();
        self.revision += 1;
        self.compacted_revision = self.revision;
    }

    pub(super) fn put(&mut self, kind: &str, name: &str, spec: Value) {
        let status = self.get(kind, name).map_or(Value::Null, |object| object.status);
        self.store(kind, name, spec, status);
    }

    pub(super) fn set_finalizers(&mut self, kind: &str, name: &str, finalizers: Vec<String>) {
        let Some(object) = self.objects.get_mut(&(kind.to_owned(), name.to_owned())) else { return };
        self.revision += 1;
        object.metadata.rev = Some(self.revision);
        object.metadata.finalizers = finalizers;
        let object = object.clone();
        self.record(kind, Event { is_removed: false, object });
    }

    /// Removes an object and returns whether it existed.
    pub(super) fn remove(&mut self, kind: &str, name: &str) -> bool {
        let Some(object) = self.objects.remove(&(kind.to_owned(), name.to_owned())) else { return false };
        self.revision += 1;
        self.record(kind, Event { is_removed: true, object });
        true
    }

    pub(super) fn create(&mut self, kind: &str, object: Object) -> Result<Object, WriteError> {
        match self.get(kind, &object.metadata.name) {
            Some(existing) => Err(WriteError::Conflict(Box::new(existing))),
            None => Ok(self.store(kind, &object.metadata.name, object.spec, Value::Null)),
        }
    }

    pub(super) fn replace(
        &mut self,
        kind: &str,
        name: &str,
        object: Object,
        is_status: bool,
    ) -> Result<Object, WriteError> {
        let existing = self.get(kind, name).ok_or(WriteError::NotFound)?;
        let is_stale = object.metadata.rev.is_some() && object.metadata.rev != existing.metadata.rev;
        if is_stale {
            return Err(WriteError::Conflict(Box::new(existing)));
        }
        Ok(match is_status {
            true => self.store(kind, name, existing.spec, object.status),
            false => self.store(kind, name, object.spec, existing.status),
        })
    }

    fn store(&mut self, kind: &str, name: &str, spec: Value, status: Value) -> Object {
        self.revision += 1;
        let metadata = Metadata { name: name.to_owned(), rev: Some(self.revision), finalizers: Vec::new() };
        let object = Object { metadata, spec, status };
        self.objects.insert((kind.to_owned(), name.to_owned()), object.clone());
        self.record(kind, Event { is_removed: false, object: object.clone() });
        object
    }

    fn record(&mut self, kind: &str, event: Event) {
        self.history.push(Change { revision: self.revision, kind: kind.to_owned(), event });
    }
}
