//! Replica sets that this node has met, and how long a shard has had too few stores.
//!
//! Part of a node's context, so that owners, gateways and the store find a set without a question. A set that is out of date
//! does no harm: its members are sealed and name their successor.

use std::collections::{HashMap, HashSet};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use lichenpulley_core::identity::ShardId;
use lichenpulley_core::replication::replica_set::{ReplicaSet, SetMember, StoreId};
use tokio::time::Instant;

/// Replica sets that this node has met.
#[derive(Debug, Default)]
pub struct ReplicaSetCache {
    sets: ArcSwap<HashMap<ShardId, ReplicaSet>>,
    shortages: Mutex<HashMap<ShardId, Shortage>>,
}

impl ReplicaSetCache {
    /// The set last met for a shard.
    pub fn get(&self, shard: &ShardId) -> Option<ReplicaSet> {
        self.sets.load().get(shard).cloned()
    }

    /// Keeps a set, unless a later one is kept.
    pub fn put(&self, set: &ReplicaSet) {
        self.sets.rcu(|sets| {
            let mut sets = HashMap::clone(sets);
            let known = sets.get(&set.shard);
            if known.is_none_or(|known| known.generation < set.generation) {
                sets.insert(set.shard.clone(), set.clone());
            }
            sets
        });
    }

    /// Forgets a set that led nowhere, so that it is looked for again.
    pub fn remove(&self, shard: &ShardId) {
        self.sets.rcu(|sets| {
            let mut sets = HashMap::clone(sets);
            sets.remove(shard);
            sets
        });
    }

    /// How long no store has come that was not seen before, while a shard has too few.
    pub(super) fn short_for(&self, shard: &ShardId, stores: &[SetMember]) -> Duration {
        let mut shortages = self.shortages.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        let none = || Shortage { seen: HashSet::new(), since: now };
        let shortage = shortages.entry(shard.clone()).or_insert_with(none);
        let before = shortage.seen.len();
        shortage.seen.extend(stores.iter().map(|member| member.store.clone()));
        if shortage.seen.len() > before {
            shortage.since = now;
        }
        shortage.since.elapsed()
    }
}

/// Fewer stores than a shard should have, as this node has seen them.
#[derive(Debug)]
struct Shortage {
    seen: HashSet<StoreId>,
    /// When the last of them was seen first.
    since: Instant,
}
