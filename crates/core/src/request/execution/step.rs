//! What an execution is made from, what it asks of its driver, and what the driver reports. Values only: the
//! daemon's `gateway::runner` and the lab's simulation are the two drivers.

use crate::identity::{AttemptId, ReplicaId, RequestId, WeightVersion};
use crate::request::answer::{FinishReason, Priority};
use crate::request::assembly::Chunk;
use crate::request::outcome::RequestOutcome;
use crate::routing::load::LoadReport;
use crate::time::Timestamp;

/// What is to be run.
#[derive(Clone, Debug)]
pub struct ExecutionSpec {
    /// The request.
    pub request: RequestId,
    /// Names this run of the request; unique across nodes and restarts.
    pub execution: String,
    /// The prompt's prefix group.
    pub prefix_group: u64,
    /// Who waits.
    pub priority: Priority,
    /// At most this many tokens.
    pub max_tokens: u32,
    /// When the answer is of no use any more.
    pub deadline: Timestamp,
    /// Whether running it twice does no harm. Otherwise it is claimed first and sent on to no second engine.
    pub repeatable: bool,
    /// Replicas that report older weights are passed over.
    pub minimum_version: Option<WeightVersion>,
}

/// What the driver does next.
#[derive(Debug)]
pub enum Step {
    /// Claim the request's id, then call [`Execution::claimed`](super::Execution::claimed).
    Claim {
        /// The attempt to claim for.
        attempt: AttemptId,
    },
    /// Ask these replicas for their load without waiting for them, hand the answers to
    /// [`Pool::observe`](crate::routing::pool::Pool::observe) or
    /// [`Pool::failed`](crate::routing::pool::Pool::failed), and call `next` again at `until`, or sooner when
    /// one has answered.
    Probe {
        /// The replicas; empty where they have been asked already.
        replicas: Vec<ReplicaId>,
        /// When to call `next` again.
        until: Timestamp,
    },
    /// Send the request to an engine.
    Dispatch {
        /// The engine.
        replica: ReplicaId,
        /// Names the attempt.
        attempt: AttemptId,
        /// Tokens that are known already; the engine goes on after them.
        prior_tokens: Vec<u32>,
    },
    /// Ask the same engine for the rest of a stream.
    Resume {
        /// The engine.
        replica: ReplicaId,
        /// The attempt.
        attempt: AttemptId,
        /// The first token wanted.
        from: u32,
    },
    /// Wait for the next event of the open stream; call [`Execution::stream_stalled`](super::Execution::stream_stalled)
    /// when none came by `until`.
    Receive {
        /// When to stop waiting.
        until: Timestamp,
    },
    /// Call `next` again at this time.
    Wait {
        /// The time.
        until: Timestamp,
    },
    /// The request is over.
    Finish(Box<RequestOutcome>),
}

/// What became of the claim on a request's id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimVerdict {
    /// This execution holds it.
    Granted,
    /// Another holds it, or may.
    Held,
    /// It is older than claims are kept.
    Expired,
    /// No majority answered.
    NoMajority,
}

/// An event of an engine's stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineEvent {
    /// The engine has taken the attempt.
    Admitted(LoadReport),
    /// Some tokens.
    Tokens(Chunk),
    /// Nothing follows.
    Finished {
        /// Tokens in all.
        token_count: u32,
        /// Why it ended.
        finish_reason: FinishReason,
        /// The engine's load.
        load: LoadReport,
    },
    /// The engine gave the stream up.
    Failed,
}

/// Why an engine refused, as far as it matters here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalCause {
    /// It has too much to do.
    Overloaded,
    /// It takes nothing new, or has no weights.
    NotServing,
}
