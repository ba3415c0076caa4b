//! Drives one [`Execution`] with real engines: does each step, and reports what came of it.
//!
//! Owns the open stream of one request and the channel to its caller. All decisions are the execution's;
//! dropping a run cancels its stream at the engine.

use std::sync::Arc;

use lichenpulley_core::identity::{AttemptId, ReplicaId};
use lichenpulley_core::request::assembly::Chunk;
use lichenpulley_core::request::execution::{ClaimResult, Execution, ExecutionSpec, Step};
use lichenpulley_core::request::outcome::RequestOutcome;
use lichenpulley_core::routing::Pool;
use lichenpulley_core::routing::prefix::prefix_group;
use lichenpulley_core::time::Timestamp;
use lichenpulley_protocol::engine::StreamRequest;
use rand::rngs::ThreadRng;
use tokio::sync::mpsc;
use tokio::time::{sleep_until, timeout_at};

use crate::gateway::dispatcher::{Generation, Repetition, Shared};
use crate::gateway::engine_client::{EngineStream, Opening};
use crate::gateway::pools::SharedPool;
use crate::store::claims::{self, ClaimOutcome};

/// Runs a generation to its outcome. Dropping the future cancels the stream at the engine.
pub(super) async fn run(
    shared: Arc<Shared>,
    pool: Arc<SharedPool>,
    generation: Generation,
    chunks: Option<mpsc::Sender<Chunk>>,
) -> RequestOutcome {
    let mut runner = Runner::new(shared, pool, generation, chunks);
    loop {
        match runner.advance(|execution, now, pool, random| execution.next(now, pool, random)) {
            Step::Claim { attempt } => runner.claim(&attempt).await,
            Step::Probe { replicas, until } => runner.probe(replicas, until).await,
            Step::Dispatch { replica, attempt, prior_tokens } => {
                runner.dispatch(&replica, attempt, prior_tokens).await;
            }
            Step::Resume { replica, attempt, from } => runner.resume(&replica, attempt, from).await,
            Step::Receive { until } => runner.receive(until).await,
            Step::Wait { until } => sleep_until(runner.shared.clock.instant(until)).await,
            Step::Finish(outcome) => {
                runner.is_over = true;
                return *outcome;
            }
        }
    }
}

struct Runner {
    shared: Arc<Shared>,
    pool: Arc<SharedPool>,
    generation: Generation,
    execution: Execution,
    stream: Option<(AttemptId, EngineStream)>,
    chunks: Option<mpsc::Sender<Chunk>>,
    deadline: Timestamp,
    is_over: bool,
}

impl Runner {
    fn new(
        shared: Arc<Shared>,
        pool: Arc<SharedPool>,
        generation: Generation,
        chunks: Option<mpsc::Sender<Chunk>>,
    ) -> Self {
        let now = shared.clock.now();
        let deadline = now + generation.deadline;
        let spec = ExecutionSpec {
            request: generation.request.clone(),
            execution: shared.next_execution(),
            prefix_group: prefix_group(&generation.prompt),
            priority: generation.priority,
            max_tokens: generation.max_tokens,
            deadline,
            repeatable: generation.repetition.is_repeatable(),
            minimum_version: generation.minimum_version,
        };
        let execution = pool.with(|pool| Execution::new(spec, pool, now));
        Self { shared, pool, generation, execution, stream: None, chunks, deadline, is_over: false }
    }

    /// One step of the execution, then what it asks for on the side.
    fn advance<T>(
        &mut self,
        step: impl FnOnce(&mut Execution, Timestamp, &mut Pool, &mut ThreadRng) -> T,
    ) -> T {
        let now = self.shared.clock.now();
        let execution = &mut self.execution;
        let result = self.pool.with(|pool| step(execution, now, pool, &mut rand::rng()));
        for decision in self.execution.take_decisions() {
            self.shared.context.decisions.record(decision);
        }
        self.cancel_streams();
        result
    }

    async fn claim(&mut self, attempt: &AttemptId) {
        let Repetition::AtMostOnce { issued_at_unix_ms } = self.generation.repetition else { return };
        let request = &self.generation.request;
        let claim = claims::claim(&self.shared.context, request, issued_at_unix_ms, attempt);
        let limit = self.shared.clock.instant(self.deadline);
        let verdict = match timeout_at(limit, claim).await {
            Ok(ClaimOutcome::Granted) => ClaimResult::Granted,
            Ok(ClaimOutcome::Held) => ClaimResult::Held,
            Ok(ClaimOutcome::Expired) => ClaimResult::Expired,
            Ok(ClaimOutcome::NoMajority) | Err(_) => ClaimResult::NoMajority,
        };
        self.advance(|execution, now, _, _| execution.claimed(verdict, now));
    }

