//! The objects of the metadata store, and their history.

use std::collections::BTreeMap;

use lichenpulley_platform::objects::{Event, Metadata, Object};
use serde_json::Value;

/// Why a write was refused.
pub(super) enum WriteRefusal {
    /// The object exists already or has another revision.
    Conflict(Box<Object>),
    /// There is no such object.
    NotFound,
}

struct Change {
    revision: u64,
    kind: String,
    event: Event,
}

/// Objects by kind and name under one revision counter.
#[derive(Default)]
pub(super) struct Objects {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    history: Vec<Change>,
    /// Watches from before this revision are refused.
    history_from: u64,
}

impl Objects {
    pub(super) fn revision(&self) -> u64 {
        self.revision
    }

    pub(super) fn get(&self, kind: &str, name: &str) -> Option<Object> {
        self.objects.get(&(kind.to_owned(), name.to_owned())).cloned()
    }

    pub(super) fn list(&self, kind: &str) -> Vec<Object> {
        let of_kind = self.objects.iter().filter(|((held, _), _)| held == kind);
        of_kind.map(|(_, object)| object.clone()).collect()
    }

    /// Changes of a kind after a revision; `None` where the history does not reach back so far.
    pub(super) fn events_after(&self, kind: &str, after: u64) -> Option<Vec<Event>> {
        if after < self.history_from {
            return None;
        }
        let later = self.history.iter().filter(|change| change.revision > after && change.kind == kind);
        Some(later.map(|change| change.event.clone()).collect())
    }

    pub(super) fn compact(&mut self) {
        self.history.clear();
        self.revision += 1;
        self.history_from = self.revision;
    }

    pub(super) fn put(&mut self, kind: &str, name: &str, spec: Value) {
        let status = self.get(kind, name).map_or(Value::Null, |object| object.status);
        self.store(kind, name, spec, status);
    }

    /// Removes an object; tells whether there was one.
    pub(super) fn remove(&mut self, kind: &str, name: &str) -> bool {
        let Some(object) = self.objects.remove(&(kind.to_owned(), name.to_owned())) else { return false };
        self.revision += 1;
        self.record(kind, Event { is_removed: true, object });
        true
    }

    pub(super) fn create(&mut self, kind: &str, object: Object) -> Result<Object, WriteRefusal> {
        match self.get(kind, &object.metadata.name) {
            Some(existing) => Err(WriteRefusal::Conflict(Box::new(existing))),
            None => Ok(self.store(kind, &object.metadata.name, object.spec, Value::Null)),
        }
    }

    pub(super) fn replace(
        &mut self,
        kind: &str,
        name: &str,
        object: Object,
        is_status: bool,
    ) -> Result<Object, WriteRefusal> {
        let existing = self.get(kind, name).ok_or(WriteRefusal::NotFound)?;
        let is_stale = object.metadata.rev.is_some() && object.metadata.rev != existing.metadata.rev;
        if is_stale {
            return Err(WriteRefusal::Conflict(Box::new(existing)));
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
