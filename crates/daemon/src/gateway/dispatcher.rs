//! Runs generations on the engines of a pool until each has an outcome.
//!
//! Owns the state that all runs of a node share: the pools, the connections to engines, the clock, and the
//! task that probes the replicas of pools in use. Each run is a task on the traffic runtime, driven by
//! `runner`.

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

/// Time after its last request during which a pool is still probed.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time between two probe rounds; well below the validity of a confirmation (3 s by default).
const REPLICA_PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum number of replicas of a pool that are probed in one round.
const MAX_PROBES_PER_ROUND: usize = 8;

/// A request to generate tokens on the engines of a pool.
#[derive(Clone, Debug)]
pub struct Generation {
    /// Id of the request.
    pub request: RequestId,
    /// Pool whose engines run it.
    pub pool: PoolName,
    /// Prompt text.
    pub prompt: String,
    /// Maximum number of tokens in the answer.
    pub max_tokens: u32,
    /// Priority class of the caller.
    pub priority: Priority,
    /// Sampling seed.
    pub seed: u64,
    /// Time from now until the request's deadline.
    pub deadline: Duration,
    /// Whether it may run more than once.
    pub repetition: Repetition,
    /// Oldest weight version that a replica may serve; `None` allows any.
    pub minimum_version: Option<WeightVersion>,
}

/// Whether a generation may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repetition {
    /// It may run several times without harm.
    Repeatable,
    /// It runs at most once.
    AtMostOnce {
        /// When the caller first issued the request's id, in milliseconds since the Unix epoch.
        issued_at_unix_ms: u64,
    },
}

impl Repetition {
    /// Returns whether the generation may run several times.
    pub const fn is_repeatable(self) -> bool {
        matches!(self, Self::Repeatable)
    }
}

/// Runs generations on the engines. Cheap to clone.
///
/// A node has one dispatcher, which the gateway and the coordinator's rollout jobs share, so that both use
/// the same loads, concurrency limits and retry budgets.
#[derive(Clone)]
pub struct Dispatcher {
    pub(super) shared: Arc<Shared>,
}

/// State shared by all runs of a node.
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
    /// Creates a dispatcher whose runs and probes execute on the `traffic` runtime.
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

    /// Runs a generation until it has an outcome. May be awaited on any runtime; the work is done on the
    /// traffic runtime. Dropping the future cancels the stream at the engine.
    pub async fn generate(&self, generation: Generation) -> RequestOutcome {
        self.run(generation, None).await
    }

    /// Runs a generation like [`Dispatcher::generate`] and also sends its tokens to `chunks` as they arrive,
    /// in order and without gaps. The run ends when the receiver is dropped.
    pub(crate) async fn generate_stream(
        &self,
        generation: Generation,
        chunks: mpsc::Sender<Chunk>,
    ) -> RequestOutcome {
        self.run(generation, Some(chunks)).await
    }

    /// Returns the status of all pools as known to this node.
    pub fn pools(&self) -> Vec<PoolStatus> {
        self.shared.refresh_pools();
        self.shared.pools.status(self.shared.clock.now())
    }

    async fn run(&self, generation: Generation, chunks: Option<mpsc::Sender<Chunk>>) -> RequestOutcome {
        // Checked first: the directory may be read between the two.
        let is_read = self.shared.context.directory.load().is_read();
        let Some(pool) = self.shared.pool(&generation.pool) else {
            let reason = if is_read { RefusalReason::UnknownPool } else { RefusalReason::DirectoryUnknown };
            return self.refuse(&generation, reason);
        };
        let run = runner::run(Arc::clone(&self.shared), pool, generation, chunks);
        let task = AbortOnDropHandle::new(self.shared.traffic.spawn(run));
        task.await.unwrap_or_else(|error| {
            log::error!(target: "request", "A run failed before it had an outcome: {error}.");
            lost_run_outcome()
        })
    }

    /// Refuses a generation that has not started and records the decision.
    pub(super) fn refuse(&self, generation: &Generation, reason: RefusalReason) -> RequestOutcome {
        let decision = Decision::new(Component::Request, "refused", reason.as_str(), &generation.request);
        self.shared.context.decisions.record(decision.with("pool", &generation.pool));
        let retry_after = reason.is_retryable().then(|| RetryCause::RefusedBeforeDispatch.retry_after());
        refuse_at_once(generation.repetition.is_repeatable(), reason, retry_after)
    }
}

impl Shared {
    /// Returns an id for one run of a request, unique across nodes and restarts.
    pub(super) fn next_execution_id(&self) -> String {
        let number = self.executions.fetch_add(1, Ordering::Relaxed);
        format!("{}-{:x}-{number:x}", self.context.node, self.started_unix_ms)
    }

    /// Requests a replica's load report, passes the result to the pool and notifies `SharedPool::probed`.
    pub(super) async fn probe(self: Arc<Self>, pool: Arc<SharedPool>, replica: ReplicaId) {
        let sent_at = self.clock.now();
        let answer = match pool.address(&replica) {
            // The cause of a failed probe is not used: the replica stays unconfirmed and is probed again.
            Some(address) => self.engines.load(address).await.ok(),
            None => None,
        };
        let now = self.clock.now();
        pool.with(|pool| match answer {
            Some(report) => pool.observe(&replica, sent_at, report, now),
            None => pool.record_probe_failure(&replica),
        });
        pool.probed.notify_waiters();
    }

    fn pool(&self, name: &PoolName) -> Option<Arc<SharedPool>> {
        self.refresh_pools();
        let pool = self.pools.get(name)?;
        pool.mark_used(self.clock.now());
        Some(pool)
    }

    fn refresh_pools(&self) {
        self.pools.refresh(&self.context, self.clock.now());
    }
}

/// Probes the replicas of the pools in use at an interval until the node has stopped.
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
            if !pool.is_in_use(now, POOL_IDLE_TIMEOUT) {
                continue;
            }
            for replica in pool.with(|pool| pool.due_probes(now, MAX_PROBES_PER_ROUND)) {
                tokio::spawn(Arc::clone(&shared).probe(Arc::clone(&pool), replica));
            }
        }
    }
}

/// Returns the outcome of a run whose task panicked or was shut down; it may have dispatched its request.
const fn lost_run_outcome() -> RequestOutcome {
    RequestOutcome::Unknown {
        doubt: Doubt::EarlierSubmission,
        reason: GiveUpReason::AnswerNotWhole,
        retry_after: None,
    }
}
