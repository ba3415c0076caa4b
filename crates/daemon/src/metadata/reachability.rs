//! Probes whether the metadata store can be reached.
//!
//! A watch that was sent while the store was unreachable is never answered and can't be told from one that
//! waits for a change. Each node that reads the store therefore probes it regularly with a cheap read. When a
//! probe fails, the node's watches are abandoned and peers are asked instead; when one succeeds again, new
//! watches are started.

use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;

use super::client::MetadataClient;
use crate::context::Context;

/// Pause between two probes.
const STORE_PROBE_INTERVAL: Duration = Duration::from_millis(1_000);

/// Result of the last probe of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StoreReach {
    /// The store answered.
    Reachable,
    /// The store gave no answer.
    Unreachable,
}

/// Receives changes of the store's reachability from this node.
pub(super) type Reachability = watch::Receiver<StoreReach>;

/// Starts the probing task. It probes while this node reads any kind from the platform, and ends once all
/// receivers are dropped.
pub(super) fn start(context: Context, client: MetadataClient) -> Reachability {
    let (sender, reach) = watch::channel(StoreReach::Reachable);
    tokio::spawn(async move {
        while !sender.is_closed() {
            let was_reached = *sender.borrow() == StoreReach::Reachable;
            if !context.metadata.freshness.needs_platform() {
                tokio::time::sleep(STORE_PROBE_INTERVAL).await;
                continue;
            }
            let began = Instant::now();
            let is_reached = client.probe().await.is_ok();
            context.metadata.freshness.set_unreachable(!is_reached);
            if is_reached && was_reached {
                context.metadata.freshness.confirm_watched(began.elapsed());
            }
            if is_reached && !was_reached {
                sender.send_replace(StoreReach::Reachable);
                log::info!(target: "metadata", "The metadata store is reached again.");
            }
            if !is_reached && was_reached {
                sender.send_replace(StoreReach::Unreachable);
                log::warn!(target: "metadata", "The metadata store can't be reached; what was read before stays in force, and peers are asked.");
            }
            tokio::time::sleep(STORE_PROBE_INTERVAL).await;
        }
    });
    reach
}
