//! The pools as the traffic threads of this node see them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use lichenpulley_core::identity::{PoolName, ReplicaId};
use lichenpulley_core::routing::eligibility::Eligibility;
use lichenpulley_core::routing::pool::ListedReplica;
use lichenpulley_core::routing::{Pool, PoolConfig};
use lichenpulley_core::time::Timestamp;
use lichenpulley_protocol::operator::{PoolStatus, ReplicaStatus};
use tokio::sync::Notify;

use crate::directory::ReplicaDirectory;

/// One pool, shared by the requests that run on it. Its lock is held for single steps only, never across a wait.
#[derive(Debug)]
pub struct SharedPool {
    state: Mutex<PoolState>,
    /// Told whenever a replica has answered a probe.
    pub probed: Notify,
}

#[derive(Debug)]
struct PoolState {
    pool: Pool,
    addresses: HashMap<ReplicaId, SocketAddr>,
    used_at: Option<Timestamp>,
}

impl SharedPool {
    fn new(config: PoolConfig, now: Timestamp) -> Self {
        let state = PoolState { pool: Pool::new(config, now), addresses: HashMap::new(), used_at: None };
        Self { state: Mutex::new(state), probed: Notify::new() }
    }

    /// Runs one step on the pool.
    pub fn with<T>(&self, step: impl FnOnce(&mut Pool) -> T) -> T {
        step(&mut self.lock().pool)
    }

    /// Where a replica is, or was when it was last listed.
    pub fn address(&self, replica: &ReplicaId) -> Option<SocketAddr> {
        self.lock().addresses.get(replica).copied()
    }

    /// Notes that a request uses the pool.
    pub fn used(&self, now: Timestamp) {
        self.lock().used_at = Some(now);
    }

    /// Whether a request used the pool within `within`.
    pub fn is_in_use(&self, now: Timestamp, within: Duration) -> bool {
        self.lock().used_at.is_some_and(|used_at| now < used_at + within)
    }

    fn lock(&self) -> MutexGuard<'_, PoolState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// All pools of the directory.
#[derive(Debug, Default)]
pub struct Pools {
    state: Mutex<PoolsState>,
}

#[derive(Debug, Default)]
struct PoolsState {
    directory: Option<Arc<ReplicaDirectory>>,
    pools: HashMap<PoolName, Arc<SharedPool>>,
}

impl Pools {
    /// Takes the directory over where it has changed.
    pub fn follow(&self, directory: Arc<ReplicaDirectory>, config: PoolConfig, now: Timestamp) {
        let mut state = self.lock();
        if state.directory.as_ref().is_some_and(|known| Arc::ptr_eq(known, &directory)) {
            return;
        }
        for (name, entries) in &directory.pools {
            let pool =
                state.pools.entry(name.clone()).or_insert_with(|| Arc::new(SharedPool::new(config, now)));
            let mut pool = pool.lock();
            pool.addresses.extend(entries.iter().map(|entry| (entry.replica.clone(), entry.address)));
            pool.pool.list(entries.iter().map(|entry| ListedReplica {
                replica: entry.replica.clone(),
                zone: entry.zone.clone(),
                leaving: entry.leaving,
            }));
            let PoolState { pool, addresses, .. } = &mut *pool;
            addresses.retain(|replica, _| pool.replicas().contains_key(replica));
        }
        for (name, pool) in &state.pools {
            if !directory.pools.contains_key(name) {
                pool.lock().pool.list([]);
            }
        }
        state.directory = Some(directory);
    }

    /// The pool of this name, if the directory has ever named it.
    pub fn get(&self, name: &PoolName) -> Option<Arc<SharedPool>> {
        self.lock().pools.get(name).cloned()
    }

    /// All pools.
    pub fn all(&self) -> Vec<Arc<SharedPool>> {
        self.lock().pools.values().cloned().collect()
    }

    /// The pools as operators see them.
    pub fn status(&self, now: Timestamp) -> Vec<PoolStatus> {
        let pools: Vec<_> =
            self.lock().pools.iter().map(|(name, pool)| (name.clone(), Arc::clone(pool))).collect();
        let mut statuses: Vec<PoolStatus> = pools
            .into_iter()
            .map(|(name, pool)| PoolStatus { pool: name, replicas: pool.with(|pool| replicas(pool, now)) })
            .collect();
        statuses.sort_by(|left, right| left.pool.cmp(&right.pool));
        statuses
    }

    fn lock(&self) -> MutexGuard<'_, PoolsState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn replicas(pool: &Pool, now: Timestamp) -> Vec<ReplicaStatus> {
    let holds = pool.config().confirmation_holds;
    let listed = pool.replicas().iter().map(|(id, replica)| {
        let eligibility: Eligibility = replica.confirmation.eligibility(now, holds);
        ReplicaStatus {
            replica: id.clone(),
            zone: replica.zone.clone(),
            eligibility: eligibility.as_str().to_owned(),
            in_flight: replica.load.in_flight(),
            concurrency_limit: replica.concurrency.limit(),
            weight_version: replica.load.report().and_then(|report| report.weight_version),
        }
    });
    listed.collect()
}
