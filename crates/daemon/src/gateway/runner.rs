//! Drives one [`Execution`]: carries out each of its steps with the engines and reports the result to it.
//!
//! Owns the open stream of one request and the channel to its caller. The execution makes all decisions.
//! Dropping a run cancels its stream at the engine.

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
use crate::gateway::engine_client::{EngineStream, StreamOpening};
use crate::gateway::pools::SharedPool;
use crate::store::claims::{self, ClaimOutcome};

/// Runs a generation until it has an outcome. Dropping the future cancels the stream at the engine.
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
                runner.is_finished = true;
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
    is_finished: bool,
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
            execution: shared.next_execution_id(),
            prefix_group: prefix_group(&generation.prompt),
            priority: generation.priority,
            max_tokens: generation.max_tokens,
            deadline,
            repeatable: generation.repetition.is_repeatable(),
            minimum_version: generation.minimum_version,
        };
        let execution = pool.with(|pool| Execution::new(spec, pool, now));
        Self { shared, pool, generation, execution, stream: None, chunks, deadline, is_finished: false }
    }

    /// Runs one step of the execution, then records its decisions and cancels the streams that it gave up.
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
        let claim_result = match timeout_at(limit, claim).await {
            Ok(ClaimOutcome::Granted) => ClaimResult::Granted,
            Ok(ClaimOutcome::Held) => ClaimResult::Held,
            Ok(ClaimOutcome::Expired) => ClaimResult::Expired,
            Ok(ClaimOutcome::NoMajority) | Err(_) => ClaimResult::NoMajority,
        };
        self.advance(|execution, now, _, _| execution.claimed(claim_result, now));
    }

    async fn probe(&mut self, replicas: Vec<ReplicaId>, until: Timestamp) {
        let probed = self.pool.probed.notified();
        for replica in replicas {
            tokio::spawn(Arc::clone(&self.shared).probe(Arc::clone(&self.pool), replica));
        }
        let limit = self.shared.clock.instant(until);
        // A timeout is handled like a probe result: the execution checks its pool again in both cases.
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
            None => StreamOpening::NothingWritten,
        };
        self.handle_opening(attempt, opening);
    }

    async fn resume(&mut self, replica: &ReplicaId, attempt: AttemptId, from: u32) {
        // Close the connection of the broken stream.
        self.stream = None;
        let opening = match self.pool.address(replica) {
            Some(address) => self.shared.engines.resume(address, &attempt, from).await,
            None => StreamOpening::UnknownStream,
        };
        self.handle_opening(attempt, opening);
    }

    fn handle_opening(&mut self, attempt: AttemptId, opening: StreamOpening) {
        let request = &self.generation.request;
        match opening {
            StreamOpening::Open(stream) => self.stream = Some((attempt, stream)),
            StreamOpening::Refused(refusal, cause) => self.advance(|execution, now, pool, random| {
                execution.refused(&refusal, cause, now, pool, random);
            }),
            StreamOpening::NothingWritten => {
                self.advance(|execution, now, pool, random| execution.nothing_written(now, pool, random));
            }
            StreamOpening::UnknownStream => {
                self.advance(|execution, now, pool, random| execution.stream_unknown(now, pool, random));
            }
            StreamOpening::InDoubt(error) => {
                log::info!(
                    target: "request",
                    "{request}: the engine may have received attempt {attempt}: {error}."
                );
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
                self.forward_chunks().await;
            }
            Ok(Ok(None)) => {
                self.advance(|execution, now, pool, random| execution.stream_broken(now, pool, random));
            }
            Ok(Err(error)) => {
                log::info!(
                    target: "request",
                    "{}: the stream of attempt {attempt} failed: {error}.",
                    self.generation.request
                );
                self.advance(|execution, now, pool, random| execution.stream_broken(now, pool, random));
            }
            Err(_) => {
                self.advance(|execution, now, pool, random| execution.stream_stalled(now, pool, random));
            }
        }
    }

    /// Sends new tokens to the caller. A caller that does not read blocks its own stream, at most until its
    /// deadline.
    async fn forward_chunks(&mut self) {
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
                    log::debug!(target: "request", "{request}: attempt {attempt} not cancelled: {error}.");
                }
            });
        }
    }
}

/// Cancels the streams and releases the pool's capacity of a run that is dropped before its end.
impl Drop for Runner {
    fn drop(&mut self) {
        if !self.is_finished {
            self.advance(|execution, now, pool, _| execution.abandon(now, pool));
        }
    }
}
