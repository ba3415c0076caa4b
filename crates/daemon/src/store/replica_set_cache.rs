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

/// Minimum time between two lookups of a shard's set among all stores.
const LOOKUP_INTERVAL: Duration = Duration::from_millis(1_000);

/// Cache of replica sets by shard.
#[derive(Debug, Default)]
pub struct ReplicaSetCache {
    sets: ArcSwap<HashMap<ShardId, ReplicaSet>>,
    shortages: Mutex<HashMap<ShardId, Shortage>>,
    /// When the set of each shard was last looked up among all stores.
    lookups: Mutex<HashMap<ShardId, Instant>>,
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

    /// Returns whether the set of a shard may be looked up among all stores now, and counts that as a lookup. There
    /// is one at most per [`LOOKUP_INTERVAL`], since each asks every store.
    pub(crate) fn claim_lookup(&self, shard: &ShardId) -> bool {
        let mut lookups = self.lookups.lock().unwrap_or_else(PoisonError::into_inner);
        let is_due = lookups.get(shard).is_none_or(|at| at.elapsed() >= LOOKUP_INTERVAL);
        if is_due {
            lookups.insert(shard.clone(), Instant::now());
        }
        is_due
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
