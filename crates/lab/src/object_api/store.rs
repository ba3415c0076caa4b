//! The objects and their versions, without input or output, so that simulations use the same code.

use std::collections::BTreeMap;

use lichenpulley_core::identity::Revision;
use lichenpulley_protocol::platform::{Conflict, Object, ObjectList, PutObject};

/// Objects by key under one store-wide revision.
///
/// Invariant: `revision` goes up by one with each change, and an object's version is the revision of its last
/// change, so no two changes share a version.
#[derive(Clone, Debug, Default)]
pub struct ObjectStore {
    revision: Revision,
    objects: BTreeMap<String, Object>,
}

impl ObjectStore {
    /// The revision of the last change.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// The object under `key`.
    pub fn get(&self, key: &str) -> Option<&Object> {
        self.objects.get(key)
    }

    /// Writes if `base_version` is the current version, `None` standing for "there is no object".
    ///
    /// # Errors
    /// With the object as it stands, where the base version is not current.
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

    /// Every object whose key begins with `prefix`.
    pub fn list(&self, prefix: &str) -> ObjectList {
        self.changed_after(prefix, Revision(0))
    }

    /// The objects under `prefix` that changed after `revision`, each as it stands now.
    pub fn changed_after(&self, prefix: &str, revision: Revision) -> ObjectList {
        let under_prefix = self.objects.range(prefix.to_owned()..);
        let under_prefix = under_prefix.take_while(|(key, _)| key.starts_with(prefix));
        let changed = under_prefix.filter(|(_, object)| object.version > revision);
        let objects = changed.map(|(_, object)| object.clone()).collect();
        ObjectList { objects, revision: self.revision }
    }
}
