//! Notifies the owners of shards that the shards exist, so that a new owner starts them before a request
//! arrives.
//!
//! Only store replicas know which shards exist. Of a shard's replicas, the first live one notifies the
//! shard's owner, so each round sends one request per shard whatever the number of nodes.

use std::time::Duration;

use lichenpulley_core::identity::ShardId;
use lichenpulley_core::replication::replica_set::ReplicaSet;
use lichenpulley_protocol::internal::CoordinatorRequest;

use super::{Coordinator, forward, supervisor};
use crate::context::Context;
use crate::store::Store;

/// Time between two rounds. Bounds how long a shard stays without an owner after the old one's failure was
/// detected.
const DISCOVERY_INTERVAL: Duration = Duration::from_secs(2);

/// Notifies owners at an interval until the node has stopped.
pub(super) async fn run(context: Context, coordinator: Coordinator, store: Store) {
    loop {
        tokio::select! {
            () = context.stopped.cancelled() => return,
            () = tokio::time::sleep(DISCOVERY_INTERVAL) => {}
        }
        for set in store.replica_sets().await {
            if supervisor::is_control_shard(&set.shard) && is_first_live_member(&context, &set) {
                notify_owner(&context, &coordinator, set.shard).await;
            }
        }
    }
}

/// Returns whether this node is the first live member of the replica set, by the cluster view.
fn is_first_live_member(context: &Context, set: &ReplicaSet) -> bool {
    let cluster = context.cluster.load();
    let first = set.members.iter().find(|member| cluster.member(&member.node).is_some());
    first.is_some_and(|member| member.node == context.node)
}

async fn notify_owner(context: &Context, coordinator: &Coordinator, shard: ShardId) {
    let Some(owner) = forward::owner(context, &shard) else { return };
    // The result is not used: the notification is repeated in the next round.
    let _ = forward::ask_member(context, coordinator, &owner, CoordinatorRequest::Own(shard)).await;
}
