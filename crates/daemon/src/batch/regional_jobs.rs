//! Shards of batch jobs that may be stored only in certain regions.
//!
//! A node takes part in the shards whose regions include it, from when a configuration first names them until
//! the node stops, so that jobs survive a change of their route's regions. Without regions in the settings,
//! no configuration is followed.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::{Mutex, MutexGuard, PoisonError};

use lichenpulley_core::batch::regional::{self, MAX_SHARDS};
use lichenpulley_core::decision::{Component, Decision};
use lichenpulley_core::identity::{BatchId, ShardId};
use lichenpulley_core::ingress::places::AllowedRegions;
use lichenpulley_core::ingress::routes::RouteTable;
use tokio::runtime::Handle;

use super::EndHolder;
use super::job_shard::JobShard;
use crate::context::Context;
use crate::ingress::pool::ReplicaPool;
use crate::ownership::scope::Scope;

/// Maximum number of jobs whose shard is remembered. Requests for other jobs go to every shard.
const MAX_REMEMBERED_JOBS: usize = 1_024;

/// All regional shards known to this node.
pub(super) struct RegionalJobs {
    context: Context,
    pool: ReplicaPool,
    ends: EndHolder,
    control: Handle,
    traffic: Handle,
    known: Mutex<KnownShards>,
}

#[derive(Default)]
struct KnownShards {
    shards: BTreeMap<ShardId, JobShard>,
    by_job: HashMap<BatchId, ShardId>,
    /// Remembered jobs, the oldest first, for eviction.
    job_order: VecDeque<BatchId>,
}

impl RegionalJobs {
    pub(super) fn new(
        context: Context,
        pool: ReplicaPool,
        ends: EndHolder,
        control: Handle,
        traffic: Handle,
    ) -> Self {
        Self { context, pool, ends, control, traffic, known: Mutex::default() }
    }

    /// Joins the shards that each new configuration names, until the node has stopped.
    pub(super) async fn follow(&self) {
        let mut changes = self.context.metadata.watch();
        let mut seen = None;
        loop {
            let table = self.context.metadata.routes.load_full();
            if let Some(table) = table.filter(|table| seen != Some(table.version)) {
                self.join_shards(&table);
                seen = Some(table.version);
            }
            tokio::select! {
                () = self.context.stopped.cancelled() => return,
                changed = changes.changed() => if changed.is_err() { return },
            }
        }
    }

    fn join_shards(&self, table: &RouteTable) {
        for region in regional::unknown_regions(table, &self.context.settings.places.zones) {
            log::warn!(target: "batch", "`allowed_regions` names {region}, which has no zone in `places.zones`: requests and jobs bound to it alone are refused. Add its zones or remove the region.");
        }
        let sets = regional::region_sets(table);
        let count = sets.len();
        if count > MAX_SHARDS {
            log::error!(target: "batch", "The configuration binds batch jobs to {count} sets of regions, but at most {MAX_SHARDS} are supported: name fewer sets in `allowed_regions`.");
        }
        for regions in sets.into_iter().take(MAX_SHARDS) {
            self.shard(&regions);
        }
    }

    /// Returns the shard of these regions, starting it if it is new. Returns `None` if there are already
    /// [`MAX_SHARDS`].
    pub(super) fn shard(&self, regions: &AllowedRegions) -> Option<JobShard> {
        let mut known = self.known();
        let id = regional::shard_of(regions);
        if let Some(shard) = known.shards.get(&id) {
            return Some(shard.clone());
        }
        if known.shards.len() >= MAX_SHARDS {
            return None;
        }
        let scope = Scope::in_regions(&self.context, regions.clone());
        let takes_part = scope.allows_this_node() && self.context.settings.roles.coordinator;
        let decision = Decision::new(Component::Rollout, "regional_shard", "configured", &id);
        let decision = decision.with("regions", regions).with("takes_part", takes_part);
        self.context.decisions.record(decision);
        let (pool, ends) = (self.pool.clone(), self.ends.clone());
        let shard = JobShard::start(scope, pool, ends, &self.control, self.traffic.clone());
        known.shards.insert(id, shard.clone());
        Some(shard)
    }

    /// Returns the shard with this id, if it is known to this node.
    pub(super) fn shard_by_id(&self, id: &ShardId) -> Option<JobShard> {
        self.known().shards.get(id).cloned()
    }

    /// Returns all regional shards known to this node.
    pub(super) fn all(&self) -> Vec<JobShard> {
        self.known().shards.values().cloned().collect()
    }

    /// Returns the shard in which a job was last found, which may be the main shard, or `None` if it is not
    /// remembered.
    pub(super) fn shard_of_job(&self, batch: &BatchId) -> Option<ShardId> {
        self.known().by_job.get(batch).cloned()
    }

    /// Remembers the shard of a job.
    pub(super) fn remember(&self, batch: &BatchId, shard: &ShardId) {
        let mut known = self.known();
        if known.by_job.insert(batch.clone(), shard.clone()).is_some() {
            return;
        }
        known.job_order.push_back(batch.clone());
        if known.job_order.len() > MAX_REMEMBERED_JOBS
            && let Some(oldest) = known.job_order.pop_front()
        {
            known.by_job.remove(&oldest);
        }
    }

    fn known(&self) -> MutexGuard<'_, KnownShards> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
