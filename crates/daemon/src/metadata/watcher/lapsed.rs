//! Entries of replicas that vanished while the store was away: they are kept for a while, since they may come back.
//!
//! Extends the watcher; the core's `lapse` decides which are kept and for how long.

use lichenpulley_protocol::internal::MetadataKind;

use super::Watcher;

impl Watcher {
    /// The store answered: from now on entries that lapsed meanwhile may come back.
    pub(super) fn store_answered(&mut self) {
        if self.kind == MetadataKind::Replicas {
            let was_away = self.failures > 0 || self.context.metadata.freshness.is_away();
            self.lapses.store_answered(self.now(), was_away);
        }
    }

    /// An object is gone, unless it lapsed while the store was away.
    pub(super) fn remove(&mut self, name: &str) {
        if self.lapses.retains(name) {
            return;
        }
        if self.objects.contains_key(name) && self.lapses.entry_removed(name) {
            log::info!(target: "metadata", "The entry of {name} vanished while the store was away: it is kept for now.");
            return;
        }
        self.objects.remove(name);
    }

    /// Entries that did not come back are gone. All are listed anew, so that this is told under a later
    /// revision: followers ask for what came after the one they have.
    pub(super) fn drop_lapsed(&mut self) {
        let gone = self.lapses.expire(self.now());
        if !gone.is_empty() {
            log::info!(target: "metadata", "{} entries did not come back after the store did: they are gone.", gone.len());
            self.revision = None;
        }
    }
}
