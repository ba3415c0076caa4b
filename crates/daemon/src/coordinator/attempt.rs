//! Runs one attempt at a slot of a rollout job: generates a sample through the dispatcher, then has the
//! scorer score it.

use std::time::Duration;

use lichenpulley_core::identity::RequestId;
use lichenpulley_core::request::answer::{Answer, Priority};
use lichenpulley_core::request::outcome::RequestOutcome;
use lichenpulley_core::retry::backoff::Backoff;
use lichenpulley_core::rollout::{AttemptOutcome, AttemptStart, JobSpecification};
use lichenpulley_protocol::platform::{ScoreRequest, ScoreResponse};

use crate::context::Context;
use crate::gateway::{Dispatcher, Generation, Repetition};
use crate::http::client::HttpClient;

/// Delay before a failed score request is repeated.
const SCORE_BACKOFF: Backoff = Backoff::new(Duration::from_millis(200), Duration::from_secs(5));

/// State shared by all attempts of a job.
#[derive(Clone)]
pub(super) struct AttemptRunner {
    pub(super) context: Context,
    pub(super) dispatcher: Dispatcher,
    pub(super) http: HttpClient,
    pub(super) specification: JobSpecification,
    /// Time limit of an attempt's generation.
    pub(super) timeout: Duration,
}

impl AttemptRunner {
    /// Runs an attempt until it ends. Dropping the future cancels its stream at the engine.
    pub(super) async fn run(&self, start: &AttemptStart) -> AttemptOutcome {
        let generation = Generation {
            request: RequestId::new(start.attempt.as_str()),
            pool: self.specification.pool.clone(),
            prompt: self.specification.prompts[start.slot.prompt as usize].clone(),
            max_tokens: self.specification.max_tokens,
            priority: Priority::Rollout,
            seed: start.seed,
            deadline: self.timeout,
            repetition: Repetition::Repeatable,
            minimum_version: Some(start.minimum_version),
        };
        let prompt = generation.prompt.clone();
        match self.dispatcher.generate(generation).await {
            RequestOutcome::Completed { answer, .. } => self.score(start, prompt, answer).await,
            RequestOutcome::NotRun { reason, retry_after, .. } => {
                AttemptOutcome::Refused { reason: reason.as_str().to_owned(), retry_after }
            }
            RequestOutcome::Unknown { reason, retry_after, .. } => {
                AttemptOutcome::Failed { reason: reason.as_str().to_owned(), retry_after }
            }
        }
    }

    /// Scores the answer. Scoring is idempotent, so it is repeated until it succeeds or the owner's attempt
    /// timeout cancels it.
    async fn score(&self, start: &AttemptStart, prompt: String, answer: Answer) -> AttemptOutcome {
        let Some(scorer) = self.context.settings.platform.scorer else {
            return AttemptOutcome::Failed { reason: "no_scorer".to_owned(), retry_after: None };
        };
        let score_request = ScoreRequest { prompt, tokens: answer.tokens.clone() };
        let deadline = self.context.settings.coordinator.call_timeout;
        let mut failures = 0;
        loop {
            let scored =
                self.http.post_json::<_, ScoreResponse>(scorer, "/score", &score_request, deadline).await;
            match scored {
                Ok(ScoreResponse { reward }) => {
                    return AttemptOutcome::Completed { tokens: answer.tokens, spans: answer.spans, reward };
                }
                Err(error) => log::warn!(target: "rollout", "{}: scoring failed: {error}.", start.attempt),
            }
            failures += 1;
            tokio::time::sleep(SCORE_BACKOFF.pause(failures)).await;
        }
    }
}
