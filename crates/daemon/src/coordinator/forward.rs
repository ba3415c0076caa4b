//! Sends a request to the owner of its shard, on this or another node.
//!
//! The owner of a coordinator's shard follows from the cluster view alone, and every request can be repeated
//! without harm. Batch jobs use `batch::job_shard` instead, because their owner is found by a query to the
//! stores, and the outcome of a submission that gets no answer is unknown.

use std::sync::Arc;
use std::time::Duration;

use lichenpulley_core::identity::{NodeId, ShardId};
use lichenpulley_core::retry::retry_after::RetryCause;
use lichenpulley_protocol::internal::{CoordinatorRequest, CoordinatorResponse};
use tokio::time::Instant;

use super::Coordinator;
use crate::cluster::Member;
use crate::context::Context;

/// Time after which a request stops looking for the owner of its shard; above the answer timeout plus a
/// takeover.
const SHARD_OWNER_SEARCH_TIMEOUT: Duration = Duration::from_secs(8);
/// Timeout of a request to one node; above the duration of a takeover, since a request waits for the takeover
/// at a new owner.
const FORWARD_ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay before the owner is looked up again; well below the time in which membership detects a change.
const SHARD_OWNER_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Returns the member that owns a shard according to this node's cluster view.
pub(super) fn owner(context: &Context, shard: &ShardId) -> Option<Arc<Member>> {
    context.cluster.load().owner_of(shard).cloned()
}

/// Sends a request to the owner of its shard and returns the answer. Retries while the ownership moves and
/// after a lost answer, since every coordinator request can be repeated without harm.
pub async fn ask_owner(
    context: &Context,
    coordinator: &Coordinator,
    request: CoordinatorRequest,
) -> CoordinatorResponse {
    let limit = Instant::now() + SHARD_OWNER_SEARCH_TIMEOUT;
    let shard = request.shard();
    let mut redirect = None;
    loop {
        let recipient = match redirect.take() {
            Some(node) => member(context, &node),
            None => owner(context, &shard),
        };
        if let Some(member) = recipient {
            match ask_member(context, coordinator, &member, request.clone()).await {
                Some(CoordinatorResponse::NotOwner(other)) => {
                    redirect = other.filter(|node| node != &member.node);
                }
                Some(response) => return response,
                None => {}
            }
        }
        if Instant::now() >= limit {
            return no_owner(&shard);
        }
        if redirect.is_none() {
            tokio::time::sleep(SHARD_OWNER_RETRY_INTERVAL).await;
        }
    }
}

fn member(context: &Context, node: &NodeId) -> Option<Arc<Member>> {
    context.cluster.load().member(node).cloned()
}

/// Sends a request to one member; returns `None` if it gives no answer.
pub(super) async fn ask_member(
    context: &Context,
    coordinator: &Coordinator,
    member: &Member,
    request: CoordinatorRequest,
) -> Option<CoordinatorResponse> {
    if member.node == context.node {
        // A timeout is handled like a failed call to another node: the owner is looked up again.
        return tokio::time::timeout(FORWARD_ANSWER_TIMEOUT, coordinator.answer(request)).await.ok();
    }
    let result = context.peers.coordinator(member.peer_address, request, FORWARD_ANSWER_TIMEOUT).await;
    match result {
        Ok(response) => Some(response),
        Err(error) => {
            log::info!(target: "coordinator", "{error}.");
            None
        }
    }
}

fn no_owner(shard: &ShardId) -> CoordinatorResponse {
    CoordinatorResponse::Refused {
        kind: "no_owner".to_owned(),
        message: format!("no node answers for shard {shard} now"),
        remedy: "ask again: repeating the request does no harm".to_owned(),
        retry_after_ms: RetryCause::NoShardOwner.retry_after_ms(),
    }
}