    async fn probe(&mut self, replicas: Vec<ReplicaId>, until: Timestamp) {
        let probed = self.pool.probed.notified();
        for replica in replicas {
            tokio::spawn(Arc::clone(&self.shared).probe(Arc::clone(&self.pool), replica));
        }
        let limit = self.shared.clock.instant(until);
        // Whether a probe was answered or the time is over: the execution asks its pool again.
        let _ = timeout_at(limit, probed).await;
    }

    async fn dispatch(&mut self, replica: &ReplicaId, attempt: AttemptId, prior_tokens: Vec<u32>) {
        let request = StreamRequest {
            attempt: attempt.clone(),
            prompt: self.generation.prompt.clone(),
            prior_tokens,
            max_tokens: self.generation.max_tokens,
            priority: self.generation.priority,
            seed: self.generation.seed,
        };
        let opening = match self.pool.address(replica) {
            Some(address) => self.shared.engines.dispatch(address, &request).await,
            None => Opening::NothingWritten,
        };
        self.opened(attempt, opening);
    }

    async fn resume(&mut self, replica: &ReplicaId, attempt: AttemptId, from: u32) {
        // Closes the connection of the broken stream.
        self.stream = None;
        let opening = match self.pool.address(replica) {
            Some(address) => self.shared.engines.resume(address, &attempt, from).await,
            None => Opening::UnknownStream,
        };
        self.opened(attempt, opening);
    }

    fn opened(&mut self, attempt: AttemptId, opening: Opening) {
        let request = &self.generation.request;
        match opening {
            Opening::Open(stream) => self.stream = Some((attempt, stream)),
            Opening::Refused(refusal, cause) => self.advance(|execution, now, pool, random| {
                execution.refused(&refusal, cause, now, pool, random);
            }),
            Opening::NothingWritten => {
                self.advance(|execution, now, pool, random| execution.nothing_written(now, pool, random));
            }
            Opening::UnknownStream => {
                self.advance(|execution, now, pool, random| execution.stream_unknown(now, pool, random));
            }
            Opening::InDoubt(error) => {
                log::info!(target: "request", "{request}: attempt {attempt} is in doubt: {error}.");
                self.advance(|execution, now, pool, random| execution.stream_broken(now, pool, random));
            }
        }
    }

    async fn receive(&mut self, until: Timestamp) {
        let limit = self.shared.clock.instant(until);
        let Some((attempt, stream)) = &mut self.stream else {
            self.advance(|execution, now, pool, random| execution.stream_broken(now, pool, random));
            return;
        };
        let attempt = attempt.clone();
        match timeout_at(limit, stream.next()).await {
            Ok(Ok(Some(event))) => {
                self.advance(|execution, now, pool, random| {
                    execution.received(&attempt, event, now, pool, random);
                });
                self.hand_on().await;
            }
            Ok(Ok(None)) => {
                self.advance(|execution, now, pool, random| execution.stream_broken(now, pool, random));
            }
            Ok(Err(error)) => {
                log::info!(target: "request", "{}: attempt {attempt}: {error}.", self.generation.request);
                self.advance(|execution, now, pool, random| execution.stream_broken(now, pool, random));
            }
            Err(_) => {
                self.advance(|execution, now, pool, random| execution.stream_stalled(now, pool, random));
            }
        }
    }

    /// Sends new tokens to the caller. A caller that does not read holds its own stream up, at most to its
    /// deadline.
    async fn hand_on(&mut self) {
        let Some(chunks) = self.chunks.clone() else { return };
        let limit = self.shared.clock.instant(self.deadline);
        for chunk in self.execution.take_new() {
            match timeout_at(limit, chunks.send(chunk)).await {
                Ok(Ok(())) => {}
                Ok(Err(_)) | Err(_) => {
                    return self.advance(|execution, now, pool, _| {
                        execution.abandon(now, pool);
                    });
                }
            }
        }
    }

    fn cancel_streams(&mut self) {
        for (replica, attempt) in self.execution.take_cancellations() {
            let Some(address) = self.pool.address(&replica) else { continue };
            let engines = self.shared.engines.clone();
            let request = self.generation.request.clone();
            self.shared.traffic.spawn(async move {
                if let Err(error) = engines.cancel(address, &attempt).await {
                    log::debug!(target: "request", "{request}: {attempt} was not cancelled: {error}.");
                }
            });
        }
    }
}

/// A run that is dropped before its end, because nobody waits for it, frees what it holds.
impl Drop for Runner {
    fn drop(&mut self) {
        if !self.is_over {
            self.advance(|execution, now, pool, _| execution.abandon(now, pool));
        }
    }
}
