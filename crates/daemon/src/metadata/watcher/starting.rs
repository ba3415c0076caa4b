//! How a watcher starts: by what the platform gives cheaply, until the node knows who else there is.
//!
//! Extends the watcher; which nodes read the platform depends on all of them, so a node that starts waits first.

use std::time::Duration;

use lichenpulley_protocol::internal::MetadataKind;
use tokio::time::Instant;

use super::{PLATFORM, Watcher, by_name, kind_name};

/// A node that heard of no others for so long knows those it will know soon: a few rounds of gossip. Chosen,
/// not measured.
const SETTLE_POLL_INTERVAL: Duration = Duration::from_millis(300);
/// Where hundreds of nodes start together, each hears of the first others after some 0.7 seconds. Chosen
/// above that; no run of it is kept.
const MIN_SETTLE: Duration = Duration::from_millis(1_000);
/// A node reads after so long though it still hears of others. Chosen, not measured: longer delays the
/// start of a node in a deployment whose members keep changing.
const MAX_SETTLE: Duration = Duration::from_millis(2_000);

impl Watcher {
    /// Serves by what the platform gives cheaply until it is known from where to read. Only a beginning: the
    /// revision stays unknown, so that all is read anew.
    pub(super) async fn begin(&mut self) {
        if self.kind == MetadataKind::Versions {
            return;
        }
        match self.client.list_stale(kind_name(self.kind)).await {
            Ok(list) => {
                self.objects = by_name(list.items);
                self.publish(list.at, PLATFORM);
            }
            Err(error) => log::info!(target: "metadata", "No first {:?} yet: {error}.", self.kind),
        }
    }

    /// Waits until the node has heard who else there is: which nodes read the platform depends on all of
    /// them, and each one that starts would take itself for the first. Takes a peer's copy meanwhile, where
    /// there is one.
    pub(super) async fn settle(&mut self) {
        let began = Instant::now();
        let mut nodes = 0;
        loop {
            tokio::time::sleep(SETTLE_POLL_INTERVAL).await;
            let heard = self.context.cluster.load().members.len();
            // In a large deployment more nodes change nothing; a small one may be the beginning of a large one.
            let is_known = heard == nodes || heard >= self.context.settings.configuration.follow_from_nodes;
            if (is_known && began.elapsed() >= MIN_SETTLE) || began.elapsed() >= MAX_SETTLE {
                return;
            }
            nodes = heard;
            if self.revision.is_none() {
                self.ask_peer().await;
            }
        }
    }
}
