//! Runs generations to their outcome over the engines of a pool.
//!
//! Owns what all runs of a node share: the pools, the connections to engines, the clock, and the task that
//! probes replicas of the pools in use. Each run is a task on the traffic runtime, driven by `runner`.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use lichenpulley_core::decision::{Component, Decision};
use lichenpulley_core::identity::{PoolName, ReplicaId, RequestId, WeightVersion};
use lichenpulley_core::request::answer::Priority;
use lichenpulley_core::request::assembly::Chunk;
use lichenpulley_core::request::outcome::{
    Doubt, GiveUpReason, RefusalReason, RequestOutcome, refuse_at_once,
};
use lichenpulley_core::retry::retry_after::RetryCause;
use lichenpulley_protocol::operator::PoolStatus;
use tokio::runtime::Handle;
use tokio::sync::mpsc;
use tokio_util::task::AbortOnDropHandle;

use crate::context::Context;
use crate::decisions::unix_milliseconds;
use crate::gateway::clock::TrafficClock;
use crate::gateway::engine_client::EngineClient;
use crate::gateway::pools::{Pools, SharedPool};
use crate::gateway::runner;

/// A pool that no request has used for this time is not probed. Chosen, not measured: shorter delays the next
/// request by a probe, longer probes for nothing.
const POOL_USE_TIME: Duration = Duration::from_secs(10);
/// Pause between rounds of probes. Chosen, not measured: short against the 3 s for which a confirmation
/// holds.
const REPLICA_PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// The most replicas of a pool that are probed in one round. Chosen, not measured: 32 replicas take four
/// rounds, a second.
const MAX_PROBES_IN_ROUND: usize = 8;

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

impl Repetition {
    /// Whether running it twice does no harm.
    pub const fn is_repeatable(self) -> bool {
        matches!(self, Self::Repeatable)
    }
}

/// Runs generations over the engines. Cheap to clone; one for each node, shared by the gateway's callers and
/// by the coordinator's job samples, so that both see the same loads, limits and budgets.
#[derive(Clone)]
pub struct Dispatcher {
    pub(super) shared: Arc<Shared>,
}

/// What all runs of a node share.
pub(super) struct Shared {
    pub(super) context: Context,
    pub(super) traffic: Handle,
    pub(super) clock: TrafficClock,
    pub(super) engines: EngineClient,
    pools: Pools,
    started_unix_ms: u64,
    executions: AtomicU64,
}

impl Dispatcher {
    /// A dispatcher whose streams run on the traffic runtime.
    pub fn new(context: Context, traffic: Handle) -> Self {
        let connect_timeout = context.settings.gateway.connect_timeout;
        let shared = Arc::new(Shared {
            context,
            traffic: traffic.clone(),
            clock: TrafficClock::new(),
            engines: EngineClient::new(connect_timeout),
            pools: Pools::default(),
            started_unix_ms: unix_milliseconds(),
            executions: AtomicU64::new(0),
        });
        traffic.spawn(probe_rounds(Arc::clone(&shared)));
        Self { shared }
    }

    /// Runs a generation to its outcome. May be awaited on any runtime; the work is done on the traffic
    /// runtime. Dropping the future cancels the stream at the engine.
    pub async fn generate(&self, generation: Generation) -> RequestOutcome {
        self.run(generation, None).await
    }

    /// Like [`Dispatcher::generate`]; also sends the answer's tokens as they come, in order and without gaps.
    /// Ends when the receiver is dropped.
    pub(crate) async fn generate_stream(
        &self,
        generation: Generation,
        chunks: mpsc::Sender<Chunk>,
    ) -> RequestOutcome {
        self.run(generation, Some(chunks)).await
    }

    /// The pools as this node sees them.
    pub fn pools(&self) -> Vec<PoolStatus> {
        self.shared.follow_directory();
        self.shared.pools.status(self.shared.clock.now())
    }

    async fn run(&self, generation: Generation, chunks: Option<mpsc::Sender<Chunk>>) -> RequestOutcome {
        let Some(pool) = self.shared.pool(&generation.pool) else {
            return self.refuse(&generation, RefusalReason::UnknownPool);
        };
        let run = runner::run(Arc::clone(&self.shared), pool, generation, chunks);
        let task = AbortOnDropHandle::new(self.shared.traffic.spawn(run));
        task.await.unwrap_or_else(|error| {
            log::error!(target: "request", "A run ended without an outcome: {error}.");
            lost_run()
        })
    }

    /// Refuses a generation for which nothing was done.
    pub(super) fn refuse(&self, generation: &Generation, reason: RefusalReason) -> RequestOutcome {
        let decision = Decision::new(Component::Request, "refused", reason.as_str(), &generation.request);
        self.shared.context.decisions.record(decision.with("pool", &generation.pool));
        let retry_after = reason.is_retryable().then(|| RetryCause::RefusedBeforeDispatch.retry_after());
        refuse_at_once(generation.repetition.is_repeatable(), reason, retry_after)
    }
}

impl Shared {
    /// A name for one run of a request, unique across nodes and restarts.
    pub(super) fn next_execution(&self) -> String {
        let number = self.executions.fetch_add(1, Ordering::Relaxed);
        format!("{}-{:x}-{number:x}", self.context.node, self.started_unix_ms)
    }

    /// Asks a replica for its load, passes the answer to the pool and wakes those who wait for it.
    pub(super) async fn probe(self: Arc<Self>, pool: Arc<SharedPool>, replica: ReplicaId) {
        let asked_at = self.clock.now();
        let answer = match pool.address(&replica) {
            // Why a probe failed does not matter: the replica is not confirmed, and is asked again.
            Some(address) => self.engines.load(address).await.ok(),
            None => None,
        };
        let now = self.clock.now();
        pool.with(|pool| match answer {
            Some(report) => pool.observe(&replica, asked_at, report, now),
            None => pool.record_probe_failure(&replica),
        });
        pool.probed.notify_waiters();
    }

    fn pool(&self, name: &PoolName) -> Option<Arc<SharedPool>> {
        self.follow_directory();
        let pool = self.pools.get(name)?;
        pool.used(self.clock.now());
        Some(pool)
    }

    fn follow_directory(&self) {
        self.pools.follow(&self.context, self.clock.now());
    }
}

/// Keeps replicas of the pools in use confirmed. What is not in use is not asked.
async fn probe_rounds(shared: Arc<Shared>) {
    let mut rounds = tokio::time::interval(REPLICA_PROBE_INTERVAL);
    rounds.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = rounds.tick() => {}
            () = shared.context.stopped.cancelled() => return,
        }
        let now = shared.clock.now();
        for pool in shared.pools.all() {
            if !pool.is_in_use(now, POOL_USE_TIME) {
                continue;
            }
            for replica in pool.with(|pool| pool.due_probes(now, MAX_PROBES_IN_ROUND)) {
                tokio::spawn(Arc::clone(&shared).probe(Arc::clone(&pool), replica));
            }
        }
    }
}

/// A run whose task panicked or was shut down may have dispatched: nothing is known about it.
const fn lost_run() -> RequestOutcome {
    RequestOutcome::Unknown {
        doubt: Doubt::EarlierSubmission,
        reason: GiveUpReason::AnswerNotWhole,
        retry_after: None,
    }
}
