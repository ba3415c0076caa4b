//! Batch jobs: ownership of their shards, and routing of requests to the owners.
//!
//! Jobs that may be stored anywhere form the main shard; the jobs bound to one set of regions form a shard of
//! their own. The owner of a shard writes its replicated log under an epoch. The epoch of the main shard is
//! also the fencing token of load orders to replicas, which only the main shard's owner sends. Candidates for
//! ownership poll the stores to detect an owner that no longer appends.

pub(crate) mod candidate;
mod end_file;
mod end_holder;
mod follower;
mod held_ends;
mod job_shard;
mod load;
mod outline;
mod owner;
mod regional_jobs;
mod run;
mod score;
mod set_maintenance;

use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::future::join_all;
use futures::stream::FuturesUnordered;
use lichenpulley_core::identity::{BatchId, NodeId, ShardId};
use lichenpulley_core::ingress::places::AllowedRegions;
use lichenpulley_protocol::internal::{BatchRequest, BatchResponse};
use lichenpulley_protocol::operator::ShardQueue;
use tokio::runtime::Handle;
use tokio::sync::oneshot;

use crate::context::Context;
use crate::ingress::pool::ReplicaPool;
use crate::ownership::scope::Scope;
use crate::peers::PeerClients;
pub(crate) use end_holder::EndHolder;
pub(crate) use job_shard::JobShard;
use regional_jobs::RegionalJobs;

/// A request to the owner, with the channel for its response.
pub(super) struct Command {
    pub(super) request: BatchRequest,
    pub(super) reply: oneshot::Sender<BatchResponse>,
}

impl Command {
    /// Sends the response. A caller that no longer waits is ignored.
    pub(super) fn answer(self, response: BatchResponse) {
        let _ = self.reply.send(response);
    }
}

/// Client of the batch jobs. Cheap to clone; usable from any runtime.
#[derive(Clone)]
pub struct BatchJobs {
    main: JobShard,
    ends: EndHolder,
    regional: Arc<RegionalJobs>,
}

/// Starts this node's batch-job tasks on the current runtime. Runs of items are spawned on `traffic`.
pub fn start(context: &Context, pool: ReplicaPool, traffic: Handle) -> BatchJobs {
    let control = Handle::current();
    let ends = EndHolder::new(context);
    let main = JobShard::start(Scope::main(context), pool.clone(), ends.clone(), &control, traffic.clone());
    let regional = Arc::new(RegionalJobs::new(Arc::clone(context), pool, ends.clone(), control, traffic));
    if !context.settings.places.zones.regions().is_empty() {
        let regional = Arc::clone(&regional);
        tokio::spawn(async move { regional.follow().await });
    }
    let jobs = BatchJobs { main, ends, regional };
    tokio::spawn(jobs.ends.clone().run(jobs.clone()));
    jobs
}

impl BatchJobs {
    /// Answers a peer's request to the main shard, or returns `NotOwner` with the owner known here.
    pub async fn answer(&self, request: BatchRequest) -> BatchResponse {
        self.main.answer(request).await
    }

    /// Answers a peer's request to a regional shard, or returns `NotOwner`.
    pub async fn answer_for(&self, shard: &ShardId, request: BatchRequest) -> BatchResponse {
        match self.regional.shard_by_id(shard) {
            Some(shard) => shard.answer(request).await,
            None => BatchResponse::NotOwner(None),
        }
    }

    /// Returns the holder of the job ends that are pending on this node.
    pub(crate) const fn ends(&self) -> &EndHolder {
        &self.ends
    }

    /// Sends a request to the owner of the main shard, which also holds the duties.
    pub async fn ask(&self, request: BatchRequest) -> BatchResponse {
        self.main.ask(request).await
    }

    /// Returns the owner of the main shard, as far as this node knows.
    pub(crate) fn main_owner(&self) -> Option<NodeId> {
        self.main.scope.known_owner()
    }

    /// Sends a request that the owner's release may not know to the owner of the main shard, through connections
    /// that are used for nothing else. Returns `None` if there was no answer.
    pub(crate) async fn ask_main_once(
        &self,
        peers: &PeerClients,
        request: BatchRequest,
        timeout: Duration,
    ) -> Option<BatchResponse> {
        self.main.ask_once(peers, request, timeout).await
    }

    /// Returns the shard for jobs bound to `regions`, or `None` if there are too many sets of regions.
    pub(crate) fn shard(&self, regions: &AllowedRegions) -> Option<JobShard> {
        if regions.is_all() { Some(self.main.clone()) } else { self.regional.shard(regions) }
    }

    /// Returns the scopes of all shards known to this node, the main shard first.
    pub(crate) fn scopes(&self) -> Vec<Scope> {
        let regional = self.regional.all().into_iter().map(|shard| shard.scope);
        [self.main.scope.clone()].into_iter().chain(regional).collect()
    }

    /// Returns the waiting work of all shards known to this node, the main shard first.
    pub(crate) async fn queues(&self) -> Vec<ShardQueue> {
        let shards: Vec<JobShard> = [self.main.clone()].into_iter().chain(self.regional.all()).collect();
        join_all(shards.iter().map(JobShard::queue)).await
    }

    /// Remembers the shard that accepted a job.
    pub(crate) fn remember(&self, batch: &BatchId, shard: &JobShard) {
        if !shard.scope.is_main() {
            self.regional.remember(batch, &shard.scope.shard);
        }
    }

    /// Sends a request about a job whose shard is not given: to the shard remembered for it, or else to all
    /// shards at once. Returns `Unknown` only if every shard asked does not know the job.
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
                BatchResponse::Unavailable if shard.scope.was_never_created().await => {}
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
