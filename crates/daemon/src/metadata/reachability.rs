//! Whether the metadata store can be reached.
//!
//! A watch that was sent while the store was silent is never answered, and looks like one that waits. So each node asks
//! for a small answer now and then; once it gets one again after it got none, watches are begun anew.

use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;

use super::client::MetadataClient;
use crate::context::Context;

/// Time between two probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(1_000);

/// Counts how often the store could be reached again.
pub(super) type Recoveries = watch::Receiver<u64>;

/// Probes until nobody listens any more, while this node watches anything for itself.
pub(super) fn start(context: Context, client: MetadataClient) -> Recoveries {
    let (sender, recoveries) = watch::channel(0);
    tokio::spawn(async move {
        let mut was_reached = true;
        while !sender.is_closed() {
            if !context.metadata.freshness.needs_platform() {
                tokio::time::sleep(PROBE_INTERVAL).await;
                continue;
            }
            let began = Instant::now();
            let is_reached = client.probe().await.is_ok();
            context.metadata.freshness.set_away(!is_reached);
            if is_reached && was_reached {
                context.metadata.freshness.reached(began.elapsed());
            }
            if is_reached && !was_reached {
                sender.send_modify(|count| *count += 1);
                log::info!(target: "metadata", "The metadata store is reached again.");
            }
            if !is_reached && was_reached {
                log::warn!(target: "metadata", "The metadata store can't be reached; what was read before stays in force.");
            }
            was_reached = is_reached;
            tokio::time::sleep(PROBE_INTERVAL).await;
        }
    });
    recoveries
}
