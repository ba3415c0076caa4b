//! What a watcher does while the platform gives it nothing, and when a peer has something newer.
//!
//! Extends the watcher: backoff, questions to peers, and what is taken from them.

use std::time::Duration;

use lichenpulley_core::retry::backoff::Backoff;

use super::{RETRY_LIMIT, Watcher};
use crate::cluster::Member;
use crate::configuration::platform::PlatformError;
use crate::metadata::announcements;
use crate::metadata::freshness::Reading;
use crate::metadata::peers::{self, PeerCopy};

/// The pause after failures in a row. Shorter loads a store that is coming back, longer learns of it later.
const STORE_RETRY_BACKOFF: Backoff = Backoff::new(Duration::from_millis(100), RETRY_LIMIT);
/// The pause between two questions to peers while the store is silent: one that was asked may itself know
/// nothing new. Longer delays what peers have, shorter costs calls between nodes.
const AWAY_PAUSE: Duration = Duration::from_millis(250);

impl Watcher {
    pub(super) async fn failed(&mut self, error: &PlatformError) {
        if self.failures == 0 {
            log::warn!(target: "metadata", "{:?} can't be watched: {error}.", self.kind);
        }
        self.failures += 1;
        self.note_silence();
        self.ask_peer().await;
        tokio::time::sleep(STORE_RETRY_BACKOFF.pause(self.failures)).await;
    }

    /// The store gives this node nothing: peers are asked until the probe finds it again.
    pub(super) async fn wait_for_store(&mut self) {
        self.failures += 1;
        self.note_silence();
        self.ask_peer().await;
        // Whether the store is back or the time is over, the next round looks.
        let _ = tokio::time::timeout(AWAY_PAUSE, self.reach.changed()).await;
    }

    fn note_silence(&mut self) {
        let now = self.now();
        self.lapses.store_failed(now);
        // The copy's age grows until the platform or a peer confirms it.
        self.context.metadata.freshness.set_reading(self.kind, Reading::Failing);
    }

    /// Takes the copy of a peer, where it is newer: of one that announced so, else of a random one.
    pub(super) async fn ask_peer(&mut self) {
        let announcer = announcements::announcer(&self.context, self.kind);
        let Some(peer) = announcer.or_else(|| peers::random_member(&self.context)) else { return };
        if let Some(copy) = peers::ask(&self.context, &peer, self.kind, self.held()).await {
            self.take_peer_copy(copy);
        }
    }

    /// Takes what a peer gave. A copy that the platform confirmed to the peer after it fell silent for this
    /// node shows that it serves others: what vanished there is gone.
    pub(super) fn take_peer_copy(&mut self, copy: PeerCopy) {
        if self.lapses.record_peer_confirmation(self.now(), copy.age) {
            self.context.metadata.freshness.confirm(self.kind, copy.age);
        }
        if let Some(update) = copy.update {
            log::info!(target: "metadata", "{:?} of revision {} came from {}.", self.kind, update.revision, copy.from);
            self.take(update, &copy.from);
        }
    }

    /// Takes what a peer announced, from that peer: it costs the platform nothing, and helps where that turns
    /// this node away. Asks the platform only where the peer gives nothing as new.
    pub(super) async fn take_announced(&mut self, holder: &Member) -> Result<(), PlatformError> {
        if let Some(copy) = peers::ask(&self.context, holder, self.kind, self.held()).await {
            self.take_peer_copy(copy);
        }
        if announcements::announcer(&self.context, self.kind).is_none() {
            return Ok(());
        }
        log::info!(target: "metadata", "{} gave no newer {:?} though it announced one: listing.", holder.node, self.kind);
        self.list().await
    }
}
