//! Chooses the first replica set of a shard and who takes the place of a member.

use std::cmp::Reverse;

use xxhash_rust::xxh3::xxh3_64;

use super::replica_set::{Generation, ReplicaSet, SetMember};
use crate::identity::{ShardId, ZoneName};

/// How many stores keep a shard.
///
/// Invariant: `tolerated` members may lose their disks at once and a majority of the set still holds each decided entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SetSize {
    tolerated: usize,
}

impl SetSize {
    /// The least set that bears the loss of so many disks at once.
    pub const fn tolerating(disks: usize) -> Self {
        Self { tolerated: disks }
    }

    /// Members of the set.
    pub const fn members(self) -> usize {
        2 * self.tolerated + 1
    }

    /// Members that decide together.
    pub const fn majority(self) -> usize {
        self.tolerated + 1
    }
}

impl Default for SetSize {
    /// Three members, of which one may be lost.
    fn default() -> Self {
        Self::tolerating(1)
    }
}

/// The weight of a store for a shard, the same on every node (highest random weight hashing, Thaler and
/// Ravishankar 1998).
fn weight(shard: &ShardId, candidate: &SetMember) -> u64 {
    xxh3_64(format!("{shard}\n{}", candidate.store).as_bytes())
}

/// The first replica set: the stores with the highest weights, in different zones as far as there are enough.
/// `None` where there are fewer stores than the set has members.
pub fn first_set(shard: &ShardId, candidates: &[SetMember], size: SetSize) -> Option<ReplicaSet> {
    let mut members: Vec<SetMember> = Vec::new();
    while members.len() < size.members() {
        members.push(best_addition(shard, &members, candidates)?);
    }
    Some(ReplicaSet { shard: shard.clone(), generation: Generation::FIRST, members })
}

/// The best store to add to `members`: first one in a zone that has fewest of them, then the highest weight. So a set
/// of five in three zones never has three members in one, and bears the loss of any zone.
pub fn best_addition(shard: &ShardId, members: &[SetMember], candidates: &[SetMember]) -> Option<SetMember> {
    let in_zone = |zone: &ZoneName| members.iter().filter(|member| &member.zone == zone).count();
    let is_member = |candidate: &SetMember| {
        members.iter().any(|member| member.store == candidate.store || member.node == candidate.node)
    };
    let eligible = candidates.iter().filter(|candidate| !is_member(candidate));
    let best = eligible.max_by_key(|candidate| {
        (Reverse(in_zone(&candidate.zone)), weight(shard, candidate), candidate.store.clone())
    });
    best.cloned()
}
