//! Watcher's handling of replica entries that lapsed while the store was unreachable. They are retained for a
//! while, since they may come back; the core's `lapse` decides which ones and for how long.

use lichenpulley_protocol::internal::MetadataKind;

use super::Watcher;

impl Watcher {
    /// Records that the store answered, which starts the time in which lapsed entries may come back.
    pub(super) fn store_answered(&mut self) {
        if self.kind == MetadataKind::Replicas {
            let was_unreachable = self.failures > 0 || self.context.metadata.freshness.is_unreachable();
            self.lapses.store_answered(self.now(), was_unreachable);
        }
    }

    /// Returns whether an object that is gone from the platform is to be removed. The entry of a replica that
    /// lapsed while the store was unreachable is retained. `is_known` tells whether the object was known just
    /// before.
    pub(super) fn should_remove(&mut self, name: &str, is_known: bool) -> bool {
        if self.lapses.retains(name) {
            return false;
        }
        let held = self.context.metadata.history(self.kind);
        let is_known = is_known || held.is_some_and(|held| held.objects().contains_key(name));
        if is_known && self.lapses.entry_removed(name) {
            log::info!(target: "metadata", "The entry of {name} lapsed while the store was unreachable; it is retained for now.");
            return false;
        }
        true
    }

    /// Removes lapsed entries that did not come back in time. The kind is then listed again, so that the
    /// removal gets a later revision: followers ask only for changes after the revision that they hold.
    pub(super) fn remove_expired_lapses(&mut self) {
        let expired = self.lapses.expire(self.now());
        if !expired.is_empty() {
            log::info!(target: "metadata", "{} lapsed entries did not come back after the store did and are removed.", expired.len());
            self.revision = None;
        }
    }
}
