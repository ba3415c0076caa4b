//! Requests to the owner of a shard of control work.

use lichenpulley_core::identity::{JobId, NodeId, PoolName};
use speedy::{Readable, Writable};

use crate::caller::{JobSpecification, JobStatus, PublishWeights, PullRequest, PullResponse};

/// A request to a shard's owner.
#[derive(Clone, Debug, Readable, Writable)]
pub enum CoordinatorRequest {
    /// Creates a job; repeating the same specification changes nothing.
    SubmitJob(JobSpecification),
    /// Asks how a job stands.
    JobStatus(JobId),
    /// A trainer's pull.
    Pull(JobId, PullRequest),
    /// A new version of a pool's weights.
    PublishWeights(PoolName, PublishWeights),
}

/// Its answer.
#[derive(Clone, Debug, Readable, Writable)]
pub enum CoordinatorResponse {
    /// How the job stands.
    Job(JobStatus),
    /// Samples.
    Samples(PullResponse),
    /// The version now published.
    Weights(PublishWeights),
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
