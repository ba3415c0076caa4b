//! Whether the metadata store can be reached.
//!
//! A watch that was sent while the store was silent is never answered, and looks like one that waits. So each
//! node asks for a small answer now and then. Where it gets none, its watches are given up and peers are
//! asked meanwhile; once it gets one again, watches are begun anew.

use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;

use super::client::MetadataClient;
use crate::context::Context;

/// Time between two probes. Chosen, not measured: longer delays finding out that the store is away, shorter
/// costs priced calls.
const STORE_PROBE_INTERVAL: Duration = Duration::from_millis(1_000);

/// Whether the store gave an answer when it was last asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StoreReach {
    /// It did, as before.
    Reached,
    /// It gave none.
    Away,
}

/// Tells when the store falls silent for this node, and when it is back.
pub(super) type Reachability = watch::Receiver<StoreReach>;

/// Probes until nobody listens any more, while this node watches anything for itself.
pub(super) fn start(context: Context, client: MetadataClient) -> Reachability {
    let (sender, reach) = watch::channel(StoreReach::Reached);
    tokio::spawn(async move {
        while !sender.is_closed() {
            let was_reached = *sender.borrow() == StoreReach::Reached;
            if !context.metadata.freshness.needs_platform() {
                tokio::time::sleep(STORE_PROBE_INTERVAL).await;
                continue;
            }
            let began = Instant::now();
            let is_reached = client.probe().await.is_ok();
            context.metadata.freshness.set_away(!is_reached);
            if is_reached && was_reached {
                context.metadata.freshness.reached(began.elapsed());
            }
            if is_reached && !was_reached {
                sender.send_replace(StoreReach::Reached);
                log::info!(target: "metadata", "The metadata store is reached again.");
            }
            if !is_reached && was_reached {
                sender.send_replace(StoreReach::Away);
                log::warn!(target: "metadata", "The metadata store can't be reached; what was read before stays in force, and peers are asked.");
            }
            tokio::time::sleep(STORE_PROBE_INTERVAL).await;
        }
    });
    reach
}
