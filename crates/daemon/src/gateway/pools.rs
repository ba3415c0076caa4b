//! The node's pools, shared by the requests that run on them.
//!
//! Owns each pool's state behind a lock that is held for single steps. Updates the pools from the machine
//! list and the settings tree; the routing itself is in the core's `routing`.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use lichenpulley_core::configuration::schema::{LIVE_RESERVED_PERCENT, RETRY_BUDGET_PERCENT};
use lichenpulley_core::identity::{NodeId, PoolName, ReplicaId};
use lichenpulley_core::request::answer::Priority;
use lichenpulley_core::retry::budget::BudgetConfig;
use lichenpulley_core::routing::concurrency::{ConcurrencyConfig, MAX_RESERVED_PERCENT};
use lichenpulley_core::routing::eligibility::Eligibility;
use lichenpulley_core::routing::pool::ListedReplica;
use lichenpulley_core::routing::{Pool, PoolConfig};
use lichenpulley_core::time::Timestamp;
use lichenpulley_protocol::operator::{PoolStatus, ReplicaStatus};
use tokio::sync::Notify;

use crate::configuration::ConfigurationView;
use crate::context::NodeContext;
use crate::directory::{ReplicaDirectory, ReplicaEntry};

/// A pool shared by the requests that run on it. Its lock is held for single steps and never across an
/// `await`.
#[derive(Debug)]
pub struct SharedPool {
    state: Mutex<PoolState>,
    /// Notified after each probe of a replica, whether it succeeded or failed.
    pub probed: Notify,
}

#[derive(Debug)]
struct PoolState {
    pool: Pool,
    addresses: HashMap<ReplicaId, SocketAddr>,
    used_at: Option<Timestamp>,
}

impl PoolState {
    fn update(&mut self, entries: &[ReplicaEntry], config: PoolConfig) {
        self.pool.reconfigure(config);
        self.addresses.extend(entries.iter().map(|entry| (entry.replica.clone(), entry.address)));
        self.pool.set_listed_replicas(entries.iter().map(|entry| ListedReplica {
            replica: entry.replica.clone(),
            zone: entry.zone.clone(),
            leaving: entry.leaving,
        }));
        let replicas = self.pool.replicas();
        self.addresses.retain(|replica, _| replicas.contains_key(replica));
    }
}

impl SharedPool {
    fn new(node: NodeId, config: PoolConfig, now: Timestamp) -> Self {
        let state =
            PoolState { pool: Pool::new(node, config, now), addresses: HashMap::new(), used_at: None };
        Self { state: Mutex::new(state), probed: Notify::new() }
    }

    /// Runs `step` on the pool while holding its lock.
    pub fn with<T>(&self, step: impl FnOnce(&mut Pool) -> T) -> T {
        step(&mut self.lock().pool)
    }

    /// Returns the address at which a replica is or was last listed.
    pub fn address(&self, replica: &ReplicaId) -> Option<SocketAddr> {
        self.lock().addresses.get(replica).copied()
    }

    /// Records that a request uses the pool at `now`.
    pub fn mark_used(&self, now: Timestamp) {
        self.lock().used_at = Some(now);
    }

    /// Returns whether a request has used the pool during the last `within`.
    pub(crate) fn is_in_use(&self, now: Timestamp, within: Duration) -> bool {
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
    /// The directory and settings from which the pools were last updated.
    source: Option<(Arc<ReplicaDirectory>, Arc<ConfigurationView>)>,
    pools: HashMap<PoolName, Arc<SharedPool>>,
}

impl Pools {
    /// Updates the pools if the directory or the settings tree has changed.
    pub fn refresh(&self, context: &NodeContext, now: Timestamp) {
        let directory = context.directory.load_full();
        let configuration = context.configuration.load_full();
        let mut state = self.lock();
        let is_known = state.source.as_ref().is_some_and(|(known_directory, known_configuration)| {
            Arc::ptr_eq(known_directory, &directory) && Arc::ptr_eq(known_configuration, &configuration)
        });
        if is_known {
            return;
        }
        for (name, entries) in &directory.pools {
            let config = pool_config(context, &configuration, name);
            let new_pool = || Arc::new(SharedPool::new(context.node.clone(), config, now));
            let pool = state.pools.entry(name.clone()).or_insert_with(new_pool);
            pool.lock().update(entries, config);
        }
        for (name, pool) in &state.pools {
            if !directory.pools.contains_key(name) {
                pool.lock().pool.set_listed_replicas([]);
            }
        }
        state.source = Some((directory, configuration));
    }

    /// Returns the pool of this name if the directory has ever listed it.
    pub fn get(&self, name: &PoolName) -> Option<Arc<SharedPool>> {
        self.lock().pools.get(name).cloned()
    }

    /// Returns all pools.
    pub fn all(&self) -> Vec<Arc<SharedPool>> {
        self.lock().pools.values().cloned().collect()
    }

    /// Returns the status of all pools, sorted by name.
    pub fn status(&self, now: Timestamp) -> Vec<PoolStatus> {
        let pools: Vec<_> =
            self.lock().pools.iter().map(|(name, pool)| (name.clone(), Arc::clone(pool))).collect();
        let mut statuses: Vec<PoolStatus> = pools
            .into_iter()
            .map(|(name, pool)| PoolStatus {
                pool: name,
                replicas: pool.with(|pool| replica_statuses(pool, now)),
            })
            .collect();
        statuses.sort_by(|left, right| left.pool.cmp(&right.pool));
        statuses
    }

    fn lock(&self) -> MutexGuard<'_, PoolsState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns a pool's routing configuration: the validity of confirmations from the node's settings file, retry
/// budget and live reserve from the settings tree, the rest from the defaults.
fn pool_config(context: &NodeContext, configuration: &ConfigurationView, pool: &PoolName) -> PoolConfig {
    let defaults = PoolConfig::default();
    let retry_percent = configuration.for_pool(pool, &RETRY_BUDGET_PERCENT);
    let live_percent = configuration.for_pool(pool, &LIVE_RESERVED_PERCENT);
    PoolConfig {
        confirmation_validity: context.settings.gateway.eligibility,
        budget: BudgetConfig { deposit_ratio: retry_percent as f64 / 100.0, ..defaults.budget },
        concurrency: ConcurrencyConfig {
            live_reserve_percent: u8::try_from(live_percent).unwrap_or(u8::MAX).min(MAX_RESERVED_PERCENT),
            ..defaults.concurrency
        },
        ..defaults
    }
}

/// Returns the eligibility shown to operators. A replica outside this node's subset is shown as such, since
/// other nodes may use it.
const fn displayed_eligibility(eligibility: Eligibility, in_subset: bool) -> &'static str {
    match eligibility {
        Eligibility::Leaving => eligibility.as_str(),
        _ if !in_subset => "outside_subset",
        _ => eligibility.as_str(),
    }
}

fn replica_statuses(pool: &Pool, now: Timestamp) -> Vec<ReplicaStatus> {
    let validity = pool.config().confirmation_validity;
    let listed = pool.replicas().iter().map(|(id, replica)| {
        let eligibility: Eligibility = replica.confirmation.eligibility(now, validity);
        ReplicaStatus {
            replica: id.clone(),
            zone: replica.zone.clone(),
            eligibility: displayed_eligibility(eligibility, replica.in_subset).to_owned(),
            in_flight: replica.load.in_flight(),
            concurrency_limit: replica.concurrency.limit(),
            rollout_limit: replica.concurrency.limit_for(Priority::Rollout),
            weight_version: replica.load.report().and_then(|report| report.weight_version),
        }
    });
    listed.collect()
}
