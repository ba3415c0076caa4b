//! Tells the owners of shards that the shards exist, so that a new owner runs them without being asked.
//!
//! Only store replicas know which shards there are. Of a shard's replicas, the first live one tells the
//! shard's owner: one small request for each shard in each round, whatever the number of nodes.

use std::time::Duration;

use lichenpulley_core::identity::ShardId;
use lichenpulley_core::replication::replica_set::ReplicaSet;
use lichenpulley_protocol::internal::CoordinatorRequest;

use super::{Coordinator, forward, supervisor};
use crate::context::Context;
use crate::store::Store;

/// Time between two rounds: how long a shard whose owner died waits at most, beside the time to notice the
/// death. Chosen, not measured: shorter costs a request for each shard in each round.
const DISCOVERY_INTERVAL: Duration = Duration::from_secs(2);

/// Tells owners until the node has stopped.
pub(super) async fn run(context: Context, coordinator: Coordinator, store: Store) {
    loop {
        tokio::select! {
            () = context.stopped.cancelled() => return,
            () = tokio::time::sleep(DISCOVERY_INTERVAL) => {}
        }
        for set in store.replica_sets().await {
            if supervisor::is_control_shard(&set.shard) && is_first_live(&context, &set) {
                tell(&context, &coordinator, set.shard).await;
            }
        }
    }
}

/// Whether this node is the first of the set's nodes that is believed alive.
fn is_first_live(context: &Context, set: &ReplicaSet) -> bool {
    let cluster = context.cluster.load();
    let first = set.members.iter().find(|member| cluster.member(&member.node).is_some());
    first.is_some_and(|member| member.node == context.node)
}

async fn tell(context: &Context, coordinator: &Coordinator, shard: ShardId) {
    let Some(owner) = forward::owner(context, &shard) else { return };
    // Told again in the next round, also to another owner, whatever came of it.
    let _ = forward::ask(context, coordinator, &owner, CoordinatorRequest::Own(shard)).await;
}
