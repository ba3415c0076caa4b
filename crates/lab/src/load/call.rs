//! One request and what became of it.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use lichenpulley_core::identity::{AttemptId, PoolName, RequestId};
use lichenpulley_daemon::decisions::unix_milliseconds;
use lichenpulley_daemon::http::client::{ClientError, HttpClient};
use lichenpulley_daemon::http::events::{EventReader, EventStreamError, ServerEvent};
use lichenpulley_protocol::caller::{CompletionChunk, CompletionRequest, CompletionResponse, Priority};
use lichenpulley_protocol::engine::{StreamEvent, StreamRequest};
use lichenpulley_protocol::error::{ErrorBody, Execution};
use serde::{Deserialize, Serialize};

use super::workload::Prompt;
use crate::engine::answer::is_whole_answer;

/// How long an answer may take beyond the caller's own deadline.
const GRACE: Duration = Duration::from_secs(5);

/// Whom requests go to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    /// A gateway; the answer comes whole.
    Gateway(SocketAddr),
    /// A gateway; the answer is streamed.
    GatewayStream(SocketAddr),
    /// Straight to an engine.
    Engine(SocketAddr),
}

/// What every request of a run has in common.
#[derive(Clone, Debug)]
pub struct CallOptions {
    /// The pool.
    pub pool: PoolName,
    /// At most this many tokens.
    pub max_tokens: u32,
    /// Who waits.
    pub priority: Priority,
    /// The caller's deadline.
    pub deadline: Duration,
    /// Whether running it twice does no harm.
    pub repeatable: bool,
}

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The whole answer came, and it was the right one.
    Completed,
    /// A success came with wrong or missing tokens: a broken promise.
    Wrong,
    /// Refused as not run.
    NotRun,
    /// Ended in doubt, and said so.
    Unknown,
    /// Failed in another way, such as a body that was refused.
    Failed,
    /// The connection broke, or no answer came in time.
    NoAnswer,
}

/// One request's record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Called {
    /// What became of it.
    pub outcome: Outcome,
    /// Time to the first token, where one came by itself.
    pub first_token: Option<Duration>,
    /// Time to the end.
    pub whole: Duration,
    /// Tokens received.
    pub tokens: u32,
    /// Attempts, as the gateway reported.
    pub attempts: u32,
}

/// An answer as it came.
#[derive(Default)]
struct Answer {
    tokens: Vec<u32>,
    first_token: Option<Duration>,
    finished: bool,
    attempts: u32,
}

/// Sends one request to `target` and verifies the answer. `scheduled` is when it was to be sent: the times count
/// from there, so that a slow system can't hide behind a caller that waits.
pub async fn call(
    client: &HttpClient,
    target: Target,
    options: &CallOptions,
    prompt: &Prompt,
    number: u64,
    scheduled: Instant,
) -> Called {
    let limit = options.deadline + GRACE;
    let ask = ask(client, target, options, prompt, number, scheduled);
    let asked = tokio::time::timeout(limit, ask).await.unwrap_or(Err(Outcome::NoAnswer));
    let whole = scheduled.elapsed();
    let answer = match asked {
        Ok(answer) => answer,
        Err(outcome) => return Called { outcome, first_token: None, whole, tokens: 0, attempts: 0 },
    };
    let right =
        answer.finished && is_whole_answer(&prompt.text, prompt.seed, options.max_tokens, &answer.tokens);
    Called {
        outcome: if right { Outcome::Completed } else { Outcome::Wrong },
        first_token: answer.first_token,
        whole,
        tokens: answer.tokens.len() as u32,
        attempts: answer.attempts,
    }
}

async fn ask(
    client: &HttpClient,
    target: Target,
    options: &CallOptions,
    prompt: &Prompt,
    number: u64,
    scheduled: Instant,
) -> Result<Answer, Outcome> {
    let limit = options.deadline + GRACE;
    match target {
        Target::Gateway(address) => {
            let request = completion(options, prompt, number, false);
            let answered = client.post_json(address, "/v1/completions", &request, limit).await;
            let response: CompletionResponse = answered.map_err(|error| outcome_of(&error))?;
            let CompletionResponse { tokens, attempts, .. } = response;
            Ok(Answer { tokens, first_token: None, finished: true, attempts })
        }
        Target::GatewayStream(address) => {
            let request = completion(options, prompt, number, true);
            let opened = client.post_events(address, "/v1/completions", &request, limit).await;
            read(opened, scheduled, read_chunk).await
        }
        Target::Engine(address) => {
            let request = stream_request(options, prompt, number);
            let opened = client.post_events(address, "/v1/streams", &request, limit).await;
            read(opened, scheduled, read_stream_event).await
        }
    }
}

