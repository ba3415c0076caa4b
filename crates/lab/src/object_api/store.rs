//! In-memory objects and their versions, without I/O, shared with the simulations.

use std::collections::BTreeMap;

use lichenpulley_core::identity::Revision;
use lichenpulley_protocol::platform::{Conflict, Object, ObjectList, PutObject};

/// Objects by key, with one revision counter for all keys.
///
/// Invariant: `revision` increases by one with each change, and an object's version is the revision of its last
/// change, so no two changes share a version.
#[derive(Clone, Debug, Default)]
pub struct ObjectStore {
    revision: Revision,
    objects: BTreeMap<String, Object>,
}

impl ObjectStore {
    /// Returns the revision of the last change.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the object under `key`.
    pub fn get(&self, key: &str) -> Option<&Object> {
        self.objects.get(key)
    }

    /// Writes the object if `base_version` is its current version; `None` requires that it does not exist.
    ///
    /// # Errors
    /// [`Conflict`] with the current object if `base_version` does not match.
    pub fn put(&mut self, key: &str, change: PutObject) -> Result<Object, Conflict> {
        let current = self.objects.get(key);
        if current.map(|object| object.version) != change.base_version {
            return Err(Conflict { current: current.cloned() });
        }
        self.revision = self.revision.next();
        let object = Object { key: key.to_owned(), version: self.revision, value: change.value };
        self.objects.insert(key.to_owned(), object.clone());
        Ok(object)
    }

    /// Returns every object whose key starts with `prefix`.
    pub fn list(&self, prefix: &str) -> ObjectList {
        self.changed_after(prefix, Revision(0))
    }

    /// Returns the current state of the objects under `prefix` that changed after `revision`.
    pub fn changed_after(&self, prefix: &str, revision: Revision) -> ObjectList {
        let under_prefix = self.objects.range(prefix.to_owned()..);
        let under_prefix = under_prefix.take_while(|(key, _)| key.starts_with(prefix));
        let changed = under_prefix.filter(|(_, object)| object.version > revision);
        let objects = changed.map(|(_, object)| object.clone()).collect();
        ObjectList { objects, revision: self.revision }
    }
}
