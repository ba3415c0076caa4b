//! Requests to the owner of a shard of rollout jobs or weights.
//!
//! All requests are idempotent.

use lichenpulley_core::identity::{JobId, NodeId, PoolName, ReplicaId, ShardId};
use speedy::{Readable, Writable};

use crate::caller::{JobSpecification, JobStatus, PublishWeights, PullRequest, PullResponse, WeightsStatus};

/// A request to a shard's owner.
#[derive(Clone, Debug, Readable, Writable)]
pub enum CoordinatorRequest {
    /// Asks the owner of a shard to run it; sent by a store replica that holds the shard.
    Own(ShardId),
    /// Creates a job; repeating the same specification has no effect.
    SubmitJob(JobSpecification),
    /// Requests a job's status.
    JobStatus(JobId),
    /// Pulls samples for a trainer.
    Pull(JobId, PullRequest),
    /// Publishes a new version of a pool's weights.
    PublishWeights(PoolName, PublishWeights),
    /// Requests the rollout progress of a pool's weights.
    WeightsStatus(PoolName),
    /// Orders a replica to drain or to accept work again.
    ChangeRole {
        /// The replica's pool.
        pool: PoolName,
        /// The replica.
        replica: ReplicaId,
        /// Whether the replica should drain.
        draining: bool,
    },
}

impl CoordinatorRequest {
    /// Returns the shard whose owner serves the request.
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

/// Returns the shard of a job.
pub fn job_shard(job: &JobId) -> ShardId {
    ShardId::new(format!("job/{job}"))
}

/// Returns the shard of a pool's weights.
pub fn weights_shard(pool: &PoolName) -> ShardId {
    ShardId::new(format!("weights/{pool}"))
}

/// The response to a [`CoordinatorRequest`].
#[derive(Clone, Debug, Readable, Writable)]
pub enum CoordinatorResponse {
    /// The shard runs on the responding node, or is being taken over by it.
    Owned,
    /// The job's status.
    Job(JobStatus),
    /// The pulled samples.
    Samples(PullResponse),
    /// The currently published version.
    Weights(PublishWeights),
    /// The rollout progress of the pool's weights.
    WeightsStatus(WeightsStatus),
    /// The role is committed; the order is repeated until the replica has taken it.
    RoleChanged,
    /// The node does not own the shard; contains the presumed owner, if known.
    NotOwner(Option<NodeId>),
    /// The request is refused, with an error for the caller.
    Refused {
        /// Stable identifier of the error, in snake case.
        kind: String,
        /// Human-readable description of the error.
        message: String,
        /// How the caller can resolve the error.
        remedy: String,
        /// Delay before a retry, in milliseconds; 0 if a retry does not help.
        retry_after_ms: u64,
    },
}