fn completion(options: &CallOptions, prompt: &Prompt, number: u64, stream: bool) -> CompletionRequest {
    CompletionRequest {
        pool: options.pool.clone(),
        prompt: prompt.text.clone(),
        max_tokens: options.max_tokens,
        priority: options.priority,
        deadline_ms: Some(options.deadline.as_millis() as u64),
        repeatable: options.repeatable,
        request_id: (!options.repeatable).then(|| request_id(prompt, number)),
        issued_at_unix_ms: (!options.repeatable).then(unix_milliseconds),
        seed: prompt.seed,
        stream,
    }
}

fn stream_request(options: &CallOptions, prompt: &Prompt, number: u64) -> StreamRequest {
    StreamRequest {
        attempt: AttemptId::new(request_id(prompt, number).as_str()),
        prompt: prompt.text.clone(),
        prior_tokens: Vec::new(),
        max_tokens: options.max_tokens,
        priority: options.priority,
        seed: prompt.seed,
    }
}

fn request_id(prompt: &Prompt, number: u64) -> RequestId {
    RequestId::new(format!("load-{number}-{:016x}", prompt.seed))
}

async fn read(
    opened: Result<EventReader, ClientError>,
    scheduled: Instant,
    take: fn(&ServerEvent, &mut Answer) -> Result<(), Outcome>,
) -> Result<Answer, Outcome> {
    let mut reader = opened.map_err(|error| outcome_of(&error))?;
    let mut answer = Answer { attempts: 1, ..Answer::default() };
    while let Some(event) = reader.next().await.map_err(|_: EventStreamError| Outcome::NoAnswer)? {
        take(&event, &mut answer)?;
        if answer.first_token.is_none() && !answer.tokens.is_empty() {
            answer.first_token = Some(scheduled.elapsed());
        }
    }
    Ok(answer)
}

fn read_chunk(event: &ServerEvent, answer: &mut Answer) -> Result<(), Outcome> {
    if event.name.as_deref() == Some("error") {
        let error: ErrorBody = event.json().map_err(|_| Outcome::Failed)?;
        return Err(outcome_of_body(&error));
    }
    let chunk: CompletionChunk = event.json().map_err(|_| Outcome::Failed)?;
    append(answer, chunk.first_token, &chunk.tokens)?;
    answer.finished = chunk.finish_reason.is_some();
    Ok(())
}

fn read_stream_event(event: &ServerEvent, answer: &mut Answer) -> Result<(), Outcome> {
    match event.json().map_err(|_| Outcome::Failed)? {
        StreamEvent::Admitted { .. } => Ok(()),
        StreamEvent::Tokens { first_token, tokens, .. } => append(answer, first_token, &tokens),
        StreamEvent::Finished { .. } => {
            answer.finished = true;
            Ok(())
        }
        StreamEvent::Failed { .. } => Err(Outcome::Failed),
    }
}

/// Appends tokens that must follow those received, without gap or repeat.
fn append(answer: &mut Answer, first_token: u32, tokens: &[u32]) -> Result<(), Outcome> {
    if first_token as usize != answer.tokens.len() && !tokens.is_empty() {
        return Err(Outcome::Wrong);
    }
    answer.tokens.extend_from_slice(tokens);
    Ok(())
}

fn outcome_of(error: &ClientError) -> Outcome {
    log::debug!(target: "load", "{error}.");
    if error.nothing_sent() {
        return Outcome::NotRun;
    }
    let Some(status) = error.status() else {
        return Outcome::NoAnswer;
    };
    match error.body::<ErrorBody>() {
        Some(body) => outcome_of_body(&body),
        // An engine's refusal has a body of its own.
        None if status == hyper::StatusCode::SERVICE_UNAVAILABLE => Outcome::NotRun,
        None => Outcome::Failed,
    }
}

const fn outcome_of_body(body: &ErrorBody) -> Outcome {
    match body.execution {
        Some(Execution::NotRun) => Outcome::NotRun,
        Some(Execution::Unknown) => Outcome::Unknown,
        None => Outcome::Failed,
    }
}
