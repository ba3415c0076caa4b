//! Batch jobs: who owns them, and the way to the owner.
//!
//! The jobs of a deployment that may be kept anywhere are one shard of control work, and those bound to a set
//! of regions another. A shard's owner holds its log under an epoch; that of the main shard is also the
//! fencing token of the orders to replicas, which its owner alone gives. The candidates for ownership ask the
//! stores whether the owner still appends.

pub(crate) mod candidate;
mod end_holder;
mod follower;
mod job_shard;
mod keeper;
mod load;
mod outline;
mod owner;
mod regional_jobs;
mod run;
mod score;

use std::sync::Arc;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use lichenpulley_core::identity::{BatchId, ShardId};
use lichenpulley_core::ingress::places::AllowedRegions;
use lichenpulley_protocol::internal::{BatchRequest, BatchResponse};
use tokio::runtime::Handle;
use tokio::sync::oneshot;

use crate::context::Context;
use crate::ingress::pool::ReplicaPool;
use crate::ownership::scope::Scope;
pub(crate) use end_holder::EndHolder;
pub(crate) use job_shard::JobShard;
use regional_jobs::RegionalJobs;

/// A request to the owner, and where its answer goes.
pub(super) struct Command {
    pub(super) request: BatchRequest,
    pub(super) reply: oneshot::Sender<BatchResponse>,
}

impl Command {
    /// Answers; a caller that no longer waits is no matter.
    pub(super) fn answer(self, response: BatchResponse) {
        let _ = self.reply.send(response);
    }
}

/// The way to the batch jobs. Cheap to clone; usable from any runtime.
#[derive(Clone)]
pub struct BatchJobs {
    main: JobShard,
    ends: EndHolder,
    regional: Arc<RegionalJobs>,
}

/// Starts the node's part in batch jobs on the current runtime; runs of items go on `traffic`.
pub fn start(context: &Context, pool: ReplicaPool, traffic: Handle) -> BatchJobs {
    let control = Handle::current();
    let main = JobShard::start(Scope::main(context), pool.clone(), &control, traffic.clone());
    let regional = Arc::new(RegionalJobs::new(Arc::clone(context), pool, control, traffic));
    if !context.settings.places.zones.regions().is_empty() {
        let regional = Arc::clone(&regional);
        tokio::spawn(async move { regional.follow().await });
    }
    let jobs = BatchJobs { main, ends: EndHolder::new(context), regional };
    tokio::spawn(jobs.ends.clone().run(jobs.clone()));
    jobs
}

impl BatchJobs {
    /// Answers a peer about the main shard, or names its owner.
    pub async fn answer(&self, request: BatchRequest) -> BatchResponse {
        self.main.answer(request).await
    }

    /// Answers a peer about another shard.
    pub async fn answer_for(&self, shard: &ShardId, request: BatchRequest) -> BatchResponse {
        match self.regional.shard_by_id(shard) {
            Some(shard) => shard.answer(request).await,
            None => BatchResponse::NotOwner(None),
        }
    }

    /// The ends of jobs that this node holds.
    pub(crate) const fn ends(&self) -> &EndHolder {
        &self.ends
    }

    /// Asks the owner of the main shard, which has the duties.
    pub async fn ask(&self, request: BatchRequest) -> BatchResponse {
        self.main.ask(request).await
    }

    /// The shard that keeps the jobs of these regions; `None` where there are too many sets of regions.
    pub(crate) fn shard(&self, regions: &AllowedRegions) -> Option<JobShard> {
        if regions.is_all() { Some(self.main.clone()) } else { self.regional.shard(regions) }
    }

    /// Every shard that this node has met, the main one first.
    pub(crate) fn scopes(&self) -> Vec<Scope> {
        let regional = self.regional.all().into_iter().map(|shard| shard.scope);
        [self.main.scope.clone()].into_iter().chain(regional).collect()
    }

    /// Remembers where a job was taken.
    pub(crate) fn remember(&self, batch: &BatchId, shard: &JobShard) {
        if !shard.scope.is_main() {
            self.regional.remember(batch, &shard.scope.shard);
        }
    }

    /// Asks about a job of which only its id is known: the shard where it was met, or else all of them at
    /// once. It is unknown only where each says so.
    pub(crate) async fn ask_about(&self, batch: &BatchId, request: BatchRequest) -> BatchResponse {
        let regional = self.regional.all();
        if regional.is_empty() {
            return self.main.ask(request).await;
        }
        let known_shard = self.regional.shard_of_job(batch);
        let shards = regional.into_iter().chain([self.main.clone()]);
        let mut shards: Vec<JobShard> = shards.collect();
        if let Some(known_shard) = &known_shard {
            shards.retain(|shard| shard.scope.shard == *known_shard);
        }
        let mut responses: FuturesUnordered<_> = shards
            .into_iter()
            .map(|shard| {
                let request = request.clone();
                async move { (shard.ask(request).await, shard) }
            })
            .collect();
        let mut inconclusive = None;
        while let Some((response, shard)) = responses.next().await {
            match response {
                BatchResponse::Unknown => {}
                BatchResponse::Unavailable if shard.scope.was_never_made().await => {}
                BatchResponse::Unavailable | BatchResponse::InDoubt | BatchResponse::NotOwner(_) => {
                    inconclusive = Some(response);
                }
                response => {
                    self.regional.remember(batch, &shard.scope.shard);
                    return response;
                }
            }
        }
        inconclusive.unwrap_or(BatchResponse::Unknown)
    }
}
