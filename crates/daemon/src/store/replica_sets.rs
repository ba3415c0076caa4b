//! Finds the replica set of a shard, or chooses the first one.
//!
//! An outdated set is harmless: its members are sealed, refuse requests and name the next set. Any source may
//! therefore be used, and those that don't need the platform come first: this node's cache, the stores, then
//! the document.

mod document;
mod error;

use futures::future::join_all;
use lichenpulley_core::batch::regional::regions_of;
use lichenpulley_core::identity::ShardId;
use lichenpulley_core::replication::replica_set::{ReplicaSet, ReplicaSetDocument, SetMember};
use lichenpulley_protocol::internal::{StoreRequest, StoreResponse};

pub(super) use self::document::{DocumentClient, StoredDocument, read, write};
pub use self::error::ReplicaSetError;
use super::placement;
use crate::cluster::Member;
use crate::context::Context;

/// Returns the replica set of a shard; chooses one if it has none.
///
/// # Errors
/// Returns an error if no store knows the shard and the platform can't be read or written, or if too few
/// stores are live for a first set.
pub async fn find(context: &Context, shard: &ShardId) -> Result<ReplicaSet, ReplicaSetError> {
    if let Some(set) = find_among_stores(context, shard).await {
        return Ok(set);
    }
    let set = read_or_create(context, shard).await?;
    context.replica_sets.put(&set);
    Ok(set)
}

/// Returns whether the platform confirms that it has no set of a shard; `false` if it does not answer.
pub(crate) async fn has_no_document(context: &Context, shard: &ShardId) -> bool {
    let Ok(client) = DocumentClient::from_settings(&context.settings) else { return false };
    matches!(read(&client, shard).await, Ok(None))
}

/// Returns the live stores that are candidates for a shard's set.
pub(crate) async fn candidates(context: &Context, shard: &ShardId) -> Vec<SetMember> {
    let asked = store_nodes(context, shard);
    let answers = asked.iter().map(|member| candidate(context, member));
    join_all(answers).await.into_iter().flatten().collect()
}

/// Returns the nodes of live stores in the regions where the shard may be stored.
fn store_nodes(context: &Context, shard: &ShardId) -> Vec<Member> {
    let regions = regions_of(shard);
    let allows = |member: &&Member| regions.allows_zone(&context.settings.places.zones, member.zone.as_str());
    let cluster = context.cluster.load();
    cluster.members.iter().filter(|member| member.roles.store).filter(allows).cloned().collect()
}

async fn candidate(context: &Context, member: &Member) -> Option<SetMember> {
    let deadline = context.settings.store.call_timeout;
    let answer = context.peers.store(member.peer_address, StoreRequest::Identity, deadline).await;
    let Ok(StoreResponse::Identity(store)) = answer else { return None };
    let (node, zone) = (member.node.clone(), member.zone.clone());
    Some(SetMember { store, node, zone, address: member.peer_address.to_string() })
}

/// Returns the replica set of a shard that this node or a live store knows; does not ask the platform.
pub(crate) async fn find_among_stores(context: &Context, shard: &ShardId) -> Option<ReplicaSet> {
    if let Some(set) = context.replica_sets.get(shard) {
        return Some(set);
    }
    let set = query_stores(context, shard).await?;
    context.replica_sets.put(&set);
    Some(set)
}

/// Returns the latest set that any live store knows.
pub(crate) async fn query_stores(context: &Context, shard: &ShardId) -> Option<ReplicaSet> {
    let deadline = context.settings.store.call_timeout;
    let nodes = store_nodes(context, shard);
    let answers = nodes.iter().map(|member| {
        context.peers.store(member.peer_address, StoreRequest::KnownSet(shard.clone()), deadline)
    });
    let known = join_all(answers).await.into_iter().filter_map(|answer| match answer {
        Ok(StoreResponse::KnownSet(known)) => known.map(|known| known.set),
        _ => None,
    });
    known.max_by_key(|set| set.generation)
}

async fn read_or_create(context: &Context, shard: &ShardId) -> Result<ReplicaSet, ReplicaSetError> {
    let client = DocumentClient::from_settings(&context.settings)?;
    if let Some(stored) = read(&client, shard).await? {
        return Ok(stored.document.current);
    }
    let set = choose_first_set(context, shard, &candidates(context, shard).await)?;
    let written = write(&client, shard, None, &ReplicaSetDocument::settled(set)).await;
    // The stored document is authoritative, whether another node wrote first or the reply was lost.
    let stored = read(&client, shard).await?;
    let Some(stored) = stored else {
        written?;
        return Err(ReplicaSetError::WriteLost);
    };
    let set = stored.document.current;
    let is_small = set.members.len() < context.settings.store.set_size.members();
    placement::record_placement(
        context,
        &set,
        "placed",
        if is_small { "fewer_stores" } else { "first_replica_set" },
    );
    Ok(set)
}

/// Chooses the first set of a shard. A set smaller than wanted is chosen only after waiting for more stores,
/// since it tolerates fewer losses until it has grown.
fn choose_first_set(
    context: &Context,
    shard: &ShardId,
    candidates: &[SetMember],
) -> Result<ReplicaSet, ReplicaSetError> {
    let policy = placement::policy(context);
    let set = policy.first_set(shard, candidates)?;
    let (live, wanted) = (set.members.len(), policy.target.members());
    let small_set_after = context.settings.store.small_set_after;
    if live < wanted && context.replica_sets.shortage_duration(shard, candidates) < small_set_after {
        return Err(ReplicaSetError::WaitingForStores { live, wanted, small_set_after });
    }
    Ok(set)
}
