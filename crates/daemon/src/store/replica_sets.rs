//! Finds the replica set of a shard, or chooses the first one.
//!
//! An outdated set is harmless: its members are sealed, refuse requests and name the next set. Any source may
//! therefore be used, and those that don't need the platform come first: this node's cache, the stores, then
//! the document.

mod document;
mod error;

use std::collections::BTreeMap;
use std::sync::Arc;

use futures::future::join_all;
use lichenpulley_core::batch::regional::regions_of;
use lichenpulley_core::identity::{NodeId, ShardId, ZoneName};
use lichenpulley_core::replication::replica_set::{ReplicaSet, ReplicaSetDocument, SetMember};
use lichenpulley_protocol::internal::{StoreRequest, StoreResponse};

pub(super) use self::document::{DocumentClient, StoredDocument, read, write};
pub use self::error::ReplicaSetError;
use super::placement;
use crate::cluster::{Member, rendezvous_weight};
use crate::context::Context;

/// Number of stores of each zone that are asked about a shard, besides the members of its set. Leaves a choice
/// when some of them are lost or retired.
const STORES_PER_ZONE: usize = 4;

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

/// Returns the live stores that are candidates for a shard's set, including the members of the known set.
pub(crate) async fn candidates(context: &Context, shard: &ShardId) -> Vec<SetMember> {
    let asked = likely_stores(context, shard);
    let answers = asked.iter().map(|member| candidate(context, member));
    join_all(answers).await.into_iter().flatten().collect()
}

/// Returns the stores that are asked about a shard: the members of the known set, and in each zone the
/// [`STORES_PER_ZONE`] first ones by rendezvous weight. First sets and replacements are chosen among these, so
/// their number does not grow with the deployment, and they know the sets that other nodes chose.
pub(crate) fn likely_stores(context: &Context, shard: &ShardId) -> Vec<Arc<Member>> {
    let mut zones: BTreeMap<ZoneName, Vec<(u64, Arc<Member>)>> = BTreeMap::new();
    for store in store_nodes(context, shard) {
        let weight = rendezvous_weight(&store.node, shard);
        zones.entry(store.zone.clone()).or_default().push((weight, store));
    }
    let set = context.replica_sets.get(shard);
    let is_member =
        |node: &NodeId| set.as_ref().is_some_and(|set| set.members.iter().any(|member| member.node == *node));
    let mut likely = Vec::new();
    for mut stores in zones.into_values() {
        stores.sort_unstable_by(|left, right| {
            right.0.cmp(&left.0).then_with(|| left.1.node.cmp(&right.1.node))
        });
        let first = stores.into_iter().enumerate();
        let first = first.filter(|(rank, (_, store))| *rank < STORES_PER_ZONE || is_member(&store.node));
        likely.extend(first.map(|(_, (_, store))| store));
    }
    likely
}

/// Returns the nodes of live stores in the regions where the shard may be stored.
fn store_nodes(context: &Context, shard: &ShardId) -> Vec<Arc<Member>> {
    let regions = regions_of(shard);
    let allows =
        |member: &&Arc<Member>| regions.allows_zone(&context.settings.places.zones, member.zone.as_str());
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

/// Returns the replica set of a shard that this node or a likely store knows; does not ask the platform.
pub(crate) async fn find_among_likely(context: &Context, shard: &ShardId) -> Option<ReplicaSet> {
    if let Some(set) = context.replica_sets.get(shard) {
        return Some(set);
    }
    let set = query(context, shard, &likely_stores(context, shard)).await?;
    context.replica_sets.put(&set);
    Some(set)
}

/// Returns the replica set of a shard that this node or any live store knows; does not ask the platform.
pub(crate) async fn find_among_stores(context: &Context, shard: &ShardId) -> Option<ReplicaSet> {
    if let Some(set) = context.replica_sets.get(shard) {
        return Some(set);
    }
    let set = query_stores(context, shard).await?;
    context.replica_sets.put(&set);
    Some(set)
}

/// Returns the latest set that any live store knows.
pub(crate) async fn query_all_stores(context: &Context, shard: &ShardId) -> Option<ReplicaSet> {
    query(context, shard, &store_nodes(context, shard)).await
}

/// Returns the latest set that the likely stores know, or else any other live store.
pub(crate) async fn query_stores(context: &Context, shard: &ShardId) -> Option<ReplicaSet> {
    let likely = likely_stores(context, shard);
    if let Some(set) = query(context, shard, &likely).await {
        return Some(set);
    }
    let mut others = store_nodes(context, shard);
    others.retain(|store| !likely.iter().any(|asked| asked.node == store.node));
    query(context, shard, &others).await
}

/// Returns the latest set that one of these nodes knows.
async fn query(context: &Context, shard: &ShardId, nodes: &[Arc<Member>]) -> Option<ReplicaSet> {
    let deadline = context.settings.store.call_timeout;
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
