//! Requests to the owner of a shard of control work.
//!
//! For rollout jobs and weights of the product's own interface. Each request can be repeated without harm.

use lichenpulley_core::identity::{JobId, NodeId, PoolName, ReplicaId, ShardId};
use speedy::{Readable, Writable};

use crate::caller::{JobSpecification, JobStatus, PublishWeights, PullRequest, PullResponse, WeightsStatus};

/// A request to a shard's owner.
#[derive(Clone, Debug, Readable, Writable)]
pub enum CoordinatorRequest {
    /// A store replica that holds this shard asks its owner to run it.
    Own(ShardId),
    /// Creates a job; repeating the same specification changes nothing.
    SubmitJob(JobSpecification),
    /// Asks how a job stands.
    JobStatus(JobId),
    /// A trainer's pull.
    Pull(JobId, PullRequest),
    /// A new version of a pool's weights.
    PublishWeights(PoolName, PublishWeights),
    /// Asks how far a pool's weights have come.
    WeightsStatus(PoolName),
    /// Orders a replica to drain, or to take work again.
    ChangeRole {
        /// Its pool.
        pool: PoolName,
        /// The replica.
        replica: ReplicaId,
        /// Whether it is to drain.
        draining: bool,
    },
}

impl CoordinatorRequest {
    /// The shard whose owner answers.
    pub fn shard(&self) -> ShardId {
        match self {
            Self::Own(shard) => shard.clone(),
            Self::SubmitJob(specification) => job_shard(&specification.job),
            Self::JobStatus(job) | Self::Pull(job, _) => job_shard(job),
            Self::PublishWeights(pool, _) | Self::WeightsStatus(pool) | Self::ChangeRole { pool, .. } => {
                weights_shard(pool)
            }
        }
    }
}

/// The shard of a job.
pub fn job_shard(job: &JobId) -> ShardId {
    ShardId::new(format!("job/{job}"))
}

/// The shard of a pool's weights.
pub fn weights_shard(pool: &PoolName) -> ShardId {
    ShardId::new(format!("weights/{pool}"))
}

/// Its answer.
#[derive(Clone, Debug, Readable, Writable)]
pub enum CoordinatorResponse {
    /// The shard runs on the node that answers, or is being taken over there.
    Owned,
    /// How the job stands.
    Job(JobStatus),
    /// Samples.
    Samples(PullResponse),
    /// The version now published.
    Weights(PublishWeights),
    /// How far a pool's weights have come.
    WeightsStatus(WeightsStatus),
    /// The role is kept by a majority, and ordered until the replica has taken it.
    RoleChanged,
    /// The node does not own the shard; ask this one, if it is known.
    NotOwner(Option<NodeId>),
    /// The request can't be met; a kind, a message and a remedy for the caller, and when to come back in
    /// milliseconds.
    Refused {
        /// A stable word in snake case.
        kind: String,
        /// What happened.
        message: String,
        /// What the caller can do.
        remedy: String,
        /// When to come back, in milliseconds; 0 where coming back does not help.
        retry_after_ms: u64,
    },
}
