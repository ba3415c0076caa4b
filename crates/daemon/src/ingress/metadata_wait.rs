//! Holds requests until the node has read the metadata that routing needs, so that a gateway that has just
//! started doesn't refuse what a replica could run.
//!
//! Relies on the metadata handle, which knows what has been read. The core's `ingress::metadata_wait` limits
//! the wait. A request that has waited in vain is refused by the selection of its replica.

use lichenpulley_core::decision::{Component, Decision};
use lichenpulley_core::ingress::metadata_wait::max_wait;
use tokio::time::Instant;

use super::Ingress;
use crate::metadata::MetadataHandle;

/// Waits until a request with this deadline can be routed. Returns early at the limit of the wait, if too many
/// requests wait, and when the node starts draining, since the caller is then served sooner by another gateway.
pub(super) async fn wait_until_routable(ingress: &Ingress, request_id: Option<&str>, deadline: Instant) {
    let context = &ingress.context;
    if context.metadata.is_routable() {
        return;
    }
    let Ok(_permit) = ingress.metadata_waits.try_acquire() else { return };
    let began = Instant::now();
    let limit = began + max_wait(deadline.saturating_duration_since(began));
    let reason = tokio::select! {
        biased;
        () = routable(&context.metadata) => "metadata_known",
        () = context.draining.cancelled() => "draining",
        () = tokio::time::sleep_until(limit) => "metadata_unknown",
    };
    let decision = Decision::new(Component::Request, "waited", reason, request_id.unwrap_or("-"));
    context.decisions.record(decision.with("milliseconds", began.elapsed().as_millis()));
}

async fn routable(metadata: &MetadataHandle) {
    let mut changes = metadata.watch();
    while !metadata.is_routable() {
        if changes.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}
