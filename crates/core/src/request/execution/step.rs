//! Inputs of an execution, the steps it returns to its driver, and the events that the driver reports. The
//! daemon's `gateway::runner` and the lab's simulation are the two drivers.

use crate::identity::{AttemptId, ReplicaId, RequestId, WeightVersion};
use crate::request::answer::{FinishReason, Priority};
use crate::request::assembly::Chunk;
use crate::request::outcome::RequestOutcome;
use crate::routing::load::LoadReport;
use crate::time::Timestamp;

/// The request to run and its limits.
#[derive(Clone, Debug)]
pub struct ExecutionSpec {
    /// The request's id.
    pub request: RequestId,
    /// Identifies this execution of the request; unique across nodes and restarts.
    pub execution: String,
    /// Prefix-cache group of the prompt.
    pub prefix_group: u64,
    /// Scheduling priority.
    pub priority: Priority,
    /// Most tokens to generate.
    pub max_tokens: u32,
    /// When the request is given up.
    pub deadline: Timestamp,
    /// Whether the request may run more than once. Otherwise its id is claimed first, and no second engine
    /// gets it once one may have admitted it.
    pub repeatable: bool,
    /// Replicas that report older weights are skipped.
    pub minimum_version: Option<WeightVersion>,
}

/// The next step for the driver.
#[derive(Debug)]
pub enum Step {
    /// Claim the request's id, then report the result with
    /// [`Execution::claimed`](super::Execution::claimed).
    Claim {
        /// The attempt to claim for.
        attempt: AttemptId,
    },
    /// Probe the load of these replicas without waiting for them, pass the answers to
    /// [`Pool::observe`](crate::routing::pool::Pool::observe) or
    /// [`Pool::record_failure`](crate::routing::pool::Pool::record_failure), and call `next` again at `until`, or sooner when
    /// one has answered.
    Probe {
        /// The replicas; empty if their probes are already running.
        replicas: Vec<ReplicaId>,
        /// When to call `next` again.
        until: Timestamp,
    },
    /// Send the request to an engine.
    Dispatch {
        /// The engine.
        replica: ReplicaId,
        /// The attempt's id.
        attempt: AttemptId,
        /// Tokens received so far, after which the engine continues.
        prior_tokens: Vec<u32>,
    },
    /// Request the rest of a stream from the same engine.
    Resume {
        /// The engine.
        replica: ReplicaId,
        /// The attempt.
        attempt: AttemptId,
        /// Index of the first token to send.
        from: u32,
    },
    /// Wait for the next event of the open stream. Call
    /// [`Execution::stream_stalled`](super::Execution::stream_stalled) if there is none by `until`.
    Receive {
        /// When to stop waiting.
        until: Timestamp,
    },
    /// Call `next` again at this time.
    Wait {
        /// The time.
        until: Timestamp,
    },
    /// The request has ended.
    Finish(Box<RequestOutcome>),
}

/// Result of the claim on a request's id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimResult {
    /// This execution holds the claim.
    Granted,
    /// Another execution holds the claim, or may hold it.
    Held,
    /// The id is older than the retention time of claims.
    Expired,
    /// No majority of the store replicas answered.
    NoMajority,
}

/// An event of an engine's stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineEvent {
    /// The engine admitted the attempt.
    Admitted(LoadReport),
    /// Generated tokens.
    Tokens(Chunk),
    /// The stream ended.
    Finished {
        /// Total number of tokens.
        token_count: u32,
        /// Why generation stopped.
        finish_reason: FinishReason,
        /// The engine's load.
        load: LoadReport,
    },
    /// The engine aborted the stream.
    Failed,
}

/// Why an engine refused an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalCause {
    /// It is overloaded.
    Overloaded,
    /// It accepts no new work, or has no weights loaded.
    NotServing,
}
