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

    /// Removes an object unless it is a replica's entry that lapsed while the store was unreachable.
    pub(super) fn remove(&mut self, name: &str) {
        if self.lapses.retains(name) {
            return;
        }
        if self.objects.contains_key(name) && self.lapses.entry_removed(name) {
            log::info!(target: "metadata", "The entry of {name} lapsed while the store was unreachable; it is retained for now.");
            return;
        }
        self.objects.remove(name);
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
