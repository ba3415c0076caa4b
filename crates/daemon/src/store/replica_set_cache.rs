//! Cache of replica sets that this node has learned, and how long a shard has had too few stores.
//!
//! It is part of a node's context, so that owners, gateways and the store find a set without a request. An
//! outdated set is harmless: its members are sealed and name the next set.

use std::collections::{HashMap, HashSet};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use lichenpulley_core::identity::ShardId;
use lichenpulley_core::replication::replica_set::{ReplicaSet, SetMember, StoreId};
use tokio::time::Instant;

/// Cache of replica sets by shard.
#[derive(Debug, Default)]
pub struct ReplicaSetCache {
    sets: ArcSwap<HashMap<ShardId, ReplicaSet>>,
    shortages: Mutex<HashMap<ShardId, Shortage>>,
}

impl ReplicaSetCache {
    /// Returns the latest known set of a shard.
    pub fn get(&self, shard: &ShardId) -> Option<ReplicaSet> {
        self.sets.load().get(shard).cloned()
    }

    /// Stores a set unless a later generation is known.
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

    /// Removes a set that did not work, so that it is looked up again.
    pub fn remove(&self, shard: &ShardId) {
        self.sets.rcu(|sets| {
            let mut sets = HashMap::clone(sets);
            sets.remove(shard);
            sets
        });
    }

    /// Returns how long a shard with too few stores has seen no new store. `stores` are the live ones.
    pub(super) fn shortage_duration(&self, shard: &ShardId, stores: &[SetMember]) -> Duration {
        let mut shortages = self.shortages.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        let none = || Shortage { seen_stores: HashSet::new(), since: now };
        let shortage = shortages.entry(shard.clone()).or_insert_with(none);
        let before = shortage.seen_stores.len();
        shortage.seen_stores.extend(stores.iter().map(|member| member.store.clone()));
        if shortage.seen_stores.len() > before {
            shortage.since = now;
        }
        shortage.since.elapsed()
    }
}

/// State of a shard with too few stores.
#[derive(Debug)]
struct Shortage {
    seen_stores: HashSet<StoreId>,
    /// Time at which the last new store was seen.
    since: Instant,
}
