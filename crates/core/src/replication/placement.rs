//! Chooses the first replica set of a shard and who takes the place of a member.

use std::collections::BTreeSet;

use xxhash_rust::xxh3::xxh3_64;

use super::replica_set::{Generation, ReplicaSet, SetMember};
use crate::identity::{ShardId, ZoneName};

/// Store replicas of a shard.
pub const REPLICAS: usize = 3;

/// The weight of a store for a shard, the same on every node (highest random weight hashing, Thaler and
/// Ravishankar 1998).
fn weight(shard: &ShardId, candidate: &SetMember) -> u64 {
    xxh3_64(format!("{shard}\n{}", candidate.store).as_bytes())
}

/// The first replica set: the stores with the highest weights, in different zones as far as there are enough.
/// `None` where there are fewer than [`REPLICAS`] stores.
pub fn first_set(shard: &ShardId, candidates: &[SetMember]) -> Option<ReplicaSet> {
    let mut members: Vec<SetMember> = Vec::new();
    while members.len() < REPLICAS {
        members.push(best_addition(shard, &members, candidates)?);
    }
    Some(ReplicaSet { shard: shard.clone(), generation: Generation::FIRST, members })
}

/// The best store to add to `members`: first one in a zone that has none of them, then the highest weight.
pub fn best_addition(shard: &ShardId, members: &[SetMember], candidates: &[SetMember]) -> Option<SetMember> {
    let zones: BTreeSet<&ZoneName> = members.iter().map(|member| &member.zone).collect();
    let is_member = |candidate: &SetMember| {
        members.iter().any(|member| member.store == candidate.store || member.node == candidate.node)
    };
    let eligible = candidates.iter().filter(|candidate| !is_member(candidate));
    let best = eligible.max_by_key(|candidate| {
        (!zones.contains(&candidate.zone), weight(shard, candidate), candidate.store.clone())
    });
    best.cloned()
}
