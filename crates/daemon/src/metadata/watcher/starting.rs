//! Start of a watcher: a cheap initial list, then a wait until the node knows the other members, since they
//! determine which nodes read the platform.

use std::time::Duration;

use lichenpulley_protocol::internal::MetadataKind;
use tokio::time::Instant;

use super::{CopyChange, PLATFORM, Watcher, kind_name, texts_by_name};

/// Interval between two counts of the members, a few rounds of gossip; an unchanged count is taken as
/// complete.
const MEMBERS_POLL_INTERVAL: Duration = Duration::from_millis(300);
/// Minimum wait, so that hundreds of nodes that start together learn of their first members. Each learns of
/// them after some 0.7 s.
const MIN_MEMBERS_WAIT: Duration = Duration::from_millis(1_000);
/// Maximum wait, for deployments whose members keep changing.
const MAX_MEMBERS_WAIT: Duration = Duration::from_millis(2_000);

impl Watcher {
    /// Publishes a stale list, which costs the platform little, until the source to read from is known. The
    /// revision stays unset, so that all objects are read again from that source. Of a list with several pages
    /// only the first is read: if every node read all of them, the calls would grow with the product of nodes and
    /// replicas.
    pub(super) async fn list_initial(&mut self) {
        if self.kind == MetadataKind::Versions {
            return;
        }
        match self.client.list_stale_page(kind_name(self.kind)).await {
            Ok(page) if page.has_more => {
                log::info!(target: "metadata", "The list of {:?} has several pages and is read from a peer.", self.kind);
                self.follower.set_long_list(true);
            }
            Ok(page) => {
                let objects = texts_by_name(page.items);
                let change =
                    CopyChange { revision: page.at, is_whole: true, objects, ..CopyChange::default() };
                self.publish(change, PLATFORM);
            }
            Err(error) => {
                log::info!(target: "metadata", "Initial list of {:?} failed: {error}.", self.kind);
                // The list of replicas may be long; the first copy from a reader tells.
                self.follower.set_long_list(self.kind == MetadataKind::Replicas);
            }
        }
    }

    /// Waits until the node has learned of the other members. Which nodes read the platform depends on all of
    /// them; without the wait, every starting node would rank itself first. Meanwhile requests a peer's copy.
    pub(super) async fn wait_for_members(&mut self) {
        let began = Instant::now();
        let mut previous_count = 0;
        loop {
            tokio::time::sleep(MEMBERS_POLL_INTERVAL).await;
            let count = self.context.cluster.load().members.len();
            // With at least `follow_from_nodes` members, further ones change nothing; with fewer, more may
            // still join.
            let is_complete =
                count == previous_count || count >= self.context.settings.configuration.follow_from_nodes;
            if (is_complete && began.elapsed() >= MIN_MEMBERS_WAIT) || began.elapsed() >= MAX_MEMBERS_WAIT {
                return;
            }
            previous_count = count;
            if self.revision.is_none() {
                self.ask_peer().await;
            }
        }
    }
}
