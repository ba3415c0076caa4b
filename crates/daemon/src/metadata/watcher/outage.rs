//! Watcher while the platform gives no answer, and when a peer has announced a newer revision: backoff,
//! requests to peers and the use of their copies.

use std::time::Duration;

use lichenpulley_core::retry::backoff::Backoff;
use lichenpulley_protocol::internal::MetadataKind;

use super::{MAX_RETRY_PAUSE, Watcher};
use crate::cluster::Member;
use crate::configuration::platform::PlatformError;
use crate::metadata::announcements;
use crate::metadata::freshness::ReadState;
use crate::metadata::peers::{self, PeerCopy};

/// Pause after consecutive failures.
const STORE_RETRY_BACKOFF: Backoff = Backoff::new(Duration::from_millis(100), MAX_RETRY_PAUSE);
/// Pause between two requests to peers while the store can't be reached; the peer asked may have nothing new
/// itself.
const PEER_POLL_PAUSE: Duration = Duration::from_millis(250);

impl Watcher {
    pub(super) async fn watch_failed(&mut self, error: &PlatformError) {
        if self.failures == 0 {
            log::warn!(target: "metadata", "Watching {:?} failed, trying again: {error}.", self.kind);
        }
        self.failures += 1;
        self.mark_unreachable();
        self.ask_peer().await;
        tokio::time::sleep(STORE_RETRY_BACKOFF.pause(self.failures)).await;
    }

    /// Asks a peer while the store can't be reached, then waits until the probe reaches it again or the pause
    /// is over.
    pub(super) async fn wait_for_store(&mut self) {
        self.failures += 1;
        self.mark_unreachable();
        self.ask_peer().await;
        // The next round checks the store's reachability in either case.
        let _ = tokio::time::timeout(PEER_POLL_PAUSE, self.reach.changed()).await;
    }

    fn mark_unreachable(&mut self) {
        let now = self.now();
        self.lapses.store_failed(now);
        // In this state probes don't confirm the copy; its age grows until the platform or a peer confirms
        // it.
        self.context.metadata.freshness.set_read_state(self.kind, ReadState::Failing);
    }

    /// Applies a peer's copy if it is newer: that of a peer that announced a newer revision, otherwise of a
    /// random one.
    pub(super) async fn ask_peer(&mut self) {
        let announcer = announcements::announcer(&self.context, self.kind);
        let peer = announcer.or_else(|| match self.kind {
            // Only the readers hold all replicas.
            MetadataKind::Replicas => peers::other_reader(&self.context),
            _ => peers::random_member(&self.context),
        });
        let Some(peer) = peer else { return };
        if let Some(copy) = peers::request_copy(&self.context, &peer, self.kind, self.held_revision()).await {
            self.apply_peer_copy(copy);
        }
    }

    /// Applies a peer's answer. If the platform confirmed the peer's copy after it became unreachable for
    /// this node, the platform serves other nodes, so entries missing from that copy are really removed.
    pub(super) fn apply_peer_copy(&mut self, copy: PeerCopy) {
        if self.lapses.record_peer_confirmation(self.now(), copy.age) {
            self.context.metadata.freshness.confirm(self.kind, copy.age);
        }
        if let Some(change) = copy.change {
            log::info!(target: "metadata", "{:?} of revision {} came from {}.", self.kind, change.revision, copy.from);
            self.apply_change(change, &copy.from);
        }
    }

    /// Fetches an announced revision from the peer that announced it, which also works while the platform
    /// refuses this node. Lists from the platform only if the peer's copy is older than announced.
    pub(super) async fn pull_announced(&mut self, holder: &Member) -> Result<(), PlatformError> {
        if let Some(copy) = peers::request_copy(&self.context, holder, self.kind, self.held_revision()).await
        {
            self.apply_peer_copy(copy);
        }
        if announcements::announcer(&self.context, self.kind).is_none() {
            return Ok(());
        }
        log::info!(target: "metadata", "{} announced newer {:?} but did not provide it: listing from the platform.", holder.node, self.kind);
        self.list().await
    }
}
